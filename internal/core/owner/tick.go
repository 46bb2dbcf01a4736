package owner

import (
	"net/netip"
	"slices"

	"agateramp/internal/core/flow"
)

// tick makes expired deadlines take effect, sweeps one shard and sends the enqueued
// reports.
func (c *call) tick() {
	if c.view == nil {
		return
	}
	if last := c.owner.lastTick.Swap(c.now); last != 0 && c.now-last > int64(pauseThreshold) {
		c.dropUndecided()
	}
	c.endRecoveryIfDone()
	for _, w := range c.owner.admission.takeExpired(c.now) {
		c.withQueued(w, func(e *entry) { c.refuse(e, &w.header, &w.packet, flow.ReasonFull) })
	}
	for _, w := range c.owner.admission.takePending(func(w *waitingPacket) bool { return w.deadline <= c.now }) {
		c.withPending(w, func(e *entry) { c.handleWitnessTimeout(e, w) })
	}
	// A witness may have contradicted a flow before it received the report by which the
	// previous owner gave up the flow, so unconfirmed requests are repeated.
	c.retryWitnessRequests(func(w *waitingPacket, _ witnessRequest) bool {
		return w.deadline-c.now < int64(witnessTimeout-witnessRetryInterval)
	})
	n := c.owner.nextSweep.Add(1)
	c.sweep(&c.owner.flows.shards[n%shardCount])
	c.sendReports(netip.AddrPort{})
	c.acknowledgeTable()
	c.capacityFreed = true
}

// dropUndecided drops the queued and pending flows after a pause of the process. Other
// hosts may have accepted copies of their first packets meanwhile, so a refusal as not run
// could be false. A copy that arrives later is placed anew.
func (c *call) dropUndecided() {
	discard := func(w *waitingPacket, e *entry) {
		c.owner.flows.shard(w.packet.Hash).remove(e)
		c.drop(flow.ReasonStale)
	}
	for _, w := range c.owner.admission.takeQueued() {
		c.withQueued(w, func(e *entry) { discard(w, e) })
	}
	for _, w := range c.owner.admission.takePending(func(*waitingPacket) bool { return true }) {
		c.withPending(w, func(e *entry) {
			c.closeFlow(e)
			// The state makes withdrawFromWitnesses report the flow as given away.
			e.state = stateDelegated
			c.withdrawFromWitnesses(e, w.witnesses)
			discard(w, e)
		})
	}
}

// handleWitnessTimeout gives up a pending flow that its witnesses did not confirm in time,
// unless there are other witnesses by now. If a witness contradicted the flow, the work
// may have run at another host, so the flow is reset instead of refused.
func (c *call) handleWitnessTimeout(e *entry, w *waitingPacket) {
	contradicted := slices.ContainsFunc(w.unconfirmed, func(req witnessRequest) bool { return req.contradicted })
	if witnesses, _ := c.witnesses(w.packet.Hash); !contradicted && !slices.Equal(witnesses, w.witnesses) {
		// A witness has become unreachable, and the next member takes its place.
		c.requestWitnesses(w, witnesses)
		return
	}
	c.closeFlow(e)
	if !contradicted {
		c.refuse(e, &w.header, &w.packet, flow.ReasonNoWitness)
		return
	}
	e.state, e.flags, e.expires = stateEnded, 0, deadlineAfter(c.now, endedFlowTTL)
	c.emit(&Reset{Key: e.key, Reason: flow.ReasonNoWitness, ReturnAddress: w.header.ReturnAddress, Data: w.packet.Data})
}

// sweep ends the expired entries of a shard, and removes directory entries whose owner is
// gone.
func (c *call) sweep(s *shard) {
	o := c.owner
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forEach(func(e *entry) {
		switch {
		case e.expired(c.now):
			c.expire(s, e)
		case e.state == stateRemote && e.expires == 0:
			// A directory entry is kept for the idle timeout after its owner disconnected.
			if o.peers.unreachableSince(o.hosts.address(e.host), c.now-int64(c.view.idleTimeout())) {
				s.remove(e)
			}
		case e.has(flagRecovered|flagHoldsSlot) && e.state == stateOwned:
			c.releaseRecoveredSlot(e)
		}
	})
}

// releaseRecoveredSlot frees the slot of a recovered flow when recoveryTimeout and
// delegationTTL have passed since the start: its reply may have come before the restart.
func (c *call) releaseRecoveredSlot(e *entry) {
	if !e.has(flagHoldsSlot) || !e.has(flagRecovered) || c.now < c.owner.started+int64(recoveryTimeout+delegationTTL) {
		return
	}
	e.flags &^= flagHoldsSlot
	c.owner.admission.releaseSlot(c.now)
	c.capacityFreed = true
}
