package memory

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
)

// watcher reads the history of its store from position on. Fields but wake and
// done are guarded by the store's lock.
type watcher struct {
	store    *Store
	prefix   string
	position int64
	wake     chan struct{}
	done     chan struct{}
	close    sync.Once
}

// Watch follows the keys that begin with prefix, from revision on.
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
		return nil, errors.WithMessagef(store.ErrCompacted, "revision %d, compacted at %d", revision, s.compacted)
	}
	n := &watcher{
		store: s, prefix: prefix, position: revision, wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	s.watchers[n] = struct{}{}
	return n, nil
}

// Next waits for the next batch.
func (w *watcher) Next(ctx context.Context) (batch store.WatchBatch, err error) {
	for {
		select {
		case <-w.done:
			return batch, errors.WithMessage(store.ErrUnavailable, "watch closed")
		default:
		}
		if batch, err = w.pending(); err != nil || len(batch.Events) > 0 {
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

func (w *watcher) pending() (batch store.WatchBatch, err error) {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.position < s.compacted {
		return batch, errors.WithMessagef(store.ErrCompacted, "revision %d, compacted at %d", w.position, s.compacted)
	}
	start, _ := slices.BinarySearchFunc(s.history, w.position, byRevision)
	for _, e := range s.history[start:] {
		if w.follows(e) {
			e.Entry = clone(&e.Entry)
			batch.Events = append(batch.Events, e)
		}
	}
	// A watch that starts in the future keeps its position until then.
	w.position = max(w.position, s.revision+1)
	batch.Revision = s.revision
	return batch, nil
}

func (w *watcher) follows(e store.Event) bool {
	return e.Entry.ModRevision >= w.position && strings.HasPrefix(e.Entry.Key, w.prefix)
}

func (w *watcher) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
