package owner

import (
	"net/netip"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// recover takes an entry that names this agent as the owner of a flow. Outside a
// recovery such an entry is stale when the flow is not here; the answer ends it.
func (c *call) recover(key flow.Key, m *controlpb.FlowEntry, recovers bool) *controlpb.FlowEntry {
	hash := key.Hash()
	s := c.owner.flows.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := tokensOf(m)
	e := s.find(hash, &key)
	if e != nil && e.state == stateOwned {
		c.complete(e, m, known)
		return nil
	}
	switch {
	case e == nil, e.state == stateRemote, e.state == stateClaim:
	case recovers && known.earlier(e.tokens[0]) && (e.state == stateEnded || e.state == stateRefused):
		// An older report came first.
		e.tokens = known
	default:
		return nil
	}
	if e != nil && known[0] != e.tokens[0] && e.tokens[0] != 0 {
		// The key has gone to a later flow since.
		e.tokens = e.tokens.merge(known)
		return nil
	}
	if e == nil && !recovers {
		return &controlpb.FlowEntry{Key: m.GetKey(), Owner: m.GetOwner(), Ended: true}
	}
	if !recovers {
		return nil
	}
	if e == nil {
		if !c.room(s) {
			return nil
		}
		e = s.insert(hash, key)
	}
	e.tokens = known.merge(e.tokens)
	e.port = uint16(m.GetLocalPort())
	switch {
	case m.GetRefused():
		e.state, e.flags, e.expires = stateRefused, 0, nanoseconds(c.now, memoryLife)
	case m.GetEnded():
		e.state, e.flags, e.expires = stateEnded, 0, nanoseconds(c.now, memoryLife)
	default:
		c.recoverFlow(e)
	}
	return nil
}

// recoverFlow makes an entry an owned flow again. Whether its request was answered
// is unknown, so it holds a slot until an answer is seen or claimLife has passed.
func (c *call) recoverFlow(e *entry) {
	e.state, e.flags = stateOwned, flagEstablished|flagRecovered
	if c.owner.admission.countsSlots {
		e.flags |= flagBusy
	}
	c.owner.admission.adopt(c.now, e.has(flagBusy))
	e.expires = nanoseconds(c.now, c.view.idle())
	if e.port != 0 {
		c.emit(&BindFlow{Key: e.key, LocalPort: e.port})
	}
	c.owner.reportFlow(e)
}

// complete adds what a peer knows to a flow that was adopted before its report.
func (c *call) complete(e *entry, m *controlpb.FlowEntry, known tokens) {
	if m.GetEnded() || m.GetRefused() {
		return
	}
	newer := e.has(flagRecovered) && known.earlier(e.tokens[0])
	if e.tokens[0] != 0 && !newer {
		same := e.tokens[0] == known[0]
		e.tokens = e.tokens.merge(known)
		if !same {
			return
		}
	} else {
		e.tokens = known
	}
	if newer {
		// An older report came first.
		e.port = 0
	}
	if e.port == 0 && m.GetLocalPort() != 0 {
		e.port = uint16(m.GetLocalPort())
		c.emit(&BindFlow{Key: e.key, LocalPort: e.port})
	}
}

// endRecovery ends the recovery when every reachable peer has reported or its
// time is over, and decides on the packets that waited for that.
func (c *call) endRecovery() {
	o := c.owner
	if !o.recovering.Load() || c.view == nil {
		return
	}
	o.specMu.Lock()
	over := c.now >= o.recoveryEnds
	o.specMu.Unlock()
	if !over && !c.allReported() {
		return
	}
	if !o.recovering.CompareAndSwap(true, false) {
		return
	}
	for _, r := range o.admission.takeDeferred() {
		c.reportReceived(r.Peer, r.Report)
	}
	for _, w := range o.admission.unpark() {
		s := o.flows.shard(w.packet.Hash)
		s.mu.Lock()
		c.packet(s, &w.header, &w.packet)
		s.mu.Unlock()
	}
}

// allReported reports whether every other member has sent its full report.
func (c *call) allReported() bool {
	for _, a := range c.members() {
		if a != c.owner.self && !c.owner.peers.hasReported(a) {
			return false
		}
	}
	return true
}

// members returns the agents of the newest table version.
func (c *call) members() []netip.AddrPort {
	members := c.view.table.Members()
	addresses := make([]netip.AddrPort, len(members))
	for i := range members {
		addresses[i] = members[i].Address
	}
	return addresses
}
