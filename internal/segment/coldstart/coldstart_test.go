package coldstart

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/core/flow"
)

var start = time.Unix(1_000_000, 0)

// key returns the key of a flow by its number.
func key(n int) flow.Key {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 16), byte(n >> 8)}), uint16(1000+n&0xff))
	return flow.NewKey(6, caller, netip.MustParseAddrPort("198.18.0.1:443"))
}

func newLimiter(t *testing.T, b Bounds) *Limiter {
	t.Helper()
	l, err := NewLimiter(b)
	is.New(t).NoErr(err)
	return l
}

// Guards against more first packets in any span of a second than the bound allows, with copies and bursts in any order,
// whether a flow counts by its first delivery or by its last, and against a host that gets less than it may.
func TestAnySecond(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		l := newLimiter(t, Bounds{Excess: 1.5, Slack: 5})
		l.SetPerSecond(float64(random.IntN(30))+0.5, 1)
		limit := l.limit()
		// first and last hold the times of the deliveries of each flow.
		first, last := make(map[flow.Key]time.Time), make(map[flow.Key]time.Time)
		now, refused := start, 0
		for n := range 2000 {
			now = now.Add(time.Duration(random.IntN(3)*random.IntN(20)) * time.Millisecond)
			k := key(n)
			if random.IntN(4) == 0 {
				k = key(random.IntN(n + 1))
			}
			if !l.Admit(now, k) {
				refused++
				continue
			}
			last[k] = now
			if first[k].IsZero() {
				first[k] = now
			}
		}
		for _, deliveries := range []map[flow.Key]time.Time{first, last} {
			var times []time.Time
			for _, at := range deliveries {
				times = append(times, at)
			}
			slices.SortFunc(times, time.Time.Compare)
			for i, from := range times {
				within := 0
				for _, at := range times[i:] {
					if at.Sub(from) <= time.Second {
						within++
					}
				}
				is.True(within <= limit) // seed, window
			}
		}
		is.True(refused > 0)
		if limit < 40 { // about 80 flows begin in a second
			is.True(float64(len(first)) > 0.8*float64(limit)*now.Sub(start).Seconds())
		}
	}
}

// Guards against a limit from a figure that is not known, is out of date, or states none.
func TestFigure(t *testing.T) {
	cases := []struct {
		name    string
		set     func(l *Limiter)
		limited bool
		limit   int
	}{
		{"unknown", func(*Limiter) {}, true, 5},
		{"rounded down", func(l *Limiter) { l.SetPerSecond(3.3, 1) }, true, 10},
		{"none", func(l *Limiter) { l.SetPerSecond(0, 1) }, false, 5},
		{"later", func(l *Limiter) { l.SetPerSecond(2, 1); l.SetPerSecond(4, 2) }, true, 11},
		{"earlier", func(l *Limiter) { l.SetPerSecond(4, 2); l.SetPerSecond(2, 1) }, true, 11},
		{"huge", func(l *Limiter) { l.SetPerSecond(1e300, 1) }, true, math.MaxInt32},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newLimiter(t, Bounds{Excess: 1.5, Slack: 5.9})
			c.set(l)
			is.Equal(l.IsLimited(), c.limited)
			is.Equal(l.Room(start), c.limit)
		})
	}
	for _, b := range []Bounds{{Excess: -1}, {Slack: -1}, {Excess: math.NaN()}} {
		_, err := NewLimiter(b)
		is.New(t).True(err != nil)
	}
}

// Guards against flows that wait for room that the cold hosts do not have in time, and against resets of flows that
// could be served.
func TestServable(t *testing.T) {
	const left = time.Second
	hosts := func(count, balancers int) (c Capacity) {
		c.Balancers = balancers
		for range count {
			c.Add(Bounds{Excess: 1.5, Slack: 5}, 3, 10) // at most 20 flows in a window
		}
		return c
	}
	cases := []struct {
		name     string
		capacity Capacity
		ahead    int
		left     time.Duration
		want     bool
	}{
		{"first in the order", hosts(10, 1), 0, left, true},
		{"room within the time", hosts(10, 1), 227, left, true},
		{"too many ahead", hosts(10, 1), 229, left, false},
		{"no time left", hosts(10, 1), 30, -left, false},
		{"all balancers share the hosts", hosts(10, 20), 22, left, true},
		{"more than twice an even share", hosts(10, 20), 24, left, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(c.capacity.Servable(c.ahead, c.left), c.want) })
	}
}
