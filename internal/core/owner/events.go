package owner

import (
	"net/netip"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// specReceived takes a table spec, and the reports that came before the first one.
func (c *call) specReceived(spec *controlpb.TableSpec) {
	if !c.applySpec(spec) {
		return
	}
	for _, r := range c.owner.admission.takeDeferred() {
		c.reportReceived(r.Peer, r.Report)
	}
}

// applySpec takes a table spec that is newer than the present one. It reports
// whether it is the first.
func (c *call) applySpec(spec *controlpb.TableSpec) (first bool) {
	o := c.owner
	o.specMu.Lock()
	defer o.specMu.Unlock()
	v, err := newView(spec)
	old := o.view.Load()
	if err != nil || !v.newer(old) {
		return false
	}
	if old == nil {
		o.restarted.Store(c.listedBefore(spec))
		o.recoveryEnds = nanoseconds(max(c.now, o.started), recoveryLimit)
	}
	v.settles = nanoseconds(c.now, settleTime)
	o.view.Store(v)
	c.view = v
	o.peers.beginTransfer(c.peersOf(spec), c.now)
	o.acknowledged = false
	if old != nil && old.table.ServiceID() != v.table.ServiceID() {
		c.clear()
	}
	if old != nil {
		c.rereport(old.table)
	}
	m := v.table.Member(o.self)
	c.offerQueued(o.admission.listed(m))
	c.offerPending()
	c.emit(&TableAck{Version: v.table.Version()})
	return old == nil
}

// listedBefore reports whether a spec lists an earlier process of this agent.
func (c *call) listedBefore(spec *controlpb.TableSpec) bool {
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

// peersOf returns the other agents of all retained versions.
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

// clear forgets all flows, because the agent now serves another service.
func (c *call) clear() {
	for i := range c.owner.flows.shards {
		s := &c.owner.flows.shards[i]
		s.mu.Lock()
		s.each(func(e *entry) {
			switch e.state {
			case stateOwned:
				c.closeFlow(e)
			case statePending:
				c.yield(e)
			}
			s.remove(e)
		})
		s.mu.Unlock()
	}
}

// acknowledge confirms the present version once its entries are transferred.
func (c *call) acknowledge() {
	o := c.owner
	if c.view == nil || o.recovering.Load() {
		return
	}
	o.specMu.Lock()
	defer o.specMu.Unlock()
	if o.acknowledged || o.view.Load() != c.view || !o.peers.transferred(c.now) {
		return
	}
	o.acknowledged = true
	c.emit(&TableAck{Version: c.view.table.Version(), Transferred: true})
}

// reportAcked delivers the flows that the confirmed report was about.
func (c *call) reportAcked(from netip.AddrPort, sequence uint64) {
	if c.view == nil {
		return
	}
	c.owner.peers.confirm(from, sequence)
	for _, w := range c.owner.admission.confirm(from, sequence) {
		c.withPending(w, func(e *entry) { c.begin(e, &w.header, &w.packet) })
	}
	c.acknowledge()
}

func (c *call) answerSeen(key flow.Key) {
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
		e.expires = nanoseconds(c.now, c.view.idle())
	}
	if e.has(flagBusy) {
		e.flags &^= flagBusy
		c.owner.admission.answered(c.now)
		c.freed = true
	}
}

func (c *call) portBound(key flow.Key, port uint16) {
	hash := key.Hash()
	s := c.owner.flows.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(hash, &key)
	switch {
	case e != nil && e.state == statePending:
		c.pendingBound(e, port)
	case port == 0:
	case e == nil || e.state != stateOwned:
		// The flow went elsewhere while its socket was opened.
		c.emit(&CloseFlow{Key: key})
	case e.port != port:
		e.port = port
		c.owner.reportFlow(e)
	}
}

// pendingBound asks the witnesses of a flow whose local port is known now, or
// refuses the flow if it has no socket.
func (c *call) pendingBound(e *entry, port uint16) {
	if port == 0 {
		if w := c.owner.admission.cancel(e.key); w != nil {
			c.closeFlow(e)
			c.refuse(e, &w.header, &w.packet, flow.ReasonFull)
		}
		return
	}
	e.port = port
	c.owner.admission.bind(e.key, port)
	c.askAgain(func(w *waiting, _ ask) bool { return w.packet.Key == e.key })
}

// drainChanged offers the flows that wait for a slot or a witness to other hosts,
// since a draining agent starts no new work.
func (c *call) drainChanged(on bool) {
	c.offerQueued(c.owner.admission.drain(on))
	c.offerPending()
}

func (c *call) offerPending() {
	if !c.owner.admission.isDraining() {
		return
	}
	for _, w := range c.owner.admission.takePending(func(*waiting) bool { return true }) {
		c.withPending(w, func(e *entry) {
			asked := w.witnesses
			c.closeFlow(e)
			c.place(e, &w.header, &w.packet)
			c.tellWitnesses(e, asked)
		})
	}
}

// withPending calls do for a flow that waited for its witness, whose shard it locks.
func (c *call) withPending(w *waiting, do func(e *entry)) {
	s := c.owner.flows.shard(w.packet.Hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(w.packet.Hash, &w.packet.Key)
	if e != nil && e.state == statePending && e.tokens[0] == w.token {
		do(e)
	}
}

func (c *call) offerQueued(queued []*waiting) {
	for _, w := range queued {
		c.withQueued(w, func(e *entry) { c.place(e, &w.header, &w.packet) })
	}
}

// withQueued calls do for a queued flow whose shard it locks, and reports whether
// the flow still waits.
func (c *call) withQueued(w *waiting, do func(e *entry)) bool {
	s := c.owner.flows.shard(w.packet.Hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(w.packet.Hash, &w.packet.Key)
	if e == nil || e.state != stateQueued || e.tokens[0] != w.token {
		return false
	}
	do(e)
	return true
}

// startQueued takes queued flows into slots that became free. No lock is held.
func (c *call) startQueued() {
	for c.freed {
		w := c.owner.admission.next(c.now)
		if w == nil {
			c.freed = false
			return
		}
		if !c.withQueued(w, func(e *entry) { c.take(e, &w.header, &w.packet, w) }) {
			c.owner.admission.release(c.now, c.owner.admission.countsSlots)
		}
	}
}
