package commands

import "agateramp/internal/operator/config"

type configRollbackCommand struct {
	storeFlags  `embed:""`
	changeFlags `embed:""`
	Version     uint64  `arg:"" help:"Version to restore."`
	Base        *uint64 `help:"Version that is expected to be current. The current one when not set."`
}

// Run restores an earlier version as a new one.
func (c *configRollbackCommand) Run(env *environment) (err error) {
	change, err := c.change(env)
	if err != nil {
		return err
	}
	change.RollbackTo, change.Base = c.Version, c.Base
	ctx, s, end, err := c.open()
	if err != nil {
		return err
	}
	defer end()
	result, err := config.Apply(ctx, s, change)
	return applied(env.stdout, result, err)
}
