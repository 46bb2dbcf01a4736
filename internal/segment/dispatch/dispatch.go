// Package dispatch is the decision core of a balancer: it decides to which agent
// each packet of a caller goes. An agent runs beside each host and passes packets to
// it.
//
// The first packet of a flow is offered to the hosts of a service, one after the
// other, until one accepts it. That host owns the flow and gets all its later
// packets, even if hosts come and go or the configuration changes. If every host is
// full, the first packet is queued. A flow is late if its first request is expected
// to miss the latency objective of its route; late flows come last in the queue.
//
// A flow that comes through another balancer than before is unknown to this one,
// which then searches for its owner: lookups ask the agents whether their hosts hold
// the flow, and an agent that cannot tell is probed, that is, sent packets of the flow
// to pass on to its host. Packets that arrive during a search are buffered.
//
// A Dispatcher does no I/O and reads no clock. Its methods are given the current
// time and return Decisions, which the calling code carries out; it also calls Tick
// at the times that NextTick returns.
package dispatch

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/coldstart"
	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/paths"
	"agateramp/internal/segment/routes"
)

const (
	// offerTimeout is how long a host may take to answer a first packet before the
	// packet is offered to another host as well. It is shorter than the 200 ms after
	// which callers retransmit.
	offerTimeout = 50 * time.Millisecond
	// searchTimeout is how long a search waits for answers to a round of lookups, or
	// to a probe.
	searchTimeout = 30 * time.Millisecond
	// denialLifetime is how long the denials of a flow count after the first of them.
	// An agent denies a flow by reporting that its host does not hold it. After this
	// time the caller may have opened a new flow from the same port.
	denialLifetime = 5 * time.Second
	// searchRetryDelay is the shortest time between a search that has not found the
	// flow and the next search for it. It is shorter than the first retransmission
	// delay of callers, 200 ms.
	searchRetryDelay = 150 * time.Millisecond
	// maxOffers bounds the hosts to which one copy of a first packet is offered; each
	// retransmission is another copy.
	maxOffers = 4
	// handshakeWindow is how far, in bytes, a caller's acknowledgement may be above the
	// initial sequence number of the host whose answer it acknowledges. An end of a
	// flow has at most this much in flight: 16 packets of 1200 bytes.
	handshakeWindow = 16 * 1200
	// lastRetransmission is the number of the last retransmission of a first packet
	// that callers send.
	lastRetransmission = 2
)

// retransmissionDelays are the times from a first packet to each of its
// retransmissions by callers. Number 0 is the first packet itself.
var retransmissionDelays = [lastRetransmission + 1]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Config configures a Dispatcher.
type Config struct {
	// MaxFlows bounds the number of flows that are remembered; the least recently used
	// ones are evicted. If 0, the limit is 100,000.
	MaxFlows int
	// DataCentre is the data centre of the balancer. New flows go to hosts there
	// unless one elsewhere is expected to answer clearly sooner. If empty, the data
	// centres of hosts are ignored.
	DataCentre string
	// Paths holds the data centres that the balancer reaches. The dispatcher records the
	// messages of agents in it. If nil, no packet is relayed by another balancer.
	Paths *paths.Set
	// ColdBounds are how far the new flows of a cold host may exceed the figure of the
	// configuration. If nil, no flow is reset because all hosts are cold.
	ColdBounds *coldstart.Bounds
	// LookupsPerSecond bounds the lookups that are sent on average. If searches need more,
	// more flows share each round. If 0, only the time between two rounds is bounded.
	LookupsPerSecond int
	// StartedAt is when the balancer was started. Until shortly after its first list of
	// agents, searches go on while more agents become known. If zero, the balancer counts as
	// having run for long.
	StartedAt time.Time
	// JudgeHosts lowers the share of new flows of hosts that fail more of their requests
	// than the others of their service. If not set, the reports of agents on failures are
	// ignored.
	JudgeHosts bool
}

// Dispatcher decides on the packets of one balancer. It is not safe for concurrent
// use.
type Dispatcher struct {
	routes     *routes.Set
	dataCentre string
	paths      *paths.Set
	startedAt  time.Time
	// removedAddresses holds the addresses that had a route in an earlier
	// configuration and have none now.
	removedAddresses map[netip.AddrPort]bool
	agents           map[netip.Addr]*agent
	// agentList holds the agents in the order in which they were added, and pollOrder in the
	// order of the hashes of their addresses.
	agentList, pollOrder []*agent
	// services holds the agents with a known status, by the tag of their service, as
	// returned by packet.ServiceTag.
	services map[uint32]*service
	flows    *flowTable
	// start is what is known of the circumstances of the balancer's start.
	start startState
	// deadlines holds the entries that have a deadline, and some whose deadline has
	// been cleared since.
	deadlines []*flowEntry
	// nextWake is when Tick has to run next for a deadline or a round of lookups. It
	// may be earlier than needed but never later; zero means that there is neither.
	nextWake time.Time
	// queue holds the flows that wait for a host with room.
	queue queue
	// lookups holds the flows for the next round of lookups.
	lookups lookupRound
	// firstListedAt is when the store's list of agents was first read.
	firstListedAt time.Time
	// agentListComplete is set while the store lists every agent that can be reached.
	agentListComplete bool
	// evacuated holds the evacuated data centres.
	evacuated []string
	// coldBounds are as in Config, and balancerCount is the number of balancers that share
	// the hosts; 0 stands for one.
	coldBounds    *coldstart.Bounds
	balancerCount int
	// judgeHosts is as in Config.
	judgeHosts bool
}

