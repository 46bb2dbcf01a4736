// Package table compiles the table spec of a service into a Table, which gives the
// hosts at which a flow is looked for, and their order. The table spec lists the hosts
// of the service in the newest table version and in the older versions that are still
// retained.
//
// A flow hash belongs to one of the buckets. In each version, a bucket has a first
// and a second choice among the eligible hosts, selected by weighted rendezvous hashing
// and, where possible, in different data centres. Eligible are the active hosts or, if
// none is active, all hosts of the version. The path of a flow is the first choices
// of its bucket from the newest to the oldest retained version, so that a flow that an
// older version placed is found.
//
// Balancers and agents that build a Table from the same spec get the same one, on any
// machine and with any release of the program. How a spec is made and distributed, and
// which hosts are alive, is left to other packages.
package table

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// Buckets is the number of buckets of a service in each version.
const Buckets = 512

// noIndex stands for the index of a member or address when a bucket has no choice.
const noIndex = ^uint16(0)

// Member is a host of a service in one table version.
type Member struct {
	Host string
	// Address is the data address of the agent.
	Address netip.AddrPort
	// ControlAddress is the address of the agent for streams from other agents. It is
	// the zero value when the spec has none.
	ControlAddress netip.AddrPort
	DataCentre     string
	// Incarnation differs between processes of the agent.
	Incarnation uint64
	// Weight is the effective weight in thousandths.
	Weight   uint32
	Draining bool
	// Slots is the number of requests that the backend server works on at once.
	Slots uint32
	// Connections is the largest number of open flows.
	Connections uint32
}

// Active reports whether the member receives new flows.
func (m *Member) Active() bool { return !m.Draining && m.Weight > 0 }

// Route is the path and the second choice of the flows of one bucket.
type Route struct {
	// Hops holds the first choices from the newest to the oldest version. A host that
	// is the first choice in consecutive versions is one hop, with the lowest of these
	// versions as its role version. Hops is empty when no version has a member. It is
	// shared and must not be changed.
	Hops []flow.Hop
	// SecondChoice is the data address of the second choice of the newest version. It
	// is the zero value when that version has fewer than two eligible hosts.
	SecondChoice netip.AddrPort
}

// Table is the compiled form of a table spec. It is immutable, and safe for concurrent
// use.
type Table struct {
	service       *controlpb.Service
	id            uint32
	configVersion uint64
	newestVersion uint64
	versions      []version
	buckets       [Buckets]bucket
	// firstChoices holds the first choices in each version. Buckets whose first choices
	// are equal in all versions share an entry. paths holds the hops of each entry.
	firstChoices []addressIndices
	paths        []path
	// secondChoices holds, by bucket, the second choices in each version.
	secondChoices [Buckets]addressIndices
	// addresses holds the data addresses of the members of all versions, each once.
	// packedAddresses holds the IPv4 ones in less memory (packAddress).
	addresses       []netip.AddrPort
	packedAddresses []uint64
}

// bucket holds an index of firstChoices and paths, and the index of the address of the
// second choice of the newest version. SetPath reads one bucket, one entry of
// firstChoices and a few of packedAddresses, which are small so that those of all
// services stay in the cache of a CPU core.
type bucket struct{ pathIndex, secondChoice uint16 }

// addressIndices holds one index of addresses, or noIndex, for each version, newest
// first.
type addressIndices [flow.MaxPathLen]uint16

// path is the hops of all buckets with the same first choices in all versions.
type path struct {
	hops  [flow.MaxPathLen]flow.Hop
	count int
}

// version is one retained version of a table.
type version struct {
	number  uint64
	members []Member
	// eligible holds the indices of the members that can be choices of a bucket.
	eligible []uint16
	// addressIndices holds, by member, the index of its address in Table.addresses.
	addressIndices []uint16
	// seeds and inverseWeights hold the hash seed and the reciprocal weight by member.
	// They are 0 for members that are not eligible.
	seeds, inverseWeights []uint64
	// byAddress maps data addresses to indices of members.
	byAddress map[netip.AddrPort]uint16
}

// Bucket returns the bucket of the flow with the given hash.
func Bucket(hash uint64) int { return int(hash % Buckets) }

// Route returns the path and the second choice of the flow with the given hash.
func (t *Table) Route(hash uint64) (r Route) {
	b := t.buckets[Bucket(hash)]
	p := &t.paths[b.pathIndex]
	r.Hops = p.hops[:p.count:p.count]
	r.SecondChoice = t.Address(b.secondChoice)
	return r
}

