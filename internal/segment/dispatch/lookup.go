package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
)

const (
	// lookupInterval is the least time between two rounds of lookups. Flows that are
	// looked for in between share the datagrams of the next round.
	lookupInterval = 10 * time.Millisecond
	// maxLookupFlows bounds the flows of one lookup. A flow takes 20 bytes.
	maxLookupFlows = 60
	// probePackets is how many packets an agent is shown. Hosts acknowledge every
	// second one.
	probePackets = 2
)

// searchStep says how far the search for the host of a flow has come. In each step
// agents are asked together, and those that cannot tell whether their host holds
// the flow are shown a packet, one after the other.
type searchStep uint8

const (
	// searchRoute: the agents of the services that the flow's route names are asked.
	searchRoute searchStep = iota
	// searchOthers: the other agents are asked, because flows stay where they are
	// when a configuration changes their route.
	searchOthers
)

// lookups are the flows that the next round of lookups asks for.
type lookups struct {
	waiting []*entry
	// at is when the next round may be.
	at time.Time
}

// search starts to look for the host of a flow and keeps its packet meanwhile.
func (d *Dispatcher) search(now time.Time, e *entry, s *packet.Segment) (decisions []Decision) {
	e.phase, e.step, e.acknowledged = phaseSearching, searchRoute, s.Acknowledgement
	e.tried, e.refused, e.unsure, e.shown, e.answers, e.suspect = nil, 0, nil, nil, nil, nil
	d.flows.hold(e, s.Data)
	return d.ask(now, e)
}

// ask adds a flow to the next round of lookups.
func (d *Dispatcher) ask(now time.Time, e *entry) (decisions []Decision) {
	e.asked, e.probing, e.deadline = nil, false, time.Time{}
	d.lookups.waiting = append(d.lookups.waiting, e)
	if now.Before(d.lookups.at) {
		d.wakeBy(d.lookups.at)
		return nil
	}
	return d.lookUp(now)
}

// lookUp asks agents for the flows that wait, each agent with one message.
func (d *Dispatcher) lookUp(now time.Time) (decisions []Decision) {
	waiting := d.lookups.waiting
	d.lookups.waiting = nil
	if len(waiting) == 0 {
		return nil
	}
	d.lookups.at = now.Add(lookupInterval)
	flows := make(map[*agent][]flow.Key)
	for _, e := range waiting {
		if e.phase != phaseSearching || e.probing || d.flows.flows[e.key] != e {
			continue
		}
		agents := d.candidates(now, e)
		if len(agents) == 0 && e.step == searchRoute {
			e.step = searchOthers
			agents = d.candidates(now, e)
		}
		if len(agents) == 0 {
			decisions = append(decisions, d.searchNext(now, e)...)
			continue
		}
		for _, a := range agents {
			flows[a] = append(flows[a], e.key)
		}
		// An agent that is silent is asked but not waited for, unless all are.
		e.asked = slices.DeleteFunc(agents, func(a *agent) bool { return d.silent(now, a) })
		d.waitUntil(e, now.Add(searchTimeout))
		decisions = append(decisions, Search{Flow: e.key, Agents: len(agents)})
	}
	for _, a := range d.order {
		for keys := range slices.Chunk(flows[a], maxLookupFlows) {
			decisions = append(decisions, Lookup{Agent: a.address, Flows: keys})
		}
	}
	return decisions
}

// candidates returns the agents that may hold a flow and have not denied it.
func (d *Dispatcher) candidates(now time.Time, e *entry) (agents []*agent) {
	e.forgetDenials(now)
	tags := d.routeTags(e)
	for _, a := range d.order {
		ofRoute := a.known && slices.Contains(tags, a.tag)
		if ofRoute == (e.step == searchRoute) && !slices.Contains(e.denied, a) {
			agents = append(agents, a)
		}
	}
	return agents
}

// HandleLocated takes the answer of an agent to a lookup: the flows that its host
// holds, those that it does not hold, and those that it has to be shown a packet of.
func (d *Dispatcher) HandleLocated(now time.Time, from netip.Addr, held, denied, unsure []flow.Key, l packet.Load) (decisions []Decision) {
	a := d.handleLoad(now, from, l)
	for _, key := range held {
		if e := d.flows.flows[key]; e != nil && e.phase != phaseSettled {
			decisions = append(decisions, d.settle(e, from)...)
		}
	}
	if a == nil {
		return decisions
	}
	for _, key := range denied {
		if e := d.flows.flows[key]; e != nil && e.phase == phaseSearching {
			e.deny(now, a)
			decisions = append(decisions, d.replied(now, e, a)...)
		}
	}
	for _, key := range unsure {
		e := d.flows.flows[key]
		if e == nil || e.phase != phaseSearching {
			continue
		}
		if !slices.Contains(e.unsure, a) {
			e.unsure = append(e.unsure, a)
		}
		decisions = append(decisions, d.replied(now, e, a)...)
	}
	return decisions
}

