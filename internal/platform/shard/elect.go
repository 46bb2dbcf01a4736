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
	"agateramp/internal/platform/store"
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
	Follow(ctx, r.config.Logger, HolderPrefix, r.followHolders)
	return nil
}

func (r *Runner) followHolders(ctx context.Context) error {
	return Watched(ctx, r.config.Store, HolderPrefix, func(entries []store.Entry, revision int64) {
		r.post(func(time.Time) { r.listed(entries, revision) })
	}, func(batch store.WatchBatch) {
		r.post(func(time.Time) {
			for i := range batch.Events {
				r.holderChanged(&batch.Events[i], batch.Revision)
			}
			r.config.Holders(maps.Clone(r.holders))
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
	for shard := range Shards {
		if !found[shard] {
			r.holderChanged(&store.Event{Entry: store.Entry{Key: HolderKey(shard)}, Deleted: true}, revision)
		}
	}
	r.config.Holders(maps.Clone(r.holders))
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
		_ = level.Warn(r.config.Logger).Log("msg", "holder record not readable", "shard", shard, "err", err)
		return
	}
	if h != nil && e.Entry.CreateRevision > h.holder.Fence() {
		r.drop(shard, "the shard has another holder")
	}
	if e.Entry.CreateRevision >= r.holders[shard].Fence {
		r.holders[shard] = HolderInfo{record, e.Entry.CreateRevision}
	}
}

// contend attempts to take a free shard after a random time.
func (r *Runner) contend(shard int) {
	wait := rand.N(contendSpread) + time.Duration(len(r.held))*heldPenalty
	r.config.Group.Go("contend for shard", func(ctx context.Context) error {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		free := make(chan bool, 1)
		r.post(func(time.Time) { free <- r.holders[shard].Fence == 0 && r.held[shard] == nil })
		select {
		case <-ctx.Done():
			return nil
		case ok := <-free:
			if !ok {
				return nil
			}
		}
		err := r.take(ctx, shard)
		if err != nil && ctx.Err() == nil {
			_ = level.Info(r.config.Logger).Log("msg", "shard not taken", "shard", shard, "err", err)
			// The watch tells who has it now; when nobody has, try again.
			if pause(ctx, time.Second) {
				r.post(func(time.Time) {
					if r.holders[shard].Fence == 0 && r.held[shard] == nil {
						r.contend(shard)
					}
				})
			}
		}
		return nil
	})
}

// take acquires a shard and reads what its holder starts from.
func (r *Runner) take(ctx context.Context, shard int) (err error) {
	defer func() { err = errors.WithMessagef(err, "take shard %d", shard) }()
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	id, err := r.lease.get(ctx)
	if err != nil {
		return err
	}
	value, err := json.Marshal(HolderRecord{Name: r.config.Name, ControlAddress: r.config.ControlAddress})
	if err != nil {
		return err
	}
	key := HolderKey(shard)
	result, err := r.config.Store.Txn(ctx, []store.Compare{{Key: key, Create: true}},
		[]store.Write{{Key: key, Value: value, Lease: id}})
	if errors.Is(err, store.ErrLeaseNotFound) {
		r.lease.forget(id)
		return err
	}
	if err == nil && !result.Succeeded {
		return errors.New("another balancer has it")
	}
	// The answer may have been lost, so the key decides whether it was taken.
	e, _, err := r.config.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	if e == nil || e.Lease != id {
		return errors.New("another balancer has it")
	}
	c := HolderConfig{Shard: shard, Fence: e.CreateRevision}
	if err = r.read(ctx, &c); err != nil {
		r.giveBack(key, c.Fence)
		return err
	}
	r.post(func(now time.Time) { r.taken(now, c) })
	return nil
}

// read reads what a new holder starts from, after the shard was taken.
func (r *Runner) read(ctx context.Context, c *HolderConfig) (err error) {
	if c.Stored, err = listTables(ctx, r.config.Store); err != nil {
		return err
	}
	manifest, _, err := r.config.Store.Get(ctx, ConfigKey)
	if err != nil {
		return err
	}
	if manifest != nil {
		c.MinSettings = manifest.ModRevision
	}
	entries, _, err := r.config.Store.List(ctx, BalancerPrefix)
	c.Balancers = balancerNames(entries)
	return err
}

// giveBack deletes a key that was taken but cannot be served. It repeats until
// the store answers, because the lease of the key is kept for other shards.
func (r *Runner) giveBack(key string, fence int64) {
	ctx := r.config.Group.Context()
	for wait := minRetry; ; wait = min(2*wait, maxRetry) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := r.config.Store.Txn(call, []store.Compare{{Key: key, Create: true, Revision: fence}},
			[]store.Write{{Key: key, Delete: true}})
		cancel()
		if err == nil || !pause(ctx, wait) {
			return
		}
	}
}

func (r *Runner) taken(now time.Time, c HolderConfig) {
	if r.held[c.Shard] != nil || r.holders[c.Shard].Fence > c.Fence {
		return
	}
	c.Now, c.Settings = now, r.settings
	holder, err := NewHolder(c)
	if err != nil {
		_ = level.Error(r.config.Logger).Log("msg", "shard not held", "shard", c.Shard, "err", err)
		return
	}
	h := &held{holder: holder}
	h.ctx, h.stop = context.WithCancel(r.config.Group.Context())
	r.held[c.Shard] = h
	r.heldCount.Store(int64(len(r.held)))
	r.holders[c.Shard] = HolderInfo{HolderRecord{r.config.Name, r.config.ControlAddress}, c.Fence}
	r.signal()
	_ = level.Info(r.config.Logger).Log("msg", "shard taken", "shard", c.Shard, "fence", c.Fence)
	for name, incarnation := range r.streams {
		r.handle(now, c.Shard, h, BalancerConnected{name, incarnation})
	}
	r.config.Holders(maps.Clone(r.holders))
	// Frames for the shard that came before this point were dropped. A Hello on an
	// open stream asks the balancers to send again what they know.
	r.config.Send("", &controlpb.Frame{Body: &controlpb.Frame_Hello{Hello: &controlpb.Hello{
		Role: controlpb.Hello_ROLE_BALANCER, Name: r.config.Name,
	}}})
}
