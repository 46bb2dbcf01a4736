package hosthealth

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const usual = 20 * time.Millisecond

// kind is how a host ends a request at a time of the play.
type kind func(m *Monitor, now time.Time, second float64, chance float64)

func answer(m *Monitor, now time.Time) { m.RecordAnswer(now, usual, 1, false) }

func healthy(m *Monitor, now time.Time, _, _ float64) { answer(m, now) }

// failing returns a kind that fails a share of its requests between two seconds of the play.
func failing(share, from, to float64, fail func(m *Monitor, now time.Time)) kind {
	return func(m *Monitor, now time.Time, second, chance float64) {
		if second >= from && second < to && chance < share {
			fail(m, now)
			return
		}
		answer(m, now)
	}
}

func quick(m *Monitor, now time.Time) { m.RecordAnswer(now, usual/4, 1, false) }

func shed(m *Monitor, now time.Time) { m.RecordAnswer(now, usual/4, 1, true) }

// flapping goes down for a second in each two.
func flapping(m *Monitor, now time.Time, second, _ float64) {
	if second < 10 && int(second)%2 == 1 {
		m.RecordFailure(now)
		return
	}
	answer(m, now)
}

// play gives hosts of the given kinds requests for 20 s: 25 a second by their share, and 5 on flows that are open. It returns
// the shares after each 100 ms. Each data centre has perDataCentre hosts.
func play(kinds []kind, perDataCentre int) (shares [][]float64) {
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1_000_000, 0)
	monitors, standings := make([]Monitor, len(kinds)), make([]*Standing, len(kinds))
	for i := range kinds {
		monitors[i].SetUsualLatency(usual)
		standings[i] = &Standing{DataCentre: string(rune('a' + i/perDataCentre))}
	}
	var b Bench
	for step := range 2000 {
		now = now.Add(10 * time.Millisecond)
		for i, k := range kinds {
			if random.Float64() < 0.01*(25*standings[i].Share()+5) {
				k(&monitors[i], now, float64(step)/100, random.Float64())
			}
			standings[i].Report = monitors[i].Report(now)
		}
		if step%10 > 0 {
			continue
		}
		b.Judge(now, standings)
		var present []float64
		for _, s := range standings {
			present = append(present, s.Share())
		}
		shares = append(shares, present)
	}
	return shares
}

func hosts(healthyCount int, others ...kind) (kinds []kind) {
	for range healthyCount {
		others = append(others, healthy)
	}
	return others
}

// Guards against hosts that go on getting flows while they fail them, against hosts that stay out after they have recovered or
// get all their flows back at once, against healthy hosts that are taken out, and against more of a service that is taken out
// than the others bear.
func TestShares(t *testing.T) {
	reset := (*Monitor).RecordFailure
	cases := []struct {
		name  string
		kinds []kind
		// bad is the number of failing hosts, which come first, out how many of them are out from 2 s after they began to fail
		// until they recover, and removed how much is taken from all at most.
		bad, out int
		removed  float64
		// perDataCentre is the number of hosts of each data centre; 0 stands for 1.
		perDataCentre int
	}{
		{"half of the requests answered with an error", hosts(11, failing(0.5, 5, 10, quick)), 1, 1, 1, 0},
		{"all requests answered with an error", hosts(9, failing(1, 5, 10, quick), failing(1, 5, 10, quick), failing(1, 5, 10, quick)), 3, 3, 3, 0},
		{"half of the requests reset or not answered", hosts(11, failing(0.5, 5, 10, reset)), 1, 1, 1, 0},
		{"a fiftieth of the requests fails", hosts(11, failing(0.02, 5, 10, reset)), 1, 0, 0.4, 0},
		{"goes down and up", hosts(11, flapping), 1, 1, 1, 0},
		{"rejects what it cannot take", hosts(11, failing(0.5, 5, 10, shed)), 1, 0, 0, 0},
		{"all hosts fail", hosts(0, failing(0.5, 5, 10, reset), failing(0.5, 5, 10, reset), failing(0.5, 5, 10, reset), failing(0.5, 5, 10, reset)), 4, 0, 1, 0},
		{"most hosts fail", hosts(1, failing(1, 5, 10, reset), failing(1, 5, 10, reset), failing(1, 5, 10, reset)), 3, 0, 1, 0},
		{"all of a data centre fail", hosts(8, failing(1, 5, 10, quick), failing(1, 5, 10, quick), failing(1, 5, 10, quick), failing(1, 5, 10, quick)), 4, 2, 2, 4},
		{"two of five fail", hosts(3, failing(1, 5, 10, reset), failing(1, 5, 10, reset)), 2, 1, 1, 0},
		{"only host", hosts(0, failing(1, 5, 10, reset)), 1, 0, 0, 0},
		{"one of two", hosts(1, failing(1, 5, 10, reset)), 1, 1, 1, 0},
		{"one of three", hosts(2, failing(1, 5, 10, reset)), 1, 1, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			shares := play(c.kinds, max(c.perDataCentre, 1))
			out := 0
			for i := range c.bad {
				if !slices.ContainsFunc(shares[70:100], func(present []float64) bool { return present[i] > 0.3 }) {
					out++
				}
			}
			is.Equal(out, c.out)
			for i, present := range shares {
				removed := 0.0
				for host, share := range present {
					removed += 1 - share
					is.True(i == 0 || share <= max(2*shares[i-1][host], 2*firstShare)) // back by degrees
				}
				is.True(removed <= c.removed+1e-9)
				for _, share := range present[c.bad:] {
					is.Equal(share, 1.0) // a healthy host keeps its share
				}
			}
			for _, share := range shares[len(shares)-1] {
				is.Equal(share, 1.0) // a host that has recovered is back
			}
		})
	}
}

