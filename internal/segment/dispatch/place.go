package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"agateramp/internal/core/flow"
)

const (
	// choices is how many hosts a new flow is weighed over. Two random choices
	// bound the share that a host gets while its load report is old.
	choices = 2
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

// ranked returns the agents of a service that pass the filter in the weighted
// rendezvous order of the flow.
func (d *Dispatcher) ranked(now time.Time, key flow.Key, tag uint32, filter func(a *agent) bool) (hosts []*agent) {
	for _, a := range d.services[tag] {
		if filter(a) {
			hosts = append(hosts, a)
		}
	}
	if len(hosts) < 2 {
		return hosts
	}
	typical := typicalLatency(hosts)
	hash := key.Hash()
	scores := make(map[*agent]float64, len(hosts))
	for _, a := range hosts {
		scores[a] = draw(hash, a) / a.weight(now, typical)
	}
	slices.SortFunc(hosts, func(a, b *agent) int {
		switch {
		case scores[a] < scores[b]:
			return -1
		case scores[a] > scores[b]:
			return 1
		}
		return a.address.Compare(b.address)
	})
	return hosts
}

// draw returns an exponentially distributed value for a flow and a host.
func draw(hash uint64, a *agent) float64 {
	b := a.address.As16()
	h := xxhash.Sum64(b[:]) ^ hash
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return -math.Log((float64(h>>11) + 1) / (1 << 53))
}

// typicalLatency returns the median of the measured latencies.
func typicalLatency(hosts []*agent) time.Duration {
	var measured []time.Duration
	for _, a := range hosts {
		if a.status.Load.Latency > 0 {
			measured = append(measured, a.status.Load.Latency)
		}
	}
	if len(measured) == 0 {
		return defaultLatency
	}
	slices.Sort(measured)
	return measured[len(measured)/2]
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
	waiting := float64(a.status.Load.Busy + a.placed)
	queue := max(waiting+1-slots, 0) / slots
	used := min(a.status.Load.Utilisation, 0.95)
	return float64(a.latency(now, typical)) * (1 + queue + used/(1-used) + waiting/slots/2)
}

// place returns the host for a new flow, without those that were tried, or nil.
func (d *Dispatcher) place(now time.Time, e *entry) *agent {
	takes := func(a *agent) bool { return d.takes(now, a) && !e.wasTried(a.address) && !a.full(now, e.late) }
	hosts := d.ranked(now, e.key, e.service, func(a *agent) bool { return takes(a) && !d.joining(now, a) })
	if len(hosts) == 0 {
		hosts = d.ranked(now, e.key, e.service, takes)
	}
	if len(hosts) == 0 {
		return nil
	}
	typical := typicalLatency(hosts)
	best := hosts[0]
	for _, a := range hosts[1:min(len(hosts), choices)] {
		if a.cost(now, typical) < best.cost(now, typical) {
			best = a
		}
	}
	if near := d.nearest(hosts); near != nil && near.cost(now, typical) <= nearMargin*best.cost(now, typical) {
		return near
	}
	return best
}

// nearest returns the first of the ranked hosts in the balancer's data centre, or nil.
func (d *Dispatcher) nearest(hosts []*agent) *agent {
	if d.dataCentre == "" {
		return nil
	}
	i := slices.IndexFunc(hosts, func(a *agent) bool { return a.status.DataCentre == d.dataCentre })
	if i < 0 {
		return nil
	}
	return hosts[i]
}
