package weights

import (
	"math"
	"time"
)

// params are the parameters of learning. Tests can compare other values with the defaults.
type params struct {
	// interval is the time between two calls of learnWeights.
	interval time.Duration
	// maxStep is the largest change of a weight in one call of learnWeights, as a share of
	// the weight.
	maxStep float64
	// deadBand is the relative change up to which a weight is not published.
	deadBand float64
	// fastWindow and slowWindow are the windows over which busy shares are averaged. The
	// fast one detects a host whose speed changes, the slow one small lasting deviations.
	fastWindow, slowWindow window
	// gain is the exponent with which learnWeights corrects a deviation. It is above 1,
	// since the second choice of a flow already evens out a part of each deviation.
	gain float64
	// maxFactor limits the learned weight to announced/maxFactor..announced*maxFactor.
	maxFactor float64
	// slowStart is the duration of the slow start, which a host begins with the share
	// slowStartShare of its learned weight. The weight rises every slowStartStep.
	slowStart, slowStartStep time.Duration
	slowStartShare           float64
	// settleTime is the time after a changed weight from which heartbeats show its effect.
	settleTime time.Duration
	// idleShare is the mean busy share of the service below which nothing is learned.
	idleShare float64
	// saturatedShare is the busy share from which a heartbeat is saturated. An outlier has
	// at least minSaturatedRun saturated heartbeats without a break, while the mean busy
	// share of the other hosts is at most calmShare.
	saturatedShare, calmShare, minSaturatedRun float64
	// cutHold is how long after its last cut a host counts as an outlier.
	cutHold time.Duration
	// maxBudget is the number of table versions that learning may cause in a burst, and
	// budgetInterval the time after which it may cause one more. In a service with many
	// hosts, one bucket is a large part of the load of a host; without a limit, learning
	// would move buckets back and forth.
	maxBudget      float64
	budgetInterval time.Duration
}

// defaultParams returns the parameters that New uses.
func defaultParams() params {
	return params{
		interval:        5 * time.Second,
		maxStep:         0.25,
		deadBand:        0.05,
		fastWindow:      window{maxBatches: 6, minDeviation: 0.05, minStandardErrors: 3},
		slowWindow:      window{maxBatches: 120, minDeviation: 0.02, minStandardErrors: 2},
		gain:            1.5,
		maxFactor:       8,
		slowStart:       30 * time.Second,
		slowStartStep:   10 * time.Second,
		slowStartShare:  0.1,
		settleTime:      time.Second,
		idleShare:       0.05,
		saturatedShare:  0.97,
		calmShare:       0.9,
		minSaturatedRun: 3,
		cutHold:         15 * time.Second,

		maxBudget:      40,
		budgetInterval: 20 * time.Minute,
	}
}

// window is a moving window over which busy shares are averaged, and the deviation in it
// that leads to another weight. A deviation is the difference between the average of a
// host, relative to the mean of the service, and 1.
type window struct {
	// maxBatches is the number of batches after which old ones lose their influence.
	maxBatches float64
	// minDeviation is the deviation up to which a weight is kept. Without it, weights would
	// follow differences of one bucket.
	minDeviation float64
	// minStandardErrors is the number of standard errors that a deviation must exceed.
	minStandardErrors float64
}

// average is the mean of the values so far, and an exponential moving average once their
// number reaches a maximum.
type average struct{ mean, count float64 }

// add adds a value. From maxCount values on, each new one has a weight of 1/maxCount.
func (a *average) add(x, maxCount float64) {
	a.count = min(a.count+1, maxCount)
	a.mean += (x - a.mean) / a.count
}

const (
	// minBatchHeartbeats is the smallest number of heartbeats in a batch.
	minBatchHeartbeats = 3
	// minVarianceSamples is the number of samples of the batch variance of a host before
	// its weight is learned.
	minVarianceSamples = 2
	// batchCorrelation is the factor by which the variance of an average of batches is
	// increased because the batches depend on each other, as they do where requests take
	// seconds.
	batchCorrelation = 1.5
	// maxHeartbeatAge is the age from which a heartbeat is not used.
	maxHeartbeatAge = 3 * time.Second
)

// sampleBusyShares adds the last heartbeats to the batches. Busy shares are divided by
// the mean of the service at the same time, so that a load that rises and falls is not
// taken for a deviation.
func (l *Learner) sampleBusyShares(now time.Time) {
	meanShare, n := l.meanBusyShare(now, func(*host) bool { return true })
	if n < 2 {
		l.smoothedShare = average{}
		return
	}
	// A host at the limit of its weight stays more or less busy than the others. If it
	// counted in the mean, the weights of all others would never settle.
	if shareWithinLimits, n := l.meanBusyShare(now, func(h *host) bool { return !h.atLimit(meanShare, l.params) }); n >= 2 {
		meanShare = shareWithinLimits
	}
	l.smoothedShare.add(meanShare, smoothingSeconds)
	if l.smoothedShare.mean < l.params.idleShare {
		return
	}
	for _, h := range l.sortedHosts {
		if now.Sub(h.busyShareAt) < maxHeartbeatAge && !now.Before(h.settledAt) {
			h.batch.add(h.busyShare/l.smoothedShare.mean, math.Inf(1))
		}
	}
}

// meanBusyShare returns the mean busy share of the learnable hosts with a recent heartbeat
// for which match returns true, and their number. The mean is weighted by learned weight,
// so that one overloaded slow host does not make all others appear idle.
func (l *Learner) meanBusyShare(now time.Time, match func(h *host) bool) (mean float64, n int) {
	sum, weight := 0.0, 0.0
	for _, h := range l.sortedHosts {
		if h.learnable(now) && now.Sub(h.busyShareAt) < maxHeartbeatAge && match(h) {
			sum += h.busyShare * h.learnedWeight
			weight += h.learnedWeight
			n++
		}
	}
	return sum / max(weight, 1), n
}

