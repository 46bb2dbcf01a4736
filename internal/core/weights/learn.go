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
	// fast and slow are the windows over which busy shares are averaged: the one
	// sees a host that changes its speed, the other small lasting deviations.
	fast, slow window
	// gain is the power of a deviation that one step corrects. It is above 1, since
	// the second choice evens out a part of each deviation.
	gain float64
	// limit bounds the learned weight to announced/limit..announced*limit.
	limit float64
	// ramp and rampFrom describe the slow start.
	ramp, rampStep time.Duration
	rampFrom       float64
	// settle is the time until heartbeats show the effect of a changed weight.
	settle time.Duration
	// idle is the mean busy share below which nothing is learned.
	idle float64
	// saturated is the busy share of an outlier, calm the most that the other
	// hosts are busy, runs the least number of saturated heartbeats.
	saturated, calm, runs float64
	// recent is how long a host counts as cut.
	recent time.Duration
	// burst is the number of table versions that learning may cause at once, and
	// perVersion the time that gives it one more. In services with many hosts a
	// bucket is a large part of a host's load, and without a limit weights would
	// move buckets back and forth.
	burst      float64
	perVersion time.Duration
}

func defaultRules() rules {
	return rules{
		interval:  5 * time.Second,
		step:      0.25,
		band:      0.05,
		fast:      window{batches: 6, ignore: 0.05, doubt: 3},
		slow:      window{batches: 120, ignore: 0.02, doubt: 2},
		gain:      1.5,
		limit:     8,
		ramp:      30 * time.Second,
		rampStep:  10 * time.Second,
		rampFrom:  0.1,
		settle:    time.Second,
		idle:      0.05,
		saturated: 0.97,
		calm:      0.9,
		runs:      3,
		recent:    15 * time.Second,

		burst:      40,
		perVersion: 20 * time.Minute,
	}
}

// window is a way of averaging busy shares.
type window struct {
	// batches is the number of batches that are remembered.
	batches float64
	// ignore is the deviation from the mean that is not acted on. Without it,
	// weights would follow what one bucket more or less makes out.
	ignore float64
	// doubt is the number of standard errors that a deviation has to exceed.
	doubt float64
}

// average is a mean that forgets.
type average struct{ mean, count float64 }

func (a *average) add(x, memory float64) {
	a.count = min(a.count+1, memory)
	a.mean += (x - a.mean) / a.count
}

const (
	// minSamples is the number of heartbeats that make a batch.
	minSamples = 3
	// minNoise is the number of batches after which the noise of a host is known.
	minNoise = 2
	// correlation allows for batches that depend on each other, as they do where
	// requests take seconds.
	correlation = 1.5
	// fresh is the age up to which a heartbeat says something.
	fresh = 3 * time.Second
)

// sample adds the last heartbeats to the batches. Busy shares are divided by the
// mean of the service at the same time, so that a load that rises and falls is
// not taken for a deviation.
func (l *Learner) sample(now time.Time) {
	level, n := l.meanShare(now, func(*host) bool { return true })
	if n < 2 {
		l.level = average{}
		return
	}
	// A host at a limit stays more or less busy than the others; if it counted in
	// the mean, the weights of all others would go on moving.
	if free, n := l.meanShare(now, func(h *host) bool { return !h.limited(level, l.rules) }); n >= 2 {
		level = free
	}
	l.level.add(level, levelMemory)
	if l.level.mean < l.rules.idle {
		return
	}
	for _, h := range l.order {
		if now.Sub(h.sharedAt) < fresh && !now.Before(h.settledAt) {
			h.batch.add(h.share/l.level.mean, math.Inf(1))
		}
	}
}

