// Package capacity estimates how many requests a host takes well, from the latency of its requests.
//
// An Estimator records when requests begin and end at a host. It estimates the latency of the host without queueing, how
// the latency grows with the number of requests in progress, and from both the knee: the number of requests in progress
// beyond which the throughput stops rising. HostLoad compares hosts by these figures.
//
// The package does no I/O and reads no clock. docs/design/host-capacity.md explains the choice of the method.
package capacity

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

const (
	// Before the host's latency is known, the limit is initialFactor times the slots plus initialExtra.
	initialFactor = 1.5
	initialExtra  = 2
	// headroomFraction is the part of the knee by which the limit exceeds it, at least one request. The requests above
	// the knee keep the host busy between two requests and show whether it takes more. There is no headroom if it lowers
	// the throughput by more than maxHeadroomLoss, as a logarithm.
	headroomFraction = 0.125
	maxHeadroomLoss  = 0.15
	// minSamples is the number of samples before the limit changes. samplesPerDecision is the least number of samples
	// between two decisions on the limit; there are also at least two for each request in progress at the limit.
	minSamples         = 32
	samplesPerDecision = 16
	// minClassSamples is the number of samples of a class that change only its offset.
	minClassSamples = 8
	// maxResidual limits the natural logarithm of the factor by which a sample may differ from what was expected, so
	// that single slow requests change little. Answers that are faster by more than quickResidual than is known of the
	// host do not count: a host that fails fast is not a fast host.
	maxResidual   = 1.5
	quickResidual = -2
	// While the average of recent residuals exceeds changeThreshold either way, the host is taken to have changed its
	// speed: the base latency follows changeGain times as fast, and the curve stays. Above slowerThreshold the base
	// latency rises by the average at once. They are about 2 and 4 standard deviations of the average for requests
	// whose latencies vary by a factor of 1.8.
	changeThreshold = 0.25
	changeGain      = 4
	slowerThreshold = 0.5
	// driftSpan, baseSpan and bestSpan are the time constants, in multiples of the time that a request takes, of the
	// average of residuals, of the base latency, and of forgetting the least base latency.
	driftSpan = 4
	baseSpan  = 16
	bestSpan  = 256
	// minDriftLevel is the least number of requests in progress for the average of residuals, which would be taken over
	// too few requests otherwise.
	minDriftLevel = 3
	// restartEvidence is the most samples that the evidence of the curve counts as after a start of the host.
	restartEvidence = 16
	// tailWeight is the weight of a sample in the average ratio of mean to typical latency, and maxTailFactor limits a
	// sample of it. initialTail is the ratio for latencies that vary by a factor of 1.6.
	tailWeight    = 1.0 / 256
	maxTailFactor = 10
	initialTail   = 1.1
)

// Config configures an Estimator.
type Config struct {
	// Slots is the number of requests that the host announces to process at once. If zero, the limit is not known until
	// SetSlots is called.
	Slots int
}

// Outcome is how a request at the host ended.
type Outcome uint8

const (
	// Answered means that the host sent data that answers the request.
	Answered Outcome = iota
	// Reset means that the host reset the flow or no longer held it.
	Reset
	// Refused means that the host returned the request without running it.
	Refused
	// Silent means that the host sent nothing for as long as the request could be of use.
	Silent
	// Abandoned means that the caller ended the flow first, or that the agent forgot it.
	Abandoned
	// outcomes is the number of outcomes.
	outcomes
)

// Token is the state of a request in progress.
type Token struct {
	begunAt time.Time
	// level is the number of requests in progress at begunAt.
	level int
	// cold is set if the host was cold at begunAt, and trial if a trial had changed the limit.
	cold, trial bool
}

// Sample is the end of a request.
type Sample struct {
	Token   Token
	Outcome Outcome
	// Class identifies requests that take a similar time, such as those of a route.
	Class uint32
	// Incomplete is set if it is not known when the host had received the whole request, because a packet before the
	// last one was missing when that arrived. The request then does not count as a measurement.
	Incomplete bool
}

// Counts are the numbers of requests by outcome since the Estimator was created. Quick of the Answered ones were
// answered so fast that they do not count as measurements.
type Counts struct{ Answered, Quick, Reset, Refused, Silent, Abandoned uint64 }

