package owner

import (
	"net/netip"

	"agateramp/internal/core/flow"
)

// placeFirstPacket continues the placement of a flow at the stage that the header of its
// first packet contains. e is the entry of its key, or nil; it becomes the entry of the new flow.
func (c *call) placeFirstPacket(s *shard, e *entry, h *flow.Header, p *flow.Packet, digest uint32) {
	var history digests
	if e != nil {
		history = e.digests
		if history[0] != digest {
			history = history.prepend(digest)
		}
	} else {
		history = digests{digest}
		if !c.ensureRoom(s) {
			c.refuseUnrecorded(h, p, flow.ReasonTableFull)
			return
		}
		e = s.insert(p.Hash, p.Key)
		e.state = stateDelegated
	}
	e.digests = history
	out := *h
	out.Asserted, out.Hinted = false, false
	if h.Asserted && !c.view.idempotent {
		// A directory entry names this agent as the owner, so the flow may have run.
		s.remove(e)
		c.emit(&Reset{Key: p.Key, Reason: flow.ReasonOwnerLost, ReturnAddress: h.ReturnAddress, Data: p.Data})
		return
	}
	switch {
	case h.Stage == flow.StageOffer:
		c.handleOffer(e, &out, p)
	case h.Stage == flow.StageFinal:
		c.handleFinal(e, &out, p)
	case h.Stage == flow.StageGrant || h.Asserted:
		c.acceptOrOffer(e, &out, p)
	default:
		c.continueSearch(s, e, &out, p)
	}
}

// replaceFlow ends a flow of this agent and places the next flow on its key.
func (c *call) replaceFlow(s *shard, e *entry, h *flow.Header, p *flow.Packet, digest uint32) {
	if h.Asserted && !c.view.idempotent {
		// A directory entry names this agent as the owner of the new flow, so it may have run.
		c.emit(&Reset{Key: p.Key, Reason: flow.ReasonOwnerLost, ReturnAddress: h.ReturnAddress, Data: p.Data})
		return
	}
	if e.state == stateOwned {
		c.closeFlow(e)
	}
	e.flags, e.localPort = 0, 0
	e.state = stateDelegated
	out := *h
	out.Stage, out.Asserted = flow.StageGrant, false
	c.placeFirstPacket(s, e, &out, p, digest)
	if e.state == stateDelegated {
		// Without this report, the old flow would be recovered after a restart.
		c.owner.reportFlow(e)
	}
}

// continueSearch forwards a first packet along its path. The last host of the path
// grants the flow to a host.
func (c *call) continueSearch(s *shard, e *entry, out *flow.Header, p *flow.Packet) {
	rebuilt := c.refreshPath(out, p.Hash)
	if out.PathLen == 0 {
		s.remove(e)
		c.drop(flow.ReasonNoHosts)
		return
	}
	c.extendPath(out, p.Hash)
	hop, ok := c.ownHop(out)
	if rebuilt || !ok {
		if to := c.pathStart(out); to != c.owner.self {
			if e.state == stateDelegated && e.expires == 0 {
				// The entry was added for this packet, and no delegation is recorded in it.
				s.remove(e)
			}
			c.forward(out, p, to)
			return
		}
		hop = 0
	}
	if next, ok := c.nextReachableHop(out, hop); ok {
		out.Hop = next
		c.delegate(e, out.Path[next].Address, flow.StageSearch, out.Path[next].RoleVersion)
		c.forward(out, p, out.Path[next].Address)
		return
	}
	grantee := c.grantee(out)
	if grantee == c.owner.self {
		c.acceptOrOffer(e, out, p)
		return
	}
	out.Stage = flow.StageGrant
	c.delegate(e, grantee, flow.StageGrant, 0)
	c.forward(out, p, grantee)
}

// grantee returns the host that gets a flow on which this agent decides: the first
// reachable host of the path.
func (c *call) grantee(h *flow.Header) netip.AddrPort {
	for i := range h.PathLen {
		if a := h.Path[i].Address; a == c.owner.self || !c.owner.peers.unreachable(a, c.now) {
			return a
		}
	}
	return c.owner.self
}

