package relay

import (
	"net/netip"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
)

// Decision is one thing that the agent is to do with a packet: Deliver, Redeliver, SendToCaller, Return, Accept, Reset or
// Drop. The Data of a decision is the Data of the packet that was passed in, not a copy, except for Redeliver.
type Decision interface{ decision() }

// Deliver sends a packet of a caller to the host.
type Deliver struct {
	Flow flow.Key
	Data []byte
}

// Redeliver sends the host a copy of a packet of a caller that was delivered before, to learn whether the host still holds
// the flow. Data is valid until the next call of the Relay.
type Redeliver struct {
	Flow flow.Key
	Data []byte
}

// SendToCaller sends a packet of the host to the caller of the flow.
type SendToCaller struct {
	Flow flow.Key
	Data []byte
}

// Return sends a caller's packet back to the balancer that forwarded it, because the host does not accept the packet.
type Return struct {
	Flow     flow.Key
	Balancer netip.Addr
	Reason   packet.ReturnReason
	Data     []byte
}

// Accept notifies a balancer that the host holds a flow.
type Accept struct {
	Flow     flow.Key
	Balancer netip.Addr
	// Handshake is set if the host has just answered the first packet with a SYN+ACK. Sequence is then the host's
	// initial sequence number; otherwise it is 0.
	Sequence  uint32
	Handshake bool
}

// Reset sends the caller a reset of a flow that the host no longer holds.
type Reset struct {
	Flow flow.Key
	// Sequence is the sequence number of the reset, which is the caller's last acknowledgement.
	Sequence uint32
	Reason   Reason
}

// Drop discards a packet. The drop is logged and counted, and no one is notified.
type Drop struct {
	Flow   flow.Key
	Reason Reason
}

// Reason is why a packet was dropped or its flow was reset. Logs and metrics contain it.
type Reason string

// The reasons of drops and resets.
const (
	// ReasonHostAbsent means that the process of the host that held the flow does not run.
	ReasonHostAbsent Reason = "host_absent"
	// ReasonHostLostFlow means that the host bounced a packet of a flow that it held before.
	ReasonHostLostFlow Reason = "host_lost_flow"
	// ReasonUnknownFlow means that the host bounced a packet of a flow that has ended or has no known balancer.
	ReasonUnknownFlow Reason = "unknown_flow"
	// ReasonNotForHost means that a balancer sent a SYN+ACK, which only a host sends to a caller.
	ReasonNotForHost Reason = "not_for_host"
)

func (Deliver) decision()      {}
func (Redeliver) decision()    {}
func (SendToCaller) decision() {}
func (Return) decision()       {}
func (Accept) decision()       {}
func (Reset) decision()        {}
func (Drop) decision()         {}
