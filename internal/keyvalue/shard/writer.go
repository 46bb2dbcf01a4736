package shard

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/keyvalue/store"
)

const (
	// callTimeout limits one store call. The store may take 1 s to answer.
	callTimeout = 4 * time.Second
	// minRetryWait and maxRetryWait are the shortest and longest mean waits between calls
	// to a store that fails.
	minRetryWait = 100 * time.Millisecond
	maxRetryWait = 2 * time.Second
)

// publishTransaction returns the conditions and writes of a publication. The writes are
// fenced: the transaction fails if the holder key of the shard no longer exists or was
// created again in the meantime.
func publishTransaction(shard int, fence int64, p *Publish) (
	compares []store.Compare, writes []store.Write, err error,
) {
	compares = append(compares, store.Compare{Key: HolderKey(shard), ByCreateRevision: true, Revision: fence})
	created := false
	for _, c := range p.Changes {
		created = created || c.Revision == 0
		w := store.Write{Key: TableKey(c.Spec.GetServiceId()), Delete: c.Delete}
		if !c.Delete {
			if w.Value, err = proto.Marshal(c.Spec); err != nil {
				return nil, nil, errors.WithMessagef(err, "encode spec of service %d", c.Spec.GetServiceId())
			}
		}
		compares = append(compares, store.Compare{Key: w.Key, Revision: c.Revision})
		writes = append(writes, w)
	}
	if created {
		compares = append(compares, store.Compare{Key: ConfigKey, Revision: p.SettingsRevision})
	}
	return compares, writes, nil
}

// errFenced means that another process holds the shard, or none does.
var errFenced = errors.New("shard lease lost")

// executePublish writes a publication and returns the event that answers it. A transaction
// that fails or whose answer is lost is never sent again: the stored specs are read, and
// the holder decides anew. executePublish returns errFenced if the shard is no longer held
// under the fence.
func executePublish(ctx context.Context, s store.Store, shard int, fence int64, p *Publish) (answer Event, err error) {
	defer func() { err = errors.WithMessagef(err, "publish tables of shard %d", shard) }()
	compares, writes, err := publishTransaction(shard, fence, p)
	if err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	result, err := s.Txn(callCtx, compares, writes)
	cancel()
	if err == nil && result.Succeeded {
		return PublishConfirmed{Revision: result.Revision.Number}, nil
	}
	stored, err := readStoredSpecs(ctx, s, shard, fence)
	if err != nil {
		return nil, err
	}
	return PublishUnconfirmed{Stored: stored}, nil
}

// readStoredSpecs lists the stored specs. It returns errFenced if the create revision of
// the holder key is not the fence.
func readStoredSpecs(ctx context.Context, s store.Store, shard int, fence int64) (stored []StoredSpec, err error) {
	err = retry(ctx, func(ctx context.Context) error {
		key, _, err := s.Get(ctx, HolderKey(shard))
		if err == nil && (key == nil || key.CreateRevision != fence) {
			return errFenced
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	err = retry(ctx, func(ctx context.Context) (err error) {
		stored, err = listStoredSpecs(ctx, s)
		return err
	})
	return stored, err
}

// retry repeats a call until it succeeds, returns errFenced, or ctx ends.
func retry(ctx context.Context, call func(ctx context.Context) error) error {
	for wait := minRetryWait; ; wait = min(2*wait, maxRetryWait) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(callCtx)
		cancel()
		if err == nil || errors.Is(err, errFenced) || !sleepWithJitter(ctx, wait) {
			return err
		}
	}
}

// listStoredSpecs returns the table specs of all shards. A spec that cannot be read counts as one without versions, so that
// its holder replaces it and the others are served. Other keys are left out.
func listStoredSpecs(ctx context.Context, s store.Store) (stored []StoredSpec, err error) {
	entries, _, err := s.List(ctx, TablePrefix)
	if err != nil {
		return nil, err
	}
	for i := range entries {
		st, err := ParseTable(&entries[i])
		if err != nil {
			id, ok := ServiceOfTableKey(entries[i].Key)
			if !ok {
				continue
			}
			st = StoredSpec{Spec: &controlpb.TableSpec{ServiceId: id}, Revision: entries[i].ModRevision}
		}
		stored = append(stored, st)
	}
	return stored, nil
}

// sleepWithJitter blocks for 0.5 to 1.5 times the given wait. It returns false if ctx ended
// first.
func sleepWithJitter(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait/2 + rand.N(wait))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
