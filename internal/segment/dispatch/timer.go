package dispatch

import "time"

// wait keeps a copy of a first packet until the agent answers or is taken to be
// silent.
func (d *Dispatcher) wait(now time.Time, e *entry, data []byte, timeout time.Duration) {
	e.packet = append(e.packet[:0:0], data...)
	d.waitUntil(e, now.Add(timeout))
}

func (d *Dispatcher) waitUntil(e *entry, deadline time.Time) {
	if !e.pending {
		e.pending = true
		d.pending = append(d.pending, e)
	}
	e.deadline = deadline
	d.wakeBy(deadline)
}

func (d *Dispatcher) wakeBy(at time.Time) {
	if d.earliest.IsZero() || at.Before(d.earliest) {
		d.earliest = at
	}
}

// NextTick returns when Tick may have something to do; ok is false when nothing waits.
func (d *Dispatcher) NextTick() (at time.Time, ok bool) {
	at = d.earliest
	if len(d.queue.waiting) > 0 && (at.IsZero() || d.queue.at.Before(at)) {
		at = d.queue.at
	}
	return at, !at.IsZero()
}

// Tick moves on from agents that have not answered in time.
func (d *Dispatcher) Tick(now time.Time) (decisions []Decision) {
	if d.earliest.IsZero() || now.Before(d.earliest) {
		return d.release(now)
	}
	due := d.pending
	d.pending, d.earliest = nil, time.Time{}
	for _, e := range due {
		switch {
		case e.deadline.IsZero():
			e.pending = false
		case now.Before(e.deadline):
			d.pending = append(d.pending, e)
			d.wakeBy(e.deadline)
		default:
			e.deadline, e.pending = time.Time{}, false
			decisions = append(decisions, d.next(now, e)...)
		}
	}
	decisions = append(decisions, d.nextLookups(now)...)
	return append(decisions, d.release(now)...)
}

// nextLookups asks for the flows that wait for a round of lookups, if it is time.
func (d *Dispatcher) nextLookups(now time.Time) (decisions []Decision) {
	if len(d.lookups.waiting) > 0 && now.Before(d.lookups.at) {
		d.wakeBy(d.lookups.at)
		return nil
	}
	return d.lookUp(now)
}

func (d *Dispatcher) next(now time.Time, e *entry) (decisions []Decision) {
	switch e.phase {
	case phaseOpening:
		if a := e.last(); a != nil {
			a.misses++
		}
		return d.offer(now, e, e.packet, StepHedge)
	case phaseSearching:
		return d.searchNext(now, e)
	case phaseLost, phaseSettled, phaseQueued:
	}
	return nil
}

// Expire forgets flows that have been idle for longer than the configuration
// allows, and agents that are gone.
func (d *Dispatcher) Expire(now time.Time) {
	d.flows.expire(now.Add(-d.routes.IdleTimeout()))
	d.prune(now)
}
