package owner

import (
	"net/netip"
	"time"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// TickInterval is the interval at which the adapter sends Tick events. Reports to
// peers are sent at this interval.
const TickInterval = 50 * time.Millisecond

// Event is something that the adapter reports to HandleEvent.
type Event interface{ isEvent() }

type (
	// SpecReceived reports a table spec of the service that the agent serves. A spec
	// that is invalid or not newer than the present one is ignored.
	SpecReceived struct{ Spec *controlpb.TableSpec }
	// PeerConnected reports a new control stream to the agent at Peer.
	PeerConnected struct{ Peer netip.AddrPort }
	// PeerDisconnected reports that the control stream to the agent at Peer broke.
	PeerDisconnected struct{ Peer netip.AddrPort }
	// ReportReceived reports directory entries that the agent at Peer sent.
	ReportReceived struct {
		Peer   netip.AddrPort
		Report *controlpb.FlowReport
	}
	// ReportAcked reports that Peer has applied the report with Sequence.
	ReportAcked struct {
		Peer     netip.AddrPort
		Sequence uint64
	}
	// ReplySeen reports that the backend server replied on a flow, which frees the
	// slot of the flow.
	ReplySeen struct{ Key flow.Key }
	// PortBound reports the local port of the socket that the datagram adapter opened
	// for a flow, or 0 if it could not open one.
	PortBound struct {
		Key  flow.Key
		Port uint16
	}
	// DrainChanged starts draining if Drain is true, and ends it otherwise.
	DrainChanged struct{ Drain bool }
	// Stopping announces a planned stop of the agent. From then on the agent accepts no
	// new flow and reports its entries to its peers. It may stop once Flushed reports
	// true.
	Stopping struct{}
	// Tick makes expired deadlines take effect. The adapter sends it every TickInterval.
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
