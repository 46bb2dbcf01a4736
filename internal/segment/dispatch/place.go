package dispatch

import (
	"math"
	"slices"
	"time"

	"agateramp/internal/core/flow"
)

const (
	// typicalAge bounds the age of a service's typical latency. It is a quarter of the
	// interval of status requests.
	typicalAge = 50 * time.Millisecond
	// nearMargin is how much later a host in the balancer's data centre may be expected
	// to answer than the best other one. Traffic between data centres is paid for; a
	// larger margin would leave hosts idle where few callers are.
	nearMargin = 1.25
	// defaultLatency is assumed of a host without measurements when no host of its
	// service has any.
	defaultLatency = 20 * time.Millisecond
	// coldFactor is how much slower a host is taken to be right after its start.
	coldFactor = 2
	// maxSpeedRatio bounds how far a measured latency moves a host's weight.
	maxSpeedRatio = 8
)

// service is the agents of one service.
type service struct {
	agents []*agent
	// typical is the median of the agents' latencies at measuredAt.
	typical    time.Duration
	measuredAt time.Time
}

// typicalLatency returns the median of the measured latencies, which may be
// typicalAge old.
func (s *service) typicalLatency(now time.Time) time.Duration {
	if s.typical > 0 && now.Sub(s.measuredAt) < typicalAge {
		return s.typical
	}
	var measured []time.Duration
	for _, a := range s.agents {
		if a.status.Load.Latency > 0 {
			measured = append(measured, a.status.Load.Latency)
		}
	}
	s.typical, s.measuredAt = defaultLatency, now
	if len(measured) > 0 {
		slices.Sort(measured)
		s.typical = measured[len(measured)/2]
	}
	return s.typical
}

// leaders are the first hosts of a service in the weighted rendezvous order of a flow.
type leaders struct {
	first, second *agent
	// near is the first one in the data centre of the balancer.
	near    *agent
	typical time.Duration
}

// lead returns the leaders among the agents of a service that pass the filter.
func (d *Dispatcher) lead(now time.Time, key flow.Key, tag uint32, filter func(a *agent) bool) (l leaders) {
	s := d.services[tag]
	if s == nil {
		return l
	}
	l.typical = s.typicalLatency(now)
	hash := key.Hash()
	var first, second, near float64
	for _, a := range s.agents {
		if !filter(a) {
			continue
		}
		score := draw(hash, a.seed) / a.weight(now, l.typical)
		switch {
		case l.first == nil || score < first:
			l.second, second = l.first, first
			l.first, first = a, score
		case l.second == nil || score < second:
			l.second, second = a, score
		}
		if d.dataCentre != "" && a.status.DataCentre == d.dataCentre && (l.near == nil || score < near) {
			l.near, near = a, score
		}
	}
	return l
}

// draw returns an exponentially distributed value for a flow and a host.
func draw(hash, seed uint64) float64 {
	h := seed ^ hash
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return -math.Log((float64(h>>11) + 1) / (1 << 53))
}

// weight is the share of new flows that a host should get.
func (a *agent) weight(now time.Time, typical time.Duration) float64 {
	speed := float64(typical) / float64(a.latency(now, typical))
	speed = min(max(speed, 1.0/maxSpeedRatio), maxSpeedRatio)
	return speed * float64(max(a.status.Load.Slots, 1))
}

func (a *agent) latency(now time.Time, typical time.Duration) time.Duration {
	latency := a.status.Load.Latency
	if latency == 0 {
		latency = typical
	}
	if now.Before(a.coldUntil) {
		latency *= coldFactor
	}
	return latency
}

// cost estimates how long a new request at the host takes: its own time, the
// work before it, and the share of time in which the slots are taken.
func (a *agent) cost(now time.Time, typical time.Duration) float64 {
	slots := float64(max(a.status.Load.Slots, 1))
	waiting := float64(a.status.Load.OutstandingRequests + a.placed)
	queue := max(waiting+1-slots, 0) / slots
	used := min(a.status.Load.Utilisation, 0.95)
	return float64(a.latency(now, typical)) * (1 + queue + used/(1-used) + waiting/slots/2)
}

// place returns the host for a new flow, without those that were tried, or nil. It
// weighs the first two in the rendezvous order: two random choices bound the share
// that a host gets while its load report is old.
func (d *Dispatcher) place(now time.Time, e *entry) *agent {
	takes := func(a *agent) bool { return d.takes(now, a) && !e.wasTried(a) && !a.full(now, e.late) }
	l := d.lead(now, e.key, e.service, func(a *agent) bool { return takes(a) && !d.joining(now, a) })
	if l.first == nil {
		l = d.lead(now, e.key, e.service, takes)
	}
	best := l.first
	if best == nil {
		return nil
	}
	if l.second != nil && l.second.cost(now, l.typical) < best.cost(now, l.typical) {
		best = l.second
	}
	if l.near != nil && l.near.cost(now, l.typical) <= nearMargin*best.cost(now, l.typical) {
		return l.near
	}
	return best
}
