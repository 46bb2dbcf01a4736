package dispatch

import (
	"container/list"
	"net/netip"
	"slices"
	"time"

	"agateramp/internal/core/flow"
)

// phase is how far the placement of a flow, or the search for its owner, has come.
type phase uint8

const (
	// phaseOpening means that the first packet was offered to hosts and the owner is
	// not known yet.
	phaseOpening phase = iota
	// phaseQueued means that no host can accept the flow at present, and that its
	// first packet is queued.
	phaseQueued
	// phaseSearching means that a search for the host that holds the flow is under
	// way.
	phaseSearching
	// phaseNotFound means that a search has found no host that holds the flow.
	phaseNotFound
	// phaseEstablished means that the owner of the flow is known.
	phaseEstablished
)

// answer is an answer of a host to the first packet of a flow. agent is the address of
// the host's agent, and sequence the initial sequence number of the host.
type answer struct {
	agent    netip.Addr
	sequence uint32
}

// flowEntry is what a balancer remembers of a flow. If it is lost, the next packet
// of the flow starts a search.
type flowEntry struct {
	key   flow.Key
	phase phase
	// version is the version of the configuration that the flow was last reviewed by, or 0
	// before the first review.
	version uint64
	// serviceTag is the tag of the service that the flow is offered to.
	serviceTag uint32
	// If firstKnown is set, firstSequence is the sequence number of the first packet
	// and firstSentAt is about when the caller sent it.
	firstSequence uint32
	firstKnown    bool
	firstSentAt   time.Time
	// lateAfter is when half of the latency objective of the route has passed since
	// the first packet; zero means that there is no objective. late is set if the last
	// offer came after that.
	lateAfter time.Time
	late      bool
	// priority is the priority of the route; 0 is the highest.
	priority int
	// owner is the address of the agent whose host holds the flow. It is set in
	// phaseEstablished.
	owner netip.Addr
	// deniedBy holds the agents that have denied the flow, and firstDeniedAt is when
	// the first of them did.
	deniedBy      []*agent
	firstDeniedAt time.Time
	// triedAgents holds the agents that the first packet was offered to or, in a
	// search, that were probed, in this order. refusals counts the offers among them
	// that were returned.
	triedAgents    []*agent
	returnedOffers int
	// answers holds the answers of hosts to the first packet.
	answers []answer
	// scope is the set of agents that a search asks now, awaitedAgents are those whose
	// reply it waits for, and unsureAgents those that have to be probed.
	scope                       searchScope
	awaitedAgents, unsureAgents []*agent
	// unseen holds the answers of agents that have not seen the flow, until it is known
	// whether they are denials.
	unseen []unseenReply
	// probing is set while the search waits for the answer to a probe, and probesSent
	// is the number of packets that each of triedAgents was probed with. onlyCandidate
	// is the only agent whose host may hold a flow that was not found, or nil.
	probing       bool
	probesSent    []int
	onlyCandidate *agent
	// strays counts the packets that agents were probed with, over all searches.
	strays strays
	// relayed is set if the last packets came from another balancer. They are not
	// relayed again.
	relayed bool
	// buffered are copies of the packets that arrived during a search.
	buffered [][]byte
	// The search goes on until searchUntil, even if no agent can be asked. resumes is set
	// while it waits to ask again.
	searchUntil time.Time
	resumes     bool
	// acknowledgement is the caller's last acknowledgement, or 0 if none is known. A reset
	// needs it as its sequence number.
	acknowledgement uint32
	// firstPacket is a copy of the first packet, kept until a host answers it.
	firstPacket []byte
	// lastUsed is when the last packet of the flow arrived.
	lastUsed time.Time
	// deadline is when the wait for an answer to an offer, a round of lookups or a
	// probe ends; zero means none.
	deadline time.Time
	// postponed is set if the deadline was postponed because the process was stalled.
	postponed bool
	// inDeadlines is set while the entry is in Dispatcher.deadlines.
	inDeadlines bool
	// From retryAt on, the next packet of a flow that was not found starts another
	// search.
	retryAt time.Time
	// element is the position of the entry in flowTable.recent.
	element *list.Element
}

// missesObjective reports whether the flow has missed the latency objective of its
// route, or is expected to.
func (e *flowEntry) missesObjective(now time.Time) bool {
	return !e.lateAfter.IsZero() && now.After(e.lateAfter)
}

// wasTried reports whether the first packet was offered to an agent, or the agent
// was probed.
func (e *flowEntry) wasTried(a *agent) bool { return slices.Contains(e.triedAgents, a) }

