package shard

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
)

const (
	// balancerLeaseSeconds and registerInterval are long because every balancer
	// renews: 720 of them every 25 s make 29 of the 50 store calls per second. A
	// lease of 15 s would take 144.
	balancerLeaseSeconds = 60
	registerInterval     = 25 * time.Second
	// maxRegisterRetry spreads the registrations after an outage.
	maxRegisterRetry = 30 * time.Second
	// reportSpread spreads the writes of all balancers after a new configuration.
	reportSpread = 2 * time.Second
)

// RegistrarConfig configures a Registrar.
type RegistrarConfig struct {
	// Store keeps the leased key. It must be set.
	Store store.Store
	// Group runs the task. It must be set.
	Group *group.Group
	// Record describes this balancer; its ConfigVersion is set by InForce. Its name must be set.
	Record BalancerRecord
	// Logger takes log lines. Empty means none are written.
	Logger log.Logger
}

// Registrar keeps the leased key of a balancer.
type Registrar struct {
	config RegistrarConfig
	lease  *lease
	force  chan uint64
	ready  chan struct{}
}

// NewRegistrar starts to keep the leased key.
func NewRegistrar(config RegistrarConfig) (r *Registrar, err error) {
	if config.Store == nil || config.Group == nil || config.Record.Name == "" {
		return nil, errors.New("register balancer: Store, Group and Record.Name must be set")
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	r = &Registrar{
		config: config, lease: newLease(config.Store, balancerLeaseSeconds),
		force: make(chan uint64, 1), ready: make(chan struct{}),
	}
	config.Group.Go("register balancer", r.run)
	return r, nil
}

// Registered is closed when the key has been written for the first time.
func (r *Registrar) Registered() <-chan struct{} { return r.ready }

// ReportConfigVersion reports the configuration version in force. It does not block.
func (r *Registrar) ReportConfigVersion(version uint64) {
	for {
		select {
		case r.force <- version:
			return
		default:
		}
		select {
		case <-r.force:
		default:
		}
	}
}

func (r *Registrar) run(ctx context.Context) error {
	defer r.lease.revoke()
	record, written, retry := r.config.Record, false, minRetry
	for ctx.Err() == nil {
		if !written {
			if err := r.put(ctx, record); err != nil {
				_ = level.Info(r.config.Logger).Log("event", "balancer_not_registered", "err", err)
				pause(ctx, retry)
				retry = min(2*retry, maxRegisterRetry)
				continue
			}
			written, retry = true, minRetry
			select {
			case <-r.ready:
			default:
				close(r.ready)
			}
		}
		renew := time.NewTimer(registerInterval - rand.N(registerInterval/10))
		select {
		case <-ctx.Done():
		case version := <-r.force:
			if version != record.ConfigVersion {
				record.ConfigVersion, written = version, false
				pause(ctx, reportSpread*2/3)
				record.ConfigVersion = r.latest(version)
			}
		case <-renew.C:
			written = r.renew(ctx)
		}
		renew.Stop()
	}
	return nil
}

// latest returns a version that was reported meanwhile, or the given one.
func (r *Registrar) latest(version uint64) uint64 {
	select {
	case version = <-r.force:
	default:
	}
	return version
}

// renew renews the lease. It reports false when the key must be written again.
func (r *Registrar) renew(ctx context.Context) bool {
	id := r.lease.current()
	for retry := minRetry; ; retry = min(2*retry, maxRegisterRetry) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.config.Store.KeepAlive(call, id)
		cancel()
		if err == nil {
			return true
		}
		if errors.Is(err, store.ErrLeaseNotFound) {
			r.lease.forget(id)
			return false
		}
		if !pause(ctx, retry) {
			return false
		}
	}
}

func (r *Registrar) put(ctx context.Context, record BalancerRecord) (err error) {
	defer func() { err = errors.WithMessagef(err, "register balancer %q", record.Name) }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record.ReportedAt = time.Now().UTC()
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	id, err := r.lease.get(ctx)
	if err != nil {
		return err
	}
	_, err = r.config.Store.Txn(ctx, nil, []store.Write{{Key: BalancerKey(record.Name), Value: value, Lease: id}})
	if errors.Is(err, store.ErrLeaseNotFound) {
		r.lease.forget(id)
	}
	return err
}
