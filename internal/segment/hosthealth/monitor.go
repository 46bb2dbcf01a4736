// Package hosthealth judges hosts by how their requests end.
//
// A Monitor at the agent records the outcomes of the requests of its host, and a balancer turns the reports of the hosts
// of a service into shares of the new flows with Judge. Nothing is read of what callers and hosts write.
//
// The package does no I/O and reads no clock. docs/design/host-health.md explains the choice of the method.
package hosthealth

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxOutcomes is the number of outcomes that a report covers, and maxAge is how old they may be. A host that begins to
	// fail half of its requests is out within about 16 of them.
	maxOutcomes = 24
	maxAge      = 3 * time.Second
	// quickFactor is the factor by which an answer has to be faster than usual to count as quick: hosts answer with errors
	// before they do the work. Of requests whose logarithms vary by 0.5, one in 70 is as fast. A host whose own latency is
	// lower counts as up to maxSpeed times as fast as usual, because hosts of a service differ in speed.
	quickFactor = 3
	maxSpeed    = 2
	// overdueFactor is the factor by which a request has to take longer than usual to count as overdue, at least minOverdue,
	// within which the caller repeats a lost packet for the first time and gets its answer.
	overdueFactor = 10
	minOverdue    = 400 * time.Millisecond
	// latencyWeight is the weight of a new measurement in the moving average of the logarithm of the latency.
	latencyWeight = 0.1
	// minClassAnswers is the number of answers of a class from which its typical latency counts as known, and maxClasses
	// how many classes are remembered.
	minClassAnswers = 8
	maxClasses      = 64
	// maxFailuresInARow is how many requests in a row may fail before the host counts as failing altogether.
	maxFailuresInARow = 3
)

// Report is the number of requests whose outcome is known lately, and how many of them failed. The zero value means that
// nothing is known.
type Report struct {
	Requests, Failures int
	// Latency is the typical latency of answers that were not quick, to requests that the host had not to queue: their
	// geometric mean, which single slow ones change little. It is 0 if there was none.
	Latency time.Duration
}

// Monitor records the outcomes of the requests of one host. The zero value has recorded nothing. It is not safe for
// concurrent use.
type Monitor struct {
	// outcomes is a ring of the last count outcomes, and next the index of the next one.
	outcomes    [maxOutcomes]outcome
	next, count int
	// usual is the usual latency at the hosts of the service, or 0 if it is not known.
	usual time.Duration
	// all is over the requests of all classes, and classes over those of each class. Both leave out the same as
	// Report.Latency, which is that of all.
	all     typical
	classes map[uint64]*typical
	// failuresInARow counts the failed requests since the last answer.
	failuresInARow int
}

type outcome struct {
	at     time.Time
	failed bool
}

// typical is the typical latency of a number of answers.
type typical struct {
	answers int
	latency time.Duration
}

func (t *typical) add(latency time.Duration) {
	t.answers++
	if t.answers == 1 {
		t.latency = latency
		return
	}
	t.latency = time.Duration(float64(t.latency) * math.Pow(float64(latency)/float64(t.latency), latencyWeight))
}

// SetUsualLatency sets the usual latency at the hosts of the service. Without it no answer counts as quick.
func (m *Monitor) SetUsualLatency(usual time.Duration) { m.usual = usual }

// OverdueAfter returns how long a request may take before it counts as failed. If the usual latency is not known, that of
// the host itself counts; it may be 0.
func (m *Monitor) OverdueAfter(own time.Duration) time.Duration {
	if m.usual > 0 {
		own = m.usual
	}
	return max(overdueFactor*own, minOverdue)
}

// isQuick reports whether an answer to a request of a class is so fast that the host has hardly done the work.
func (m *Monitor) isQuick(latency time.Duration, class uint64) bool {
	c := m.classes[class]
	if c == nil || c.answers < minClassAnswers {
		return false
	}
	expected := float64(max(min(m.usual, m.all.latency), m.usual/maxSpeed))
	return quickFactor*float64(latency) < expected*float64(c.latency)/float64(m.all.latency)
}

// RecordAnswer records an answer of the host to a request of a class; those of a class, such as those of a route, take a
// similar time. A quick answer is a failure, unless the host was crowded when it got the request: it may reject what it
// cannot take, so that the answer says nothing. It reports whether the answer is quick.
func (m *Monitor) RecordAnswer(now time.Time, latency time.Duration, class uint64, crowded bool) (quick bool) {
	m.failuresInARow = 0
	latency = max(latency, 1)
	quick = m.isQuick(latency, class)
	if !quick || !crowded {
		m.add(now, quick)
	}
	if !quick && !crowded {
		m.all.add(latency)
		m.class(class).add(latency)
	}
	return quick
}

// class returns the typical latency of a class. If there are too many classes, it replaces the one with the fewest answers.
func (m *Monitor) class(class uint64) *typical {
	if c := m.classes[class]; c != nil {
		return c
	}
	if m.classes == nil {
		m.classes = make(map[uint64]*typical)
	}
	if len(m.classes) >= maxClasses {
		fewest := slices.MinFunc(slices.Collect(maps.Keys(m.classes)), func(a, b uint64) int {
			return cmp.Compare(m.classes[a].answers, m.classes[b].answers)
		})
		delete(m.classes, fewest)
	}
	c := &typical{}
	m.classes[class] = c
	return c
}

// RecordLateAnswer records the answer to a request that has counted as failed.
func (m *Monitor) RecordLateAnswer() { m.failuresInARow = 0 }

// RecordFailure records a request that the host has reset, or not answered in time.
func (m *Monitor) RecordFailure(now time.Time) {
	m.failuresInARow++
	m.add(now, true)
}

// RecordStart records that the host has started anew. The outcomes of its earlier starts still count: a host that ends
// again and again is not healthy.
func (m *Monitor) RecordStart() { m.failuresInARow = 0 }

func (m *Monitor) add(now time.Time, failed bool) {
	m.outcomes[m.next] = outcome{at: now, failed: failed}
	m.next = (m.next + 1) % maxOutcomes
	m.count = min(m.count+1, maxOutcomes)
}

// FailsAll reports whether the last requests have all failed.
func (m *Monitor) FailsAll() bool { return m.failuresInARow >= maxFailuresInARow }

// Report returns the outcomes of the last requests.
func (m *Monitor) Report(now time.Time) (r Report) {
	r.Latency = m.all.latency
	for i := range m.count {
		o := &m.outcomes[i]
		if now.Sub(o.at) > maxAge {
			continue
		}
		r.Requests++
		if o.failed {
			r.Failures++
		}
	}
	return r
}
