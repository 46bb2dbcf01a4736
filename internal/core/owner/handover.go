package owner

import (
	"net/netip"
	"slices"

	"agateramp/internal/core/flow"
	"agateramp/internal/core/table"
)

// eachReport calls visit for every entry that peers are told of, with its owner.
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

func (c *call) enqueueReport(e *entry, to ...netip.AddrPort) {
	c.owner.peers.enqueue(flowRef{key: e.key, hash: e.hash}, c.owner.self, to)
}

// peerConnected sends a full report over a new stream: the flows of this agent
// whose directory names the peer, the entries that name it as the owner, and the
// entries for its directory whose owner cannot send them.
func (c *call) peerConnected(address netip.AddrPort) {
	o := c.owner
	o.peers.connect(address, c.now)
	if c.view == nil {
		o.peers.endScan(address)
		return
	}
	c.forEachReported(func(e *entry, owner netip.AddrPort) {
		reports := owner == o.self || !o.peers.connected(owner)
		if owner == address || reports && directoryContains(c.view.table, e.hash, address) {
			c.enqueueReport(e, address)
		}
	})
	o.peers.endScan(address)
	c.sendReports(address)
	c.retryWitnessRequests(func(_ *waitingPacket, q witnessRequest) bool { return q.witness == address })
}

// peerDisconnected makes up for the copies that a peer held, since it may be dead:
// one more host gets the flows of this agent that the peer was told of, and the
// entries of the peer's own flows, which nobody else reports from now on.
func (c *call) peerDisconnected(address netip.AddrPort) {
	c.owner.peers.disconnect(address, c.now)
	if c.view == nil {
		return
	}
	var buffer [2*flow.MaxPath + 1]netip.AddrPort
	c.forEachReported(func(e *entry, owner netip.AddrPort) {
		switch owner {
		case address:
			c.enqueueReport(e, c.owner.appendSuccessor(c.view.table.AppendDirectory(buffer[:0], e.hash), c.view.table, e.hash, owner)...)
		case c.owner.self:
			if directoryContains(c.view.table, e.hash, address) {
				c.enqueueReport(e, c.owner.appendSuccessor(buffer[:0], c.view.table, e.hash, owner)...)
			}
		}
	})
	c.sendReports(netip.AddrPort{})
}

// stopping hands over all entries. Each goes to one more host, so that it survives
// when the agents that hold it stop at the same time. The agent takes no new flow,
// since it would end unreported; flows that wait for their witnesses still begin.
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

// appendHeir appends the next member in rendezvous order after the choices of the
// newest table, if one can be reached.
func (o *Owner) appendSuccessor(to []netip.AddrPort, t *table.Table, hash uint64, owner netip.AddrPort) []netip.AddrPort {
	r := t.Route(hash)
	successor := t.Next(hash, func(a netip.AddrPort) bool {
		return a == o.self || a == owner || a == r.SecondChoice ||
			len(r.Hops) > 0 && a == r.Hops[0].Address || !o.peers.connected(a)
	})
	if successor == nil {
		return to
	}
	return append(to, successor.Address)
}

// rereport reports to the hosts that a new table adds to a directory: the flows of
// this agent, and the entries whose owner cannot report them itself.
func (c *call) reportToAdded(old *table.Table) {
	var oldBuffer, newBuffer [2 * flow.MaxPath]netip.AddrPort
	c.forEachReported(func(e *entry, owner netip.AddrPort) {
		if owner != c.owner.self && c.owner.peers.connected(owner) {
			return
		}
		previous := old.AppendDirectory(oldBuffer[:0], e.hash)
		added := slices.DeleteFunc(c.view.table.AppendDirectory(newBuffer[:0], e.hash), func(a netip.AddrPort) bool {
			return slices.Contains(previous, a)
		})
		c.enqueueReport(e, added...)
	})
}
