package capacity

import "time"

const (
	// minTrialInterval is the time between two trials at first. It doubles with each trial that confirms the knee, up to
	// maxTrialInterval, and halves with each one that moves it.
	minTrialInterval = 3 * time.Second
	maxTrialInterval = 32 * time.Second
	// trialFraction is the part of the knee by which a trial lowers the limit, at least one request. A higher limit exceeds
	// the usual one by the headroom.
	trialFraction = 0.4
	// A trial ends after trialSpan requests for each one that may be in progress and at least minTrialRequests, and at the
	// latest after maxTrialSpan times the latency.
	trialSpan        = 5
	minTrialRequests = 12
	maxTrialSpan     = 15
	// limitedShare is the share of requests that reach the limit while the host is saturated.
	limitedShare = 0.98
)

// trial is a short time with another limit, to measure the latency with fewer or with more requests in progress. The
// limit is lower until trials leave the knee where it is, then higher until they do, and so on. There are trials only while
// the host is saturated: otherwise the number of requests in progress varies anyway.
type trial struct {
	// level is the limit during a trial, or 0 if there is none. last is that of the last trial.
	level, last int
	// ended is set from the end of a trial until its long requests have ended too.
	ended bool
	// higher is set if the last trial had a higher limit, and confirmed if it left the knee where it was.
	higher, confirmed bool
	// remaining is the number of requests until the end of the trial, and until is when it ends at the latest.
	remaining int
	until     time.Time
	nextAt    time.Time
	interval  time.Duration
	// begunCount and limitedCount count the requests that began since the last trial was due, and those of them that
	// reached the limit.
	begunCount, limitedCount int
}

// review processes a decision on the knee, which the last trial moved if moved is set. It starts the next trial if the
// host is saturated and one is due.
func (t *trial) review(now time.Time, moved bool, e *Estimator) {
	if t.ended {
		t.ended = false
		t.confirmed = !moved && t.trusted(e)
		switch {
		case t.confirmed:
			t.interval = min(2*t.interval, maxTrialInterval)
		case moved:
			t.interval = max(t.interval/2, minTrialInterval)
		}
		t.schedule(now)
	}
	if now.Before(t.nextAt) {
		return
	}
	saturated := float64(t.limitedCount) >= limitedShare*float64(t.begunCount)
	if !saturated || t.interval == 0 || !e.learned() {
		t.interval = max(t.interval, minTrialInterval)
		t.schedule(now)
		return
	}
	t.start(now, e)
}

// covers reports whether a request that begins belongs to a trial: the number of requests in progress has reached the
// limit of the trial, but for requests that have just ended.
func (t *trial) covers(inProgress int) bool {
	return t.level > 0 && inProgress <= t.level && 2*inProgress >= t.level
}

// trusted reports whether there is enough evidence at the limit of the last trial.
func (t *trial) trusted(e *Estimator) bool {
	return e.curve.evidence[int(positionOf(float64(t.last))+rounding)] >= trustedEvidence
}

// schedule sets when the next trial is due.
func (t *trial) schedule(now time.Time) {
	t.nextAt, t.begunCount, t.limitedCount = now.Add(t.interval), 0, 0
}

func (t *trial) start(now time.Time, e *Estimator) {
	if t.confirmed {
		t.higher = !t.higher
	}
	if t.higher {
		t.level = e.Limit(now) + e.headroom()
	} else {
		t.level = max(int(e.knee-max(1, e.knee*trialFraction)), 1)
	}
	t.last = t.level
	t.remaining = max(trialSpan*t.level, minTrialRequests)
	t.until = now.Add(time.Duration(maxTrialSpan * e.kneeLatency() * float64(time.Second)))
}

// step counts a request that has ended, and ends the trial if it is over.
func (t *trial) step(now time.Time) {
	if t.level == 0 {
		return
	}
	if t.remaining--; t.remaining <= 0 || now.After(t.until) {
		t.level, t.ended = 0, true
	}
}
