package relay

import (
	"slices"
	"time"

	"agateramp/internal/segment/packet"
)

const (
	// takeoverHeartbeats is how many heartbeats in a row make another start the current one, and drainingTakeoverHeartbeats
	// how many if the current one drains: new flows for a host that drains are worse than a later start of a new one.
	takeoverHeartbeats         = 2
	drainingTakeoverHeartbeats = 3
	// minHeartbeatGap is the share of the heartbeat interval by which two heartbeats must be apart for both to count.
	// Heartbeats that waited while the agent was paused arrive together.
	minHeartbeatGap = 0.5
	// maxOtherStarts is how many starts other than the current one are remembered.
	maxOtherStarts = 4
)

// StartID names a start of the host, which is one run of its process. Two starts may have the same ID. StartMS is the time
// of the start in Unix milliseconds by a clock that may jump, so that it says nothing about the order of two starts.
type StartID struct {
	ID      string
	StartMS int64
}

// Heartbeat is a host's periodic report on itself.
type Heartbeat struct {
	// Start is the start of the host that sent the heartbeat.
	Start StartID
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
	// VerdictNewHost means that the heartbeat was accepted and that its start has become the current one.
	VerdictNewHost Verdict = "new_host"
	// VerdictLate means that the heartbeat was ignored because a later one of the same start came before it.
	VerdictLate Verdict = "late"
	// VerdictUnconfirmed means that the heartbeat is of a start that is not the current one, and may be a late one of an
	// earlier start. Only what makes the agent more careful is taken from it.
	VerdictUnconfirmed Verdict = "unconfirmed"
)

// hostStart is what is known of a start of the host from its heartbeats.
type hostStart struct {
	id StartID
	// sequence is that of the last heartbeat. It is not known for a start whose process was seen not to run: a later
	// start may have the same ID and the same time.
	sequence      int64
	sequenceKnown bool
	state         packet.HostState
	slots         int
	coldUntil     time.Time
	heardAt       time.Time
	// contends is set once a start that is not the current one has sent a heartbeat since it last was the current one.
	contends bool
	// count is how many heartbeats in a row a start that contends has sent since the last one of the current start, and
	// countedAt is when the last of them arrived. It is valid if count is not 0.
	count     int
	countedAt time.Time
}

// record stores the contents of a heartbeat. It reports whether the heartbeat is the newest of the start.
func (s *hostStart) record(now time.Time, hb Heartbeat) (newest bool) {
	if s.sequenceKnown && hb.Sequence <= s.sequence {
		return false
	}
	s.sequence, s.sequenceKnown, s.state, s.slots, s.heardAt = hb.Sequence, true, hb.State, hb.Slots, now
	s.coldUntil = now.Add(hb.ColdRemaining)
	return true
}

// HandleHeartbeat processes a heartbeat. A heartbeat of another start than the current one is a sign that the host may have
// restarted, so the open flows are verified; by itself it ends no flow.
func (r *Relay) HandleHeartbeat(now time.Time, hb Heartbeat) (verdict Verdict) {
	h := &r.host
	if h.current != nil && h.current.id == hb.Start {
		if !h.current.record(now, hb) {
			return VerdictLate
		}
		h.phase, h.quietSince, h.maybeCold = phaseRunning, now, false
		h.recordCold(now, h.current)
		h.endRows()
		return VerdictAccepted
	}
	s, met := h.otherStart(hb.Start)
	if !s.record(now, hb) {
		return VerdictLate
	}
	h.quietSince = now
	h.recordCold(now, s)
	s.contend(now, r.heartbeatInterval)
	r.verificationDue = true
	if !h.takesOver(s, met) {
		return VerdictUnconfirmed
	}
	if h.phase == phaseUnseen && !r.seenAll {
		r.blockCold()
	}
	h.makeCurrent(s)
	h.maybeCold = false
	r.monitor.RecordStart()
	return VerdictNewHost
}

// contend counts a heartbeat of a start that is not the current one.
func (s *hostStart) contend(now time.Time, heartbeatInterval time.Duration) {
	s.contends = true
	if s.count > 0 && now.Sub(s.countedAt) < time.Duration(minHeartbeatGap*float64(heartbeatInterval)) {
		return
	}
	s.count, s.countedAt = s.count+1, now
}

