package etcdserver_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"agateramp/internal/keyvalue/etcd"
	"agateramp/internal/keyvalue/memory"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
	"agateramp/internal/standin/etcdserver"
)

// TestMain guards against watches and servers that leave goroutines behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve starts a stand-in on a socket and returns its faults and address.
func serve(t *testing.T) (faults *etcdserver.Faults, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := etcdserver.New(etcdserver.Config{})
	if err != nil {
		t.Fatal(err)
	}
	tasks := group.New(context.Background())
	tasks.Go("serve", func(ctx context.Context) error { return server.Serve(ctx, listener) })
	t.Cleanup(func() {
		tasks.Stop()
		if err := tasks.Wait(); err != nil {
			t.Error(err)
		}
	})
	return server.Faults(), listener.Addr().String()
}

func dial(t *testing.T, name string, addresses ...string) *etcd.Client {
	t.Helper()
	client, err := etcd.New(etcd.Config{Endpoints: addresses, UserAgent: name})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// Each store keeps the same contract: what holds in tests over memory holds
// over the wire.
func TestContract(t *testing.T) {
	stores := []struct {
		name string
		open func(t *testing.T) (store.Store, *memory.Store)
	}{
		{"memory", func(t *testing.T) (store.Store, *memory.Store) {
			m, err := memory.New(memory.Config{})
			if err != nil {
				t.Fatal(err)
			}
			return m, m
		}},
		{"etcd", func(t *testing.T) (store.Store, *memory.Store) {
			faults, address := serve(t)
			return dial(t, "contract", address), faults.Memory()
		}},
	}
	cases := []struct {
		name string
		run  func(ctx context.Context, is *is.I, s store.Store, m *memory.Store)
	}{
		{"reads", testReads},
		{"transactions", testTransactions},
		{"rejections", testRejections},
		{"leases", testLeases},
		{"watch", testWatch},
		{"compaction", testCompaction},
		{"restore", testRestore},
		{"contexts", testContexts},
	}
	for _, s := range stores {
		for _, c := range cases {
			t.Run(s.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				opened, m := s.open(t)
				c.run(ctx, is.New(t), opened, m)
			})
		}
	}
}

// renew renews a lease.
func renew(ctx context.Context, s store.Store, id store.LeaseID) error {
	_, err := s.KeepAlive(ctx, id)
	return err
}

func put(ctx context.Context, is *is.I, s store.Store, key, value string) int64 {
	is.Helper()
	result, err := s.Txn(ctx, nil, []store.Write{{Key: key, Value: []byte(value)}})
	is.NoErr(err)
	is.True(result.Succeeded)
	return result.Revision.Number
}

// Guards against prefixes that include neighbours and against unordered lists.
func testReads(ctx context.Context, is *is.I, s store.Store, _ *memory.Store) {
	entry, _, err := s.Get(ctx, "a/1")
	is.NoErr(err)
	is.True(entry == nil)
	first := put(ctx, is, s, "a/1", "one")
	second := put(ctx, is, s, "a/2", "two")
	put(ctx, is, s, "a0", "neighbour")
	put(ctx, is, s, "a/1", "eins")
	entry, revision, err := s.Get(ctx, "a/1")
	is.NoErr(err)
	is.Equal(string(entry.Value), "eins")
	is.Equal(entry.CreateRevision, first)
	is.Equal(entry.ModRevision, revision.Number)
	entries, _, err := s.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(len(entries), 2)
	is.Equal(entries[0].Key, "a/1")
	is.Equal(entries[1].ModRevision, second)
	entries, _, err = s.List(ctx, "")
	is.NoErr(err)
	is.Equal(len(entries), 3)
}

