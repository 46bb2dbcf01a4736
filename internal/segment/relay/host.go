package relay

import (
	"time"

	"agateramp/internal/segment/packet"
)

const (
	// maxMissedHeartbeats is how many heartbeats in a row a host may miss before it gets no new flows.
	maxMissedHeartbeats = 3
	// answerTimeout is how long a host may take to answer a first packet before the packet counts as unanswered.
	answerTimeout = 100 * time.Millisecond
	// maxUnanswered is how many first packets in a row may be unanswered before the host counts as unresponsive.
	maxUnanswered = 3
	// A host gets new flows while its outstanding requests and recent offers together are below workLimitFactor times
	// its slots plus workLimitExtra. A request that queues for longer than a request in progress takes would exceed the
	// latency that callers expect, and hosts shed requests beyond their queue. Flows that already miss their latency
	// objective get only free slots, so that flows that can still meet theirs find room.
	workLimitFactor = 1.5
	workLimitExtra  = 2
	// trialInterval is how often an unresponsive host is offered a flow, to see whether it answers again.
	trialInterval = 300 * time.Millisecond
)

// hostPhase is what is known of the process of the host.
type hostPhase uint8

const (
	// phaseUnseen: no heartbeat of a start that may run was received yet.
	phaseUnseen hostPhase = iota
	// phaseRunning: the heartbeats of the current start are in force.
	phaseRunning
	// phaseDeregistered: the current start has reported its end, or an earlier start with the same id has. The process
	// may run and hold flows until a connection to it is refused.
	phaseDeregistered
	// phaseAbsent: no process of the host runs.
	phaseAbsent
)

// host is what is known of the host beside the agent. A start of the host is one run of its process.
type host struct {
	phase hostPhase
	// current is the start whose heartbeats are in force. It is nil in phaseUnseen and phaseAbsent.
	current *hostStart
	// others holds starts that are not the current one: those that were, and those that may become it.
	others []*hostStart
	// lastID is the ID of the last current start, for logs.
	lastID string
	// Until coldLimitedUntil, and while maybeCold is set, the new flows of the host are limited. maybeCold is set until
	// the next heartbeat of the current start after a sign that the host has become cold.
	coldLimitedUntil time.Time
	maybeCold        bool

	// unansweredCount counts first packets in a row without an answer; quietSince is when the host last gave a sign of
	// life, or the start of the relay; nextTrialAt is when an unresponsive host is offered a flow again.
	unansweredCount int
	quietSince      time.Time
	nextTrialAt     time.Time
	// deregisteredAt is valid in phaseDeregistered.
	deregisteredAt time.Time
	// nextProbeAt is when the host is probed again at the earliest.
	nextProbeAt time.Time
	// awaitedSince is when the first packet since quietSince that the host has to answer was delivered. If it is not after
	// quietSince, there was none.
	awaitedSince time.Time
	// refused is set while the last probe was refused and the host has sent no packet since.
	refused bool
}

// State returns the state of the host. It is HostUnresponsive if a ready host has stopped its heartbeats, has left too many
// first packets unanswered, has failed its last requests, or has refused a connection, and HostGone only if no process of the
// host runs.
func (r *Relay) State(now time.Time) packet.HostState {
	h := &r.host
	switch {
	case h.phase == phaseUnseen:
		return packet.HostUnknown
	case h.phase == phaseAbsent:
		return packet.HostGone
	case h.phase == phaseDeregistered:
		return packet.HostDraining
	case r.drains(now):
		return packet.HostDraining
	case now.Sub(h.current.heardAt) > maxMissedHeartbeats*r.heartbeatInterval, h.unansweredCount >= maxUnanswered, h.refused, r.monitor.FailsAll():
		return packet.HostUnresponsive
	}
	return packet.HostReady
}

// HostID returns the ID of the last current start of the host, for logs. It is empty before the first heartbeat.
func (r *Relay) HostID() string { return r.host.lastID }

// HeartbeatAge returns the time since the last heartbeat of the current start of the host. known is false if there is
// none.
func (r *Relay) HeartbeatAge(now time.Time) (age time.Duration, known bool) {
	if r.host.current == nil {
		return 0, false
	}
	return now.Sub(r.host.current.heardAt), true
}

// slots returns how many requests the host processes at once, or 0 if there is no current start.
func (h *host) slots() int {
	if h.current == nil {
		return 0
	}
	return h.current.slots
}

// refusal returns why the host gets no new flow; refused is false if it gets one. A flow is late if it already misses
// its latency objective. If the host does not answer first packets, refusal lets one flow through in each trialInterval.
func (r *Relay) refusal(now time.Time, late bool) (reason packet.ReturnReason, refused bool) {
	if r.evacuated {
		return packet.ReturnEvacuated, true
	}
	switch r.State(now) {
	case packet.HostReady:
	case packet.HostDraining:
		return packet.ReturnDraining, true
	case packet.HostUnresponsive:
		if now.Sub(r.host.current.heardAt) > maxMissedHeartbeats*r.heartbeatInterval || r.host.refused || now.Before(r.host.nextTrialAt) {
			return packet.ReturnNoHost, true
		}
		r.host.nextTrialAt = now.Add(trialInterval)
	case packet.HostUnknown, packet.HostGone:
		return packet.ReturnNoHost, true
	}
	if r.stopping {
		return packet.ReturnNoHost, true
	}
	if r.load.outstandingRequests+r.pendingOffers(now) >= r.workLimit(late) {
		return packet.ReturnBusy, true
	}
	return packet.ReturnUnspecified, false
}

// workLimit returns the number of outstanding requests and recent offers at which the host gets no new flow, or no new
// late flow if late is set.
func (r *Relay) workLimit(late bool) int {
	if late {
		return r.host.slots()
	}
	return int(workLimitFactor*float64(r.host.slots())) + workLimitExtra
}
