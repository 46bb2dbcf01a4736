package owner

import (
	"net/netip"
	"sync"

	"agateramp/internal/core/flow"
)

// flowRef identifies a flow whose entry is to be reported.
type flowRef struct {
	key  flow.Key
	hash uint64
}

// peer is the state of another agent of the service.
type peer struct {
	connected bool
	// changedAt is when connected last changed, in nanoseconds since 1970.
	changedAt int64
	// lastSequence is the sequence of the last report to the peer. It is never reset, so
	// that late confirmations are recognised.
	lastSequence uint64
	outbox       []flowRef
	// scanning is set while the entries of a full report are put into the outbox, and
	// fullQueued from then on until the outbox is sent.
	scanning, fullQueued bool
	// transferPending is set until the peer has confirmed the entries for the present table
	// version.
	transferPending bool
	// unconfirmed holds the sequences of the reports that the peer has not confirmed yet.
	unconfirmed map[uint64]struct{}
	// sentFullReport is set once the peer has sent its full report to this process.
	sentFullReport bool
}

// unreachable reports whether there has been no stream for reconnectGrace.
func (p *peer) unreachable(now int64) bool {
	return !p.connected && p.changedAt+int64(reconnectGrace) <= now
}

// allConfirmed reports whether the peer has confirmed all reports and none is waiting to
// be sent.
func (p *peer) allConfirmed() bool {
	return len(p.outbox) == 0 && !p.scanning && !p.fullQueued && len(p.unconfirmed) == 0
}

// peerSet holds the other agents of the service. Its mutex may be taken while the mutex
// of a shard is held, never the other way round.
type peerSet struct {
	mu        sync.Mutex
	byAddress map[netip.AddrPort]*peer
	// order holds the addresses of the peers in the order in which they were added.
	order []netip.AddrPort
}

// ensureLocked returns the peer at address. A new peer is added as not connected since
// now. The mutex is held.
func (s *peerSet) ensureLocked(address netip.AddrPort, now int64) *peer {
	p := s.byAddress[address]
	if p == nil {
		p = &peer{changedAt: now, unconfirmed: make(map[uint64]struct{})}
		s.byAddress[address] = p
		s.order = append(s.order, address)
	}
	return p
}

// ensure adds the owner of a flow as a peer if necessary. An owner that this agent knows
// only from reports of others, and that opens no stream, thus becomes unreachable.
func (s *peerSet) ensure(address netip.AddrPort, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ensureLocked(address, now)
}

// unreachable reports whether there has been no stream to an agent for reconnectGrace.
// An agent that is not a peer counts as reachable.
func (s *peerSet) unreachable(address netip.AddrPort, now int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byAddress[address]
	return p != nil && p.unreachable(now)
}

// reachabilityKnownBy returns the time by which it is known whether an agent can confirm
// a report: an agent with a broken stream reconnects or counts as unreachable after
// reconnectGrace, and an agent with a new stream may be recovering. For any other agent
// it returns now.
func (s *peerSet) reachabilityKnownBy(address netip.AddrPort, now int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byAddress[address]
	switch {
	case p == nil:
		return now
	case p.connected:
		return max(now, p.changedAt+int64(recoveryTimeout))
	default:
		return max(now, p.changedAt+int64(reconnectGrace))
	}
}

// connected reports whether there is a stream to an agent.
func (s *peerSet) connected(address netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byAddress[address]
	return p != nil && p.connected
}

// unreachableSince reports whether there has been no stream to an agent since a time, in
// nanoseconds since 1970. An agent that is not a peer counts as unreachable.
func (s *peerSet) unreachableSince(address netip.AddrPort, since int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byAddress[address]
	return p == nil || !p.connected && p.changedAt <= since
}

// connect records a new stream to an agent and begins a full report. The reports of an
// earlier stream are discarded.
func (s *peerSet) connect(address netip.AddrPort, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.ensureLocked(address, now)
	p.connected, p.changedAt = true, now
	p.outbox, p.scanning, p.fullQueued = nil, true, false
	clear(p.unconfirmed)
}

