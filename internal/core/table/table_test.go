package table

import (
	"fmt"
	"math"
	"net/netip"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// testMembers returns n members of equal weight in the given number of data centres.
func testMembers(n, centres int) []*controlpb.Member {
	members := make([]*controlpb.Member, n)
	for i := range members {
		members[i] = &controlpb.Member{
			Host:           fmt.Sprintf("host-%d", i),
			Address:        fmt.Sprintf("127.1.%d.%d:9000", i/250, i%250+1),
			ControlAddress: fmt.Sprintf("127.1.%d.%d:9001", i/250, i%250+1),
			DataCentre:     fmt.Sprintf("centre-%d", i%centres),
			Weight:         1000,
		}
	}
	return members
}

// testSpec returns a spec whose versions have the given members, newest first.
func testSpec(newest uint64, versions ...[]*controlpb.Member) *controlpb.TableSpec {
	spec := &controlpb.TableSpec{ServiceId: 7, Service: &controlpb.Service{Id: 7}}
	for i, members := range versions {
		spec.Versions = append(spec.Versions, &controlpb.TableVersion{Version: newest - uint64(i), Members: members})
	}
	return spec
}

// mustBuild returns the table of a valid spec.
func mustBuild(t testing.TB, spec *controlpb.TableSpec) *Table {
	t.Helper()
	table, err := Build(spec)
	is.New(t).NoErr(err)
	return table
}

// Guards against errors in the fixed-point logarithm, which would give hosts shares that
// are not in proportion to their weights.
func TestDrawIsExponential(t *testing.T) {
	is := is.New(t)
	var sum float64
	for b := range 100_000 {
		d := float64(draw(12345, b)) / (1 << drawBits)
		h := mix64(12345+uint64(b+1)*0x9e3779b97f4a7c15) | 1
		want := 64 - math.Log2(float64(h))
		is.True(math.Abs(d-want) <= 1e-3*want+1e-6) // the interpolation has a relative error
		sum += d
	}
	is.True(math.Abs(sum/100_000*math.Ln2-1) < 0.02) // mean of an exponential variable
}

// Guards against hosts whose share of the buckets is not in proportion to their weights,
// and against a second choice in the data centre of the first.
func TestBucketsFollowWeights(t *testing.T) {
	is := is.New(t)
	var heavyBuckets int
	for service := range 100 {
		members := testMembers(8, 4)
		members[0].Weight = 4000
		spec := testSpec(1, members)
		spec.ServiceId, spec.Service = uint32(service+1), nil
		table := mustBuild(t, spec)
		for b := range uint64(Buckets) {
			first, second := table.Member(table.Route(b).Hops[0].Address), table.Member(table.Route(b).SecondChoice)
			if first.Host == "host-0" {
				heavyBuckets++
			}
			is.True(first.DataCentre != second.DataCentre)
		}
	}
	share := float64(heavyBuckets) / (100 * Buckets)
	is.True(math.Abs(share-4.0/11) < 0.01)
}

// Guards against paths that have a wrong hop or role version, or the same host in
// consecutive hops, when the versions switch between two sets of hosts and back.
func TestPathMergesConsecutiveEqualHosts(t *testing.T) {
	is := is.New(t)
	a, b := testMembers(4, 2), testMembers(5, 2)
	table := mustBuild(t, testSpec(9, b, b, a, b))
	is.Equal(table.Version(), uint64(9))
	is.Equal(table.OldestVersion(), uint64(6))
	var threeHops int
	for bucket := range uint64(Buckets) {
		route := table.Route(bucket)
		is.True(len(route.Hops) == 1 || len(route.Hops) == 3)
		is.Equal(route.Hops[len(route.Hops)-1].RoleVersion, uint64(6))
		if len(route.Hops) == 3 {
			threeHops++
			is.Equal(route.Hops[0].RoleVersion, uint64(8))
			is.Equal(route.Hops[1].RoleVersion, uint64(7))
			is.Equal(route.Hops[0].Address, route.Hops[2].Address)
		}
		is.Equal(table.AppendPath(nil, bucket, 8), []flow.Hop{{Address: route.Hops[0].Address, RoleVersion: 8}})
		is.True(len(table.AppendDirectoryAddresses(nil, bucket)) >= 2)
		var h flow.Header
		is.True(table.SetPath(&h, bucket))
		is.Equal(h.Path[:h.PathLen], route.Hops)
		is.Equal(h.SecondChoice, route.SecondChoice)
		is.Equal(h.Version, uint64(9))
	}
	is.True(threeHops > 0)
}

// Guards against draining hosts that get buckets while others are active, and against
// flows that are not found once all hosts of a service drain.
func TestDrainingHostsAreNotChoices(t *testing.T) {
	is := is.New(t)
	members := testMembers(3, 1)
	members[0].Draining = true
	table := mustBuild(t, testSpec(1, members))
	for bucket := range uint64(Buckets) {
		is.True(table.Route(bucket).Hops[0].Address != table.Members()[0].Address)
		is.True(table.Route(bucket).SecondChoice != table.Members()[0].Address)
	}
	members[1].Draining, members[2].Weight = true, 0
	table = mustBuild(t, testSpec(1, members))
	is.Equal(len(table.Route(1).Hops), 1)
	table = mustBuild(t, testSpec(1, nil))
	is.Equal(len(table.Route(1).Hops), 0)
	is.Equal(table.NextMember(1, func(netip.AddrPort) bool { return false }), nil)
	table = mustBuild(t, testSpec(1, testMembers(1, 1)))
	is.Equal(table.Route(1).SecondChoice, netip.AddrPort{})
}

// Guards against an order of the members of a flow that repeats a member or does not
// begin with the first and second choice. Agents that see different orders would confirm
// a flow with different witnesses.
func TestNextMemberFollowsOrder(t *testing.T) {
	is := is.New(t)
	table := mustBuild(t, testSpec(1, testMembers(6, 3)))
	seen := make(map[netip.AddrPort]bool)
	for i := range 6 {
		m := table.NextMember(99, func(a netip.AddrPort) bool { return seen[a] })
		switch i {
		case 0:
			is.Equal(m.Address, table.Route(99).Hops[0].Address)
		case 1:
			is.Equal(m.Address, table.Route(99).SecondChoice)
		}
		is.True(!seen[m.Address])
		seen[m.Address] = true
	}
	is.Equal(table.NextMember(99, func(a netip.AddrPort) bool { return seen[a] }), nil)
}

// Guards against Build accepting an invalid spec, from which two processes could build
// different tables.
func TestBuildRejects(t *testing.T) {
	tests := []struct {
		name   string
		change func(spec *controlpb.TableSpec)
	}{
		{"no service id", func(s *controlpb.TableSpec) { s.ServiceId = 0 }},
		{"other service", func(s *controlpb.TableSpec) { s.Service.Id = 8 }},
		{"no versions", func(s *controlpb.TableSpec) { s.Versions = nil }},
		{"five versions", func(s *controlpb.TableSpec) { *s = *testSpec(9, nil, nil, nil, nil, nil) }},
		{"gap", func(s *controlpb.TableSpec) { s.Versions[1].Version = 3 }},
		{"version 0", func(s *controlpb.TableSpec) { *s = *testSpec(1, nil, nil) }},
		{"no host name", func(s *controlpb.TableSpec) { s.Versions[0].Members[0].Host = "" }},
		{"bad address", func(s *controlpb.TableSpec) { s.Versions[0].Members[0].Address = "127.0.0.1" }},
		{"bad control address", func(s *controlpb.TableSpec) { s.Versions[0].Members[0].ControlAddress = "x" }},
		{"host twice", func(s *controlpb.TableSpec) { s.Versions[0].Members[0].Host = "host-1" }},
		{"address twice", func(s *controlpb.TableSpec) {
			s.Versions[0].Members[0].Address = s.Versions[0].Members[1].Address
		}},
		{"weight", func(s *controlpb.TableSpec) { s.Versions[0].Members[0].Weight = maxWeight + 1 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			spec := testSpec(5, testMembers(3, 1), testMembers(3, 1))
			tt.change(spec)
			_, err := Build(spec)
			is.New(t).True(err != nil)
		})
	}
}

// Guards against a small change of one weight that moves many buckets, or moves buckets
// between other hosts.
func TestCompareSmallChange(t *testing.T) {
	is := is.New(t)
	before, after := testMembers(10, 2), testMembers(10, 2)
	after[3].Weight = 1100
	diff, err := Compare(testSpec(1, before), testSpec(2, after))
	is.NoErr(err)
	is.True(diff.MovedBuckets <= 12) // on average, 1% of the buckets move
	for _, s := range diff.Hosts {
		is.Equal(s.BucketsAfter > s.BucketsBefore, s.Host == "host-3")
	}
	diff, err = Compare(nil, testSpec(2, after))
	is.NoErr(err)
	is.Equal(diff.MovedBuckets, Buckets)
	is.Equal(len(diff.Hosts), 10)
}

// Guards against a change of the hash functions or of their use. Two releases of the
// program that run side by side would then build different tables from the same spec.
func TestPlacementIsStable(t *testing.T) {
	is := is.New(t)
	members := testMembers(20, 4)
	for i, m := range members {
		m.Weight = uint32(125 * (i + 1))
	}
	table := mustBuild(t, testSpec(1, members))
	digest := xxhash.New()
	for _, b := range table.buckets {
		fmt.Fprintln(digest, table.firstChoices[b.pathIndex][0], b.secondChoice)
	}
	is.Equal(digest.Sum64(), uint64(1865411871934725336))
}
