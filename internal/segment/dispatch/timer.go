package dispatch

import "time"

const (
	// stallThreshold is how long after a deadline Tick may handle it before the process counts
	// as stalled: it had no processor time, and answers may wait to be read.
	stallThreshold = 20 * time.Millisecond
	// stallGrace is the time to read the answers that came during a stall.
	stallGrace = 10 * time.Millisecond
)

// awaitAnswer keeps a copy of a first packet and sets the deadline for the answer to
// its offer.
func (d *Dispatcher) awaitAnswer(now time.Time, e *flowEntry, data []byte, timeout time.Duration) {
	e.firstPacket = append(e.firstPacket[:0:0], data...)
	d.setDeadline(e, now.Add(timeout))
}

// setDeadline sets the deadline of an entry.
func (d *Dispatcher) setDeadline(e *flowEntry, deadline time.Time) {
	if !e.inDeadlines {
		e.inDeadlines = true
		d.deadlines = append(d.deadlines, e)
	}
	e.deadline, e.postponed = deadline, false
	d.wakeBy(deadline)
}

// wakeBy sets nextWake to a time unless an earlier one is set.
func (d *Dispatcher) wakeBy(at time.Time) {
	if d.nextWake.IsZero() || at.Before(d.nextWake) {
		d.nextWake = at
	}
}

// NextTick returns when Tick may have something to do. ok is false if no deadline, no
// round of lookups and no queued flow is pending.
func (d *Dispatcher) NextTick() (at time.Time, ok bool) {
	at = d.nextWake
	if len(d.queue.waiting) > 0 && (at.IsZero() || d.queue.nextReleaseAt.Before(at)) {
		at = d.queue.nextReleaseAt
	}
	return at, !at.IsZero()
}

// Tick handles the deadlines that have passed, and starts the round of lookups and
// releases queued flows if it is time.
func (d *Dispatcher) Tick(now time.Time) (decisions []Decision) {
	if d.nextWake.IsZero() || now.Before(d.nextWake) {
		return d.releaseQueued(now)
	}
	due := d.deadlines
	d.deadlines, d.nextWake = nil, time.Time{}
	for _, e := range due {
		switch {
		case e.deadline.IsZero():
			e.inDeadlines = false
		case now.Before(e.deadline):
			d.deadlines = append(d.deadlines, e)
			d.wakeBy(e.deadline)
		case e.mayBeStalled(now):
			e.deadline, e.postponed = now.Add(stallGrace), true
			d.deadlines = append(d.deadlines, e)
			d.wakeBy(e.deadline)
		default:
			e.deadline, e.inDeadlines = time.Time{}, false
			decisions = append(decisions, d.handleTimeout(now, e)...)
		}
	}
	decisions = append(decisions, d.startRoundIfDue(now)...)
	return append(decisions, d.releaseQueued(now)...)
}

// mayBeStalled reports whether the deadline of the entry passed while the process was
// stalled, so that the answer may wait to be read. That counts once for each deadline.
func (e *flowEntry) mayBeStalled(now time.Time) bool {
	return !e.resumes && !e.postponed && now.Sub(e.deadline) > stallThreshold
}

// startRoundIfDue starts the next round of lookups if flows wait for it and it is
// time.
func (d *Dispatcher) startRoundIfDue(now time.Time) (decisions []Decision) {
	if len(d.lookups.waiting) > 0 && now.Before(d.lookups.nextAt) {
		d.wakeBy(d.lookups.nextAt)
		return nil
	}
	return d.startRound(now)
}

// handleTimeout continues with a flow after its deadline has passed without an
// answer.
func (d *Dispatcher) handleTimeout(now time.Time, e *flowEntry) (decisions []Decision) {
	switch e.phase {
	case phaseOpening:
		if a := e.lastTried(); a != nil {
			a.unansweredOffers++
		}
		return d.offer(now, e, e.firstPacket, StepHedge)
	case phaseSearching:
		if e.resumes {
			return d.resumeSearch(now, e)
		}
		return d.continueSearch(now, e)
	case phaseNotFound, phaseEstablished, phaseQueued:
	}
	return nil
}

// Expire removes flows that have been idle for longer than the configuration allows,
// and agents that the store does not list and that have sent no message for a while.
func (d *Dispatcher) Expire(now time.Time) {
	d.flows.expire(now.Add(-d.routes.IdleTimeout()))
	d.prune(now)
}
