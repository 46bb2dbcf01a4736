package owner

import (
	"net/netip"

	"agateramp/internal/core/flow"
)

// first places a first packet. The entry is what the map holds for its key, or
// nil; it is replaced.
func (c *call) first(s *shard, e *entry, h *flow.Header, p *flow.Packet, token uint32) {
	var known tokens
	if e != nil {
		known = e.tokens
		if known[0] != token {
			known = known.push(token)
		}
	} else {
		known = tokens{token}
		if !c.room(s) {
			c.refuseUnrecorded(h, p, flow.ReasonTableFull)
			return
		}
		e = s.insert(p.Hash, p.Key)
		e.state = stateClaim
	}
	e.tokens = known
	out := *h
	out.Asserted, out.Hinted = false, false
	if h.Asserted && !c.view.idempotent {
		// The directory says that this agent had the flow, so it may have run.
		s.remove(e)
		c.emit(&Reset{Key: p.Key, Reason: flow.ReasonOwnerLost, ReturnAddress: h.ReturnAddress, Data: p.Data})
		return
	}
	switch {
	case h.Stage == flow.StageOffer:
		c.offered(e, &out, p)
	case h.Stage == flow.StageFinal:
		c.settle(e, &out, p)
	case h.Stage == flow.StageGrant || h.Asserted:
		c.place(e, &out, p)
	default:
		c.search(s, e, &out, p)
	}
}

// renew ends a flow of this agent and places the one that reuses its key.
func (c *call) renew(s *shard, e *entry, h *flow.Header, p *flow.Packet, token uint32) {
	if h.Asserted && !c.view.idempotent {
		// The directory says that this agent had the new flow, so it may have run.
		c.emit(&Reset{Key: p.Key, Reason: flow.ReasonOwnerLost, ReturnAddress: h.ReturnAddress, Data: p.Data})
		return
	}
	if e.state == stateOwned {
		c.closeFlow(e)
	}
	e.flags, e.port = 0, 0
	e.state = stateClaim
	out := *h
	out.Stage, out.Asserted = flow.StageGrant, false
	c.first(s, e, &out, p, token)
	if e.state == stateClaim {
		// Otherwise a restart would bring the old flow back.
		c.owner.reportFlow(e)
	}
}

// search passes a first packet along its path, or decides at the end of it.
func (c *call) search(s *shard, e *entry, out *flow.Header, p *flow.Packet) {
	rebuilt := c.refresh(out, p.Hash)
	if out.PathLen == 0 {
		s.remove(e)
		c.drop(flow.ReasonNoHosts)
		return
	}
	c.extend(out, p.Hash)
	hop, ok := c.position(out)
	if rebuilt || !ok {
		if to := c.start(out); to != c.owner.self {
			if e.state == stateClaim && e.expires == 0 {
				s.remove(e)
			}
			c.pass(out, p, to)
			return
		}
		hop = 0
	}
	if next, ok := c.nextHop(out, hop); ok {
		out.Hop = next
		c.claim(e, out.Path[next].Address, flow.StageSearch, out.Path[next].RoleVersion)
		c.pass(out, p, out.Path[next].Address)
		return
	}
	grantee := c.grantee(out)
	if grantee == c.owner.self {
		c.place(e, out, p)
		return
	}
	out.Stage = flow.StageGrant
	c.claim(e, grantee, flow.StageGrant, 0)
	c.pass(out, p, grantee)
}

// grantee returns the host that takes a flow on which this agent decides.
func (c *call) grantee(h *flow.Header) netip.AddrPort {
	for i := range h.PathLen {
		if a := h.Path[i].Address; a == c.owner.self || !c.owner.peers.dead(a, c.now) {
			return a
		}
	}
	return c.owner.self
}

// claim records that another host decides on a flow.
func (c *call) claim(e *entry, host netip.AddrPort, stage flow.Stage, role uint64) {
	e.state, e.flags, e.port = stateClaim, 0, 0
	e.host, e.stage, e.role = c.owner.hosts.number(host), stage, uint32(role)
	e.expires = nanoseconds(c.now, claimLife)
}

// place takes a flow that was given to this agent, or offers it to another.
func (c *call) place(e *entry, out *flow.Header, p *flow.Packet) {
	if c.owner.admission.take(c.now) {
		c.take(e, out, p, nil)
		return
	}
	to := c.alternate(out, p.Hash)
	if !to.IsValid() {
		c.hold(e, out, p)
		return
	}
	out.Stage, out.OfferLoad = flow.StageOffer, c.owner.admission.load()
	c.pathSelf(out)
	c.claim(e, to, flow.StageOffer, 0)
	c.pass(out, p, to)
}

// alternate returns the choice of the newest version other than this agent that
// can be reached, or the zero value.
func (c *call) alternate(h *flow.Header, hash uint64) netip.AddrPort {
	r := c.view.table.Route(hash)
	candidates := [2]netip.AddrPort{r.SecondChoice}
	if len(r.Hops) > 0 && !h.FirstSuspected {
		candidates[1] = r.Hops[0].Address
	}
	for _, a := range candidates {
		if a.IsValid() && a != c.owner.self && !c.owner.peers.dead(a, c.now) {
			return a
		}
	}
	return netip.AddrPort{}
}

