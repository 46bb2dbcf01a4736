package relay

import (
	"time"

	"agateramp/internal/segment/packet"
)

const (
	// missedHeartbeats is how many heartbeats in a row a host may miss before it gets
	// no new flows.
	missedHeartbeats = 3
	// takeoverHeartbeats is how many heartbeats in a row a start with an older time
	// must send, while the current one is silent, before it is believed. The clock
	// of a machine may jump back between two starts.
	takeoverHeartbeats = 2
	// answerTimeout is how long a host may leave a first packet unanswered before
	// the packet counts as missed.
	answerTimeout = 100 * time.Millisecond
	// missedAnswers is how many first packets in a row a host may miss before it is
	// taken to be unresponsive.
	missedAnswers = 3
	// A host gets new flows while its work is below waitFactor times its slots and
	// waitExtra. Work that waits longer than work in progress takes would miss what
	// callers expect, and hosts shed what exceeds their queue. Flows that are late
	// already get free slots only, so that those which are not find room.
	waitFactor = 1.5
	waitExtra  = 2
	// trialInterval is how often an unresponsive host is offered a flow.
	trialInterval = 300 * time.Millisecond
)

// Heartbeat is what a host says of itself.
type Heartbeat struct {
	// ID names a start of the host, and Born is the time of the start in Unix
	// milliseconds. The same ID may come back with a later Born.
	ID      string
	StartMS int64
	// Age is the time since the start by the clock of the machine, which may step.
	Age time.Duration
	// Sequence increases with each heartbeat of one start.
	Sequence      int64
	State         packet.HostState
	Slots         int
	ColdRemaining time.Duration
}

// Verdict says what became of a heartbeat.
type Verdict string

// The verdicts on heartbeats.
const (
	VerdictAccepted Verdict = "accepted"
	// VerdictNewHost means that the heartbeat is the first of a start of the host.
	VerdictNewHost Verdict = "new_host"
	// VerdictLate is a heartbeat that a later one has overtaken.
	VerdictLate Verdict = "late"
	// VerdictSuperseded is a heartbeat of a start that a later one has replaced.
	VerdictSuperseded Verdict = "superseded"
)

// host is the current start of the host beside the agent.
type host struct {
	id       string
	born     int64
	sequence int64
	state    packet.HostState
	slots    int
	coldEnd  time.Time
	heard    time.Time
	// complete is set when the agent has seen every flow since the host's start;
	// since is when the agent first heard of the host.
	complete bool
	since    time.Time
	// rival is an older start that still sends heartbeats.
	rivalID    string
	rivalBeats int

	// unanswered counts first packets in a row without an answer; answered is the
	// time of the last packet of the host, and trial when it is tried next.
	unanswered int
	answered   time.Time
	trial      time.Time
}

// HandleHeartbeat takes a heartbeat. Flows of an earlier start are reset.
func (r *Relay) HandleHeartbeat(now time.Time, b Heartbeat) (verdict Verdict, decisions []Decision) {
	h := &r.host
	switch {
	case h.id == b.ID && h.born == b.StartMS:
		if b.Sequence <= h.sequence {
			return VerdictLate, nil
		}
		h.rivalBeats = 0
		r.update(now, b)
		return VerdictAccepted, nil
	case h.id != "" && b.StartMS < h.born && !r.takesOver(now, b):
		return VerdictSuperseded, nil
	}
	first := h.id == ""
	if !first {
		decisions = r.dropFlows(now)
	}
	// An agent that starts beside its host may have missed flows of the host. A host
	// that is younger than the pause between two heartbeats has had none acknowledged
	// by an earlier agent, which would have refused its flows.
	young := b.Age >= 0 && b.Age < r.heartbeat/2
	r.host = host{id: b.ID, born: b.StartMS, complete: !first || young, answered: now, since: now}
	r.update(now, b)
	return VerdictNewHost, decisions
}

func (r *Relay) update(now time.Time, b Heartbeat) {
	h := &r.host
	h.sequence, h.state, h.slots, h.heard = b.Sequence, b.State, b.Slots, now
	h.coldEnd = now.Add(b.ColdRemaining)
}

// takesOver reports whether a start with an older time replaces the current one.
func (r *Relay) takesOver(now time.Time, b Heartbeat) bool {
	h := &r.host
	if now.Sub(h.heard) < missedHeartbeats*r.heartbeat {
		return false
	}
	if h.rivalID != b.ID {
		h.rivalID, h.rivalBeats = b.ID, 0
	}
	h.rivalBeats++
	return h.rivalBeats > takeoverHeartbeats
}

// HandleDeregister takes the message of a host that it has ended. It reports
// whether it is the current host.
func (r *Relay) HandleDeregister(id string) (current bool) {
	if r.host.id != id {
		return false
	}
	r.host.state = packet.HostGone
	return true
}

// State returns what the agent believes of the host.
func (r *Relay) State(now time.Time) packet.HostState {
	h := &r.host
	switch {
	case h.state != packet.HostReady:
		return h.state
	case now.Sub(h.heard) > missedHeartbeats*r.heartbeat, h.unanswered >= missedAnswers:
		return packet.HostUnresponsive
	}
	return packet.HostReady
}

// HostID returns the identifier of the current start of the host.
func (r *Relay) HostID() string { return r.host.id }

// HeartbeatAge returns the time since the last heartbeat of the host.
func (r *Relay) HeartbeatAge(now time.Time) time.Duration { return now.Sub(r.host.heard) }

// Cold returns how much longer the host is slow after its start.
func (r *Relay) Cold(now time.Time) time.Duration { return max(r.host.coldEnd.Sub(now), 0) }

// refuses returns why the host gets no new flow; ok is false when it may get one.
func (r *Relay) refuses(now time.Time, late bool) (reason packet.ReturnReason, ok bool) {
	switch r.State(now) {
	case packet.HostReady:
	case packet.HostDraining:
		return packet.ReturnDraining, true
	case packet.HostUnresponsive:
		if now.Sub(r.host.heard) > missedHeartbeats*r.heartbeat || now.Before(r.host.trial) {
			return packet.ReturnNoHost, true
		}
		r.host.trial = now.Add(trialInterval)
	case packet.HostUnknown, packet.HostGone:
		return packet.ReturnNoHost, true
	}
	if r.stopping {
		return packet.ReturnNoHost, true
	}
	if r.load.busy+r.opening(now) >= r.workLimit(late) {
		return packet.ReturnBusy, true
	}
	return packet.ReturnUnspecified, false
}

// workLimit returns the work at the host from which on it gets no new flow.
func (r *Relay) workLimit(late bool) int {
	if late {
		return r.host.slots
	}
	return int(waitFactor*float64(r.host.slots)) + waitExtra
}
