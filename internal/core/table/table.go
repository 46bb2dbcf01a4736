// Package table compiles the table spec of a service: which hosts a flow is
// looked for at, and in which order. Balancers and agents build the same table
// from the same spec, on any machine.
package table

import (
	"encoding/binary"
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

// Route is where the flows of one bucket are looked for.
type Route struct {
	// Hops holds the first choices from the newest to the oldest version.
	// Consecutive equal hosts are one hop with the lower role version. It is
	// empty when no version has a member. It is shared and must not be changed.
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
	newest   uint64
	versions []version
	buckets  [Buckets]bucket
	// choices holds the distinct first choices by version, and paths the same as
	// hops.
	choices []choices
	paths   []path
	// seconds holds the second choices by version.
	seconds [Buckets]choices
	// addresses holds the data addresses of the members of all versions, and
	// compact the same in less memory.
	addresses []netip.AddrPort
	compact   []uint64
}

// bucket holds an index of choices and the second choice of the newest version.
// A decision reads one bucket, one entry of choices and a few of compact, which
// are small so that those of all services stay in a core's cache.
type bucket struct{ path, second uint16 }

// choices holds indices of addresses by version, newest first.
type choices [flow.MaxPathLen]uint16

// path is the hops of the buckets with equal choices.
type path struct {
	hops  [flow.MaxPathLen]flow.Hop
	count int
}

// version is one table version.
type version struct {
	number  uint64
	members []Member
	// eligible holds the indices of the members that buckets are placed on.
	eligible []uint16
	// addresses is the index of the address of each member in the table.
	addresses []uint16
	// seeds and inverses are the hash seed and reciprocal weight by member.
	seeds, inverses []uint64
	byAddress       map[netip.AddrPort]uint16
}

// Bucket returns the bucket of a flow hash.
func Bucket(hash uint64) int { return int(hash % Buckets) }

// Route returns where a flow with the given hash is looked for.
func (t *Table) Route(hash uint64) (r Route) {
	b := t.buckets[Bucket(hash)]
	p := &t.paths[b.path]
	r.Hops = p.hops[:p.count:p.count]
	r.SecondChoice = t.Address(b.second)
	return r
}

// SetPath fills in the version, the path and the second choice of a header. It
// reports whether the path has a hop.
func (t *Table) SetPath(h *flow.Header, hash uint64) bool {
	b := t.buckets[Bucket(hash)]
	first := &t.choices[b.path]
	newest := t.newest
	h.Version = newest
	h.SecondChoice = t.Address(b.second)
	n := 0
	last := none
	for i := range t.versions {
		choice := first[i]
		if choice == none {
			continue
		}
		if choice != last {
			last = choice
			h.Path[n].Address = t.Address(choice)
			n++
		}
		h.Path[n-1].RoleVersion = newest - uint64(i)
	}
	setPathLen(h, n)
	return n > 0
}

// setPathLen ends a path after n hops and clears those that an earlier, longer
// path left behind them.
func setPathLen(h *flow.Header, n int) {
	if n < h.PathLen {
		clear(h.Path[n:h.PathLen])
	}
	h.PathLen = n
}

// SetPathAvoiding does what SetPath does, but puts the second choice of a version
// in the place of a first choice that is suspected, unless that is suspected as
// well. The host is not left out: a path of another version would then no longer
// share the host that decides.
func (t *Table) SetPathAvoiding(h *flow.Header, hash uint64, suspected map[netip.AddrPort]struct{}) bool {
	if !t.SetPath(h, hash) {
		return false
	}
	first, second := &t.choices[t.buckets[Bucket(hash)].path], &t.seconds[Bucket(hash)]
	n := 0
	for i := range t.versions {
		if first[i] == none {
			continue
		}
		address := t.Address(first[i])
		if _, ok := suspected[address]; ok && second[i] != none {
			other := t.Address(second[i])
			if _, ok := suspected[other]; !ok {
				address = other
				h.FirstSuspected = h.FirstSuspected || i == 0
			}
		}
		if n == 0 || h.Path[n-1].Address != address {
			h.Path[n].Address = address
			n++
		}
		h.Path[n-1].RoleVersion = t.newest - uint64(i)
	}
	setPathLen(h, n)
	return true
}

// Address returns the data address with an index of Addresses, or the zero value
// when there is none.
func (t *Table) Address(index uint16) (address netip.AddrPort) {
	if int(index) >= len(t.compact) {
		return address
	}
	c := t.compact[index]
	if c == 0 {
		return t.addresses[index]
	}
	ip := [4]byte{byte(c >> 40), byte(c >> 32), byte(c >> 24), byte(c >> 16)}
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(c))
}

