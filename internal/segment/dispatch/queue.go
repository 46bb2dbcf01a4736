package dispatch

import (
	"cmp"
	"slices"
	"time"

	"agateramp/internal/segment/coldstart"
)

const (
	// fullBackoff is how long a host that has returned a first packet as busy is
	// offered no other one, unless it accepts a flow earlier. Queued flows are offered
	// to hosts at the same interval, and earlier after a host has answered a first
	// packet.
	fullBackoff = 20 * time.Millisecond
	// maxBackoffDoublings bounds how often fullBackoff is doubled. A full host has
	// requests for about 50 ms of work queued.
	maxBackoffDoublings = 2
	// maxQueueTime bounds how long a first packet waits for a host with room. Callers
	// give up 1.4 s after their first packet.
	maxQueueTime = 1200 * time.Millisecond
	// maxNoHostTime bounds how long a first packet waits while no host of the service
	// accepts flows, once all agents have sent their status. Processes that restart are back within this time, and callers
	// send no retransmission after it.
	maxNoHostTime = 600 * time.Millisecond
	// maxQueuedFlows bounds the number of queued flows.
	maxQueuedFlows = 2048
)

// queue holds the flows whose first packet waits for a host with room, or for the first
// configuration. Flows that
// can still meet their latency objective go first, then those of higher priority,
// then the newest: first in, first out would make all of them late.
type queue struct {
	// waiting holds the flows. Those that have left phaseQueued since are skipped.
	waiting []*flowEntry
	// nextReleaseAt is when queued flows are offered to hosts next.
	nextReleaseAt time.Time
}

// shouldQueue reports whether a first packet should wait because the hosts of its
// service that accept flows are full or were not all asked, or because no host accepts
// flows yet.
func (d *Dispatcher) shouldQueue(now time.Time, e *flowEntry) bool {
	if len(d.queue.waiting) >= maxQueuedFlows {
		return false
	}
	age := now.Sub(e.firstSentAt)
	anyEligible, anyLeft := false, false
	for _, a := range d.serviceAgents(e.serviceTag) {
		if d.eligible(now, a) {
			anyEligible = true
			anyLeft = anyLeft || a.isFull(now, e.late) || !a.hasColdRoom(now) || !e.wasTried(a)
		}
	}
	if anyEligible {
		return age < maxQueueTime && anyLeft
	}
	return age < d.noHostTime(now) && (len(e.triedAgents) == 0 || d.mayLackHosts(now))
}

// noHostTime returns how long a first packet waits while no host of the service accepts
// flows. A balancer that has just started does not know the hosts yet.
func (d *Dispatcher) noHostTime(now time.Time) time.Duration {
	if d.routes == nil || len(d.agentList) == 0 || d.mayLackHosts(now) {
		return maxQueueTime
	}
	return maxNoHostTime
}

// enqueue adds a flow to the queue with a copy of its first packet.
func (d *Dispatcher) enqueue(now time.Time, e *flowEntry, data []byte) (decisions []Decision) {
	e.phase, e.triedAgents, e.returnedOffers, e.deadline = phaseQueued, nil, 0, time.Time{}
	e.firstPacket = append(e.firstPacket[:0:0], data...)
	if len(d.queue.waiting) == 0 {
		d.queue.nextReleaseAt = now.Add(fullBackoff)
	}
	d.queue.waiting = append(d.queue.waiting, e)
	return []Decision{Drop{Flow: e.key, Reason: ReasonQueued}}
}

// releaseQueued offers queued flows to hosts that may have room, the most urgent
// flows first, and resets those that have waited for too long.
func (d *Dispatcher) releaseQueued(now time.Time) (decisions []Decision) {
	if len(d.queue.waiting) == 0 || now.Before(d.queue.nextReleaseAt) {
		return nil
	}
	d.queue.nextReleaseAt = now.Add(fullBackoff)
	waiting, decisions := d.takeQueued(now)
	capacities := make(map[uint32]*serviceCapacity)
	if d.checkCapacity(now, waiting, capacities) {
		// The order decides which flows are offered or reset.
		slices.SortStableFunc(waiting, compareUrgency)
	}
	var stillQueued []*flowEntry
	for _, e := range waiting {
		if !d.isQueued(e) {
			continue
		}
		c := capacities[e.serviceTag]
		a := d.placeQueued(now, e, c)
		switch {
		case a != nil:
			// The host gets one offer at a time, until its answer shows whether it has
			// room for another flow.
			a.markFull(now, e.late)
			a.offersSinceReport++
			e.phase, e.triedAgents = phaseOpening, append(e.triedAgents, a)
			data := e.firstPacket
			d.awaitAnswer(now, e, data, offerTimeout)
			decisions = append(decisions, d.forward(e, a.address, StepQueued, data)...)
		case !e.firstSentAt.After(c.expiredBefore):
			decisions = append(decisions, d.reset(e, 0, c.resetReason)...)
			continue
		case c.allCold && !c.cold.Servable(c.ahead, e.firstSentAt.Add(maxQueueTime).Sub(now)):
			decisions = append(decisions, d.reset(e, 0, ReasonCold)...)
			continue
		default:
			stillQueued = append(stillQueued, e)
		}
		c.ahead++
	}
	d.queue.waiting = append(stillQueued, d.queue.waiting...)
	return decisions
}

