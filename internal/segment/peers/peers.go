// Package peers keeps what a balancer knows of the other balancers, and decides from
// it which balancers watch the store.
//
// A few balancers, the watchers, watch the store for the configuration and the list of
// agents. The others read both from a watcher, so that the calls to the store do not
// grow with the number of balancers. There is no election: every balancer ranks those
// that it knows in the same order, and the first ones watch. A watch only reads, so too
// many watchers cost calls and do no other harm, and a balancer that knows no watcher
// with recent data watches itself.
//
// A Set does no I/O and reads no clock.
package peers

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/segment/message"
)

const (
	// watcherCount is how many balancers watch the store. With three, the others still
	// have a source when one is replaced while another is cut off from the store.
	watcherCount = 3
	// minDigestInterval is how often a watcher sends digests to the other balancers, and
	// the shortest interval of those that do not watch.
	minDigestInterval = 400 * time.Millisecond
	// digestsPerSecond bounds the digests that a balancer sends unless it watches. Its
	// interval grows with the number of balancers.
	digestsPerSecond = 30
	// maxDigestAge is how old the last digest of a watcher may be for its data to count
	// as current: it may lose two digests.
	maxDigestAge = 3 * minDigestInterval
	// maxStoreAge is how long ago a watcher may have had its last response of the store.
	// It covers the wait of a watch for a change, 1 s, a slow response and the age of a
	// digest. A configuration has to be in force 3 s after it was written.
	maxStoreAge = 2 * time.Second
	// maxListLag is how long a list of agents counts as complete after a watcher has had a
	// newer one. Hosts get no flows in the first second after they are listed.
	maxListLag = 800 * time.Millisecond
	// minTTL and ttlIntervals bound how long a balancer counts as known after its last
	// digest or, before its first, after it was reported. It is at least minTTL.
	minTTL       = 3 * time.Second
	ttlIntervals = 3.5
	// takeoverDelay is the time between two balancers in the ranking that begin to watch
	// because no watcher has current data, and maxTakeoverDelay bounds their sum.
	takeoverDelay    = 20 * time.Millisecond
	maxTakeoverDelay = 500 * time.Millisecond
)

// Config configures a Set.
type Config struct {
	// Self is the address of the balancer that the set belongs to. Must be set.
	Self netip.Addr
	// CPUPermille is the share of a processor core that the balancer may use, in
	// thousandths. Balancers with more are preferred as watchers. If 0, all others are
	// preferred.
	CPUPermille int
}

// peer is what is known of another balancer.
type peer struct {
	digest message.Digest
	// digestAt is when the last digest arrived; zero means that none has.
	digestAt time.Time
	// seenAt is when the last digest arrived or, before the first, when the balancer was
	// reported.
	seenAt time.Time
}

// Set is the set of the other balancers. It is not safe for concurrent use.
type Set struct {
	self        netip.Addr
	cpuPermille int
	byAddress   map[netip.Addr]*peer

	// watching is set while this balancer watches the store, and reachable while the
	// store responds. storeSeenAt is when it last responded.
	watching, reachable bool
	storeSeenAt         time.Time
	// sourceSeenAt is when another watcher last had current data.
	sourceSeenAt time.Time
	// listCurrentAt is when this balancer's list of agents was last as new as those of all
	// watchers.
	listCurrentAt time.Time
}

// New returns a set without other balancers.
func New(c Config) (s *Set, err error) {
	if !c.Self.IsValid() {
		return nil, errors.New("peers: Self must be set")
	}
	return &Set{self: c.Self, cpuPermille: c.CPUPermille, byAddress: make(map[netip.Addr]*peer)}, nil
}

// Add adds a balancer that an agent or another balancer reported. It does nothing if
// the balancer is known.
func (s *Set) Add(now time.Time, address netip.Addr) {
	if s.byAddress[address] == nil && address != s.self {
		s.byAddress[address] = &peer{seenAt: now}
	}
}

// HandleDigest records a digest of another balancer.
func (s *Set) HandleDigest(now time.Time, from netip.Addr, d message.Digest) {
	if from != s.self {
		s.byAddress[from] = &peer{digest: d, digestAt: now, seenAt: now}
	}
}

// IsEstablished reports whether a balancer has sent a digest and was not starting then.
func (s *Set) IsEstablished(address netip.Addr) bool {
	p := s.byAddress[address]
	return p != nil && p.isEstablished()
}

// AnyEstablished reports whether IsEstablished holds for any balancer.
func (s *Set) AnyEstablished() bool {
	for _, p := range s.byAddress {
		if p.isEstablished() {
			return true
		}
	}
	return false
}

func (p *peer) isEstablished() bool { return !p.digestAt.IsZero() && !p.digest.Starting }

