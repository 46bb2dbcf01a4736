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
	if len(d.queue.waiting) >= maxQueued {
		return false
	}
	age := now.Sub(e.began)
	full, some := false, false
	for _, a := range d.hosts(e.service) {
		takes := d.takes(now, a)
		some = some || takes
		full = full || takes && a.full(now, e.late)
	}
	if some {
		return age < queueTime && (full || len(e.tried) == 0)
	}
	return age < noHostTime && len(e.tried) == 0
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

// release offers waiting flows to hosts that may have room, the most urgent first,
// and ends those that have waited for too long.
func (d *Dispatcher) release(now time.Time) (decisions []Decision) {
	if len(d.queue.waiting) == 0 || now.Before(d.queue.at) {
		return nil
	}
	waiting := d.queue.waiting
	d.queue.waiting = nil
	d.queue.at = now.Add(fullTime)
	for _, e := range waiting {
		e.late = e.missesObjective(now)
	}
	rooms := make(map[uint32]*room)
	if d.anyRoom(now, waiting, rooms) {
		slices.SortStableFunc(waiting, byUrgency)
	}
	var kept []*entry
	for _, e := range waiting {
		if e.phase != phaseQueued || d.flows.flows[e.key] != e {
			continue
		}
		r := rooms[e.service]
		a := d.placeIn(now, e, r)
		switch {
		case a != nil:
			// One offer at a time tells whether the host has room.
			a.markFull(now, e.late)
			a.placed++
			e.phase, e.tried = phaseOpening, append(e.tried, a)
			packet := e.packet
			d.wait(now, e, packet, offerTimeout)
			decisions = append(decisions, d.forward(e, a.address, StepQueued, packet)...)
		case !e.began.After(r.endedBefore):
			decisions = append(decisions, d.reset(e, 0, r.reason)...)
		default:
			kept = append(kept, e)
		}
	}
	d.queue.waiting = append(kept, d.queue.waiting...)
	return decisions
}

// room says what the hosts of a service have for the flows that wait.
type room struct {
	// endedBefore is when the flows began that have waited for too long, and reason
	// says why they end.
	endedBefore time.Time
	reason      Reason
	// full is set once no host has room for any flow, and busy once none has a free
	// slot for a late one.
	full, busy bool
}

// anyRoom fills in the rooms of the services that flows wait for, and reports
// whether a host may take one of them.
func (d *Dispatcher) anyRoom(now time.Time, waiting []*entry, rooms map[uint32]*room) (some bool) {
	for _, e := range waiting {
		if rooms[e.service] != nil {
			continue
		}
		r := &room{endedBefore: now.Add(-noHostTime), reason: ReasonNoHost, full: true, busy: true}
		for _, a := range d.hosts(e.service) {
			if !d.takes(now, a) {
				continue
			}
			r.endedBefore, r.reason = now.Add(-queueTime), ReasonOverload
			r.full = r.full && a.full(now, false)
			r.busy = r.busy && a.full(now, true)
		}
		rooms[e.service] = r
		some = some || !r.full
	}
	return some
}

// placeIn returns the host for a flow that waits, or nil.
func (d *Dispatcher) placeIn(now time.Time, e *entry, r *room) *agent {
	if r.full || e.late && r.busy {
		return nil
	}
	a := d.place(now, e)
	if a == nil {
		// What is true for one flow that waits is true for the others.
		r.busy, r.full = true, r.full || !e.late
	}
	return a
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
