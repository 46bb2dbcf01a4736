package etcdserver_test

import (
	"context"
	"net"
	"testing"

	"agateramp/internal/keyvalue/etcd"
	"agateramp/internal/keyvalue/memory"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
	"agateramp/internal/standin/etcdserver"
)

// BenchmarkTxn compares a write over the wire with one in memory.
func BenchmarkTxn(b *testing.B) {
	m, err := memory.New(memory.Config{})
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server, err := etcdserver.New(etcdserver.Config{Faults: etcdserver.NewFaults(m)})
	if err != nil {
		b.Fatal(err)
	}
	tasks := group.New(context.Background())
	tasks.Go("serve", func(ctx context.Context) error { return server.Serve(ctx, listener) })
	client, err := etcd.New(etcd.Config{Endpoints: []string{listener.Addr().String()}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		client.Close()
		tasks.Stop()
		if err := tasks.Wait(); err != nil {
			b.Error(err)
		}
	})
	writes := []store.Write{{Key: "k", Value: make([]byte, 1000)}}
	for name, s := range map[string]store.Store{"memory": m, "wire": client} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Txn(context.Background(), nil, writes); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