// New returns a dispatcher without routes and agents. It fails if c.MaxFlows or
// c.LookupsPerSecond is negative.
func New(c Config) (d *Dispatcher, err error) {
	if c.MaxFlows < 0 {
		return nil, errors.Errorf("dispatcher: MaxFlows is %d; it must not be negative", c.MaxFlows)
	}
	if c.LookupsPerSecond < 0 {
		return nil, errors.Errorf("dispatcher: LookupsPerSecond is %d; it must not be negative", c.LookupsPerSecond)
	}
	if c.MaxFlows == 0 {
		c.MaxFlows = 100_000
	}
	return &Dispatcher{
		dataCentre: c.DataCentre, paths: c.Paths, startedAt: c.StartedAt, removedAddresses: make(map[netip.AddrPort]bool), agents: make(map[netip.Addr]*agent),
		services: make(map[uint32]*service), flows: newFlowTable(c.MaxFlows),
		lookups:    lookupRound{perSecond: float64(c.LookupsPerSecond)},
		coldBounds: c.ColdBounds, judgeHosts: c.JudgeHosts,
	}, nil
}

// SetRoutes puts a configuration in force if its version is higher than that of the
// current one. It reports whether it did. Each flow that waits is reviewed by it before
// the next packet or lookup of the flow is sent.
func (d *Dispatcher) SetRoutes(set *routes.Set) (applied bool) {
	if set.Version() <= d.routes.Version() {
		return false
	}
	for address := range d.routes.Addresses() {
		d.removedAddresses[address] = true
	}
	for address := range set.Addresses() {
		delete(d.removedAddresses, address)
	}
	if d.routes == nil {
		d.resumeSearches()
	}
	d.routes = set
	return true
}

// Routes returns the configuration in force, or nil if there is none yet.
func (d *Dispatcher) Routes() *routes.Set { return d.routes }

// FlowCount returns the number of remembered flows.
func (d *Dispatcher) FlowCount() int { return len(d.flows.byKey) }

// HandlePacket decides on a packet that a caller sent. The decisions refer to
// s.Data; the dispatcher itself keeps only copies of it.
func (d *Dispatcher) HandlePacket(now time.Time, s *packet.Segment) (decisions []Decision) {
	key := s.KeyFromCaller()
	e := d.flows.get(now, key)
	if s.IsFirstPacket() {
		return d.handleFirstPacket(now, key, e, s)
	}
	if e == nil && d.routeRemoved(s.Destination) {
		return []Decision{Reset{Flow: key, Sequence: s.Acknowledgement, Reason: ReasonRouteRemoved}}
	}
	if e == nil {
		e = &flowEntry{key: key}
		d.flows.put(now, e)
		return d.startSearch(now, e, s)
	}
	// Buffered packets may be of the balancer that relayed packets before.
	e.relayed = e.relayed && len(e.buffered) > 0
	return d.handleLaterPacket(now, e, s)
}

// handleFirstPacket decides on the first packet of a flow or a retransmission of it.
// e is the entry of the flow key, or nil. A flow without a configuration is queued. The
// review before the first offer gives a new flow its service.
func (d *Dispatcher) handleFirstPacket(now time.Time, key flow.Key, e *flowEntry, s *packet.Segment) (decisions []Decision) {
	if e != nil && e.firstKnown && e.firstSequence == s.Sequence {
		return d.handleRetransmission(now, e, s)
	}
	route := d.routes.Route(s.Destination)
	if route == nil && d.routes != nil {
		return []Decision{Reset{Flow: key, Reason: ReasonNoRoute}}
	}
	e = &flowEntry{key: key, phase: phaseOpening, firstSequence: s.Sequence, firstKnown: true}
	// Callers number the retransmissions of a first packet in its acknowledgement field.
	e.firstSentAt = now.Add(-retransmissionDelays[min(s.Acknowledgement, lastRetransmission)])
	if d.routes == nil && len(d.queue.waiting) >= maxQueuedFlows {
		return []Decision{Drop{Flow: key, Reason: ReasonStarting}}
	}
	d.flows.put(now, e)
	if d.routes == nil {
		return d.enqueue(now, e, s.Data)
	}
	return d.offer(now, e, s.Data, StepOffer)
}