// SetPath sets the version, the path and the second choice in the header of a packet
// of the flow with the given hash. It returns false when the path is empty.
func (t *Table) SetPath(h *flow.Header, hash uint64) bool {
	b := t.buckets[Bucket(hash)]
	first := &t.firstChoices[b.pathIndex]
	newest := t.newestVersion
	h.Version = newest
	h.SecondChoice = t.Address(b.secondChoice)
	n := 0
	last := noIndex
	for i := range t.versions {
		choice := first[i]
		if choice == noIndex {
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

// setPathLen sets the length of the path in a header to n hops and clears the hops
// after them that an earlier, longer path left there.
func setPathLen(h *flow.Header, n int) {
	if n < h.PathLen {
		clear(h.Path[n:h.PathLen])
	}
	h.PathLen = n
}

// SetPathAvoiding is SetPath, except that the second choice of a version replaces a
// first choice whose data address is in suspected, unless the second choice is
// suspected as well. A suspected hop is replaced and not left out, since otherwise
// paths of different versions would no longer share the host that decides on the
// placement of a flow.
func (t *Table) SetPathAvoiding(h *flow.Header, hash uint64, suspected map[netip.AddrPort]struct{}) bool {
	if !t.SetPath(h, hash) {
		return false
	}
	first, second := &t.firstChoices[t.buckets[Bucket(hash)].pathIndex], &t.secondChoices[Bucket(hash)]
	n := 0
	for i := range t.versions {
		if first[i] == noIndex {
			continue
		}
		address := t.Address(first[i])
		if _, ok := suspected[address]; ok && second[i] != noIndex {
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
		h.Path[n-1].RoleVersion = t.newestVersion - uint64(i)
	}
	setPathLen(h, n)
	return true
}

// Address returns the data address at an index of Addresses, or the zero value when
// the index is out of range.
func (t *Table) Address(index uint16) (address netip.AddrPort) {
	if int(index) >= len(t.packedAddresses) {
		return address
	}
	packed := t.packedAddresses[index]
	if packed == 0 {
		return t.addresses[index]
	}
	ip := [4]byte{byte(packed >> 40), byte(packed >> 32), byte(packed >> 24), byte(packed >> 16)}
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(packed))
}

// packAddress returns an IPv4 address and port in the low 48 bits, with bit 48 set so
// that the result is never 0, or 0 for an IPv6 address.
func packAddress(address netip.AddrPort) uint64 {
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
func (t *Table) ConfigVersion() uint64 { return t.configVersion }

// Version returns the newest table version.
func (t *Table) Version() uint64 { return t.newestVersion }

// OldestVersion returns the oldest retained table version.
func (t *Table) OldestVersion() uint64 { return t.versions[len(t.versions)-1].number }

// Members returns the members of the newest version in the order of the spec.
// The slice is shared and must not be changed.
func (t *Table) Members() []Member { return t.versions[0].members }

// Member returns the member of the newest version with the given data address, or nil
// when there is none.
func (t *Table) Member(address netip.AddrPort) *Member { return t.versions[0].member(address) }

// Addresses returns the data addresses of the members of all retained versions, each
// once. The slice is shared and must not be changed.
func (t *Table) Addresses() []netip.AddrPort { return t.addresses }

// RetainedMember returns the member with the given data address in the newest retained
// version that has it, or nil when none has it.
func (t *Table) RetainedMember(address netip.AddrPort) *Member {
	for i := range t.versions {
		if m := t.versions[i].member(address); m != nil {
			return m
		}
	}
	return nil
}

// AppendPath appends the hops of the flow with the given hash from the newest version
// down to the version oldest. A version that is no longer retained adds no hop. Only
// tests use it.
func (t *Table) AppendPath(hops []flow.Hop, hash, oldest uint64) []flow.Hop {
	first := &t.firstChoices[t.buckets[Bucket(hash)].pathIndex]
	start := len(hops)
	for i := range t.versions {
		number := t.versions[i].number
		if number < oldest {
			break
		}
		if first[i] == noIndex {
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

// AppendDirectoryAddresses appends the data addresses of the agents that hold the
// directory entry of the flow with the given hash: the first and second choices of all
// retained versions, each once.
func (t *Table) AppendDirectoryAddresses(addresses []netip.AddrPort, hash uint64) []netip.AddrPort {
	first, second := &t.firstChoices[t.buckets[Bucket(hash)].pathIndex], &t.secondChoices[Bucket(hash)]
	start := len(addresses)
	for i := range t.versions {
		for _, choice := range [2]uint16{first[i], second[i]} {
			if choice == noIndex {
				continue
			}
			if address := t.addresses[choice]; !slices.Contains(addresses[start:], address) {
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}

// NextMember returns the first member of the newest version for whose data address skip
// returns false, or nil when there is none. The order is specific to the flow with the
// given hash: the first choice, the second choice, then the other eligible members from
// the lowest rendezvous score to the highest.
func (t *Table) NextMember(hash uint64, skip func(address netip.AddrPort) bool) *Member {
	v := &t.versions[0]
	b := t.buckets[Bucket(hash)]
	first := t.firstChoices[b.pathIndex][0]
	for _, choice := range [2]uint16{first, b.secondChoice} {
		if choice != noIndex && !skip(t.addresses[choice]) {
			return v.member(t.addresses[choice])
		}
	}
	var next *Member
	var best uint64
	for _, i := range v.eligible {
		m := &v.members[i]
		if a := v.addressIndices[i]; a == first || a == b.secondChoice || skip(m.Address) {
			continue
		}
		if s := score(draw(v.seeds[i], Bucket(hash)), v.inverseWeights[i]); next == nil || s < best {
			next, best = m, s
		}
	}
	return next
}

// member returns the member with the given data address, or nil when there is none.
func (v *version) member(address netip.AddrPort) *Member {
	i, ok := v.byAddress[address]
	if !ok {
		return nil
	}
	return &v.members[i]
}