// delegate records that another host decides on a flow.
func (c *call) delegate(e *entry, host netip.AddrPort, stage flow.Stage, roleVersion uint64) {
	e.state, e.flags, e.localPort = stateDelegated, 0, 0
	e.host, e.stage, e.roleVersion = c.owner.hosts.intern(host), stage, uint32(roleVersion)
	e.expires = deadlineAfter(c.now, delegationTTL)
}

// acceptOrOffer accepts a flow that was granted to this agent, or offers it to another
// host if there is no capacity.
func (c *call) acceptOrOffer(e *entry, out *flow.Header, p *flow.Packet) {
	if c.owner.admission.tryReserve(c.now) {
		c.accept(e, out, p, nil)
		return
	}
	to := c.alternate(out, p.Hash)
	if !to.IsValid() {
		c.queueOrRefuse(e, out, p)
		return
	}
	out.Stage, out.OfferLoad = flow.StageOffer, c.owner.admission.load()
	c.setPathToSelf(out)
	c.delegate(e, to, flow.StageOffer, 0)
	c.forward(out, p, to)
}

// alternate returns the host that is offered a flow: a reachable choice of the newest
// version other than this agent, or the zero value.
func (c *call) alternate(h *flow.Header, hash uint64) netip.AddrPort {
	r := c.view.table.Route(hash)
	candidates := [2]netip.AddrPort{r.SecondChoice}
	if len(r.Hops) > 0 && !h.FirstSuspected {
		candidates[1] = r.Hops[0].Address
	}
	for _, a := range candidates {
		if a.IsValid() && a != c.owner.self && !c.owner.peers.unreachable(a, c.now) {
			return a
		}
	}
	return netip.AddrPort{}
}

// handleOffer accepts a flow for which its grantee has no capacity, or queues it if the
// load is lower here, or returns it.
func (c *call) handleOffer(e *entry, out *flow.Header, p *flow.Packet) {
	if c.owner.admission.tryReserve(c.now) {
		c.accept(e, out, p, nil)
		return
	}
	if c.view.queueDeadline() > 0 && c.owner.admission.load() < out.OfferLoad && c.enqueue(e, out, p) {
		return
	}
	from := out.Path[0].Address
	if out.PathLen == 0 || c.owner.peers.unreachable(from, c.now) {
		c.queueOrRefuse(e, out, p)
		return
	}
	out.Stage = flow.StageFinal
	c.delegate(e, from, flow.StageFinal, 0)
	c.forward(out, p, from)
}

// handleFinal accepts, queues or refuses a flow that the other host did not accept.
func (c *call) handleFinal(e *entry, out *flow.Header, p *flow.Packet) {
	if c.owner.admission.tryReserve(c.now) {
		c.accept(e, out, p, nil)
		return
	}
	c.queueOrRefuse(e, out, p)
}

// queueOrRefuse queues a flow until a slot is free, or refuses it if the service has no
// queue, the queue is full, or the agent is draining.
func (c *call) queueOrRefuse(e *entry, out *flow.Header, p *flow.Packet) {
	if c.owner.admission.isDraining() {
		c.refuse(e, out, p, flow.ReasonDraining)
		return
	}
	if c.view.queueDeadline() == 0 || !c.enqueue(e, out, p) {
		c.refuse(e, out, p, flow.ReasonFull)
	}
}

// enqueue queues a flow until a slot is free. It reports false if that is not possible.
func (c *call) enqueue(e *entry, out *flow.Header, p *flow.Packet) bool {
	w := newWaitingPacket(out, p, e.digests[0], deadlineAfter(c.now, c.view.queueDeadline()))
	if !c.owner.admission.enqueue(w) {
		return false
	}
	e.state, e.flags, e.expires = stateQueued, 0, 0
	c.recordOfferer(e, out)
	// A slot may have become free since the attempt to reserve one.
	c.capacityFreed = true
	return true
}

// refuse refuses a flow, records the refusal in the entry and reports it.
func (c *call) refuse(e *entry, h *flow.Header, p *flow.Packet, reason flow.Reason) {
	e.state, e.flags = stateRefused, 0
	e.expires = deadlineAfter(c.now, endedFlowTTL)
	c.refuseUnrecorded(h, p, reason)
	c.owner.reportFlow(e)
}

