package packet

import "time"

// HostState says whether a host takes new flows.
type HostState uint8

// The states of a host.
const (
	// HostUnknown is the state before the first heartbeat of a host.
	HostUnknown HostState = iota
	HostReady
	HostDraining
	// HostGone is the state of a host that has deregistered.
	HostGone
	// HostUnresponsive is the state of a host without heartbeats or answers.
	HostUnresponsive
)

// String returns the name of the state for logs.
func (s HostState) String() string {
	names := [...]string{"unknown", "ready", "draining", "gone", "unresponsive"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Load is what an agent knows of the work at its host.
type Load struct {
	// Slots is how many requests the host works on at once.
	Slots int
	// OutstandingRequests is the number of requests that wait for an answer.
	OutstandingRequests int
	// OpenFlows is the number of open flows.
	OpenFlows int
	// Latency is the moving average of the time to an answer.
	Latency time.Duration
	// Utilisation is the moving average of Busy over Slots.
	Utilisation float64
}

// ReturnReason says why an agent returned a packet.
type ReturnReason uint8

// The reasons for which agents return packets.
const (
	ReturnUnspecified ReturnReason = iota
	// ReturnNotHeld means that the host does not hold the flow.
	ReturnNotHeld
	// ReturnRefused means that the host refused the first packet of the flow.
	ReturnRefused
	// ReturnNoHost means that no host is known, or that it does not answer.
	ReturnNoHost
	// ReturnDraining means that the host is leaving.
	ReturnDraining
	// ReturnWrongService means that the host serves another service.
	ReturnWrongService
	// ReturnBusy means that the host has as much work as it may hold.
	ReturnBusy
)

// String returns the name of the reason for logs and metrics.
func (r ReturnReason) String() string {
	names := [...]string{"unspecified", "not_held", "refused", "no_host", "draining", "wrong_service", "busy"}
	if int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}
