package owner

import (
	"net/netip"

	"agateramp/internal/core/flow"
)

// packet decides on a packet whose shard is locked.
func (c *call) handlePacket(s *shard, h *flow.Header, p *flow.Packet) {
	e := s.find(p.Hash, &p.Key)
	if e != nil && e.expired(c.now) {
		e = c.expire(s, e)
	}
	if e != nil && e.state == stateEnded && c.view.idempotent && !c.view.canStartFlow(p) && c.mayAdopt(p) {
		// The flow that ended is one that peers know of; a later one on the key may
		// have been lost in the restart.
		s.remove(e)
		e = nil
	}
	if e == nil {
		c.handleUnknown(s, h, p)
		return
	}
	if c.owner.recovering.Load() && c.view.canStartFlow(p) {
		// The entry may be of an earlier flow on the key than peers still report.
		c.holdForRecovery(h, p)
		return
	}
	over := e.state == stateEnded || e.state == stateOwned && e.has(flagCallerClosed)
	if h.Hinted && over && !c.view.canStartFlow(p) && c.rerouteHinted(h, p, false) {
		return
	}
	switch e.state {
	case stateOwned:
		c.handleOwned(s, e, h, p)
	case stateDelegated, stateRemote:
		c.handleElsewhere(s, e, h, p)
	default:
		c.handleDecided(s, e, h, p)
	}
}

// owned delivers a packet of a flow of this agent, unless it is a copy of work
// that must not run twice or starts a new flow.
func (c *call) handleOwned(s *shard, e *entry, h *flow.Header, p *flow.Packet) {
	if c.view.canStartFlow(p) {
		digest := digestOf(p)
		if e.digests.isEarlier(digest) {
			c.drop(flow.ReasonDuplicate)
			return
		}
		if c.view.startsNewFlow(e, digest) {
			c.replaceFlow(s, e, h, p, digest)
			return
		}
		if digest != e.digests[0] {
			e.flags |= flagEstablished
		}
		if digest == e.digests[0] && !c.view.idempotent && p.Key.Protocol() != protocolTCP {
			c.drop(flow.ReasonDuplicate)
			return
		}
	} else {
		e.flags |= flagEstablished
	}
	c.refreshExpiry(e, p)
	c.deliver(e, h, p)
}

