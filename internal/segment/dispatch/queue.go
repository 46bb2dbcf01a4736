package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fullTime is how long a host that has returned a first packet as busy gets no
	// other one, unless it is heard of before.
	fullTime = 20 * time.Millisecond
	// queueTime bounds the wait of a first packet for a host with room. Callers give
	// up 1.4 s after their first packet.
	queueTime = 1200 * time.Millisecond
	// noHostTime bounds the wait while no host of the service takes flows. Processes
	// that restart are back within it, and callers send no copy after it.
	noHostTime = 600 * time.Millisecond
	// maxQueued bounds the first packets that wait.
	maxQueued = 2048
)

// queue holds the flows whose first packet waits for a host with room. Flows that
// can still meet their latency objective go first, then those of higher priority,
// then the newest: serving flows in the order in which they came would make all
// of them late.
type queue struct {
	waiting []*entry
	// at is when the queue is looked at next.
	at time.Time
}

// mayQueue reports whether a first packet should wait because hosts of its service
// take flows but all of them are full, or because no host takes flows yet.
func (d *Dispatcher) mayQueue(now time.Time, e *entry) bool {
	if now.Sub(e.began) >= d.maxWait(now, e) || len(d.queue.waiting) >= maxQueued {
		return false
	}
	if len(e.tried) == 0 {
		return true
	}
	return slices.ContainsFunc(d.services[e.service], func(a *agent) bool {
		return d.takes(now, a) && a.full(now, e.late)
	})
}

// maxWait returns how long a first packet may wait for a host.
func (d *Dispatcher) maxWait(now time.Time, e *entry) time.Duration {
	if d.hasHost(now, e) {
		return queueTime
	}
	return noHostTime
}

// hasHost reports whether a host of the flow's service takes new flows.
func (d *Dispatcher) hasHost(now time.Time, e *entry) bool {
	return slices.ContainsFunc(d.services[e.service], func(a *agent) bool { return d.takes(now, a) })
}

func (d *Dispatcher) enqueue(now time.Time, e *entry, data []byte) (decisions []Decision) {
	e.phase, e.tried, e.refused, e.deadline = phaseQueued, nil, 0, time.Time{}
	e.packet = append(e.packet[:0:0], data...)
	if len(d.queue.waiting) == 0 {
		d.queue.at = now.Add(fullTime)
	}
	d.queue.waiting = append(d.queue.waiting, e)
	return []Decision{Drop{Flow: e.key, Reason: ReasonQueued}}
}

// release offers waiting flows to hosts that may have room, newest first, and ends
// those that have waited for too long.
func (d *Dispatcher) release(now time.Time) (decisions []Decision) {
	if len(d.queue.waiting) == 0 || now.Before(d.queue.at) {
		return nil
	}
	waiting := d.queue.waiting
	d.queue.waiting = nil
	d.queue.at = now.Add(fullTime)
	var kept []*entry
	for _, e := range waiting {
		e.late = !e.lateAt.IsZero() && now.After(e.lateAt)
	}
	slices.SortStableFunc(waiting, byUrgency)
	for _, e := range waiting {
		if e.phase != phaseQueued || d.flows.flows[e.key] != e {
			continue
		}
		a := d.place(now, e)
		switch {
		case a != nil:
			// One offer at a time tells whether the host has room.
			a.markFull(now, e.late)
			a.placed++
			e.phase, e.tried = phaseOpening, append(e.tried, a.address)
			packet := e.packet
			d.wait(now, e, packet, offerTimeout)
			decisions = append(decisions, d.forward(e, a.address, StepQueued, packet)...)
		case now.Sub(e.began) >= d.maxWait(now, e):
			reason := ReasonOverload
			if !d.hasHost(now, e) {
				reason = ReasonNoHost
			}
			decisions = append(decisions, d.reset(e, 0, reason)...)
		default:
			kept = append(kept, e)
		}
	}
	d.queue.waiting = append(kept, d.queue.waiting...)
	return decisions
}

// byUrgency orders flows that wait for a host.
func byUrgency(a, b *entry) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.priority, b.priority), b.began.Compare(a.began))
}

// full reports whether the host is taken to have no room for a flow.
func (a *agent) full(now time.Time, late bool) bool {
	return now.Before(a.fullUntil) || late && now.Before(a.busyUntil)
}

// markFull notes that the host has no room for a flow, for a short time.
func (a *agent) markFull(now time.Time, late bool) {
	a.busyUntil = now.Add(fullTime)
	if !late {
		a.fullUntil = a.busyUntil
	}
}
