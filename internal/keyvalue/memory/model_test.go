package memory

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"agateramp/internal/keyvalue/store"
)

// TestMain sets a fixed seed for the random tests, unless a long run or another seed is requested.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("AGATERAMP_LONG") == "" && flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// model is a second implementation of the store, without history. TestModel compares the
// two.
type model struct {
	now          time.Time
	store        *Store
	values       map[string]string
	modRevision  map[string]int64
	leases       map[string]store.LeaseID
	deadlines    map[store.LeaseID]time.Time
	lastRevision int64
	// watchedValues holds the entries as the watch has delivered them, up to
	// watchedRevision.
	watchedValues   map[string]string
	watcher         store.Watcher
	watchedRevision int64
}

const ttlSeconds = 5

// drawKey draws one of three keys; two of them are watched.
func (m *model) drawKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a/1", "a/2", "b/1"}).Draw(t, "key")
}

// deleteKey removes a key from the model.
func (m *model) deleteKey(key string) {
	delete(m.values, key)
	delete(m.modRevision, key)
	delete(m.leases, key)
}

// compareAndWrite puts or deletes a key under a compare that holds or, when stale, does
// not.
func (m *model) compareAndWrite(t *rapid.T) {
	key := m.drawKey(t)
	write := store.Write{Key: key, Value: []byte(fmt.Sprint(m.lastRevision, rapid.Int().Draw(t, "value")))}
	write.Delete = rapid.IntRange(0, 3).Draw(t, "delete") == 0
	for id := range m.deadlines {
		if !write.Delete && rapid.Bool().Draw(t, "lease") {
			write.Lease = id
		}
		break
	}
	compare := store.Compare{Key: key, Revision: m.modRevision[key]}
	stale := rapid.IntRange(0, 3).Draw(t, "stale") == 0
	if stale {
		compare.Revision += rapid.SampledFrom([]int64{-1, 1}).Draw(t, "off")
	}
	result, err := m.store.Txn(context.Background(), []store.Compare{compare}, []store.Write{write})
	if err != nil {
		t.Fatal(err)
	}
	if result.Succeeded == stale {
		t.Fatalf("compare with revision %d at revision %d: succeeded is %v", compare.Revision, m.modRevision[key], result.Succeeded)
	}
	if !result.Succeeded {
		return
	}
	if write.Delete {
		m.deleteKey(key)
		return
	}
	if result.Revision.Number <= m.lastRevision {
		t.Fatalf("transaction has revision %d, want more than %d", result.Revision.Number, m.lastRevision)
	}
	m.values[key], m.modRevision[key], m.lastRevision = string(write.Value), result.Revision.Number, result.Revision.Number
	delete(m.leases, key)
	if write.Lease != 0 {
		m.leases[key] = write.Lease
	}
}

// grant adds a lease.
func (m *model) grant(t *rapid.T) {
	id, err := m.store.Grant(context.Background(), ttlSeconds)
	if err != nil {
		t.Fatal(err)
	}
	m.deadlines[id] = m.now.Add(ttlSeconds * time.Second)
}

// keepAlive renews a lease, which may have expired or never been granted.
func (m *model) keepAlive(t *rapid.T) {
	id := store.LeaseID(rapid.Int64Range(1, 6).Draw(t, "lease"))
	_, err := m.store.KeepAlive(context.Background(), id)
	if _, exists := m.deadlines[id]; exists == (err != nil) {
		t.Fatalf("keep-alive of lease %d: %v", id, err)
	}
	if err == nil {
		m.deadlines[id] = m.now.Add(ttlSeconds * time.Second)
	} else if !errors.Is(err, store.ErrLeaseNotFound) {
		t.Fatal(err)
	}
}

// advance moves the clock and expires the leases whose deadline has passed.
func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
	for id, deadline := range m.deadlines {
		if m.now.Before(deadline) {
			continue
		}
		delete(m.deadlines, id)
		for key, lease := range maps.Clone(m.leases) {
			if lease == id {
				m.deleteKey(key)
			}
		}
	}
	m.store.ExpireLeases()
}

