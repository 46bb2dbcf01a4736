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
	// balancerLeaseSeconds and balancerRenewInterval are long because every balancer renews
	// its lease: 720 balancers that renew every 25 s use 29 of the 50 store calls per
	// second. With a lease of 15 s, renewed every 5 s, they would use 144.
	balancerLeaseSeconds  = 60
	balancerRenewInterval = 25 * time.Second
	// maxRegisterRetryWait spreads the registrations after an outage.
	maxRegisterRetryWait = 30 * time.Second
	// reportSpread spreads the writes of all balancers after a new configuration.
	reportSpread = 2 * time.Second
)

// RegistrarConfig configures a Registrar.
type RegistrarConfig struct {
	// Store holds the leased key. It must be set.
	Store store.Store
	// Group runs the task that writes and renews the key. It must be set.
	Group *group.Group
	// Record describes this balancer. Its Name must be set; ReportConfigVersion sets its
	// ConfigVersion.
	Record BalancerRecord
	// Logger receives the log lines. If nil, none are written.
	Logger log.Logger
}

// Registrar writes the leased key of a balancer and renews its lease. While the key exists,
// the balancer counts as live.
type Registrar struct {
	config         RegistrarConfig
	lease          *lazyLease
	configVersions chan uint64   // holds the latest version that run has not received
	registered     chan struct{} // closed once the key has been written
}

// NewRegistrar starts a Registrar. It runs until the context of Group ends, and then
// revokes the lease.
func NewRegistrar(config RegistrarConfig) (r *Registrar, err error) {
	if config.Store == nil || config.Group == nil || config.Record.Name == "" {
		return nil, errors.New("register balancer: Store, Group and Record.Name must be set")
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	r = &Registrar{
		config: config, lease: newLazyLease(config.Store, balancerLeaseSeconds),
		configVersions: make(chan uint64, 1), registered: make(chan struct{}),
	}
	config.Group.Go("register balancer", r.run)
	return r, nil
}

// Registered returns a channel that is closed once the key has been written for the first
// time.
func (r *Registrar) Registered() <-chan struct{} { return r.registered }

// ReportConfigVersion sets the configuration version in force, which is written to the key.
// It does not block; a version that has not been written yet is replaced.
func (r *Registrar) ReportConfigVersion(version uint64) {
	for {
		select {
		case r.configVersions <- version:
			return
		default:
		}
		select {
		case <-r.configVersions:
		default:
		}
	}
}

// run writes the key, renews the lease, and writes the key again when the version changes
// or the lease was lost.
func (r *Registrar) run(ctx context.Context) error {
	defer r.lease.revoke()
	record, written, retryWait := r.config.Record, false, minRetryWait
	for ctx.Err() == nil {
		if !written {
			if err := r.writeRecord(ctx, record); err != nil {
				_ = level.Info(r.config.Logger).Log("event", "balancer_not_registered", "err", err)
				sleepWithJitter(ctx, retryWait)
				retryWait = min(2*retryWait, maxRegisterRetryWait)
				continue
			}
			written, retryWait = true, minRetryWait
			select {
			case <-r.registered:
			default:
				close(r.registered)
			}
		}
		renew := time.NewTimer(balancerRenewInterval - rand.N(balancerRenewInterval/10))
		select {
		case <-ctx.Done():
		case version := <-r.configVersions:
			if version != record.ConfigVersion {
				record.ConfigVersion, written = version, false
				// The longest wait is 1.5 times the given one, so it is reportSpread.
				sleepWithJitter(ctx, reportSpread*2/3)
				record.ConfigVersion = r.latestVersion(version)
			}
		case <-renew.C:
			written = r.renewLease(ctx)
		}
		renew.Stop()
	}
	return nil
}

// latestVersion returns the version that was reported since, or the given one.
func (r *Registrar) latestVersion(version uint64) uint64 {
	select {
	case version = <-r.configVersions:
	default:
	}
	return version
}

// renewLease renews the lease and repeats the call until the store answers. It returns
// false if the lease has ended, so that the key must be written again, or if ctx ended.
func (r *Registrar) renewLease(ctx context.Context) bool {
	id := r.lease.current()
	for retryWait := minRetryWait; ; retryWait = min(2*retryWait, maxRegisterRetryWait) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := r.config.Store.KeepAlive(callCtx, id)
		cancel()
		if err == nil {
			return true
		}
		if errors.Is(err, store.ErrLeaseNotFound) {
			r.lease.discard(id)
			return false
		}
		if !sleepWithJitter(ctx, retryWait) {
			return false
		}
	}
}

// writeRecord makes one attempt to write the key, after a grant of the lease if there is
// none.
func (r *Registrar) writeRecord(ctx context.Context, record BalancerRecord) (err error) {
	defer func() { err = errors.WithMessagef(err, "register balancer %q", record.Name) }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record.ReportedAt = time.Now().UTC()
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	id, err := r.lease.getOrGrant(ctx)
	if err != nil {
		return err
	}
	_, err = r.config.Store.Txn(ctx, nil, []store.Write{{Key: BalancerKey(record.Name), Value: value, Lease: id}})
	if errors.Is(err, store.ErrLeaseNotFound) {
		r.lease.discard(id)
	}
	return err
}
