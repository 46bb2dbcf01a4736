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
	// leaseSeconds is the lifetime of an agent's entry. Balancers judge the agent by
	// its answers, so the entry may outlive it for a while.
	leaseSeconds = 10
	// verifyInterval is the least time between two looks whether the entry is there.
	// Every balancer asks for one while its list is older than the entry.
	verifyInterval = time.Second
	// renewInterval leaves two more attempts before the lease expires.
	renewInterval = 3 * time.Second
)

// RegistrarConfig configures a Keeper.
type RegistrarConfig struct {
	// Store is the store. It must be set.
	Store store.Store
	// Entry is the entry to keep. It must be set.
	Entry Entry
	// RetryBudget bounds the retries of the process. It must be set.
	RetryBudget *backoff.Budget
	// Logger takes the loss and return of the entry. It must be set.
	Logger log.Logger
}

// Registrar keeps the entry of an agent in the store under a lease.
type Registrar struct {
	config RegistrarConfig
	value  []byte
	lease  store.LeaseID
	// doubts wakes Run to look whether the entry is still there; seen is when it was
	// last known to be.
	doubts  chan struct{}
	seen    time.Time
	doubted bool
	lost    bool
}

// NewRegistrar checks c and returns a keeper that Run starts.
func NewRegistrar(c RegistrarConfig) (k *Registrar, err error) {
	if c.Store == nil || c.RetryBudget == nil || c.Logger == nil || c.Entry.Node == "" {
		return nil, errors.New("entry keeper: store, retries, logger and entry must be set")
	}
	value, err := c.Entry.Encode()
	if err != nil {
		return nil, err
	}
	return &Registrar{config: c, value: value, doubts: make(chan struct{}, 1)}, nil
}

// RequestCheck makes the keeper look whether its entry is still in the store.
func (k *Registrar) RequestCheck() {
	select {
	case k.doubts <- struct{}{}:
	default:
	}
}

// Run keeps the entry until ctx ends. The entry stays then, because the agent may
// be about to restart.
func (k *Registrar) Run(ctx context.Context) (err error) {
	for attempt := 0; ctx.Err() == nil; {
		err := k.renew(ctx)
		k.report(err)
		if err != nil && ctx.Err() == nil {
			if err = await(ctx, k.config.RetryBudget, attempt); err != nil {
				break
			}
			attempt++
			continue
		}
		attempt = 0
		k.wait(ctx)
		k.verify(ctx)
	}
	return nil
}

// Remove ends the lease, and the entry with it.
func (k *Registrar) Remove(ctx context.Context) (err error) {
	if k.lease == 0 {
		return nil
	}
	return errors.WithMessage(k.config.Store.Revoke(ctx, k.lease), "remove agent entry")
}

// wait returns when the lease is to be renewed, or when the entry is in doubt and
// was not looked at lately.
func (k *Registrar) wait(ctx context.Context) {
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-k.doubts:
			if time.Since(k.seen) < verifyInterval {
				continue
			}
			k.doubted = true
			return
		}
	}
}

// renew extends the lease, or takes a new one and writes the entry.
func (k *Registrar) renew(ctx context.Context) (err error) {
	if k.lease != 0 {
		err = k.config.Store.KeepAlive(ctx, k.lease)
		if !errors.Is(err, store.ErrLeaseNotFound) {
			return err
		}
		k.lease = 0
	}
	lease, err := k.config.Store.Grant(ctx, leaseSeconds)
	if err != nil {
		return err
	}
	if err = k.put(ctx, lease); err != nil {
		return err
	}
	k.lease, k.seen = lease, time.Now()
	return nil
}

// put writes the entry on the condition that nobody wrote it since it was read. A
// write that the store carries out late then cannot replace a newer one.
func (k *Registrar) put(ctx context.Context, lease store.LeaseID) (err error) {
	key := k.config.Entry.Key()
	current, _, err := k.config.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	var revision int64
	if current != nil {
		revision = current.ModRevision
	}
	result, err := k.config.Store.Txn(ctx, []store.Compare{{Key: key, Revision: revision}},
		[]store.Write{{Key: key, Value: k.value, Lease: lease}})
	if err != nil {
		return err
	}
	if !result.Succeeded {
		return errors.New("agent entry was written by another process")
	}
	return nil
}

// verify drops the lease when the entry is missing, so that renew writes it again.
func (k *Registrar) verify(ctx context.Context) {
	if !k.doubted {
		return
	}
	k.doubted = false
	current, _, err := k.config.Store.Get(ctx, k.config.Entry.Key())
	if err != nil {
		k.report(err)
		return
	}
	k.seen = time.Now()
	if current == nil || current.Lease != k.lease {
		logging.Line(level.Warn(k.config.Logger), "event", "entry_missing", "key", k.config.Entry.Key())
		k.lease = 0
	}
}

func (k *Registrar) report(err error) {
	lost := err != nil
	if lost == k.lost {
		return
	}
	k.lost = lost
	if lost {
		logging.Line(level.Warn(k.config.Logger), "event", "entry_not_renewed", "key", k.config.Entry.Key(), "err", err)
		return
	}
	logging.Line(level.Info(k.config.Logger), "event", "entry_renewed", "key", k.config.Entry.Key(), "lease", k.lease)
}
