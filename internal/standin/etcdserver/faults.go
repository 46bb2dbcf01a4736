package etcdserver

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/memory"
	"agateramp/internal/keyvalue/store"
)

// Settings are the faults in force. The zero value means none.
type Settings struct {
	// Down makes every call fail without effect and ends every watch.
	Down bool `json:"down"`
	// DelayMS is waited before each call and each watch batch.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is how many of the next writes take effect and then report that
	// the store is unavailable.
	LoseAnswers int `json:"lose_answers"`
	// Cut names the clients for which the store is down.
	Cut []string `json:"cut"`
}

// Faults is a memory store whose faults are switched at run time. Its methods
// are safe for concurrent use.
type Faults struct {
	memory *memory.Store

	mu       sync.Mutex
	settings Settings
	calls    map[string]int64
	waiting  map[*faultyWatcher]struct{}
	// snapshot is the last snapshot, or nil.
	snapshot *memory.Snapshot
}

// NewFaults returns m with no fault switched on.
func NewFaults(m *memory.Store) *Faults {
	return &Faults{memory: m, calls: map[string]int64{}, waiting: map[*faultyWatcher]struct{}{}}
}

// Memory returns the store without faults.
func (f *Faults) Memory() *memory.Store { return f.memory }

// Settings returns the faults in force.
func (f *Faults) Settings() Settings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// Set replaces the faults in force and ends the watches that they cut.
func (f *Faults) Set(settings Settings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = settings
	for w := range f.waiting {
		if f.cut(w.client) {
			w.cancel()
		}
	}
}

// Lapse ends the lease of a key at once, as if it had expired.
func (f *Faults) Lapse(ctx context.Context, key string) (err error) {
	defer func() { err = errors.WithMessagef(err, "lapse lease of %q", key) }()
	entry, _, err := f.memory.Get(ctx, key)
	if err != nil {
		return err
	}
	if entry == nil || entry.Lease == 0 {
		return store.ErrLeaseNotFound
	}
	return f.memory.Revoke(ctx, entry.Lease)
}

// TakeSnapshot keeps a snapshot of the store for Restore.
func (f *Faults) TakeSnapshot() {
	snapshot := f.memory.Snapshot()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = snapshot
}

// Restore returns the store to the last snapshot and ends all watches, as a service does
// that was restored from a copy.
func (f *Faults) Restore() (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshot == nil {
		return errors.New("restore: no snapshot was taken")
	}
	f.memory.Restore(f.snapshot)
	for w := range f.waiting {
		w.cancel()
	}
	return nil
}

// Calls returns the number of calls by kind. A watch counts once, when it is opened.
func (f *Faults) Calls() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.calls)
}

// Store returns the store as the named client sees it.
func (f *Faults) Store(client string) store.Store { return &faulty{f, client} }

func (f *Faults) cut(client string) bool {
	if f.settings.Down {
		return true
	}
	for _, name := range f.settings.Cut {
		if name == client {
			return true
		}
	}
	return false
}

