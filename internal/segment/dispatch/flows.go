package dispatch

import (
	"container/list"
	"net/netip"
	"slices"
	"time"

	"agateramp/internal/core/flow"
)

// phase says what is known of a flow.
type phase uint8

const (
	// phaseOpening: the first packet was offered and the flow is not open yet.
	phaseOpening phase = iota
	// phaseQueued: every host is full, and the first packet waits here.
	phaseQueued
	// phaseSearching: the host that holds the flow is looked for.
	phaseSearching
	// phaseLost: no reachable host holds the flow.
	phaseLost
	// phaseSettled: owner holds the flow.
	phaseSettled
)

// answer is a host that answered the first packet of a flow.
type answer struct {
	agent    netip.Addr
	sequence uint32
}

// entry is what a balancer remembers of a flow. Losing it costs a search.
type entry struct {
	key flow.Key
	// service is the tag of the service that the flow is offered to.
	service uint32
	phase   phase
	// first is the sequence number of the first packet, which the caller sent at
	// about began, if opened is set.
	first  uint32
	opened bool
	began  time.Time
	// lateAt is when half of the latency objective of the route has passed; zero means
	// that there is none. late is set if the last offer came after that.
	lateAt time.Time
	late   bool
	// priority is that of the route; 0 is the highest.
	priority int
	owner    netip.Addr
	// denied holds the agents whose hosts do not hold the flow, the first of which
	// said so at deniedAt.
	denied   []*agent
	deniedAt time.Time
	// tried holds the agents that were asked, the last one at the end, and refused
	// counts how many of them returned the packet.
	tried   []*agent
	refused int
	answers []answer
	// step says how far a search has come, asked holds the agents that it waits for,
	// and unsure those that have to be shown a packet.
	step          searchStep
	asked, unsure []*agent
	// probing is set while an agent is shown packets, and shown is how many of them
	// each of the agents in tried was shown. suspect is the only agent that may hold a
	// flow that was not found.
	probing bool
	shown   []int
	suspect *agent
	// held are copies of the packets that came during a search.
	held [][]byte
	// acknowledged is the caller's last acknowledgement, for a reset.
	acknowledged uint32
	// packet is a copy of the first packet, kept until an answer.
	packet  []byte
	touched time.Time
	// deadline is when the last agent is taken to be silent; zero means none.
	deadline time.Time
	// pending is set while the entry is in the dispatcher's list of deadlines.
	pending bool
	// retryAt is when a lost flow is looked for again.
	retryAt time.Time
	element *list.Element
}

// missesObjective reports whether the flow has missed the latency objective of its
// route, or will.
func (e *entry) missesObjective(now time.Time) bool { return !e.lateAt.IsZero() && now.After(e.lateAt) }

func (e *entry) wasTried(a *agent) bool { return slices.Contains(e.tried, a) }

// last returns the agent that was asked last, or nil.
func (e *entry) last() *agent {
	if len(e.tried) == 0 {
		return nil
	}
	return e.tried[len(e.tried)-1]
}

// deny notes that the host of an agent does not hold the flow.
func (e *entry) deny(now time.Time, a *agent) {
	if len(e.denied) == 0 {
		e.deniedAt = now
	}
	if !slices.Contains(e.denied, a) {
		e.denied = append(e.denied, a)
	}
}

// forgetDenials drops denials that are too old to be believed.
func (e *entry) forgetDenials(now time.Time) {
	if now.Sub(e.deniedAt) > deniedTime {
		e.denied = nil
	}
}

// settle records the owner and drops what was kept for the search.
func (e *entry) settle(owner netip.Addr) {
	e.phase, e.owner = phaseSettled, owner
	e.tried, e.denied, e.packet, e.refused, e.deadline = nil, nil, nil, 0, time.Time{}
	e.asked, e.unsure, e.probing, e.shown, e.suspect = nil, nil, false, nil, nil
}

// table holds the flows by key, and by the time of their last packet.
type table struct {
	flows  map[flow.Key]*entry
	recent *list.List
	limit  int
	// held counts the packets that flows keep during a search.
	held int
}

const (
	// maxHeldFlow bounds the packets that a flow keeps during a search. It is the
	// most that an end has in flight.
	maxHeldFlow = 16
	// maxHeld bounds the packets that all flows keep, to about 3 MB.
	maxHeld = 2048
)

// hold keeps a copy of a packet of a flow that is searched for. One too many is
// left to the caller's retransmission.
func (t *table) hold(e *entry, data []byte) {
	if len(e.held) < maxHeldFlow && t.held < maxHeld {
		e.held = append(e.held, append([]byte(nil), data...))
		t.held++
	}
}

// takeHeld returns the packets that a flow has kept, and keeps them no longer.
func (t *table) takeHeld(e *entry) (held [][]byte) {
	held, e.held = e.held, nil
	t.held -= len(held)
	return held
}

func newTable(limit int) *table {
	return &table{flows: make(map[flow.Key]*entry), recent: list.New(), limit: limit}
}

// get returns the entry of a flow, or nil, and marks it as used.
func (t *table) get(now time.Time, key flow.Key) *entry {
	e := t.flows[key]
	if e != nil {
		e.touched = now
		t.recent.MoveToFront(e.element)
	}
	return e
}

// add replaces the entry of a flow and evicts the longest unused above the limit.
func (t *table) add(now time.Time, e *entry) {
	if old := t.flows[e.key]; old != nil {
		t.remove(old)
	}
	for len(t.flows) >= t.limit {
		t.remove(t.recent.Back().Value.(*entry))
	}
	e.touched = now
	e.element = t.recent.PushFront(e)
	t.flows[e.key] = e
}

func (t *table) remove(e *entry) {
	e.deadline = time.Time{}
	t.takeHeld(e)
	t.recent.Remove(e.element)
	delete(t.flows, e.key)
}

// expire removes the flows without a packet since before.
func (t *table) expire(before time.Time) {
	for back := t.recent.Back(); back != nil; back = t.recent.Back() {
		e := back.Value.(*entry)
		if !e.touched.Before(before) {
			return
		}
		t.remove(e)
	}
}
