package commands

import (
	"context"
	"fmt"
	"net"

	"agateramp/internal/standin/etcdserver"
)

// runDevStore serves the store stand-in until ctx ends. Its first line of output
// is the address, which is that of the etcd API and of the faults over HTTP.
func runDevStore(ctx context.Context, env *environment, listen string) (err error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return usage(err)
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
