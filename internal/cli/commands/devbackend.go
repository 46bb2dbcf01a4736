package commands

import (
	"fmt"
	"net/netip"
	"syscall"

	"github.com/pkg/errors"

	"agateramp/internal/process/group"
	"agateramp/internal/standin/backend"
)

// backendSlots is the number of requests that the echo backend server processes at once.
const backendSlots = 2

// serveBackend answers requests of the load command until it is interrupted.
func (c *devCommand) serveBackend(env *environment, tasks *group.Group) (err error) {
	listen, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return errors.WithMessagef(errUsage, "--listen: %v", err)
	}
	server, err := backend.New(backend.Config{Name: "backend", Service: c.Service, Slots: backendSlots, Group: tasks})
	if err != nil {
		return asUsageError(err)
	}
	address, err := server.ServeUDP(listen)
	if err != nil {
		return asUsageError(err)
	}
	if _, err = fmt.Fprintf(env.stdout, "backend server at %s\n", address); err != nil {
		return err
	}
	waitSignal(tasks, subscribeSignals(syscall.SIGTERM, syscall.SIGINT))
	tasks.Stop()
	return tasks.Wait()
}
