package commands

import "agateramp/internal/operator/config"

type configRollbackCommand struct {
	storeFlags  `embed:""`
	changeFlags `embed:""`
	Version     uint64  `arg:"" help:"Version to restore."`
	Base        *uint64 `help:"Version that must be the current one; if not set, the version that is current at the first try."`
}

// Run stores the content of an earlier version as the next version.
func (c *configRollbackCommand) Run(env *environment) (err error) {
	change, err := c.newChange(env)
	if err != nil {
		return err
	}
	change.RollbackTo, change.Base = c.Version, c.Base
	ctx, s, closeStore, err := c.open()
	if err != nil {
		return err
	}
	defer closeStore()
	result, err := config.Apply(ctx, s, change)
	return printResult(env.stdout, result, err)
}
