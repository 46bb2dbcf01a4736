// Package dispatch decides where a balancer sends the packets of callers. It
// offers the first packet of a flow to hosts one after the other, remembers which
// host holds the flow, and finds it again when the flow comes through another
// balancer. It does no I/O and reads no clock.
package dispatch

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/routes"
)

const (
	// offerTimeout is how long a host may take to answer a first packet before it is
	// offered to another one. Callers send their copy after 200 ms.
	offerTimeout = 50 * time.Millisecond
	// searchTimeout is how long an agent may take to say that it does not hold a flow.
	searchTimeout = 30 * time.Millisecond
	// deniedTime is how long the word of an agent that its host does not hold a flow
	// is believed. The caller's port may be used for a new flow after that.
	deniedTime = 5 * time.Second
	// searchPause is how long a flow that was not found is not looked for again. It
	// is shorter than the first retransmission of callers, 200 ms.
	searchPause = 150 * time.Millisecond
	// maxOffers bounds the hosts that are offered one copy of a first packet.
	maxOffers = 4
	// handshakeWindow is how far an acknowledgement may be from the initial sequence
	// number of the host that it is meant for. It is the most that an end has in flight.
	handshakeWindow = 16 * 1200
	// lastCopy is the number of the last copy of a first packet that callers send.
	lastCopy = 2
)

// copyDelays is how long after a first packet callers send its copies.
var copyDelays = [lastCopy + 1]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Config configures a Dispatcher.
type Config struct {
	// MaxFlows bounds the remembered flows. Empty means 100,000.
	MaxFlows int
	// DataCentre is where the balancer is. New flows go to hosts there unless another
	// one is expected to answer clearly sooner. Empty means that all hosts are alike.
	DataCentre string
}

// Dispatcher is the decision core of a balancer. It is not safe for concurrent use.
type Dispatcher struct {
	routes     *routes.Set
	dataCentre string
	// removed holds the addresses that newer configurations dropped.
	removed map[netip.AddrPort]bool
	agents  map[netip.Addr]*agent
	order   []*agent
	// services holds the agents whose status is known, by the tag of their service.
	services map[uint32]*service
	flows    *table
	// pending holds the entries with a deadline, and earliest is not after the first
	// of the deadlines.
	pending  []*entry
	earliest time.Time
	queue    queue
	lookups  lookups
	// listedAt is when the store's list of agents was first read.
	listedAt time.Time
	// complete is set while the store has every agent that can be reached.
	complete bool
}

// New returns a dispatcher without routes and agents.
func New(c Config) (d *Dispatcher, err error) {
	if c.MaxFlows < 0 {
		return nil, errors.New("dispatcher: MaxFlows must not be negative")
	}
	if c.MaxFlows == 0 {
		c.MaxFlows = 100_000
	}
	return &Dispatcher{
		dataCentre: c.DataCentre, removed: make(map[netip.AddrPort]bool), agents: make(map[netip.Addr]*agent),
		services: make(map[uint32]*service), flows: newTable(c.MaxFlows),
	}, nil
}

// SetRoutes puts a configuration in force unless one as new is. It reports
// whether it did.
func (d *Dispatcher) SetRoutes(set *routes.Set) (applied bool) {
	if set.Version() <= d.routes.Version() {
		return false
	}
	for address := range d.routes.Addresses() {
		d.removed[address] = true
	}
	for address := range set.Addresses() {
		delete(d.removed, address)
	}
	d.routes = set
	return true
}

// Routes returns the configuration in force, or nil.
func (d *Dispatcher) Routes() *routes.Set { return d.routes }

// FlowCount returns the number of remembered flows.
func (d *Dispatcher) FlowCount() int { return len(d.flows.flows) }

// HandlePacket decides on a packet of a caller.
func (d *Dispatcher) HandlePacket(now time.Time, s *packet.Segment) (decisions []Decision) {
	key := s.KeyFromCaller()
	e := d.flows.get(now, key)
	if s.IsFirstPacket() {
		return d.handleFirst(now, key, e, s)
	}
	if d.routes.Route(s.Destination) == nil && d.removed[s.Destination] {
		if e == nil {
			return []Decision{Reset{Flow: key, Sequence: s.Acknowledgement, Reason: ReasonRouteRemoved}}
		}
		return d.reset(e, s.Acknowledgement, ReasonRouteRemoved)
	}
	if e == nil {
		e = &entry{key: key}
		d.flows.add(now, e)
		return d.search(now, e, s)
	}
	return d.handleLater(now, e, s)
}

