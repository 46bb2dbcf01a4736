// Package hosthealth judges hosts by how their requests end.
//
// A Monitor at the agent records the outcomes of the requests of its host, and a balancer turns the reports of the hosts
// of a service into shares of the new flows with Judge. Nothing is read of what callers and hosts write.
//
// The package does no I/O and reads no clock. docs/design/host-health.md explains the choice of the method.
package hosthealth

import "time"

const (
	// maxOutcomes is the number of outcomes that a report covers, and maxAge is how old they may be. A host that begins to
	// fail half of its requests is out within about 16 of them.
	maxOutcomes = 24
	maxAge      = 3 * time.Second
	// quickFactor is the factor by which an answer has to be faster than usual to count as quick: hosts answer with errors
	// before they do the work. Work that takes between half and twice its mean is far from it.
	quickFactor = 8
	// overdueFactor is the factor by which a request has to take longer than usual to count as overdue, at least minOverdue,
	// within which the caller repeats a lost packet for the first time and gets its answer.
	overdueFactor = 10
	minOverdue    = 400 * time.Millisecond
	// latencyWeight is the weight of a new measurement in the moving average of the latency.
	latencyWeight = 0.1
	// maxFailuresInARow is how many requests in a row may fail before the host counts as failing altogether.
	maxFailuresInARow = 3
)

// Report is the number of requests whose outcome is known lately, and how many of them failed. The zero value means that
// nothing is known.
type Report struct {
	Requests, Failures int
	// Latency is the mean latency of answers that were not quick, to requests that the host had not to queue. It is 0 if
	// there was none.
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
	// latency is as in Report.
	latency time.Duration
	// failuresInARow counts the failed requests since the last answer.
	failuresInARow int
}

type outcome struct {
	at     time.Time
	failed bool
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

// IsQuick reports whether an answer is so fast that the host has hardly done the work.
func (m *Monitor) IsQuick(latency time.Duration) bool { return quickFactor*latency < m.usual }

// RecordAnswer records an answer of the host. A quick answer is a failure, unless the host was crowded when it got the
// request: it may reject what it cannot take, so that the answer says nothing.
func (m *Monitor) RecordAnswer(now time.Time, latency time.Duration, crowded bool) {
	m.failuresInARow = 0
	quick := m.IsQuick(latency)
	if quick && crowded {
		return
	}
	m.add(now, quick)
	switch {
	case quick || crowded:
	case m.latency == 0:
		m.latency = latency
	default:
		m.latency += time.Duration(latencyWeight * float64(latency-m.latency))
	}
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
	r.Latency = m.latency
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
