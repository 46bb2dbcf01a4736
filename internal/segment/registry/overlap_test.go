package registry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
)

// silentStore does not respond to calls that it receives before returnsAt, also not later.
type silentStore struct {
	store.Store
	returnsAt time.Time
	calls     atomic.Int64
}

func (s *silentStore) List(ctx context.Context, _ string) ([]store.Entry, store.Revision, error) {
	s.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if time.Now().Before(s.returnsAt) {
		<-ctx.Done()
		return nil, store.Revision{}, store.ErrUnavailable
	}
	return nil, store.Revision{Number: 1}, nil
}

func (s *silentStore) Watch(context.Context, string, store.Revision) (store.Watcher, error) {
	return idleWatcher{}, nil
}

// idleWatcher is a watch without changes.
type idleWatcher struct{}

func (idleWatcher) Next(ctx context.Context) (store.WatchBatch, error) {
	<-ctx.Done()
	return store.WatchBatch{}, ctx.Err()
}

func (idleWatcher) Close() {}

// Guards against processes that start shortly before the store returns and wait for the
// time-out of a read that will never have a response, and against overlapping reads that
// overload the store. Time is virtual.
func TestOverlappingReads(t *testing.T) {
	cases := []struct {
		name string
		// silent is how long the store is silent after the start.
		silent time.Duration
		// maxWait is the longest allowed time from the return of the store to the first copy.
		maxWait  time.Duration
		maxCalls int64
		// lost is set if the mirror has to report an outage before the first copy.
		lost bool
	}{
		{"store responds", 0, 0, 1, false},
		{"store returns at once", 40 * time.Millisecond, 150 * time.Millisecond, 2, true},
		{"store returns soon", 200 * time.Millisecond, 600 * time.Millisecond, 5, true},
		{"store returns late", 5 * time.Second, overlapBackoff.Max * 3 / 2, 22, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &silentStore{returnsAt: time.Now().Add(c.silent)}
				ctx, cancel := context.WithCancel(t.Context())
				wait, lost := time.Duration(-1), false
				m, err := NewMirror(MirrorConfig{
					Store: s, Prefix: "x/", RetryBudget: NewRetryBudget(), Logger: log.NewNopLogger(),
					OnChange:    func(map[string]store.Entry, store.Revision) { wait = time.Since(s.returnsAt) },
					OnReachable: func(reachable bool) { lost = lost || !reachable },
				})
				is.NoErr(err)
				tasks := group.New(ctx)
				tasks.Go("mirror", m.Run)
				time.Sleep(c.silent + 3*time.Second)
				cancel()
				is.NoErr(tasks.Wait())
				is.True(wait >= 0 && wait <= c.maxWait)
				is.Equal(lost, c.lost)
				is.True(s.calls.Load() <= c.maxCalls)
			})
		})
	}
}
