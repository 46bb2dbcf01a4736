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

// balancerVersion is what one live balancer reports.
type balancerVersion struct {
	name string
	// version is the newest configuration version in force there.
	version uint64
	// reported is when the balancer last reported.
	reported time.Time
}

// versionReporter lists the live balancers with the versions in force there.
type versionReporter func(ctx context.Context, s store.Store) ([]balancerVersion, error)

// waitInterval is how often --wait asks for the versions in force.
const waitInterval = 250 * time.Millisecond

type configApplyCommand struct {
	folderFlag  `embed:""`
	storeFlags  `embed:""`
	changeFlags `embed:""`
	Base        *uint64 `help:"Version that the change was diffed against. The current one when not set."`
	Wait        bool    `help:"Return when every live balancer has the version in force."`
}

// Run applies the folder.
func (c *configApplyCommand) Run(env *environment) (err error) {
	source, err := c.read(env)
	if err != nil {
		return err
	}
	change, err := c.change(env)
	if err != nil {
		return err
	}
	change.Source, change.Base = source, c.Base
	ctx, s, end, err := c.open()
	if err != nil {
		return err
	}
	defer end()
	result, err := config.Apply(ctx, s, change)
	if err = applied(env.stdout, result, err); err != nil || !c.Wait {
		return err
	}
	if err = waitInForce(ctx, s, result.Version, storedVersions); err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.stdout, "version %d is in force on every live balancer\n", result.Version)
	return err
}

// waitInForce waits until every live balancer reports the version or a later
// one. When ctx ends first, the error lists those that do not.
func waitInForce(ctx context.Context, s store.Store, version uint64, reporter versionReporter) (err error) {
	var reports []balancerVersion
	for {
		fresh, err := reporter(ctx, s)
		if err == nil {
			reports = fresh
			if len(missing(reports, version)) == 0 {
				return nil
			}
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			late := missing(reports, version)
			if len(late) == 0 {
				return errors.WithMessagef(ctx.Err(), "version %d was accepted, versions in force are not known: %v", version, err)
			}
			return errors.Errorf("version %d was accepted and is not in force on: %s", version, strings.Join(late, ", "))
		}
	}
}

func missing(reports []balancerVersion, version uint64) (late []string) {
	for _, r := range reports {
		if r.version < version {
			late = append(late, fmt.Sprintf("%s (version %d, reported %s ago)",
				r.name, r.version, time.Since(r.reported).Round(time.Millisecond)))
		}
	}
	return late
}
