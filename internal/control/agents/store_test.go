package agents_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"agateramp/internal/keyvalue/store"
)

// view is the store as one balancer sees it. It can be cut off, answer late, and
// lose answers after the call took effect. It counts calls.
type view struct {
	store.Store
	faults *storeFaults
	cut    atomic.Bool
}

// storeFaults are those of all views of a system.
type storeFaults struct {
	down  atomic.Bool
	calls atomic.Int64
	// lost is the percentage of answers that are lost, delayMS the time of a call,
	// and watchDelayMS that of a watch event.
	lost, delayMS, watchDelayMS atomic.Int64
}

// call makes one call under the faults.
func (v *view) call(ctx context.Context, do func() error) error {
	v.faults.calls.Add(1)
	wait := time.Duration(v.faults.delayMS.Load()) * time.Millisecond
	failed := v.failed()
	if failed {
		wait = 20 * time.Millisecond
	}
	if wait > 0 {
		select {
		case <-ctx.Done():
			return store.ErrUnavailable
		case <-time.After(wait):
		}
	}
	if failed {
		return store.ErrUnavailable
	}
	err := do()
	if rand.Int64N(100) < v.faults.lost.Load() {
		return store.ErrUnavailable
	}
	return err
}

func (v *view) failed() bool { return v.faults.down.Load() || v.cut.Load() }

func (v *view) Get(ctx context.Context, key string) (e *store.Entry, revision int64, err error) {
	err = v.call(ctx, func() (err error) {
		e, revision, err = v.Store.Get(ctx, key)
		return err
	})
	return e, revision, err
}

func (v *view) List(ctx context.Context, prefix string) (entries []store.Entry, revision int64, err error) {
	err = v.call(ctx, func() (err error) {
		entries, revision, err = v.Store.List(ctx, prefix)
		return err
	})
	return entries, revision, err
}

func (v *view) Txn(ctx context.Context, c []store.Compare, w []store.Write) (r store.TxnResult, err error) {
	err = v.call(ctx, func() (err error) {
		r, err = v.Store.Txn(ctx, c, w)
		return err
	})
	return r, err
}

func (v *view) Grant(ctx context.Context, ttl int64) (id store.LeaseID, err error) {
	err = v.call(ctx, func() (err error) {
		id, err = v.Store.Grant(ctx, ttl)
		return err
	})
	return id, err
}

func (v *view) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return v.call(ctx, func() error { return v.Store.KeepAlive(ctx, id) })
}

func (v *view) Revoke(ctx context.Context, id store.LeaseID) error {
	return v.call(ctx, func() error { return v.Store.Revoke(ctx, id) })
}

func (v *view) Watch(ctx context.Context, prefix string, revision int64) (w store.Watcher, err error) {
	err = v.call(ctx, func() (err error) {
		w, err = v.Store.Watch(ctx, prefix, revision)
		return err
	})
	if err != nil {
		if w != nil {
			w.Close()
		}
		return nil, err
	}
	return &viewWatcher{w, v}, nil
}

type viewWatcher struct {
	store.Watcher
	view *view
}

// Next ends like a watch whose connection breaks when the store goes down.
func (w *viewWatcher) Next(ctx context.Context) (b store.WatchBatch, err error) {
	for {
		if w.view.failed() {
			return store.WatchBatch{}, store.ErrUnavailable
		}
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		b, err = w.Watcher.Next(short)
		cancel()
		if err == nil {
			time.Sleep(time.Duration(w.view.faults.watchDelayMS.Load()) * time.Millisecond)
		}
		if err == nil || ctx.Err() != nil || short.Err() == nil {
			return b, err
		}
	}
}
