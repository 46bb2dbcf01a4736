package owner

import (
	"net/netip"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// Effect is an action that the adapter must carry out. The Data of an effect is the
// whole IP packet of the caller that the effect applies to.
type Effect interface{ isEffect() }

type (
	// Deliver sends a packet to the backend server.
	Deliver struct {
		Key  flow.Key
		Data []byte
		// LocalPort is the known local port of the flow's socket, or 0.
		LocalPort uint16
		// ReturnAddress is the data address of the balancer that gets the replies.
		ReturnAddress netip.AddrPort
	}
	// Forward sends a packet to the agent at To.
	Forward struct {
		To     netip.AddrPort
		Header flow.Header
		Data   []byte
	}
	// Refuse sends a refusal to the caller through the balancer at ReturnAddress. It
	// guarantees that the work was not run.
	Refuse struct {
		Key           flow.Key
		Reason        flow.Reason
		ReturnAddress netip.AddrPort
		Data          []byte
	}
	// Reset sends a reset to the caller through the balancer at ReturnAddress. The
	// flow is lost; its work may or may not have run.
	Reset struct {
		Key           flow.Key
		Reason        flow.Reason
		ReturnAddress netip.AddrPort
		Data          []byte
	}
	// Hint lets the balancer at To cache this agent as the owner of the flow, so that
	// later packets come here directly.
	Hint struct {
		To  netip.AddrPort
		Key flow.Key
	}
	// Drop discards a packet.
	Drop struct{ Reason flow.Reason }
	// Report sends directory entries to the agent at To.
	Report struct {
		To     netip.AddrPort
		Report *controlpb.FlowReport
	}
	// ReportAck confirms a report of the agent at To. The adapter must send a
	// FlowReportAck only for this effect: a report that contradicts the directory is
	// not confirmed.
	ReportAck struct {
		To       netip.AddrPort
		Sequence uint64
	}
	// TableAck acknowledges a table version to the balancers.
	TableAck struct {
		Version uint64
		// Transferred is set when the peers have confirmed all entries for the version.
		Transferred bool
	}
	// CloseFlow closes the local socket of a flow that ended or went to another host.
	CloseFlow struct{ Key flow.Key }
	// BindFlow opens the local socket of a flow before its first packet is delivered,
	// or reopens the socket of a recovered flow on its port. If LocalPort is 0, any
	// port will do. The adapter reports the outcome with PortBound.
	BindFlow struct {
		Key       flow.Key
		LocalPort uint16
	}
)

func (*Deliver) isEffect()   {}
func (*Forward) isEffect()   {}
func (*Refuse) isEffect()    {}
func (*Reset) isEffect()     {}
func (*Hint) isEffect()      {}
func (*Drop) isEffect()      {}
func (*Report) isEffect()    {}
func (*ReportAck) isEffect() {}
func (*TableAck) isEffect()  {}
func (*CloseFlow) isEffect() {}
func (*BindFlow) isEffect()  {}
