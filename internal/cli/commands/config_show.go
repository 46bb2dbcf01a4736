package commands

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"agateramp/internal/operator/config"
)

type configShowCommand struct {
	storeFlags `embed:""`
	Folder     string `help:"Show this folder instead of the store." type:"path"`
	Version    uint64 `help:"Version to show; if not set, the current one."`
	Origin     bool   `help:"List each value with the file that set it."`
}

// Run prints a stored version or a merged folder as JSON. With --origin it prints
// one line for each value.
func (c *configShowCommand) Run(env *environment) (err error) {
	source, err := c.source(env)
	if err != nil {
		return err
	}
	if !c.Origin {
		var b bytes.Buffer
		if err = json.Indent(&b, source.Raw(), "", "  "); err != nil {
			return err
		}
		_, err = fmt.Fprintln(env.stdout, b.String())
		return err
	}
	values, err := config.Values(source.Raw())
	if err != nil {
		return err
	}
	origins := source.Origins()
	for _, field := range slices.Sorted(maps.Keys(values)) {
		if _, err = fmt.Fprintf(env.stdout, "%s = %s (%s)\n", field, values[field], origins[field]); err != nil {
			return err
		}
	}
	return nil
}

// source returns the folder if --folder is set, and otherwise the stored version.
func (c *configShowCommand) source(env *environment) (s *config.Source, err error) {
	if c.Folder != "" {
		return (&folderFlag{Folder: c.Folder}).read(env)
	}
	ctx, st, closeStore, err := c.open()
	if err != nil {
		return nil, err
	}
	defer closeStore()
	snapshot, err := config.Load(ctx, st)
	if err == nil && c.Version != 0 {
		snapshot, err = config.LoadVersion(ctx, st, c.Version)
	}
	if err != nil {
		return nil, err
	}
	if snapshot == nil {
		return nil, asUsageError(errors.Errorf("version %d does not exist", c.Version))
	}
	return snapshot.Source(), nil
}
