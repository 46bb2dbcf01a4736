package registry

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
)

// failingStore counts its calls. All of them fail, except that lists succeed if compacted is set.
type failingStore struct {
	store.Store
	calls atomic.Int64
	// compacted makes watches fail because the history was compacted, rather than lists because of an outage.
	compacted bool
}

func (s *failingStore) List(context.Context, string) ([]store.Entry, store.Revision, error) {
	s.calls.Add(1)
	if s.compacted {
		return nil, store.Revision{Number: 1}, nil
	}
	return nil, store.Revision{}, store.ErrUnavailable
}

func (s *failingStore) Watch(context.Context, string, store.Revision) (store.Watcher, error) {
	s.calls.Add(1)
	return nil, store.ErrCompacted
}

func (s *failingStore) Get(context.Context, string) (*store.Entry, store.Revision, error) {
	s.calls.Add(1)
	return nil, store.Revision{}, store.ErrUnavailable
}

func (s *failingStore) Grant(context.Context, int64) (store.LeaseID, error) {
	s.calls.Add(1)
	return 0, store.ErrUnavailable
}

// Guards against a process whose retries overload a failing store. Several mirrors and a registrar retry at the same
// time, either because the store does not answer or because its history is always compacted. Time is virtual.
func TestRetriesStayWithinBudget(t *testing.T) {
	const (
		mirrors = 8
		seconds = 60
		// Each retry is a list and, when that succeeds, a watch.
		callsPerRetry = 2
	)
	for _, test := range []struct {
		name      string
		compacted bool
	}{
		{"store does not answer", false},
		{"history is always compacted", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &failingStore{compacted: test.compacted}
				retryBudget := NewRetryBudget()
				ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
				defer cancel()
				tasks := group.New(ctx)
				for range mirrors {
					m, err := NewMirror(MirrorConfig{
						Store: s, Prefix: "x/", RetryBudget: retryBudget, Logger: log.NewNopLogger(),
						OnChange: func(map[string]store.Entry, store.Revision) {},
					})
					is.NoErr(err)
					tasks.Go("follower", m.Run)
				}
				r, err := NewRegistrar(RegistrarConfig{
					Store: s, RetryBudget: retryBudget, Logger: log.NewNopLogger(),
					Entry: Entry{Node: "side-1", Address: netip.MustParseAddr("10.0.0.1"), Service: "studio"},
				})
				is.NoErr(err)
				tasks.Go("keeper", r.Run)
				is.NoErr(tasks.Wait())
				is.True(s.calls.Load() <= callsPerRetry*(mirrors+1+retryBurst+retriesPerSecond*seconds))
				is.True(s.calls.Load() >= retriesPerSecond*seconds/2) // retries continue
			})
		})
	}
}
