package shard

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/keyvalue/store"
)

const (
	// shardLeaseSeconds is the time to live of the lease on the shards of a process.
	shardLeaseSeconds = 5
	// renewInterval allows two attempts within the time to live of the lease. 16 holders
	// that renew every 2 s use 8 of the 50 store calls per second.
	renewInterval = 2 * time.Second
	// contendSpread is the time over which balancers spread their attempts to acquire a
	// free shard. With 720 balancers, few make an attempt before they see that another has
	// acquired it.
	contendSpread = time.Second
	// perHeldShardDelay delays the attempt of a balancer for each shard that it already
	// holds, to distribute the shards.
	perHeldShardDelay = 250 * time.Millisecond
)

// watchHolders watches the holder keys of the shards until ctx ends.
func (r *Runner) watchHolders(ctx context.Context) error {
	WatchWithRetry(ctx, r.config.Logger, HolderPrefix, r.listAndWatchHolders)
	return nil
}

// listAndWatchHolders passes the holder keys and their changes to the loop until the watch
// fails.
func (r *Runner) listAndWatchHolders(ctx context.Context) error {
	return ListAndWatch(ctx, r.config.Store, HolderPrefix, func(entries []store.Entry, revision store.Revision) {
		r.post(func(time.Time) { r.holdersListed(entries, revision) })
	}, func(batch store.WatchBatch) {
		r.post(func(time.Time) {
			for i := range batch.Events {
				r.holderChanged(&batch.Events[i], batch.Revision.Number)
			}
			r.config.HoldersChanged(maps.Clone(r.holders))
		})
	})
}

// holdersListed applies a full list of the holder keys. A shard without a key is free.
func (r *Runner) holdersListed(entries []store.Entry, revision store.Revision) {
	r.setGeneration(revision.Generation)
	found := map[int]bool{}
	for i := range entries {
		if shard, ok := shardOfKey(entries[i].Key); ok {
			found[shard] = true
			r.holderChanged(&store.Event{Entry: entries[i]}, revision.Number)
		}
	}
	for shard := range Count {
		if !found[shard] {
			r.holderChanged(&store.Event{Entry: store.Entry{Key: HolderKey(shard)}, Deleted: true}, revision.Number)
		}
	}
	r.config.HoldersChanged(maps.Clone(r.holders))
}

// setGeneration forgets all holders, and gives up all shards and the lease, if the store was restored: fences and lease
// ids are given out again by the next generation.
func (r *Runner) setGeneration(generation uint64) {
	if generation == r.generation {
		return
	}
	_ = level.Warn(r.config.Logger).Log("event", "store_restored", "prefix", HolderPrefix, "generation", generation, "previous", r.generation)
	r.generation = generation
	clear(r.holders)
	for shard := range r.held {
		r.stepDown(shard, "the store was restored")
	}
	r.lease.discard(r.lease.current())
}

// holderChanged applies a change of a holder key. If this process held the shard and no
// longer does, it steps down. If the shard is free, the process competes for it. revision
// is the store revision of the list or the batch that the change comes from.
func (r *Runner) holderChanged(e *store.Event, revision int64) {
	shard, ok := shardOfKey(e.Entry.Key)
	if !ok {
		return
	}
	h := r.held[shard]
	if e.Deleted {
		// The key was deleted before this process acquired the shard.
		if h != nil && revision < h.holder.Fence() {
			return
		}
		delete(r.holders, shard)
		r.stepDown(shard, "the lease ended")
		r.contend(shard)
		return
	}
	var record HolderRecord
	if err := json.Unmarshal(e.Entry.Value, &record); err != nil {
		_ = level.Warn(r.config.Logger).Log("event", "holder_record_unreadable", "shard", shard, "err", err)
		return
	}
	if h != nil && e.Entry.CreateRevision > h.holder.Fence() {
		r.stepDown(shard, "the shard has another holder")
	}
	if e.Entry.CreateRevision >= r.holders[shard].Fence {
		r.holders[shard] = HolderInfo{record, e.Entry.CreateRevision}
	}
	if r.held[shard] == nil && e.Entry.Lease != 0 && e.Entry.Lease == r.lease.current() {
		// The key has the lease of this process: an attempt that seemed to fail has succeeded.
		r.scheduleAcquire(shard, 0, func() bool { return true })
	}
}

// contend attempts to acquire a free shard after a random delay.
func (r *Runner) contend(shard int) {
	wait := rand.N(contendSpread) + time.Duration(len(r.held))*perHeldShardDelay
	r.scheduleAcquire(shard, wait, func() bool { return r.holders[shard].Fence == 0 })
}