// smoothingSeconds is the number of seconds, and calls of Step, over which the mean busy
// share of a service is smoothed.
const smoothingSeconds = 10

// learnWeights changes the weight of each learnable host toward the one with which it would
// be as busy as the others. It starts from the published weight, with which the busy
// shares were measured, so that the same heartbeats do not count twice.
func (l *Learner) learnWeights(now time.Time) {
	sum, count := 0.0, 0.0
	for _, h := range l.sortedHosts {
		h.closeBatch(now, l.params)
		sum += h.batchVariance.mean * h.batchVariance.count
		count += h.batchVariance.count
	}
	pooledVariance := sum / max(count, 1)
	for _, h := range l.sortedHosts {
		if !h.learnable(now) || h.publishedWeight == 0 || h.batchVariance.count < minVarianceSamples {
			continue
		}
		variance := max(pooledVariance, h.batchVariance.mean)
		deviation, ok := l.params.slowWindow.deviation(h.slowAverage, variance)
		if !ok {
			deviation, ok = l.params.fastWindow.deviation(h.fastAverage, variance)
		}
		if !ok {
			continue
		}
		factor := math.Pow(max(1+deviation, 0.01), -l.params.gain)
		h.learnedWeight = h.publishedWeight
		h.scaleLearnedWeight(min(1+l.params.maxStep, max(1-l.params.maxStep, factor)), l.params)
	}
}

// closeBatch adds the current batch to the averages and starts another one. The variance
// is estimated from the differences of successive batches, which a slow change of the
// mean does not affect.
func (h *host) closeBatch(now time.Time, p params) {
	batch := h.batch
	h.batch = average{}
	if batch.count < minBatchHeartbeats {
		return
	}
	if h.batchCount > 0 {
		difference := batch.mean - h.lastBatch
		h.batchVariance.add(difference*difference/2, p.slowWindow.maxBatches)
	}
	h.lastBatch = batch.mean
	h.batchCount++
	if now.Before(h.warmAt.Add(p.interval)) {
		return // a part of the batch belongs to the slow start
	}
	h.fastAverage.add(batch.mean, p.fastWindow.maxBatches)
	h.slowAverage.add(batch.mean, p.slowWindow.maxBatches)
}

// deviation returns how far an average is from 1, the mean of the service, and whether
// that calls for another weight. variance is that of the mean of one batch. The variance
// of few batches is uncertain, so the fewer there are, the larger the deviation must be.
func (w window) deviation(a average, variance float64) (deviation float64, ok bool) {
	if a.count == 0 {
		return 0, false
	}
	deviation = a.mean - 1
	threshold := w.minStandardErrors * (1 + 2/a.count) * math.Sqrt(batchCorrelation*variance/a.count)
	return deviation, math.Abs(deviation) > max(w.minDeviation, threshold)
}

// learnable reports whether the weight of a host can be learned: the host gets new flows
// and its slow start has ended.
func (h *host) learnable(now time.Time) bool {
	return h.member.Weight > 0 && !h.member.Draining && !now.Before(h.warmAt)
}

// scaleLearnedWeight multiplies the learned weight by factor, within its limits.
func (h *host) scaleLearnedWeight(factor float64, p params) {
	announced := float64(h.member.Weight)
	h.learnedWeight = min(announced*p.maxFactor, max(announced/p.maxFactor, h.learnedWeight*factor))
}

// atLimit reports whether no permitted weight makes a host as busy as meanShare: its
// learned weight is at the upper limit although the host is less busy, or at the lower
// limit although it is busier.
func (h *host) atLimit(meanShare float64, p params) bool {
	announced := float64(h.member.Weight)
	return h.learnedWeight >= announced*p.maxFactor && h.busyShare < meanShare || h.learnedWeight <= announced/p.maxFactor && h.busyShare > meanShare
}

// countSaturated counts successive saturated heartbeats. Where requests are long, a
// healthy host can be saturated for many seconds at a time; an outlier is saturated for
// much longer than is usual for the host.
func (h *host) countSaturated(share float64, p params) {
	if share >= p.saturatedShare {
		h.saturatedRun++
		return
	}
	if h.saturatedRun > 0 {
		h.usualSaturatedRun += (min(h.saturatedRun, 60) - h.usualSaturatedRun) / 4
	}
	h.saturatedRun = 0
}

// cutOutliers halves the weight of hosts that stay saturated while the others are not, at
// each call until that ends. At most a third of the hosts are cut at a time.
func (l *Learner) cutOutliers(now time.Time) {
	cutHosts := 0
	for _, h := range l.sortedHosts {
		if now.Sub(h.cutAt) < l.params.cutHold {
			cutHosts++
		}
	}
	for _, h := range l.sortedHosts {
		if h.member.Weight == 0 || h.saturatedRun < max(l.params.minSaturatedRun, 4*h.usualSaturatedRun) || l.otherHostsBusyShare(h) > l.params.calmShare {
			continue
		}
		alreadyCut := now.Sub(h.cutAt) < l.params.cutHold
		if !alreadyCut && 3*(cutHosts+1) > len(l.sortedHosts) {
			continue
		}
		if !alreadyCut {
			cutHosts++
		}
		h.cutAt = now
		h.scaleLearnedWeight(0.5, l.params)
	}
}

// otherHostsBusyShare returns the mean busy share of all hosts but one, or 1 when there
// are no others.
func (l *Learner) otherHostsBusyShare(host *host) float64 {
	sum, n := 0.0, 0
	for _, h := range l.sortedHosts {
		if h != host {
			sum += h.busyShare
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