// takeQueued empties the queue. It returns the flows that wait, and the decisions to reset
// those whose route was removed.
func (d *Dispatcher) takeQueued(now time.Time) (waiting []*flowEntry, decisions []Decision) {
	for _, e := range d.queue.waiting {
		if !d.isQueued(e) {
			continue
		}
		if reset := d.review(e, 0); reset != nil {
			decisions = append(decisions, reset...)
			continue
		}
		e.late = e.missesObjective(now)
		waiting = append(waiting, e)
	}
	d.queue.waiting = nil
	return waiting, decisions
}

// isQueued reports whether an entry of the queue still waits.
func (d *Dispatcher) isQueued(e *flowEntry) bool {
	return e.phase == phaseQueued && d.flows.byKey[e.key] == e
}

// serviceCapacity is what the hosts of a service can accept of the queued flows.
type serviceCapacity struct {
	// Flows whose first packet was sent at expiredBefore or earlier have waited for too
	// long and are reset with resetReason.
	expiredBefore time.Time
	resetReason   Reason
	// full is set once no host has room for any flow, and fullForLate once none has a
	// free slot for a late one.
	full, fullForLate bool
	// allCold is set if all hosts that accept flows are cold and their new flows are
	// limited. cold is then what they take, and ahead the number of flows that are served
	// before the next one in the order.
	allCold bool
	cold    coldstart.Capacity
	ahead   int
}

// checkCapacity adds the capacity of each service that flows are queued for to
// capacities, and reports whether any host may accept one of them, or a cold host may
// later.
func (d *Dispatcher) checkCapacity(now time.Time, waiting []*flowEntry, capacities map[uint32]*serviceCapacity) (available bool) {
	for _, e := range waiting {
		if capacities[e.serviceTag] != nil {
			continue
		}
		c := &serviceCapacity{expiredBefore: now.Add(-d.noHostTime(now)), resetReason: ReasonNoHost, full: true, fullForLate: true}
		if d.routes == nil {
			c.resetReason = ReasonStarting
		}
		for _, a := range d.serviceAgents(e.serviceTag) {
			if !d.eligible(now, a) {
				continue
			}
			c.expiredBefore, c.resetReason = now.Add(-maxQueueTime), ReasonOverload
			c.full = c.full && (a.isFull(now, false) || !a.hasColdRoom(now))
			c.fullForLate = c.fullForLate && (a.isFull(now, true) || !a.hasColdRoom(now))
		}
		c.cold, c.allCold = d.coldCapacity(now, e.serviceTag)
		if d.isEvacuated(now, e.serviceTag) {
			c.expiredBefore, c.resetReason = now, ReasonEvacuated
		}
		capacities[e.serviceTag] = c
		available = available || !c.full || c.allCold
	}
	return available
}

// placeQueued returns the host for a queued flow, or nil.
func (d *Dispatcher) placeQueued(now time.Time, e *flowEntry, c *serviceCapacity) *agent {
	if c.full || e.late && c.fullForLate {
		return nil
	}
	a := d.place(now, e)
	if a == nil {
		// If no host has room for this flow, none has room for the other queued flows of
		// the service; if it is late, that holds for the late ones only.
		c.fullForLate, c.full = true, c.full || !e.late
	}
	return a
}

// compareUrgency orders queued flows, the most urgent first.
func compareUrgency(a, b *flowEntry) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.priority, b.priority), b.firstSentAt.Compare(a.firstSentAt))
}

// isFull reports whether the host is assumed to have no room for a flow.
func (a *agent) isFull(now time.Time, late bool) bool {
	return now.Before(a.fullUntil) || late && now.Before(a.fullForLateUntil)
}

// markFull records for fullBackoff that the host has no room for a flow. If the flow is
// late, the host counts as full only for late flows.
func (a *agent) markFull(now time.Time, late bool) { a.markFullUntil(now.Add(fullBackoff), late) }

// markFullUntil does the same until a given time.
func (a *agent) markFullUntil(until time.Time, late bool) {
	a.fullForLateUntil = until
	if !late {
		a.fullUntil = until
	}
}

// recordBusy records that the host has returned a first packet as busy. If it does so
// again after the time without offers, that time doubles: when many balancers have flows
// queued for a host, almost all their offers would be returned.
func (a *agent) recordBusy(now time.Time, late bool) {
	if !now.Before(a.busyUntil) {
		a.busyReturns++
	}
	a.busyUntil = now.Add(fullBackoff << min(a.busyReturns-1, maxBackoffDoublings))
	a.markFullUntil(a.busyUntil, late)
}

// recordRoom records that the host has accepted a flow. It may have room for another one.
func (a *agent) recordRoom() {
	a.busyReturns, a.busyUntil, a.fullUntil, a.fullForLateUntil = 0, time.Time{}, time.Time{}, time.Time{}
}

// Busy reports whether a first packet is queued or offered to a host that has not
// answered, or a flow is searched for.
func (d *Dispatcher) Busy() bool {
	waits := func(e *flowEntry) bool { return !e.deadline.IsZero() }
	return len(d.queue.waiting) > 0 || len(d.lookups.waiting) > 0 || slices.ContainsFunc(d.deadlines, waits)
}

// Close returns the decisions to reset the flows that are still queued, because the
// balancer ends. No host has been given their requests.
func (d *Dispatcher) Close() (decisions []Decision) {
	waiting := d.queue.waiting
	d.queue.waiting = nil
	for _, e := range waiting {
		if d.isQueued(e) {
			decisions = append(decisions, d.reset(e, 0, ReasonStopping)...)
		}
	}
	return decisions
}
