// Package table compiles the table spec of a service: which hosts a flow is
// looked for at, and in which order. Balancers and agents build the same table
// from the same spec, on any machine.
package table

import (
	"net/netip"
	"slices"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// Buckets is the number of buckets of a service.
const Buckets = 512

// none marks a bucket without a choice.
const none = ^uint16(0)

// Member is a host of a service in one table version.
type Member struct {
	Host           string
	Address        netip.AddrPort
	ControlAddress netip.AddrPort
	DataCentre     string
	Incarnation    uint64
	// Weight is the effective weight in thousandths.
	Weight      uint32
	Draining    bool
	Slots       uint32
	Connections uint32
}

// Active reports whether the member takes new flows.
func (m *Member) Active() bool { return !m.Draining && m.Weight > 0 }

// Route is where the flows of one bucket are looked for. It is shared by all
// callers and must not be changed.
type Route struct {
	// Hops holds the first choices from the newest to the oldest version.
	// Consecutive equal hosts are one hop with the lower role version. It is
	// empty when no version has a member.
	Hops []flow.Hop
	// SecondChoice is the second choice of the newest version. It is the zero
	// value when that version has one host.
	SecondChoice netip.AddrPort
}

// Table is the compiled form of a table spec. It does not change.
type Table struct {
	service  *controlpb.Service
	id       uint32
	config   uint64
	versions []version
	routes   []Route
}

// version is the placement of one table version.
type version struct {
	number  uint64
	members []Member
	// eligible holds the indices of the members that buckets are placed on.
	eligible []uint16
	// seeds and inverses are the hash seed and reciprocal weight by member.
	seeds, inverses []uint64
	first, second   [Buckets]uint16
	byAddress       map[netip.AddrPort]uint16
}

// Bucket returns the bucket of a flow hash.
func Bucket(hash uint64) int { return int(hash % Buckets) }

// Route returns where a flow with the given hash is looked for.
func (t *Table) Route(hash uint64) *Route { return &t.routes[Bucket(hash)] }

// ServiceID returns the id of the service.
func (t *Table) ServiceID() uint32 { return t.id }

// Service returns the definition of the service, or nil when the spec had none.
func (t *Table) Service() *controlpb.Service { return t.service }

// ConfigVersion returns the configuration version in which the definition of
// the service last changed.
func (t *Table) ConfigVersion() uint64 { return t.config }

// Version returns the newest version.
func (t *Table) Version() uint64 { return t.versions[0].number }

// OldestVersion returns the oldest retained version.
func (t *Table) OldestVersion() uint64 { return t.versions[len(t.versions)-1].number }

// Members returns the members of the newest version in the order of the spec.
// The slice is shared and must not be changed.
func (t *Table) Members() []Member { return t.versions[0].members }

// Member returns the member of the newest version with the given data address,
// or nil.
func (t *Table) Member(address netip.AddrPort) *Member { return t.versions[0].member(address) }

// AnyMember returns the member with the given data address in the newest
// retained version that has one, or nil.
func (t *Table) AnyMember(address netip.AddrPort) *Member {
	for i := range t.versions {
		if m := t.versions[i].member(address); m != nil {
			return m
		}
	}
	return nil
}

// AppendPath appends the hops of a flow from the newest version down to oldest,
// which an agent uses to extend the path of a packet that was routed by an
// older table. A version that is no longer retained adds no hop.
func (t *Table) AppendPath(hops []flow.Hop, hash, oldest uint64) []flow.Hop {
	b := Bucket(hash)
	start := len(hops)
	for i := range t.versions {
		v := &t.versions[i]
		if v.number < oldest {
			break
		}
		if v.first[b] == none {
			continue
		}
		address := v.members[v.first[b]].Address
		if len(hops) > start && hops[len(hops)-1].Address == address {
			hops[len(hops)-1].RoleVersion = v.number
			continue
		}
		hops = append(hops, flow.Hop{Address: address, RoleVersion: v.number})
	}
	return hops
}

// AppendDirectory appends the data addresses of the first and second choices of
// every retained version of a flow, each once. They hold its directory entries.
func (t *Table) AppendDirectory(addresses []netip.AddrPort, hash uint64) []netip.AddrPort {
	b := Bucket(hash)
	start := len(addresses)
	for i := range t.versions {
		v := &t.versions[i]
		for _, choice := range [2]uint16{v.first[b], v.second[b]} {
			if choice == none {
				continue
			}
			if address := v.members[choice].Address; !slices.Contains(addresses[start:], address) {
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}

// Next returns the first member of the newest version, in the order of a flow,
// that skip does not exclude, or nil. The order is the first choice, the second
// choice, then the others by rendezvous score.
func (t *Table) Next(hash uint64, skip func(address netip.AddrPort) bool) *Member {
	v := &t.versions[0]
	b := Bucket(hash)
	for _, choice := range [2]uint16{v.first[b], v.second[b]} {
		if choice != none && !skip(v.members[choice].Address) {
			return &v.members[choice]
		}
	}
	var next *Member
	var best uint64
	for _, i := range v.eligible {
		m := &v.members[i]
		if i == v.first[b] || i == v.second[b] || skip(m.Address) {
			continue
		}
		if s := score(draw(v.seeds[i], b), v.inverses[i]); next == nil || s < best {
			next, best = m, s
		}
	}
	return next
}

func (v *version) member(address netip.AddrPort) *Member {
	i, ok := v.byAddress[address]
	if !ok {
		return nil
	}
	return &v.members[i]
}