// Estimator estimates the capacity of one host. It is not safe for concurrent use.
type Estimator struct {
	slots      int
	coldUntil  time.Time
	inProgress int

	// base is the logarithm of the typical latency of the first class at one request in progress, in seconds, apart
	// from curve. samples counts the measurements behind it.
	base    float64
	samples int
	// drift is the average of recent residuals, best the least base of some time, and tail the ratio of the mean to the
	// typical latency.
	drift, best, tail float64

	curve   curve
	classes classes
	// knee is the number of requests in progress beyond which the throughput stops rising. sinceDecision counts the
	// samples since the last decision on it, and levelSum is the sum of their requests in progress.
	knee                    float64
	sinceDecision, levelSum int
	trial                   trial
	counts                  [outcomes]uint64
	quick                   uint64
}

// New returns an Estimator that has measured nothing.
func New(c Config) (e *Estimator, err error) {
	if c.Slots < 0 {
		return nil, errors.New("capacity: Slots must not be negative")
	}
	e = &Estimator{tail: initialTail}
	e.SetSlots(c.Slots)
	return e, nil
}

// SetSlots sets the number of requests that the host announces to process at once. A change discards what was learned
// about the limit.
func (e *Estimator) SetSlots(slots int) {
	if slots == e.slots {
		return
	}
	e.slots, e.knee, e.trial = slots, float64(slots), trial{}
	e.samples, e.sinceDecision, e.levelSum = 0, 0, 0
	e.curve.reset(slots)
}

// SetCold sets until when the host is slow after its start. Requests that begin before that time are no measurements.
func (e *Estimator) SetCold(until time.Time) { e.coldUntil = until }

// HandleRestart processes the start of another process of the host. The limit is as at first until there are enough new
// measurements.
func (e *Estimator) HandleRestart() {
	e.samples = min(e.samples, minClassSamples)
	e.curve.limitEvidence(restartEvidence)
	e.trial = trial{}
}

// Begin records that the host was sent the first packet of a request.
func (e *Estimator) Begin(now time.Time) Token {
	if e.inProgress++; e.inProgress >= e.Limit(now) {
		e.trial.limitedCount++
	}
	e.trial.begunCount++
	return e.token(now)
}

// Renew records that the host was sent a later packet of a request with data that the host did not have. The latency
// counts from the last such packet, because a slow caller or link is not the host's latency.
func (e *Estimator) Renew(now time.Time) Token { return e.token(now) }

func (e *Estimator) token(now time.Time) Token {
	token := Token{begunAt: now, level: e.inProgress, cold: now.Before(e.coldUntil)}
	if e.trial.covers(e.inProgress) {
		// The host is saturated: requests that end at the same time are replaced at once.
		token.level, token.trial = e.trial.level, true
	}
	return token
}

// Observe records the end of a request.
func (e *Estimator) Observe(now time.Time, s Sample) {
	e.inProgress = max(e.inProgress-1, 0)
	if s.Outcome >= outcomes {
		return
	}
	e.counts[s.Outcome]++
	e.trial.step(now)
	latency := now.Sub(s.Token.begunAt).Seconds()
	if s.Outcome != Answered || s.Incomplete || s.Token.cold || latency <= 0 || e.slots == 0 {
		return
	}
	e.learn(s.Class, math.Log(latency), s.Token)
	e.levelSum += s.Token.level
	if e.trial.level > 0 {
		e.sinceDecision, e.levelSum = 0, 0
		return
	}
	if e.sinceDecision++; e.sinceDecision >= max(samplesPerDecision, 2*e.Limit(now)) {
		e.decide(now)
	}
}

