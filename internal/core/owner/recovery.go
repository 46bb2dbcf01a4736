package owner

import (
	"net/netip"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// recoverEntry applies a reported entry that names this agent as the owner of a flow. If
// recovering, the flow becomes an owned one again. Otherwise an entry for a flow that the
// agent does not have is stale, and the returned response ends it.
func (c *call) recoverEntry(key flow.Key, m *controlpb.FlowEntry, recovering bool) *controlpb.FlowEntry {
	hash := key.Hash()
	s := c.owner.flows.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	reported := digestsOf(m)
	e := s.find(hash, &key)
	if e != nil && e.state == stateOwned {
		c.mergeReported(e, m, reported)
		return nil
	}
	switch {
	case e == nil, e.state == stateRemote, e.state == stateDelegated:
	case recovering && reported.isEarlier(e.digests[0]) && (e.state == stateEnded || e.state == stateRefused):
		// The existing entry is from an older report.
		e.digests = reported
	default:
		return nil
	}
	if e != nil && reported[0] != e.digests[0] && e.digests[0] != 0 {
		// The key has been reused by a later flow since.
		e.digests = e.digests.merge(reported)
		return nil
	}
	if e == nil && !recovering {
		return &controlpb.FlowEntry{Key: m.GetKey(), Owner: m.GetOwner(), Ended: true}
	}
	if !recovering {
		return nil
	}
	if e == nil {
		if !c.ensureRoom(s) {
			return nil
		}
		e = s.insert(hash, key)
	}
	e.digests = reported.merge(e.digests)
	e.localPort = uint16(m.GetLocalPort())
	switch {
	case m.GetRefused():
		e.state, e.flags, e.expires = stateRefused, 0, deadlineAfter(c.now, endedFlowTTL)
	case m.GetEnded():
		e.state, e.flags, e.expires = stateEnded, 0, deadlineAfter(c.now, endedFlowTTL)
	default:
		c.recoverFlow(e)
	}
	return nil
}

// recoverFlow makes an entry an owned flow again. Whether its request has had a reply is
// unknown, so it holds a slot until a reply is seen or until recoveryTimeout and
// delegationTTL have passed since the start.
func (c *call) recoverFlow(e *entry) {
	e.state, e.flags = stateOwned, flagEstablished|flagRecovered
	if c.owner.admission.limitsBySlots {
		e.flags |= flagHoldsSlot
	}
	c.owner.admission.addExisting(c.now, e.has(flagHoldsSlot))
	e.expires = deadlineAfter(c.now, c.view.idleTimeout())
	if e.localPort != 0 {
		c.emit(&BindFlow{Key: e.key, LocalPort: e.localPort})
	}
	c.owner.reportFlow(e)
}

// mergeReported adds the digests and local port that a peer reported to an owned flow
// that was adopted or recovered before.
func (c *call) mergeReported(e *entry, m *controlpb.FlowEntry, reported digests) {
	if m.GetEnded() || m.GetRefused() {
		return
	}
	newer := e.has(flagRecovered) && reported.isEarlier(e.digests[0])
	if e.digests[0] != 0 && !newer {
		same := e.digests[0] == reported[0]
		e.digests = e.digests.merge(reported)
		if !same {
			return
		}
	} else {
		e.digests = reported
	}
	if newer {
		// The known local port is from an older report.
		e.localPort = 0
	}
	if e.localPort == 0 && m.GetLocalPort() != 0 {
		e.localPort = uint16(m.GetLocalPort())
		c.emit(&BindFlow{Key: e.key, LocalPort: e.localPort})
	}
}

// endRecoveryIfDone ends the recovery if all other members have sent their full reports
// or its time has run out. It then applies the deferred reports and decides on the held
// packets.
func (c *call) endRecoveryIfDone() {
	o := c.owner
	if !o.recovering.Load() || c.view == nil {
		return
	}
	o.specMu.Lock()
	timedOut := c.now >= o.recoveryEnds
	o.specMu.Unlock()
	if !timedOut && !c.allPeersReported() {
		return
	}
	if !o.recovering.CompareAndSwap(true, false) {
		return
	}
	for _, r := range o.admission.takeDeferredReports() {
		c.reportReceived(r.Peer, r.Report)
	}
	for _, w := range o.admission.takeHeld() {
		s := o.flows.shard(w.packet.Hash)
		s.mu.Lock()
		c.handlePacket(s, &w.header, &w.packet)
		s.mu.Unlock()
	}
}

// allPeersReported reports whether every other member has sent its full report.
func (c *call) allPeersReported() bool {
	for _, a := range c.memberAddresses() {
		if a != c.owner.self && !c.owner.peers.hasSentFullReport(a) {
			return false
		}
	}
	return true
}

// memberAddresses returns the addresses of the agents of the newest table version.
func (c *call) memberAddresses() []netip.AddrPort {
	members := c.view.table.Members()
	addresses := make([]netip.AddrPort, len(members))
	for i := range members {
		addresses[i] = members[i].Address
	}
	return addresses
}
