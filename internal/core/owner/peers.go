package owner

import (
	"net/netip"
	"sync"

	"agateramp/internal/core/flow"
)

// ref names a flow whose entry is to be reported.
type flowRef struct {
	key  flow.Key
	hash uint64
}

// peer is what is known of another agent of the service.
type peer struct {
	connected bool
	// since is when connected last changed, in nanoseconds since 1970.
	changedAt int64
	// sequence numbers the reports to the peer; it never starts anew, so that late
	// confirmations are recognised.
	lastSequence uint64
	outbox   []flowRef
	// scanning is set while the entries of a full report are put into the outbox, and
	// full while the last of them is in it.
	scanning, fullQueued bool
	// transfer is set until the entries of the present table version are confirmed.
	transferPending bool
	// unconfirmed holds the sequences of reports that are not confirmed yet.
	unconfirmed map[uint64]struct{}
	// reported is set once the peer sent its full report to this process.
	sentFullReport bool
}

func (p *peer) unreachable(now int64) bool {
	return !p.connected && p.changedAt+int64(reconnectGrace) <= now
}

// upToDate reports whether the peer has confirmed all that it is to be told.
func (p *peer) allConfirmed() bool {
	return len(p.outbox) == 0 && !p.scanning && !p.fullQueued && len(p.unconfirmed) == 0
}

// peerSet holds the agents of the service. Its mutex is taken inside that of a
// shard, never around it.
type peerSet struct {
	mu        sync.Mutex
	byAddress map[netip.AddrPort]*peer
	// order holds the peers in the order in which they became known.
	order []netip.AddrPort
}

// expect makes sure that a peer is known, as of now without a stream.
func (s *peerSet) ensureLocked(address netip.AddrPort, now int64) *peer {
	p := s.byAddress[address]
	if p == nil {
		p = &peer{changedAt: now, unconfirmed: make(map[uint64]struct{})}
		s.byAddress[address] = p
		s.order = append(s.order, address)
	}
	return p
}

// learn makes sure that an owner is known. One that this agent hears of from others
// only, and that opens no stream, is dead.
func (s *peerSet) ensure(address netip.AddrPort, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ensureLocked(address, now)
}

// dead reports whether there has been no stream to an agent for a second. An
// agent of which nothing is known counts as alive.
func (s *peerSet) unreachable(address netip.AddrPort, now int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byAddress[address]
	return p != nil && p.unreachable(now)
}

// settled returns when it is known at the latest whether an agent can confirm: a
// broken stream comes back or counts as dead after streamGrace, and an agent with a
// new stream may be recovering. It returns now for any other agent.
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

// gone reports whether there has been no stream to an agent since a time.
func (s *peerSet) unreachableSince(address netip.AddrPort, since int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byAddress[address]
	return p == nil || !p.connected && p.changedAt <= since
}

// connect notes a new stream; what was sent over an older one is void.
func (s *peerSet) connect(address netip.AddrPort, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.ensureLocked(address, now)
	p.connected, p.changedAt = true, now
	p.outbox, p.scanning, p.fullQueued = nil, true, false
	clear(p.unconfirmed)
}

// scanned notes that the outbox has got all entries of a full report. Nothing leaves
// before, since another goroutine could send its part after the end of the report.
func (s *peerSet) endScan(address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.byAddress[address]; p != nil && p.connected {
		p.scanning, p.fullQueued = false, true
	}
}

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

// enqueue notes a flow to be reported to connected peers. The others get it in
// the full report on their next stream.
func (s *peerSet) enqueue(r flowRef, self netip.AddrPort, addresses []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addresses {
		if p := s.byAddress[a]; p != nil && p.connected && a != self {
			p.outbox = append(p.outbox, r)
		}
	}
}

// next numbers a report to a peer, or reports false when there is no stream.
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

// batch is what is due to a peer.
type batch struct {
	to   netip.AddrPort
	refs []flowRef
	full bool
	// first is the sequence of the first report of the batch.
	firstSequence uint64
}

// due takes the outboxes of the peer at address, or of all when it is not valid.
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

// reports returns how many messages the batch takes.
func (b *batch) reportCount() int { return max(1, (len(b.refs)+maxEntries-1)/maxEntries) }

func (s *peerSet) confirm(address netip.AddrPort, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.byAddress[address]; p != nil {
		delete(p.unconfirmed, sequence)
	}
}

// beginTransfer makes all peers owe a confirmation, and expects the members.
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

// transferred reports whether every peer with a stream has confirmed all entries.
// A peer counts as unreachable after a second without a stream; it gets a full
// report when it returns.
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

// flushed reports whether every connected peer has confirmed all reports.
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

// stranded reports whether no peer has a stream, but one had it lately and may be
// back soon.
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

// markReported notes that a peer sent its full report.
func (s *peerSet) markFullReport(address netip.AddrPort, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ensureLocked(address, now).sentFullReport = true
}

func (s *peerSet) hasSentFullReport(address netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byAddress[address]
	return p != nil && p.sentFullReport
}