// lastTried returns the last of triedAgents, or nil.
func (e *flowEntry) lastTried() *agent {
	if len(e.triedAgents) == 0 {
		return nil
	}
	return e.triedAgents[len(e.triedAgents)-1]
}

// resetSequence returns the sequence number for a reset of the flow: the caller's last
// acknowledgement or, before the first, what the caller acknowledges of the first answer.
// It is 0 if no host has answered.
func (e *flowEntry) resetSequence() uint32 {
	if e.acknowledgement == 0 && len(e.answers) > 0 {
		return e.answers[0].sequence + 1
	}
	return e.acknowledgement
}

// addDenial records that an agent has denied the flow.
func (e *flowEntry) addDenial(now time.Time, a *agent) {
	if len(e.deniedBy) == 0 {
		e.firstDeniedAt = now
	}
	if !slices.Contains(e.deniedBy, a) {
		e.deniedBy = append(e.deniedBy, a)
	}
}

// expireDenials removes the denials if the first of them is too old to count.
func (e *flowEntry) expireDenials(now time.Time) {
	if now.Sub(e.firstDeniedAt) > denialLifetime {
		e.deniedBy = nil
	}
}

// setOwner records the address of the owner's agent and drops what was kept to place
// the flow or to search for it.
func (e *flowEntry) setOwner(owner netip.Addr) {
	e.phase, e.owner = phaseEstablished, owner
	e.triedAgents, e.deniedBy, e.firstPacket, e.returnedOffers, e.deadline = nil, nil, nil, 0, time.Time{}
	e.awaitedAgents, e.unsureAgents, e.unseen, e.probing, e.resumes, e.probesSent, e.onlyCandidate = nil, nil, nil, false, false, nil, nil
}

// flowTable holds the flows by key and in the order of their last use.
type flowTable struct {
	byKey map[flow.Key]*flowEntry
	// recent holds the entries, the most recently used one first.
	recent *list.List
	limit  int
	// bufferedCount is the number of packets in the buffers of all flows.
	bufferedCount int
}

const (
	// maxBufferedPerFlow bounds the packets that are buffered for a flow during a
	// search. It is the most that an end of a flow has in flight.
	maxBufferedPerFlow = 16
	// maxBuffered bounds the packets that are buffered for all flows, to about 3 MB.
	maxBuffered = 2048
)

// bufferPacket keeps a copy of a packet of a flow that is searched for. A packet
// above the limits is dropped; the caller retransmits it.
func (t *flowTable) bufferPacket(e *flowEntry, data []byte) {
	if len(e.buffered) < maxBufferedPerFlow && t.bufferedCount < maxBuffered {
		e.buffered = append(e.buffered, append([]byte(nil), data...))
		t.bufferedCount++
	}
}

// takeBuffered removes the buffered packets of a flow and returns them.
func (t *flowTable) takeBuffered(e *flowEntry) (buffered [][]byte) {
	buffered, e.buffered = e.buffered, nil
	t.bufferedCount -= len(buffered)
	return buffered
}

// newFlowTable returns an empty table for at most limit flows.
func newFlowTable(limit int) *flowTable {
	return &flowTable{byKey: make(map[flow.Key]*flowEntry), recent: list.New(), limit: limit}
}

// get returns the entry of a flow, or nil, and marks it as used.
func (t *flowTable) get(now time.Time, key flow.Key) *flowEntry {
	e := t.byKey[key]
	if e != nil {
		e.lastUsed = now
		t.recent.MoveToFront(e.element)
	}
	return e
}

// put adds an entry, in place of an earlier one of the flow, and evicts the least
// recently used entries to stay within the limit.
func (t *flowTable) put(now time.Time, e *flowEntry) {
	if old := t.byKey[e.key]; old != nil {
		t.remove(old)
	}
	for len(t.byKey) >= t.limit {
		t.remove(t.recent.Back().Value.(*flowEntry))
	}
	e.lastUsed = now
	e.element = t.recent.PushFront(e)
	t.byKey[e.key] = e
}

// remove removes an entry, its deadline and its buffered packets.
func (t *flowTable) remove(e *flowEntry) {
	e.deadline = time.Time{}
	t.takeBuffered(e)
	t.recent.Remove(e.element)
	delete(t.byKey, e.key)
}

// expire removes the flows whose last packet arrived before a time.
func (t *flowTable) expire(before time.Time) {
	for back := t.recent.Back(); back != nil; back = t.recent.Back() {
		e := back.Value.(*flowEntry)
		if !e.lastUsed.Before(before) {
			return
		}
		t.remove(e)
	}
}
