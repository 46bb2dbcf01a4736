package config

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"agateramp/internal/keyvalue/backoff"
	"agateramp/internal/keyvalue/memory"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/operator/audit"
	"agateramp/internal/process/group"
	"agateramp/internal/standin/etcdserver"
)

// TestMain sets the number of schedules of TestSchedules: 1,000 from a fixed seed, or
// 10,000 from a random seed if AGATERAMP_LONG is set.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	set := func(name, value string) {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	set("rapid.nofailfile", "true")
	if os.Getenv("AGATERAMP_LONG") != "" {
		set("rapid.checks", "10000")
	} else {
		set("rapid.checks", "1000")
		set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// call is a store call of an operator that waits until the schedule executes it.
type call struct {
	write bool
	run   func()
	// result receives the error of the call, or nil if run has executed it.
	result chan error
}

// scheduledStore passes every call to the schedule, which decides when it is executed
// and what it returns.
type scheduledStore struct {
	*memory.Store
	calls chan *call
}

func (s *scheduledStore) submit(write bool, run func()) error {
	c := &call{write: write, run: run, result: make(chan error)}
	s.calls <- c
	return <-c.result
}

func (s *scheduledStore) Get(ctx context.Context, key string) (entry *store.Entry, revision store.Revision, err error) {
	if failed := s.submit(false, func() { entry, revision, err = s.Store.Get(ctx, key) }); failed != nil {
		return nil, store.Revision{}, failed
	}
	return entry, revision, err
}

func (s *scheduledStore) Txn(_ context.Context, compares []store.Compare, writes []store.Write) (
	result store.TxnResult, err error,
) {
	var txnResult store.TxnResult
	var txnErr error
	run := func() { txnResult, txnErr = s.Store.Txn(context.Background(), compares, writes) }
	if failed := s.submit(true, run); failed != nil {
		return result, failed
	}
	return txnResult, txnErr
}

type applyOutcome struct {
	result Result
	err    error
}

// operator applies one change at a time. A change whose outcome is unknown is retried
// by a new process with the same change id.
type operator struct {
	name    string
	store   *scheduledStore
	change  *Change
	cancel  context.CancelFunc
	done    chan applyOutcome
	pending *call
	// outcomeUnknown is set once a run of the change returned ErrOutcomeUnknown.
	outcomeUnknown bool
}

// schedule is one run of concurrent operators on a store with faults.
type schedule struct {
	t      *rapid.T
	tasks  *group.Group
	memory *memory.Store
	faults *etcdserver.Faults
	// delayedWrites holds writes that reach the store after their caller gave up.
	delayedWrites []func()
	// wanted holds the raw content of each change, by change id.
	wanted map[string]string
	// reported holds the version that Apply returned for each change, by change id.
	reported map[string]uint64
	// refused holds the ids of changes that, according to Apply, made no version.
	refused map[string]bool
	// changes counts the changes that were drawn.
	changes int
	// drains counts audit records of drains, which belong to no version.
	drains int
}

// start applies the change of an operator in a new process.
func (s *schedule) start(o *operator) {
	ctx, cancel := context.WithCancel(s.tasks.Context())
	o.cancel = cancel
	change := *o.change
	s.tasks.Go(o.name, func(context.Context) error {
		result, err := Apply(ctx, o.store, change)
		o.done <- applyOutcome{result, err}
		return nil
	})
	s.await(o)
}

// await waits until the operator calls the store or Apply has returned.
func (s *schedule) await(o *operator) {
	o.pending = nil
	select {
	case o.pending = <-o.store.calls:
		return
	case out := <-o.done:
		o.cancel()
		s.handleOutcome(o, out)
	}
}

// handleOutcome records what Apply returned, and retries the change if its outcome is
// unknown or the store was unavailable.
func (s *schedule) handleOutcome(o *operator, out applyOutcome) {
	id := o.change.ID
	var conflict *ConflictError
	switch {
	case out.err == nil && out.result.Unchanged:
		s.refused[id] = true
	case out.err == nil:
		s.reported[id] = out.result.Version
	case errors.As(out.err, &conflict):
		s.refused[id] = true
	case errors.Is(out.err, ErrOutcomeUnknown):
		o.outcomeUnknown = true
		s.start(o)
		return
	case errors.Is(out.err, store.ErrUnavailable):
		// A run that sent no write says nothing about earlier runs of the change.
		if c, _ := findChange(context.Background(), s.memory, id); c != nil && !o.outcomeUnknown {
			s.t.Fatalf("change %s was reported as not written and made version %d", id, c.Version)
		}
		s.start(o)
		return
	default:
		s.t.Fatalf("change %s: %v", id, out.err)
	}
	o.change, o.outcomeUnknown = nil, false
}

// begin draws a change against the current version and starts to apply it.
func (s *schedule) begin(o *operator) {
	current, err := Load(context.Background(), s.memory)
	if err != nil {
		s.t.Fatal(err)
	}
	s.changes++
	base := current.Version()
	c := &Change{
		ID: fmt.Sprint("change-", s.changes), Who: o.name, From: "test", Base: &base,
		Backoff: backoff.Policy{First: 1, Max: 1},
	}
	if rapid.IntRange(0, 3).Draw(s.t, "rollback") == 0 && base > 1 {
		c.RollbackTo = rapid.Uint64Range(1, base-1).Draw(s.t, "to")
		target, err := LoadVersion(context.Background(), s.memory, c.RollbackTo)
		if err != nil {
			s.t.Fatal(err)
		}
		s.wanted[c.ID] = string(target.source.raw)
	} else {
		patch := s.drawPatch(current)
		m := newMerger()
		if err = errors.WithMessage(m.add("base", current.source.raw), "base"); err == nil {
			err = m.add("change", []byte(patch))
		}
		if err == nil {
			c.Source, err = m.source()
		}
		if err != nil {
			s.t.Fatal(err)
		}
		s.wanted[c.ID] = string(c.Source.raw)
	}
	o.change = c
	s.start(o)
}

// drawPatch draws a merge patch that adds, changes or removes a service.
func (s *schedule) drawPatch(current *Snapshot) string {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(s.t, "service")
	_, exists := current.source.document.Services[name]
	if exists && rapid.IntRange(0, 2).Draw(s.t, "remove") == 0 {
		return fmt.Sprintf(`{"services":{%q:null}}`, name)
	}
	return fmt.Sprintf(`{"services":{%q:{"drain_time_ms":%d,"addresses":[{"address":"10.0.0.%d:1","protocol":"tcp"}]}}}`,
		name, s.changes, name[0])
}

// step ends the pending call of an operator: normally, or with a drawn fault if faults
// is set.
func (s *schedule) step(o *operator, faults bool) {
	c, kind := o.pending, 0
	if faults {
		kind = rapid.IntRange(0, 9).Draw(s.t, "outcome")
	}
	switch {
	case kind == 6:
		c.result <- store.ErrUnavailable
	case kind == 7 && c.write:
		c.run()
		c.result <- store.ErrUnavailable
	case kind == 8 && c.write:
		// The write arrives after the operator has given up on it.
		s.delayedWrites = append(s.delayedWrites, c.run)
		c.result <- store.ErrUnavailable
	case kind == 9:
		// The process is killed while its call is on its way to the store.
		if c.write {
			s.delayedWrites = append(s.delayedWrites, c.run)
		}
		o.cancel()
		c.result <- context.Canceled
	default:
		c.run()
		c.result <- nil
	}
	s.await(o)
}

// Guards against changes that are lost, applied twice, reverted or reported wrongly when
// operators apply changes at the same time, processes die, answers are lost and writes
// arrive late.
func TestSchedules(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m, err := memory.New(memory.Config{})
		if err != nil {
			t.Fatal(err)
		}
		s := &schedule{
			t: t, tasks: group.New(context.Background()), memory: m, faults: etcdserver.NewFaults(m),
			wanted: map[string]string{}, reported: map[string]uint64{}, refused: map[string]bool{},
		}
		seen := s.watch()
		operators := []*operator{}
		for _, name := range []string{"kimi", "noor"} {
			operators = append(operators, &operator{
				name: name, store: &scheduledStore{Store: m, calls: make(chan *call)}, done: make(chan applyOutcome),
			})
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 13).Draw(t, "action"); {
			case action == 11:
				s.faults.Set(etcdserver.Settings{Down: rapid.Bool().Draw(t, "down")})
			case action == 12 && len(s.delayedWrites) > 0:
				i := rapid.IntRange(0, len(s.delayedWrites)-1).Draw(t, "late")
				run := s.delayedWrites[i]
				s.delayedWrites = slices.Delete(s.delayedWrites, i, i+1)
				run()
			case action == 13:
				s.drains++
				r := audit.Record{Kind: audit.KindDrain, ChangeID: fmt.Sprint("drain-", s.drains)}
				if err := audit.Append(context.Background(), m, r, backoff.Policy{}); err != nil {
					t.Fatal(err)
				}
			default:
				o := operators[action%2]
				if o.change == nil {
					s.begin(o)
				} else {
					s.step(o, true)
				}
			}
		}
		for _, o := range operators {
			for o.change != nil {
				s.step(o, false)
			}
		}
		for _, run := range s.delayedWrites {
			run()
		}
		s.faults.Set(etcdserver.Settings{})
		s.check(seen)
	})
}

// watch watches the versions through faults and restarts, and returns a channel of the
// versions that were delivered.
func (s *schedule) watch() <-chan *Snapshot {
	seen := make(chan *Snapshot, 1000)
	s.tasks.Go("watch", func(ctx context.Context) error {
		last := uint64(0)
		for ctx.Err() == nil {
			delivered := 0
			// The process restarts after every second version.
			err := Watch(ctx, WatchConfig{
				Store: s.faults.Store("watcher"), After: last, Backoff: backoff.Policy{First: time.Millisecond, Max: time.Millisecond},
			}, func(v *Snapshot) error {
				seen <- v
				last = v.Version()
				if delivered++; delivered == 2 {
					return errors.New("restart")
				}
				return nil
			})
			if err == nil {
				return errors.New("watch ended without an error")
			}
		}
		return nil
	})
	return seen
}
