package owner

import (
	"net/netip"

	"agateramp/internal/core/flow"
)

// forward sends a packet to another agent, or drops it if it has been forwarded
// flow.MaxPasses times.
func (c *call) forward(out *flow.Header, p *flow.Packet, to netip.AddrPort) {
	if out.Passes >= flow.MaxPasses {
		c.drop(flow.ReasonHopLimit)
		return
	}
	out.Passes++
	c.emit(&Forward{To: to, Header: *out, Data: p.Data})
}

// setPath sets the path of a header to the first choices of all versions that this agent
// retains. If a first choice is suspect or unreachable, the second choice of its version
// takes its place: without that hop, paths of different versions would no longer share
// the host that decides.
func (c *call) setPath(out *flow.Header, hash uint64, suspect netip.AddrPort) {
	out.PathLen, out.Hop, out.FirstSuspected = 0, 0, false
	out.Version = c.view.table.Version()
	out.SecondChoice = c.view.table.Route(hash).SecondChoice
	for i, t := range c.view.versions {
		r := t.Route(hash)
		if len(r.Hops) == 0 {
			continue
		}
		a := r.Hops[0].Address
		if (a == suspect || c.isUnreachable(a)) && r.SecondChoice.IsValid() && !c.isUnreachable(r.SecondChoice) {
			a = r.SecondChoice
			out.FirstSuspected = out.FirstSuspected || i == 0
		}
		if n := out.PathLen; n > 0 && out.Path[n-1].Address == a {
			out.Path[n-1].RoleVersion = t.Version()
			continue
		}
		out.Path[out.PathLen] = flow.Hop{Address: a, RoleVersion: t.Version()}
		out.PathLen++
	}
}

// isUnreachable reports whether a is another agent that is unreachable.
func (c *call) isUnreachable(a netip.AddrPort) bool {
	return a != c.owner.self && c.owner.peers.unreachable(a, c.now)
}

// setPathToSelf makes this agent the only hop of a path, so that an offered flow can be
// returned to it.
func (c *call) setPathToSelf(out *flow.Header) {
	out.Path[0] = flow.Hop{Address: c.owner.self, RoleVersion: out.Version}
	out.PathLen, out.Hop, out.FirstSuspected = 1, 0, false
}

// refreshPath rebuilds the path of a packet that was routed by an older table or has no
// path. It reports whether it did.
func (c *call) refreshPath(out *flow.Header, hash uint64) bool {
	if out.PathLen > 0 && out.Version >= c.view.table.Version() {
		return false
	}
	c.setPath(out, hash, c.suspectedFirstChoice(out, hash))
	return true
}

// suspectedFirstChoice returns the first choice that the balancer of a packet suspected,
// or the zero value.
func (c *call) suspectedFirstChoice(h *flow.Header, hash uint64) netip.AddrPort {
	if !h.FirstSuspected {
		return netip.AddrPort{}
	}
	for _, t := range c.view.versions {
		if r := t.Route(hash); t.Version() == h.Version && len(r.Hops) > 0 {
			return r.Hops[0].Address
		}
	}
	return netip.AddrPort{}
}

// extendPath adds to the path of a packet of the present version the hops that its
// balancer left out because it suspected them, or the hosts that take their place.
// Second choices differ between versions, so the second choice of the newest version
// must not decide alone.
func (c *call) extendPath(out *flow.Header, hash uint64) {
	t := c.view.table
	complete := out.Path[out.PathLen-1].RoleVersion <= t.OldestVersion()
	if out.Version != t.Version() || complete && !out.FirstSuspected {
		return
	}
	full := *out
	c.setPath(&full, hash, c.suspectedFirstChoice(out, hash))
	if hop, ok := c.ownHop(&full); ok {
		full.Hop = hop
		*out = full
	}
}

// pathStart sets a header to the beginning of its path and returns the host there. As in
// the balancers, a reachable second choice takes the place of an unreachable first choice.
func (c *call) pathStart(out *flow.Header) netip.AddrPort {
	out.Hop = 0
	first, second := out.Path[0].Address, out.SecondChoice
	if first == c.owner.self || !c.owner.peers.unreachable(first, c.now) {
		return first
	}
	if !second.IsValid() || c.owner.peers.unreachable(second, c.now) {
		return first
	}
	out.FirstSuspected = true
	if out.PathLen > 1 && out.Path[1].Address == second {
		out.PathLen = copy(out.Path[:], out.Path[1:out.PathLen])
		return second
	}
	out.Path[0].Address = second
	return second
}

// ownHop returns the index of this agent in the path, or false.
func (c *call) ownHop(h *flow.Header) (hop int, ok bool) {
	if h.Hop < h.PathLen && h.Path[h.Hop].Address == c.owner.self {
		return h.Hop, true
	}
	for i := range h.PathLen {
		if h.Path[i].Address == c.owner.self {
			return i, true
		}
	}
	return 0, false
}

// ownRoleVersion returns the role version of this agent's hop in the path, or the version
// of the header if the agent is not on the path.
func (c *call) ownRoleVersion(h *flow.Header) uint64 {
	hop, ok := c.ownHop(h)
	if !ok || h.PathLen == 0 {
		return h.Version
	}
	return h.Path[hop].RoleVersion
}