func (c *call) deliver(e *entry, h *flow.Header, p *flow.Packet) {
	d := c.newDeliver()
	*d = Deliver{Key: p.Key, Data: p.Data, LocalPort: e.localPort, ReturnAddress: h.ReturnAddress}
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
func (c *call) refreshExpiry(e *entry, p *flow.Packet) {
	if e.has(flagCallerReset) {
		return
	}
	switch {
	case p.RST:
		e.flags |= flagCallerClosed | flagCallerReset
	case p.FIN:
		e.flags |= flagCallerClosed
	}
	switch {
	case e.has(flagCallerClosed):
		// A caller that sent FIN may go on reading a long answer and confirming it.
		e.expires = deadlineAfter(c.now, lingerTimeout)
	case e.has(flagEstablished):
		e.expires = deadlineAfter(c.now, c.view.idleTimeout())
	default:
		e.expires = deadlineAfter(c.now, min(delegationTTL, c.view.idleTimeout()))
	}
}

// decided handles a packet of a flow that waits here, was refused or is over.
func (c *call) handleDecided(s *shard, e *entry, h *flow.Header, p *flow.Packet) {
	if c.view.canStartFlow(p) {
		digest := digestOf(p)
		if e.digests.isEarlier(digest) {
			c.drop(flow.ReasonDuplicate)
			return
		}
		if (e.state == stateRefused || e.state == stateEnded) && c.view.startsNewFlow(e, digest) {
			c.replaceFlow(s, e, h, p, digest)
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
func (c *call) handleElsewhere(s *shard, e *entry, h *flow.Header, p *flow.Packet) {
	first := c.view.canStartFlow(p)
	host := c.owner.hosts.address(e.host)
	if first {
		digest := digestOf(p)
		if e.digests.isEarlier(digest) {
			c.drop(flow.ReasonDuplicate)
			return
		}
		if c.overridesEntry(e, h, digest) {
			c.placeFirstPacket(s, e, h, p, digest)
			return
		}
		if c.owner.peers.unreachable(host, c.now) {
			c.handleUnreachable(s, e, h, p, digest)
			return
		}
		c.forwardByEntry(e, h, p, host, digest)
		return
	}
	if c.owner.peers.unreachable(host, c.now) {
		if e.state == stateRemote && !c.owner.peers.unreachableSince(host, c.now-int64(ownerLostAfter)) {
			c.drop(flow.ReasonOwnerLost)
			return
		}
		// The packet may be of a later flow on the key; else the last host resets it.
		c.lookUp(s, h, p)
		return
	}
	out := *h
	out.Hinted = false
	c.setAsserted(&out, e, e.state == stateRemote)
	c.forward(&out, p, host)
}

// assert says in a header whether a directory entry names the receiver as the
// owner, and on which local port.
func (c *call) setAsserted(h *flow.Header, e *entry, isOwner bool) {
	h.Asserted, h.LocalPort = isOwner && !e.has(flagRemoteEnded|flagRemoteRefused), 0
	if h.Asserted {
		h.LocalPort = e.localPort
	}
}

// overrides reports whether a first packet decides anew despite an entry that
// names another host.
func (c *call) overridesEntry(e *entry, h *flow.Header, digest uint32) bool {
	if e.state != stateDelegated {
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
		return e.digests[0] != digest || uint64(e.roleVersion) >= c.ownRoleVersion(h)
	}
}

// follow passes a first packet to the host that an entry names.
func (c *call) forwardByEntry(e *entry, h *flow.Header, p *flow.Packet, host netip.AddrPort, digest uint32) {
	out := *h
	out.Hinted = false
	if e.state == stateRemote {
		if e.has(flagRemoteEnded) && digest == e.digests[0] {
			c.drop(flow.ReasonDuplicate)
			return
		}
		// The owner of the last flow on this key decides on the next one.
		c.setAsserted(&out, e, digest == e.digests[0])
		if !out.Asserted {
			out.Stage = flow.StageGrant
		}
		c.forward(&out, p, host)
		return
	}
	out.Stage, out.Asserted = e.stage, false
	switch e.stage {
	case flow.StageOffer:
		out.OfferLoad = c.owner.admission.load()
		c.setPathToSelf(&out)
	case flow.StageSearch:
		c.routeTo(&out, host, uint64(e.roleVersion))
	}
	c.forward(&out, p, host)
}

// lost handles a first packet of a flow whose host is unreachable.
func (c *call) handleUnreachable(s *shard, e *entry, h *flow.Header, p *flow.Packet, digest uint32) {
	host := c.owner.hosts.address(e.host)
	if e.state == stateRemote && digest == e.digests[0] {
		if e.has(flagRemoteEnded) {
			c.drop(flow.ReasonDuplicate)
			return
		}
		if !c.view.idempotent || e.has(flagRemoteRefused) || !c.owner.peers.unreachableSince(host, c.now-int64(ownerLostAfter)) {
			c.resetOwnerLost(host, h, p)
			return
		}
	}
	c.placeFirstPacket(s, e, h, p, digest)
}

// ownerLost resets a flow whose owner has been unreachable for long. Until then
// its agent may be restarting, so the packet is dropped and the caller repeats it.
func (c *call) resetOwnerLost(host netip.AddrPort, h *flow.Header, p *flow.Packet) {
	if !c.owner.peers.unreachableSince(host, c.now-int64(ownerLostAfter)) {
		c.drop(flow.ReasonOwnerLost)
		return
	}
	c.emit(&Reset{Key: p.Key, Reason: flow.ReasonOwnerLost, ReturnAddress: h.ReturnAddress, Data: p.Data})
}

// unhint sends a packet that a hint led here to its path. It reports false when
// the path begins here. The hint may be of an earlier flow on the key, so an agent
// whose flow is over must not take the packet for part of it, nor avoid a first
// choice that may only be unreachable from here.
func (c *call) rerouteHinted(h *flow.Header, p *flow.Packet, avoidUnreachable bool) bool {
	out := *h
	out.Hinted = false
	c.refreshPath(&out, p.Hash)
	if out.PathLen == 0 {
		c.drop(flow.ReasonNoHosts)
		return true
	}
	out.Hop = 0
	to := out.Path[0].Address
	if avoidUnreachable {
		to = c.pathStart(&out)
	}
	if to == c.owner.self {
		return false
	}
	c.forward(&out, p, to)
	return true
}

// unknown decides on a packet of a flow that the map does not hold.
func (c *call) handleUnknown(s *shard, h *flow.Header, p *flow.Packet) {
	first := c.view.canStartFlow(p)
	if h.Hinted && c.rerouteHinted(h, p, true) {
		return
	}
	switch {
	case first && c.owner.recovering.Load():
		c.holdForRecovery(h, p)
	case first:
		c.placeFirstPacket(s, nil, h, p, digestOf(p))
	case h.Asserted:
		c.adopt(s, h, p)
	default:
		c.lookUpUnknown(s, h, p)
	}
}

// park keeps a first packet until the end of recovery.
func (c *call) holdForRecovery(h *flow.Header, p *flow.Packet) {
	if !c.owner.admission.hold(newWaitingPacket(h, p, 0, 0)) {
		c.drop(flow.ReasonTableFull)
	}
}

// adopt takes over a flow that a directory entry says is of this agent.
func (c *call) adopt(s *shard, h *flow.Header, p *flow.Packet) {
	if !c.ensureRoom(s) {
		c.drop(flow.ReasonTableFull)
		return
	}
	e := s.insert(p.Hash, p.Key)
	e.state, e.localPort = stateOwned, h.LocalPort
	c.owner.admission.addExisting(c.now, false)
	c.refreshExpiry(e, p)
	c.deliver(e, h, p)
	c.owner.reportFlow(e)
}
