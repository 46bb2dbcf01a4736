// Package memory keeps a key-value store within the process. It has the semantics of
// store.Store, with transactions, leases and watches, and persists nothing.
package memory

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
)

// defaultHistory is the default number of events in the history: some minutes at several
// hundred writes per second.
const defaultHistory = 100_000

// maxHistoryBytes limits the total size of the values in the history; a single value has up
// to 1 MiB.
const maxHistoryBytes = 64 << 20

// Config configures a Store.
type Config struct {
	// Now returns the time that decides when leases expire. If nil, the store uses real
	// time, and leases expire even while no call is made. With another clock, a lease
	// expires at the first call after its deadline; ExpireLeases is such a call.
	Now func() time.Time
	// MaxHistory is the number of events kept for watches that start in the past. The
	// history may be up to a quarter longer, and is shorter when its values exceed 64 MiB.
	// 0 means 100,000.
	MaxHistory int
}

// Store is an in-memory store.Store. Its methods are safe for concurrent use.
type Store struct {
	now        func() time.Time
	realTime   bool
	maxHistory int

	// mu guards the fields below.
	mu sync.Mutex
	// generation counts the restores.
	generation uint64
	revision   int64
	// compacted is the oldest revision from which a watch can start.
	compacted int64
	entries   map[string]*store.Entry
	// keys holds the keys of entries in order.
	keys []string
	// history holds the latest events, ordered by revision.
	history []store.Event
	// historyBytes is the total size of the values in history.
	historyBytes int

	leases    map[store.LeaseID]*lease
	lastLease store.LeaseID
	// timer expires leases in real time and is nil if it is not set; timerAt is when it fires.
	timer    *time.Timer
	timerAt  time.Time
	watchers map[*watcher]struct{}
}

var _ store.Store = (*Store)(nil)

// New returns an empty store at revision 1.
func New(cfg Config) (s *Store, err error) {
	if cfg.MaxHistory < 0 {
		return nil, errors.Errorf("memory store: MaxHistory is %d, want 0 or more", cfg.MaxHistory)
	}
	s = &Store{
		now: cfg.Now, maxHistory: cfg.MaxHistory, revision: 1,
		entries: map[string]*store.Entry{}, leases: map[store.LeaseID]*lease{}, watchers: map[*watcher]struct{}{},
	}
	if s.now == nil {
		s.now, s.realTime = time.Now, true
	}
	if s.maxHistory == 0 {
		s.maxHistory = defaultHistory
	}
	return s, nil
}