// routeTo sets the hop of a packet that follows a delegation to a host. If the version of
// the delegation has been retired since, or the balancer of the packet does not have it,
// the host is not on the path. It then becomes the last hop and decides.
func (c *call) routeTo(out *flow.Header, host netip.AddrPort, roleVersion uint64) {
	if c.advanceHop(out, host) {
		return
	}
	out.Path[1] = flow.Hop{Address: host, RoleVersion: roleVersion}
	out.PathLen, out.Hop = 2, 1
}

// advanceHop sets the hop of a header to the first one, from the present hop on, that is
// the given host. It reports false if there is none.
func (c *call) advanceHop(out *flow.Header, host netip.AddrPort) bool {
	for i := out.Hop; i < out.PathLen; i++ {
		if out.Path[i].Address == host {
			out.Hop = i
			return true
		}
	}
	return false
}

// nextReachableHop returns the next hop after hop that is another, reachable agent, or
// false.
func (c *call) nextReachableHop(h *flow.Header, hop int) (next int, ok bool) {
	for i := hop + 1; i < h.PathLen; i++ {
		if a := h.Path[i].Address; a != c.owner.self && !c.owner.peers.unreachable(a, c.now) {
			return i, true
		}
	}
	return 0, false
}

// lookUpUnknown looks for the owner of a flow without an entry by one of its later
// packets. If the agent may have lost the flow in a restart, the packet makes a round
// trip to another host as an offer, and the flow is adopted if that host has no
// entry for it either.
func (c *call) lookUpUnknown(s *shard, h *flow.Header, p *flow.Packet) {
	if h.Stage == flow.StageFinal || h.Stage == flow.StageOffer && h.Path[0].Address == c.owner.self {
		// The other host has no entry for the flow either, so this agent lost it when it
		// restarted.
		c.adopt(s, h, p)
		return
	}
	if h.Stage == flow.StageOffer && h.PathLen > 0 {
		out := *h
		out.Stage = flow.StageFinal
		c.forward(&out, p, out.Path[0].Address)
		return
	}
	c.lookUp(s, h, p)
}

// mayAdopt reports whether this agent may have lost the flow of a packet when it
// restarted: a flow that began shortly before the restart may not have been reported to
// any peer. After the recovery only TCP flows are adopted, until adoptionWindow has
// passed since the start: a backend server resets a TCP flow that it does not have.
func (c *call) mayAdopt(p *flow.Packet) bool {
	if !c.owner.restarted.Load() {
		return false
	}
	if c.owner.admission.limitsBySlots && !c.view.idempotent {
		// The witnesses have the flow and its local port. If a request were repeated from
		// another port, the backend server would run it again.
		return false
	}
	return c.owner.recovering.Load() ||
		p.Key.Protocol() == protocolTCP && c.now < c.owner.started+int64(adoptionWindow)
}

// lookUp forwards a later packet of a flow along its path, then to the second choice. If
// no host has the flow, the search ends.
func (c *call) lookUp(s *shard, h *flow.Header, p *flow.Packet) {
	out := *h
	out.Hinted = false
	if c.refreshPath(&out, p.Hash) && out.PathLen > 0 {
		if to := c.pathStart(&out); to != c.owner.self {
			c.forward(&out, p, to)
			return
		}
	}
	if out.Hop >= out.PathLen {
		// The search has passed the end of the path, so this agent is the last one on it.
		if c.mayAdopt(p) && s.find(p.Hash, &p.Key) == nil {
			c.adopt(s, &out, p)
			return
		}
		c.endLookUp(&out, p)
		return
	}
	hop, ok := c.ownHop(&out)
	if !ok {
		// An entry led here, and the flow has been removed since.
		c.endLookUp(&out, p)
		return
	}
	if next, ok := c.nextReachableHop(&out, hop); ok {
		out.Hop = next
		c.forward(&out, p, out.Path[next].Address)
		return
	}
	last := out.SecondChoice
	if out.FirstSuspected {
		// The path began at the second choice; the suspected first choice may still be alive.
		last = c.view.table.Route(p.Hash).Hops[0].Address
	}
	if !last.IsValid() || last == c.owner.self {
		c.endLookUp(&out, p)
		return
	}
	out.Hop = out.PathLen
	if c.mayAdopt(p) {
		out.Stage = flow.StageOffer
		c.setPathToSelf(&out)
	}
	c.forward(&out, p, last)
}

// endLookUp ends the search for a flow that no host has: it resets a TCP flow and drops
// the packet otherwise. Nothing is reset during recovery or within resetHoldOff of a table
// change, since the owner may still have to report the flow; the caller retransmits.
func (c *call) endLookUp(h *flow.Header, p *flow.Packet) {
	mayReset := !c.owner.recovering.Load() && c.now >= c.view.resetsAfter
	if p.Key.Protocol() == protocolTCP && !p.RST && mayReset {
		c.emit(&Reset{Key: p.Key, Reason: flow.ReasonUnknownFlow, ReturnAddress: h.ReturnAddress, Data: p.Data})
		return
	}
	c.drop(flow.ReasonUnknownFlow)
}
