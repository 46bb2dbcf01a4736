package relay

import (
	"time"

	"agateramp/internal/segment/packet"
)

const (
	// maxMissedHeartbeats is how many heartbeats in a row a host may miss before it gets no new flows.
	maxMissedHeartbeats = 3
	// takeoverHeartbeats is how many heartbeats of a start with an older time are ignored once the current start has
	// stopped its heartbeats. The next one makes the start with the older time the current start. The clock of a
	// machine may jump back between two starts, so that the later start has the older time.
	takeoverHeartbeats = 2
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

// Heartbeat is a host's periodic report on itself. A start of the host is one run of its process.
type Heartbeat struct {
	// ID names a start of the host, and StartMS is the time of the start in Unix milliseconds. A later start may
	// have the same ID with a later StartMS.
	ID      string
	StartMS int64
	// Age is the time since the start by the clock of the machine. It may be negative if that clock was set back.
	Age time.Duration
	// Sequence increases with each heartbeat of a start.
	Sequence int64
	State    packet.HostState
	// Slots is how many requests the host processes at once.
	Slots int
	// ColdRemaining is how much longer the host is slow after its start.
	ColdRemaining time.Duration
}

// Verdict is the outcome of a heartbeat. It is part of the name of the log event.
type Verdict string

// The outcomes of a heartbeat.
const (
	// VerdictAccepted means that the heartbeat is the newest of the current start.
	VerdictAccepted Verdict = "accepted"
	// VerdictNewHost means that the heartbeat was accepted and is the first of a new start of the host.
	VerdictNewHost Verdict = "new_host"
	// VerdictLate means that the heartbeat was ignored because a later one of the same start came before it.
	VerdictLate Verdict = "late"
	// VerdictSuperseded means that the heartbeat was ignored because its start has an older time than the current start.
	VerdictSuperseded Verdict = "superseded"
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

// host is the state of the host beside the agent. The fields up to lastHeartbeatAt are those of the current start; they
// are valid in phaseRunning and phaseDeregistered.
type host struct {
	phase           hostPhase
	id              string
	startMS         int64
	sequence        int64
	state           packet.HostState
	slots           int
	coldUntil       time.Time
	lastHeartbeatAt time.Time
	// olderID names a start with an older time that sends heartbeats after this start has stopped its own;
	// olderHeartbeats counts them.
	olderID         string
	olderHeartbeats int

	// unansweredCount counts first packets in a row without an answer; quietSince is when the host last gave a sign of
	// life, or the start of the relay; nextTrialAt is when an unresponsive host is offered a flow again.
	unansweredCount int
	quietSince      time.Time
	nextTrialAt     time.Time
	// deregisteredAt is valid in phaseDeregistered.
	deregisteredAt time.Time
	// nextProbeAt is when the host is probed again at the earliest.
	nextProbeAt time.Time
}

// HandleHeartbeat processes a heartbeat. If it is of a new start, the decisions reset the flows of the start before.
func (r *Relay) HandleHeartbeat(now time.Time, hb Heartbeat) (verdict Verdict, decisions []Decision) {
	h := &r.host
	switch {
	case h.phase != phaseUnseen && h.id == hb.ID && h.startMS == hb.StartMS:
		if hb.Sequence <= h.sequence {
			return VerdictLate, nil
		}
		h.olderHeartbeats = 0
		r.applyHeartbeat(now, hb)
		return VerdictAccepted, nil
	case h.phase != phaseUnseen && hb.StartMS < h.startMS && !r.olderStartTakesOver(now, hb):
		return VerdictSuperseded, nil
	}
	firstStart := h.phase == phaseUnseen
	if !firstStart {
		decisions = r.resetEarlierFlows(now)
	}
	// An agent that starts after its host may have missed flows of the host. If the host is younger than half a
	// heartbeat interval, the agent has missed none: an earlier run of the agent cannot have acknowledged a heartbeat
	// of this start yet, and without a heartbeat it would have refused new flows.
	startedWithAgent := hb.Age >= 0 && hb.Age < r.heartbeatInterval/2
	r.seenAll = r.seenAll || !firstStart || startedWithAgent
	r.host = host{id: hb.ID, startMS: hb.StartMS, quietSince: now}
	r.applyHeartbeat(now, hb)
	return VerdictNewHost, decisions
}

// applyHeartbeat stores the contents of a heartbeat of the current start.
func (r *Relay) applyHeartbeat(now time.Time, hb Heartbeat) {
	h := &r.host
	h.phase, h.sequence, h.state, h.slots, h.lastHeartbeatAt = phaseRunning, hb.Sequence, hb.State, hb.Slots, now
	h.coldUntil = now.Add(hb.ColdRemaining)
}

// olderStartTakesOver counts a heartbeat of a start with an older time, and reports whether that start replaces the
// current one, because the current one has stopped its heartbeats.
func (r *Relay) olderStartTakesOver(now time.Time, hb Heartbeat) bool {
	h := &r.host
	if now.Sub(h.lastHeartbeatAt) < maxMissedHeartbeats*r.heartbeatInterval {
		return false
	}
	if h.olderID != hb.ID {
		h.olderID, h.olderHeartbeats = hb.ID, 0
	}
	h.olderHeartbeats++
	return h.olderHeartbeats > takeoverHeartbeats
}

// HandleDeregister processes the notice of a host that it has ended. It reports whether id names the current start;
// otherwise the notice changes nothing. An earlier start may have had the same id, so the host gets no new flows but is
// not taken for ended until its process is seen not to run.
func (r *Relay) HandleDeregister(now time.Time, id string) (current bool) {
	h := &r.host
	if h.phase != phaseRunning || h.id != id {
		return false
	}
	h.phase, h.deregisteredAt = phaseDeregistered, now
	return true
}

// State returns the state of the host. It is HostUnresponsive if a ready host has stopped its heartbeats or has left too
// many first packets unanswered, and HostGone only if no process of the host runs.
func (r *Relay) State(now time.Time) packet.HostState {
	h := &r.host
	switch {
	case h.phase == phaseUnseen:
		return packet.HostUnknown
	case h.phase == phaseAbsent:
		return packet.HostGone
	case h.phase == phaseDeregistered:
		return packet.HostDraining
	case h.state != packet.HostReady:
		return h.state
	case now.Sub(h.lastHeartbeatAt) > maxMissedHeartbeats*r.heartbeatInterval, h.unansweredCount >= maxUnanswered:
		return packet.HostUnresponsive
	}
	return packet.HostReady
}

// HostID returns the ID of the last known start of the host, for logs. It is empty before the first heartbeat.
func (r *Relay) HostID() string { return r.host.id }

// HeartbeatAge returns the time since the last heartbeat of the current start of the host. known is false if there is
// none.
func (r *Relay) HeartbeatAge(now time.Time) (age time.Duration, known bool) {
	if r.host.phase == phaseUnseen {
		return 0, false
	}
	return now.Sub(r.host.lastHeartbeatAt), true
}

// ColdRemaining returns how much longer the host is slow after its start, or 0 if it is not.
func (r *Relay) ColdRemaining(now time.Time) time.Duration {
	return max(r.host.coldUntil.Sub(now), 0)
}

// refusal returns why the host gets no new flow; refused is false if it gets one. A flow is late if it already misses
// its latency objective. If the host does not answer first packets, refusal lets one flow through in each trialInterval.
func (r *Relay) refusal(now time.Time, late bool) (reason packet.ReturnReason, refused bool) {
	switch r.State(now) {
	case packet.HostReady:
	case packet.HostDraining:
		return packet.ReturnDraining, true
	case packet.HostUnresponsive:
		if now.Sub(r.host.lastHeartbeatAt) > maxMissedHeartbeats*r.heartbeatInterval || now.Before(r.host.nextTrialAt) {
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
		return r.host.slots
	}
	return int(workLimitFactor*float64(r.host.slots)) + workLimitExtra
}