// Guards against partial transactions and against writes under a stale revision.
func testTransactions(ctx context.Context, is *is.I, s store.Store, _ *memory.Store) {
	absent := []store.Compare{{Key: "k", ByCreateRevision: true}}
	first, err := s.Txn(ctx, absent, []store.Write{{Key: "k", Value: []byte("1")}, {Key: "l", Value: []byte("1")}})
	is.NoErr(err)
	is.True(first.Succeeded)
	again, err := s.Txn(ctx, absent, []store.Write{{Key: "k", Value: []byte("2")}})
	is.NoErr(err)
	is.True(!again.Succeeded)
	is.Equal(again.Revision, first.Revision)
	stale := []store.Compare{{Key: "k", Revision: first.Revision.Number}, {Key: "l", Revision: first.Revision.Number - 1}}
	again, err = s.Txn(ctx, stale, []store.Write{{Key: "k", Delete: true}})
	is.NoErr(err)
	is.True(!again.Succeeded)
	fresh := []store.Compare{{Key: "k", Revision: first.Revision.Number}, {Key: "m"}}
	done, err := s.Txn(ctx, fresh, []store.Write{{Key: "k", Delete: true}, {Key: "m", Value: []byte("3")}})
	is.NoErr(err)
	is.True(done.Succeeded)
	entries, revision, err := s.List(ctx, "")
	is.NoErr(err)
	is.Equal(len(entries), 2)
	is.Equal(revision, first.Revision.Next())
}

// Guards against errors that callers cannot tell apart.
func testRejections(ctx context.Context, is *is.I, s store.Store, _ *memory.Store) {
	largest := bytes.Repeat([]byte{1}, store.MaxValueBytes)
	_, err := s.Txn(ctx, nil, []store.Write{{Key: "k", Value: largest}})
	is.NoErr(err)
	_, err = s.Txn(ctx, nil, []store.Write{{Key: "k", Value: append(largest, 1)}})
	is.True(errors.Is(err, store.ErrTooLarge))
	_, err = s.Txn(ctx, nil, []store.Write{{Key: "k"}, {Key: "k", Delete: true}})
	is.True(errors.Is(err, store.ErrRejected))
	_, err = s.Txn(ctx, nil, []store.Write{{Key: "k", Lease: 99}})
	is.True(errors.Is(err, store.ErrLeaseNotFound))
	is.True(errors.Is(renew(ctx, s, 99), store.ErrLeaseNotFound))
	is.True(errors.Is(s.Revoke(ctx, 99), store.ErrLeaseNotFound))
	_, err = s.Grant(ctx, 0)
	is.True(errors.Is(err, store.ErrRejected))
}

// Guards against keys that outlive their lease, or die while it is renewed.
func testLeases(ctx context.Context, is *is.I, s store.Store, _ *memory.Store) {
	long, err := s.Grant(ctx, 60)
	is.NoErr(err)
	id, err := s.Grant(ctx, 1)
	is.NoErr(err)
	_, err = s.Txn(ctx, nil, []store.Write{
		{Key: "leased", Lease: id}, {Key: "freed", Lease: id}, {Key: "long", Lease: long},
	})
	is.NoErr(err)
	put(ctx, is, s, "freed", "no lease any more")
	w, err := s.Watch(ctx, "leased", store.Revision{})
	is.NoErr(err)
	defer w.Close()
	for range 3 {
		time.Sleep(500 * time.Millisecond)
		is.NoErr(renew(ctx, s, id))
	}
	entry, _, err := s.Get(ctx, "leased")
	is.NoErr(err)
	is.Equal(entry.Lease, id)
	batch, err := w.Next(ctx)
	is.NoErr(err)
	is.True(batch.Events[0].Deleted)
	is.True(errors.Is(renew(ctx, s, id), store.ErrLeaseNotFound))
	is.NoErr(s.Revoke(ctx, long))
	entries, _, err := s.List(ctx, "")
	is.NoErr(err)
	is.Equal(len(entries), 1)
	is.Equal(entries[0].Key, "freed")
}

