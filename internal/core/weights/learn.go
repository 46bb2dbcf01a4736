package weights

import (
	"math"
	"time"
)

// rules are the constants of learning. Tests vary them to compare settings.
type rules struct {
	// interval is the time between two steps of learning.
	interval time.Duration
	// step is the most that a weight changes in one step, as a share of it.
	step float64
	// band is the change of a weight that is worth a table version.
	band float64
	// ignore is the deviation of a busy share from the mean that is not acted on.
	// Without it, weights would follow what one bucket more or less makes out.
	ignore float64
	// doubt is the number of standard errors that a deviation has to exceed.
	doubt float64
	// gain is the share of a deviation that one step corrects.
	gain float64
	// limit bounds the learned weight to announced/limit..announced*limit.
	limit float64
	// ramp and rampFrom describe the slow start.
	ramp     time.Duration
	rampFrom float64
	// settle is the time until heartbeats show the effect of a changed weight.
	settle time.Duration
	// idle is the mean busy share below which nothing is learned.
	idle float64
	// saturated is the busy share of an outlier, calm the most that the other
	// hosts are busy, runs the least number of saturated heartbeats.
	saturated, calm, runs float64
	// recent is how long a host counts as cut.
	recent time.Duration
}

func defaultRules() rules {
	return rules{
		interval:  5 * time.Second,
		step:      0.25,
		band:      0.05,
		ignore:    0.02,
		doubt:     2,
		gain:      1,
		limit:     8,
		ramp:      30 * time.Second,
		rampFrom:  0.1,
		settle:    time.Second,
		idle:      0.05,
		saturated: 0.97,
		calm:      0.9,
		runs:      3,
		recent:    15 * time.Second,
	}
}

// learn moves the weight of each warm host toward the one with which it would be
// as busy as the others. It starts from the published weight, to which the busy
// shares belong, so that the same evidence is not counted twice.
func (l *Learner) learn(now time.Time) {
	mean := l.mean(now)
	if mean < l.rules.idle {
		return
	}
	for _, h := range l.hosts {
		if !h.learns(now) || h.busy.count < 2 || h.published == 0 {
			continue
		}
		deviation := h.busy.mean/mean - 1
		if math.Abs(deviation) < max(l.rules.ignore, l.rules.doubt*h.busy.standardError()/mean) {
			continue
		}
		factor := math.Pow(mean/max(h.busy.mean, 0.01), l.rules.gain)
		h.learned = h.published
		h.scale(min(1+l.rules.step, max(1-l.rules.step, factor)), l.rules)
	}
}

// mean returns the mean busy share of the warm hosts.
func (l *Learner) mean(now time.Time) float64 {
	sum, n := 0.0, 0
	for _, h := range l.hosts {
		if h.learns(now) && h.busy.count > 0 {
			sum += h.busy.mean
			n++
		}
	}
	if n < 2 {
		return 0
	}
	return sum / float64(n)
}

func (h *host) learns(now time.Time) bool {
	return h.member.Weight > 0 && !h.member.Draining && !now.Before(h.warmAt)
}

// scale multiplies the learned weight within its limits.
func (h *host) scale(factor float64, r rules) {
	announced := float64(h.member.Weight)
	h.learned = min(announced*r.limit, max(announced/r.limit, h.learned*factor))
}

// observeSaturation counts successive saturated heartbeats. Where requests are
// long, a healthy host is saturated for many seconds at a time; an outlier is
// saturated for longer than is usual for the host.
func (h *host) observeSaturation(share float64, r rules) {
	if share >= r.saturated {
		h.run++
		return
	}
	if h.run > 0 {
		h.usualRun += (min(h.run, 60) - h.usualRun) / 4
	}
	h.run = 0
}

// cutOutliers halves the weight of hosts that stay saturated while the others are
// calm, at most a third of the hosts at once.
func (l *Learner) cutOutliers(now time.Time) {
	cut := 0
	for _, h := range l.hosts {
		if now.Sub(h.cutAt) < l.rules.recent {
			cut++
		}
	}
	for name, h := range l.hosts {
		if h.member.Weight == 0 || h.run < max(l.rules.runs, 4*h.usualRun) || l.calmBeside(name) > l.rules.calm {
			continue
		}
		recent := now.Sub(h.cutAt) < l.rules.recent
		if !recent && 3*(cut+1) > len(l.hosts) {
			continue
		}
		if !recent {
			cut++
		}
		h.cutAt = now
		h.scale(0.5, l.rules)
	}
}

// calmBeside returns the mean busy share of the other hosts.
func (l *Learner) calmBeside(name string) float64 {
	sum, n := 0.0, 0
	for other, h := range l.hosts {
		if other != name && h.busy.count > 0 {
			sum += h.busy.mean
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// average is a mean of samples that forgets slowly, with its uncertainty.
type average struct {
	mean, variance float64
	count          float64
}

// memory is the number of samples of an average. A minute of heartbeats makes it
// precise enough for the dead band.
const memory = 60

func (a *average) add(x float64) {
	a.count = min(a.count+1, memory)
	delta := x - a.mean
	a.mean += delta / a.count
	a.variance += (delta*(x-a.mean) - a.variance) / a.count
}

// standardError assumes that successive samples depend on each other, as they do
// when requests take about a second.
func (a *average) standardError() float64 {
	return math.Sqrt(2 * a.variance / max(1, a.count-1))
}