// Guards against shares that follow from single failures, and against a service without any host.
func TestFewRequests(t *testing.T) {
	cases := []struct {
		reports []Report
		want    float64 // the share of the first host
	}{
		{[]Report{{Requests: 1, Failures: 1}, {}}, 1},
		{[]Report{{Requests: 2, Failures: 2}, {}}, 1},
		{[]Report{{Requests: 3, Failures: 3}, {}}, 0},
		{[]Report{{Requests: 7, Failures: 7}}, 1},
		{[]Report{{}}, 1},
	}
	for _, c := range cases {
		is := is.New(t)
		var standings []*Standing
		for _, r := range c.reports {
			standings = append(standings, &Standing{Report: r})
		}
		new(Bench).Judge(time.Unix(1_000_000, 0), standings)
		is.Equal(standings[0].Share(), c.want)
	}
}

// Guards against a host whose last requests were all lost and that gets no flow again although it answers.
func TestFailsAll(t *testing.T) {
	is := is.New(t)
	var m Monitor
	now := time.Unix(1_000_000, 0)
	for range maxFailuresInARow {
		is.True(!m.FailsAll())
		m.RecordFailure(now)
	}
	is.True(m.FailsAll())
	m.RecordLateAnswer()
	is.True(!m.FailsAll())
	is.Equal(m.Report(now), Report{Requests: maxFailuresInARow, Failures: maxFailuresInARow})
	is.Equal(m.Report(now.Add(maxAge+1)), Report{})
}

// Guards against healthy answers that count as quick after an overload, because the usual latency has the queue in it, and
// against one that is learned from quick answers.
func TestLatencyWithoutQueue(t *testing.T) {
	is := is.New(t)
	var m Monitor
	now := time.Unix(1_000_000, 0)
	m.SetUsualLatency(usual)
	m.RecordAnswer(now, 300*time.Millisecond, 1, true)
	is.Equal(m.Report(now).Latency, time.Duration(0))
	for range minClassAnswers {
		m.RecordAnswer(now, usual, 1, false)
	}
	m.RecordAnswer(now, usual/4, 1, false)
	m.RecordAnswer(now, 300*time.Millisecond, 1, true)
	is.Equal(m.Report(now).Latency, usual)
}

// Guards against a fast host whose healthy answers count as quick, and against a host that fails from its first request on,
// so that its own latency is that of its failures.
func TestExpectedLatency(t *testing.T) {
	cases := []struct {
		own, latency time.Duration
		quick        bool
	}{
		{usual, usual / 4, true},
		{usual, usual / 2, false},
		{3 * usual, usual / 2, false},
		{usual / 2, usual / 4, false},
		{usual / 2, usual / 8, true},
		{usual / 16, usual / 8, true},
	}
	for _, c := range cases {
		is := is.New(t)
		m := Monitor{all: typical{latency: c.own}, classes: map[uint64]*typical{1: {answers: minClassAnswers, latency: c.own}}}
		is.True(!m.isQuick(1, 1)) // without a usual latency none is quick
		m.SetUsualLatency(usual)
		is.Equal(m.isQuick(c.latency, 1), c.quick)
	}
}

// Guards against healthy answers to short requests that count as quick because most requests are longer, and against classes
// without a bound.
func TestClasses(t *testing.T) {
	is := is.New(t)
	var m Monitor
	m.SetUsualLatency(usual)
	now := time.Unix(1_000_000, 0)
	for range 100 {
		is.True(!m.RecordAnswer(now, usual, 1, false))
		is.True(!m.RecordAnswer(now, usual/10, 2, false))
	}
	is.True(m.RecordAnswer(now, usual/40, 2, false))
	for class := range uint64(2 * maxClasses) {
		is.True(!m.RecordAnswer(now, usual/10, 10+class, false)) // not enough answers to tell
	}
	is.Equal(len(m.classes), maxClasses)
	is.True(m.RecordAnswer(now, usual/10, 1, false)) // the class with many answers is still there
}
