package commands

import (
	"context"
	"crypto/rand"
	"fmt"
	"os/user"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"agateramp/internal/operator/adminpb"
)

type drainCommand struct {
	adminFlags
	Host     string `arg:"" help:"Name of the host."`
	Undrain  bool   `help:"Let the host receive new flows again."`
	Reason   string `help:"Why the change is made; recorded in the log and, if a balancer applies the change, in the audit trail."`
	Who      string `help:"Name of the operator; without it, the login name."`
	ChangeID string `help:"Id of the change; a process does not apply an id again while it is among its last 1024. Without it, a random one."`
}

// Run sends the request to one process after another until one of them accepts it: the
// agent of the host, or a balancer that has a control stream to that agent. If none
// does, Run returns the last error. The command itself does not use the store.
func (c *drainCommand) Run(env *environment) (err error) {
	defer func() { err = errors.WithMessagef(err, "drain %s", c.Host) }()
	request := &adminpb.DrainRequest{
		Host: c.Host, Undrain: c.Undrain, Reason: c.Reason, Who: operatorName(c.Who), ChangeId: changeID(c.ChangeID),
	}
	var lastErr error
	for _, address := range c.Admin {
		client, err := c.client(address)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		_, lastErr = client.Drain(ctx, connect.NewRequest(request))
		cancel()
		if lastErr == nil {
			_, err = fmt.Fprintf(env.stdout, "host %s: drain=%t, change %s\n", c.Host, !c.Undrain, request.GetChangeId())
			return err
		}
	}
	return lastErr
}

// operatorName returns name, or the login name if name is empty, or "unknown" if
// there is none.
func operatorName(name string) string {
	if name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// changeID returns id, or a random one if id is empty.
func changeID(id string) string {
	if id != "" {
		return id
	}
	return rand.Text()
}
