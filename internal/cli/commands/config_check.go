package commands

import "fmt"

type configCheckCommand struct {
	folderFlag `embed:""`
}

// Run merges and checks the folder; it does not use the store.
func (c *configCheckCommand) Run(env *environment) (err error) {
	s, err := c.read(env)
	if err != nil {
		return err
	}
	d := s.Document()
	_, err = fmt.Fprintf(env.stdout, "%s: %d services, %d host overrides, no error\n", c.Folder, len(d.Services), len(d.Hosts))
	return err
}
