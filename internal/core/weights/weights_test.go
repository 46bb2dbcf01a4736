package weights

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// bench feeds a learner with the busy shares of hosts that are loaded in
// proportion to their weight.
type bench struct {
	*Learner
	now      time.Time
	members  []Member
	speeds   []float64
	load     float64
	versions int
	noise    float64
	random   *rand.Rand
}

func newBench(published uint32, speeds ...float64) *bench {
	b := &bench{Learner: New(), now: time.Unix(1_000_000, 0), speeds: speeds, load: 0.5, random: rand.New(rand.NewPCG(1, 1))}
	for i := range speeds {
		b.members = append(b.members, Member{Host: fmt.Sprintf("host-%d", i), Incarnation: 1, Weight: 1000, PublishedWeight: published})
	}
	b.SetMembers(b.now, b.members)
	return b
}

// run passes seconds and publishes when asked to.
func (b *bench) run(seconds int) {
	for range seconds {
		b.now = b.now.Add(time.Second)
		total, capacity := 0.0, 0.0
		for i, m := range b.members {
			total += b.hosts[m.Host].publishedWeight
			capacity += b.speeds[i]
		}
		for i, m := range b.members {
			if total > 0 {
				share := b.load * capacity * b.hosts[m.Host].publishedWeight / total / b.speeds[i]
				share *= 1 + b.noise*b.random.NormFloat64()
				b.Observe(b.now, m.Host, uint32(1000*max(0, min(1, share))))
			}
		}
		if weights, publish := b.Step(b.now); publish {
			b.versions++
			b.RecordPublished(b.now, weights)
		}
	}
}

func (b *bench) weight(i int) float64 { return b.hosts[b.members[i].Host].publishedWeight }

// Guards against a new host that gets its whole share at once, or never.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	b := newBench(1000, 1, 1, 1)
	b.run(1)
	b.members = append(b.members, Member{Host: "new", Incarnation: 1, Weight: 1000})
	b.speeds = append(b.speeds, 1)
	is.True(b.SetMembers(b.now, b.members))
	b.run(1)
	is.Equal(b.weight(3), 100.0)
	b.run(14)
	is.Equal(b.weight(3), 400.0)
	b.run(20)
	is.True(b.weight(3) >= 950)
	b.members[3].Incarnation = 2
	b.SetMembers(b.now, b.members)
	b.run(1)
	is.True(b.weight(3) <= 110)
}

// Guards against steps above 25%, and against weights that never become right.
func TestStepsAreBounded(t *testing.T) {
	is := is.New(t)
	b := newBench(1000, 1, 1, 2, 2)
	for range 30 {
		before := b.weight(2)
		b.run(4)
		is.True(b.weight(2) <= before*1.251)
	}
	ratio := b.weight(2) / b.weight(0)
	is.True(ratio > 1.85 && ratio < 2.15)
}

// Guards against versions for differences within the dead band, and for noise.
func TestDeadBand(t *testing.T) {
	is := is.New(t)
	b := newBench(1000, 1, 1.01, 0.99, 1)
	b.run(600)
	is.Equal(b.versions, 0)
	b = newBench(1000, 1, 1, 1, 1, 1, 1, 1)
	b.noise = 0.3
	b.run(1800)
	is.True(b.versions <= 3)
}

// Guards against weights that leave 1/8..8 times the announced weight.
func TestLimits(t *testing.T) {
	is := is.New(t)
	b := newBench(1000, 1, 1, 1, 0.02)
	b.run(600)
	is.Equal(b.weight(3), 125.0)
	is.True(b.weight(0) < 2000) // no drift while host 3 is at its limit
}

// Guards against cuts that take more than a third of the hosts, or that come when
// the whole service is overloaded.
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
			b := newBench(1000, tt.speeds...)
			b.load = tt.load
			b.run(5)
			cut := 0
			for i := range tt.speeds {
				if b.weight(i) <= 500 {
					cut++
				}
			}
			is.Equal(cut, tt.cut)
		})
	}
}

// Guards against a host with long requests being taken for an outlier each time
// that all its slots are in use for some seconds.
func TestUsualSaturationIsNoOutlier(t *testing.T) {
	is := is.New(t)
	b := newBench(1000, 1, 1, 1, 1)
	cuts := 0
	for second := range 600 {
		b.now = b.now.Add(time.Second)
		for i, m := range b.members {
			share := uint32(500)
			if i == 0 && second%16 < 8 {
				share = 1000
			}
			b.Observe(b.now, m.Host, share)
		}
		before := b.hosts["host-0"].cutAt
		b.Step(b.now)
		if second > 120 && b.hosts["host-0"].cutAt != before {
			cuts++
		}
	}
	is.Equal(cuts, 0)
}

// Guards against learning without a signal, as at night.
func TestIdleServiceKeepsWeights(t *testing.T) {
	is := is.New(t)
	b := newBench(1000, 1, 8, 1)
	b.load = 0.01
	b.run(300)
	is.Equal(b.versions, 0)
}

// Guards against unlimited table versions when weights cannot settle.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := newBench(1000, 1, 1, 1)
	for range 360 {
		b.speeds[0] = 2.5 - b.speeds[0] // changes its speed every 10 s
		b.run(10)
	}
	is.True(b.versions <= 40+3)
}

// Guards against an edited weight or a drain that waits for the next step.
func TestChangesArePublished(t *testing.T) {
	is := is.New(t)
	b := newBench(1000, 1, 1)
	is.True(!b.SetMembers(b.now, b.members))
	b.hosts["host-1"].learnedWeight = 2000
	b.members[1].Weight = 500
	is.True(b.SetMembers(b.now, b.members))
	is.Equal(b.hosts["host-1"].learnedWeight, 1000.0)
	b.members[0].Draining = true
	is.True(b.SetMembers(b.now, b.members))
	is.True(b.SetMembers(b.now, b.members[:1]))
	b.members[0].Weight = 0
	is.True(b.SetMembers(b.now, b.members[:1]))
	weights, publish := b.Step(b.now)
	is.True(publish)
	is.Equal(weights, []HostWeight{{Host: "host-0"}})
}