// meanShare returns the mean busy share of the warm hosts that match, and their
// number. Hosts count by weight, so that a slow host that is overloaded does not
// make all others seem idle.
func (l *Learner) meanShare(now time.Time, match func(h *host) bool) (mean float64, n int) {
	sum, weight := 0.0, 0.0
	for _, h := range l.order {
		if h.learns(now) && now.Sub(h.sharedAt) < fresh && match(h) {
			sum += h.share * h.learned
			weight += h.learned
			n++
		}
	}
	return sum / max(weight, 1), n
}

// levelMemory is the number of seconds over which the mean of a service is
// smoothed.
const levelMemory = 10

// learn moves the weight of each warm host toward the one with which it would be
// as busy as the others. It starts from the published weight, to which the busy
// shares belong, so that the same evidence is not counted twice.
func (l *Learner) learn(now time.Time) {
	sum, count := 0.0, 0.0
	for _, h := range l.order {
		h.closeBatch(now, l.rules)
		sum += h.noise.mean * h.noise.count
		count += h.noise.count
	}
	common := sum / max(count, 1)
	for _, h := range l.order {
		if !h.learns(now) || h.published == 0 || h.noise.count < minNoise {
			continue
		}
		noise := max(common, h.noise.mean)
		deviation, ok := l.rules.slow.deviation(h.slow, noise)
		if !ok {
			deviation, ok = l.rules.fast.deviation(h.fast, noise)
		}
		if !ok {
			continue
		}
		factor := math.Pow(max(1+deviation, 0.01), -l.rules.gain)
		h.learned = h.published
		h.scale(min(1+l.rules.step, max(1-l.rules.step, factor)), l.rules)
	}
}

// closeBatch adds the last batch to the averages. The noise is taken from the
// difference of successive batches, which a slow change of the mean does not
// affect.
func (h *host) closeBatch(now time.Time, r rules) {
	batch := h.batch
	h.batch = average{}
	if batch.count < minSamples {
		return
	}
	if h.batches > 0 {
		difference := batch.mean - h.last
		h.noise.add(difference*difference/2, r.slow.batches)
	}
	h.last = batch.mean
	h.batches++
	if now.Before(h.warmAt.Add(r.interval)) {
		return // a part of the batch belongs to the slow start
	}
	h.fast.add(batch.mean, r.fast.batches)
	h.slow.add(batch.mean, r.slow.batches)
}

// deviation returns how far an average is from 1, the mean of the service, and
// whether that is worth a new weight. Few batches say little about their own
// noise, so more doubt is due then.
func (w window) deviation(a average, noise float64) (deviation float64, ok bool) {
	if a.count == 0 {
		return 0, false
	}
	deviation = a.mean - 1
	doubt := w.doubt * (1 + 2/a.count) * math.Sqrt(correlation*noise/a.count)
	return deviation, math.Abs(deviation) > max(w.ignore, doubt)
}

func (h *host) learns(now time.Time) bool {
	return h.member.Weight > 0 && !h.member.Draining && !now.Before(h.warmAt)
}

// scale multiplies the learned weight within its limits.
func (h *host) scale(factor float64, r rules) {
	announced := float64(h.member.Weight)
	h.learned = min(announced*r.limit, max(announced/r.limit, h.learned*factor))
}

// limited reports whether the weight of a host would have to go past its limit to
// make it as busy as the others.
func (h *host) limited(level float64, r rules) bool {
	announced := float64(h.member.Weight)
	return h.learned >= announced*r.limit && h.share < level || h.learned <= announced/r.limit && h.share > level
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
	for _, h := range l.order {
		if now.Sub(h.cutAt) < l.rules.recent {
			cut++
		}
	}
	for _, h := range l.order {
		if h.member.Weight == 0 || h.run < max(l.rules.runs, 4*h.usualRun) || l.calmBeside(h) > l.rules.calm {
			continue
		}
		recent := now.Sub(h.cutAt) < l.rules.recent
		if !recent && 3*(cut+1) > len(l.order) {
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
func (l *Learner) calmBeside(host *host) float64 {
	sum, n := 0.0, 0
	for _, h := range l.order {
		if h != host {
			sum += h.share
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
