package owner

import (
	"net/netip"

	"agateramp/internal/core/flow"
)

// handlePacket decides on a packet. The shard s of its flow is locked.
func (c *call) handlePacket(s *shard, h *flow.Header, p *flow.Packet) {
	e := s.find(p.Hash, &p.Key)
	if e != nil && e.expired(c.now) {
		e = c.expire(s, e)
	}
	if e != nil && e.state == stateEnded && c.view.idempotent && !c.view.canStartFlow(p) && c.mayAdopt(p) {
		// Peers reported the ended flow. A later flow on the key may have been lost in
		// the restart.
		s.remove(e)
		e = nil
	}
	if e == nil {
		c.handleUnknown(s, h, p)
		return
	}
	if c.owner.recovering.Load() && c.view.canStartFlow(p) {
		// Peers may still report a later flow on the key than that of the entry.
		c.holdForRecovery(h, p)
		return
	}
	closed := e.state == stateEnded || e.state == stateOwned && e.has(flagCallerClosed)
	if h.Hinted && closed && !c.view.canStartFlow(p) && c.rerouteHinted(h, p, false) {
		return
	}
	switch e.state {
	case stateOwned:
		c.handleOwned(s, e, h, p)
	case stateDelegated, stateRemote:
		c.handleElsewhere(s, e, h, p)
	default:
		c.handleUndeliverable(s, e, h, p)
	}
}

// handleOwned delivers a packet of an owned flow. It drops copies of first packets that
// must not run twice, and replaces the flow if the packet starts a new one.
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

// deliver delivers a packet of an owned flow. If agents forwarded the packet, its
// balancer gets a hint.
func (c *call) deliver(e *entry, h *flow.Header, p *flow.Packet) {
	d := c.newDeliver()
	*d = Deliver{Key: p.Key, Data: p.Data, LocalPort: e.localPort, ReturnAddress: h.ReturnAddress}
	c.emit(d)
	if h.Passes > 0 && h.ReturnAddress.IsValid() {
		c.emit(&Hint{To: h.ReturnAddress, Key: p.Key})
	}
}

// newDeliver returns a Deliver to overwrite: the one that an earlier use of the slice left
// beyond the end of the effects, or a new one.
func (c *call) newDeliver() *Deliver {
	if n := len(c.effects); n < cap(c.effects) {
		if d, ok := c.effects[:n+1][n].(*Deliver); ok {
			return d
		}
	}
	return &Deliver{}
}

// refreshExpiry sets when a flow expires after one of its packets.
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
		// A caller that sent FIN may still read and acknowledge a long response.
		e.expires = deadlineAfter(c.now, lingerTimeout)
	case e.has(flagEstablished):
		e.expires = deadlineAfter(c.now, c.view.idleTimeout())
	default:
		e.expires = deadlineAfter(c.now, min(delegationTTL, c.view.idleTimeout()))
	}
}

// handleUndeliverable drops or refuses a packet of a flow that is pending, queued, refused
// or ended. It replaces a refused or ended flow if the packet starts a new one.
func (c *call) handleUndeliverable(s *shard, e *entry, h *flow.Header, p *flow.Packet) {
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

// handleElsewhere forwards a packet to the host that decides on its flow or has it.
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
		// The packet may belong to a later flow on the key. If no host has the flow, the
		// last one resets it.
		c.lookUp(s, h, p)
		return
	}
	out := *h
	out.Hinted = false
	c.setAsserted(&out, e, e.state == stateRemote)
	c.forward(&out, p, host)
}

// setAsserted sets Asserted in a header if isOwner is true and the flow of e has neither
// ended nor been refused, and then also the local port of the flow. isOwner states that
// the receiver is, by the directory entry e, the owner of the packet's flow.
func (c *call) setAsserted(h *flow.Header, e *entry, isOwner bool) {
	h.Asserted, h.LocalPort = isOwner && !e.has(flagRemoteEnded|flagRemoteRefused), 0
	if h.Asserted {
		h.LocalPort = e.localPort
	}
}

// overridesEntry reports whether a first packet is placed here despite an entry that
// names another host.
func (c *call) overridesEntry(e *entry, h *flow.Header, digest uint32) bool {
	if e.state != stateDelegated {
		// The owner itself may offer a flow that it has not delivered, or the next flow
		// on the key.
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
		// The packet came back to a host that is on its path twice, and the delegation
		// leads to a hop that the packet has already visited.
		return e.digests[0] != digest || uint64(e.roleVersion) >= c.ownRoleVersion(h)
	}
}

// forwardByEntry forwards a first packet to the host that an entry names.
func (c *call) forwardByEntry(e *entry, h *flow.Header, p *flow.Packet, host netip.AddrPort, digest uint32) {
	out := *h
	out.Hinted = false
	if e.state == stateRemote {
		if e.has(flagRemoteEnded) && digest == e.digests[0] {
			c.drop(flow.ReasonDuplicate)
			return
		}
		// The owner of the last flow on a key decides on the next one.
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

// handleUnreachable handles a first packet whose entry names an unreachable host.
func (c *call) handleUnreachable(s *shard, e *entry, h *flow.Header, p *flow.Packet, digest uint32) {
	host := c.owner.hosts.address(e.host)
	if e.state == stateRemote && digest == e.digests[0] {
		if e.has(flagRemoteEnded) {
			c.drop(flow.ReasonDuplicate)
			return
		}
		if !c.view.idempotent || e.has(flagRemoteRefused) ||
			!c.owner.peers.unreachableSince(host, c.now-int64(ownerLostAfter)) {
			c.resetOwnerLost(host, h, p)
			return
		}
	}
	c.placeFirstPacket(s, e, h, p, digest)
}

// resetOwnerLost resets a flow whose owner has been unreachable for ownerLostAfter.
// Until then the agent of the owner may be restarting, so the packet is dropped and the
// caller retransmits it.
func (c *call) resetOwnerLost(host netip.AddrPort, h *flow.Header, p *flow.Packet) {
	if !c.owner.peers.unreachableSince(host, c.now-int64(ownerLostAfter)) {
		c.drop(flow.ReasonOwnerLost)
		return
	}
	c.emit(&Reset{Key: p.Key, Reason: flow.ReasonOwnerLost, ReturnAddress: h.ReturnAddress, Data: p.Data})
}

// rerouteHinted forwards a packet that came here because of a hint to the beginning of
// its path, or drops it if there is no path. It reports false if the path begins at this
// agent. If avoidUnreachable is true, a reachable second choice takes the place of an
// unreachable first choice. The hint may stem from an earlier flow on the key. An agent
// whose flow has ended must therefore not treat the packet as part of that flow, and must
// set avoidUnreachable to false: a first choice that it cannot reach may be reachable for
// others.
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

// handleUnknown decides on a packet of a flow without an entry.
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

// holdForRecovery keeps a first packet until the end of recovery.
func (c *call) holdForRecovery(h *flow.Header, p *flow.Packet) {
	if !c.owner.admission.hold(newWaitingPacket(h, p, 0, 0)) {
		c.drop(flow.ReasonTableFull)
	}
}

// adopt makes a flow without an entry an owned one and delivers its packet. It is called
// when a directory entry of the sender names this agent as the owner, or when this agent
// lost the flow in a restart.
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
