package commands

import (
	"encoding/json"
	"time"

	"agateramp/internal/operator/audit"
)

// timeFormat is that of all times in output.
const timeFormat = time.RFC3339

type auditCommand struct {
	storeFlags `embed:""`
	Last       int       `help:"Number of records to print. All of them, with the whole chain verified, when 0." default:"0"`
	Since      time.Time `help:"Leave out records before this time (RFC 3339)."`
}

// Run prints the audit trail, one JSON object a line, and fails when its hash chain is broken.
func (c *auditCommand) Run(env *environment) (err error) {
	ctx, s, end, err := c.open()
	if err != nil {
		return err
	}
	defer end()
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
