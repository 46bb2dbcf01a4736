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
	shardLeaseSeconds = 5
	// renewInterval gives two attempts within the lease. 16 holders that renew
	// every 2 s make 8 of the 50 store calls per second.
	renewInterval = 2 * time.Second
	// contendSpread is the time over which balancers spread their attempts at a
	// free shard. With 720 of them, few attempt before the first is seen to win.
	contendSpread = time.Second
	// heldPenalty delays a balancer by the shards that it holds, to spread these.
	heldPenalty = 250 * time.Millisecond
)

// watchHolders follows the lease keys of the shards.
func (r *Runner) watchHolders(ctx context.Context) error {
	WatchWithRetry(ctx, r.config.Logger, HolderPrefix, r.followHolders)
	return nil
}

func (r *Runner) followHolders(ctx context.Context) error {
	return ListAndWatch(ctx, r.config.Store, HolderPrefix, func(entries []store.Entry, revision int64) {
		r.post(func(time.Time) { r.listed(entries, revision) })
	}, func(batch store.WatchBatch) {
		r.post(func(time.Time) {
			for i := range batch.Events {
				r.holderChanged(&batch.Events[i], batch.Revision)
			}
			r.config.HoldersChanged(maps.Clone(r.holders))
		})
	})
}

func (r *Runner) listed(entries []store.Entry, revision int64) {
	found := map[int]bool{}
	for i := range entries {
		if shard, ok := shardOfKey(entries[i].Key); ok {
			found[shard] = true
			r.holderChanged(&store.Event{Entry: entries[i]}, revision)
		}
	}
	for shard := range Count {
		if !found[shard] {
			r.holderChanged(&store.Event{Entry: store.Entry{Key: HolderKey(shard)}, Deleted: true}, revision)
		}
	}
	r.config.HoldersChanged(maps.Clone(r.holders))
}

func (r *Runner) holderChanged(e *store.Event, revision int64) {
	shard, ok := shardOfKey(e.Entry.Key)
	if !ok {
		return
	}
	h := r.held[shard]
	if e.Deleted {
		// A deletion from before this process took the shard comes late.
		if h != nil && revision < h.holder.Fence() {
			return
		}
		delete(r.holders, shard)
		r.drop(shard, "the lease ended")
		r.contend(shard)
		return
	}
	var record HolderRecord
	if err := json.Unmarshal(e.Entry.Value, &record); err != nil {
		_ = level.Warn(r.config.Logger).Log("event", "holder_record_unreadable", "shard", shard, "err", err)
		return
	}
	if h != nil && e.Entry.CreateRevision > h.holder.Fence() {
		r.drop(shard, "the shard has another holder")
	}
	if e.Entry.CreateRevision >= r.holders[shard].Fence {
		r.holders[shard] = HolderInfo{record, e.Entry.CreateRevision}
	}
	if r.held[shard] == nil && e.Entry.Lease != 0 && e.Entry.Lease == r.lease.current() {
		// An attempt that was taken for failed has succeeded late.
		r.attempt(shard, 0, func() bool { return true })
	}
}

// contend attempts to take a free shard after a random time.
func (r *Runner) contend(shard int) {
	wait := rand.N(contendSpread) + time.Duration(len(r.held))*heldPenalty
	r.attempt(shard, wait, func() bool { return r.holders[shard].Fence == 0 })
}

// attempt takes a shard after a time, unless it is held, an attempt is running or
// wanted says no by then. It is repeated while it fails.
func (r *Runner) attempt(shard int, wait time.Duration, wanted func() bool) {
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
			ok := r.held[shard] == nil && !r.taking[shard] && wanted()
			if ok {
				r.taking[shard] = true
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
		c, err := r.take(ctx, shard)
		if err != nil && ctx.Err() == nil {
			_ = level.Info(r.config.Logger).Log("event", "shard_not_taken", "shard", shard, "err", err)
		}
		r.post(func(now time.Time) {
			delete(r.taking, shard)
			if err == nil {
				r.taken(now, c)
				return
			}
			// The watch tells who has it now; when nobody has, try again.
			r.attempt(shard, time.Second+rand.N(time.Second), func() bool { return r.holders[shard].Fence == 0 })
		})
		return nil
	})
}

// take acquires a shard and reads what its holder starts from. An attempt whose
// answer was lost may have succeeded, so the key decides. Once the key is known
// to belong to this process, reads are repeated until they succeed: the lease is
// kept alive for other shards, so the key would stay and nobody serve it.
func (r *Runner) take(ctx context.Context, shard int) (c HolderConfig, err error) {
	defer func() { err = errors.WithMessagef(err, "take shard %d", shard) }()
	c.Shard = shard
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id, err := r.lease.get(call)
	if err != nil {
		return c, err
	}
	value, err := json.Marshal(HolderRecord{Name: r.config.Name, ControlAddress: r.config.ControlAddress})
	if err != nil {
		return c, err
	}
	key := HolderKey(shard)
	_, err = r.config.Store.Txn(call, []store.Compare{{Key: key, ByCreateRevision: true}},
		[]store.Write{{Key: key, Value: value, Lease: id}})
	if errors.Is(err, store.ErrLeaseNotFound) {
		r.lease.forget(id)
		return c, err
	}
	return c, r.read(ctx, id, &c)
}

// read reads what a new holder starts from. It returns errFenced when the shard
// is not held under the given lease.
func (r *Runner) read(ctx context.Context, id store.LeaseID, c *HolderConfig) (err error) {
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
			c.Stored, err = listTables(ctx, r.config.Store)
			return err
		},
		func(ctx context.Context) error {
			manifest, _, err := r.config.Store.Get(ctx, ConfigKey)
			if err == nil && manifest != nil {
				c.MinSettings = manifest.ModRevision
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

func (r *Runner) taken(now time.Time, c HolderConfig) {
	if r.held[c.Shard] != nil || r.holders[c.Shard].Fence > c.Fence {
		return
	}
	c.Now, c.Settings = now, r.settings
	holder, err := NewHolder(c)
	if err != nil {
		_ = level.Error(r.config.Logger).Log("event", "shard_not_held", "shard", c.Shard, "err", err)
		return
	}
	h := &held{holder: holder}
	h.ctx, h.stop = context.WithCancel(r.config.Group.Context())
	r.held[c.Shard] = h
	r.heldCount.Store(int64(len(r.held)))
	r.holders[c.Shard] = HolderInfo{HolderRecord{r.config.Name, r.config.ControlAddress}, c.Fence}
	r.signal()
	_ = level.Info(r.config.Logger).Log("event", "shard_taken", "shard", c.Shard, "fence", c.Fence)
	for name, incarnation := range r.streams {
		r.handle(now, c.Shard, h, BalancerConnected{name, incarnation})
	}
	r.config.HoldersChanged(maps.Clone(r.holders))
	// Frames for the shard that came before this point were dropped. A Hello on an
	// open stream asks the balancers to send again what they know.
	r.config.Send("", &controlpb.Frame{Body: &controlpb.Frame_Hello{Hello: &controlpb.Hello{
		Role: controlpb.Hello_ROLE_BALANCER, Name: r.config.Name,
	}}})
}
