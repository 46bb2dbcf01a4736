package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
)

const (
	// lookupInterval is the shortest time between two rounds of lookups. Flows whose
	// searches begin in between share the datagrams of the next round.
	lookupInterval = 10 * time.Millisecond
	// lookupBurst is the time whose lookups may be sent at once, in seconds: a single
	// search asks all agents without delay in fleets that suit the balancer.
	lookupBurst = 0.25
	// maxLookupFlows bounds the flows in one lookup, which is sent as one datagram. A
	// flow takes 24 bytes.
	maxLookupFlows = 50
	// maxSearchTime bounds how long a balancer that has just started searches for a flow,
	// from the first packet of the search on. Callers send at least two copies of a packet
	// within this time.
	maxSearchTime = 1200 * time.Millisecond
)

// searchScope is the set of agents that a search asks together in a round of
// lookups. Those that cannot tell whether their host holds the flow are then probed,
// one after the other.
type searchScope uint8

const (
	// scopeHolder contains the agent that another balancer named as the holder of a flow
	// whose packets it relayed. It is probed without a lookup.
	scopeHolder searchScope = iota
	// scopeLikely contains the agents that the flow was most likely placed at. It is empty
	// if the route has few agents.
	scopeLikely
	// scopeRoute contains the agents of the services that the flow's route names.
	scopeRoute
	// scopeOthers contains all other agents, because flows stay at their host when a
	// configuration changes their route.
	scopeOthers
	// scopeAll contains all agents.
	scopeAll
)

// lookupRound holds the flows for the next round of lookups.
type lookupRound struct {
	// waiting holds the flows. Those whose search has ended since are skipped.
	waiting []*flowEntry
	// nextAt is the earliest time of the next round.
	nextAt time.Time
	// perSecond is Config.LookupsPerSecond. allowance is the number of lookups that may be
	// sent without delay, as of lastAt; a round may overdraw it, which delays the next one.
	perSecond, allowance float64
	lastAt               time.Time
}

// schedule sets the earliest time of the next round after one that sends a number of
// lookups.
func (r *lookupRound) schedule(now time.Time, lookups int) {
	delay := lookupInterval
	if r.perSecond > 0 {
		r.allowance = min(r.allowance+now.Sub(r.lastAt).Seconds()*r.perSecond, lookupBurst*r.perSecond) - float64(lookups)
		r.lastAt = now
		delay = max(delay, time.Duration(-r.allowance/r.perSecond*float64(time.Second)))
	}
	r.nextAt = now.Add(delay)
}

// startSearch begins a search for the host that holds a flow and buffers the packet.
func (d *Dispatcher) startSearch(now time.Time, e *flowEntry, s *packet.Segment) (decisions []Decision) {
	d.beginSearch(now, e, s, scopeLikely)
	return d.queueLookup(now, e)
}

// beginSearch puts a flow into phaseSearching and buffers the packet.
func (d *Dispatcher) beginSearch(now time.Time, e *flowEntry, s *packet.Segment, scope searchScope) {
	e.phase, e.scope, e.acknowledgement = phaseSearching, scope, s.Acknowledgement
	e.owner, e.awaitedAgents, e.resumes, e.searchUntil = netip.Addr{}, nil, false, now.Add(maxSearchTime)
	e.triedAgents, e.returnedOffers, e.unsureAgents, e.unseen, e.probesSent, e.answers, e.onlyCandidate = nil, 0, nil, nil, nil, nil, nil
	d.flows.bufferPacket(e, s.Data)
}

// queueLookup adds a flow to the next round of lookups, and starts the round if it
// is time.
func (d *Dispatcher) queueLookup(now time.Time, e *flowEntry) (decisions []Decision) {
	e.awaitedAgents, e.probing, e.deadline = nil, false, time.Time{}
	d.lookups.waiting = append(d.lookups.waiting, e)
	if now.Before(d.lookups.nextAt) {
		d.wakeBy(d.lookups.nextAt)
		return nil
	}
	return d.startRound(now)
}

// candidates returns the agents in the scope of the search that have not denied the
// flow.
func (d *Dispatcher) candidates(now time.Time, e *flowEntry) (agents []*agent) {
	e.expireDenials(now)
	if e.scope == scopeLikely {
		return d.likelyHolders(now, e)
	}
	tags := d.routeServiceTags(e)
	for _, a := range d.agentList {
		servesRoute := a.statusKnown && slices.Contains(tags, a.serviceTag)
		if (e.scope == scopeAll || servesRoute == (e.scope == scopeRoute)) && !slices.Contains(e.deniedBy, a) {
			agents = append(agents, a)
		}
	}
	return agents
}

// Located is an agent's answer to a lookup.
type Located struct {
	// Held are the flows that its host holds, Denied those that it does not hold, and
	// Unsure those for which the agent has to be probed.
	Held, Denied, Unsure []flow.Key
	// Unseen are flows like Unsure that this run of the agent has not seen.
	Unseen []flow.Key
	// Run names the run of the agent; 0 means that it is not known.
	Run  uint64
	Load packet.Load
}

// HandleLocated handles an agent's answer to a lookup.
func (d *Dispatcher) HandleLocated(now time.Time, from netip.Addr, l Located) (decisions []Decision) {
	a := d.recordMessage(now, from, l.Load)
	for _, key := range l.Held {
		if e := d.flows.byKey[key]; e != nil && e.phase != phaseEstablished {
			decisions = append(decisions, d.establish(e, from)...)
		}
	}
	if a == nil {
		return decisions
	}
	for _, key := range l.Denied {
		if e := d.flows.byKey[key]; e != nil && e.phase == phaseSearching {
			e.addDenial(now, a)
			decisions = append(decisions, d.recordReply(now, e, a)...)
		}
	}
	for _, key := range l.Unsure {
		e := d.flows.byKey[key]
		if e == nil || e.phase != phaseSearching {
			continue
		}
		if !slices.Contains(e.unsureAgents, a) {
			e.unsureAgents = append(e.unsureAgents, a)
		}
		decisions = append(decisions, d.recordReply(now, e, a)...)
	}
	return append(decisions, d.addUnseen(now, a, l.Run, l.Unseen)...)
}