// readWatch reads everything that the watch has to deliver, and opens the watch again after
// a compaction.
func (m *model) readWatch(t *rapid.T) {
	// With a context that has ended, Next returns a batch that is there and does not block.
	endedCtx, cancel := context.WithCancel(context.Background())
	cancel()
	for {
		if m.watcher == nil {
			w, err := m.store.Watch(context.Background(), "a/", store.Revision{Number: m.watchedRevision + 1})
			if errors.Is(err, store.ErrCompacted) {
				m.relist(t)
				continue
			}
			m.watcher = w
		}
		batch, err := m.watcher.Next(endedCtx)
		if errors.Is(err, context.Canceled) {
			return
		}
		if errors.Is(err, store.ErrCompacted) {
			m.watcher.Close()
			m.watcher = nil
			m.relist(t)
			continue
		}
		for _, e := range batch.Events {
			if e.Entry.ModRevision <= m.watchedRevision && m.watchedRevision != 0 {
				t.Fatalf("event has revision %d, want more than %d", e.Entry.ModRevision, m.watchedRevision)
			}
			if m.watchedValues[e.Entry.Key] = string(e.Entry.Value); e.Deleted {
				delete(m.watchedValues, e.Entry.Key)
			}
		}
		m.watchedRevision = batch.Revision.Number
	}
}

// relist lists the watched keys anew, as a client does after store.ErrCompacted.
func (m *model) relist(t *rapid.T) {
	entries, revision, err := m.store.List(context.Background(), "a/")
	if err != nil {
		t.Fatal(err)
	}
	m.watchedValues, m.watchedRevision = map[string]string{}, revision.Number
	for _, e := range entries {
		m.watchedValues[e.Key] = string(e.Value)
	}
}

// check compares the entries of the store, and those that the watch delivered, with the
// model.
func (m *model) check(t *rapid.T) {
	entries, _, err := m.store.List(context.Background(), "")
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	for _, e := range entries {
		got[e.Key] = string(e.Value)
		if e.ModRevision != m.modRevision[e.Key] || e.Lease != m.leases[e.Key] {
			t.Fatalf("entry %+v, want revision %d and lease %d", e, m.modRevision[e.Key], m.leases[e.Key])
		}
	}
	if !maps.Equal(got, m.values) {
		t.Fatalf("store holds %v, want %v", got, m.values)
	}
	m.readWatch(t)
	want := maps.Clone(m.values)
	delete(want, "b/1")
	if !maps.Equal(m.watchedValues, want) {
		t.Fatalf("the watch has delivered %v, want %v", m.watchedValues, want)
	}
}

// TestModel guards against a store that differs from the model in its transactions, the
// expiry of leases, or watches that a compaction interrupts.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			now: time.Unix(1000, 0), values: map[string]string{}, modRevision: map[string]int64{},
			leases: map[string]store.LeaseID{}, deadlines: map[store.LeaseID]time.Time{}, watchedValues: map[string]string{},
		}
		s, err := New(Config{Now: func() time.Time { return m.now }, MaxHistory: rapid.IntRange(1, 20).Draw(t, "history")})
		if err != nil {
			t.Fatal(err)
		}
		m.store = s
		t.Repeat(map[string]func(*rapid.T){
			"swap": m.compareAndWrite, "grant": m.grant, "keep_alive": m.keepAlive, "advance": m.advance, "": m.check,
			"compact": func(t *rapid.T) { s.Compact(m.lastRevision - rapid.Int64Range(0, 3).Draw(t, "behind")) },
		})
	})
}

// TestHistoryIsBounded guards against a history that is limited in events but not in bytes,
// and against a compaction at every write, which would copy the history each time.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	s, err := New(Config{MaxHistory: 1000})
	is.NoErr(err)
	value := make([]byte, store.MaxValueBytes)
	for range 200 {
		_, err = s.Txn(context.Background(), nil, []store.Write{{Key: "large", Value: value}})
		is.NoErr(err)
		is.True(s.historyBytes <= maxHistoryBytes+maxHistoryBytes/4)
	}
	compactions, last := 0, s.compacted
	for range 10_000 {
		_, err = s.Txn(context.Background(), nil, []store.Write{{Key: "small"}})
		is.NoErr(err)
		is.True(len(s.history) <= 1250)
		if s.compacted != last {
			compactions, last = compactions+1, s.compacted
		}
	}
	is.True(compactions <= 41) // at most one per 250 writes, and one more
}
