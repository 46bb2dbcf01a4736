package commands

import (
	"encoding/json"
	"time"

	"agateramp/internal/operator/audit"
)

// timeFormat is the layout of the times that commands print.
const timeFormat = time.RFC3339

type auditCommand struct {
	storeFlags `embed:""`
	Last       int       `help:"Number of newest records to print; with 0, all records are printed and the whole hash chain is verified." default:"0"`
	Since      time.Time `help:"Leave out records before this time (RFC 3339)."`
}

// Run prints the records of the audit trail, one JSON object per line. It fails if the
// hash chain of the records that it reads is broken.
func (c *auditCommand) Run(env *environment) (err error) {
	ctx, s, closeStore, err := c.open()
	if err != nil {
		return err
	}
	defer closeStore()
	records, err := audit.Read(ctx, s, audit.Query{Last: c.Last, Since: c.Since})
	if err != nil {
		return err
	}
	out := json.NewEncoder(env.stdout)
	for i := range records {
		if err = out.Encode(records[i]); err != nil {
			return err
		}
	}
	return nil
}
