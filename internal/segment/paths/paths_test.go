package paths

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	startTime = time.Unix(1_000_000, 0)
	balancerA = netip.MustParseAddr("10.1.0.1")
	balancerC = netip.MustParseAddr("10.3.0.1")
)

// newTestSet returns the set of a balancer in north that has just heard from all three data
// centres.
func newTestSet(t *testing.T) *Set {
	t.Helper()
	s, err := New(Config{DataCentre: "north"})
	is.New(t).NoErr(err)
	for _, name := range []string{"north", "south", "west"} {
		s.RecordMessage(startTime, name)
	}
	return s
}

// Guards against a cut that is not noticed within two polls, and against data centres that
// count as cut off although nothing shows that they are: a lost datagram, a balancer that
// was frozen or has a full link, or answers that have had no time to arrive.
func TestCutOff(t *testing.T) {
	cases := []struct {
		name     string
		requests int
		// answer is the data centre that answers last, and after how long.
		answer string
		after  time.Duration
		cutOff []string
	}{
		{"cut", 5, "west", 200 * time.Millisecond, []string{"south"}},
		{"own data centre answers", 3, "north", answerTimeout, []string{"south"}},
		{"lost datagrams", 2, "west", time.Second, nil},
		{"answers on the way", 5, "west", 10 * time.Millisecond, nil},
		{"no one answers", 5, "", 0, nil},
		{"it answers", 5, "south", 200 * time.Millisecond, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestSet(t)
			for range c.requests {
				s.RecordRequest(startTime, "south")
			}
			s.RecordMessage(startTime.Add(c.after), c.answer)
			is.New(t).Equal(s.CutOff(), c.cutOff)
		})
	}
}

// Guards against a balancer that starts during a cut, has never heard of the data centre
// behind it, and drops packets of flows there.
func TestStartDuringCut(t *testing.T) {
	is := is.New(t)
	s, err := New(Config{DataCentre: "north"})
	is.NoErr(err)
	s.HandleDigest(startTime, balancerC, "west", []string{"north", "south", "west"}, 88)
	for range minUnanswered {
		s.RecordRequest(startTime, "")
	}
	s.RecordMessage(startTime.Add(10*time.Millisecond), "west")
	s.RecordMessage(startTime.Add(10*time.Millisecond), "north")
	is.Equal(s.CutOff(), nil)
	s.RecordMessage(startTime.Add(answerTimeout), "west")
	is.Equal(s.CutOff(), []string{"south"})
	is.Equal(len(s.Relays("south")), 1)
}

// Guards against packets that go the long way after a cut, and against a way that changes
// with each report of an agent behind a cut of one direction.
func TestReturnToShortWay(t *testing.T) {
	is := is.New(t)
	s := newTestSet(t)
	now := startTime
	poll := func() {
		now = now.Add(200 * time.Millisecond)
		for range 5 {
			s.RecordRequest(now, "south")
		}
		s.RecordMessage(now, "west")
	}
	poll()
	poll()
	s.RecordMessage(now, "south")
	is.True(s.IsCutOff("south"))
	poll()
	is.Equal(s.Reached(now), []string{"north", "west"})
	s.RecordMessage(now, "south")
	s.RecordMessage(now, "south")
	is.True(!s.IsCutOff("south"))
	is.Equal(s.Reached(now), []string{"north", "south", "west"})
}

// Guards against a relay that does not reach the data centre: one that does not report it,
// shares the cut, is of an earlier version, or has ended.
func TestRelays(t *testing.T) {
	cases := []struct {
		name, dataCentre string
		reached          []string
		age              time.Duration
		expected         []Relay
	}{
		{"third data centre", "west", []string{"north", "south"}, 0, []Relay{{balancerC, 88}}},
		{"does not reach it", "west", []string{"north"}, 0, nil},
		{"own data centre", "north", []string{"south"}, 0, nil},
		{"behind the cut", "south", []string{"south"}, 0, nil},
		{"earlier version", "", nil, 0, nil},
		{"silent", "west", []string{"south"}, maxDigestAge + 1, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestSet(t)
			s.HandleDigest(startTime, balancerC, c.dataCentre, c.reached, 88)
			s.HandleDigest(startTime, balancerA, "north", []string{"south"}, 800)
			s.Expire(startTime.Add(c.age))
			is.New(t).Equal(s.Relays("south"), c.expected)
		})
	}
}
