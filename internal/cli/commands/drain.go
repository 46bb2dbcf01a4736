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
	Undrain  bool   `help:"Have the host take new flows again."`
	Reason   string `help:"Why, for the log."`
	Who      string `help:"Operator; without it, the user of this machine."`
	ChangeID string `help:"Id that makes a repeated call have no further effect; without it, a random one."`
}

// Run asks each process in turn until one reaches the host. It needs no store.
func (c *drainCommand) Run(env *environment) (err error) {
	defer func() { err = errors.WithMessagef(err, "drain %s", c.Host) }()
	request := &adminpb.DrainRequest{
		Host: c.Host, Undrain: c.Undrain, Reason: c.Reason, Who: operatorName(c.Who), ChangeId: changeID(c.ChangeID),
	}
	var last error
	for _, address := range c.Admin {
		client, err := c.client(address)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		_, last = client.Drain(ctx, connect.NewRequest(request))
		cancel()
		if last == nil {
			_, err = fmt.Fprintf(env.stdout, "host %s: drain=%t, change %s\n", c.Host, !c.Undrain, request.GetChangeId())
			return err
		}
	}
	return last
}

// operatorName returns the given name or that of the user of this machine.
func operatorName(name string) string {
	if name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// changeID returns the given id or a new one.
func changeID(id string) string {
	if id != "" {
		return id
	}
	return rand.Text()
}
