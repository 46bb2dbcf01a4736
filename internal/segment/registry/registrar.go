package registry

import (
	"context"
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

// Registrar keeps the entry of an agent in the store under a lease.
type Registrar struct {
	config RegistrarConfig
	value  []byte
	lease  store.LeaseID
	// checkRequests wakes Run to check that the entry exists.
	checkRequests chan struct{}
	// lastSeen is when the entry was last written, or read by a check.
	lastSeen time.Time
	// checkDue is set when a check was requested and has not been made yet.
	checkDue bool
	// renewalFailing is set while the entry cannot be written or its lease renewed.
	renewalFailing bool
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

// Remove removes the entry from the store by revoking its lease. It does nothing if there is no lease. If Run has not
// ended, it writes the entry again when the next renewal is due.
func (r *Registrar) Remove(ctx context.Context) (err error) {
	if r.lease == 0 {
		return nil
	}
	return errors.WithMessage(r.config.Store.Revoke(ctx, r.lease), "remove agent entry")
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

// renew renews the lease. If there is no lease or it has expired, renew obtains a new one and writes the entry.
func (r *Registrar) renew(ctx context.Context) (err error) {
	if r.lease != 0 {
		_, err = r.config.Store.KeepAlive(ctx, r.lease)
		if !errors.Is(err, store.ErrLeaseNotFound) {
			return err
		}
		logging.Line(level.Warn(r.config.Logger), "event", "entry_lease_lost", "key", r.config.Entry.Key(), "lease", r.lease)
		r.lease = 0
	}
	lease, err := r.config.Store.Grant(ctx, leaseSeconds)
	if err != nil {
		return err
	}
	if err = r.writeEntry(ctx, lease); err != nil {
		return err
	}
	r.lease, r.lastSeen = lease, time.Now()
	return nil
}

// writeEntry writes the entry if it has not changed since writeEntry read it. A write that the store carries out
// late therefore cannot replace a newer one.
func (r *Registrar) writeEntry(ctx context.Context, lease store.LeaseID) (err error) {
	key := r.config.Entry.Key()
	current, _, err := r.config.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	var revision int64
	if current != nil {
		revision = current.ModRevision
	}
	result, err := r.config.Store.Txn(ctx, []store.Compare{{Key: key, Revision: revision}},
		[]store.Write{{Key: key, Value: r.value, Lease: lease}})
	if err != nil {
		return err
	}
	if !result.Succeeded {
		return errors.New("agent entry was changed by another process between its read and its write")
	}
	logging.Line(level.Info(r.config.Logger), "event", "entry_written", "key", key, "lease", lease, "generation", result.Revision.Generation, "revision", result.Revision.Number)
	return nil
}

// checkEntry carries out a requested check. If the entry is missing or under another lease, checkEntry discards the
// lease, so that renew writes the entry again.
func (r *Registrar) checkEntry(ctx context.Context) {
	if !r.checkDue {
		return
	}
	r.checkDue = false
	current, _, err := r.config.Store.Get(ctx, r.config.Entry.Key())
	if err != nil {
		r.reportState(err)
		return
	}
	r.lastSeen = time.Now()
	if current == nil || current.Lease != r.lease {
		logging.Line(level.Warn(r.config.Logger), "event", "entry_missing", "key", r.config.Entry.Key())
		r.lease = 0
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
	logging.Line(level.Info(r.config.Logger), "event", "entry_renewed", "key", r.config.Entry.Key(), "lease", r.lease)
}
