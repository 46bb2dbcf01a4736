package memory

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
)

// watcher reads the history of its store. Its fields other than wake, done and close are
// guarded by the lock of the store.
type watcher struct {
	store  *Store
	prefix string
	// nextRevision is the first revision that has not been delivered.
	nextRevision int64
	// wake receives a value when there may be events to deliver.
	wake chan struct{}
	// done is closed when the watch ends.
	done  chan struct{}
	close sync.Once
}

// Watch opens a watch of the keys that begin with prefix. It delivers the changes since
// revision, that revision included. Revision 0 means from the next change on.
func (s *Store) Watch(ctx context.Context, prefix string, revision int64) (w store.Watcher, err error) {
	if err = ctx.Err(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if revision <= 0 {
		revision = s.revision + 1
	}
	if revision < s.compacted {
		return nil, errors.WithMessagef(store.ErrCompacted, "watch from revision %d, history begins at %d", revision, s.compacted)
	}
	opened := &watcher{
		store: s, prefix: prefix, nextRevision: revision, wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	s.watchers[opened] = struct{}{}
	return opened, nil
}

// Next blocks until the next batch arrives, the watch is closed or ctx ends.
func (w *watcher) Next(ctx context.Context) (batch store.WatchBatch, err error) {
	for {
		select {
		case <-w.done:
			return batch, errors.WithMessage(store.ErrUnavailable, "watch closed")
		default:
		}
		if batch, err = w.nextBatch(); err != nil || len(batch.Events) > 0 {
			return batch, err
		}
		select {
		case <-w.wake:
		case <-w.done:
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

// Close ends the watch.
func (w *watcher) Close() {
	w.close.Do(func() {
		close(w.done)
		w.store.mu.Lock()
		defer w.store.mu.Unlock()
		delete(w.store.watchers, w)
	})
}

// nextBatch returns the events that have not been delivered, and moves nextRevision beyond
// them. The batch is empty when there are none.
func (w *watcher) nextBatch() (batch store.WatchBatch, err error) {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.nextRevision < s.compacted {
		return batch, errors.WithMessagef(store.ErrCompacted, "watch at revision %d, history begins at %d", w.nextRevision, s.compacted)
	}
	start, _ := slices.BinarySearchFunc(s.history, w.nextRevision, compareRevision)
	for _, e := range s.history[start:] {
		if w.matches(e) {
			e.Entry = cloneEntry(&e.Entry)
			batch.Events = append(batch.Events, e)
		}
	}
	// A watch that starts at a future revision does not move before that revision.
	w.nextRevision = max(w.nextRevision, s.revision+1)
	batch.Revision = s.revision
	return batch, nil
}

// matches reports whether the watch has yet to deliver an event.
func (w *watcher) matches(e store.Event) bool {
	return e.Entry.ModRevision >= w.nextRevision && strings.HasPrefix(e.Entry.Key, w.prefix)
}

// notify wakes a waiting Next.
func (w *watcher) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
