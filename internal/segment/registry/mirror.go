// Package registry records agents in the key-value store and keeps local copies of what the store holds.
//
// An agent runs a Registrar, which writes the agent's Entry under a lease and renews the lease. A balancer runs one
// Mirror for the entries of the agents and another for the operator's configuration. Both retry through outages of
// the store and recover from compacted history and expired leases. Their retries share the budget of NewRetryBudget.
// What the entries mean is left to the importers of this package.
package registry

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/backoff"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
	"agateramp/internal/process/logging"
)

// retryBackoff spaces calls to a store that does not answer. The store counts refused calls against its rate limits,
// and agent entries must be back within 2 s of the store's return.
var retryBackoff = backoff.Policy{First: 200 * time.Millisecond, Max: 800 * time.Millisecond}

const (
	// retriesPerSecond suffices for two mirrors that each retry every 800 ms. Reads after compacted history count as
	// retries too, because they could otherwise repeat without a pause.
	retriesPerSecond = 3
	// retryBurst lets the mirrors of a process, which lose the store at the same time, retry at once, and the reads of
	// a process that has just started overlap.
	retryBurst = 3
)

// overlapBackoff spaces the reads of all entries that are started while earlier ones have no response, by about 100, 200,
// 400 and then 600 ms. The store usually responds within a few milliseconds, and a call times out after 1 s.
var overlapBackoff = backoff.Policy{First: 50 * time.Millisecond, Max: 600 * time.Millisecond}

// NewRetryBudget returns the retry budget that all mirrors and registrars of a process share.
func NewRetryBudget() *backoff.Budget { return backoff.NewBudget(retriesPerSecond, retryBurst) }

// waitForRetry blocks until the next retry may be made. The attempt counts from 0. It returns an error if ctx ends.
func waitForRetry(ctx context.Context, budget *backoff.Budget, attempt int) (err error) {
	if err = retryBackoff.Sleep(ctx, attempt); err != nil {
		return err
	}
	return budget.Wait(ctx)
}

// MirrorConfig configures a Mirror.
type MirrorConfig struct {
	// Store is the key-value store to read. Must be set.
	Store store.Store
	// Prefix selects the entries to copy by the prefix of their keys. Must be set.
	Prefix string
	// BatchInterval is the least time between two reads of changes, so that changes close together are read in one
	// batch. If zero, changes are read as they come.
	BatchInterval time.Duration
	// OnChange is called with all entries by key after each full read and each batch of changes, and with the revision
	// of the store that they are of. Run waits for its return. The map is a copy that OnChange may keep. Must be set.
	OnChange func(entries map[string]store.Entry, revision store.Revision)
	// OnReachable is called after each response of the store with true, and after each failed call with false. If nil,
	// it is not called.
	OnReachable func(reachable bool)
	// OnGeneration is called after each response of the store with the generation of the store. If nil, it is not
	// called.
	OnGeneration func(generation uint64)
	// RetryBudget limits the retries of the whole process. Must be set.
	RetryBudget *backoff.Budget
	// Logger receives a line when the store is lost and when it is regained. Must be set.
	Logger log.Logger
}

// Mirror keeps a local copy of the entries under a key prefix up to date by a watch of the store.
type Mirror struct {
	config  MirrorConfig
	entries map[string]store.Entry
	// revision is the revision of the last full read or of the last change.
	revision store.Revision
	// storeLost is set while the store does not answer; stateReported is set once its state was first reported.
	storeLost     bool
	stateReported bool

	// mu guards the fields below.
	mu sync.Mutex
	// cancelWatch ends the watch that is open, and is nil if there is none. watchedGeneration is the generation of the
	// store that the watch is of.
	cancelWatch       context.CancelFunc
	watchedGeneration uint64
}

// NewMirror validates c and returns a mirror that does nothing until Run is called.
func NewMirror(c MirrorConfig) (m *Mirror, err error) {
	if c.Store == nil || c.Prefix == "" || c.OnChange == nil || c.RetryBudget == nil || c.Logger == nil {
		return nil, errors.New("store mirror: Store, Prefix, OnChange, RetryBudget and Logger must be set")
	}
	return &Mirror{config: c}, nil
}

// Refresh makes Run read all entries again if its watch is of an earlier generation of the store. It does not block and
// is safe for concurrent use.
func (m *Mirror) Refresh(generation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelWatch != nil && m.watchedGeneration < generation {
		m.cancelWatch()
	}
}

// Run keeps the copy up to date until ctx ends, and then returns nil. It retries all errors of the store. After an error
// of a watch it reads all entries again, because the store may have been restored meanwhile.
func (m *Mirror) Run(ctx context.Context) (err error) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		revision, err := m.list(ctx)
		if err == nil {
			attempt = 0
			err = m.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			break
		}
		m.reportState(err)
		if errors.Is(err, store.ErrCompacted) {
			err = m.config.RetryBudget.Wait(ctx)
		} else {
			err = waitForRetry(ctx, m.config.RetryBudget, attempt)
		}
		if err != nil {
			break
		}
	}
	return nil
}

