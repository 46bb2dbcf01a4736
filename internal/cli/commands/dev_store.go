package commands

import (
	"context"
	"fmt"
	"net"

	"agateramp/internal/standin/etcdserver"
)

// runDevStore serves the store stand-in until ctx ends. The first line of
// output has its address, which serves both the etcd API and fault injection over HTTP.
func runDevStore(ctx context.Context, env *environment, listen string) (err error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return asUsageError(err)
	}
	server, err := etcdserver.New(etcdserver.Config{})
	if err != nil {
		return err
	}
	if _, err = fmt.Fprintf(env.stdout, "store at %s, faults at http://%s/faults\n", listener.Addr(), listener.Addr()); err != nil {
		return err
	}
	return server.Serve(ctx, listener)
}
