package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/keyvalue/memory"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/operator/audit"
)

const studioConfig = `{"services":{"studio":{"addresses":[{"address":"10.0.0.1:443","protocol":"tcp"}]}}}`

func folder(files ...string) fstest.MapFS {
	f := fstest.MapFS{}
	for i, content := range files {
		f[fmt.Sprintf("%02d.json", i)] = &fstest.MapFile{Data: []byte(content)}
	}
	return f
}

func readSource(t *testing.T, files ...string) *Source {
	t.Helper()
	s, err := ReadFolder(folder(files...))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newStore(t *testing.T) *memory.Store {
	t.Helper()
	m, err := memory.New(memory.Config{})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func newChange(id, who string, s *Source) Change {
	return Change{ID: id, Who: who, From: "console", Source: s}
}

// Guards against an origin that names a file whose value a later file overrides.
func TestMergeRecordsOrigins(t *testing.T) {
	is := is.New(t)
	s := readSource(t, studioConfig,
		`{"services":{"studio":{"idempotent":true,"drain_time_ms":1},"old":{"addresses":[]}},"hosts":{"h1":{"service":"studio"}}}`,
		`{"services":{"studio":{"drain_time_ms":2},"old":null},"hosts":{"h1":{"drain":true},"h.2":{"service":"studio"}}}`)
	is.Equal(s.Origins(), map[string]string{
		"/services/studio/addresses": "00.json", "/services/studio/idempotent": "01.json",
		"/services/studio/drain_time_ms": "02.json", "/hosts/h1/service": "01.json",
		"/hosts/h1/drain": "02.json", "/hosts/h.2/service": "02.json",
	})
	is.Equal(s.Document().Services["studio"].DrainTimeMS, uint32(2))
}

// Guards against errors that are accepted, or reported without their file and field.
func TestProblemsNameFileAndField(t *testing.T) {
	udp := `{"services":{"u":{"first_packet":"any","addresses":[{"address":"10.0.0.1:443","protocol":"udp"}]}}}`
	cases := []struct {
		name  string
		files []string
		want  string
	}{
		{"unknown field", []string{studioConfig, `{"services":{"studio":{"idle_timeout":1}}}`}, "file 01.json: field /services/studio:"},
		{"wrong type", []string{studioConfig, `{"services":{"studio":{"idle_timeout_ms":"1"}}}`}, "file 01.json: field /services/studio/idle_timeout_ms:"},
		{"weight range", []string{studioConfig, `{"hosts":{"h":{"service":"studio","weight":1000001}}}`}, "file 01.json: field /hosts/h/weight:"},
		{"unknown service", []string{studioConfig, `{"hosts":{"h":{"service":"archive"}}}`}, "file 01.json: field /hosts/h/service: service archive does not exist"},
		{"unknown rules", []string{studioConfig, `{"load_sharing":{"services":{"archive":{}}}}`}, "file 01.json: field /load_sharing/services/archive: service archive does not exist"},
		{"clash", []string{studioConfig, `{"services":{"b":{"addresses":[{"address":"[::ffff:10.0.0.1]:443","protocol":"tcp"}]}}}`}, "tcp 10.0.0.1:443 is already an address of service"},
		{"no address", []string{`{"services":{"b":{"addresses":[{"address":"10.0.0.1","protocol":"tcp"}]}}}`}, "file 00.json: field /services/b/addresses/0/address: \"10.0.0.1\" is not an IP address and port"},
		{"syn over udp", []string{udp, `{"services":{"u":{"first_packet":"syn"}}}`}, "file 01.json: field /services/u/first_packet:"},
		{"prefix without bytes", []string{udp, `{"services":{"u":{"first_packet":"prefix"}}}`}, "field /services/u/prefix_hex:"},
		{"odd hex", []string{udp, `{"services":{"u":{"refusal_hex":"abc"}}}`}, "file 01.json: field /services/u/refusal_hex:"},
		{"refusal over tcp", []string{studioConfig, `{"services":{"studio":{"refusal_hex":"00"}}}`}, "file 01.json: field /services/studio/refusal_hex:"},
		{"deadline", []string{studioConfig, `{"services":{"studio":{"queue_deadline_ms":300000}}}`}, "file 01.json: field /services/studio/queue_deadline_ms:"},
		{"key given twice", []string{`{"services":{"a":{},"a":{}}}`}, "file 00.json: field /services/a is given twice"},
		{"trailing text", []string{studioConfig + "x"}, "file 00.json: "},
		{"truncated", []string{`{"services":`}, "file 00.json: the file ends in the middle of a value"},
		{"no object", []string{`[]`}, "file 00.json: the top level must be an object"},
		{"depth", []string{strings.Repeat(`{"a":`, 100) + "1" + strings.Repeat("}", 100)}, "nested deeper than 32"},
		{"null in array", []string{`{"services":{"a":{"addresses":[{"protocol":null}]}}}`}, "field /services/a/addresses/protocol: null in an array"},
		{"empty folder", nil, "the folder has no .json file"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := ReadFolder(folder(c.files...))
			var problems Problems
			is.True(errors.As(err, &problems))
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %q, want %q in it", err, c.want)
			}
		})
	}
	_, err := ReadFolder(fstest.MapFS{"a.json": {Data: []byte(studioConfig)}, "b.jsn": {Data: []byte("{}")}})
	is.New(t).True(strings.Contains(err.Error(), "file b.jsn: not a .json file"))
}

