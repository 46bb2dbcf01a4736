package audit

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"agateramp/internal/keyvalue/backoff"
	"agateramp/internal/keyvalue/memory"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/standin/etcdserver"
)

// TestMain fixes the seed of random tests, unless AGATERAMP_LONG is set.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("AGATERAMP_LONG") == "" && flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

func newStore(tb interface{ Fatal(...any) }) *memory.Store {
	m, err := memory.New(memory.Config{})
	if err != nil {
		tb.Fatal(err)
	}
	return m
}

func record(n int) Record {
	return Record{
		Time: time.Unix(int64(n), 0), Kind: KindDrain, Who: "kimi", From: "console",
		Subject: fmt.Sprint("host-", n), ChangeID: fmt.Sprint("change-", n),
	}
}

// fill appends enough records for several segments.
func fill(is *is.I, s store.Store) {
	is.Helper()
	for n := range 60 {
		r := record(n)
		for range 20 {
			r.Diff = append(r.Diff, FieldChange{Field: "/f", New: json.RawMessage(`"` + strings.Repeat("x", 400) + `"`)})
		}
		is.NoErr(Append(context.Background(), s, r, backoff.Policy{}))
	}
}

// Guards against segments of unbounded size, and against records that are lost where a
// new segment begins.
func TestSegments(t *testing.T) {
	is := is.New(t)
	ctx, m := context.Background(), newStore(t)
	fill(is, m)
	records, err := Read(ctx, m, Query{})
	is.NoErr(err)
	is.Equal(len(records), 60)
	is.Equal(records[59].Sequence, uint64(60))
	entries, _, err := m.List(ctx, Prefix)
	is.NoErr(err)
	is.True(len(entries) > 3)
	for _, e := range entries {
		is.True(len(e.Value) <= maxSegmentBytes)
	}
	records, err = Read(ctx, m, Query{Last: 2})
	is.NoErr(err)
	is.Equal(records[0].ChangeID, "change-58")
	records, err = Read(ctx, m, Query{Since: time.Unix(59, 0)})
	is.NoErr(err)
	is.Equal(len(records), 1)
}

// Guards against a hash chain that does not detect records that were altered, removed or
// reordered.
func TestTamperingIsDetected(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	cases := []struct {
		name string
		edit func(g *segment)
	}{
		{"field", func(g *segment) { g.Records[1].Who = "noor" }},
		{"field with its hash", func(g *segment) {
			g.Records[1].Who = "noor"
			g.Records[1].Hash, _ = g.Records[1].hash()
		}},
		{"removed record", func(g *segment) { g.Records = append(g.Records[:1], g.Records[2:]...) }},
		{"removed first record", func(g *segment) { g.Records = g.Records[1:] }},
		{"removed last record", func(g *segment) { g.Records = g.Records[:len(g.Records)-1] }},
		{"swapped records", func(g *segment) { g.Records[0], g.Records[1] = g.Records[1], g.Records[0] }},
	}
	m := newStore(t)
	fill(is, m)
	for _, c := range cases {
		for _, number := range []uint64{1, 2} {
			entry, _, err := m.Get(ctx, SegmentKey(number))
			is.NoErr(err)
			var g segment
			is.NoErr(json.Unmarshal(entry.Value, &g))
			c.edit(&g)
			value, err := json.Marshal(g)
			is.NoErr(err)
			_, err = m.Txn(ctx, nil, []store.Write{{Key: SegmentKey(number), Value: value}})
			is.NoErr(err)
			if _, err = Read(ctx, m, Query{}); !errors.Is(err, ErrBroken) {
				t.Errorf("%s in segment %d: got %v", c.name, number, err)
			}
			_, err = m.Txn(ctx, nil, []store.Write{{Key: SegmentKey(number), Value: entry.Value}})
			is.NoErr(err)
		}
	}
	_, err := m.Txn(ctx, nil, []store.Write{{Key: SegmentKey(2), Delete: true}})
	is.NoErr(err)
	_, err = Read(ctx, m, Query{})
	is.True(errors.Is(err, ErrBroken))
}

// Guards against a record that exceeds the size limit of the store.
func TestLargeDiff(t *testing.T) {
	is := is.New(t)
	r := Record{ChangeID: "large"}
	for n := range 10_000 {
		r.Diff = append(r.Diff, FieldChange{Field: fmt.Sprint("/f/", n), New: json.RawMessage(`1`)})
	}
	m := newStore(t)
	is.NoErr(Append(context.Background(), m, r, backoff.Policy{}))
	records, err := Read(context.Background(), m, Query{})
	is.NoErr(err)
	is.Equal(len(records[0].Diff)+records[0].Omitted, 10_000)
	is.Equal(len(r.Diff), 10_000)
}

// Guards against records that are lost or appended twice when answers of the store are
// lost and several writers append.
func TestAppendSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, m := context.Background(), newStore(t)
		faults := etcdserver.NewFaults(m)
		count := rapid.IntRange(1, 12).Draw(t, "records")
		for n := range count {
			faults.Set(etcdserver.Settings{LoseAnswers: rapid.IntRange(0, 3).Draw(t, "lose")})
			s := &interferingStore{Store: faults.Store("writer"), other: m, at: rapid.IntRange(0, 3).Draw(t, "other"), n: n}
			if err := Append(ctx, s, record(n), backoff.Policy{First: 1, Max: 1}); err != nil {
				t.Fatal(err)
			}
		}
		records, err := Read(ctx, m, Query{})
		if err != nil {
			t.Fatal(err)
		}
		seen := map[string]int{}
		for _, r := range records {
			seen[r.ChangeID]++
		}
		for id, times := range seen {
			if times != 1 {
				t.Fatalf("record %s was appended %d times", id, times)
			}
		}
		for n := range count {
			if seen[fmt.Sprint("change-", n)] != 1 {
				t.Fatalf("record %d is lost", n)
			}
		}
	})
}

// interferingStore appends a record of another writer just before its at-th transaction,
// counted from 1, or never if at is 0. The number n makes the change id unique.
type interferingStore struct {
	store.Store
	other *memory.Store
	at, n int
}

func (s *interferingStore) Txn(ctx context.Context, compares []store.Compare, writes []store.Write) (store.TxnResult, error) {
	if s.at--; s.at == 0 {
		r := record(1000 + s.n)
		if err := Append(ctx, s.other, r, backoff.Policy{}); err != nil {
			return store.TxnResult{}, err
		}
	}
	return s.Store.Txn(ctx, compares, writes)
}

// Guards against a panic or an endless retry on a corrupt trail.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"segment":1,"sequence":1,"hash":"x"}`), []byte(`{"records":[{"sequence":1,"hash":"x"}]}`))
	f.Add([]byte(`{"segment":1}`), []byte(`{}`))
	f.Add([]byte(`{"segment":2,"sequence":3}`), []byte(`null`))
	f.Add([]byte(`{}`), []byte(`{"records":[{}]}`))
	f.Fuzz(func(t *testing.T, headValue, segmentValue []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		m := newStore(t)
		_, err := m.Txn(ctx, nil, []store.Write{{Key: headKey, Value: headValue}, {Key: SegmentKey(1), Value: segmentValue}})
		if err != nil {
			t.Skip(err)
		}
		if records, err := Read(ctx, m, Query{}); err != nil && (!errors.Is(err, ErrBroken) || records != nil) {
			t.Fatal(err)
		}
		if err = Append(ctx, m, record(1), backoff.Policy{}); err != nil && !errors.Is(err, ErrBroken) {
			t.Fatal(err)
		}
	})
}
