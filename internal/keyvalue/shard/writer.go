package shard

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"agateramp/internal/keyvalue/store"
)

const (
	// callTimeout bounds one store call. The store may take 1 s to respond.
	callTimeout = 4 * time.Second
	// minRetry and maxRetry bound the wait between calls to a store that fails.
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
)

// transaction returns the conditions and writes of a publication. Each write is
// fenced: it fails once the lease key of the shard is gone or was created anew.
func transaction(shard int, fence int64, p *Publish) (compares []store.Compare, writes []store.Write, err error) {
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
		compares = append(compares, store.Compare{Key: ConfigKey, Revision: p.Settings})
	}
	return compares, writes, nil
}

// errFenced says that the shard is held by another process or by none.
var errFenced = errors.New("shard lease lost")

// write runs a publication and returns the event that answers it. A transaction
// that fails or whose answer is lost is never sent again: the store is read, and
// the holder decides anew. It returns errFenced when the lease is gone.
func write(ctx context.Context, s store.Store, shard int, fence int64, p *Publish) (answer Event, err error) {
	defer func() { err = errors.WithMessagef(err, "publish tables of shard %d", shard) }()
	compares, writes, err := transaction(shard, fence, p)
	if err != nil {
		return nil, err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	result, err := s.Txn(call, compares, writes)
	cancel()
	if err == nil && result.Succeeded {
		return Published{Revision: result.Revision}, nil
	}
	stored, err := reread(ctx, s, shard, fence)
	if err != nil {
		return nil, err
	}
	return Reread{Stored: stored}, nil
}

// reread lists the stored specs, provided that the lease key is still that of the fence.
func reread(ctx context.Context, s store.Store, shard int, fence int64) (stored []StoredSpec, err error) {
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
		stored, err = listTables(ctx, s)
		return err
	})
	return stored, err
}

// retry repeats a call until the store answers it.
func retry(ctx context.Context, call func(ctx context.Context) error) error {
	for wait := minRetry; ; wait = min(2*wait, maxRetry) {
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(limited)
		cancel()
		if err == nil || errors.Is(err, errFenced) || !pause(ctx, wait) {
			return err
		}
	}
}

func listTables(ctx context.Context, s store.Store) (stored []StoredSpec, err error) {
	entries, _, err := s.List(ctx, TablePrefix)
	if err != nil {
		return nil, err
	}
	for i := range entries {
		st, err := ParseTable(&entries[i])
		if err != nil {
			return nil, err
		}
		stored = append(stored, st)
	}
	return stored, nil
}

// pause waits for half to one and a half of the given time. It reports false when ctx ended.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait/2 + rand.N(wait))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
