// Package packet defines the decoded form of the segments that callers and hosts
// exchange, the label that a balancer adds to them for an agent, and the state and
// load of hosts that agents report. The wire format is left to implementations of
// Codec.
//
// The first packet of a flow is its SYN. A caller and the host that holds the flow
// are its two ends; balancers and agents only forward its packets.
package packet

import (
	"net/netip"
	"time"

	"agateramp/internal/core/flow"
)

// protocolTCP is the IP protocol number in all flow keys of this package.
const protocolTCP = 6

// Flags are the control bits of a segment.
type Flags uint8

// The control bits of a segment.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	// Bounced marks a packet that a host sends back because it refuses the flow or
	// does not hold it.
	Bounced
)

// Has reports whether all bits of other are set.
func (f Flags) Has(other Flags) bool { return f&other == other }

// Segment is one decoded packet.
type Segment struct {
	Source, Destination netip.AddrPort
	Flags               Flags
	Sequence            uint32
	Acknowledgement     uint32
	// PayloadLength is the length of the payload in bytes.
	PayloadLength int
	// Data is the whole packet as it was received. It is the buffer that was decoded,
	// not a copy; code that keeps it must copy it.
	Data []byte
}

// IsFirstPacket reports whether the segment is the first packet of a flow, or a
// retransmission of it: a SYN without ACK.
func (s *Segment) IsFirstPacket() bool { return s.Flags&(SYN|ACK) == SYN }

// KeyFromCaller returns the flow key of a segment that the caller sent.
func (s *Segment) KeyFromCaller() flow.Key {
	return flow.NewKey(protocolTCP, s.Source, s.Destination)
}

// KeyFromHost returns the flow key of a segment that the host sent.
func (s *Segment) KeyFromHost() flow.Key {
	return flow.NewKey(protocolTCP, s.Destination, s.Source)
}

// NewKey returns the flow key for a caller and the address of a service.
func NewKey(caller, service netip.AddrPort) flow.Key {
	return flow.NewKey(protocolTCP, caller, service)
}

// maxSequenceDistance bounds how far apart two sequence numbers of one end of a flow may
// be if neither is old: far more than an end has in flight, and little of the space of
// initial sequence numbers.
const maxSequenceDistance = 1 << 20

// SameSpace reports whether two sequence numbers can be of the same end of the same
// flow. Flows that use the same addresses and ports one after the other have unrelated
// initial sequence numbers.
func SameSpace(a, b uint32) bool {
	distance := int32(a - b)
	return distance > -maxSequenceDistance && distance < maxSequenceDistance
}

// Label is the metadata that a balancer adds to a packet for the receiving agent, or for
// another balancer that relays it.
type Label struct {
	// ServiceTag is the tag of the service that the packet is for, as returned by the
	// function ServiceTag.
	ServiceTag uint32
	// Probe asks the agent to report whether its host holds the flow.
	Probe bool
	// Late marks a first packet whose flow will miss the latency objective of its
	// first request. The agent accepts such a flow only if a slot of its host is free.
	Late bool
	// Class describes the requests of the flow.
	Class RequestClass
	// Relayed marks a packet for another balancer in place of an agent. Of the other
	// fields, only Holder counts.
	Relayed bool
	// Holder is the agent whose host holds the flow, an IPv4 address, or the zero Addr if
	// the holder is not known. It is set only if Relayed is.
	Holder netip.Addr
}

// RequestClass describes the requests of a route, as the balancer's configuration has it.
type RequestClass struct {
	// Known is set if the balancer has a route for the packet and labels packets with
	// its class. If not, the other fields are zero.
	Known bool
	// Priority is the priority of the route; 0 is the highest. A codec may lower it to the
	// lowest that it can encode.
	Priority int
	// LatencyObjective is the time within which a request should be answered; zero means
	// that there is none.
	LatencyObjective time.Duration
	// Timeout is the time after which callers give a request up; zero means that it is not
	// known.
	Timeout time.Duration
}

// FlowName returns the name under which every process logs a flow:
// CALLER_ADDRESS:PORT>SERVICE_ADDRESS:PORT.
func FlowName(key flow.Key) string { return key.Source().String() + ">" + key.Destination().String() }

// Codec reads and writes the wire format of segments.
type Codec interface {
	// Decode parses a packet. The segment refers to data and does not copy it. Decode
	// fails if data is not a valid packet.
	Decode(data []byte) (s Segment, err error)
	// SetLabel prepares a packet for an agent in place: it writes the label into bytes
	// that neither end of the flow reads, and clears Bounced. data must be a packet that
	// Decode accepts.
	SetLabel(data []byte, l Label)
	// Label returns the label that SetLabel wrote into data, which must be a packet that
	// Decode accepts.
	Label(data []byte) (l Label)
	// EncodeReset returns a packet with the given sequence number that resets the flow
	// at its caller.
	EncodeReset(key flow.Key, sequence uint32) (data []byte)
}
