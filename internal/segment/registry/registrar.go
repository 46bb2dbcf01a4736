package registry

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/backoff"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/logging"
)

const (
	// leaseSeconds is the lifetime of an agent's entry without renewal. The entry may outlive the agent for that
	// time, because balancers learn from an agent's answers, not from its entry, whether it is running.
	leaseSeconds = 10
	// minCheckInterval is the least time between two checks that the entry exists. Each balancer requests a check
	// while its list of entries is older than the entry.
	minCheckInterval = time.Second
	// renewInterval is how often the lease is renewed. It leaves time for two more attempts before the lease expires.
	renewInterval = 3 * time.Second
)

// RegistrarConfig configures a Registrar.
type RegistrarConfig struct {
	// Store is the key-value store to write to. Must be set.
	Store store.Store
	// Entry is the entry to keep in the store. Its Node must be set.
	Entry Entry
	// RetryBudget limits the retries of the whole process. Must be set.
	RetryBudget *backoff.Budget
	// Logger receives a line when the entry is missing, cannot be renewed, or is renewed again. Must be set.
	Logger log.Logger
}

// writtenEntry is the entry in the store as the registrar last wrote or read it. The zero value is none.
type writtenEntry struct {
	lease store.LeaseID
	// revision is the revision of the last change of the entry.
	revision store.Revision
}

// Registrar keeps the entry of an agent in the store under a lease.
type Registrar struct {
	config RegistrarConfig
	value  []byte
	// checkRequests wakes Run to check that the entry exists.
	checkRequests chan struct{}
	// lastSeen is when the entry was last written, or read by a check.
	lastSeen time.Time
	// checkDue is set when a check was requested and has not been made yet.
	checkDue bool
	// renewalFailing is set while the entry cannot be written or its lease renewed.
	renewalFailing bool

	// mu guards the fields below.
	mu      sync.Mutex
	written writtenEntry
	// removed is set once Remove was called.
	removed bool
}

// NewRegistrar validates c and returns a registrar that does nothing until Run is called.
func NewRegistrar(c RegistrarConfig) (r *Registrar, err error) {
	if c.Store == nil || c.RetryBudget == nil || c.Logger == nil || c.Entry.Node == "" {
		return nil, errors.New("agent registrar: Store, RetryBudget, Logger and Entry.Node must be set")
	}
	value, err := c.Entry.Encode()
	if err != nil {
		return nil, err
	}
	return &Registrar{config: c, value: value, checkRequests: make(chan struct{}, 1)}, nil
}

// RequestCheck makes Run check that the entry is still in the store. A request within a second of the last write or
// check is discarded. RequestCheck does not block and is safe for concurrent use.
func (r *Registrar) RequestCheck() {
	select {
	case r.checkRequests <- struct{}{}:
	default:
	}
}

// Run keeps the entry in the store until ctx ends, and then returns nil. It leaves the entry in the store, because
// the agent may be about to restart.
func (r *Registrar) Run(ctx context.Context) (err error) {
	for attempt := 0; ctx.Err() == nil; {
		err := r.renew(ctx)
		r.reportState(err)
		if err != nil && ctx.Err() == nil {
			if err = waitForRetry(ctx, r.config.RetryBudget, attempt); err != nil {
				break
			}
			attempt++
			continue
		}
		attempt = 0
		r.waitForRenewal(ctx)
		r.checkEntry(ctx)
	}
	return nil
}

// Remove deletes the entry from the store unless it has changed since it was last written or read. It does nothing if
// there is none. Run does not write the entry again.
func (r *Registrar) Remove(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "remove agent entry") }()
	r.mu.Lock()
	r.removed = true
	written := r.written
	r.mu.Unlock()
	if written.lease == 0 {
		return nil
	}
	// The lease is left to expire: after a restore of the store, its id may belong to another lease.
	key := r.config.Entry.Key()
	result, err := r.config.Store.Txn(ctx, []store.Compare{{Key: key, Revision: written.revision.Number}},
		[]store.Write{{Key: key, Delete: true}})
	if err == nil && !result.Succeeded {
		err = errors.New("entry has changed")
	}
	return err
}

// lastWritten returns the entry as it was last written or read, and whether Remove was called.
func (r *Registrar) lastWritten() (written writtenEntry, removed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.written, r.removed
}