// Guards against lost, doubled and foreign events, in the past and in the future.
func testWatch(ctx context.Context, is *is.I, s store.Store, _ *memory.Store) {
	first := put(ctx, is, s, "w/1", "a")
	put(ctx, is, s, "v/1", "foreign")
	w, err := s.Watch(ctx, "w/", store.Revision{Number: first})
	is.NoErr(err)
	defer w.Close()
	put(ctx, is, s, "w/1", "b")
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	var values []string
	for {
		batch, err := w.Next(short)
		if errors.Is(err, context.DeadlineExceeded) {
			break
		}
		is.NoErr(err)
		for _, e := range batch.Events {
			values = append(values, string(e.Entry.Value))
		}
	}
	// A cancelled Next takes nothing from the watch.
	last, err := s.Txn(ctx, nil, []store.Write{{Key: "w/1", Delete: true}, {Key: "w/2", Value: []byte("c")}})
	is.NoErr(err)
	batch, err := w.Next(ctx)
	is.NoErr(err)
	is.Equal(values, []string{"a", "b"})
	is.Equal(len(batch.Events), 2)
	is.Equal(batch.Revision, last.Revision)
	is.True(batch.Events[0].Deleted)
	is.Equal(batch.Events[0].Entry.ModRevision, last.Revision.Number)
	is.Equal(string(batch.Events[1].Entry.Value), "c")
	w.Close()
	_, err = w.Next(ctx)
	is.True(errors.Is(err, store.ErrUnavailable))
}

// Guards against a watch that skips compacted events without saying so, and
// against one that ends although it missed nothing.
func testCompaction(ctx context.Context, is *is.I, s store.Store, m *memory.Store) {
	first := put(ctx, is, s, "c", "1")
	current, err := s.Watch(ctx, "c", store.Revision{})
	is.NoErr(err)
	defer current.Close()
	put(ctx, is, s, "d", "1")
	m.Compact(put(ctx, is, s, "d", "2"))
	past, err := s.Watch(ctx, "c", store.Revision{Number: first})
	if err == nil {
		defer past.Close()
		_, err = past.Next(ctx)
	}
	is.True(errors.Is(err, store.ErrCompacted))
	put(ctx, is, s, "c", "2")
	batch, err := current.Next(ctx)
	is.NoErr(err)
	is.Equal(string(batch.Events[0].Entry.Value), "2")
}

// Guards against a watch that goes on after the store was restored, from a revision that
// was given out again, and so misses what was written before it.
func testRestore(ctx context.Context, is *is.I, s store.Store, m *memory.Store) {
	put(ctx, is, s, "r", "1")
	snapshot := m.Snapshot()
	put(ctx, is, s, "r", "2")
	lease, err := s.Grant(ctx, 60)
	is.NoErr(err)
	before, err := s.KeepAlive(ctx, lease)
	is.NoErr(err)
	_, revision, err := s.List(ctx, "r")
	is.NoErr(err)
	m.Restore(snapshot)
	put(ctx, is, s, "r", "3")
	put(ctx, is, s, "q", "3")

	short, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	w, err := s.Watch(short, "r", revision.Next())
	if err == nil {
		defer w.Close()
		_, err = w.Next(short)
	}
	is.True(errors.Is(err, store.ErrCompacted))
	entries, after, err := s.List(ctx, "r")
	is.NoErr(err)
	is.Equal(string(entries[0].Value), "3")
	is.True(after.Compare(revision) > 0)
	again, err := s.Grant(ctx, 60) // may have the id of the lost lease
	is.NoErr(err)
	generation, err := s.KeepAlive(ctx, again)
	is.NoErr(err)
	is.True(generation > before)
}

// Guards against calls that ignore their context.
func testContexts(ctx context.Context, is *is.I, s store.Store, _ *memory.Store) {
	ended, cancel := context.WithCancel(ctx)
	cancel()
	_, _, err := s.Get(ended, "k")
	is.True(errors.Is(err, context.Canceled))
	_, err = s.Txn(ended, nil, []store.Write{{Key: "k"}})
	is.True(errors.Is(err, context.Canceled))
	_, err = s.Watch(ended, "k", store.Revision{})
	is.True(errors.Is(err, context.Canceled))
}