// Guards against a definition on the wire that differs from the configuration.
func TestDefinition(t *testing.T) {
	is := is.New(t)
	d := readSource(t, `{"services":{"s":{"first_packet":"prefix","prefix_hex":"01ff","refusal_hex":"52","idempotent":true,
		"queue_deadline_ms":5,"addresses":[{"address":"[::ffff:10.0.0.1]:443","protocol":"udp"}]}}}`).Document()
	s := d.Definition("s", 7)
	is.Equal(s.GetId(), uint32(7))
	is.Equal(s.GetFirstPacket(), controlpb.FirstPacket_FIRST_PACKET_PREFIX)
	is.Equal(s.GetFirstPacketPrefix(), []byte{1, 0xff})
	is.Equal(s.GetRefusal(), []byte{0x52})
	is.Equal(s.GetIdleTimeoutMs(), uint32(300_000))
	is.Equal(s.GetAddresses()[0].GetAddress(), "10.0.0.1:443")
	is.Equal(s.GetAddresses()[0].GetProtocol(), uint32(17))
	is.True(d.Definition("t", 8) == nil)
}

// Guards against a service id that is reused, and against services that get a new
// version, and so are published again, although nothing that applies to them changed.
func TestServiceVersions(t *testing.T) {
	is := is.New(t)
	ctx, m := context.Background(), newStore(t)
	other := `{"services":{"other":{"addresses":[{"address":"10.0.0.2:443","protocol":"tcp"}]}}}`
	steps := []struct {
		files []string
		want  []ManifestService
	}{
		{[]string{studioConfig}, []ManifestService{{1, "studio", 1}}},
		{[]string{studioConfig, other}, []ManifestService{{1, "studio", 1}, {2, "other", 2}}},
		{[]string{studioConfig, other, `{"hosts":{"h":{"service":"studio","drain":true}}}`}, []ManifestService{{1, "studio", 3}, {2, "other", 2}}},
		{[]string{studioConfig}, []ManifestService{{1, "studio", 4}}},
		{[]string{studioConfig, other}, []ManifestService{{1, "studio", 4}, {3, "other", 5}}},
		{[]string{studioConfig, other, `{"load_sharing":{"services":{"other":{"step_percent":9}}}}`}, []ManifestService{{1, "studio", 4}, {3, "other", 6}}},
		{[]string{studioConfig, other, `{"load_sharing":{"default":{"step_percent":9}}}`}, []ManifestService{{1, "studio", 7}, {3, "other", 6}}},
	}
	for i, s := range steps {
		result, err := Apply(ctx, m, newChange(fmt.Sprint("c", i), "a", readSource(t, s.files...)))
		is.NoErr(err)
		is.Equal(result, Result{Version: uint64(i + 1)})
		snapshot, err := Load(ctx, m)
		is.NoErr(err)
		is.Equal(snapshot.Manifest().Services, s.want)
	}
	snapshot, err := Load(ctx, m)
	is.NoErr(err)
	is.Equal(snapshot.Services()[1].Sharing.StepPercent, uint32(9))
	result, err := Apply(ctx, m, newChange("again", "a", readSource(t, steps[6].files...)))
	is.NoErr(err)
	is.Equal(result, Result{Version: 7, Unchanged: true})
}