// endScan records that all entries of a full report are in the outbox. Nothing is sent
// before, since another goroutine could send its part after the end of the report.
func (s *peerSet) endScan(address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.byAddress[address]; p != nil && p.connected {
		p.scanning, p.fullQueued = false, true
	}
}

// disconnect records that the stream to an agent broke and discards its reports.
func (s *peerSet) disconnect(address netip.AddrPort, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.ensureLocked(address, now)
	if p.connected {
		p.connected, p.changedAt = false, now
	}
	p.outbox, p.scanning, p.fullQueued = nil, false, false
	clear(p.unconfirmed)
}

// enqueue adds a flow to the outboxes of the connected peers among addresses. The others
// get it in the full report over their next stream.
func (s *peerSet) enqueue(r flowRef, self netip.AddrPort, addresses []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addresses {
		if p := s.byAddress[a]; p != nil && p.connected && a != self {
			p.outbox = append(p.outbox, r)
		}
	}
}

// nextSequence returns the sequence of a new report to a peer, or false if there is no
// stream.
func (s *peerSet) nextSequence(address netip.AddrPort) (sequence uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byAddress[address]
	if p == nil || !p.connected {
		return 0, false
	}
	p.lastSequence++
	return p.lastSequence, true
}

// batch holds the flows to report to a peer at one time.
type batch struct {
	to   netip.AddrPort
	refs []flowRef
	full bool
	// firstSequence is the sequence of the first report of the batch.
	firstSequence uint64
}

// takeBatches empties the outbox of the peer at address, or of all peers if address is
// the zero value, and returns the contents. The reports count as unconfirmed from then on.
func (s *peerSet) takeBatches(address netip.AddrPort) (batches []batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.order {
		p := s.byAddress[a]
		if address.IsValid() && a != address || !p.connected || p.scanning || len(p.outbox) == 0 && !p.fullQueued {
			continue
		}
		b := batch{to: a, refs: p.outbox, full: p.fullQueued, firstSequence: p.lastSequence + 1}
		p.outbox, p.fullQueued = nil, false
		for range b.reportCount() {
			p.lastSequence++
			p.unconfirmed[p.lastSequence] = struct{}{}
		}
		batches = append(batches, b)
	}
	return batches
}

// reportCount returns the number of reports of the batch. An empty batch takes one, which
// ends a full report.
func (b *batch) reportCount() int { return max(1, (len(b.refs)+maxReportEntries-1)/maxReportEntries) }

// confirm records that a peer confirmed a report.
func (s *peerSet) confirm(address netip.AddrPort, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.byAddress[address]; p != nil {
		delete(p.unconfirmed, sequence)
	}
}

// beginTransfer adds the members of a new table as peers, and requires all peers to
// confirm the entries for it.
func (s *peerSet) beginTransfer(members []netip.AddrPort, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range members {
		s.ensureLocked(a, now)
	}
	for _, p := range s.byAddress {
		p.transferPending = true
	}
}

// transferDone reports whether every reachable peer has confirmed all entries for the
// present table. A peer that is unreachable gets a full report when it reconnects.
func (s *peerSet) transferDone(now int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := true
	for _, p := range s.byAddress {
		if p.connected && p.allConfirmed() {
			p.transferPending = false
		}
		if p.transferPending && !p.unreachable(now) {
			done = false
		}
	}
	return done
}

// allConfirmed reports whether every connected peer has confirmed all reports.
func (s *peerSet) allConfirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.byAddress {
		if p.connected && !p.allConfirmed() {
			return false
		}
	}
	return true
}

// awaitingPeer reports whether no peer is connected, but one disconnected or was added
// less than ownerLostAfter ago and may connect soon.
func (s *peerSet) awaitingPeer(now int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lostRecently := false
	for _, p := range s.byAddress {
		if p.connected {
			return false
		}
		lostRecently = lostRecently || now-p.changedAt < int64(ownerLostAfter)
	}
	return lostRecently
}

// markFullReport records that a peer sent its full report.
func (s *peerSet) markFullReport(address netip.AddrPort, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ensureLocked(address, now).sentFullReport = true
}

// hasSentFullReport reports whether a peer has sent its full report to this process.
func (s *peerSet) hasSentFullReport(address netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byAddress[address]
	return p != nil && p.sentFullReport
}
