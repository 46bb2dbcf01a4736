package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"agateramp/internal/operator/audit"
	"agateramp/internal/operator/config"
	"agateramp/internal/platform/store"
)

// movement says what an apply would move for one service.
type movement struct {
	service string
	// buckets is how many of the service's buckets change their first choice.
	buckets int
	// hosts are the hosts that gain or lose buckets.
	hosts []string
}

// movementReporter computes movements from the published table specs and the
// new configuration. It is nil while no such reporter is linked.
type movementReporter func(ctx context.Context, s store.Store, before *config.Snapshot, after *config.Document) ([]movement, error)

// reportMovements is set by the file that links the table package.
var reportMovements movementReporter

type configDiffCommand struct {
	folderFlag `embed:""`
	storeFlags `embed:""`
}

// Run compares the folder with the current version.
func (c *configDiffCommand) Run(env *environment) (err error) {
	source, err := c.read(env)
	if err != nil {
		return err
	}
	ctx, s, end, err := c.open()
	if err != nil {
		return err
	}
	defer end()
	current, err := config.Load(ctx, s)
	if err != nil {
		return err
	}
	changes, err := config.Diff(current.Source().Raw(), source.Raw())
	if err != nil {
		return err
	}
	if _, err = fmt.Fprintf(env.stdout, "base version %d, %d changed fields\n", current.Version(), len(changes)); err != nil {
		return err
	}
	if err = printDiff(env.stdout, changes, source.Origins()); err != nil {
		return err
	}
	if reportMovements == nil {
		_, err = fmt.Fprintln(env.stdout, "moved buckets and hosts: not available")
		return err
	}
	moves, err := reportMovements(ctx, s, current, source.Document())
	if err != nil {
		return err
	}
	for _, m := range moves {
		if _, err = fmt.Fprintf(env.stdout, "service %s: %d buckets move, hosts %v\n", m.service, m.buckets, m.hosts); err != nil {
			return err
		}
	}
	return nil
}

// printDiff writes one line for each changed field, with the file of the new value.
func printDiff(out io.Writer, changes []audit.FieldChange, origins map[string]string) (err error) {
	for _, f := range changes {
		line := fmt.Sprintf("%s: %s -> %s", f.Field, orUnset(f.Old), orUnset(f.New))
		if file := origins[f.Field]; file != "" {
			line += " (" + file + ")"
		}
		if _, err = fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

func orUnset(value json.RawMessage) string {
	if len(value) == 0 {
		return "unset"
	}
	return string(value)
}