// WithoutConfig returns the addresses of the balancers that had no configuration at their
// last digest, in no particular order.
func (s *Set) WithoutConfig() (addresses []netip.Addr) {
	for address, p := range s.byAddress {
		if !p.digestAt.IsZero() && p.digest.ConfigVersion == 0 {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Expire removes the balancers that have sent no digest for too long.
func (s *Set) Expire(now time.Time) {
	ttl := max(minTTL, time.Duration(ttlIntervals*float64(s.quietInterval())))
	maps.DeleteFunc(s.byAddress, func(_ netip.Addr, p *peer) bool { return now.Sub(p.seenAt) > ttl })
}

// Addresses returns the addresses of the known balancers in no particular order.
func (s *Set) Addresses() []netip.Addr { return slices.Collect(maps.Keys(s.byAddress)) }

// DigestInterval returns how often the balancer is to send digests to the others.
func (s *Set) DigestInterval() time.Duration {
	if s.watching {
		return minDigestInterval
	}
	return s.quietInterval()
}

// quietInterval returns the interval between two digests of a balancer that does not
// watch the store.
func (s *Set) quietInterval() time.Duration {
	return max(minDigestInterval, time.Duration(len(s.byAddress))*time.Second/digestsPerSecond)
}

// SetWatching records whether this balancer watches the store.
func (s *Set) SetWatching(watching bool) {
	s.watching, s.reachable = watching, false
}

// RecordStore records at a response of the store that it is reachable, and after a
// failed call that it is not.
func (s *Set) RecordStore(now time.Time, reachable bool) {
	s.reachable = reachable
	if reachable {
		s.storeSeenAt = now
	}
}

// StoreAge returns whether this balancer watches the store and, if so, the time since
// the last response. While the store is unreachable, the age is message.UnknownAge.
func (s *Set) StoreAge(now time.Time) (age time.Duration, watching bool) {
	switch {
	case !s.watching:
		return 0, false
	case !s.reachable:
		return message.UnknownAge, true
	}
	return now.Sub(s.storeSeenAt), true
}

// ShouldWatch reports whether this balancer should watch the store.
func (s *Set) ShouldWatch(now time.Time) bool {
	sources, sourcesAhead, ahead := 0, 0, 0
	for address, p := range s.byAddress {
		isAhead := s.isAhead(address, p)
		switch {
		case p.isSource(now):
			sources++
			if isAhead {
				sourcesAhead++
				ahead++
			}
		case isAhead && p.isCandidate():
			ahead++
		}
	}
	if sources > 0 {
		s.sourceSeenAt = now
	}
	if s.watching {
		// A watcher stops only when those that replace it have current data. One that
		// cannot reach the store goes on, so that it is not counted on meanwhile.
		return !s.reachable || sourcesAhead < watcherCount
	}
	if ahead < watcherCount {
		return true
	}
	return now.Sub(s.sourceSeenAt) > min(time.Duration(ahead)*takeoverDelay, maxTakeoverDelay) && sources == 0
}

// isSource reports whether the balancer watches the store and has current data.
func (p *peer) isSource(now time.Time) bool {
	age := now.Sub(p.digestAt)
	return p.digest.Watching && age <= maxDigestAge && p.digest.StoreAge+age <= maxStoreAge
}

// isCandidate reports whether the balancer can be expected to watch when it is its turn:
// it does not watch yet. A watcher without current data is cut off or has failed.
func (p *peer) isCandidate() bool { return !p.digestAt.IsZero() && !p.digest.Watching }

// isAhead reports whether another balancer comes before this one in the ranking of
// watchers.
func (s *Set) isAhead(address netip.Addr, p *peer) bool {
	order := cmp.Or(cmp.Compare(p.digest.CPUPermille, s.cpuPermille), cmp.Compare(rank(address), rank(s.self)))
	return order > 0
}

// rank returns a pseudo-random number for an address, so that the watchers are spread
// over the data centres.
func rank(address netip.Addr) uint64 {
	octets := address.As16()
	return xxhash.Sum64(octets[:])
}

// ListIsComplete reports whether a list of agents with the given revision is complete
// by the digests of the watchers: one of them with current data reports that its list
// is, and none has had a newer one for longer than maxListLag. The list changes all the
// time while many agents start, so a balancer that does not watch is often a little
// behind. Reports on lists of another generation of the store do not count, because these
// may lack agents of that of the list.
func (s *Set) ListIsComplete(now time.Time, revision store.Revision) (complete bool) {
	var newest store.Revision
	sources := 0
	for _, p := range s.byAddress {
		if !p.isSource(now) {
			continue
		}
		sources++
		d := p.digest
		if d.ListRevision.Generation > newest.Generation {
			complete = false
		}
		if d.ListRevision.Generation >= newest.Generation {
			complete = complete || d.ListComplete
		}
		if d.ListRevision.Compare(newest) > 0 {
			newest = d.ListRevision
		}
	}
	if sources > 0 && newest.Compare(revision) <= 0 {
		s.listCurrentAt = now
	}
	return complete && newest.Generation == revision.Generation && now.Sub(s.listCurrentAt) <= maxListLag
}
