package owner

import (
	"net/netip"
	"slices"

	"agateramp/internal/core/flow"
	"agateramp/internal/core/table"
)

// forEachReported calls visit for every entry that is reported to peers, with the address
// of its owner. The shard of the entry is locked.
func (c *call) forEachReported(visit func(e *entry, owner netip.AddrPort)) {
	o := c.owner
	for i := range o.flows.shards {
		s := &o.flows.shards[i]
		s.mu.Lock()
		s.forEach(func(e *entry) {
			switch {
			case e.ownFlow():
				visit(e, o.self)
			case e.state == stateRemote:
				visit(e, o.hosts.address(e.host))
			}
		})
		s.mu.Unlock()
	}
}

// enqueueReport enqueues a report of an entry to the given agents.
func (c *call) enqueueReport(e *entry, to ...netip.AddrPort) {
	c.owner.peers.enqueue(flowRef{key: e.key, hash: e.hash}, c.owner.self, to)
}

// peerConnected sends a full report over a new stream: the flows of this agent that have
// the peer in their directory, the directory entries that name the peer as the owner, and
// those of other flows that have the peer in their directory and whose owner is not
// connected.
func (c *call) peerConnected(address netip.AddrPort) {
	o := c.owner
	o.peers.connect(address, c.now)
	if c.view == nil {
		o.peers.endScan(address)
		return
	}
	c.forEachReported(func(e *entry, owner netip.AddrPort) {
		canReport := owner == o.self || !o.peers.connected(owner)
		if owner == address || canReport && directoryContains(c.view.table, e.hash, address) {
			c.enqueueReport(e, address)
		}
	})
	o.peers.endScan(address)
	c.sendReports(address)
	c.retryWitnessRequests(func(_ *waitingPacket, req witnessRequest) bool { return req.witness == address })
}

// peerDisconnected replaces the copies of entries that a peer held, since it may have
// failed. One more host gets the flows of this agent that have the peer in their directory.
// The entries of the peer's own flows, which their owner no longer reports, go to their
// directory and one more host.
func (c *call) peerDisconnected(address netip.AddrPort) {
	c.owner.peers.disconnect(address, c.now)
	if c.view == nil {
		return
	}
	var buffer [2*flow.MaxPathLen + 1]netip.AddrPort
	c.forEachReported(func(e *entry, owner netip.AddrPort) {
		switch owner {
		case address:
			c.enqueueReport(e, c.owner.appendSuccessor(
				c.view.table.AppendDirectoryAddresses(buffer[:0], e.hash), c.view.table, e.hash, owner)...)
		case c.owner.self:
			if directoryContains(c.view.table, e.hash, address) {
				c.enqueueReport(e, c.owner.appendSuccessor(buffer[:0], c.view.table, e.hash, owner)...)
			}
		}
	})
	c.sendReports(netip.AddrPort{})
}

// stopping reports each entry to one more host, so that the entry survives if all agents
// that hold it stop at the same time. The agent accepts no new flow, since the flow could
// not be reported any more. Flows that wait for their witnesses are still started.
func (c *call) stopping() {
	c.offerQueued(c.owner.admission.setStopping())
	if c.view == nil {
		return
	}
	var buffer [1]netip.AddrPort
	c.forEachReported(func(e *entry, owner netip.AddrPort) {
		c.enqueueReport(e, c.owner.appendSuccessor(buffer[:0], c.view.table, e.hash, owner)...)
	})
	c.sendReports(netip.AddrPort{})
}

// appendSuccessor appends the address of the next connected member in rendezvous order
// after the choices of the newest version, if there is one. The owner and this agent are
// skipped.
func (o *Owner) appendSuccessor(
	to []netip.AddrPort, t *table.Table, hash uint64, owner netip.AddrPort,
) []netip.AddrPort {
	r := t.Route(hash)
	successor := t.NextMember(hash, func(a netip.AddrPort) bool {
		return a == o.self || a == owner || a == r.SecondChoice ||
			len(r.Hops) > 0 && a == r.Hops[0].Address || !o.peers.connected(a)
	})
	if successor == nil {
		return to
	}
	return append(to, successor.Address)
}

// reportToAdded reports entries to the hosts that a new table adds to their directories:
// the flows of this agent, and the entries whose owner is not connected.
func (c *call) reportToAdded(old *table.Table) {
	var oldBuffer, newBuffer [2 * flow.MaxPathLen]netip.AddrPort
	c.forEachReported(func(e *entry, owner netip.AddrPort) {
		if owner != c.owner.self && c.owner.peers.connected(owner) {
			return
		}
		previous := old.AppendDirectoryAddresses(oldBuffer[:0], e.hash)
		added := slices.DeleteFunc(c.view.table.AppendDirectoryAddresses(newBuffer[:0], e.hash), func(a netip.AddrPort) bool {
			return slices.Contains(previous, a)
		})
		c.enqueueReport(e, added...)
	})
}
