package memory

import (
	"maps"
	"slices"

	"agateramp/internal/keyvalue/store"
)

// Snapshot is a copy of a store: its entries, revision and leases.
type Snapshot struct {
	revision  int64
	entries   map[string]*store.Entry
	leases    map[store.LeaseID]*lease
	lastLease store.LeaseID
}

// Snapshot returns a copy of the store.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return &Snapshot{revision: s.revision, entries: maps.Clone(s.entries), leases: cloneLeases(s.leases), lastLease: s.lastLease}
}

// Revision returns the revision of the store.
func (s *Store) Revision() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentRevision()
}

// Restore replaces the content of the store by a snapshot and begins a new generation.
// Revisions and lease ids since the snapshot are given out again. The leases of the
// snapshot begin anew, and all watches end.
func (s *Store) Restore(c *Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	s.revision, s.lastLease = c.revision, c.lastLease
	s.entries, s.leases = maps.Clone(c.entries), cloneLeases(c.leases)
	s.keys = slices.Sorted(maps.Keys(s.entries))
	s.history, s.historyBytes, s.compacted = nil, 0, s.revision+1
	for _, l := range s.leases {
		l.renew(s.now())
	}
	s.scheduleExpiry()
	for w := range s.watchers {
		w.notify()
	}
}

func cloneLeases(leases map[store.LeaseID]*lease) map[store.LeaseID]*lease {
	cloned := make(map[store.LeaseID]*lease, len(leases))
	for id, l := range leases {
		cloned[id] = &lease{ttlSeconds: l.ttlSeconds, deadline: l.deadline, keys: maps.Clone(l.keys)}
	}
	return cloned
}