// handleFirst decides on the first packet of a flow, or a copy of it.
func (d *Dispatcher) handleFirst(now time.Time, key flow.Key, e *entry, s *packet.Segment) (decisions []Decision) {
	if e != nil && e.opened && e.first == s.Sequence {
		return d.handleCopy(now, e, s)
	}
	route := d.routes.Route(s.Destination)
	if route == nil {
		if d.routes == nil {
			return []Decision{Drop{Flow: key, Reason: ReasonStarting}}
		}
		return []Decision{Reset{Flow: key, Reason: ReasonNoRoute}}
	}
	service := route.PickService(key.Hash())
	e = &entry{key: key, phase: phaseOpening, first: s.Sequence, opened: true, service: packet.ServiceTag(service), priority: route.Priority}
	e.began = now.Add(-copyDelays[min(s.Acknowledgement, lastCopy)])
	if route.LatencyObjective > 0 {
		e.lateAt = e.began.Add(route.LatencyObjective / 2)
	}
	d.flows.add(now, e)
	return d.offer(now, e, s.Data, StepOffer)
}

func (d *Dispatcher) handleCopy(now time.Time, e *entry, s *packet.Segment) (decisions []Decision) {
	switch {
	case e.phase == phaseSettled:
		return d.forward(e, e.owner, StepRepeat, s.Data)
	case e.phase == phaseQueued:
		return []Decision{Drop{Flow: e.key, Reason: ReasonQueued}}
	case len(e.answers) > 0:
		return d.forward(e, e.answers[0].agent, StepRepeat, s.Data)
	}
	e.tried, e.refused = nil, 0
	return d.offer(now, e, s.Data, StepOffer)
}

// offer sends a first packet to the next host.
func (d *Dispatcher) offer(now time.Time, e *entry, data []byte, step Step) (decisions []Decision) {
	var a *agent
	e.late = e.missesObjective(now)
	if len(e.tried) < maxOffers {
		a = d.place(now, e)
	}
	if a != nil {
		a.placed++
		e.tried = append(e.tried, a)
		d.wait(now, e, data, offerTimeout)
		return d.forward(e, a.address, step, data)
	}
	e.deadline = time.Time{}
	if e.refused < len(e.tried) || len(e.answers) > 0 {
		// A host that has not answered may still take the flow.
		return nil
	}
	if d.mayQueue(now, e) {
		return d.enqueue(now, e, data)
	}
	if len(e.tried) == 0 {
		return d.reset(e, 0, ReasonNoHost)
	}
	return d.reset(e, 0, ReasonRefused)
}

func (d *Dispatcher) forward(e *entry, agent netip.Addr, step Step, data []byte) (decisions []Decision) {
	f := Forward{Flow: e.key, Agent: agent, ServiceTag: e.service, Step: step, Late: e.late && step.offers(), Data: data}
	a := d.agents[agent]
	if a == nil {
		return []Decision{f}
	}
	f.LastMessageAt = a.heard
	if !step.offers() {
		f.ServiceTag = a.tag
	}
	return []Decision{f}
}

// handleLater decides on a packet of a flow that is known.
func (d *Dispatcher) handleLater(now time.Time, e *entry, s *packet.Segment) (decisions []Decision) {
	switch e.phase {
	case phaseSettled:
		return d.forward(e, e.owner, StepOwner, s.Data)
	case phaseOpening, phaseQueued:
		if owner, ok := e.match(s.Acknowledgement); ok {
			e.settle(owner)
			return d.forward(e, owner, StepOwner, s.Data)
		}
		if len(e.answers) > 0 || len(e.tried) == 0 {
			return d.search(now, e, s)
		}
		// The caller has an answer that this balancer was not told of yet.
		return d.forward(e, e.last().address, StepOwner, s.Data)
	case phaseLost:
		if e.suspect != nil {
			return d.forward(e, e.suspect.address, StepSearch, s.Data)
		}
		if now.Before(e.retryAt) {
			return []Decision{Drop{Flow: e.key, Reason: ReasonNotFound}}
		}
		return d.search(now, e, s)
	case phaseSearching:
		e.acknowledged = s.Acknowledgement
		d.flows.hold(e, s.Data)
		return nil
	}
	return nil
}