// compactOf returns an IPv4 address and port in 48 bits below a 1, or 0 for an
// IPv6 address.
func compactOf(address netip.AddrPort) uint64 {
	if !address.Addr().Is4() {
		return 0
	}
	ip := address.Addr().As4()
	return 1<<48 | uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(address.Port())
}

// ServiceID returns the id of the service.
func (t *Table) ServiceID() uint32 { return t.id }

// Service returns the definition of the service, or nil when the spec had none.
func (t *Table) Service() *controlpb.Service { return t.service }

// ConfigVersion returns the configuration version in which the definition of
// the service last changed.
func (t *Table) ConfigVersion() uint64 { return t.config }

// Version returns the newest version.
func (t *Table) Version() uint64 { return t.newest }

// OldestVersion returns the oldest retained version.
func (t *Table) OldestVersion() uint64 { return t.versions[len(t.versions)-1].number }

// Members returns the members of the newest version in the order of the spec.
// The slice is shared and must not be changed.
func (t *Table) Members() []Member { return t.versions[0].members }

// Member returns the member of the newest version with the given data address,
// or nil.
func (t *Table) Member(address netip.AddrPort) *Member { return t.versions[0].member(address) }

// Addresses returns the data addresses of the members of all retained versions
// each once. The slice is shared and must not be changed.
func (t *Table) Addresses() []netip.AddrPort { return t.addresses }

// RetainedMember returns the member with the given data address in the newest
// retained version that has one, or nil.
func (t *Table) RetainedMember(address netip.AddrPort) *Member {
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
	first := &t.choices[t.buckets[Bucket(hash)].path]
	start := len(hops)
	for i := range t.versions {
		number := t.versions[i].number
		if number < oldest {
			break
		}
		if first[i] == none {
			continue
		}
		address := t.addresses[first[i]]
		if len(hops) > start && hops[len(hops)-1].Address == address {
			hops[len(hops)-1].RoleVersion = number
			continue
		}
		hops = append(hops, flow.Hop{Address: address, RoleVersion: number})
	}
	return hops
}

// AppendDirectoryAddresses appends the data addresses of the first and second choices of
// every retained version of a flow, each once. They hold its directory entries.
func (t *Table) AppendDirectoryAddresses(addresses []netip.AddrPort, hash uint64) []netip.AddrPort {
	first, second := &t.choices[t.buckets[Bucket(hash)].path], &t.seconds[Bucket(hash)]
	start := len(addresses)
	for i := range t.versions {
		for _, choice := range [2]uint16{first[i], second[i]} {
			if choice == none {
				continue
			}
			if address := t.addresses[choice]; !slices.Contains(addresses[start:], address) {
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}

// NextMember returns the first member of the newest version, in the order of a flow,
// that skip does not exclude, or nil. The order is the first choice, the second
// choice, then the others by rendezvous score.
func (t *Table) NextMember(hash uint64, skip func(address netip.AddrPort) bool) *Member {
	v := &t.versions[0]
	b := t.buckets[Bucket(hash)]
	first := t.choices[b.path][0]
	for _, choice := range [2]uint16{first, b.second} {
		if choice != none && !skip(t.addresses[choice]) {
			return v.member(t.addresses[choice])
		}
	}
	var next *Member
	var best uint64
	for _, i := range v.eligible {
		m := &v.members[i]
		if a := v.addresses[i]; a == first || a == b.second || skip(m.Address) {
			continue
		}
		if s := score(draw(v.seeds[i], Bucket(hash)), v.inverses[i]); next == nil || s < best {
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