// replied goes on with a search when the last agent that it waits for has replied.
func (d *Dispatcher) replied(now time.Time, e *entry, a *agent) (decisions []Decision) {
	i := slices.Index(e.asked, a)
	if i < 0 {
		return nil
	}
	e.asked = slices.Delete(e.asked, i, i+1)
	if len(e.asked) > 0 {
		return nil
	}
	return d.searchNext(now, e)
}

// searchNext goes on with a search after a round of lookups or a probe.
func (d *Dispatcher) searchNext(now time.Time, e *entry) (decisions []Decision) {
	if a := d.nextProbe(now, e); a != nil {
		return d.probe(now, e, a)
	}
	if e.step == searchRoute {
		e.step = searchOthers
		return d.ask(now, e)
	}
	if d.heldNowhere(now, e) {
		return d.reset(e, e.acknowledged, ReasonHeldNowhere)
	}
	held := d.flows.takeHeld(e)
	e.phase, e.probing, e.deadline, e.retryAt = phaseLost, false, time.Time{}, now.Add(searchPause)
	if e.suspect = d.onlyCandidate(now, e); e.suspect == nil {
		return []Decision{Drop{Flow: e.key, Reason: ReasonNotFound}}
	}
	for _, data := range held[e.shownTo(e.suspect.address):] {
		decisions = append(decisions, d.forward(e, e.suspect.address, StepSearch, data)...)
	}
	return decisions
}

// nextProbe returns the next agent that is shown a packet, or nil. The host that a
// flow was placed at is among the first in its rendezvous order.
func (d *Dispatcher) nextProbe(now time.Time, e *entry) *agent {
	e.unsure = slices.DeleteFunc(e.unsure, func(a *agent) bool { return e.wasTried(a) || slices.Contains(e.denied, a) })
	if len(e.unsure) == 0 || len(e.held) == 0 {
		return nil
	}
	unsure := func(a *agent) bool { return slices.Contains(e.unsure, a) }
	for _, tag := range d.routeTags(e) {
		if a := d.lead(now, e.key, tag, unsure).first; a != nil {
			return a
		}
	}
	return e.unsure[0]
}

// probe shows an agent the first packets that were kept.
func (d *Dispatcher) probe(now time.Time, e *entry, a *agent) (decisions []Decision) {
	e.tried, e.probing = append(e.tried, a), true
	d.waitUntil(e, now.Add(searchTimeout))
	shown := min(len(e.held), probePackets)
	e.shown = append(e.shown, shown)
	for _, data := range e.held[:shown] {
		decisions = append(decisions, d.forward(e, a.address, StepSearch, data)...)
	}
	return decisions
}

// onlyCandidate returns the agent that was shown packets and has not returned them
// if all others have denied the flow. Its host may take its time to answer.
func (d *Dispatcher) onlyCandidate(now time.Time, e *entry) (candidate *agent) {
	for _, a := range d.order {
		if slices.Contains(e.denied, a) {
			continue
		}
		if candidate != nil || !e.wasTried(a) || d.silent(now, a) {
			return nil
		}
		candidate = a
	}
	return candidate
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

// shownTo returns how many of the packets that were kept an agent was shown.
func (e *entry) shownTo(agent netip.Addr) int {
	for i, a := range e.tried {
		if a.address == agent && i < len(e.shown) {
			return e.shown[i]
		}
	}
	return 0
}

// settle records the host of a flow and sends it the packets that were kept and
// that it has not been shown.
func (d *Dispatcher) settle(e *entry, owner netip.Addr) (decisions []Decision) {
	held := d.flows.takeHeld(e)
	held = held[min(len(held), e.shownTo(owner)):]
	e.settle(owner)
	for _, data := range held {
		decisions = append(decisions, d.forward(e, owner, StepOwner, data)...)
	}
	return decisions
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
	for _, t := range route.Targets {
		if tag := packet.ServiceTag(t.Service); !slices.Contains(tags, tag) {
			tags = append(tags, tag)
		}
	}
	return tags
}
