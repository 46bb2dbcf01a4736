package dispatch

import (
	"net/netip"
	"time"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
)

// HandleAccepted records an agent's report that its host holds a flow. If handshake
// is set, the host has just answered the first packet, and sequence is its initial
// sequence number; as other hosts may have answered as well, the caller's next
// acknowledgement determines the owner. For the first answer to a first packet that
// came through this balancer, placementTime is the time since the caller sent that
// packet; otherwise it is 0.
func (d *Dispatcher) HandleAccepted(now time.Time, agent netip.Addr, key flow.Key, sequence uint32, handshake bool, l packet.Load) (placementTime time.Duration, decisions []Decision) {
	if a := d.recordMessage(now, agent, l); a != nil && handshake {
		a.recordRoom()
	}
	e := d.flows.byKey[key]
	if e == nil {
		e = &flowEntry{key: key, phase: phaseOpening}
		d.flows.put(now, e)
	}
	if !handshake {
		return 0, d.establish(e, agent)
	}
	if e.phase == phaseEstablished {
		return 0, nil
	}
	if e.firstKnown && len(e.answers) == 0 {
		placementTime = now.Sub(e.firstSentAt)
	}
	// The host may have room for a queued flow, so the next Tick offers one.
	d.queue.nextReleaseAt = now
	if e.phase == phaseOpening || e.phase == phaseQueued {
		e.deadline, e.firstPacket = time.Time{}, nil
	}
	if e.phase == phaseQueued {
		// A host that was offered the flow before it was queued has accepted it.
		e.phase = phaseOpening
	}
	for i := range e.answers {
		if e.answers[i].agent == agent {
			e.answers[i].sequence = sequence
			return placementTime, nil
		}
	}
	e.answers = append(e.answers, answer{agent: agent, sequence: sequence})
	return placementTime, nil
}

// HandleReturned decides on a packet of a caller that an agent returned. As for
// HandlePacket, the decisions refer to s.Data.
func (d *Dispatcher) HandleReturned(now time.Time, from netip.Addr, s *packet.Segment, reason packet.ReturnReason, l packet.Load) (decisions []Decision) {
	a := d.recordMessage(now, from, l)
	switch {
	case a == nil:
	case reason == packet.ReturnDraining:
		a.status.State = packet.HostDraining
	}
	key := s.KeyFromCaller()
	e := d.flows.get(now, key)
	switch {
	case a == nil:
	case reason == packet.ReturnBusy:
		a.recordBusy(now, e != nil && e.late)
	case reason == packet.ReturnEvacuated:
		// The agent may not have got the end of the evacuation yet.
		a.markFull(now, false)
	}
	if e == nil {
		return []Decision{Drop{Flow: key, Reason: ReasonForgotten}}
	}
	if s.IsFirstPacket() {
		if e.phase != phaseOpening || e.firstSequence != s.Sequence || !e.wasTried(a) {
			return []Decision{Drop{Flow: key, Reason: ReasonForgotten}}
		}
		e.returnedOffers++
		if reset := d.review(e, 0); reset != nil {
			return reset
		}
		if e.lastTried() != a && e.returnedOffers < len(e.triedAgents) {
			return nil
		}
		return d.offer(now, e, s.Data, StepNextOffer)
	}
	if reset := d.review(e, s.Acknowledgement); reset != nil {
		return reset
	}
	// The label of packets to an agent without a status names no service.
	mislabelled := reason == packet.ReturnWrongService && a != nil && !a.statusKnown
	if mislabelled && e.phase == phaseEstablished {
		return []Decision{Drop{Flow: key, Reason: ReasonNoStatus}}
	}
	notHeld := reason == packet.ReturnNotHeld || reason == packet.ReturnWrongService && !mislabelled
	if notHeld && a != nil {
		e.addDenial(now, a)
	}
	switch {
	case e.phase == phaseEstablished && e.owner == from && notHeld:
		// A flow never moves to another host, so no other one holds it.
		return d.reset(e, s.Acknowledgement, ReasonHostLost)
	case e.phase == phaseEstablished && e.owner != from:
		// The owner became known while the packet was in transit.
		return d.forward(e, e.owner, StepOwner, s.Data)
	case e.phase == phaseSearching && e.probing && e.lastTried() == a:
		return d.continueSearch(now, e)
	case e.phase == phaseSearching && a != nil:
		return d.recordReply(now, e, a)
	case e.phase == phaseSearching:
		return nil
	case e.phase == phaseNotFound && e.onlyCandidate != nil && e.onlyCandidate == a:
		e.onlyCandidate = nil
	case e.phase == phaseNotFound:
		return []Decision{Drop{Flow: key, Reason: ReasonNotFound}}
	}
	return d.startSearch(now, e, s)
}
