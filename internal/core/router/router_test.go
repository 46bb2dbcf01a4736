package router

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

var (
	testSelf           = netip.MustParseAddrPort("127.9.0.1:7000")
	testServiceAddress = netip.MustParseAddrPort("127.8.0.1:443")
	testNow            = time.Unix(1_000_000, 0)
)

// testSpec returns the spec of a service with n hosts in its newest version. Each older
// version has one host less than the next newer one.
func testSpec(id uint32, newest uint64, versions, n int) *controlpb.TableSpec {
	spec := &controlpb.TableSpec{ServiceId: id, ConfigVersion: 1, Service: &controlpb.Service{
		Id: id, Addresses: []*controlpb.ServiceAddress{{Address: fmt.Sprintf("127.8.%d.%d:443", id>>8, id&255), Protocol: 6}},
	}}
	for v := range versions {
		members := make([]*controlpb.Member, n-v)
		for i := range members {
			members[i] = &controlpb.Member{
				Host:       fmt.Sprintf("host-%d-%d", id, i),
				Address:    fmt.Sprintf("127.%d.%d.%d:9000", 10+id/250, id%250, i+1),
				DataCentre: fmt.Sprintf("centre-%d", i%4),
				Weight:     1000,
			}
		}
		spec.Versions = append(spec.Versions, &controlpb.TableVersion{Version: newest - uint64(v), Members: members})
	}
	return spec
}

// mustRouter returns a router to which the given specs were applied.
func mustRouter(t testing.TB, specs ...*controlpb.TableSpec) *Router {
	t.Helper()
	is := is.New(t)
	r, err := New(Config{Self: testSelf})
	is.NoErr(err)
	for _, spec := range specs {
		applied, err := r.Update(spec)
		is.NoErr(err)
		is.True(applied)
	}
	return r
}

// testPacket returns a packet of the i-th flow to a service address.
func testPacket(destination netip.AddrPort, i int) *flow.Packet {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 7, byte(i >> 16), byte(i >> 8)}), uint16(1024+i))
	key := flow.NewKey(6, source, destination)
	return &flow.Packet{Key: key, Hash: key.Hash()}
}

// Guards against packets to the address of no service, or to a service without hosts,
// being forwarded.
func TestDecideDrops(t *testing.T) {
	is := is.New(t)
	empty := testSpec(2, 1, 1, 0)
	r := mustRouter(t, testSpec(1, 1, 1, 3), empty)
	var scratch Scratch
	tests := []struct {
		destination string
		want        flow.Reason
	}{
		{"127.8.0.1:80", flow.ReasonUnknownService},
		{"127.8.9.9:443", flow.ReasonUnknownService},
		{"127.8.0.2:443", flow.ReasonNoHosts},
	}
	for _, tt := range tests {
		d, ok := r.Decide(testNow, testPacket(netip.MustParseAddrPort(tt.destination), 1), &scratch).(*Drop)
		is.True(ok)
		is.Equal(d.Reason, tt.want)
	}
}

// Guards against a header whose path, second choice or version differs from the table.
func TestDecideForwards(t *testing.T) {
	is := is.New(t)
	r := mustRouter(t, testSpec(1, 5, 4, 8))
	is.Equal(r.Service(6, testServiceAddress).GetId(), uint32(1))
	is.Equal(r.Service(17, testServiceAddress), nil)
	var scratch Scratch
	longPaths := 0
	for i := range 2000 {
		p := testPacket(testServiceAddress, i)
		f := r.Decide(testNow, p, &scratch).(*Forward)
		route := r.Table(1).Route(p.Hash)
		is.Equal(f.To, route.Hops[0].Address)
		is.Equal(f.Header.Path[:f.Header.PathLen], route.Hops)
		is.Equal(f.Header.SecondChoice, route.SecondChoice)
		is.Equal(f.Header.ReturnAddress, testSelf)
		is.Equal(f.Header.Version, uint64(5))
		is.True(!f.Header.Hinted && !f.Header.FirstSuspected)
		longPaths += f.Header.PathLen / 2
	}
	is.True(longPaths > 0)
}

// Guards against a service that goes back to an older table version or definition when
// a spec arrives late or after the service was removed.
func TestUpdateNeverReverts(t *testing.T) {
	is := is.New(t)
	r := mustRouter(t, testSpec(1, 5, 2, 4))
	update := func(change func(s *controlpb.TableSpec), newest uint64, versions int) bool {
		spec := testSpec(1, newest, versions, 4)
		change(spec)
		applied, err := r.Update(spec)
		is.NoErr(err)
		return applied
	}
	unchanged := func(*controlpb.TableSpec) {}
	is.True(!update(unchanged, 4, 1))
	is.True(!update(unchanged, 5, 2))
	is.True(!update(unchanged, 5, 3)) // names a retired version
	is.True(update(unchanged, 5, 1))
	is.Equal(r.Table(1).OldestVersion(), uint64(5))
	is.True(update(func(s *controlpb.TableSpec) { s.ConfigVersion, s.Service.Name = 7, "new" }, 6, 2))
	is.True(update(func(s *controlpb.TableSpec) { s.ConfigVersion, s.Service.Name = 6, "old" }, 7, 4))
	is.Equal(r.Table(1).Service().GetName(), "new")
	is.Equal(r.Table(1).OldestVersion(), uint64(5))
	is.Equal(r.Versions()[0].GetVersion(), uint64(7))
	is.Equal(r.Versions()[0].GetConfigVersion(), uint64(7))
	r.Remove(1)
	is.Equal(r.Service(6, testServiceAddress), nil)
	is.True(!update(unchanged, 7, 2))
	is.True(update(unchanged, 8, 2))
	_, err := r.Update(&controlpb.TableSpec{ServiceId: 3})
	is.True(err != nil)
}

