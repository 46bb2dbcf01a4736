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

// TestMain fixes the seed of random tests, but for long runs.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("AGATERAMP_LONG") == "" && flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// model is the store written down a second time, without history.
type model struct {
	now      time.Time
	store    *Store
	values   map[string]string
	revision map[string]int64
	leased   map[string]store.LeaseID
	deadline map[store.LeaseID]time.Time
	last     int64
	// seen is what a watch has delivered.
	seen    map[string]string
	watcher store.Watcher
	watched int64
}

const ttl = 5

func (m *model) key(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a/1", "a/2", "b/1"}).Draw(t, "key")
}

func (m *model) drop(key string) {
	delete(m.values, key)
	delete(m.revision, key)
	delete(m.leased, key)
}

// swap writes a key under a compare that holds or not.
func (m *model) swap(t *rapid.T) {
	key := m.key(t)
	write := store.Write{Key: key, Value: []byte(fmt.Sprint(m.last, rapid.Int().Draw(t, "value")))}
	write.Delete = rapid.IntRange(0, 3).Draw(t, "delete") == 0
	for id := range m.deadline {
		if !write.Delete && rapid.Bool().Draw(t, "lease") {
			write.Lease = id
		}
		break
	}
	compare := store.Compare{Key: key, Revision: m.revision[key]}
	stale := rapid.IntRange(0, 3).Draw(t, "stale") == 0
	if stale {
		compare.Revision += rapid.SampledFrom([]int64{-1, 1}).Draw(t, "off")
	}
	result, err := m.store.Txn(context.Background(), []store.Compare{compare}, []store.Write{write})
	if err != nil {
		t.Fatal(err)
	}
	if result.Succeeded == stale {
		t.Fatalf("compare with %d at %d: succeeded is %v", compare.Revision, m.revision[key], result.Succeeded)
	}
	if !result.Succeeded {
		return
	}
	if write.Delete {
		m.drop(key)
		return
	}
	if result.Revision <= m.last {
		t.Fatalf("revision %d after %d", result.Revision, m.last)
	}
	m.values[key], m.revision[key], m.last = string(write.Value), result.Revision, result.Revision
	delete(m.leased, key)
	if write.Lease != 0 {
		m.leased[key] = write.Lease
	}
}

func (m *model) grant(t *rapid.T) {
	id, err := m.store.Grant(context.Background(), ttl)
	if err != nil {
		t.Fatal(err)
	}
	m.deadline[id] = m.now.Add(ttl * time.Second)
}

func (m *model) keepAlive(t *rapid.T) {
	id := store.LeaseID(rapid.Int64Range(1, 6).Draw(t, "lease"))
	err := m.store.KeepAlive(context.Background(), id)
	if _, lives := m.deadline[id]; lives == (err != nil) {
		t.Fatalf("keep-alive of lease %d: %v", id, err)
	}
	if err == nil {
		m.deadline[id] = m.now.Add(ttl * time.Second)
	} else if !errors.Is(err, store.ErrLeaseNotFound) {
		t.Fatal(err)
	}
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
	for id, deadline := range m.deadline {
		if m.now.Before(deadline) {
			continue
		}
		delete(m.deadline, id)
		for key, lease := range maps.Clone(m.leased) {
			if lease == id {
				m.drop(key)
			}
		}
	}
	m.store.ExpireLeases()
}

// follow reads what the watch has and opens it again when it was compacted.
func (m *model) follow(t *rapid.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for {
		if m.watcher == nil {
			w, err := m.store.Watch(context.Background(), "a/", m.watched+1)
			if errors.Is(err, store.ErrCompacted) {
				m.relist(t)
				continue
			}
			m.watcher = w
		}
		batch, err := m.watcher.Next(ended)
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
			if e.Entry.ModRevision <= m.watched && m.watched != 0 {
				t.Fatalf("event of revision %d after %d", e.Entry.ModRevision, m.watched)
			}
			if m.seen[e.Entry.Key] = string(e.Entry.Value); e.Deleted {
				delete(m.seen, e.Entry.Key)
			}
		}
		m.watched = batch.Revision
	}
}

func (m *model) relist(t *rapid.T) {
	entries, revision, err := m.store.List(context.Background(), "a/")
	if err != nil {
		t.Fatal(err)
	}
	m.seen, m.watched = map[string]string{}, revision
	for _, e := range entries {
		m.seen[e.Key] = string(e.Value)
	}
}

func (m *model) check(t *rapid.T) {
	entries, _, err := m.store.List(context.Background(), "")
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	for _, e := range entries {
		got[e.Key] = string(e.Value)
		if e.ModRevision != m.revision[e.Key] || e.Lease != m.leased[e.Key] {
			t.Fatalf("%+v, want revision %d and lease %d", e, m.revision[e.Key], m.leased[e.Key])
		}
	}
	if !maps.Equal(got, m.values) {
		t.Fatalf("store holds %v, want %v", got, m.values)
	}
	m.follow(t)
	want := maps.Clone(m.values)
	delete(want, "b/1")
	if !maps.Equal(m.seen, want) {
		t.Fatalf("the watch has seen %v, want %v", m.seen, want)
	}
}

// Guards against a store that differs from its model in transactions, leases
// that lapse, and watches over compaction.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			now: time.Unix(1000, 0), values: map[string]string{}, revision: map[string]int64{},
			leased: map[string]store.LeaseID{}, deadline: map[store.LeaseID]time.Time{}, seen: map[string]string{},
		}
		s, err := New(Config{Now: func() time.Time { return m.now }, MaxHistory: rapid.IntRange(1, 20).Draw(t, "history")})
		if err != nil {
			t.Fatal(err)
		}
		m.store = s
		t.Repeat(map[string]func(*rapid.T){
			"swap": m.swap, "grant": m.grant, "keep_alive": m.keepAlive, "advance": m.advance, "": m.check,
			"compact": func(t *rapid.T) { s.Compact(m.last - rapid.Int64Range(0, 3).Draw(t, "behind")) },
		})
	})
}

// Guards against a history that grows with the size of its values, and against
// one whose trimming makes every write slow.
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
	is.True(compactions <= 41)
}