// refuseUnrecorded refuses a flow without a record of the refusal.
func (c *call) refuseUnrecorded(h *flow.Header, p *flow.Packet, reason flow.Reason) {
	c.emit(&Refuse{Key: p.Key, Reason: reason, ReturnAddress: h.ReturnAddress, Data: p.Data})
}

// accept accepts a flow for which a slot is reserved. If the service is idempotent or
// there is no other host, the packet is delivered at once; otherwise the flow is pending
// until its witnesses have confirmed it. w is the waiting copy of the packet, or nil if
// there is none yet.
func (c *call) accept(e *entry, h *flow.Header, p *flow.Packet, w *waitingPacket) {
	e.flags, e.localPort = 0, 0
	if c.owner.admission.limitsBySlots {
		e.flags = flagHoldsSlot
	}
	if c.view.idempotent {
		c.startFlow(e, h, p)
		return
	}
	witnesses, alone := c.witnesses(p.Hash)
	if alone {
		c.startFlow(e, h, p)
		return
	}
	if w == nil {
		w = newWaitingPacket(h, p, e.digests[0], 0)
	}
	e.state, e.expires = statePending, 0
	c.recordOfferer(e, h)
	w.digests = e.digests
	c.requestWitnesses(w, witnesses)
}

// requestWitnesses asks the witnesses to confirm a flow and keeps its packet until they
// have. The request contains the local port, since the agent may be killed right after
// the delivery: if a repeated request came from another port, the backend server would
// run it again.
func (c *call) requestWitnesses(w *waitingPacket, witnesses []netip.AddrPort) {
	w.deadline = c.witnessDeadline(witnesses)
	w.witnesses, w.unconfirmed = witnesses, nil
	for _, a := range witnesses {
		w.unconfirmed = append(w.unconfirmed, witnessRequest{witness: a})
	}
	if c.owner.admission.limitsBySlots && w.localPort == 0 {
		w.awaitsPort = true
		c.emit(&BindFlow{Key: w.packet.Key})
	} else {
		c.sendWitnessRequests(w)
	}
	c.owner.admission.addPending(w)
}

// recordOfferer records in the entry of a waiting flow which agent offered it.
func (c *call) recordOfferer(e *entry, h *flow.Header) {
	e.stage = h.Stage
	if h.Stage == flow.StageOffer && h.PathLen > 0 {
		e.host = c.owner.hosts.intern(h.Path[0].Address)
		return
	}
	e.stage = flow.StageSearch
}

// startFlow makes a flow an owned one, delivers its first packet and reports it.
func (c *call) startFlow(e *entry, h *flow.Header, p *flow.Packet) {
	e.state = stateOwned
	c.refreshExpiry(e, p)
	c.deliver(e, h, p)
	c.owner.reportFlow(e)
}

// closeFlow frees the connection, the slot and the socket of a flow.
func (c *call) closeFlow(e *entry) {
	c.owner.admission.release(c.now, e.has(flagHoldsSlot))
	c.capacityFreed = true
	e.flags &^= flagHoldsSlot
	c.emit(&CloseFlow{Key: e.key})
}

// expire ends an expired entry. An owned flow becomes an ended one, whose entry is
// returned unless it has expired as well. Other entries are removed, and nil is returned.
func (c *call) expire(s *shard, e *entry) *entry {
	if e.state != stateOwned {
		s.remove(e)
		return nil
	}
	c.closeFlow(e)
	e.state = stateEnded
	e.expires = deadlineAfter(e.expires, endedFlowTTL)
	c.owner.reportFlow(e)
	if e.expired(c.now) {
		s.remove(e)
		return nil
	}
	return e
}

// ensureRoom makes room for one more entry in a shard, by evicting one if necessary. It
// reports false if none can be evicted.
func (c *call) ensureRoom(s *shard) bool {
	if s.count < c.owner.maxShardEntries {
		return true
	}
	e := s.victim(c.view.idempotent)
	if e == nil {
		return false
	}
	if e.state == stateOwned {
		c.closeFlow(e)
	}
	s.remove(e)
	return true
}
