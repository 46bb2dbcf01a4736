package owner

import (
	"net/netip"
	"slices"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
	"agateramp/internal/core/table"
)

// minWitnesses is how many hosts beside the owner know a non-idempotent flow before
// it runs, so that two hosts may fail at once. With one, late copies ran again when
// the owner and its witness failed within 100 ms.
const minWitnesses = 2

// maxEntries bounds a report; an entry takes up to 120 bytes of a frame of 1 MB.
const maxEntries = 4096

// reportFlow has the directory hosts of a flow told what this agent knows of it.
// The shard of the entry is locked. The view is read here, since the scan for a
// new table version may have passed this shard already.
func (o *Owner) reportFlow(e *entry) {
	t := o.view.Load().table
	var buffer [2*flow.MaxPath + 1]netip.AddrPort
	hosts := t.AppendDirectory(buffer[:0], e.hash)
	for _, a := range hosts {
		if a != o.self && !o.peers.connected(a) {
			// Its copy is missing until it returns or the next version replaces it.
			hosts = o.appendSuccessor(hosts, t, e.hash, o.self)
			break
		}
	}
	o.peers.enqueue(flowRef{key: e.key, hash: e.hash}, o.self, hosts)
}

// flush sends the entries that are due to the peer at address, or to all peers
// when it is not valid.
func (c *call) sendReports(address netip.AddrPort) {
	for _, b := range c.owner.peers.takeBatches(address) {
		for i := range b.reportCount() {
			refs := b.refs[min(i*maxEntries, len(b.refs)):min((i+1)*maxEntries, len(b.refs))]
			r := &controlpb.FlowReport{
				Sequence: b.firstSequence + uint64(i),
				Entries:  make([]*controlpb.FlowEntry, 0, len(refs)),
				Complete: b.full && i == b.reportCount()-1,
				Version:  c.view.table.Version(),
			}
			for _, f := range refs {
				if m := c.reportEntry(f); m != nil {
					r.Entries = append(r.Entries, m)
				}
			}
			c.emit(&Report{To: b.to, Report: r})
		}
	}
}