// list replaces the copy by a full read and returns the revision of the store at that read.
func (m *Mirror) list(ctx context.Context) (revision store.Revision, err error) {
	r := m.read(ctx)
	if r.err != nil {
		return revision, r.err
	}
	if r.number > 0 {
		// The store has returned from an outage.
		m.reportState(errNoResponse)
	}
	revision = r.revision
	m.entries = make(map[string]store.Entry, len(r.entries))
	for _, e := range r.entries {
		m.entries[e.Key] = e
	}
	if m.stateReported && revision.Generation != m.revision.Generation {
		logging.Line(level.Warn(m.config.Logger), "event", "store_restored", "prefix", m.config.Prefix, "generation", revision.Generation,
			"previous", m.revision.Generation, "revision", revision.Number, "previous_revision", m.revision.Number)
	}
	m.revision = revision
	m.reportState(nil)
	m.config.OnChange(maps.Clone(m.entries), m.revision)
	return revision, nil
}

// errNoResponse is the error of a read that has no response while a later one has.
var errNoResponse = errors.WithMessage(store.ErrUnavailable, "no response to an earlier read")

// readResult is the result of a read of all entries. number counts the overlapping reads from 0.
type readResult struct {
	number   int
	entries  []store.Entry
	revision store.Revision
	err      error
}

// read reads all entries. As long as there is no response, it starts further reads within the retry budget, because the
// store never responds to calls that it received during an outage, also not after its return. It returns the first
// response, or an error if no read is left.
func (m *Mirror) read(ctx context.Context) readResult {
	reads := group.New(ctx)
	defer func() {
		reads.Stop()
		// The tasks report errors as results.
		_ = reads.Wait()
	}()
	results, due := make(chan readResult), make(chan struct{})
	startRead := func(number int) {
		reads.Go("read", func(ctx context.Context) error {
			entries, revision, err := m.config.Store.List(ctx, m.config.Prefix)
			select {
			case results <- readResult{number: number, entries: entries, revision: revision, err: err}:
			case <-ctx.Done():
			}
			return nil
		})
	}
	reads.Go("pace", func(ctx context.Context) error {
		m.paceReads(ctx, due)
		return nil
	})
	startRead(0)
	for started, ended := 1, 0; ; {
		select {
		case <-ctx.Done():
			return readResult{err: ctx.Err()}
		case <-due:
			startRead(started)
			started++
		case r := <-results:
			ended++
			if r.err == nil || ended == started {
				return r
			}
			m.reportState(r.err)
		}
	}
}

// paceReads sends to due whenever another read is to be started, until ctx ends.
func (m *Mirror) paceReads(ctx context.Context, due chan<- struct{}) {
	for attempt := 1; ; attempt++ {
		if overlapBackoff.Sleep(ctx, attempt) != nil || m.config.RetryBudget.Wait(ctx) != nil {
			return
		}
		select {
		case due <- struct{}{}:
		case <-ctx.Done():
			return
		}
	}
}

// watch applies the changes after a revision until the watch fails, for example because the history was compacted or the
// store is unavailable.
func (m *Mirror) watch(ctx context.Context, revision store.Revision) (err error) {
	w, err := m.config.Store.Watch(ctx, m.config.Prefix, revision.Next())
	if err != nil {
		return err
	}
	defer w.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.setWatch(cancel, revision.Generation)
	defer m.setWatch(nil, 0)
	for {
		batch, err := w.Next(ctx)
		switch {
		case ctx.Err() != nil:
			return errors.WithMessage(store.ErrCompacted, "watch was ended by Refresh")
		case err != nil:
			return err
		}
		m.reportState(nil)
		if len(batch.Events) == 0 {
			continue
		}
		m.apply(batch.Events)
		m.config.OnChange(maps.Clone(m.entries), m.revision)
		if err = sleep(ctx, m.config.BatchInterval); err != nil {
			return err
		}
	}
}

func (m *Mirror) apply(events []store.Event) {
	for _, e := range events {
		m.revision.Number = max(m.revision.Number, e.Entry.ModRevision)
		if e.Deleted {
			delete(m.entries, e.Entry.Key)
			continue
		}
		m.entries[e.Entry.Key] = e.Entry
	}
}

// setWatch records the open watch, which cancel ends, and its generation.
func (m *Mirror) setWatch(cancel context.CancelFunc, generation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cancelWatch, m.watchedGeneration = cancel, generation
}

// reportState reports whether the store answers, and logs it if that has changed. If err is nil, the store answers; any
// other err, also of compacted history, counts as no answer.
func (m *Mirror) reportState(err error) {
	lost := err != nil
	if m.config.OnReachable != nil {
		m.config.OnReachable(!lost)
	}
	if m.config.OnGeneration != nil && !lost {
		m.config.OnGeneration(m.revision.Generation)
	}
	if lost == m.storeLost && m.stateReported {
		return
	}
	m.storeLost, m.stateReported = lost, true
	if lost {
		logging.Line(level.Warn(m.config.Logger), "event", "store_lost", "prefix", m.config.Prefix, "err", err)
		return
	}
	logging.Line(level.Info(m.config.Logger), "event", "store_regained", "prefix", m.config.Prefix, "entries", len(m.entries),
		"generation", m.revision.Generation, "revision", m.revision.Number)
}

// sleep blocks for the given time or until ctx ends. If ctx ends first, sleep returns its error.
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