func (r *Registrar) setWritten(written writtenEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.written = written
}

// waitForRenewal blocks until the lease is due for renewal, or until a check is requested and the entry was last
// seen at least minCheckInterval ago.
func (r *Registrar) waitForRenewal(ctx context.Context) {
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-r.checkRequests:
			if time.Since(r.lastSeen) < minCheckInterval {
				continue
			}
			r.checkDue = true
			return
		}
	}
}

// renew renews the lease. If there is no lease or it has ended, renew obtains a new one and writes the entry. If the
// store was restored, renew checks the entry, because the lease may have been granted to another process since.
func (r *Registrar) renew(ctx context.Context) (err error) {
	written, removed := r.lastWritten()
	if removed {
		return nil
	}
	if written.lease == 0 {
		return r.writeEntry(ctx)
	}
	generation, err := r.config.Store.KeepAlive(ctx, written.lease)
	switch {
	case errors.Is(err, store.ErrLeaseNotFound):
		logging.Line(level.Warn(r.config.Logger), "event", "entry_lease_lost", "key", r.config.Entry.Key(), "lease", written.lease)
		return r.writeEntry(ctx)
	case err != nil || generation == written.revision.Generation:
		return err
	}
	held, err := r.readEntry(ctx)
	if err != nil || held {
		return err
	}
	return r.writeEntry(ctx)
}

// writeEntry writes the entry under a new lease if it has not changed since writeEntry read it. A write that the store
// carries out late therefore cannot replace a newer one.
func (r *Registrar) writeEntry(ctx context.Context) (err error) {
	r.setWritten(writtenEntry{})
	key := r.config.Entry.Key()
	current, read, err := r.config.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	lease, err := r.config.Store.Grant(ctx, leaseSeconds)
	if err != nil {
		return err
	}
	var revision int64
	if current != nil {
		revision = current.ModRevision
	}
	result, err := r.config.Store.Txn(ctx, []store.Compare{{Key: key, Revision: revision}},
		[]store.Write{{Key: key, Value: r.value, Lease: lease}})
	switch {
	case err != nil:
		return err
	case !result.Succeeded:
		return errors.New("agent entry was changed by another process between its read and its write")
	case result.Revision.Generation != read.Generation:
		return errors.New("store was restored while the agent entry was written")
	}
	r.setWritten(writtenEntry{lease: lease, revision: result.Revision})
	r.lastSeen = time.Now()
	logging.Line(level.Info(r.config.Logger), "event", "entry_written", "key", key, "lease", lease, "generation", result.Revision.Generation, "revision", result.Revision.Number)
	return nil
}

// readEntry reads the entry and reports whether it is held, that is, present under the lease of this registrar.
func (r *Registrar) readEntry(ctx context.Context) (held bool, err error) {
	written, _ := r.lastWritten()
	current, read, err := r.config.Store.Get(ctx, r.config.Entry.Key())
	if err != nil {
		return false, err
	}
	r.lastSeen = time.Now()
	if current == nil || current.Lease != written.lease {
		logging.Line(level.Warn(r.config.Logger), "event", "entry_missing", "key", r.config.Entry.Key(), "generation", read.Generation)
		return false, nil
	}
	r.setWritten(writtenEntry{lease: written.lease, revision: store.Revision{Generation: read.Generation, Number: current.ModRevision}})
	return true, nil
}

// checkEntry carries out a requested check. If the entry is not held, checkEntry discards it, so that renew writes it
// again.
func (r *Registrar) checkEntry(ctx context.Context) {
	if !r.checkDue {
		return
	}
	r.checkDue = false
	held, err := r.readEntry(ctx)
	if err != nil {
		r.reportState(err)
		return
	}
	if !held {
		r.setWritten(writtenEntry{})
	}
}

// reportState logs whether the entry is renewed, if that has changed. If err is nil, the last renewal succeeded.
func (r *Registrar) reportState(err error) {
	failing := err != nil
	if failing == r.renewalFailing {
		return
	}
	r.renewalFailing = failing
	if failing {
		logging.Line(level.Warn(r.config.Logger), "event", "entry_not_renewed", "key", r.config.Entry.Key(), "err", err)
		return
	}
	written, _ := r.lastWritten()
	logging.Line(level.Info(r.config.Logger), "event", "entry_renewed", "key", r.config.Entry.Key(), "lease", written.lease)
}
