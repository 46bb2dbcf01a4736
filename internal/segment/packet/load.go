package packet

import (
	"time"

	"agateramp/internal/segment/hosthealth"
)

// HostState is the state of a host as its agent reports it. Only hosts in HostReady
// get new flows.
type HostState uint8

// The states of a host.
const (
	// HostUnknown is the state before the first heartbeat of the host.
	HostUnknown HostState = iota
	// HostReady is the state of a host that takes new flows.
	HostReady
	// HostDraining is the state of a host that keeps its flows but takes no new ones.
	HostDraining
	// HostGone is the state of a host that has deregistered.
	HostGone
	// HostUnresponsive is the state of a host that sends no heartbeats or does not
	// answer first packets.
	HostUnresponsive
)

// String returns the name of the state as it is logged, and "invalid" for a value
// without a name.
func (s HostState) String() string {
	names := [...]string{"unknown", "ready", "draining", "gone", "unresponsive"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Load is the load of a host as measured by its agent.
type Load struct {
	// Slots is the number of requests that the host processes concurrently; 0 means
	// that it is not known.
	Slots int
	// OutstandingRequests is the number of requests without an answer, whether the host
	// processes them or has queued them.
	OutstandingRequests int
	// OpenFlows is the number of open flows.
	OpenFlows int
	// Latency is the moving average of the time from a request to its answer. Zero
	// means that none has been measured.
	Latency time.Duration
	// Utilisation is the moving average of the share of Slots that requests occupy,
	// from 0 to 1.
	Utilisation float64
	// Limit is the number of requests in progress that the host takes well, estimated by
	// its agent; 0 means that it is not known.
	Limit int
	// HeldRequests is the number of requests that wait at the agent until the host may
	// get them. They are not part of OutstandingRequests.
	HeldRequests int
	// BaseLatency is the mean time to an answer without queueing, and Rate the number
	// of requests a second that the host can answer. Zero means that they are not known.
	BaseLatency time.Duration
	Rate        float64
	// Health is how the last requests of the host ended; the zero value means that it is not
	// known.
	Health hosthealth.Report
	// Cold is set while the host is cold and its new flows are limited. ColdRoom is then
	// how many it takes now.
	Cold     bool
	ColdRoom int
}

// ReturnReason is why an agent returned a packet to the balancer that sent it.
type ReturnReason uint8

// The reasons for returning a packet.
const (
	// ReturnUnspecified is the zero value, which means that no reason was given.
	ReturnUnspecified ReturnReason = iota
	// ReturnNotHeld means that the host does not hold the flow.
	ReturnNotHeld
	// ReturnRefused means that the host refused the first packet of the flow.
	ReturnRefused
	// ReturnNoHost means that the agent has no host, or that its host does not answer.
	ReturnNoHost
	// ReturnDraining means that the host is draining.
	ReturnDraining
	// ReturnWrongService means that the host serves another service.
	ReturnWrongService
	// ReturnBusy means that the host has reached its limit of outstanding requests.
	ReturnBusy
	// ReturnEvacuated means that the data centre of the host is evacuated.
	ReturnEvacuated
	// ReturnCold means that the host is cold and takes no more new flows at present.
	ReturnCold
)

// String returns the name of the reason as it appears in logs and metrics, and
// "invalid" for a value without a name.
func (r ReturnReason) String() string {
	names := [...]string{"unspecified", "not_held", "refused", "no_host", "draining", "wrong_service", "busy", "evacuated", "cold"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}
