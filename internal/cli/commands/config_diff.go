package commands

import (
	"encoding/json"
	"fmt"
	"io"

	"agateramp/internal/operator/audit"
	"agateramp/internal/operator/config"
)

// tableDiff is the change that an apply would make to the table of one service.
type tableDiff struct {
	service string
	// movedBuckets is the number of buckets whose first choice of host changes. A
	// bucket is one of the table.Buckets parts into which the hashes of flows are divided.
	movedBuckets int
	// hosts are the hosts that gain or lose buckets.
	hosts []string
}

type configDiffCommand struct {
	folderFlag `embed:""`
	storeFlags `embed:""`
}

// Run prints the fields that differ between the folder and the current version,
// and the buckets that would move to other hosts.
func (c *configDiffCommand) Run(env *environment) (err error) {
	source, err := c.read(env)
	if err != nil {
		return err
	}
	ctx, s, closeStore, err := c.open()
	if err != nil {
		return err
	}
	defer closeStore()
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
	diffs, err := diffTables(ctx, s, source.Document())
	if err != nil {
		return err
	}
	for _, d := range diffs {
		if _, err = fmt.Fprintf(env.stdout, "service %s: %d buckets move, hosts %v\n", d.service, d.movedBuckets, d.hosts); err != nil {
			return err
		}
	}
	return nil
}

// printDiff writes one line for each changed field, with the file that sets the new value.
func printDiff(out io.Writer, changes []audit.FieldChange, origins map[string]string) (err error) {
	for _, f := range changes {
		line := fmt.Sprintf("%s: %s -> %s", f.Field, valueOrUnset(f.Old), valueOrUnset(f.New))
		if file := origins[f.Field]; file != "" {
			line += " (" + file + ")"
		}
		if _, err = fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

// valueOrUnset returns value as text, or "unset" for a field without a value.
func valueOrUnset(value json.RawMessage) string {
	if len(value) == 0 {
		return "unset"
	}
	return string(value)
}
