package owner

import (
	"net/netip"

	"agateramp/internal/core/flow"
)

// packet decides on a packet whose shard is locked.
func (c *call) packet(s *shard, h *flow.Header, p *flow.Packet) {
	e := s.find(p.Hash, &p.Key)
	if e != nil && e.expired(c.now) {
		e = c.expire(s, e)
	}
	if e != nil && e.state == stateEnded && c.view.idempotent && !c.view.first(p) && c.mayAdopt(p) {
		// The flow that ended is one that peers know of; a later one on the key may
		// have been lost in the restart.
		s.remove(e)
		e = nil
	}
	if e == nil {
		c.unknown(s, h, p)
		return
	}
	if c.owner.recovering.Load() && c.view.first(p) {
		// The entry may be of an earlier flow on the key than peers still report.
		c.park(h, p)
		return
	}
	over := e.state == stateEnded || e.state == stateOwned && e.has(flagFinished)
	if h.Hinted && over && !c.view.first(p) && c.unhint(h, p, false) {
		return
	}
	switch e.state {
	case stateOwned:
		c.owned(s, e, h, p)
	case stateClaim, stateRemote:
		c.elsewhere(s, e, h, p)
	default:
		c.decided(s, e, h, p)
	}
}

// owned delivers a packet of a flow of this agent, unless it is a copy of work
// that must not run twice or starts a new flow.
func (c *call) owned(s *shard, e *entry, h *flow.Header, p *flow.Packet) {
	if c.view.first(p) {
		token := tokenOf(p)
		if e.tokens.earlier(token) {
			c.drop(flow.ReasonDuplicate)
			return
		}
		if c.view.renews(e, token) {
			c.renew(s, e, h, p, token)
			return
		}
		if token != e.tokens[0] {
			e.flags |= flagEstablished
		}
		if token == e.tokens[0] && !c.view.idempotent && p.Key.Protocol() != protocolTCP {
			c.drop(flow.ReasonDuplicate)
			return
		}
	} else {
		e.flags |= flagEstablished
	}
	c.touch(e, p)
	c.deliver(e, h, p)
}

func (c *call) deliver(e *entry, h *flow.Header, p *flow.Packet) {
	d := c.newDeliver()
	*d = Deliver{Key: p.Key, Data: p.Data, LocalPort: e.port, ReturnAddress: h.ReturnAddress}
	c.emit(d)
	if h.Passes > 0 && h.ReturnAddress.IsValid() {
		c.emit(&Hint{To: h.ReturnAddress, Key: p.Key})
	}
}

// newDeliver returns the Deliver that the slice of effects held in its next place,
// or a new one.
func (c *call) newDeliver() *Deliver {
	if n := len(c.effects); n < cap(c.effects) {
		if d, ok := c.effects[:n+1][n].(*Deliver); ok {
			return d
		}
	}
	return &Deliver{}
}

// touch moves the end of a flow after one of its packets.
func (c *call) touch(e *entry, p *flow.Packet) {
	if e.has(flagReset) {
		return
	}
	switch {
	case p.RST:
		e.flags |= flagFinished | flagReset
	case p.FIN:
		e.flags |= flagFinished
	}
	switch {
	case e.has(flagFinished):
		// A caller that sent FIN may go on reading a long answer and confirming it.
		e.expires = nanoseconds(c.now, linger)
	case e.has(flagEstablished):
		e.expires = nanoseconds(c.now, c.view.idle())
	default:
		e.expires = nanoseconds(c.now, min(claimLife, c.view.idle()))
	}
}

// decided handles a packet of a flow that waits here, was refused or is over.
func (c *call) decided(s *shard, e *entry, h *flow.Header, p *flow.Packet) {
	if c.view.first(p) {
		token := tokenOf(p)
		if e.tokens.earlier(token) {
			c.drop(flow.ReasonDuplicate)
			return
		}
		if (e.state == stateRefused || e.state == stateEnded) && c.view.renews(e, token) {
			c.renew(s, e, h, p, token)
			return
		}
	}
	switch {
	case e.state == stateRefused:
		c.emit(&Refuse{Key: p.Key, Reason: flow.ReasonFull, ReturnAddress: h.ReturnAddress, Data: p.Data})
	case e.state == stateEnded:
		c.drop(flow.ReasonUnknownFlow)
	default:
		c.drop(flow.ReasonDuplicate)
	}
}

// elsewhere passes a packet to the host that decides on its flow or has it.
func (c *call) elsewhere(s *shard, e *entry, h *flow.Header, p *flow.Packet) {
	first := c.view.first(p)
	host := c.owner.hosts.address(e.host)
	if first {
		token := tokenOf(p)
		if e.tokens.earlier(token) {
			c.drop(flow.ReasonDuplicate)
			return
		}
		if c.overrides(e, h, token) {
			c.first(s, e, h, p, token)
			return
		}
		if c.owner.peers.dead(host, c.now) {
			c.lost(s, e, h, p, token)
			return
		}
		c.follow(e, h, p, host, token)
		return
	}
	if c.owner.peers.dead(host, c.now) {
		if e.state == stateRemote && !c.owner.peers.gone(host, c.now-int64(ownerLostAfter)) {
			c.drop(flow.ReasonOwnerLost)
			return
		}
		// The packet may be of a later flow on the key; else the last host resets it.
		c.lookUp(s, h, p)
		return
	}
	out := *h
	out.Hinted = false
	c.assert(&out, e, e.state == stateRemote)
	c.pass(&out, p, host)
}

