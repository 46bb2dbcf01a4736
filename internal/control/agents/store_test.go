package agents_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"agateramp/internal/keyvalue/store"
)

// faultyStore is the connection of one balancer to the store. It can be cut off, answer late, and
// lose answers after a call took effect. It counts calls.
type faultyStore struct {
	store.Store
	faults *storeFaults
	// cutOff makes the store unavailable to this balancer alone.
	cutOff atomic.Bool
}

// storeFaults holds the faults and the call count that all stores of a testSystem share.
type storeFaults struct {
	// down makes the store unavailable to every balancer.
	down atomic.Bool
	// calls counts the calls of all balancers.
	calls atomic.Int64
	// lostAnswersPercent is the percentage of answers that are lost, callDelayMS the duration of a
	// call, and watchDelayMS the delay of a watch event.
	lostAnswersPercent, callDelayMS, watchDelayMS atomic.Int64
}

// call makes one call subject to the faults.
func (s *faultyStore) call(ctx context.Context, do func() error) error {
	s.faults.calls.Add(1)
	wait := time.Duration(s.faults.callDelayMS.Load()) * time.Millisecond
	unavailable := s.unavailable()
	if unavailable {
		wait = 20 * time.Millisecond
	}
	if wait > 0 {
		select {
		case <-ctx.Done():
			return store.ErrUnavailable
		case <-time.After(wait):
		}
	}
	if unavailable {
		return store.ErrUnavailable
	}
	err := do()
	if rand.Int64N(100) < s.faults.lostAnswersPercent.Load() {
		return store.ErrUnavailable
	}
	return err
}

// unavailable reports whether calls of this balancer fail.
func (s *faultyStore) unavailable() bool { return s.faults.down.Load() || s.cutOff.Load() }

func (s *faultyStore) Get(ctx context.Context, key string) (e *store.Entry, revision store.Revision, err error) {
	err = s.call(ctx, func() (err error) {
		e, revision, err = s.Store.Get(ctx, key)
		return err
	})
	return e, revision, err
}

func (s *faultyStore) List(ctx context.Context, prefix string) (entries []store.Entry, revision store.Revision, err error) {
	err = s.call(ctx, func() (err error) {
		entries, revision, err = s.Store.List(ctx, prefix)
		return err
	})
	return entries, revision, err
}

func (s *faultyStore) Txn(ctx context.Context, c []store.Compare, w []store.Write) (r store.TxnResult, err error) {
	err = s.call(ctx, func() (err error) {
		r, err = s.Store.Txn(ctx, c, w)
		return err
	})
	return r, err
}

func (s *faultyStore) Grant(ctx context.Context, ttl int64) (id store.LeaseID, err error) {
	err = s.call(ctx, func() (err error) {
		id, err = s.Store.Grant(ctx, ttl)
		return err
	})
	return id, err
}

func (s *faultyStore) KeepAlive(ctx context.Context, id store.LeaseID) (generation uint64, err error) {
	err = s.call(ctx, func() (err error) {
		generation, err = s.Store.KeepAlive(ctx, id)
		return err
	})
	return generation, err
}

func (s *faultyStore) Revoke(ctx context.Context, id store.LeaseID) error {
	return s.call(ctx, func() error { return s.Store.Revoke(ctx, id) })
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, revision store.Revision) (w store.Watcher, err error) {
	err = s.call(ctx, func() (err error) {
		w, err = s.Store.Watch(ctx, prefix, revision)
		return err
	})
	if err != nil {
		if w != nil {
			w.Close()
		}
		return nil, err
	}
	return &faultyWatcher{w, s}, nil
}

// faultyWatcher is a watch on a faultyStore.
type faultyWatcher struct {
	store.Watcher
	store *faultyStore
}

// Next fails when the store becomes unavailable, as a watch does whose connection breaks.
func (w *faultyWatcher) Next(ctx context.Context) (b store.WatchBatch, err error) {
	for {
		if w.store.unavailable() {
			return store.WatchBatch{}, store.ErrUnavailable
		}
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		b, err = w.Watcher.Next(short)
		cancel()
		if err == nil {
			time.Sleep(time.Duration(w.store.faults.watchDelayMS.Load()) * time.Millisecond)
		}
		if err == nil || ctx.Err() != nil || short.Err() == nil {
			return b, err
		}
	}
}
