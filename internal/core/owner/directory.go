package owner

import (
	"net/netip"
	"slices"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
	"agateramp/internal/core/table"
)

// minWitnesses is how many hosts besides the owner must have the entry of a
// non-idempotent flow before it runs, if there are that many, so that two hosts may fail
// at once. With one witness, late copies of a first packet ran again when the owner and
// its witness failed within 100 ms.
const minWitnesses = 2

// maxReportEntries limits the entries of a report: an entry takes up to 120 bytes, a
// frame up to 1 MB.
const maxReportEntries = 4096

// reportFlow enqueues a report of an entry to the directory hosts of its flow. The shard
// of the entry is locked. The view is loaded anew, since the scan of the entries for a
// newer table version may already have passed this shard.
func (o *Owner) reportFlow(e *entry) {
	t := o.view.Load().table
	var buffer [2*flow.MaxPathLen + 1]netip.AddrPort
	hosts := t.AppendDirectoryAddresses(buffer[:0], e.hash)
	for _, a := range hosts {
		if a != o.self && !o.peers.connected(a) {
			// The copy of this host is missing until it reconnects or the next version
			// replaces it, so another host gets one.
			hosts = o.appendSuccessor(hosts, t, e.hash, o.self)
			break
		}
	}
	o.peers.enqueue(flowRef{key: e.key, hash: e.hash}, o.self, hosts)
}

// sendReports sends the enqueued entries to the peer at address, or to all peers if
// address is the zero value.
func (c *call) sendReports(address netip.AddrPort) {
	for _, b := range c.owner.peers.takeBatches(address) {
		for i := range b.reportCount() {
			refs := b.refs[min(i*maxReportEntries, len(b.refs)):min((i+1)*maxReportEntries, len(b.refs))]
			r := &controlpb.FlowReport{
				Sequence: b.firstSequence + uint64(i),
				Entries:  make([]*controlpb.FlowEntry, 0, len(refs)),
				Complete: b.full && i == b.reportCount()-1,
				Version:  c.view.table.Version(),
			}
			for _, f := range refs {
				if m := c.entryMessageFor(f); m != nil {
					r.Entries = append(r.Entries, m)
				}
			}
			c.emit(&Report{To: b.to, Report: r})
		}
	}
}