// assert says in a header whether a directory entry names the receiver as the
// owner, and on which local port.
func (c *call) assert(h *flow.Header, e *entry, named bool) {
	h.Asserted, h.LocalPort = named && !e.has(flagOver|flagRefused), 0
	if h.Asserted {
		h.LocalPort = e.port
	}
}

// overrides reports whether a first packet decides anew despite an entry that
// names another host.
func (c *call) overrides(e *entry, h *flow.Header, token uint32) bool {
	if e.state != stateClaim {
		// The owner itself may give away a flow that it has not delivered, or the
		// next flow on the key.
		return h.Stage == flow.StageOffer && h.PathLen > 0 && h.Path[0].Address == c.owner.hosts.address(e.host)
	}
	switch h.Stage {
	case flow.StageGrant:
		return e.stage == flow.StageSearch
	case flow.StageOffer:
		return e.stage == flow.StageSearch || e.stage == flow.StageGrant
	case flow.StageFinal:
		return e.stage != flow.StageFinal
	default:
		if e.stage != flow.StageSearch {
			return false
		}
		// The packet came back to a host that stands on its path twice: the claim
		// leads to a version that the packet has passed.
		return e.tokens[0] != token || uint64(e.role) >= c.roleOf(h)
	}
}

// follow passes a first packet to the host that an entry names.
func (c *call) follow(e *entry, h *flow.Header, p *flow.Packet, host netip.AddrPort, token uint32) {
	out := *h
	out.Hinted = false
	if e.state == stateRemote {
		if e.has(flagOver) && token == e.tokens[0] {
			c.drop(flow.ReasonDuplicate)
			return
		}
		// The owner of the last flow on this key decides on the next one.
		c.assert(&out, e, token == e.tokens[0])
		if !out.Asserted {
			out.Stage = flow.StageGrant
		}
		c.pass(&out, p, host)
		return
	}
	out.Stage, out.Asserted = e.stage, false
	switch e.stage {
	case flow.StageOffer:
		out.OfferLoad = c.owner.admission.load()
		c.pathSelf(&out)
	case flow.StageSearch:
		c.aim(&out, host, uint64(e.role))
	}
	c.pass(&out, p, host)
}

// lost handles a first packet of a flow whose host is unreachable.
func (c *call) lost(s *shard, e *entry, h *flow.Header, p *flow.Packet, token uint32) {
	host := c.owner.hosts.address(e.host)
	if e.state == stateRemote && token == e.tokens[0] {
		if e.has(flagOver) {
			c.drop(flow.ReasonDuplicate)
			return
		}
		if !c.view.idempotent || e.has(flagRefused) || !c.owner.peers.gone(host, c.now-int64(ownerLostAfter)) {
			c.ownerLost(host, h, p)
			return
		}
	}
	c.first(s, e, h, p, token)
}

// ownerLost resets a flow whose owner has been unreachable for long. Until then
// its agent may be restarting, so the packet is dropped and the caller repeats it.
func (c *call) ownerLost(host netip.AddrPort, h *flow.Header, p *flow.Packet) {
	if !c.owner.peers.gone(host, c.now-int64(ownerLostAfter)) {
		c.drop(flow.ReasonOwnerLost)
		return
	}
	c.emit(&Reset{Key: p.Key, Reason: flow.ReasonOwnerLost, ReturnAddress: h.ReturnAddress, Data: p.Data})
}

// unhint sends a packet that a hint led here to its path. It reports false when
// the path begins here. The hint may be of an earlier flow on the key, so an agent
// whose flow is over must not take the packet for part of it, nor avoid a first
// choice that may only be unreachable from here.
func (c *call) unhint(h *flow.Header, p *flow.Packet, avoid bool) bool {
	out := *h
	out.Hinted = false
	c.refresh(&out, p.Hash)
	if out.PathLen == 0 {
		c.drop(flow.ReasonNoHosts)
		return true
	}
	out.Hop = 0
	to := out.Path[0].Address
	if avoid {
		to = c.start(&out)
	}
	if to == c.owner.self {
		return false
	}
	c.pass(&out, p, to)
	return true
}

// unknown decides on a packet of a flow that the map does not hold.
func (c *call) unknown(s *shard, h *flow.Header, p *flow.Packet) {
	first := c.view.first(p)
	if h.Hinted && c.unhint(h, p, true) {
		return
	}
	switch {
	case first && c.owner.recovering.Load():
		c.park(h, p)
	case first:
		c.first(s, nil, h, p, tokenOf(p))
	case h.Asserted:
		c.adopt(s, h, p)
	default:
		c.lookUpUnknown(s, h, p)
	}
}

// park keeps a first packet until the end of recovery.
func (c *call) park(h *flow.Header, p *flow.Packet) {
	if !c.owner.admission.park(keep(h, p, 0, 0)) {
		c.drop(flow.ReasonTableFull)
	}
}

// adopt takes over a flow that a directory entry says is of this agent.
func (c *call) adopt(s *shard, h *flow.Header, p *flow.Packet) {
	if !c.room(s) {
		c.drop(flow.ReasonTableFull)
		return
	}
	e := s.insert(p.Hash, p.Key)
	e.state, e.port = stateOwned, h.LocalPort
	c.owner.admission.adopt(c.now, false)
	c.touch(e, p)
	c.deliver(e, h, p)
	c.owner.reportFlow(e)
}
