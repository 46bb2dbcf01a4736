package weights

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// harness gives a Learner the busy shares of hosts that are loaded in proportion to their
// published weights. The speed of a host is its capacity, load the share of the total
// capacity in use, and noise the relative standard deviation of a busy share.
type harness struct {
	*Learner
	now               time.Time
	members           []Member
	speeds            []float64
	load              float64
	publishedVersions int
	noise             float64
	random            *rand.Rand
}

// newHarness returns a harness with one host for each speed, all with the announced weight
// 1000 and the given published weight.
func newHarness(published uint32, speeds ...float64) *harness {
	h := &harness{Learner: New(), now: time.Unix(1_000_000, 0), speeds: speeds, load: 0.5, random: rand.New(rand.NewPCG(1, 1))}
	for i := range speeds {
		h.members = append(h.members, Member{Host: fmt.Sprintf("host-%d", i), Incarnation: 1, Weight: 1000, PublishedWeight: published})
	}
	h.SetMembers(h.now, h.members)
	return h
}

// run advances the time by a number of seconds, each with a heartbeat of each host and a
// call of Step, and records the weights as published when Step returns true.
func (h *harness) run(seconds int) {
	for range seconds {
		h.now = h.now.Add(time.Second)
		total, capacity := 0.0, 0.0
		for i, m := range h.members {
			total += h.hosts[m.Host].publishedWeight
			capacity += h.speeds[i]
		}
		for i, m := range h.members {
			if total > 0 {
				share := h.load * capacity * h.hosts[m.Host].publishedWeight / total / h.speeds[i]
				share *= 1 + h.noise*h.random.NormFloat64()
				h.Observe(h.now, m.Host, uint32(1000*max(0, min(1, share))))
			}
		}
		if weights, publish := h.Step(h.now); publish {
			h.publishedVersions++
			h.RecordPublished(h.now, weights)
		}
	}
}

// weight returns the published weight of a host.
func (h *harness) weight(i int) float64 { return h.hosts[h.members[i].Host].publishedWeight }

// Guards against a new or restarted host that gets its whole share at once, or never.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	h := newHarness(1000, 1, 1, 1)
	h.run(1)
	h.members = append(h.members, Member{Host: "new", Incarnation: 1, Weight: 1000})
	h.speeds = append(h.speeds, 1)
	is.True(h.SetMembers(h.now, h.members))
	h.run(1)
	is.Equal(h.weight(3), 100.0)
	h.run(14)
	is.Equal(h.weight(3), 400.0)
	h.run(20)
	is.True(h.weight(3) >= 950)
	h.members[3].Incarnation = 2
	h.SetMembers(h.now, h.members)
	h.run(1)
	is.True(h.weight(3) <= 110)
}

// Guards against steps of more than 25%, and against weights that never come close to the
// speeds of the hosts.
func TestStepsAreBounded(t *testing.T) {
	is := is.New(t)
	h := newHarness(1000, 1, 1, 2, 2)
	for range 30 {
		before := h.weight(2)
		h.run(4)
		is.True(h.weight(2) <= before*1.251)
	}
	ratio := h.weight(2) / h.weight(0)
	is.True(ratio > 1.85 && ratio < 2.15)
}

// Guards against table versions that are caused by differences within the dead band, or by
// noise in the busy shares.
func TestDeadBand(t *testing.T) {
	is := is.New(t)
	h := newHarness(1000, 1, 1.01, 0.99, 1)
	h.run(600)
	is.Equal(h.publishedVersions, 0)
	h = newHarness(1000, 1, 1, 1, 1, 1, 1, 1)
	h.noise = 0.3
	h.run(1800)
	is.True(h.publishedVersions <= 3)
}

// Guards against learned weights beyond 1/8..8 times the announced weight, and against a
// host at its limit that makes the weights of the others drift.
func TestLimits(t *testing.T) {
	is := is.New(t)
	h := newHarness(1000, 1, 1, 1, 0.02)
	h.run(600)
	is.Equal(h.weight(3), 125.0)
	is.True(h.weight(0) < 2000) // no drift while host 3 is at its limit
}

// Guards against cuts of more than a third of the hosts, and against cuts while the whole
// service is overloaded.
func TestOutliers(t *testing.T) {
	tests := []struct {
		name   string
		speeds []float64
		load   float64
		cut    int
	}{
		{"one of four", []float64{0.1, 1, 1, 1}, 0.5, 1},
		{"one of two", []float64{0.1, 1}, 0.5, 0},
		{"three of seven", []float64{0.1, 0.1, 0.1, 1, 1, 1, 1}, 0.5, 2},
		{"overload", []float64{1, 1, 1, 1}, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(1000, tt.speeds...)
			h.load = tt.load
			h.run(5)
			cut := 0
			for i := range tt.speeds {
				if h.weight(i) <= 500 {
					cut++
				}
			}
			is.Equal(cut, tt.cut)
		})
	}
}

// Guards against a host with long requests being cut as an outlier whenever all its slots
// are in use for some seconds, which is usual for it.
func TestUsualSaturationIsNoOutlier(t *testing.T) {
	is := is.New(t)
	h := newHarness(1000, 1, 1, 1, 1)
	cuts := 0
	for second := range 600 {
		h.now = h.now.Add(time.Second)
		for i, m := range h.members {
			share := uint32(500)
			if i == 0 && second%16 < 8 {
				share = 1000
			}
			h.Observe(h.now, m.Host, share)
		}
		before := h.hosts["host-0"].cutAt
		h.Step(h.now)
		if second > 120 && h.hosts["host-0"].cutAt != before {
			cuts++
		}
	}
	is.Equal(cuts, 0)
}

// Guards against learning from the busy shares of a service that is almost idle, as at
// night.
func TestIdleServiceKeepsWeights(t *testing.T) {
	is := is.New(t)
	h := newHarness(1000, 1, 8, 1)
	h.load = 0.01
	h.run(300)
	is.Equal(h.publishedVersions, 0)
}

// Guards against an unlimited number of table versions when the speed of a host keeps
// changing, so that weights cannot settle.
func TestVersionBudget(t *testing.T) {
	is := is.New(t)
	h := newHarness(1000, 1, 1, 1)
	for range 360 {
		h.speeds[0] = 2.5 - h.speeds[0] // changes its speed every 10 s
		h.run(10)
	}
	is.True(h.publishedVersions <= 40+3)
}

// Guards against a change of an announced weight, a drain or the removal of a host that is
// published only with the next learned weight.
func TestChangesArePublished(t *testing.T) {
	is := is.New(t)
	h := newHarness(1000, 1, 1)
	is.True(!h.SetMembers(h.now, h.members))
	h.hosts["host-1"].learnedWeight = 2000
	h.members[1].Weight = 500
	is.True(h.SetMembers(h.now, h.members))
	is.Equal(h.hosts["host-1"].learnedWeight, 1000.0)
	h.members[0].Draining = true
	is.True(h.SetMembers(h.now, h.members))
	is.True(h.SetMembers(h.now, h.members[:1]))
	h.members[0].Weight = 0
	is.True(h.SetMembers(h.now, h.members[:1]))
	weights, publish := h.Step(h.now)
	is.True(publish)
	is.Equal(weights, []HostWeight{{Host: "host-0"}})
}