// Guards against an address that moves to another service being routed to its former
// service, in whichever order the two specs arrive.
func TestAddressMovesToNewerDefinition(t *testing.T) {
	for _, order := range [][2]uint32{{1, 2}, {2, 1}} {
		is := is.New(t)
		r := mustRouter(t, testSpec(1, 1, 1, 2), testSpec(2, 1, 1, 2))
		gaining := testSpec(2, 2, 1, 2)
		gaining.ConfigVersion = 9
		gaining.Service.Addresses = append(gaining.Service.Addresses, testSpec(1, 1, 1, 1).Service.Addresses...)
		losing := testSpec(1, 2, 1, 2)
		losing.ConfigVersion, losing.Service.Addresses = 9, nil
		for _, id := range order {
			_, err := r.Update([]*controlpb.TableSpec{losing, gaining}[id-1])
			is.NoErr(err)
			if id == 2 {
				is.Equal(r.Service(6, testServiceAddress).GetId(), uint32(2))
			}
		}
		is.Equal(r.Service(6, testServiceAddress).GetId(), uint32(2))
	}
}

// Guards against packets that are forwarded to a dead host, and against a suspicion
// that remains after the host is alive again or has left the service.
func TestSuspicion(t *testing.T) {
	is := is.New(t)
	r := mustRouter(t, testSpec(1, 5, 3, 6))
	dead := r.Table(1).Members()[0].Address
	var scratch Scratch
	replaced := 0
	check := func(suspected bool) {
		for i := range 2000 {
			p := testPacket(testServiceAddress, i)
			f := r.Decide(testNow, p, &scratch).(*Forward)
			h, route := &f.Header, r.Table(1).Route(p.Hash)
			if !suspected {
				is.Equal(h.Path[:h.PathLen], route.Hops)
				continue
			}
			for j, hop := range h.Path[:h.PathLen] {
				is.True(hop.Address != dead)
				is.True(j == 0 || hop.RoleVersion < h.Path[j-1].RoleVersion)
			}
			// The path can merge the newest first choice with an older hop of the same host.
			newest := r.Table(1).AppendPath(nil, p.Hash, 5)[0].Address
			is.Equal(h.FirstSuspected, newest == dead)
			is.True(h.Path[h.PathLen-1].RoleVersion == 3) // every version has its hop
			if h.FirstSuspected {
				replaced++
				is.Equal(f.To, route.SecondChoice)
			}
		}
	}
	r.SetSuspected(dead, true)
	check(true)
	is.True(replaced > 0)
	r.SetSuspected(dead, false)
	check(false)
	for _, m := range r.Table(1).Members()[:4] {
		r.SetSuspected(m.Address, true)
	}
	check(false) // when more than half of the members are suspected, Decide avoids none
	is.Equal(len(r.suspected), 4)
	shrunk := testSpec(1, 6, 1, 6)
	shrunk.Versions[0].Members = shrunk.Versions[0].Members[4:]
	_, err := r.Update(shrunk)
	is.NoErr(err)
	is.Equal(len(r.suspected), 0)
}

// Guards against a hint cache that grows without bound, and against hints that lead to
// a host of another service or to a dead host.
func TestHints(t *testing.T) {
	is := is.New(t)
	r := mustRouter(t, testSpec(1, 1, 1, 6), testSpec(2, 1, 1, 6))
	owner, other := r.Table(1).Members()[2].Address, r.Table(2).Members()[0].Address
	var scratch Scratch
	p := testPacket(testServiceAddress, 1)
	decide := func() *Forward { return r.Decide(testNow, p, &scratch).(*Forward) }
	is.True(!decide().Header.Hinted)
	r.AddHint(testNow, p.Key, owner)
	is.True(decide().Header.Hinted)
	is.Equal(decide().To, owner)
	p.SYN = true
	is.True(!decide().Header.Hinted)
	p.SYN = false
	r.SetSuspected(owner, true)
	is.True(!decide().Header.Hinted)
	r.SetSuspected(owner, false)
	r.AddHint(testNow, p.Key, other) // the host of another service
	is.True(!decide().Header.Hinted)
	for i := range 100_000 {
		r.AddHint(testNow.Add(time.Duration(i)), testPacket(testServiceAddress, i).Key, owner)
	}
	is.True(r.hints.count() <= defaultMaxHints)
	is.True(r.hints.count() > defaultMaxHints*9/10)
}

// Guards against a decision that mixes two tables while specs are applied. Only with the
// race detector does it find all such faults.
func TestConcurrentUpdates(t *testing.T) {
	is := is.New(t)
	r := mustRouter(t, testSpec(1, 1, 1, 6))
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			var scratch Scratch
			var last uint64
			for i := range 5000 {
				f := r.Decide(testNow, testPacket(testServiceAddress, i), &scratch).(*Forward)
				is.True(f.Header.Version >= last)
				is.Equal(f.Header.Path[f.Header.PathLen-1].RoleVersion, uint64(1))
				last = f.Header.Version
				if worker == 0 {
					r.AddHint(testNow, testPacket(testServiceAddress, i).Key, f.To)
				}
			}
		})
	}
	for v := uint64(2); v <= flow.MaxPathLen; v++ {
		_, err := r.Update(testSpec(1, v, int(v), 6))
		is.NoErr(err)
		r.SetSuspected(netip.MustParseAddrPort("127.10.1.9:9000"), v%2 == 0)
	}
	wg.Wait()
}
