// Package registry keeps the agents' entries in the store and follows what the
// store holds, through outages, lost history and lapsed leases.
package registry

import (
	"context"
	"maps"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/backoff"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/logging"
)

// retry spaces calls to a store that does not answer. Refused calls count against
// the store's rates, and entries have to be back within 2 s of its return.
var retry = backoff.Policy{First: 200 * time.Millisecond, Max: 800 * time.Millisecond}

const (
	// retriesPerSecond covers two followers that retry every 800 ms. Reads that find
	// the history gone count as retries too, since they could go on without a pause.
	retriesPerSecond = 3
	// retryBurst lets the followers of a process, which lose the store together, retry
	// at once.
	retryBurst = 3
)

// NewRetryBudget returns the budget that all followers and keepers of a process share.
func NewRetryBudget() *backoff.Budget { return backoff.NewBudget(retriesPerSecond, retryBurst) }

// await waits before a retry; attempt counts from 0.
func await(ctx context.Context, budget *backoff.Budget, attempt int) (err error) {
	if err = retry.Sleep(ctx, attempt); err != nil {
		return err
	}
	return budget.Wait(ctx)
}

// MirrorConfig configures a Follower.
type MirrorConfig struct {
	// Store is the store. It must be set.
	Store store.Store
	// Prefix is the prefix of the keys. It must be set.
	Prefix string
	// BatchInterval is the least time between two reads of changes; changes that come
	// together are then read together. Empty means none.
	BatchInterval time.Duration
	// OnChange takes the entries by key after each change. It must be set.
	OnChange func(entries map[string]store.Entry)
	// OnReachable is told when the store is lost and when it is back. Empty means that
	// nobody is.
	OnReachable func(reached bool)
	// RetryBudget bounds the retries of the process. It must be set.
	RetryBudget *backoff.Budget
	// Logger takes the loss and return of the store. It must be set.
	Logger log.Logger
}

// Mirror holds a copy of the entries under a prefix.
type Mirror struct {
	config  MirrorConfig
	entries map[string]store.Entry
	lost    bool
	// told is set once Reached was called.
	told bool
}

// NewMirror checks c and returns a follower that Run starts.
func NewMirror(c MirrorConfig) (f *Mirror, err error) {
	if c.Store == nil || c.Prefix == "" || c.OnChange == nil || c.RetryBudget == nil || c.Logger == nil {
		return nil, errors.New("store follower: store, prefix, changed, retries and logger must be set")
	}
	return &Mirror{config: c}, nil
}

// Run follows the entries until ctx ends.
func (f *Mirror) Run(ctx context.Context) (err error) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		revision, err := f.list(ctx)
		if err == nil {
			attempt = 0
			err = f.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			break
		}
		f.report(err)
		if errors.Is(err, store.ErrCompacted) {
			err = f.config.RetryBudget.Wait(ctx)
		} else {
			err = await(ctx, f.config.RetryBudget, attempt)
		}
		if err != nil {
			break
		}
	}
	return nil
}

func (f *Mirror) list(ctx context.Context) (revision int64, err error) {
	entries, revision, err := f.config.Store.List(ctx, f.config.Prefix)
	if err != nil {
		return 0, err
	}
	f.entries = make(map[string]store.Entry, len(entries))
	for _, e := range entries {
		f.entries[e.Key] = e
	}
	f.report(nil)
	f.config.OnChange(maps.Clone(f.entries))
	return revision, nil
}

// watch follows changes after a revision until the history is gone. An outage is
// waited out here, so that a list is read only when changes were missed.
func (f *Mirror) watch(ctx context.Context, revision int64) (err error) {
	w, err := f.config.Store.Watch(ctx, f.config.Prefix, revision+1)
	if err != nil {
		return err
	}
	defer w.Close()
	for attempt := 0; ; {
		batch, err := w.Next(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, store.ErrUnavailable):
			f.report(err)
			if err = await(ctx, f.config.RetryBudget, attempt); err != nil {
				return err
			}
			attempt++
			continue
		case err != nil:
			return err
		}
		attempt = 0
		f.report(nil)
		if len(batch.Events) == 0 {
			continue
		}
		f.apply(batch.Events)
		f.config.OnChange(maps.Clone(f.entries))
		if err = sleep(ctx, f.config.BatchInterval); err != nil {
			return err
		}
	}
}

func (f *Mirror) apply(events []store.Event) {
	for _, e := range events {
		if e.Deleted {
			delete(f.entries, e.Entry.Key)
			continue
		}
		f.entries[e.Entry.Key] = e.Entry
	}
}

// report logs when the store is lost and when it is back.
func (f *Mirror) report(err error) {
	lost := err != nil
	if lost == f.lost && f.told {
		return
	}
	f.lost, f.told = lost, true
	if f.config.OnReachable != nil {
		f.config.OnReachable(!lost)
	}
	if lost {
		logging.Line(level.Warn(f.config.Logger), "event", "store_lost", "prefix", f.config.Prefix, "err", err)
		return
	}
	logging.Line(level.Info(f.config.Logger), "event", "store_regained", "prefix", f.config.Prefix, "entries", len(f.entries))
}

func sleep(ctx context.Context, wait time.Duration) (err error) {
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
