package dispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"agateramp/internal/segment/packet"
)

// All that a balancer sends to agents for a flow, or to another balancer, is returned by
// forward, relay and startRound, the only functions that make a Forward, a Relay or a
// Lookup. They review the flow first, so that no decision outlives the configuration that
// it was made under.

// review checks a flow against the configuration in force, unless it was checked since
// the configuration came into force. If the route of the flow was removed, review returns
// the decision to reset the flow and removes the entry; otherwise it returns nil. The same
// holds for a queued flow that has no route in the first configuration. The
// acknowledgement is that of the packet at hand, or 0 if there is none. A flow that no
// host has accepted gets the service, the priority and the latency objective that its
// route has now, and offers to hosts of another service no longer count.
func (d *Dispatcher) review(e *flowEntry, acknowledgement uint32) (reset []Decision) {
	if e.version == d.routes.Version() {
		return nil
	}
	if d.routeRemoved(e.key.Destination()) {
		return d.reset(e, cmp.Or(acknowledgement, e.resetSequence()), ReasonRouteRemoved)
	}
	e.version = d.routes.Version()
	route := d.routes.Route(e.key.Destination())
	if route == nil && e.phase == phaseQueued {
		// The flow was queued before the first configuration came into force.
		return d.reset(e, 0, ReasonNoRoute)
	}
	if route == nil || !e.firstKnown {
		return nil
	}
	tag := packet.ServiceTag(route.PickService(e.key.Hash()))
	if tag != e.serviceTag && e.phase == phaseOpening {
		e.triedAgents, e.returnedOffers = nil, 0
	}
	e.serviceTag, e.priority, e.lateAfter = tag, route.Priority, time.Time{}
	if route.LatencyObjective > 0 {
		e.lateAfter = e.firstSentAt.Add(route.LatencyObjective / 2)
	}
	return nil
}

// routeRemoved reports whether an earlier configuration had a route for an address and
// the one in force has none.
func (d *Dispatcher) routeRemoved(address netip.AddrPort) bool {
	return d.routes.Route(address) == nil && d.removedAddresses[address]
}

// mayOpenAt reports whether the first packet of a flow may be sent to an agent: the agent
// is of the service that the configuration in force names for the flow, or not known. The
// flow must have been reviewed.
func (d *Dispatcher) mayOpenAt(e *flowEntry, agent netip.Addr) bool {
	a := d.agents[agent]
	return a == nil || a.serviceTag == e.serviceTag
}

// forward returns the decisions to send packets of a flow to an agent. First packets
// carry the tag of the service that the flow is for; other packets carry that of the
// service that the agent reports, if the agent is known.
func (d *Dispatcher) forward(e *flowEntry, agent netip.Addr, step Step, packets ...[]byte) (decisions []Decision) {
	if reset := d.review(e, 0); reset != nil {
		return reset
	}
	if step.sendsFirstPacket() && !d.mayOpenAt(e, agent) {
		return []Decision{Drop{Flow: e.key, Reason: ReasonOtherService}}
	}
	f := Forward{Flow: e.key, Agent: agent, ServiceTag: e.serviceTag, Step: step, Late: e.late && step.isOffer()}
	if a := d.agents[agent]; a != nil {
		if relayed := d.relayToOwner(e, a, step, packets); relayed != nil {
			return relayed
		}
		f.LastMessageAt = a.lastMessageAt
		if !step.sendsFirstPacket() {
			f.ServiceTag = a.serviceTag
		}
	}
	decisions = make([]Decision, 0, len(packets))
	for _, data := range packets {
		f.Data = data
		decisions = append(decisions, f)
	}
	return decisions
}

// relay returns the decisions to send packets of a flow to another balancer, which sends
// them to the holder, or searches for the holder if it is the zero Addr.
func (d *Dispatcher) relay(e *flowEntry, balancer, holder netip.Addr, packets ...[]byte) (decisions []Decision) {
	if reset := d.review(e, 0); reset != nil {
		return reset
	}
	decisions = make([]Decision, 0, len(packets))
	for _, data := range packets {
		decisions = append(decisions, Relay{Flow: e.key, Balancer: balancer, Holder: holder, Data: data})
	}
	return decisions
}

// reset returns the decision to reset a flow at its caller, and removes the entry of
// the flow.
func (d *Dispatcher) reset(e *flowEntry, sequence uint32, reason Reason) (decisions []Decision) {
	d.flows.remove(e)
	return []Decision{Reset{Flow: e.key, Sequence: sequence, Reason: reason}}
}

// mostFlowsLost reports whether most unknown flows are held nowhere, so that all agents
// have to be asked anyway: all hosts had just started when the balancer started, and
// callers may still use flows from before.
func (d *Dispatcher) mostFlowsLost(now time.Time) bool {
	return !d.startedAt.IsZero() && now.Sub(d.startedAt) < d.routes.IdleTimeout() && d.HostsJustStarted()
}

// startRound returns the lookups for the flows that wait for a round, with the flows
// for each agent in as few lookups as possible.
func (d *Dispatcher) startRound(now time.Time) (decisions []Decision) {
	waiting := d.lookups.waiting
	d.lookups.waiting = nil
	if len(waiting) == 0 {
		return nil
	}
	flowsByAgent := make(map[*agent][]*flowEntry)
	askAll := d.mostFlowsLost(now)
	for _, e := range waiting {
		if e.phase != phaseSearching || e.probing || d.flows.byKey[e.key] != e {
			continue
		}
		if reset := d.review(e, 0); reset != nil {
			decisions = append(decisions, reset...)
			continue
		}
		switch {
		case askAll:
			e.scope = scopeAll
		case e.scope == scopeLikely && len(waiting) > maxLikelyFlows:
			e.scope = scopeRoute
		}
		agents := d.candidates(now, e)
		for len(agents) == 0 && e.scope < scopeOthers {
			e.scope++
			agents = d.candidates(now, e)
		}
		if len(agents) == 0 {
			decisions = append(decisions, d.continueSearch(now, e)...)
			continue
		}
		for _, a := range agents {
			flowsByAgent[a] = append(flowsByAgent[a], e)
		}
		// A silent agent is asked, but its reply is not awaited. If all agents are silent,
		// the round ends at its deadline.
		e.awaitedAgents = slices.DeleteFunc(agents, func(a *agent) bool { return d.unreachable(now, a) })
		d.setDeadline(e, now.Add(searchTimeout))
		decisions = append(decisions, Search{Flow: e.key, Agents: len(agents)})
	}
	lookups := 0
	for _, a := range d.agentList {
		for entries := range slices.Chunk(flowsByAgent[a], maxLookupFlows) {
			l := Lookup{Agent: a.address}
			for _, e := range entries {
				l.Flows, l.Acknowledgements = append(l.Flows, e.key), append(l.Acknowledgements, e.acknowledgement)
			}
			decisions = append(decisions, l)
			lookups++
		}
	}
	d.lookups.schedule(now, lookups)
	return decisions
}
