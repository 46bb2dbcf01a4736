package dispatch

import (
	"slices"
	"time"

	"agateramp/internal/segment/packet"
)

// search sends a packet to the next agent that may hold its flow: first those of
// the services that the route names, then every other one, because flows stay
// where they are when a configuration changes their route.
func (d *Dispatcher) search(now time.Time, e *entry, data []byte) (decisions []Decision) {
	next := d.nextCandidate(now, e)
	if next == nil && d.heldNowhere(now, e) {
		return d.reset(e, e.acknowledged, ReasonHeldNowhere)
	}
	if next == nil {
		e.phase, e.deadline, e.packet, e.retryAt = phaseLost, time.Time{}, nil, now.Add(searchPause)
		return []Decision{Drop{Flow: e.key, Reason: ReasonNotFound}}
	}
	e.tried = append(e.tried, next)
	d.wait(now, e, data, searchTimeout)
	return d.forward(e, next.address, StepSearch, data)
}

// heldNowhere reports whether every host that there can be has said that it does
// not hold the flow. An agent that does not answer may hold it.
func (d *Dispatcher) heldNowhere(now time.Time, e *entry) bool {
	if !d.complete || len(d.order) == 0 {
		return false
	}
	for _, a := range d.order {
		if !a.known || d.silent(now, a) || !slices.Contains(e.denied, a) {
			return false
		}
	}
	return true
}

// nextCandidate returns the next agent to ask. Agents that do not answer come last.
func (d *Dispatcher) nextCandidate(now time.Time, e *entry) *agent {
	e.forgetDenials(now)
	untried := func(a *agent) bool { return !e.wasTried(a) && !slices.Contains(e.denied, a) }
	answering := func(a *agent) bool { return untried(a) && !d.silent(now, a) }
	tags := d.routeTags(e)
	for _, tag := range tags {
		if best := d.lead(now, e.key, tag, answering).first; best != nil {
			return best
		}
	}
	for _, filter := range []func(a *agent) bool{answering, untried} {
		if i := slices.IndexFunc(d.order, func(a *agent) bool { return a.known && filter(a) }); i >= 0 {
			return d.order[i]
		}
	}
	return nil
}

// wait keeps a copy of the packet until the agent answers or is taken to be silent.
func (d *Dispatcher) wait(now time.Time, e *entry, data []byte, timeout time.Duration) {
	e.packet = append(e.packet[:0:0], data...)
	if !e.pending {
		e.pending = true
		d.pending = append(d.pending, e)
	}
	e.deadline = now.Add(timeout)
	d.wakeBy(e.deadline)
}

func (d *Dispatcher) wakeBy(at time.Time) {
	if d.earliest.IsZero() || at.Before(d.earliest) {
		d.earliest = at
	}
}

// Next returns when Tick may have something to do; ok is false when nothing waits.
func (d *Dispatcher) Next() (at time.Time, ok bool) {
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
	return append(decisions, d.release(now)...)
}

func (d *Dispatcher) next(now time.Time, e *entry) (decisions []Decision) {
	data := e.packet
	switch e.phase {
	case phaseOpening:
		if a := e.last(); a != nil {
			a.misses++
		}
		return d.offer(now, e, data, StepHedge)
	case phaseSearching:
		return d.search(now, e, data)
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

// routeTags returns the tags of the services that the flow's route names.
func (d *Dispatcher) routeTags(e *entry) (tags []uint32) {
	if e.opened {
		tags = append(tags, e.service)
	}
	route := d.routes.Route(e.key.Destination())
	if route == nil {
		return tags
	}
	first := packet.ServiceTag(route.Pick(e.key.Hash()))
	if !slices.Contains(tags, first) {
		tags = append(tags, first)
	}
	for _, t := range route.Targets {
		if tag := packet.ServiceTag(t.Service); !slices.Contains(tags, tag) {
			tags = append(tags, tag)
		}
	}
	return tags
}