// scheduleAcquire starts a task that attempts to acquire a shard after a delay. The task
// does nothing if by then the shard is held here, an attempt is running or wanted returns
// false; the loop calls wanted. After a failed attempt, it tries again while the shard is
// free.
func (r *Runner) scheduleAcquire(shard int, wait time.Duration, wanted func() bool) {
	r.config.Group.Go("contend for shard", func(ctx context.Context) error {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		start := make(chan bool, 1)
		r.post(func(time.Time) {
			ok := r.held[shard] == nil && !r.acquiring[shard] && wanted()
			if ok {
				r.acquiring[shard] = true
			}
			start <- ok
		})
		select {
		case <-ctx.Done():
			return nil
		case ok := <-start:
			if !ok {
				return nil
			}
		}
		c, err := r.acquire(ctx, shard)
		if err != nil && ctx.Err() == nil {
			_ = level.Info(r.config.Logger).Log("event", "shard_not_taken", "shard", shard, "err", err)
		}
		r.post(func(now time.Time) {
			delete(r.acquiring, shard)
			if err == nil {
				r.startHolder(now, c)
				return
			}
			// The watch reports the holder, if there is one. Otherwise try again.
			r.scheduleAcquire(shard, time.Second+rand.N(time.Second), func() bool { return r.holders[shard].Fence == 0 })
		})
		return nil
	})
}

// acquire writes the holder key of a shard and reads the state that its holder starts from.
// If the answer to the write is lost, the write may have succeeded, so the key itself
// decides. Once the key is known to belong to this process, the reads are repeated until
// they succeed: the lease is renewed for the other shards, so the key would remain while no
// process serves the shard.
func (r *Runner) acquire(ctx context.Context, shard int) (c HolderConfig, err error) {
	defer func() { err = errors.WithMessagef(err, "acquire shard %d", shard) }()
	c.Shard = shard
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id, err := r.lease.getOrGrant(callCtx)
	if err != nil {
		return c, err
	}
	value, err := json.Marshal(HolderRecord{Name: r.config.Name, ControlAddress: r.config.ControlAddress})
	if err != nil {
		return c, err
	}
	key := HolderKey(shard)
	_, err = r.config.Store.Txn(callCtx, []store.Compare{{Key: key, ByCreateRevision: true}},
		[]store.Write{{Key: key, Value: value, Lease: id}})
	if errors.Is(err, store.ErrLeaseNotFound) {
		r.lease.discard(id)
		return c, err
	}
	return c, r.readInitialState(ctx, id, &c)
}

// readInitialState reads the state that a new holder starts from. It returns errFenced if
// the holder key does not have the given lease.
func (r *Runner) readInitialState(ctx context.Context, id store.LeaseID, c *HolderConfig) (err error) {
	for _, call := range []func(ctx context.Context) error{
		func(ctx context.Context) error {
			e, _, err := r.config.Store.Get(ctx, HolderKey(c.Shard))
			if err == nil && (e == nil || e.Lease != id) {
				return errFenced
			}
			if err == nil {
				c.Fence = e.CreateRevision
			}
			return err
		},
		func(ctx context.Context) (err error) {
			c.Stored, err = listStoredSpecs(ctx, r.config.Store)
			return err
		},
		func(ctx context.Context) error {
			manifest, _, err := r.config.Store.Get(ctx, ConfigKey)
			if err == nil && manifest != nil {
				c.MinSettingsRevision = manifest.ModRevision
			}
			return err
		},
		func(ctx context.Context) error {
			entries, _, err := r.config.Store.List(ctx, BalancerPrefix)
			c.Balancers = balancerNames(entries)
			return err
		},
	} {
		if err = retry(ctx, call); err != nil {
			return err
		}
	}
	return nil
}

// startHolder starts the holder of a shard that was just acquired.
func (r *Runner) startHolder(now time.Time, c HolderConfig) {
	if r.held[c.Shard] != nil || r.holders[c.Shard].Fence > c.Fence {
		return
	}
	c.Now, c.Settings = now, r.settings
	holder, err := NewHolder(c)
	if err != nil {
		_ = level.Error(r.config.Logger).Log("event", "shard_not_held", "shard", c.Shard, "err", err)
		return
	}
	h := &heldShard{holder: holder}
	h.ctx, h.stop = context.WithCancel(r.config.Group.Context())
	r.held[c.Shard] = h
	r.heldCount.Store(int64(len(r.held)))
	r.holders[c.Shard] = HolderInfo{HolderRecord{r.config.Name, r.config.ControlAddress}, c.Fence}
	r.signalHeldChanged()
	_ = level.Info(r.config.Logger).Log("event", "shard_taken", "shard", c.Shard, "fence", c.Fence)
	for name, incarnation := range r.connected {
		r.handle(now, c.Shard, h, BalancerConnected{name, incarnation})
	}
	r.config.HoldersChanged(maps.Clone(r.holders))
	// Frames for the shard that arrived before this point were dropped. A Hello on an open
	// stream makes the balancers send their reports again.
	r.config.Send("", &controlpb.Frame{Body: &controlpb.Frame_Hello{Hello: &controlpb.Hello{
		Role: controlpb.Hello_ROLE_BALANCER, Name: r.config.Name,
	}}})
}