// recordReply records that an agent has answered a lookup for a flow, and continues
// the search if no other answer is awaited.
func (d *Dispatcher) recordReply(now time.Time, e *flowEntry, a *agent) (decisions []Decision) {
	i := slices.Index(e.awaitedAgents, a)
	if i < 0 {
		return nil
	}
	e.awaitedAgents = slices.Delete(e.awaitedAgents, i, i+1)
	if len(e.awaitedAgents) > 0 {
		return nil
	}
	return d.continueSearch(now, e)
}

// continueSearch takes the next step of a search after a round of lookups or a
// probe: another probe, a round with the wider scope, or the end of the search
// without an owner.
func (d *Dispatcher) continueSearch(now time.Time, e *flowEntry) (decisions []Decision) {
	if reset := d.review(e, 0); reset != nil {
		return reset
	}
	if !d.judgeUnseen(now, e) {
		return nil
	}
	// A probe is dearer than a lookup of all agents, one of which may be sure.
	if a := d.nextProbe(now, e); a != nil && e.scope != scopeLikely {
		return d.probe(now, e, a)
	}
	if e.scope < scopeOthers {
		e.scope++
		return d.queueLookup(now, e)
	}
	if d.heldNowhere(now, e) {
		return d.reset(e, e.acknowledgement, ReasonHeldNowhere)
	}
	if d.mayFindLater(now, e) {
		e.probing, e.resumes = false, true
		d.setDeadline(e, now.Add(searchRetryDelay))
		return nil
	}
	buffered := d.flows.takeBuffered(e)
	e.phase, e.probing, e.deadline, e.retryAt = phaseNotFound, false, time.Time{}, now.Add(searchRetryDelay)
	if e.onlyCandidate = d.onlyCandidate(now, e); e.onlyCandidate == nil {
		if relayed := d.relayUnknown(e, buffered...); relayed != nil {
			return relayed
		}
		return []Decision{Drop{Flow: e.key, Reason: ReasonNotFound}}
	}
	return d.forward(e, e.onlyCandidate.address, StepSearch, buffered[e.probesSentTo(e.onlyCandidate.address):]...)
}

// mayFindLater reports whether a search that has found no owner is to be continued
// because the balancer has just started: agents that were not asked may hold the flow, or
// it becomes clear that none does.
func (d *Dispatcher) mayFindLater(now time.Time, e *flowEntry) bool {
	if _, relayed := d.chooseUnknownRelay(e); relayed {
		return false
	}
	return d.isStarting(now) && now.Before(e.searchUntil) && d.onlyCandidate(now, e) == nil
}

// resumeSearch asks the agents that have not denied the flow once more.
func (d *Dispatcher) resumeSearch(now time.Time, e *flowEntry) (decisions []Decision) {
	e.resumes, e.scope = false, scopeRoute
	return d.queueLookup(now, e)
}

// resumeSearches makes the next Tick continue the searches that wait to ask again.
func (d *Dispatcher) resumeSearches() {
	for _, e := range d.deadlines {
		if e.resumes && !e.deadline.IsZero() {
			e.deadline = e.lastUsed
			d.wakeBy(e.deadline)
		}
	}
}

// onlyCandidate returns the agent that was probed and has not returned the packets, if
// all other agents have denied the flow, and nil otherwise. The host of that agent may
// be slow to answer.
func (d *Dispatcher) onlyCandidate(now time.Time, e *flowEntry) (candidate *agent) {
	for _, a := range d.agentList {
		if slices.Contains(e.deniedBy, a) {
			continue
		}
		if candidate != nil || !e.wasTried(a) || d.silent(now, a) {
			return nil
		}
		candidate = a
	}
	return candidate
}

// heldNowhere reports whether no host can hold the flow: the list of agents is
// complete, and all of them answer and have denied the flow, or said last that their
// host is gone. The host of an agent that does not answer may hold it, unless it was lost
// with everything else.
func (d *Dispatcher) heldNowhere(now time.Time, e *flowEntry) bool {
	if !d.agentListComplete || len(d.agentList) == 0 {
		return false
	}
	for _, a := range d.agentList {
		if a.statusKnown && a.status.State == packet.HostGone || d.lostAtStart(now, a) {
			continue
		}
		if !a.statusKnown || d.silent(now, a) || !slices.Contains(e.deniedBy, a) {
			return false
		}
	}
	return true
}

// establish records the address of the owner's agent and returns the decisions to
// forward to it the buffered packets that it was not probed with.
func (d *Dispatcher) establish(e *flowEntry, owner netip.Addr) (decisions []Decision) {
	buffered := d.flows.takeBuffered(e)
	buffered = buffered[min(len(buffered), e.probesSentTo(owner)):]
	e.setOwner(owner)
	return d.forward(e, owner, StepOwner, buffered...)
}

// routeServiceTags returns the tags of the services that the flow's route names, and
// first that of the service that it was offered to, if known.
func (d *Dispatcher) routeServiceTags(e *flowEntry) (tags []uint32) {
	if e.firstKnown {
		tags = append(tags, e.serviceTag)
	}
	route := d.routes.Route(e.key.Destination())
	if route == nil {
		return tags
	}
	for _, t := range route.Targets {
		if tag := packet.ServiceTag(t.Service); !slices.Contains(tags, tag) {
			tags = append(tags, tag)
		}
	}
	return tags
}
