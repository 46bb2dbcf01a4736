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
	// generation is the generation of the store that the watch began in.
	generation uint64
	// nextRevision is the first revision that has not been delivered.
	nextRevision int64
	// wake receives a value when there may be events to deliver.
	wake chan struct{}
	// done is closed when the watch ends.
	done  chan struct{}
	close sync.Once
}

// Watch opens a watch of the keys that begin with prefix. It delivers the changes since
// revision, that revision included. The zero revision means from the next change on.
func (s *Store) Watch(ctx context.Context, prefix string, revision store.Revision) (w store.Watcher, err error) {
	if err = ctx.Err(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if revision == (store.Revision{}) {
		revision = s.currentRevision().Next()
	}
	if err = s.checkHistory(revision); err != nil {
		return nil, err
	}
	opened := &watcher{
		store: s, prefix: prefix, generation: revision.Generation, nextRevision: revision.Number, wake: make(chan struct{}, 1), done: make(chan struct{}),
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
	if err = s.checkHistory(store.Revision{Generation: w.generation, Number: w.nextRevision}); err != nil {
		return batch, err
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
	batch.Revision = s.currentRevision()
	return batch, nil
}

// checkHistory returns store.ErrCompacted if the history from a revision on is not
// complete. The caller holds mu.
func (s *Store) checkHistory(from store.Revision) error {
	switch {
	case from.Generation != s.generation:
		return errors.WithMessagef(store.ErrCompacted, "watch of generation %d, store is of generation %d", from.Generation, s.generation)
	case from.Number < s.compacted:
		return errors.WithMessagef(store.ErrCompacted, "watch from revision %d, history begins at %d", from.Number, s.compacted)
	}
	return nil
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
