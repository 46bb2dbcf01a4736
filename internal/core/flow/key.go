// Package flow holds the types that the packages router, table and owner and the packet
// codecs share: flow keys, packets of callers, the header with which balancers and agents
// send such a packet through a tunnel, and the reasons of drops, refusals and resets.
//
// A flow is the packets between one address of a caller and one address of a service with
// one IP protocol. The agent whose backend server handles the flow is its owner; other
// agents hold directory entries that name the owner. Package table describes table
// versions, the first and second choices in them, and paths. The types hold no state of
// the system, and the package depends on no other package of the program.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// keySize is the number of bytes that Hash hashes: two addresses, two ports and the
// protocol.
const keySize = 16 + 16 + 2 + 2 + 1

// Key identifies a flow by protocol, source and destination. It is comparable, so that it
// can be the key of a map.
type Key struct {
	source          [16]byte
	destination     [16]byte
	sourcePort      uint16
	destinationPort uint16
	protocol        uint8
}

// NewKey returns the key of the flow from source, the caller, to destination, the service.
// protocol is an IP protocol number. An IPv4 address and the IPv4-mapped IPv6 address of it
// give the same key.
func NewKey(protocol uint8, source, destination netip.AddrPort) Key {
	return Key{
		source:          source.Addr().As16(),
		destination:     destination.Addr().As16(),
		sourcePort:      source.Port(),
		destinationPort: destination.Port(),
		protocol:        protocol,
	}
}

// Protocol returns the IP protocol number.
func (k Key) Protocol() uint8 { return k.protocol }

// Source returns the address and port of the caller.
func (k Key) Source() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.source).Unmap(), k.sourcePort)
}

// Destination returns the address and port of the service.
func (k Key) Destination() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.destination).Unmap(), k.destinationPort)
}

// DestinationWords returns the address of the service, in its 16-byte form as two
// little-endian words, and the port. It takes less time than Destination.
func (k *Key) DestinationWords() (high, low uint64, port uint16) {
	return binary.LittleEndian.Uint64(k.destination[:8]), binary.LittleEndian.Uint64(k.destination[8:]), k.destinationPort
}

// Hash returns the 64-bit xxHash of the key, which is the same in every process.
func (k Key) Hash() uint64 {
	var b [keySize]byte
	copy(b[0:16], k.source[:])
	copy(b[16:32], k.destination[:])
	binary.BigEndian.PutUint16(b[32:34], k.sourcePort)
	binary.BigEndian.PutUint16(b[34:36], k.destinationPort)
	b[36] = k.protocol
	return xxhash.Sum64(b[:])
}