// handleRetransmission decides on a retransmission of the first packet of a known
// flow. It goes to the host that owns the flow or has answered; if there is none and
// the flow is not queued, the packet is offered to hosts anew. The answer of a host whose
// service the route no longer names does not count.
func (d *Dispatcher) handleRetransmission(now time.Time, e *flowEntry, s *packet.Segment) (decisions []Decision) {
	if reset := d.review(e, 0); reset != nil {
		return reset
	}
	switch e.phase {
	case phaseEstablished:
		return d.forward(e, e.owner, StepRepeat, s.Data)
	case phaseQueued:
		return []Decision{Drop{Flow: e.key, Reason: ReasonQueued}}
	case phaseOpening, phaseSearching, phaseNotFound:
	}
	for _, a := range e.answers {
		if d.mayOpenAt(e, a.agent) {
			return d.forward(e, a.agent, StepRepeat, s.Data)
		}
	}
	if e.returnedOffers < len(e.triedAgents) && d.isEvacuated(now, e.serviceTag) {
		// A host that was offered the flow before the evacuation may still accept it.
		return []Decision{Drop{Flow: e.key, Reason: ReasonEvacuated}}
	}
	e.triedAgents, e.returnedOffers = nil, 0
	return d.offer(now, e, s.Data, StepOffer)
}

// offer offers a first packet to the next host. If no host is left, offer waits for
// the hosts that have not answered yet, queues the flow, or resets it.
func (d *Dispatcher) offer(now time.Time, e *flowEntry, data []byte, step Step) (decisions []Decision) {
	if reset := d.review(e, 0); reset != nil {
		return reset
	}
	var a *agent
	e.late = e.missesObjective(now)
	if len(e.triedAgents) < maxOffers {
		a = d.place(now, e)
	}
	if a != nil {
		a.offersSinceReport++
		e.triedAgents = append(e.triedAgents, a)
		d.awaitAnswer(now, e, data, offerTimeout)
		return d.forward(e, a.address, step, data)
	}
	e.deadline = time.Time{}
	if e.returnedOffers < len(e.triedAgents) || len(e.answers) > 0 {
		// A host that has not answered may still accept the flow.
		return nil
	}
	if d.isEvacuated(now, e.serviceTag) {
		return d.reset(e, 0, ReasonEvacuated)
	}
	if d.shouldQueue(now, e) {
		return d.enqueue(now, e, data)
	}
	if len(e.triedAgents) == 0 {
		return d.reset(e, 0, ReasonNoHost)
	}
	return d.reset(e, 0, ReasonRefused)
}

// handleLaterPacket decides on a packet of a known flow that is not a first packet.
func (d *Dispatcher) handleLaterPacket(now time.Time, e *flowEntry, s *packet.Segment) (decisions []Decision) {
	if reset := d.review(e, s.Acknowledgement); reset != nil {
		return reset
	}
	switch e.phase {
	case phaseEstablished:
		if e.isOtherFlow(s) {
			return d.startSearch(now, e, s)
		}
		if s.Flags.Has(packet.ACK) {
			e.acknowledgement = s.Acknowledgement
		}
		return d.forward(e, e.owner, StepOwner, s.Data)
	case phaseOpening, phaseQueued:
		if owner, ok := e.matchAnswer(s.Acknowledgement); ok {
			e.setOwner(owner)
			return d.forward(e, owner, StepOwner, s.Data)
		}
		if len(e.answers) > 0 || len(e.triedAgents) == 0 {
			return d.startSearch(now, e, s)
		}
		// The caller has received an answer whose Accepted message has not arrived here yet.
		return d.forward(e, e.lastTried().address, StepOwner, s.Data)
	case phaseNotFound:
		if e.onlyCandidate != nil {
			return d.forward(e, e.onlyCandidate.address, StepSearch, s.Data)
		}
		if relayed := d.relayUnknown(e, s.Data); relayed != nil {
			return relayed
		}
		if now.Before(e.retryAt) {
			return []Decision{Drop{Flow: e.key, Reason: ReasonNotFound}}
		}
		return d.startSearch(now, e, s)
	case phaseSearching:
		e.acknowledgement = s.Acknowledgement
		d.flows.bufferPacket(e, s.Data)
		return nil
	}
	return nil
}

// isOtherFlow reports whether a packet belongs to a later flow with the same key as the
// entry. Callers use a port again, and the first packet of that flow may have gone
// through another balancer.
func (e *flowEntry) isOtherFlow(s *packet.Segment) bool {
	return e.acknowledgement != 0 && s.Flags.Has(packet.ACK) && !packet.SameSpace(e.acknowledgement, s.Acknowledgement)
}

// matchAnswer returns the host whose answer to the first packet has the sequence
// number that a packet of the caller acknowledges.
func (e *flowEntry) matchAnswer(acknowledgement uint32) (owner netip.Addr, ok bool) {
	for _, a := range e.answers {
		if acknowledgement-a.sequence <= handshakeWindow {
			return a.agent, true
		}
	}
	return netip.Addr{}, false
}