// Guards against a conflict that does not report who applied the other change and
// which fields conflict.
func TestConflict(t *testing.T) {
	is := is.New(t)
	ctx, m := context.Background(), newStore(t)
	base := uint64(0)
	_, err := Apply(ctx, m, newChange("first", "kimi", readSource(t, studioConfig)))
	is.NoErr(err)
	late := newChange("second", "noor", readSource(t, studioConfig, `{"services":{"studio":{"drain_time_ms":1}}}`))
	late.Base = &base
	_, err = Apply(ctx, m, late)
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.AppliedBy, "kimi")
	is.Equal(conflict.ChangeID, "first")
	is.Equal(conflict.Version, uint64(1))
	is.Equal(conflict.Fields, []string{"/services/studio/addresses"})
	base = 9
	_, err = Apply(ctx, m, late)
	is.True(errors.Is(err, ErrInvalidChange))
}

// Guards against a different change that is taken for a retry because it reuses a
// change id.
func TestChangeID(t *testing.T) {
	is := is.New(t)
	ctx, m := context.Background(), newStore(t)
	_, err := Apply(ctx, m, newChange("one", "a", readSource(t, studioConfig)))
	is.NoErr(err)
	result, err := Apply(ctx, m, newChange("one", "a", readSource(t, studioConfig)))
	is.NoErr(err)
	is.Equal(result, Result{Version: 1, AlreadyApplied: true})
	_, err = Apply(ctx, m, newChange("one", "a", readSource(t, studioConfig, `{"services":{"studio":{"idempotent":true}}}`)))
	is.True(errors.Is(err, ErrChangeIDReused))
	_, err = Apply(ctx, m, newChange("a/b", "a", readSource(t, studioConfig)))
	is.True(errors.Is(err, ErrInvalidChange))
}

// Guards against a rollback that alters earlier versions, and against failure of a
// version that is larger than one value of the store.
func TestRollbackOfLargeVersion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, m := context.Background(), newStore(t)
	var b strings.Builder
	// Random bytes, so that the compressed version does not fit into one chunk.
	random := rand.New(rand.NewPCG(1, 1))
	b.WriteString(`{"services":{`)
	for i := range 720 {
		fmt.Fprintf(&b, `"s%d":{"first_packet":"any","refusal_hex":"`, i)
		for range 96 {
			fmt.Fprintf(&b, "%016x", random.Uint64())
		}
		fmt.Fprintf(&b, `","addresses":[{"address":"10.0.1.1:%d","protocol":"udp"}]},`, i+1)
	}
	large := readSource(t, studioConfig, strings.TrimSuffix(b.String(), ",")+"}}")
	_, err := Apply(ctx, m, newChange("large", "a", large))
	is.NoErr(err)
	snapshot, err := Load(ctx, m)
	is.NoErr(err)
	is.True(len(snapshot.Manifest().Chunks) > 1)
	is.Equal(string(snapshot.Source().Raw()), string(large.Raw()))
	_, err = Apply(ctx, m, newChange("small", "b", readSource(t, studioConfig)))
	is.NoErr(err)
	result, err := Apply(ctx, m, Change{ID: "back", Who: "c", From: "console", Reason: "slow", RollbackTo: 1})
	is.NoErr(err)
	is.Equal(result.Version, uint64(3))
	snapshot, err = Load(ctx, m)
	is.NoErr(err)
	is.Equal(string(snapshot.Source().Raw()), string(large.Raw()))
	history, err := LoadHistory(ctx, m, 2)
	is.NoErr(err)
	is.Equal(len(history), 2)
	is.Equal(history[0].RollbackTo, uint64(1))
	is.Equal(history[1].ChangeID, "small")
	records, err := audit.Read(ctx, m, audit.Query{})
	is.NoErr(err)
	is.Equal(records[2].Kind, audit.KindRollback)
	is.True(records[2].Omitted > 0 || len(records[2].Diff) > 0)
	_, err = Apply(ctx, m, Change{ID: "none", Who: "c", From: "console", RollbackTo: 9})
	is.True(errors.Is(err, ErrInvalidChange))
}