// describe returns the directory entry of a flow as it is now, or nil when the
// flow is not decided.
func (c *call) reportEntry(f flowRef) *controlpb.FlowEntry {
	s := c.owner.flows.shard(f.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(f.hash, &f.key)
	if e != nil && e.state == stateDelegated && e.digests[1] != 0 {
		// The key was used again, and the new flow went elsewhere.
		m := c.entryMessage(e)
		m.Ended, m.FirstPackets = true, m.FirstPackets[1:]
		return m
	}
	if e != nil && !e.ownFlow() && e.state != stateRemote {
		return nil
	}
	if e == nil {
		return &controlpb.FlowEntry{Key: encodeKey(f.key), Owner: encodeAddress(c.owner.self), Ended: true}
	}
	return c.entryMessage(e)
}

func (c *call) entryMessage(e *entry) *controlpb.FlowEntry {
	m := &controlpb.FlowEntry{
		Key:       encodeKey(e.key),
		Owner:     encodeAddress(c.owner.self),
		LocalPort: uint32(e.localPort),
		Ended:     e.state == stateEnded || e.has(flagRemoteEnded) && e.state == stateRemote,
		Refused:   e.state == stateRefused || e.has(flagRemoteRefused) && e.state == stateRemote,
	}
	if e.state == stateRemote {
		m.Owner = encodeAddress(c.owner.hosts.address(e.host))
	}
	m.FirstPackets = e.digests.list()
	return m
}

// witnesses returns the peers that must confirm a non-idempotent flow: all that
// its directory consists of, and at least minWitnesses. One of them alone may be new
// to the flow's bucket and not know that an owner that is dead by now ran the same
// work. Peers without a stream for a second are passed over for the next members in
// rendezvous order. It reports alone when there is no other host.
func (c *call) witnesses(hash uint64) (peers []netip.AddrPort, alone bool) {
	t := c.view.table
	skipped := func(a netip.AddrPort) bool {
		return a == c.owner.self || slices.Contains(peers, a) || c.owner.peers.unreachable(a, c.now)
	}
	for _, a := range t.AppendDirectory(nil, hash) {
		if !skipped(a) {
			peers = append(peers, a)
		}
	}
	for len(peers) < minWitnesses {
		m := t.Next(hash, skipped)
		if m == nil {
			break
		}
		peers = append(peers, m.Address)
	}
	if len(peers) > 0 {
		return peers, false
	}
	// That all others are unreachable does not make the flow safe to run.
	for i := range t.Members() {
		if t.Members()[i].Address != c.owner.self {
			return []netip.AddrPort{t.Members()[i].Address}, false
		}
	}
	return nil, true
}

// witnessTime returns until when the witnesses of a flow may confirm it. While an
// agent restarts, flows wait for it instead of being refused.
func (c *call) witnessDeadline(witnesses []netip.AddrPort) (deadline int64) {
	deadline = c.now
	for _, a := range witnesses {
		deadline = max(deadline, c.owner.peers.reachabilityKnownBy(a, c.now))
	}
	return deadlineAfter(deadline, witnessTimeout)
}

// askWitnesses reports a flow to its witnesses at once. A witness without a stream
// gets the report when there is one.
func (c *call) sendWitnessRequests(w *waitingPacket) {
	for i := range w.unconfirmed {
		q := &w.unconfirmed[i]
		sequence, ok := c.owner.peers.nextSequence(q.witness)
		if !ok {
			continue
		}
		q.sequence = sequence
		c.emitWitnessRequest(w, *q)
	}
}

// askAgain repeats requests to witnesses that were not confirmed.
func (c *call) retryWitnessRequests(match func(w *waitingPacket, q witnessRequest) bool) {
	again := c.owner.admission.requestsToRetry(&c.owner.peers, match)
	for i := range again {
		c.emitWitnessRequest(&again[i], again[i].unconfirmed[0])
	}
}

// tellWitnesses tells the witnesses of a flow that this agent gave it away or
// refused it; otherwise they would speak against its next owner, and tell this
// agent after a restart that it had the flow.
func (c *call) withdrawFromWitnesses(e *entry, witnesses []netip.AddrPort) {
	if e.state != stateDelegated && e.state != stateRefused {
		return
	}
	m := c.entryMessage(e)
	if e.state == stateDelegated {
		// The end of the earlier flows, without the token of this one, withdraws it.
		m.Owner, m.Ended = encodeAddress(c.owner.self), true
		m.FirstPackets = m.FirstPackets[1:]
	}
	for _, a := range witnesses {
		if sequence, ok := c.owner.peers.nextSequence(a); ok {
			c.emit(&Report{To: a, Report: &controlpb.FlowReport{
				Sequence: sequence, Entries: []*controlpb.FlowEntry{m}, Version: c.view.table.Version(),
			}})
		}
	}
}

func (c *call) emitWitnessRequest(w *waitingPacket, q witnessRequest) {
	c.emit(&Report{To: q.witness, Report: &controlpb.FlowReport{
		Sequence: q.sequence,
		Entries: []*controlpb.FlowEntry{{
			Key:          encodeKey(w.packet.Key),
			Owner:        encodeAddress(c.owner.self),
			LocalPort:    uint32(w.localPort),
			FirstPackets: w.digests.list(),
		}},
	}})
}

// reportReceived takes directory entries of a peer.
func (c *call) reportReceived(from netip.AddrPort, r *controlpb.FlowReport) {
	if c.view == nil || r.GetVersion() == 0 && c.owner.recovering.Load() {
		// Without a table there is no place for entries, and a witness that lost its
		// directory cannot tell new work from a copy.
		c.owner.admission.deferReport(from, r)
		return
	}
	recovering := c.owner.recovering.Load() || !c.owner.peers.hasSentFullReport(from)
	confirmed := true
	var contradicted, stale []*controlpb.FlowEntry
	for _, m := range r.GetEntries() {
		key, err := decodeKey(m.GetKey())
		if err != nil {
			continue
		}
		owner, err := decodeAddress(m.GetOwner())
		if err != nil {
			continue
		}
		if owner == c.owner.self {
			if response := c.recoverEntry(key, m, recovering); response != nil {
				stale = append(stale, response)
			}
			continue
		}
		if response := c.recordRemote(reportSource{peer: from, version: r.GetVersion()}, key, owner, m); response != nil {
			contradicted = append(contradicted, response)
			confirmed = r.GetVersion() != 0
		}
	}
	if r.GetVersion() != 0 {
		// Two agents that contradict each other's answers would go on forever.
		contradicted = nil
	}
	if responses := append(contradicted, stale...); len(responses) > 0 {
		if sequence, ok := c.owner.peers.nextSequence(from); ok {
			c.emit(&Report{To: from, Report: &controlpb.FlowReport{
				Sequence: sequence, Entries: responses, Version: c.view.table.Version(),
			}})
		}
	}
	if confirmed {
		c.emit(&ReportAck{To: from, Sequence: r.GetSequence()})
	}
	if r.GetComplete() {
		c.owner.peers.markFullReport(from, c.now)
		c.endRecoveryIfDone()
	}
}

// source is where an entry came from, and the table version of its sender.
type reportSource struct {
	peer    netip.AddrPort
	version uint64
}

// learn records that another host has a flow. It returns the entry that speaks
// against it, or nil.
func (c *call) recordRemote(from reportSource, key flow.Key, owner netip.AddrPort, m *controlpb.FlowEntry) *controlpb.FlowEntry {
	hash := key.Hash()
	s := c.owner.flows.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(hash, &key)
	if e != nil && e.expired(c.now) {
		e = c.expire(s, e)
	}
	reported := digestsOf(m)
	ended := m.GetEnded() || m.GetRefused()
	switch {
	case e == nil:
		if m.GetEnded() && reported[0] == 0 || !c.ensureRoom(s) {
			return nil
		}
		e = s.insert(hash, key)
	case e.state == stateRemote:
		recorded := c.owner.hosts.address(e.host)
		same := recorded == owner
		if ended && !same {
			return nil
		}
		if same && m.GetEnded() && !e.has(flagRemoteEnded) && reported[0] != e.digests[0] && !reported.isEarlier(e.digests[0]) {
			// The owner gave the flow away before it ran.
			e.digests = digests{}
			if reported[0] == 0 {
				s.remove(e)
				return nil
			}
		}
		if same && from.peer != owner {
			return nil
		}
		if !same && !c.view.idempotent && reported[0] != 0 && reported[0] == e.digests[0] ||
			e.digests.isEarlier(reported[0]) {
			return c.entryMessage(e)
		}
	case e.state == statePending || e.state == stateQueued:
		if ended && reported[0] != e.digests[0] && !reported.isEarlier(e.digests[0]) {
			return nil
		}
		if e.digests.isEarlier(reported[0]) || e.stage == flow.StageOffer && c.owner.hosts.address(e.host) == owner {
			// The report is of an earlier flow on the key, or older than the offer by
			// which its owner gave the flow away. From another peer the latter cannot be
			// told from a flow that ran there, so the caller must not be told that it
			// did not run.
			if from.peer != owner {
				c.owner.admission.markContradicted(key, from.peer)
			}
			return c.entryMessage(e)
		}
		// Nothing was delivered here, so this agent can give way to the other.
		c.releasePending(e)
	case e.state == stateOwned || e.state == stateEnded || e.state == stateRefused:
		later := reported.isEarlier(e.digests[0])
		if ended || reported[0] == 0 || reported[0] == e.digests[0] || e.state == stateOwned && c.view.idempotent && !later {
			return c.contradictingEntry(e, ended)
		}
		if e.digests.isEarlier(reported[0]) {
			return c.entryMessage(e)
		}
		if e.state == stateOwned {
			c.closeFlow(e)
		}
	}
	c.setRemote(e, owner, m, reported)
	listed := from.version > c.view.table.Version() || directoryContains(c.view.table, hash, c.owner.self)
	if e.expires == 0 && (from.peer != owner || !listed) {
		// The end of the flow is not reported to this agent.
		e.expires = deadlineAfter(c.now, relayedEntryTTL)
	}
	return nil
}

// contradiction returns the entry of a flow of this agent that another host
// reported as its own. Ends of flows contradict nothing.
func (c *call) contradictingEntry(e *entry, ended bool) *controlpb.FlowEntry {
	if ended || c.view.idempotent {
		return nil
	}
	return c.entryMessage(e)
}

// remote makes an entry the directory entry of another host's flow.
func (c *call) setRemote(e *entry, owner netip.AddrPort, m *controlpb.FlowEntry, reported digests) {
	old := e.digests
	if e.state == stateDelegated && old[0] != reported[0] {
		// The flow of a claim may be the next on the key rather than an earlier one.
		old[0] = 0
	}
	e.digests = reported.merge(old)
	e.state, e.flags, e.expires = stateRemote, 0, 0
	e.host, e.localPort = c.owner.hosts.intern(owner), uint16(m.GetLocalPort())
	c.owner.peers.ensure(owner, c.now)
	if m.GetEnded() {
		e.flags |= flagRemoteEnded
	}
	if m.GetRefused() {
		e.flags |= flagRemoteRefused
	}
	if e.flags != 0 {
		e.expires = deadlineAfter(c.now, endedRemoteTTL)
	}
}

// yield gives up a flow that was not delivered; its copies follow the other host.
func (c *call) releasePending(e *entry) {
	if e.state != statePending {
		return
	}
	c.owner.admission.takePendingFlow(e.key)
	c.closeFlow(e)
}

func digestsOf(m *controlpb.FlowEntry) (t digests) {
	copy(t[:], m.GetFirstPackets())
	return t
}

// directed reports whether the table names an address in the directory of a flow.
func directoryContains(t *table.Table, hash uint64, address netip.AddrPort) bool {
	var buffer [2 * flow.MaxPath]netip.AddrPort
	for _, a := range t.AppendDirectory(buffer[:0], hash) {
		if a == address {
			return true
		}
	}
	return false
}
