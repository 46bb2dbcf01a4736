package peers

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/keyvalue/store"
	"agateramp/internal/segment/message"
)

// start is the time at which each test begins.
var start = time.Unix(1_700_000_000, 0)

// at returns the time that is some milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func testAddress(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}) }

// source returns the digest of a balancer that watches the store and whose last
// response is some milliseconds old.
func source(ageMS, cpu int) message.Digest {
	return message.Digest{Watching: true, StoreAge: time.Duration(ageMS) * time.Millisecond, CPUPermille: cpu, ListRevision: store.Revision{Number: 7}, ListComplete: true}
}

// Guards against balancers that watch the store although others do it for them, so that
// calls grow with their number, and against too few watchers after one dies, freezes or
// loses the store.
func TestShouldWatch(t *testing.T) {
	ahead, behind := 900, 10 // this balancer has 500
	idle := message.Digest{CPUPermille: ahead}
	tests := []struct {
		name     string
		watching bool
		// digests arrive at start, and the decision is made afterMS later.
		digests []message.Digest
		afterMS int
		want    bool
	}{
		{"knows no other balancer", false, nil, 0, true},
		{"three others with more processor watch", false, []message.Digest{source(0, ahead), source(0, ahead), source(0, ahead)}, 300, false},
		{"watches and three others with more processor do too", true, []message.Digest{source(0, ahead), source(0, ahead), source(0, ahead)}, 300, false},
		{"watches and the others have less processor", true, []message.Digest{source(0, behind), source(0, behind), source(0, behind)}, 300, true},
		{"watches and those ahead do not yet", true, []message.Digest{idle, idle, idle}, 300, true},
		{"does not watch and is fourth", false, []message.Digest{idle, source(0, ahead), source(0, ahead)}, 300, false},
		{"one of the watchers lost the store", false, []message.Digest{source(0, ahead), source(0, ahead), {Watching: true, StoreAge: message.UnknownAge, CPUPermille: ahead}}, 300, true},
		{"one of the watchers has had no response for long", false, []message.Digest{source(0, ahead), source(0, ahead), source(1900, ahead)}, 300, true},
		{"all watchers are frozen or cut off", false, []message.Digest{source(0, ahead), source(0, ahead), source(0, ahead)}, 1300, true},
		{"all watchers were heard a moment ago", false, []message.Digest{source(0, ahead), source(0, ahead), source(0, ahead)}, 1100, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, err := New(Config{Self: testAddress(1), CPUPermille: 500})
			is.NoErr(err)
			s.SetWatching(test.watching)
			if test.watching {
				s.RecordStore(start, true)
			}
			for i, d := range test.digests {
				s.HandleDigest(start, testAddress(2+i), d)
			}
			s.ShouldWatch(start)
			is.Equal(s.ShouldWatch(at(test.afterMS)), test.want)
		})
	}
}

// fleet is a model of balancers that exchange digests. Each can be dead, frozen, which
// looks the same to the others, or cut off from the store.
type fleet struct {
	sets          []*Set
	dead, cutOff  []bool
	watchSwitches int
}

func newFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{dead: make([]bool, size), cutOff: make([]bool, size)}
	for i := range size {
		s, err := New(Config{Self: testAddress(i), CPUPermille: 100 * (i % 3)})
		is.New(t).NoErr(err)
		f.sets = append(f.sets, s)
	}
	return f
}

// run plays steps of 100 ms. A balancer sends digests every 400 ms, as watchers do.
func (f *fleet) run(from, until int) {
	for ms := from; ms < until; ms += 100 {
		now := at(ms)
		for i, s := range f.sets {
			if f.dead[i] {
				continue
			}
			if should := s.ShouldWatch(now); should != s.watching {
				s.SetWatching(should)
				f.watchSwitches++
			}
			if s.watching {
				s.RecordStore(now, !f.cutOff[i])
			}
			s.Expire(now)
			if (ms/100+i)%4 == 0 {
				f.sendDigest(now, i)
			}
		}
	}
}

func (f *fleet) sendDigest(now time.Time, from int) {
	d := message.Digest{CPUPermille: f.sets[from].cpuPermille}
	d.StoreAge, d.Watching = f.sets[from].StoreAge(now)
	for i, other := range f.sets {
		if !f.dead[i] {
			other.HandleDigest(now, f.sets[from].self, d)
		}
	}
}

