package owner

import (
	"net/netip"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// Effect is what the owner asks an adapter to do.
type Effect interface{ isEffect() }

type (
	// Deliver hands a packet to the backend server.
	Deliver struct {
		Key  flow.Key
		Data []byte
		// LocalPort is the port recovered for the flow, or 0.
		LocalPort uint16
		// ReturnAddress is the balancer to which answers go.
		ReturnAddress netip.AddrPort
	}
	// Forward sends a packet to another agent.
	Forward struct {
		To     netip.AddrPort
		Header flow.Header
		Data   []byte
	}
	// Refuse has the balancer tell the caller that the work was not run.
	Refuse struct {
		Key           flow.Key
		Reason        flow.Reason
		ReturnAddress netip.AddrPort
		Data          []byte
	}
	// Reset has the balancer tell the caller that the flow is gone. It says
	// nothing about work done.
	Reset struct {
		Key           flow.Key
		Reason        flow.Reason
		ReturnAddress netip.AddrPort
		Data          []byte
	}
	// Hint tells a balancer that this agent owns the flow.
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
	// ReportAck confirms a report of the agent at To. It is the only cause to send
	// a FlowReportAck: a report that contradicts the directory gets none.
	ReportAck struct {
		To       netip.AddrPort
		Sequence uint64
	}
	// TableAck confirms a table version to the balancers.
	TableAck struct {
		Version     uint64
		Transferred bool
	}
	// CloseFlow releases the local socket of a flow that ended.
	CloseFlow struct{ Key flow.Key }
	// BindFlow opens the local socket of a flow before its first packet is delivered,
	// or reopens that of a recovered flow on its port. LocalPort is 0 for any port.
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
