package owner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// startTime is the start of the virtual time of tests.
var startTime = time.Unix(1_000_000, 0)

func hostAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i)}), 6081)
}

// tcpPacket returns a TCP packet of the flow from a source port.
func tcpPacket(port uint16, sequence byte, syn bool) *flow.Packet {
	p := &flow.Packet{
		Key: flow.NewKey(protocolTCP,
			netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, 1}), port),
			netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, 0, 1}), 80)),
		SYN: syn,
	}
	p.Hash = p.Key.Hash()
	p.Data = make([]byte, 40)
	p.Data[0], p.Data[27] = 0x45, sequence
	return p
}

// testSpec returns a table spec with the given members of each version, newest first.
func testSpec(service *controlpb.Service, newest uint64, versions ...[]int) *controlpb.TableSpec {
	spec := &controlpb.TableSpec{ServiceId: service.GetId(), Service: service}
	for i, hosts := range versions {
		v := &controlpb.TableVersion{Version: newest - uint64(i)}
		for _, h := range hosts {
			v.Members = append(v.Members, &controlpb.Member{
				Host:       fmt.Sprintf("host-%d", h),
				Address:    hostAddress(h).String(),
				DataCentre: fmt.Sprintf("dc-%d", h%3),
				Weight:     1000,
				Slots:      2,
			})
		}
		spec.Versions = append(spec.Versions, v)
	}
	return spec
}

// newTestOwner returns an Owner with a table whose recovery has ended.
func newTestOwner(t testing.TB, c Config, spec *controlpb.TableSpec) *Owner {
	t.Helper()
	c.Started = startTime.Add(-time.Minute)
	o, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	o.HandleEvent(startTime.Add(-time.Minute), SpecReceived{Spec: spec}, nil)
	o.HandleEvent(startTime, Tick{}, nil)
	return o
}

// firstEffect returns the first effect of type E, or fails the test.
func firstEffect[E Effect](t testing.TB, effects []Effect) (found E) {
	t.Helper()
	for _, e := range effects {
		if f, ok := e.(E); ok {
			return f
		}
	}
	t.Fatalf("no %T among %d effects %v", found, len(effects), effects)
	return found
}

// Guards against packets of an owned flow that are not delivered, and against late copies
// and reused ports that are taken for the wrong flow after its end.
func TestFlowIsDeliveredUntilItEnds(t *testing.T) {
	is := is.New(t)
	service := &controlpb.Service{Id: 1, Idempotent: true}
	o := newTestOwner(t, Config{Self: hostAddress(1)}, testSpec(service, 1, []int{1}))
	h := &flow.Header{ServiceID: 1, Version: 1, PathLen: 1}
	h.Path[0] = flow.Hop{Address: hostAddress(1), RoleVersion: 1}

	firstEffect[*Deliver](t, o.HandlePacket(startTime, h, tcpPacket(5, 1, true), nil))
	firstEffect[*Deliver](t, o.HandlePacket(startTime, h, tcpPacket(5, 2, false), nil))
	is.Equal(o.Load(startTime).GetOpenFlows(), uint32(1))

	fin := tcpPacket(5, 3, false)
	fin.FIN = true
	firstEffect[*Deliver](t, o.HandlePacket(startTime, h, fin, nil))
	after := startTime.Add(lingerTimeout + time.Second)
	firstEffect[*Drop](t, o.HandlePacket(after, h, tcpPacket(5, 4, false), nil))
	is.Equal(o.Load(after).GetOpenFlows(), uint32(0))

	firstEffect[*Deliver](t, o.HandlePacket(after, h, tcpPacket(5, 9, true), nil)) // a reused port
	is.Equal(firstEffect[*Drop](t, o.HandlePacket(after, h, tcpPacket(5, 1, true), nil)).Reason, flow.ReasonDuplicate)
}

// Guards against packets that are delivered to the backend server of another service.
func TestWrongServiceIsDropped(t *testing.T) {
	is := is.New(t)
	o := newTestOwner(t, Config{Self: hostAddress(1)}, testSpec(&controlpb.Service{Id: 1}, 1, []int{1}))
	h := &flow.Header{ServiceID: 2, Version: 1, PathLen: 1}
	h.Path[0] = flow.Hop{Address: hostAddress(1), RoleVersion: 1}
	effects := o.HandlePacket(startTime, h, tcpPacket(5, 1, true), nil)
	is.Equal(firstEffect[*Drop](t, effects).Reason, flow.ReasonWrongService)
}

// Guards against packets that do not reach the owner of their flow from a host that became
// the first choice in a newer version.
func TestPacketIsForwardedAlongPath(t *testing.T) {
	is := is.New(t)
	service := &controlpb.Service{Id: 1, Idempotent: true}
	o := newTestOwner(t, Config{Self: hostAddress(2)}, testSpec(service, 2, []int{2}, []int{1}))
	h := &flow.Header{ServiceID: 1, Version: 2, PathLen: 2}
	h.Path[0] = flow.Hop{Address: hostAddress(2), RoleVersion: 2}
	h.Path[1] = flow.Hop{Address: hostAddress(1), RoleVersion: 1}
	o.HandleEvent(startTime, PeerConnected{Peer: hostAddress(1)}, nil)
	forward := firstEffect[*Forward](t, o.HandlePacket(startTime, h, tcpPacket(5, 2, false), nil))
	is.Equal(forward.To, hostAddress(1))
	is.Equal(forward.Header.Hop, 1)
	is.Equal(forward.Header.Passes, 1)
}