// match returns the host whose answer a packet acknowledges.
func (e *entry) match(acknowledgement uint32) (owner netip.Addr, ok bool) {
	for _, a := range e.answers {
		if acknowledgement-a.sequence <= handshakeWindow {
			return a.agent, true
		}
	}
	return netip.Addr{}, false
}

// HandleAccepted takes the message of an agent that its host holds a flow.
// sequence is the host's initial sequence number if the host has just answered
// the first packet; waited is then how long ago that packet came, or 0.
func (d *Dispatcher) HandleAccepted(now time.Time, agent netip.Addr, key flow.Key, sequence uint32, handshake bool, l packet.Load) (waited time.Duration, decisions []Decision) {
	d.handleLoad(now, agent, l)
	e := d.flows.flows[key]
	if e == nil {
		e = &entry{key: key, phase: phaseOpening}
		d.flows.add(now, e)
	}
	if !handshake {
		return 0, d.settle(e, agent)
	}
	if e.phase == phaseSettled {
		return 0, nil
	}
	if e.opened && len(e.answers) == 0 {
		waited = now.Sub(e.began)
	}
	// The host may have room for another flow that waits.
	d.queue.at = now
	if e.phase == phaseOpening || e.phase == phaseQueued {
		e.deadline, e.packet = time.Time{}, nil
	}
	if e.phase == phaseQueued {
		// A host that was asked before the flow began to wait has taken it.
		e.phase = phaseOpening
	}
	for i := range e.answers {
		if e.answers[i].agent == agent {
			e.answers[i].sequence = sequence
			return waited, nil
		}
	}
	e.answers = append(e.answers, answer{agent: agent, sequence: sequence})
	return waited, nil
}

// HandleReturned decides on a packet that an agent gave back.
func (d *Dispatcher) HandleReturned(now time.Time, from netip.Addr, s *packet.Segment, reason packet.ReturnReason, l packet.Load) (decisions []Decision) {
	a := d.handleLoad(now, from, l)
	switch {
	case a == nil:
	case reason == packet.ReturnDraining:
		a.status.State = packet.HostDraining
	}
	key := s.KeyFromCaller()
	e := d.flows.get(now, key)
	if reason == packet.ReturnBusy && a != nil {
		a.markFull(now, e != nil && e.late)
	}
	if e == nil {
		return []Decision{Drop{Flow: key, Reason: ReasonForgotten}}
	}
	if s.IsFirstPacket() {
		if e.phase != phaseOpening || e.first != s.Sequence || !e.wasTried(a) {
			return []Decision{Drop{Flow: key, Reason: ReasonForgotten}}
		}
		e.refused++
		if e.last() != a && e.refused < len(e.tried) {
			return nil
		}
		return d.offer(now, e, s.Data, StepNextOffer)
	}
	gone := reason == packet.ReturnNotHeld || reason == packet.ReturnWrongService
	if gone && a != nil {
		e.deny(now, a)
	}
	switch {
	case e.phase == phaseSettled && e.owner == from && gone:
		// A flow never moves, so no other host holds it.
		return d.reset(e, s.Acknowledgement, ReasonHostLost)
	case e.phase == phaseSettled && e.owner != from:
		// The owner became known while the packet was under way.
		return d.forward(e, e.owner, StepOwner, s.Data)
	case e.phase == phaseSearching && e.probing && e.last() == a:
		return d.searchNext(now, e)
	case e.phase == phaseSearching && a != nil:
		return d.replied(now, e, a)
	case e.phase == phaseSearching:
		return nil
	case e.phase == phaseLost && e.suspect != nil && e.suspect == a:
		e.suspect = nil
	case e.phase == phaseLost:
		return []Decision{Drop{Flow: key, Reason: ReasonNotFound}}
	}
	return d.search(now, e, s)
}

// reset ends a flow towards its caller and forgets it.
func (d *Dispatcher) reset(e *entry, sequence uint32, reason Reason) (decisions []Decision) {
	d.flows.remove(e)
	return []Decision{Reset{Flow: e.key, Sequence: sequence, Reason: reason}}
}