// Guards against an Apply that reports a plain failure although the change took effect
// and only the answer was lost.
func TestUnknownOutcome(t *testing.T) {
	is := is.New(t)
	m := newStore(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := Apply(ctx, &lostAnswerStore{Store: m}, newChange("one", "a", readSource(t, studioConfig)))
	is.True(errors.Is(err, ErrOutcomeUnknown))
	is.True(strings.Contains(err.Error(), "change id one"))
	result, err := Apply(context.Background(), m, newChange("one", "a", readSource(t, studioConfig)))
	is.NoErr(err)
	is.Equal(result, Result{Version: 1, AlreadyApplied: true})
}

// Guards against old versions that accumulate in the store, and against the removal of
// versions that must be kept.
func TestOldVersionsAreRemoved(t *testing.T) {
	is := is.New(t)
	ctx, m := context.Background(), newStore(t)
	for n := range 5 {
		c := newChange(fmt.Sprint("c", n), "a", readSource(t, studioConfig, fmt.Sprintf(`{"services":{"studio":{"drain_time_ms":%d}}}`, n)))
		c.KeepVersions = 2
		_, err := Apply(ctx, m, c)
		is.NoErr(err)
	}
	history, err := LoadHistory(ctx, m, 10)
	is.NoErr(err)
	is.Equal(len(history), 2)
	old, err := LoadVersion(ctx, m, 4)
	is.NoErr(err)
	is.Equal(old.Source().Document().Services["studio"].DrainTimeMS, uint32(3))
	entries, _, err := m.List(ctx, keyPrefix+"chunk/")
	is.NoErr(err)
	is.Equal(len(entries), 2)
	base := uint64(1)
	c := newChange("late", "a", readSource(t, studioConfig))
	c.Base = &base
	_, err = Apply(ctx, m, c)
	is.True(errors.Is(err, ErrInvalidChange))
	c = newChange("c0", "a", readSource(t, studioConfig, `{"services":{"studio":{"drain_time_ms":0}}}`))
	result, err := Apply(ctx, m, c)
	is.NoErr(err)
	is.Equal(result, Result{Version: 1, AlreadyApplied: true})
}

// Guards against a corrupt version that keeps the watch from delivering later ones.
func TestWatchSkipsCorruptVersion(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	m := newStore(t)
	_, err := Apply(ctx, m, newChange("one", "a", readSource(t, studioConfig)))
	is.NoErr(err)
	entry, _, err := m.Get(ctx, CurrentKey)
	is.NoErr(err)
	var seen []uint64
	reports := 0
	done := errors.New("done")
	err = Watch(ctx, WatchConfig{Store: m, OnError: func(error) { reports++ }}, func(s *Snapshot) error {
		seen = append(seen, s.Version())
		if len(seen) == 2 {
			return done
		}
		for _, value := range []string{"{", `{"version":2,"change_id":"x","chunks":["none"]}`, string(entry.Value)} {
			_, err := m.Txn(ctx, nil, []store.Write{{Key: CurrentKey, Value: []byte(value)}})
			is.NoErr(err)
		}
		_, err := Apply(ctx, m, newChange("two", "a", readSource(t, studioConfig, `{"services":{"studio":{"idempotent":true}}}`)))
		is.NoErr(err)
		return nil
	})
	is.True(errors.Is(err, done))
	is.Equal(seen, []uint64{1, 2})
	is.Equal(reports, 2)
}

// lostAnswerStore executes the first transaction but loses its answer, and is
// unavailable from then on.
type lostAnswerStore struct {
	store.Store
	down bool
}

func (d *lostAnswerStore) Get(ctx context.Context, key string) (*store.Entry, store.Revision, error) {
	if d.down {
		return nil, store.Revision{}, store.ErrUnavailable
	}
	return d.Store.Get(ctx, key)
}

func (d *lostAnswerStore) Txn(ctx context.Context, compares []store.Compare, writes []store.Write) (store.TxnResult, error) {
	if !d.down {
		_, _ = d.Store.Txn(ctx, compares, writes)
	}
	d.down = true
	return store.TxnResult{}, store.ErrUnavailable
}
