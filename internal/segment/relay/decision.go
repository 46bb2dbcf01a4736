package relay

import (
	"net/netip"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
)

// Decision is what the agent does with a packet.
type Decision interface{ decision() }

// Deliver hands a packet of a caller to the host.
type Deliver struct {
	Flow flow.Key
	Data []byte
}

// ToCaller sends a packet of the host to the caller.
type ToCaller struct {
	Flow flow.Key
	Data []byte
}

// Return gives a packet back to the balancer that sent it.
type Return struct {
	Flow     flow.Key
	Balancer netip.Addr
	Reason   packet.ReturnReason
	Data     []byte
}

// Accept tells a balancer that the host holds a flow.
type Accept struct {
	Flow     flow.Key
	Balancer netip.Addr
	// Sequence is the host's initial sequence number, and Handshake is set, when
	// the host has just answered the first packet.
	Sequence  uint32
	Handshake bool
}

// Reset ends a flow that the host no longer holds towards its caller.
type Reset struct {
	Flow     flow.Key
	Sequence uint32
	Reason   Reason
}

// Drop discards a packet.
type Drop struct {
	Flow   flow.Key
	Reason Reason
}

// Reason says why a packet was dropped or its flow was reset.
type Reason string

// The reasons of drops and resets.
const (
	// ReasonHostRestarted means that the host has started again without its flows.
	ReasonHostRestarted Reason = "host_restarted"
	// ReasonHostLostFlow means that the host gave back a packet of a flow that it held.
	ReasonHostLostFlow Reason = "host_lost_flow"
	// ReasonUnknownFlow is a packet that the host gave back and that no balancer is known for.
	ReasonUnknownFlow Reason = "unknown_flow"
	// ReasonNotForHost is a packet that only callers take.
	ReasonNotForHost Reason = "not_for_host"
)

func (Deliver) decision()  {}
func (ToCaller) decision() {}
func (Return) decision()   {}
func (Accept) decision()   {}
func (Reset) decision()    {}
func (Drop) decision()     {}
