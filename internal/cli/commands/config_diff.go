package commands

import (
	"encoding/json"
	"fmt"
	"io"

	"agateramp/internal/operator/audit"
	"agateramp/internal/operator/config"
)

// movement says what an apply would move for one service.
type movement struct {
	service string
	// buckets is how many of the service's buckets change their first choice.
	buckets int
	// hosts are the hosts that gain or lose buckets.
	hosts []string
}

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
	moves, err := movements(ctx, s, source.Document())
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
