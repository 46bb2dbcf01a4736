package dispatch

import (
	"math"
	"slices"
	"time"

	"agateramp/internal/core/flow"
)

const (
	// maxMedianAge bounds the age of a service's median latency. It is a quarter of
	// the shortest interval of status requests.
	maxMedianAge = 50 * time.Millisecond
	// localCostMargin is the factor by which the expected time to an answer may be
	// longer at a host in the balancer's data centre than at the best other one.
	// Traffic between data centres is paid for; a larger margin would leave hosts idle
	// where few callers are.
	localCostMargin = 1.25
	// defaultLatency is assumed for a host without a measured latency if no host of
	// its service has one.
	defaultLatency = 20 * time.Millisecond
	// coldLatencyFactor is the factor by which the latency of a host is assumed to be
	// higher right after its start.
	coldLatencyFactor = 2
	// maxSpeedRatio bounds the factor by which a measured latency raises or lowers a
	// host's weight.
	maxSpeedRatio = 8
)

// service holds the agents of one service.
type service struct {
	agents []*agent
	// median is the result of medianLatency at medianAt, or 0 before the first call.
	median   time.Duration
	medianAt time.Time
	health   health
}

// medianLatency returns the median of the agents' measured latencies, or
// defaultLatency without measurements. The result may be up to maxMedianAge old.
func (s *service) medianLatency(now time.Time) time.Duration {
	if s.median > 0 && now.Sub(s.medianAt) < maxMedianAge {
		return s.median
	}
	var measured []time.Duration
	for _, a := range s.agents {
		if a.status.Load.Latency > 0 {
			measured = append(measured, a.status.Load.Latency)
		}
	}
	s.median, s.medianAt = defaultLatency, now
	if len(measured) > 0 {
		slices.Sort(measured)
		s.median = measured[len(measured)/2]
	}
	return s.median
}

// ranking holds the first hosts of a service in the order that weighted rendezvous
// hashing gives them for a flow.
type ranking struct {
	first, second *agent
	// local is the first host in the data centre of the balancer.
	local *agent
	// median is the median latency of the service.
	median time.Duration
}

// rank returns the ranking of the agents of a service that pass the filter.
func (d *Dispatcher) rank(now time.Time, key flow.Key, tag uint32, filter func(a *agent) bool) (r ranking) {
	s := d.services[tag]
	if s == nil {
		return r
	}
	r.median = s.medianLatency(now)
	hash := key.Hash()
	var first, second, local float64
	for _, a := range s.agents {
		if !filter(a) {
			continue
		}
		score := exponentialHash(hash, a.addressHash) / a.weight(now, r.median)
		switch {
		case r.first == nil || score < first:
			r.second, second = r.first, first
			r.first, first = a, score
		case r.second == nil || score < second:
			r.second, second = a, score
		}
		if d.dataCentre != "" && a.status.DataCentre == d.dataCentre && (r.local == nil || score < local) {
			r.local, local = a, score
		}
	}
	return r
}

// exponentialHash returns a pseudo-random value for a flow and a host that is
// exponentially distributed. Ordering hosts by this value divided by their weight
// puts each host first for a share of the flows in proportion to its weight.
func exponentialHash(flowHash, addressHash uint64) float64 {
	h := addressHash ^ flowHash
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return -math.Log((float64(h>>11) + 1) / (1 << 53))
}

// weight returns the relative share of new flows that a host should get.
func (a *agent) weight(now time.Time, median time.Duration) float64 {
	speed := float64(median) / float64(a.expectedLatency(now, median))
	speed = min(max(speed, 1.0/maxSpeedRatio), maxSpeedRatio)
	return speed * float64(max(a.status.Load.Slots, 1))
}

// expectedLatency returns the measured latency of a host, or median without a
// measurement, raised while the host is still cold after its start.
func (a *agent) expectedLatency(now time.Time, median time.Duration) time.Duration {
	latency := a.status.Load.Latency
	if latency == 0 {
		latency = median
	}
	if now.Before(a.coldUntil) {
		latency *= coldLatencyFactor
	}
	return latency
}

// cost estimates how long a new request at the host takes, in nanoseconds: from the
// latency of the host, the requests ahead of it, and the share of time in which the
// slots are taken. That share counts as at most 0.95, so that the estimate stays
// finite.
func (a *agent) cost(now time.Time, median time.Duration) float64 {
	slots := float64(max(a.status.Load.Slots, 1))
	outstanding := float64(a.status.Load.OutstandingRequests + a.offersSinceReport)
	backlog := max(outstanding+1-slots, 0) / slots
	utilisation := min(a.status.Load.Utilisation, 0.95)
	return float64(a.expectedLatency(now, median)) * (1 + backlog + utilisation/(1-utilisation) + outstanding/slots/2)
}

// place returns the agent whose host is to be offered a new flow next, or nil if all
// available hosts were tried. It compares the first two hosts of the ranking: the
// choice between two random hosts bounds the share of flows that a host gets while its
// load report is out of date.
func (d *Dispatcher) place(now time.Time, e *flowEntry) *agent {
	repeatable := d.mayRepeat(e)
	d.judge(now, e.serviceTag)
	if a := d.trial(now, e, repeatable); a != nil {
		return a
	}
	available := func(a *agent) bool {
		return d.eligible(now, a) && !e.wasTried(a) && !a.isFull(now, e.late) && a.hasColdRoom(now) && a.getsFlow(e.key, repeatable)
	}
	r := d.rank(now, e.key, e.serviceTag, func(a *agent) bool { return available(a) && !d.joining(now, a) })
	if r.first == nil {
		r = d.rank(now, e.key, e.serviceTag, available)
	}
	best := r.first
	if best == nil {
		return nil
	}
	if r.second != nil && r.second.cost(now, r.median) < best.cost(now, r.median) {
		best = r.second
	}
	if r.local != nil && r.local.cost(now, r.median) <= localCostMargin*best.cost(now, r.median) {
		return r.local
	}
	return best
}
