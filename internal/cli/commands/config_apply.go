package commands

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/operator/config"
)

// balancerVersion is the configuration version that one live balancer reports.
type balancerVersion struct {
	name string
	// version is the newest configuration version in force on the balancer.
	version uint64
	// reported is the time of the last report of the balancer.
	reported time.Time
}

// versionLister lists the live balancers with the versions that they have in force.
type versionLister func(ctx context.Context, s store.Store) ([]balancerVersion, error)

// waitInterval is the interval at which --wait lists the versions in force.
const waitInterval = 250 * time.Millisecond

type configApplyCommand struct {
	folderFlag  `embed:""`
	storeFlags  `embed:""`
	changeFlags `embed:""`
	Base        *uint64 `help:"Version that the folder was compared with (config diff prints it); if not set, the version that is current at the first try."`
	Wait        bool    `help:"Return when every live balancer has the version in force."`
}

// Run stores the folder as the next version of the configuration. With --wait it
// blocks until every live balancer has that version in force.
func (c *configApplyCommand) Run(env *environment) (err error) {
	source, err := c.read(env)
	if err != nil {
		return err
	}
	change, err := c.newChange(env)
	if err != nil {
		return err
	}
	change.Source, change.Base = source, c.Base
	ctx, s, closeStore, err := c.open()
	if err != nil {
		return err
	}
	defer closeStore()
	result, err := config.Apply(ctx, s, change)
	if err = printResult(env.stdout, result, err); err != nil || !c.Wait {
		return err
	}
	if err = waitInForce(ctx, s, result.Version, listBalancerVersions); err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.stdout, "version %d is in force on every live balancer\n", result.Version)
	return err
}

// waitInForce blocks until every live balancer reports the version or a later
// one. It retries a failed listing, and returns nil at once if no balancer is live.
// If ctx ends first, the error lists the balancers with an earlier version.
func waitInForce(ctx context.Context, s store.Store, version uint64, listVersions versionLister) (err error) {
	var reports []balancerVersion
	for {
		latest, err := listVersions(ctx, s)
		if err == nil {
			reports = latest
			if len(balancersBehind(reports, version)) == 0 {
				return nil
			}
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			behind := balancersBehind(reports, version)
			if len(behind) == 0 {
				return errors.WithMessagef(ctx.Err(), "version %d was accepted, the versions in force on the balancers are unknown: %v", version, err)
			}
			return errors.Errorf("version %d was accepted and is not in force on: %s", version, strings.Join(behind, ", "))
		}
	}
}

// balancersBehind describes each balancer whose version is earlier than version.
func balancersBehind(reports []balancerVersion, version uint64) (behind []string) {
	for _, r := range reports {
		if r.version < version {
			behind = append(behind, fmt.Sprintf("%s (version %d, reported %s ago)",
				r.name, r.version, time.Since(r.reported).Round(time.Millisecond)))
		}
	}
	return behind
}