// Get returns the entry of a key, or nil if the key does not exist, and the revision of the
// store.
func (s *Store) Get(ctx context.Context, key string) (entry *store.Entry, revision store.Revision, err error) {
	if err = ctx.Err(); err != nil {
		return nil, revision, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if e := s.entries[key]; e != nil {
		c := cloneEntry(e)
		entry = &c
	}
	return entry, s.currentRevision(), nil
}

// currentRevision returns the revision of the store. The caller holds mu.
func (s *Store) currentRevision() store.Revision {
	return store.Revision{Generation: s.generation, Number: s.revision}
}

// List returns the entries whose keys begin with prefix, ordered by key, and the revision
// of the store.
func (s *Store) List(ctx context.Context, prefix string) (entries []store.Entry, revision store.Revision, err error) {
	if err = ctx.Err(); err != nil {
		return nil, revision, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	start, _ := slices.BinarySearch(s.keys, prefix)
	for _, key := range s.keys[start:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		entries = append(entries, cloneEntry(s.entries[key]))
	}
	return entries, s.currentRevision(), nil
}

// Txn applies all writes if all compares hold, and none otherwise.
func (s *Store) Txn(ctx context.Context, compares []store.Compare, writes []store.Write) (
	result store.TxnResult, err error,
) {
	if err = ctx.Err(); err != nil {
		return result, err
	}
	if err = store.CheckWrites(writes); err != nil {
		return result, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range compares {
		if s.comparedRevision(c) != c.Revision {
			return store.TxnResult{Revision: s.currentRevision()}, nil
		}
	}
	for _, w := range writes {
		if !w.Delete && w.Lease != 0 && s.leases[w.Lease] == nil {
			return result, errors.WithMessagef(store.ErrLeaseNotFound, "lease %x", int64(w.Lease))
		}
	}
	s.commit(writes)
	return store.TxnResult{Succeeded: true, Revision: s.currentRevision()}, nil
}

// Compact removes the events before the given revision, or before the current one if that
// is lower, from the history. Watches that have yet to deliver them end with
// store.ErrCompacted.
func (s *Store) Compact(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(min(revision, s.revision))
}

// comparedRevision returns the revision that c is compared with; 0 means that the key does
// not exist. The caller holds mu.
func (s *Store) comparedRevision(c store.Compare) int64 {
	e := s.entries[c.Key]
	switch {
	case e == nil:
		return 0
	case c.ByCreateRevision:
		return e.CreateRevision
	}
	return e.ModRevision
}

// commit applies writes as one revision. If all writes delete keys that do not exist, it
// creates no revision. The caller holds mu.
func (s *Store) commit(writes []store.Write) {
	next := s.revision + 1
	var events []store.Event
	for _, w := range writes {
		old := s.entries[w.Key]
		if old == nil && w.Delete {
			continue
		}
		if old != nil && old.Lease != 0 && s.leases[old.Lease] != nil {
			delete(s.leases[old.Lease].keys, w.Key)
		}
		if w.Delete {
			delete(s.entries, w.Key)
			i, _ := slices.BinarySearch(s.keys, w.Key)
			s.keys = slices.Delete(s.keys, i, i+1)
			events = append(events, store.Event{Entry: store.Entry{Key: w.Key, ModRevision: next}, Deleted: true})
			continue
		}
		e := &store.Entry{
			Key: w.Key, Value: slices.Clone(w.Value), CreateRevision: next, ModRevision: next, Lease: w.Lease,
		}
		if old != nil {
			e.CreateRevision = old.CreateRevision
		} else {
			i, _ := slices.BinarySearch(s.keys, w.Key)
			s.keys = slices.Insert(s.keys, i, w.Key)
		}
		s.entries[w.Key] = e
		if w.Lease != 0 {
			s.leases[w.Lease].keys[w.Key] = struct{}{}
		}
		events = append(events, store.Event{Entry: *e})
	}
	if len(events) == 0 {
		return
	}
	s.revision = next
	s.history = append(s.history, events...)
	for _, e := range events {
		s.historyBytes += len(e.Entry.Value)
	}
	// A compaction copies the history, so it waits until the history is a quarter over its limits.
	if len(s.history) > s.maxHistory+s.maxHistory/4 || s.historyBytes > maxHistoryBytes+maxHistoryBytes/4 {
		s.trimHistory()
	}
	for w := range s.watchers {
		if slices.ContainsFunc(events, w.matches) {
			w.notify()
		} else if w.nextRevision == next {
			// The watch has delivered everything, so a later compaction need not end it.
			w.nextRevision = next + 1
		}
	}
}

// trimHistory compacts the history to its limits. It always keeps the newest event.
// The caller holds mu.
func (s *Store) trimHistory() {
	first, size := len(s.history), 0
	for first > 0 && len(s.history)-first < s.maxHistory {
		size += len(s.history[first-1].Entry.Value)
		if size > maxHistoryBytes && first < len(s.history) {
			break
		}
		first--
	}
	if first < len(s.history) {
		s.compact(s.history[first].Entry.ModRevision)
	}
}

// compact removes the events before revision from the history. It wakes all watches, so
// that each one that has yet to deliver a removed event ends. The caller holds mu.
func (s *Store) compact(revision int64) {
	if revision <= s.compacted {
		return
	}
	s.compacted = revision
	i, _ := slices.BinarySearchFunc(s.history, revision, compareRevision)
	for _, e := range s.history[:i] {
		s.historyBytes -= len(e.Entry.Value)
	}
	s.history = slices.Clone(s.history[i:])
	for w := range s.watchers {
		w.notify()
	}
}

func compareRevision(e store.Event, revision int64) int {
	return cmp.Compare(e.Entry.ModRevision, revision)
}

func cloneEntry(e *store.Entry) store.Entry {
	c := *e
	c.Value = slices.Clone(e.Value)
	return c
}

func sortedKeys(m map[string]struct{}) []string { return slices.Sorted(maps.Keys(m)) }