// begin counts a call, waits the delay and reports whether the client is cut.
func (f *Faults) begin(client, kind string) (err error) {
	f.mu.Lock()
	f.calls[kind]++
	delay := time.Duration(f.settings.DelayMS) * time.Millisecond
	f.mu.Unlock()
	// The delay does not end with the caller's context: a call whose caller gave
	// up still takes effect later, as in a real service.
	time.Sleep(delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut(client) {
		return errors.WithMessage(store.ErrUnavailable, "fault: down")
	}
	return nil
}

// answer replaces the result of a write whose answer is to be lost.
func (f *Faults) answer(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settings.LoseAnswers == 0 {
		return err
	}
	f.settings.LoseAnswers--
	return errors.WithMessage(store.ErrUnavailable, "fault: answer lost")
}

type faulty struct {
	faults *Faults
	client string
}

var _ store.Store = (*faulty)(nil)

func (s *faulty) Get(ctx context.Context, key string) (entry *store.Entry, revision store.Revision, err error) {
	if err = s.faults.begin(s.client, "range"); err != nil {
		return nil, revision, err
	}
	return s.faults.memory.Get(ctx, key)
}

func (s *faulty) List(ctx context.Context, prefix string) (entries []store.Entry, revision store.Revision, err error) {
	if err = s.faults.begin(s.client, "range"); err != nil {
		return nil, revision, err
	}
	return s.faults.memory.List(ctx, prefix)
}

func (s *faulty) Txn(ctx context.Context, compares []store.Compare, writes []store.Write) (
	result store.TxnResult, err error,
) {
	if err = s.faults.begin(s.client, "txn"); err != nil {
		return result, err
	}
	result, err = s.faults.memory.Txn(context.WithoutCancel(ctx), compares, writes)
	if err = s.faults.answer(err); err != nil {
		return store.TxnResult{}, err
	}
	return result, ctx.Err()
}

func (s *faulty) Grant(ctx context.Context, ttlSeconds int64) (id store.LeaseID, err error) {
	if err = s.faults.begin(s.client, "lease_grant"); err != nil {
		return 0, err
	}
	id, err = s.faults.memory.Grant(context.WithoutCancel(ctx), ttlSeconds)
	if err = s.faults.answer(err); err != nil {
		return 0, err
	}
	return id, ctx.Err()
}

func (s *faulty) KeepAlive(ctx context.Context, id store.LeaseID) (generation uint64, err error) {
	if err = s.faults.begin(s.client, "lease_keep_alive"); err != nil {
		return 0, err
	}
	return s.faults.memory.KeepAlive(ctx, id)
}

func (s *faulty) Revoke(ctx context.Context, id store.LeaseID) (err error) {
	if err = s.faults.begin(s.client, "lease_revoke"); err != nil {
		return err
	}
	err = s.faults.memory.Revoke(context.WithoutCancel(ctx), id)
	if err = s.faults.answer(err); err != nil {
		return err
	}
	return ctx.Err()
}

func (s *faulty) Watch(ctx context.Context, prefix string, revision store.Revision) (w store.Watcher, err error) {
	if err = s.faults.begin(s.client, "watch"); err != nil {
		return nil, err
	}
	inner, err := s.faults.memory.Watch(ctx, prefix, revision)
	if err != nil {
		return nil, err
	}
	return s.faults.wait(s.client, inner), nil
}

// faultyWatcher ends with ErrUnavailable when its client is cut.
type faultyWatcher struct {
	store.Watcher
	faults *Faults
	client string
	alive  context.Context
	cancel context.CancelFunc
}

func (f *Faults) wait(client string, inner store.Watcher) *faultyWatcher {
	w := &faultyWatcher{Watcher: inner, faults: f, client: client}
	w.alive, w.cancel = context.WithCancel(context.Background())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting[w] = struct{}{}
	if f.cut(client) {
		w.cancel()
	}
	return w
}

func (w *faultyWatcher) Next(ctx context.Context) (batch store.WatchBatch, err error) {
	next, cancel := context.WithCancel(ctx)
	defer cancel()
	unlink := context.AfterFunc(w.alive, cancel)
	defer unlink()
	batch, err = w.Watcher.Next(next)
	time.Sleep(time.Duration(w.faults.Settings().DelayMS) * time.Millisecond)
	switch {
	case ctx.Err() != nil:
		return store.WatchBatch{}, ctx.Err()
	case w.alive.Err() != nil:
		return store.WatchBatch{}, errors.WithMessage(store.ErrUnavailable, "fault: watch cut")
	}
	return batch, err
}

func (w *faultyWatcher) Close() {
	w.cancel()
	w.faults.mu.Lock()
	delete(w.faults.waiting, w)
	w.faults.mu.Unlock()
	w.Watcher.Close()
}
