package owner

import (
	"net/netip"
	"time"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// TickInterval is how often an adapter sends a Tick; reports leave at this rate.
const TickInterval = 50 * time.Millisecond

// Event is what an adapter tells the owner.
type Event interface{ isEvent() }

type (
	// SpecReceived brings a table spec of the service that the agent serves.
	SpecReceived struct{ Spec *controlpb.TableSpec }
	// PeerConnected says that a stream to the agent at Peer is new.
	PeerConnected struct{ Peer netip.AddrPort }
	// PeerDisconnected says that the stream to the agent at Peer broke.
	PeerDisconnected struct{ Peer netip.AddrPort }
	// ReportReceived brings directory entries from the agent at Peer.
	ReportReceived struct {
		Peer   netip.AddrPort
		Report *controlpb.FlowReport
	}
	// ReportAcked says that Peer has applied the report with Sequence.
	ReportAcked struct {
		Peer     netip.AddrPort
		Sequence uint64
	}
	// ReplySeen says that the backend server answered on a flow.
	ReplySeen struct{ Key flow.Key }
	// PortBound gives the local port that the datagram adapter opened for a flow, or 0
	// if it could open none.
	PortBound struct {
		Key  flow.Key
		Port uint16
	}
	// DrainChanged starts or ends draining.
	DrainChanged struct{ Drain bool }
	// Stopping comes before a planned stop of the agent. From then on the agent takes
	// no new flow and hands over what it knows; it may stop once Flushed reports true.
	Stopping struct{}
	// Tick lets deadlines pass; it comes every TickInterval.
	Tick struct{}
)

func (SpecReceived) isEvent()     {}
func (PeerConnected) isEvent()    {}
func (PeerDisconnected) isEvent() {}
func (ReportReceived) isEvent()   {}
func (ReportAcked) isEvent()      {}
func (ReplySeen) isEvent()        {}
func (PortBound) isEvent()        {}
func (DrainChanged) isEvent()     {}
func (Stopping) isEvent()         {}
func (Tick) isEvent()             {}
