package etcdserver_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"agateramp/internal/keyvalue/etcd"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
	"agateramp/internal/standin/etcdserver"
)

// Guards against a client that speaks HTTP/1 over TLS, where watches do not work.
func TestClientOverTLS(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	server, err := etcdserver.New(etcdserver.Config{})
	is.NoErr(err)
	web := httptest.NewUnstartedServer(server.Handler())
	web.EnableHTTP2 = true
	web.StartTLS()
	defer web.Close()
	roots := x509.NewCertPool()
	roots.AddCert(web.Certificate())
	client, err := etcd.New(etcd.Config{
		Endpoints: []string{web.Listener.Addr().String()},
		TLS:       &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12},
	})
	is.NoErr(err)
	defer client.Close()
	w, err := client.Watch(ctx, "k", store.Revision{})
	is.NoErr(err)
	defer w.Close()
	put(ctx, is, client, "k", "v")
	batch, err := w.Next(ctx)
	is.NoErr(err)
	is.Equal(string(batch.Events[0].Entry.Value), "v")
}

// relay passes bytes on until it is silenced; connections then stay open.
type relay struct {
	net.Listener
	target string
	silent atomic.Bool
	tasks  *group.Group
}

func (r *relay) serve(ctx context.Context) error {
	unlink := context.AfterFunc(ctx, func() { _ = r.Close() })
	defer unlink()
	for {
		in, err := r.Accept()
		if err != nil {
			return nil
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			return err
		}
		for _, pair := range [][2]net.Conn{{in, out}, {out, in}} {
			r.tasks.Go("relay", func(ctx context.Context) error {
				unlink := context.AfterFunc(ctx, func() { _ = pair[0].Close() })
				defer unlink()
				_, _ = io.Copy(&valve{pair[1], &r.silent}, pair[0])
				return nil
			})
		}
	}
}

type valve struct {
	io.Writer
	silent *atomic.Bool
}

func (v *valve) Write(p []byte) (int, error) {
	if v.silent.Load() {
		return len(p), nil
	}
	return v.Writer.Write(p)
}

// Guards against a watch that waits for ever on a connection whose other end
// was stopped or cut off without a reset.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, address := serve(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	r := &relay{Listener: listener, target: address, tasks: group.New(context.Background())}
	r.tasks.Go("accept", r.serve)
	defer func() {
		r.tasks.Stop()
		is.NoErr(r.tasks.Wait())
	}()
	client, err := etcd.New(etcd.Config{
		Endpoints:    []string{listener.Addr().String(), address},
		PingInterval: 200 * time.Millisecond, PingTimeout: 200 * time.Millisecond,
	})
	is.NoErr(err)
	defer client.Close()
	w, err := client.Watch(ctx, "k", store.Revision{})
	is.NoErr(err)
	defer w.Close()
	// A quiet and healthy watch outlives several pings.
	short, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	_, err = w.Next(short)
	is.True(errors.Is(err, context.DeadlineExceeded))
	r.silent.Store(true)
	_, err = w.Next(ctx)
	is.True(errors.Is(err, store.ErrUnavailable))
	// The next call is slow at most once, and then uses the other endpoint.
	_, _, err = client.Get(ctx, "k")
	is.NoErr(err)
}
