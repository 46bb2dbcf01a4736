package owner

import (
	"net/netip"
	"sync"

	"agateramp/internal/core/flow"
)

// ref names a flow whose entry is to be reported.
type ref struct {
	key  flow.Key
	hash uint64
}

// peer is what is known of another agent of the service.
type peer struct {
	connected bool
	// since is when connected last changed, in nanoseconds since 1970.
	since int64
	// sequence numbers the reports to the peer; it never starts anew, so that late
	// confirmations are recognised.
	sequence uint64
	outbox   []ref
	// scanning is set while the entries of a full report are put into the outbox, and
	// full while the last of them is in it.
	scanning, full bool
	// transfer is set until the entries of the present table version are confirmed.
	transfer bool
	// unconfirmed holds the sequences of reports that are not confirmed yet.
	unconfirmed map[uint64]struct{}
	// reported is set once the peer sent its full report to this process.
	reported bool
}

func (p *peer) dead(now int64) bool {
	return !p.connected && p.since+int64(streamGrace) <= now
}

// upToDate reports whether the peer has confirmed all that it is to be told.
func (p *peer) upToDate() bool {
	return len(p.outbox) == 0 && !p.scanning && !p.full && len(p.unconfirmed) == 0
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
func (s *peerSet) expect(address netip.AddrPort, now int64) *peer {
	p := s.byAddress[address]
	if p == nil {
		p = &peer{since: now, unconfirmed: make(map[uint64]struct{})}
		s.byAddress[address] = p
		s.order = append(s.order, address)
	}
	return p
}

// learn makes sure that an owner is known. One that this agent hears of from others
// only, and that opens no stream, is dead.
func (s *peerSet) learn(address netip.AddrPort, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expect(address, now)
}

// dead reports whether there has been no stream to an agent for a second. An
// agent of which nothing is known counts as alive.
func (s *peerSet) dead(address netip.AddrPort, now int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byAddress[address]
	return p != nil && p.dead(now)
}

// settled returns when it is known at the latest whether an agent can confirm: a
// broken stream comes back or counts as dead after streamGrace, and an agent with a
// new stream may be recovering. It returns now for any other agent.
func (s *peerSet) settled(address netip.AddrPort, now int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byAddress[address]
	switch {
	case p == nil:
		return now
	case p.connected:
		return max(now, p.since+int64(recoveryLimit))
	default:
		return max(now, p.since+int64(streamGrace))
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
func (s *peerSet) gone(address netip.AddrPort, since int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byAddress[address]
	return p == nil || !p.connected && p.since <= since
}

// connect notes a new stream; what was sent over an older one is void.
func (s *peerSet) connect(address netip.AddrPort, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.expect(address, now)
	p.connected, p.since = true, now
	p.outbox, p.scanning, p.full = nil, true, false
	clear(p.unconfirmed)
}

// scanned notes that the outbox has got all entries of a full report. Nothing leaves
// before, since another goroutine could send its part after the end of the report.
func (s *peerSet) scanned(address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.byAddress[address]; p != nil && p.connected {
		p.scanning, p.full = false, true
	}
}

func (s *peerSet) disconnect(address netip.AddrPort, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.expect(address, now)
	if p.connected {
		p.connected, p.since = false, now
	}
	p.outbox, p.scanning, p.full = nil, false, false
	clear(p.unconfirmed)
}

// enqueue notes a flow to be reported to connected peers. The others get it in
// the full report on their next stream.
func (s *peerSet) enqueue(r ref, self netip.AddrPort, addresses []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addresses {
		if p := s.byAddress[a]; p != nil && p.connected && a != self {
			p.outbox = append(p.outbox, r)
		}
	}
}

// next numbers a report to a peer, or reports false when there is no stream.
func (s *peerSet) next(address netip.AddrPort) (sequence uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byAddress[address]
	if p == nil || !p.connected {
		return 0, false
	}
	p.sequence++
	return p.sequence, true
}

// batch is what is due to a peer.
type batch struct {
	to   netip.AddrPort
	refs []ref
	full bool
	// first is the sequence of the first report of the batch.
	first uint64
}

// due takes the outboxes of the peer at address, or of all when it is not valid.
func (s *peerSet) due(address netip.AddrPort) (batches []batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.order {
		p := s.byAddress[a]
		if address.IsValid() && a != address || !p.connected || p.scanning || len(p.outbox) == 0 && !p.full {
			continue
		}
		b := batch{to: a, refs: p.outbox, full: p.full, first: p.sequence + 1}
		p.outbox, p.full = nil, false
		for range b.reports() {
			p.sequence++
			p.unconfirmed[p.sequence] = struct{}{}
		}
		batches = append(batches, b)
	}
	return batches
}

// reports returns how many messages the batch takes.
func (b *batch) reports() int { return max(1, (len(b.refs)+maxEntries-1)/maxEntries) }

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
		s.expect(a, now)
	}
	for _, p := range s.byAddress {
		p.transfer = true
	}
}

// transferred reports whether every peer with a stream has confirmed all entries.
// A peer counts as unreachable after a second without a stream; it gets a full
// report when it returns.
func (s *peerSet) transferred(now int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := true
	for _, p := range s.byAddress {
		if p.connected && p.upToDate() {
			p.transfer = false
		}
		if p.transfer && !p.dead(now) {
			done = false
		}
	}
	return done
}

// flushed reports whether every connected peer has confirmed all reports.
func (s *peerSet) flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.byAddress {
		if p.connected && !p.upToDate() {
			return false
		}
	}
	return true
}

// stranded reports whether no peer has a stream, but one had it lately and may be
// back soon.
func (s *peerSet) stranded(now int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lately := false
	for _, p := range s.byAddress {
		if p.connected {
			return false
		}
		lately = lately || now-p.since < int64(ownerLostAfter)
	}
	return lately
}

// markReported notes that a peer sent its full report.
func (s *peerSet) markReported(address netip.AddrPort, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expect(address, now).reported = true
}

func (s *peerSet) hasReported(address netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byAddress[address]
	return p != nil && p.reported
}
