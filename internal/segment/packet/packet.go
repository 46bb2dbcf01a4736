// Package packet holds the decoded form of the segments that callers and hosts
// exchange, and the port to their wire format.
package packet

import (
	"net/netip"

	"agateramp/internal/core/flow"
)

// protocolTCP is the IP protocol number in the keys of flows.
const protocolTCP = 6

// Flags are the control bits of a segment.
type Flags uint8

// The control bits of a segment.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	// Bounced marks a packet that a host gave back.
	Bounced
)

// Has reports whether all bits of other are set.
func (f Flags) Has(other Flags) bool { return f&other == other }

// Segment is one decoded packet. Data holds the packet as it was received.
type Segment struct {
	Source, Destination netip.AddrPort
	Flags               Flags
	Sequence            uint32
	Acknowledgement     uint32
	// PayloadLength is the number of payload bytes.
	PayloadLength int
	// Data is the whole packet. A receiver that keeps it makes a copy.
	Data []byte
}

// IsFirstPacket reports whether the segment opens a flow.
func (s *Segment) IsFirstPacket() bool { return s.Flags&(SYN|ACK) == SYN }

// KeyFromCaller returns the key of the flow if the caller is the source.
func (s *Segment) KeyFromCaller() flow.Key {
	return flow.NewKey(protocolTCP, s.Source, s.Destination)
}

// KeyFromHost returns the key of the flow if the host is the source.
func (s *Segment) KeyFromHost() flow.Key {
	return flow.NewKey(protocolTCP, s.Destination, s.Source)
}

// NewKey returns the key of the flow from a caller to a service's address.
func NewKey(caller, service netip.AddrPort) flow.Key {
	return flow.NewKey(protocolTCP, caller, service)
}

// Label is what a balancer tells an agent with a packet.
type Label struct {
	// ServiceTag is the tag of the service that the packet is for.
	ServiceTag uint32
	// Probe is set when the balancer wants to know whether the host holds the flow.
	Probe bool
	// Late is set when the packet opens a flow whose first request will miss its
	// latency objective. Such a flow gets a slot of the host only if one is free.
	Late bool
}

// FlowName returns the name of a flow in the logs of every process.
func FlowName(key flow.Key) string { return key.Source().String() + ">" + key.Destination().String() }

// Codec is the wire format of segments.
type Codec interface {
	// Decode reads a packet. The segment refers to the bytes of data.
	Decode(data []byte) (s Segment, err error)
	// SetLabel prepares a packet for its way to an agent: it writes the label into
	// bytes that the ends of the flow do not read, and clears Bounced.
	SetLabel(data []byte, l Label)
	// Label returns what SetLabel wrote.
	Label(data []byte) (l Label)
	// EncodeReset returns a reset of the flow for its caller.
	EncodeReset(key flow.Key, sequence uint32) (data []byte)
}