// working returns the balancers that watch the store and reach it.
func (f *fleet) working() (indexes []int) {
	for i, s := range f.sets {
		if !f.dead[i] && s.watching && s.reachable {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// Guards against a fleet whose watchers do not settle at three, and against one that
// stays without enough of them when watchers die, are cut off from the store, or all
// vanish at once.
func TestTakeover(t *testing.T) {
	for _, size := range []int{2, 5, 59} {
		is := is.New(t)
		f := newFleet(t, size)
		f.run(0, 4000)
		want := min(size, watcherCount)
		is.Equal(len(f.working()), want) // settled after the start

		f.dead[f.working()[0]] = true
		f.run(4000, 12_000)
		is.Equal(len(f.working()), min(size-1, watcherCount)) // one died

		if size < 5 {
			continue
		}
		f.cutOff[f.working()[0]] = true
		f.run(12_000, 14_000)
		is.Equal(len(f.working()), min(size-2, watcherCount)) // one lost the store

		for _, i := range f.working() {
			f.dead[i] = true
		}
		f.run(14_000, 15_600)
		is.True(size == 5 || len(f.working()) >= 1) // all watchers vanished: the next ones begin within 1.6 s
		f.run(15_600, 24_000)
		is.True(size == 5 || len(f.working()) == watcherCount)
		f.watchSwitches = 0
		f.run(24_000, 34_000)
		is.Equal(f.watchSwitches, 0) // no balancer begins or stops without a reason
	}
}

// Guards against a thundering herd: when no watcher has current data, the balancers
// begin to watch one after the other.
func TestTakeoverIsSpread(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 59)
	f.run(0, 4000)
	for _, i := range f.working() {
		f.dead[i] = true
	}
	f.watchSwitches = 0
	f.run(4000, 12_000)
	is.Equal(len(f.working()), watcherCount)
	is.True(f.watchSwitches < 59) // not all began, and not all of those had to stop
}

// Guards against a list of agents that counts as complete although it is older than
// that of a watcher, or although no watcher has current data: flows of an agent that is
// missing from it would be reset.
func TestListIsComplete(t *testing.T) {
	tests := []struct {
		name     string
		digests  []message.Digest
		afterMS  int
		revision int64
		want     bool
	}{
		{"no watcher", nil, 0, 7, false},
		{"same revision", []message.Digest{source(0, 0)}, 100, 7, true},
		{"older than the watcher's", []message.Digest{source(0, 0)}, 100, 6, false},
		{"watcher not heard for long", []message.Digest{source(0, 0)}, 1300, 7, false},
		{"watcher lost the store", []message.Digest{{Watching: true, StoreAge: message.UnknownAge, ListRevision: store.Revision{Number: 7}, ListComplete: true}}, 100, 7, false},
		{"watcher waits for entries to return", []message.Digest{{Watching: true, ListRevision: store.Revision{Number: 7}}}, 100, 7, false},
		{"watcher of the latest generation waits", []message.Digest{source(0, 0), {Watching: true, ListRevision: store.Revision{Generation: 1, Number: 3}}}, 100, 7, false},
		{"not a watcher", []message.Digest{{ListRevision: store.Revision{Number: 7}, ListComplete: true}}, 100, 7, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, err := New(Config{Self: testAddress(1)})
			is.NoErr(err)
			for i, d := range test.digests {
				s.HandleDigest(start, testAddress(2+i), d)
			}
			is.Equal(s.ListIsComplete(at(test.afterMS), store.Revision{Number: test.revision}), test.want)
		})
	}
}

// Guards against a list that counts as complete because watchers say so of lists of
// another generation of the store.
func TestListIsCompleteInOneGeneration(t *testing.T) {
	is := is.New(t)
	s, err := New(Config{Self: testAddress(1)})
	is.NoErr(err)
	s.HandleDigest(start, testAddress(2), source(0, 0))
	own := store.Revision{Number: 7}
	is.True(s.ListIsComplete(start, own))
	later := store.Revision{Generation: 1, Number: 7}
	is.Equal(s.ListIsComplete(start, later), false) // the watcher has not noticed the restore
	d := source(0, 0)
	d.ListRevision = later
	s.HandleDigest(start, testAddress(2), d)
	is.Equal(s.ListIsComplete(start, own), false) // the view with the list has not been read
	is.True(s.ListIsComplete(start, later))
}

// Guards against a list that hardly ever counts as complete while the store's list
// changes all the time, as after a loss of power, so that flows which no host holds are
// not reset; and against one that stays complete when it is not renewed.
func TestListIsCompleteWhileItChanges(t *testing.T) {
	is := is.New(t)
	s, err := New(Config{Self: testAddress(1)})
	is.NoErr(err)
	d := source(0, 0)
	for ms := 0; ms < 5000; ms += 200 {
		d.ListRevision = d.ListRevision.Next()
		s.HandleDigest(at(ms), testAddress(2), d)
		own := d.ListRevision
		if ms%600 != 0 {
			own.Number-- // the view with the newest list has not been read yet
		}
		is.True(s.ListIsComplete(at(ms), own))
	}
	own := d.ListRevision
	for ms := 5000; ms < 7000; ms += 200 {
		d.ListRevision = d.ListRevision.Next()
		s.HandleDigest(at(ms), testAddress(2), d)
		is.Equal(s.ListIsComplete(at(ms), own), at(ms).Sub(at(4800)) <= maxListLag) // 4800 was the last time without a newer list
	}
}

// Guards against digests whose number grows with the square of the number of balancers,
// and against balancers that are forgotten between two digests.
func TestDigestInterval(t *testing.T) {
	is := is.New(t)
	s, err := New(Config{Self: testAddress(0)})
	is.NoErr(err)
	is.Equal(s.DigestInterval(), minDigestInterval)
	for i := range 721 {
		s.Add(start, testAddress(i))
	}
	is.Equal(len(s.Addresses()), 720)
	is.Equal(s.DigestInterval(), 24*time.Second)
	s.Expire(at(60_000))
	is.Equal(len(s.Addresses()), 720)
	s.SetWatching(true)
	is.Equal(s.DigestInterval(), minDigestInterval)
	s.Expire(at(90_000))
	is.Equal(len(s.Addresses()), 0)
}

// Guards against a set that is created without the address of its balancer.
// Guards against balancers that wait for the next digest although another one has just got
// the first configuration.
func TestWithoutConfig(t *testing.T) {
	is := is.New(t)
	s, err := New(Config{Self: testAddress(1)})
	is.NoErr(err)
	s.Add(start, testAddress(2)) // has sent no digest
	s.HandleDigest(start, testAddress(3), message.Digest{ConfigVersion: 5})
	s.HandleDigest(start, testAddress(4), message.Digest{})
	is.Equal(s.WithoutConfig(), []netip.Addr{testAddress(4)})
}

func TestNewChecksConfig(t *testing.T) {
	_, err := New(Config{})
	is.New(t).True(err != nil)
}
