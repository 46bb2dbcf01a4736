package shard

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
)

// maxWatchRetryWait limits the wait before a watch is opened again. After an outage, 720
// balancers open two watches each, with two calls each. Spread over 20 s, these are 144 of
// the 200 calls per second that are allowed after an outage.
const maxWatchRetryWait = 20 * time.Second

// lazyLease is a lease that is granted when it is first needed. Its methods are safe for
// concurrent use.
type lazyLease struct {
	store      store.Store
	ttlSeconds int64
	// grantMu is held during the call to the store, so that mu is never held for long: the
	// loop of the Runner locks mu. grantMu is locked before mu.
	grantMu sync.Mutex
	mu      sync.Mutex
	id      store.LeaseID
}

// newLazyLease returns a lease with the given time to live, which is not granted yet.
func newLazyLease(s store.Store, ttlSeconds int64) *lazyLease {
	return &lazyLease{store: s, ttlSeconds: ttlSeconds}
}

// getOrGrant returns the id of the lease. It is granted first if there is none.
func (l *lazyLease) getOrGrant(ctx context.Context) (id store.LeaseID, err error) {
	l.grantMu.Lock()
	defer l.grantMu.Unlock()
	if id = l.current(); id != 0 {
		return id, nil
	}
	if id, err = l.store.Grant(ctx, l.ttlSeconds); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = id
	return id, nil
}

// current returns the id of the lease, or 0 if there is none.
func (l *lazyLease) current() store.LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// discard removes the lease if it still has the given id. It does not call the store.
func (l *lazyLease) discard(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}

// revoke ends the lease in the store, so that after a planned stop other balancers need not
// wait until it expires. It blocks for at most 1 s.
func (l *lazyLease) revoke() {
	id := l.current()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = l.store.Revoke(ctx, id)
	l.discard(id)
}

// renewLease renews the lease of the shards while any is held, and revokes it when none has
// been held for three intervals.
func (r *Runner) renewLease(ctx context.Context) error {
	defer r.lease.revoke()
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	idleTicks := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		id := r.lease.current()
		if id == 0 {
			continue
		}
		if idleTicks++; r.heldCount.Load() > 0 {
			idleTicks = 0
		}
		if idleTicks > 2 {
			r.lease.revoke()
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := r.lease.store.KeepAlive(callCtx, id)
		cancel()
		if !errors.Is(err, store.ErrLeaseNotFound) {
			// While the store does not answer, the holders continue to process events.
			// Their writes have no effect once the lease has expired.
			continue
		}
		r.lease.discard(id)
		r.post(func(time.Time) {
			for shard := range r.held {
				r.stepDown(shard, "the lease expired")
				if r.holders[shard].Name == r.config.Name {
					delete(r.holders, shard)
					r.contend(shard)
				}
			}
		})
	}
}

// watchBalancers watches the leased keys of the balancers while a shard is held.
func (r *Runner) watchBalancers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.heldChanged:
		}
		if r.heldCount.Load() == 0 {
			continue
		}
		watchCtx, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		r.config.Group.Go("shard balancer watch", func(context.Context) error {
			defer close(done)
			WatchWithRetry(watchCtx, r.config.Logger, BalancerPrefix, r.listAndWatchBalancers)
			return nil
		})
		for r.heldCount.Load() > 0 && ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-r.heldChanged:
			}
		}
		stop()
		<-done
	}
}

// listAndWatchBalancers posts the names of the balancers, and again after each change,
// until the watch fails.
func (r *Runner) listAndWatchBalancers(ctx context.Context) (err error) {
	names := map[string]bool{}
	return ListAndWatch(ctx, r.config.Store, BalancerPrefix, func(entries []store.Entry, _ store.Revision) {
		clear(names)
		for _, name := range balancerNames(entries) {
			names[name] = true
		}
		r.postBalancers(names)
	}, func(batch store.WatchBatch) {
		changed := false
		for _, e := range batch.Events {
			name := strings.TrimPrefix(e.Entry.Key, BalancerPrefix)
			if names[name] == e.Deleted {
				changed = true
			}
			if names[name] = !e.Deleted; e.Deleted {
				delete(names, name)
			}
		}
		if changed {
			r.postBalancers(names)
		}
	})
}

// postBalancers passes the names of the balancers to the holders.
func (r *Runner) postBalancers(names map[string]bool) {
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	r.post(func(now time.Time) { r.handleAll(now, BalancersChanged{list}) })
}

// balancerNames returns the names in the keys of balancer records.
func balancerNames(entries []store.Entry) (names []string) {
	for _, e := range entries {
		names = append(names, strings.TrimPrefix(e.Key, BalancerPrefix))
	}
	return names
}

// WatchWithRetry runs a watch until ctx ends. Whenever the watch fails, it is opened again,
// with exponential backoff and jitter; the backoff starts over after a watch that lasted
// longer than two call timeouts. WatchWithRetry blocks; prefix is only logged.
func WatchWithRetry(ctx context.Context, logger log.Logger, prefix string, watch func(ctx context.Context) error) {
	wait := minRetryWait
	for ctx.Err() == nil {
		opened := time.Now()
		err := watch(ctx)
		if ctx.Err() != nil {
			return
		}
		_ = level.Info(logger).Log("event", "store_watch_ended", "prefix", prefix, "err", err)
		if time.Since(opened) > 2*callTimeout {
			wait = minRetryWait
		}
		sleepWithJitter(ctx, wait)
		wait = min(2*wait, maxWatchRetryWait)
	}
}

// ListAndWatch lists the keys that begin with prefix and calls onList, then watches them
// and calls onChange for each batch. It blocks until a call or the watch fails or ctx ends,
// and returns the error.
func ListAndWatch(
	ctx context.Context, s store.Store, prefix string,
	onList func(entries []store.Entry, revision store.Revision), onChange func(batch store.WatchBatch),
) (err error) {
	defer func() { err = errors.WithMessagef(err, "watch %q", prefix) }()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, revision, err := s.List(callCtx, prefix)
	if err != nil {
		return err
	}
	onList(entries, revision)
	w, err := s.Watch(ctx, prefix, revision.Next())
	if err != nil {
		return err
	}
	defer w.Close()
	for {
		batch, err := w.Next(ctx)
		if err != nil {
			return err
		}
		onChange(batch)
	}
}
