package router

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
	"slices"

	"agateramp/internal/core/flow"
)

// addressIndex maps service addresses to services. It is a hash table with open
// addressing and linear probing that is at most half full: a decision spends much of
// its time in this lookup, and a Go map takes longer. It is immutable once the router
// uses it.
type addressIndex struct {
	// entries has a power of two as its length.
	entries []addressEntry
	// shift reduces a hash to an index of entries.
	shift int
}

// addressEntry is an entry of an addressIndex. If service is nil, it is free.
type addressEntry struct {
	key     addressKey
	service *service
}

// addressKey is a service address in a form that is fast to compare.
type addressKey struct {
	// high and low are the halves of the address in its 16-byte form.
	high, low uint64
	// protocolPort is the IP protocol number, shifted left by 16 bits, and the port.
	protocolPort uint32
}

// addressKeyOf returns the key of a service address.
func addressKeyOf(protocol uint8, address netip.AddrPort) addressKey {
	b := address.Addr().As16()
	return addressKey{
		high:         binary.LittleEndian.Uint64(b[:8]),
		low:          binary.LittleEndian.Uint64(b[8:]),
		protocolPort: uint32(protocol)<<16 | uint32(address.Port()),
	}
}

// destinationKey returns the key of the service address that is the destination of a
// flow.
func destinationKey(k *flow.Key) addressKey {
	high, low, port := k.DestinationWords()
	return addressKey{high: high, low: low, protocolPort: uint32(k.Protocol())<<16 | uint32(port)}
}

// hash returns a hash of which only the high bits are used: multiplication by odd
// constants makes these depend on all bits of the key.
func (k *addressKey) hash() uint64 {
	return (k.high*0x9e3779b97f4a7c15 ^ bits.RotateLeft64(k.low, 32) + uint64(k.protocolPort)) * 0xbf58476d1ce4e5b9
}

// newAddressIndex returns an empty index with room for the given number of addresses.
func newAddressIndex(addresses int) *addressIndex {
	indexBits := bits.Len(uint(2 * addresses))
	return &addressIndex{entries: make([]addressEntry, 1<<indexBits), shift: 64 - indexBits}
}

// find returns the entry of a key, or the free entry where the key is to be stored.
func (x *addressIndex) find(key *addressKey) *addressEntry {
	for i := key.hash() >> x.shift; ; i++ {
		e := &x.entries[i&uint64(len(x.entries)-1)]
		if e.service == nil || e.key == *key {
			return e
		}
	}
}

// get returns the service at an address, or nil when there is none.
func (x *addressIndex) get(key addressKey) *service { return x.find(&key).service }

// rebuildAddressIndex builds the address index from the services in use and replaces
// the former one. It needs the lock. While an address moves from one service to
// another, the specs of both can list it; the service whose definition has the newer
// configuration version gets it, or the lower id if the versions are equal. An address
// that cannot be parsed is left out.
func (r *Router) rebuildAddressIndex() {
	ids := make([]uint32, 0, len(r.services))
	addresses := 0
	for id, s := range r.services {
		ids = append(ids, id)
		addresses += len(s.state.Load().table.Service().GetAddresses())
	}
	slices.Sort(ids)
	index := newAddressIndex(addresses)
	for _, id := range ids {
		s := r.services[id]
		t := s.state.Load().table
		for _, a := range t.Service().GetAddresses() {
			address, err := netip.ParseAddrPort(a.GetAddress())
			if err != nil {
				continue
			}
			key := addressKeyOf(uint8(a.GetProtocol()), address)
			e := index.find(&key)
			if e.service == nil || e.service.state.Load().table.ConfigVersion() < t.ConfigVersion() {
				*e = addressEntry{key: key, service: s}
			}
		}
	}
	r.addresses.Store(index)
}