// entryMessageFor returns the current directory entry of a flow, or nil if the flow has not
// been decided on. A flow without an entry is reported as ended.
func (c *call) entryMessageFor(f flowRef) *controlpb.FlowEntry {
	s := c.owner.flows.shard(f.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(f.hash, &f.key)
	if e != nil && e.state == stateDelegated && e.digests[1] != 0 {
		// The key was reused, and the new flow went to another host.
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

// entryMessage returns the directory entry of e as a message. Its owner is this agent
// unless e is a directory entry.
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

// witnesses returns the peers that must confirm a non-idempotent flow: its whole
// directory, and at least minWitnesses if there are that many. A single directory host
// may have joined the directory of the flow only recently, and so lack the entry of an
// owner that ran the same work and has failed since. Unreachable peers are replaced by
// the next members in rendezvous order. If there is no other host, alone is true.
func (c *call) witnesses(hash uint64) (peers []netip.AddrPort, alone bool) {
	t := c.view.table
	skip := func(a netip.AddrPort) bool {
		return a == c.owner.self || slices.Contains(peers, a) || c.owner.peers.unreachable(a, c.now)
	}
	for _, a := range t.AppendDirectoryAddresses(nil, hash) {
		if !skip(a) {
			peers = append(peers, a)
		}
	}
	for len(peers) < minWitnesses {
		m := t.NextMember(hash, skip)
		if m == nil {
			break
		}
		peers = append(peers, m.Address)
	}
	if len(peers) > 0 {
		return peers, false
	}
	// That all other hosts are unreachable does not make the flow safe to run without a
	// witness.
	for i := range t.Members() {
		if t.Members()[i].Address != c.owner.self {
			return []netip.AddrPort{t.Members()[i].Address}, false
		}
	}
	return nil, true
}

// witnessDeadline returns the time until which the witnesses of a flow may confirm it.
// While the agent of a witness restarts, flows wait for it instead of being refused.
func (c *call) witnessDeadline(witnesses []netip.AddrPort) (deadline int64) {
	deadline = c.now
	for _, a := range witnesses {
		deadline = max(deadline, c.owner.peers.reachabilityKnownBy(a, c.now))
	}
	return deadlineAfter(deadline, witnessTimeout)
}

// sendWitnessRequests reports a flow to its witnesses at once. A witness without a
// stream gets the report when it reconnects.
func (c *call) sendWitnessRequests(w *waitingPacket) {
	for i := range w.unconfirmed {
		req := &w.unconfirmed[i]
		sequence, ok := c.owner.peers.nextSequence(req.witness)
		if !ok {
			continue
		}
		req.sequence = sequence
		c.emitWitnessRequest(w, *req)
	}
}

// retryWitnessRequests repeats the unconfirmed requests to witnesses for which match
// reports true.
func (c *call) retryWitnessRequests(match func(w *waitingPacket, req witnessRequest) bool) {
	retries := c.owner.admission.requestsToRetry(&c.owner.peers, match)
	for i := range retries {
		c.emitWitnessRequest(&retries[i], retries[i].unconfirmed[0])
	}
}

// withdrawFromWitnesses reports to the witnesses of a flow that this agent gave the flow
// to another host or refused it. Otherwise they would contradict its next owner, and
// report the flow to this agent after a restart.
func (c *call) withdrawFromWitnesses(e *entry, witnesses []netip.AddrPort) {
	if e.state != stateDelegated && e.state != stateRefused {
		return
	}
	m := c.entryMessage(e)
	if e.state == stateDelegated {
		// A report that the earlier flows on the key ended, without the digest of this
		// one, withdraws it.
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

// emitWitnessRequest sends a request to a witness: a report without a table version.
func (c *call) emitWitnessRequest(w *waitingPacket, req witnessRequest) {
	c.emit(&Report{To: req.witness, Report: &controlpb.FlowReport{
		Sequence: req.sequence,
		Entries: []*controlpb.FlowEntry{{
			Key:          encodeKey(w.packet.Key),
			Owner:        encodeAddress(c.owner.self),
			LocalPort:    uint32(w.localPort),
			FirstPackets: w.digests.list(),
		}},
	}})
}

// reportReceived applies the directory entries that a peer reported. It responds with
// entries that correct stale ones and, to a witness request, with those that contradict
// it. A contradicted witness request is not confirmed.
func (c *call) reportReceived(from netip.AddrPort, r *controlpb.FlowReport) {
	if c.view == nil || r.GetVersion() == 0 && c.owner.recovering.Load() {
		// Without a table, entries cannot be applied. During recovery, an agent that lost
		// its directory cannot tell new work from a copy, so it must not act as a witness.
		c.owner.admission.deferReport(from, r)
		return
	}
	recovering := c.owner.recovering.Load() || !c.owner.peers.hasSentFullReport(from)
	confirmed := true
	var contradicting, corrections []*controlpb.FlowEntry
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
				corrections = append(corrections, response)
			}
			continue
		}
		if response := c.recordRemote(reportSource{peer: from, version: r.GetVersion()}, key, owner, m); response != nil {
			contradicting = append(contradicting, response)
			confirmed = r.GetVersion() != 0
		}
	}
	if r.GetVersion() != 0 {
		// Two agents that contradicted the responses of each other would never stop.
		contradicting = nil
	}
	if responses := append(contradicting, corrections...); len(responses) > 0 {
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

// reportSource is the peer that reported an entry, and the table version of that peer.
type reportSource struct {
	peer    netip.AddrPort
	version uint64
}

// recordRemote records that another host has a flow. It returns the entry that
// contradicts this, or nil.
func (c *call) recordRemote(
	from reportSource, key flow.Key, owner netip.AddrPort, m *controlpb.FlowEntry,
) *controlpb.FlowEntry {
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
		sameOwner := recorded == owner
		if ended && !sameOwner {
			return nil
		}
		if sameOwner && m.GetEnded() && !e.has(flagRemoteEnded) &&
			reported[0] != e.digests[0] && !reported.isEarlier(e.digests[0]) {
			// The owner gave the flow to another host before it ran.
			e.digests = digests{}
			if reported[0] == 0 {
				s.remove(e)
				return nil
			}
		}
		if sameOwner && from.peer != owner {
			return nil
		}
		if !sameOwner && !c.view.idempotent && reported[0] != 0 && reported[0] == e.digests[0] ||
			e.digests.isEarlier(reported[0]) {
			return c.entryMessage(e)
		}
	case e.state == statePending || e.state == stateQueued:
		if ended && reported[0] != e.digests[0] && !reported.isEarlier(e.digests[0]) {
			return nil
		}
		if e.digests.isEarlier(reported[0]) || e.stage == flow.StageOffer && c.owner.hosts.address(e.host) == owner {
			// The report is of an earlier flow on the key, or older than the offer by
			// which the owner gave the flow to this agent. If another peer sent the report,
			// the second case looks like a flow that ran at the owner, so the flow must not
			// be refused as not run.
			if from.peer != owner {
				c.owner.admission.markContradicted(key, from.peer)
			}
			return c.entryMessage(e)
		}
		// Nothing was delivered here, so the flow can be left to the other host.
		c.releasePending(e)
	case e.state == stateOwned || e.state == stateEnded || e.state == stateRefused:
		later := reported.isEarlier(e.digests[0])
		if ended || reported[0] == 0 || reported[0] == e.digests[0] ||
			e.state == stateOwned && c.view.idempotent && !later {
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
	inDirectory := from.version > c.view.table.Version() || directoryContains(c.view.table, hash, c.owner.self)
	if e.expires == 0 && (from.peer != owner || !inDirectory) {
		// The owner will not report the end of the flow to this agent.
		e.expires = deadlineAfter(c.now, relayedEntryTTL)
	}
	return nil
}

// contradictingEntry returns the entry of a flow of this agent that was reported to belong
// to another host, or nil if that is no contradiction: the report is of an ended flow, or
// the service is idempotent.
func (c *call) contradictingEntry(e *entry, ended bool) *controlpb.FlowEntry {
	if ended || c.view.idempotent {
		return nil
	}
	return c.entryMessage(e)
}

// setRemote turns an entry into the directory entry of another host's flow.
func (c *call) setRemote(e *entry, owner netip.AddrPort, m *controlpb.FlowEntry, reported digests) {
	old := e.digests
	if e.state == stateDelegated && old[0] != reported[0] {
		// The delegated flow may be the next one on the key rather than an earlier one.
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

// releasePending gives up a pending flow, which was not delivered, so that copies of its
// first packet can follow another host. Other entries are left as they are.
func (c *call) releasePending(e *entry) {
	if e.state != statePending {
		return
	}
	c.owner.admission.takePendingFlow(e.key)
	c.closeFlow(e)
}

// digestsOf returns the digests of a reported entry.
func digestsOf(m *controlpb.FlowEntry) (d digests) {
	copy(d[:], m.GetFirstPackets())
	return d
}

// directoryContains reports whether the agent at address is in the directory of a flow.
func directoryContains(t *table.Table, hash uint64, address netip.AddrPort) bool {
	var buffer [2 * flow.MaxPathLen]netip.AddrPort
	for _, a := range t.AppendDirectoryAddresses(buffer[:0], hash) {
		if a == address {
			return true
		}
	}
	return false
}
