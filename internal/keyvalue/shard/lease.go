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

// maxFollowRetry bounds the wait before a watch is opened again. After an outage
// 720 balancers open two watches each, with two calls each; spread over 20 s
// these are 144 of the 200 calls per second that are allowed then.
const maxFollowRetry = 20 * time.Second

// lease is a lease that is granted when it is first needed.
type lease struct {
	store store.Store
	ttl   int64
	// granting is held during a call, so that mu is never held for long: the loop
	// of the holders takes it. It is taken before mu.
	granting sync.Mutex
	mu       sync.Mutex
	id       store.LeaseID
}

func newLease(s store.Store, ttlSeconds int64) *lease { return &lease{store: s, ttl: ttlSeconds} }

func (l *lease) get(ctx context.Context) (id store.LeaseID, err error) {
	l.granting.Lock()
	defer l.granting.Unlock()
	if id = l.current(); id != 0 {
		return id, nil
	}
	if id, err = l.store.Grant(ctx, l.ttl); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = id
	return id, nil
}

// current returns the id of the lease, or 0 when there is none.
func (l *lease) current() store.LeaseID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id
}

// forget gives the lease up when it is still the given one.
func (l *lease) forget(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}

// revoke ends the lease at a planned stop, so that others need not wait for it.
func (l *lease) revoke() {
	id := l.current()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = l.store.Revoke(ctx, id)
	l.forget(id)
}

// renew keeps the lease of the shards while any is held.
func (r *Runner) renew(ctx context.Context) error {
	defer r.lease.revoke()
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	idle := 0
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
		if idle++; r.heldCount.Load() > 0 {
			idle = 0
		}
		if idle > 2 {
			r.lease.revoke()
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.lease.store.KeepAlive(call, id)
		cancel()
		if !errors.Is(err, store.ErrLeaseNotFound) {
			// While the store does not answer, the holders go on observing. Nothing
			// they write takes effect once the lease is gone.
			continue
		}
		r.lease.forget(id)
		r.post(func(time.Time) {
			for shard := range r.held {
				r.drop(shard, "the lease expired")
				if r.holders[shard].Name == r.config.Name {
					delete(r.holders, shard)
					r.contend(shard)
				}
			}
		})
	}
}

// watchBalancers follows the leased keys of the balancers while a shard is held.
func (r *Runner) watchBalancers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.holding:
		}
		if r.heldCount.Load() == 0 {
			continue
		}
		held, stop := context.WithCancel(ctx)
		watched := make(chan struct{})
		r.config.Group.Go("shard balancer watch", func(context.Context) error {
			defer close(watched)
			WatchWithRetry(held, r.config.Logger, BalancerPrefix, r.followBalancers)
			return nil
		})
		for r.heldCount.Load() > 0 && ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-r.holding:
			}
		}
		stop()
		<-watched
	}
}

func (r *Runner) followBalancers(ctx context.Context) (err error) {
	names := map[string]bool{}
	return ListAndWatch(ctx, r.config.Store, BalancerPrefix, func(entries []store.Entry, _ int64) {
		clear(names)
		for _, name := range balancerNames(entries) {
			names[name] = true
		}
		r.publishBalancers(names)
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
			r.publishBalancers(names)
		}
	})
}

func (r *Runner) publishBalancers(names map[string]bool) {
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	r.post(func(now time.Time) { r.all(now, BalancersChanged{list}) })
}

func balancerNames(entries []store.Entry) (names []string) {
	for _, e := range entries {
		names = append(names, strings.TrimPrefix(e.Key, BalancerPrefix))
	}
	return names
}

// WatchWithRetry runs a watch until ctx ends, and opens it again with backoff and jitter
// whenever it fails.
func WatchWithRetry(ctx context.Context, logger log.Logger, prefix string, watch func(ctx context.Context) error) {
	wait := minRetry
	for ctx.Err() == nil {
		opened := time.Now()
		err := watch(ctx)
		if ctx.Err() != nil {
			return
		}
		_ = level.Info(logger).Log("event", "store_watch_ended", "prefix", prefix, "err", err)
		if time.Since(opened) > 2*callTimeout {
			wait = minRetry
		}
		pause(ctx, wait)
		wait = min(2*wait, maxFollowRetry)
	}
}

// ListAndWatch lists the keys under a prefix and then follows their changes until the
// watch fails.
func ListAndWatch(
	ctx context.Context, s store.Store, prefix string,
	listed func(entries []store.Entry, revision int64), changed func(batch store.WatchBatch),
) (err error) {
	defer func() { err = errors.WithMessagef(err, "watch %q", prefix) }()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, revision, err := s.List(call, prefix)
	if err != nil {
		return err
	}
	listed(entries, revision)
	w, err := s.Watch(ctx, prefix, revision+1)
	if err != nil {
		return err
	}
	defer w.Close()
	for {
		batch, err := w.Next(ctx)
		if err != nil {
			return err
		}
		changed(batch)
	}
}
