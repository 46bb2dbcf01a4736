package owner

import (
	"net/netip"
	"slices"

	"agateramp/internal/core/flow"
	"agateramp/internal/core/table"
)

// eachReport calls visit for every entry that peers are told of, with its owner.
func (c *call) eachReport(visit func(e *entry, owner netip.AddrPort)) {
	o := c.owner
	for i := range o.flows.shards {
		s := &o.flows.shards[i]
		s.mu.Lock()
		s.each(func(e *entry) {
			switch {
			case e.own():
				visit(e, o.self)
			case e.state == stateRemote:
				visit(e, o.hosts.address(e.host))
			}
		})
		s.mu.Unlock()
	}
}

func (c *call) tell(e *entry, to ...netip.AddrPort) {
	c.owner.peers.enqueue(ref{key: e.key, hash: e.hash}, c.owner.self, to)
}

// peerConnected sends a full report over a new stream: the flows of this agent
// whose directory names the peer, the entries that name it as the owner, and the
// entries for its directory whose owner cannot send them.
func (c *call) peerConnected(address netip.AddrPort) {
	o := c.owner
	o.peers.connect(address, c.now)
	if c.view == nil {
		o.peers.scanned(address)
		return
	}
	c.eachReport(func(e *entry, owner netip.AddrPort) {
		reports := owner == o.self || !o.peers.connected(owner)
		if owner == address || reports && directed(c.view.table, e.hash, address) {
			c.tell(e, address)
		}
	})
	o.peers.scanned(address)
	c.flush(address)
	c.askAgain(func(_ *waiting, q ask) bool { return q.witness == address })
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
	c.eachReport(func(e *entry, owner netip.AddrPort) {
		switch owner {
		case address:
			c.tell(e, c.owner.appendHeir(c.view.table.AppendDirectory(buffer[:0], e.hash), c.view.table, e.hash, owner)...)
		case c.owner.self:
			if directed(c.view.table, e.hash, address) {
				c.tell(e, c.owner.appendHeir(buffer[:0], c.view.table, e.hash, owner)...)
			}
		}
	})
	c.flush(netip.AddrPort{})
}

// stopping hands over all entries. Each goes to one more host, so that it survives
// when the agents that hold it stop at the same time. The agent takes no new flow,
// since it would end unreported; flows that wait for their witnesses still begin.
func (c *call) stopping() {
	c.offerQueued(c.owner.admission.stop())
	if c.view == nil {
		return
	}
	var buffer [1]netip.AddrPort
	c.eachReport(func(e *entry, owner netip.AddrPort) {
		c.tell(e, c.owner.appendHeir(buffer[:0], c.view.table, e.hash, owner)...)
	})
	c.flush(netip.AddrPort{})
}

// appendHeir appends the next member in rendezvous order after the choices of the
// newest table, if one can be reached.
func (o *Owner) appendHeir(to []netip.AddrPort, t *table.Table, hash uint64, owner netip.AddrPort) []netip.AddrPort {
	r := t.Route(hash)
	heir := t.Next(hash, func(a netip.AddrPort) bool {
		return a == o.self || a == owner || a == r.SecondChoice ||
			len(r.Hops) > 0 && a == r.Hops[0].Address || !o.peers.connected(a)
	})
	if heir == nil {
		return to
	}
	return append(to, heir.Address)
}

// rereport reports to the hosts that a new table adds to a directory: the flows of
// this agent, and the entries whose owner cannot report them itself.
func (c *call) rereport(old *table.Table) {
	var before, after [2 * flow.MaxPath]netip.AddrPort
	c.eachReport(func(e *entry, owner netip.AddrPort) {
		if owner != c.owner.self && c.owner.peers.connected(owner) {
			return
		}
		known := old.AppendDirectory(before[:0], e.hash)
		added := slices.DeleteFunc(c.view.table.AppendDirectory(after[:0], e.hash), func(a netip.AddrPort) bool {
			return slices.Contains(known, a)
		})
		c.tell(e, added...)
	})
}