// endRows ends the rows of heartbeats of all other starts, because the current start has sent one.
func (h *host) endRows() {
	for _, s := range h.others {
		s.count = 0
	}
}

// otherStart returns the record of a start that is not the current one, and whether the start was met before.
func (h *host) otherStart(id StartID) (s *hostStart, met bool) {
	if i := slices.IndexFunc(h.others, func(s *hostStart) bool { return s.id == id }); i >= 0 {
		return h.others[i], true
	}
	s = &hostStart{id: id}
	h.remember(s)
	return s, false
}

// remember adds a record of a start that is not the current one, in place of the one that was silent for longest if there
// are too many.
func (h *host) remember(s *hostStart) {
	if len(h.others) >= maxOtherStarts {
		h.forget(slices.MinFunc(h.others, func(a, b *hostStart) int { return a.heardAt.Compare(b.heardAt) }))
	}
	h.others = append(h.others, s)
}

func (h *host) forget(s *hostStart) {
	h.others = slices.DeleteFunc(h.others, func(other *hostStart) bool { return other == s })
}

// takesOver reports whether a start that is not the current one becomes it. If there is none, or it has reported its end,
// a start that was not met before is later and takes over at once. Any other start may be earlier: it has to go on sending
// heartbeats while the current one sends none.
func (h *host) takesOver(s *hostStart, met bool) bool {
	switch {
	case h.phase != phaseRunning:
		return !met || s.count >= takeoverHeartbeats
	case h.current.state == packet.HostReady:
		return s.count >= takeoverHeartbeats
	}
	return s.count >= drainingTakeoverHeartbeats
}

// makeCurrent makes s the current start. The start before is remembered, so that late heartbeats of it are recognised.
func (h *host) makeCurrent(s *hostStart) {
	h.forget(s)
	if h.current != nil {
		h.remember(h.current)
	}
	h.endRows()
	s.contends, s.count = false, 0
	h.phase, h.current, h.lastID, h.unansweredCount = phaseRunning, s, s.id.ID, 0
}

// endCurrent records that no process of the host runs, so that no start is the current one. Heartbeats of the starts that
// are remembered may still arrive, but a later start may also have the same ID and time.
func (h *host) endCurrent() {
	h.phase = phaseAbsent
	if h.current != nil {
		h.remember(h.current)
		h.current = nil
	}
	for _, s := range h.others {
		s.contends, s.count, s.sequenceKnown = false, 0, false
	}
}

// contenders calls yield for each start that is not the current one but has lately sent heartbeats that a current one
// might send. A start counts for as long as it may miss heartbeats.
func (r *Relay) contenders(now time.Time, yield func(s *hostStart)) {
	for _, s := range r.host.others {
		if s.contends && now.Sub(s.heardAt) <= maxMissedHeartbeats*r.heartbeatInterval {
			yield(s)
		}
	}
}

// drains reports whether the host drains, or may do so because another start that may be the current one does.
func (r *Relay) drains(now time.Time) (drains bool) {
	drains = r.host.current.state != packet.HostReady
	r.contenders(now, func(s *hostStart) { drains = drains || s.state != packet.HostReady })
	return drains
}

// ColdRemaining returns how much longer the host is slow after its start, or 0 if it is not. Of several starts that may be
// the current one, the longest time counts.
func (r *Relay) ColdRemaining(now time.Time) (remaining time.Duration) {
	if r.host.current == nil {
		return 0
	}
	remaining = max(r.host.current.coldUntil.Sub(now), 0)
	r.contenders(now, func(s *hostStart) { remaining = max(remaining, s.coldUntil.Sub(now)) })
	return remaining
}

// HandleDeregister processes the notice of a host that it has ended. It reports whether id is that of the current start or
// of one whose heartbeats were received since; otherwise the notice changes nothing. An earlier start may have had the
// same id, so the host gets no new flows but is not taken for ended until its process is seen not to run.
func (r *Relay) HandleDeregister(now time.Time, id string) (current bool) {
	h := &r.host
	for _, s := range h.others {
		if s.id.ID == id && s.contends {
			s.state, current = packet.HostDraining, true
		}
	}
	if h.phase != phaseRunning || h.current.id.ID != id {
		return current
	}
	h.phase, h.deregisteredAt = phaseDeregistered, now
	return true
}