// offered takes a flow that its grantee has no slot for, or returns it.
func (c *call) offered(e *entry, out *flow.Header, p *flow.Packet) {
	if c.owner.admission.take(c.now) {
		c.take(e, out, p, nil)
		return
	}
	if c.view.queueDeadline() > 0 && c.owner.admission.load() < out.OfferLoad && c.enqueue(e, out, p) {
		return
	}
	from := out.Path[0].Address
	if out.PathLen == 0 || c.owner.peers.dead(from, c.now) {
		c.hold(e, out, p)
		return
	}
	out.Stage = flow.StageFinal
	c.claim(e, from, flow.StageFinal, 0)
	c.pass(out, p, from)
}

// settle takes, queues or refuses a flow that no other host takes.
func (c *call) settle(e *entry, out *flow.Header, p *flow.Packet) {
	if c.owner.admission.take(c.now) {
		c.take(e, out, p, nil)
		return
	}
	c.hold(e, out, p)
}

// hold queues a flow until a slot is free, or refuses it.
func (c *call) hold(e *entry, out *flow.Header, p *flow.Packet) {
	if c.owner.admission.isDraining() {
		c.refuse(e, out, p, flow.ReasonDraining)
		return
	}
	if c.view.queueDeadline() == 0 || !c.enqueue(e, out, p) {
		c.refuse(e, out, p, flow.ReasonFull)
	}
}

func (c *call) enqueue(e *entry, out *flow.Header, p *flow.Packet) bool {
	w := keep(out, p, e.tokens[0], nanoseconds(c.now, c.view.queueDeadline()))
	if !c.owner.admission.enqueue(w) {
		return false
	}
	e.state, e.flags, e.expires = stateQueued, 0, 0
	c.noteOffer(e, out)
	// A slot may have become free since the flow found none.
	c.freed = true
	return true
}

// refuse tells the caller that its work was not run, and remembers that.
func (c *call) refuse(e *entry, h *flow.Header, p *flow.Packet, reason flow.Reason) {
	e.state, e.flags = stateRefused, 0
	e.expires = nanoseconds(c.now, memoryLife)
	c.refuseUnrecorded(h, p, reason)
	c.owner.reportFlow(e)
}

func (c *call) refuseUnrecorded(h *flow.Header, p *flow.Packet, reason flow.Reason) {
	c.emit(&Refuse{Key: p.Key, Reason: reason, ReturnAddress: h.ReturnAddress, Data: p.Data})
}

// take makes a flow with a reserved slot one of this agent. The packet is
// delivered at once, or when a witness has confirmed a non-idempotent flow. The
// packet is copied then, unless it is kept already.
func (c *call) take(e *entry, h *flow.Header, p *flow.Packet, kept *waiting) {
	e.flags, e.port = 0, 0
	if c.owner.admission.countsSlots {
		e.flags = flagBusy
	}
	if c.view.idempotent {
		c.begin(e, h, p)
		return
	}
	witnesses, alone := c.witnesses(p.Hash)
	if alone {
		c.begin(e, h, p)
		return
	}
	if kept == nil {
		kept = keep(h, p, e.tokens[0], 0)
	}
	e.state, e.expires = statePending, 0
	c.noteOffer(e, h)
	kept.known = e.tokens
	c.await(kept, witnesses)
}

// await asks witnesses for a flow and keeps its packet until they have confirmed.
// They learn its local port with that, since the agent may be killed right after the
// delivery: from another port the backend server would run a repeated request again.
func (c *call) await(kept *waiting, witnesses []netip.AddrPort) {
	kept.deadline = c.witnessTime(witnesses)
	kept.witnesses, kept.asked = witnesses, nil
	for _, a := range witnesses {
		kept.asked = append(kept.asked, ask{witness: a})
	}
	if c.owner.admission.countsSlots && kept.port == 0 {
		kept.binding = true
		c.emit(&BindFlow{Key: kept.packet.Key})
	} else {
		c.askWitnesses(kept)
	}
	c.owner.admission.await(kept)
}

// noteOffer remembers which agent gave away a flow that waits here.
func (c *call) noteOffer(e *entry, h *flow.Header) {
	e.stage = h.Stage
	if h.Stage == flow.StageOffer && h.PathLen > 0 {
		e.host = c.owner.hosts.number(h.Path[0].Address)
		return
	}
	e.stage = flow.StageSearch
}

// begin delivers the first packet of a flow.
func (c *call) begin(e *entry, h *flow.Header, p *flow.Packet) {
	e.state = stateOwned
	c.touch(e, p)
	c.deliver(e, h, p)
	c.owner.reportFlow(e)
}

// closeFlow gives back what an owned flow holds.
func (c *call) closeFlow(e *entry) {
	c.owner.admission.release(c.now, e.has(flagBusy))
	c.freed = true
	e.flags &^= flagBusy
	c.emit(&CloseFlow{Key: e.key})
}

// expire ends an entry whose time has come and returns what is left of it, or nil.
func (c *call) expire(s *shard, e *entry) *entry {
	if e.state != stateOwned {
		s.remove(e)
		return nil
	}
	c.closeFlow(e)
	e.state = stateEnded
	e.expires = nanoseconds(e.expires, memoryLife)
	c.owner.reportFlow(e)
	if e.expired(c.now) {
		s.remove(e)
		return nil
	}
	return e
}

// room makes sure that a shard can take one more entry.
func (c *call) room(s *shard) bool {
	if s.used < c.owner.shardLimit {
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
