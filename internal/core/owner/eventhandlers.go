package owner

import (
	"net/netip"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// specReceived applies a table spec. The first one is followed by the reports that
// were deferred until there was a table.
func (c *call) specReceived(spec *controlpb.TableSpec) {
	if !c.applySpec(spec) {
		return
	}
	for _, r := range c.owner.admission.takeDeferredReports() {
		c.reportReceived(r.Peer, r.Report)
	}
}

// applySpec applies a table spec if it is valid and newer than the present one. It
// reports whether it is the first one.
func (c *call) applySpec(spec *controlpb.TableSpec) (first bool) {
	o := c.owner
	o.specMu.Lock()
	defer o.specMu.Unlock()
	v, err := newView(spec)
	old := o.view.Load()
	if err != nil || !v.supersedes(old) {
		return false
	}
	if old == nil {
		o.restarted.Store(c.listsEarlierIncarnation(spec))
		o.recoveryEnds = deadlineAfter(max(c.now, o.started), recoveryTimeout)
	}
	v.resetsAfter = deadlineAfter(c.now, resetHoldOff)
	o.view.Store(v)
	c.view = v
	o.peers.beginTransfer(c.peersOf(spec), c.now)
	o.tableAcknowledged = false
	if old != nil && old.table.ServiceID() != v.table.ServiceID() {
		c.clearFlows()
	}
	if old != nil {
		c.reportToAdded(old.table)
	}
	m := v.table.Member(o.self)
	c.offerQueued(o.admission.setMember(m))
	c.offerPending()
	c.emit(&TableAck{Version: v.table.Version()})
	return old == nil
}

// listsEarlierIncarnation reports whether a spec lists an earlier process of this
// agent. It returns false if the incarnation of this process is not known.
func (c *call) listsEarlierIncarnation(spec *controlpb.TableSpec) bool {
	self := c.owner.self.String()
	for _, version := range spec.GetVersions() {
		for _, m := range version.GetMembers() {
			if m.GetAddress() == self && m.GetIncarnation() != c.owner.incarnation && c.owner.incarnation != 0 {
				return true
			}
		}
	}
	return false
}

// peersOf returns the addresses of the other agents of all retained versions.
func (c *call) peersOf(spec *controlpb.TableSpec) (addresses []netip.AddrPort) {
	for _, version := range spec.GetVersions() {
		for _, m := range version.GetMembers() {
			a, err := netip.ParseAddrPort(m.GetAddress())
			if err == nil && a != c.owner.self {
				addresses = append(addresses, a)
			}
		}
	}
	return addresses
}

// clearFlows removes all entries, because the agent now serves another service.
func (c *call) clearFlows() {
	for i := range c.owner.flows.shards {
		s := &c.owner.flows.shards[i]
		s.mu.Lock()
		s.forEach(func(e *entry) {
			switch e.state {
			case stateOwned:
				c.closeFlow(e)
			case statePending:
				c.releasePending(e)
			}
			s.remove(e)
		})
		s.mu.Unlock()
	}
}

// acknowledgeTable acknowledges the present version once the peers have confirmed all
// entries for it.
func (c *call) acknowledgeTable() {
	o := c.owner
	if c.view == nil || o.recovering.Load() {
		return
	}
	o.specMu.Lock()
	defer o.specMu.Unlock()
	if o.tableAcknowledged || o.view.Load() != c.view || !o.peers.transferDone(c.now) {
		return
	}
	o.tableAcknowledged = true
	c.emit(&TableAck{Version: c.view.table.Version(), Transferred: true})
}

// reportAcked records the confirmation of a report and starts the pending flows for
// which it was the last one missing.
func (c *call) reportAcked(from netip.AddrPort, sequence uint64) {
	if c.view == nil {
		return
	}
	c.owner.peers.confirm(from, sequence)
	for _, w := range c.owner.admission.confirm(from, sequence) {
		c.withPending(w, func(e *entry) { c.startFlow(e, &w.header, &w.packet) })
	}
	c.acknowledgeTable()
}

// replySeen frees the slot of a flow and marks the flow as established.
func (c *call) replySeen(key flow.Key) {
	hash := key.Hash()
	s := c.owner.flows.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(hash, &key)
	if e == nil || e.state != stateOwned || c.view == nil {
		return
	}
	if !e.has(flagEstablished) {
		e.flags |= flagEstablished
		e.expires = deadlineAfter(c.now, c.view.idleTimeout())
	}
	if e.has(flagHoldsSlot) {
		e.flags &^= flagHoldsSlot
		c.owner.admission.releaseSlot(c.now)
		c.capacityFreed = true
	}
}

// portBound records the local port of a flow, so that it is reported to the peers. Port
// 0 is ignored unless the flow is pending.
func (c *call) portBound(key flow.Key, port uint16) {
	hash := key.Hash()
	s := c.owner.flows.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(hash, &key)
	switch {
	case e != nil && e.state == statePending:
		c.handlePendingPort(e, port)
	case port == 0:
	case e == nil || e.state != stateOwned:
		// The flow went to another host while its socket was opened.
		c.emit(&CloseFlow{Key: key})
	case e.localPort != port:
		e.localPort = port
		c.owner.reportFlow(e)
	}
}

// handlePendingPort sends the witness requests of a pending flow whose local port is
// now known. If the port is 0, the flow has no socket and is refused.
func (c *call) handlePendingPort(e *entry, port uint16) {
	if port == 0 {
		if w := c.owner.admission.takePendingFlow(e.key); w != nil {
			c.closeFlow(e)
			c.refuse(e, &w.header, &w.packet, flow.ReasonFull)
		}
		return
	}
	e.localPort = port
	c.owner.admission.setLocalPort(e.key, port)
	c.retryWitnessRequests(func(w *waitingPacket, _ witnessRequest) bool { return w.packet.Key == e.key })
}

// drainChanged starts or ends draining. Queued and pending flows are then offered to
// other hosts, since a draining agent starts no new work.
func (c *call) drainChanged(on bool) {
	c.offerQueued(c.owner.admission.setDrain(on))
	c.offerPending()
}

// offerPending offers the pending flows to other hosts if the agent is draining.
func (c *call) offerPending() {
	if !c.owner.admission.isDraining() {
		return
	}
	for _, w := range c.owner.admission.takePending(func(*waitingPacket) bool { return true }) {
		c.withPending(w, func(e *entry) {
			witnesses := w.witnesses
			c.closeFlow(e)
			c.acceptOrOffer(e, &w.header, &w.packet)
			c.withdrawFromWitnesses(e, witnesses)
		})
	}
}

// withPending calls fn with the shard of a pending flow locked, if the flow is still
// pending.
func (c *call) withPending(w *waitingPacket, fn func(e *entry)) {
	s := c.owner.flows.shard(w.packet.Hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(w.packet.Hash, &w.packet.Key)
	if e != nil && e.state == statePending && e.digests[0] == w.digest {
		fn(e)
	}
}

// offerQueued places flows again that were taken from the queue of a draining agent: it
// offers them to other hosts or, if none is reachable, refuses them.
func (c *call) offerQueued(queued []*waitingPacket) {
	for _, w := range queued {
		c.withQueued(w, func(e *entry) { c.acceptOrOffer(e, &w.header, &w.packet) })
	}
}

// withQueued calls fn with the shard of a queued flow locked, if the flow is still
// queued. It reports whether it is.
func (c *call) withQueued(w *waitingPacket, fn func(e *entry)) bool {
	s := c.owner.flows.shard(w.packet.Hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(w.packet.Hash, &w.packet.Key)
	if e == nil || e.state != stateQueued || e.digests[0] != w.digest {
		return false
	}
	fn(e)
	return true
}

// startQueued accepts queued flows as long as there is free capacity. The caller must
// not hold a lock.
func (c *call) startQueued() {
	for c.capacityFreed {
		w := c.owner.admission.dequeue(c.now)
		if w == nil {
			c.capacityFreed = false
			return
		}
		if !c.withQueued(w, func(e *entry) { c.accept(e, &w.header, &w.packet, w) }) {
			c.owner.admission.release(c.now, c.owner.admission.limitsBySlots)
		}
	}
}