// learn updates the figures by a measurement: the logarithm of a latency, and the token of its request. Its deviation from
// what was expected is divided between the base latency and the curve by their uncertainties. Measurements in a trial
// change only the curve.
func (e *Estimator) learn(class uint32, logLatency float64, token Token) {
	c := e.classes.find(class)
	position := positionOf(float64(token.level))
	if e.samples == 0 {
		e.base = logLatency - e.curve.at(position)
	}
	residual := logLatency - e.base - e.curve.at(position) - c.offset
	if c.samples++; c.samples <= minClassSamples && !c.first {
		c.offset += residual / float64(c.samples)
		return
	}
	if e.learned() && residual+e.base-e.best < quickResidual {
		e.quick++
		return
	}
	if math.Abs(e.drift) < changeThreshold {
		e.tail += (min(math.Exp(residual), maxTailFactor) - e.tail) * tailWeight
	}
	residual = min(max(residual, -maxResidual), maxResidual)
	e.samples++
	e.classes.observeMix(c)
	span := max(float64(token.level), 1)
	baseVariance := max(1/(baseSpan*span), 1/float64(e.samples))
	curveVariance := e.curve.variance(position)
	switch {
	case token.trial:
		baseVariance = 0
	case !e.learned():
		curveVariance = 0
	case math.Abs(e.drift) > changeThreshold:
		baseVariance, curveVariance = changeGain*baseVariance, 0
	}
	classVariance := c.variance()
	total := 1 + baseVariance + curveVariance + classVariance
	e.base += residual * baseVariance / total
	c.offset += residual * classVariance / total
	e.curve.update(position, residual*curveVariance/total, max(e.knee, 1))
	if !token.trial {
		e.followSlower(residual, span)
	}
}

// learned reports whether there are enough samples to change the limit. In the first ones short requests prevail if many
// began at the same time.
func (e *Estimator) learned() bool { return e.samples >= max(minSamples, 2*int(e.knee)) }

// followSlower raises the base latency at once if the host has become slower. A host that becomes faster is followed
// measurement by measurement.
func (e *Estimator) followSlower(residual, span float64) {
	e.drift += (residual - e.drift) / (1 + driftSpan*max(span, minDriftLevel))
	if !e.learned() {
		e.best = e.base
		return
	}
	if e.drift > slowerThreshold {
		e.base += e.drift
		e.drift = 0
	}
	e.best = min(e.best+(e.base-e.best)/(bestSpan*span), e.base)
}

// decide moves the knee to the level with the greatest utility: down to that level at once, up by one step of the curve.
// It stays if there were few requests in progress since the last decision, because they show nothing of the knee.
func (e *Estimator) decide(now time.Time) {
	before := e.knee
	busy := 2*float64(e.levelSum) >= e.knee*float64(e.sinceDecision)
	e.sinceDecision, e.levelSum = 0, 0
	if e.learned() {
		e.curve.fit()
		if busy {
			e.knee = e.curve.knee(e.knee)
		}
	}
	e.trial.review(now, e.knee != before, e)
}

// headroom returns by how many requests the limit exceeds the knee, unless that lowers the throughput.
func (e *Estimator) headroom() int { return int(math.Round(max(1, e.knee*headroomFraction))) }

// Limit returns the number of requests that may be in progress at the host, or 0 if it is not known.
func (e *Estimator) Limit(now time.Time) int {
	switch {
	case e.slots == 0:
		return 0
	case !e.learned():
		return int(initialFactor*float64(e.slots)) + initialExtra
	case e.trial.level > 0 && !now.After(e.trial.until):
		return e.trial.level
	}
	limit := int(math.Round(e.knee))
	if !e.curve.lowersThroughput(e.knee, float64(limit+e.headroom())) {
		limit += e.headroom()
	}
	return limit
}

// BaseLatency returns the mean latency of the present mix of requests without queueing, or 0 if it is not known.
func (e *Estimator) BaseLatency() time.Duration {
	if e.samples < minClassSamples {
		return 0
	}
	return time.Duration(e.meanLatency(e.curve.unloaded()) * float64(time.Second))
}

// Rate returns how many requests a second of the present mix the host can answer, or 0 if it is not known.
func (e *Estimator) Rate() float64 {
	if !e.learned() {
		return 0
	}
	return e.knee / e.kneeLatency()
}

// meanLatency returns the mean latency in seconds of the present mix at a value of the curve.
func (e *Estimator) meanLatency(value float64) float64 {
	return math.Exp(e.base+value) * e.tail * e.classes.factor
}

// kneeLatency returns the mean latency in seconds at the knee.
func (e *Estimator) kneeLatency() float64 {
	return e.meanLatency(e.curve.fittedAt(positionOf(e.knee)))
}

// InProgress returns the number of requests in progress at the host.
func (e *Estimator) InProgress() int { return e.inProgress }

// Counts returns the numbers of requests by outcome.
func (e *Estimator) Counts() Counts {
	return Counts{
		Answered: e.counts[Answered], Quick: e.quick, Reset: e.counts[Reset],
		Refused: e.counts[Refused], Silent: e.counts[Silent], Abandoned: e.counts[Abandoned],
	}
}
