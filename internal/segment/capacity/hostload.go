package capacity

import (
	"math"
	"time"

	"agateramp/internal/segment/packet"
)

const (
	// maxUtilisation bounds the share of time in which a host is taken to be busy, so that the expected time stays finite.
	maxUtilisation = 0.95
	// maxSpeedRatio bounds the factor by which the latency of a host raises or lowers its weight.
	maxSpeedRatio = 8
	// coldLatencyFactor is the factor by which the latency of a host is assumed to be higher right after its start.
	coldLatencyFactor = 2
)

// HostLoad is the load of a host from its last report and the events since. If the report has no limit, base latency and
// rate, the results follow from the slots and the latency alone.
type HostLoad struct {
	// Report is the last load report of the host.
	Report packet.Load
	// Offers is the number of flows that the host was offered since the report.
	Offers int
	// Cold is set while the host is slower than usual after its start.
	Cold bool
	// FlowDemand is how many requests a second an open flow asks for on average, or 0 if that is not known.
	FlowDemand float64
}

// estimated reports whether the report has the figures of an Estimator.
func (h HostLoad) estimated() bool {
	return h.Report.Limit > 0 && h.Report.BaseLatency > 0 && h.Report.Rate > 0
}

// Latency returns the expected latency of a request that does not wait, given the median latency of the service.
func (h HostLoad) Latency(median time.Duration) time.Duration {
	latency := h.Report.Latency
	if h.Report.BaseLatency > 0 {
		latency = h.Report.BaseLatency
	}
	if latency == 0 {
		latency = median
	}
	if h.Cold {
		latency *= coldLatencyFactor
	}
	return latency
}

// servers returns how many requests the host works on at once without slowing down.
func (h HostLoad) servers() float64 {
	if h.estimated() {
		return max(h.Report.Rate*h.Report.BaseLatency.Seconds(), 1)
	}
	return float64(max(h.Report.Slots, 1))
}

// ahead returns the number of requests that a new one finds at the host and at its agent.
func (h HostLoad) ahead() float64 {
	return float64(h.Report.OutstandingRequests + h.Report.HeldRequests + h.Offers)
}

// Weight returns the relative share of new flows that the host should get.
func (h HostLoad) Weight(median time.Duration) float64 {
	speed := float64(median) / float64(h.Latency(median))
	speed = min(max(speed, 1.0/maxSpeedRatio), maxSpeedRatio)
	return speed * h.servers()
}

// ExpectedTime returns the expected time in nanoseconds until a new request at the host is answered, given the median
// latency of the service.
func (h HostLoad) ExpectedTime(median time.Duration) float64 {
	latency, servers, ahead := float64(h.Latency(median)), h.servers(), h.ahead()
	backlog := max(ahead+1-servers, 0) / servers
	if !h.estimated() {
		utilisation := min(h.Report.Utilisation, maxUtilisation)
		return latency * (1 + backlog + utilisation/(1-utilisation) + ahead/servers/2)
	}
	return latency * (1 + backlog + expectedQueue(h.utilisation(), servers))
}

// utilisation returns the share of what the host can do that its requests take, or will take if its open flows and the
// new one ask for as much as others do.
func (h HostLoad) utilisation() float64 {
	present := float64(h.Report.Slots) * h.Report.Utilisation / h.servers()
	coming := h.FlowDemand * float64(h.Report.OpenFlows+h.Offers+1) / h.Report.Rate
	return min(max(present, coming), maxUtilisation)
}

// expectedQueue returns the mean wait in a queue before a number of servers in multiples of the time that a request takes,
// by Sakasegawa's approximation for random arrivals and service times.
func expectedQueue(utilisation, servers float64) float64 {
	return math.Pow(utilisation, math.Sqrt(2*(servers+1))-1) / (servers * (1 - utilisation))
}

// FlowDemand is the average demand of the open flows of a service, from the load reports of its hosts.
type FlowDemand struct{ requestRate, flows float64 }

// Add adds the load report of a host.
func (d *FlowDemand) Add(l packet.Load) {
	if l.Latency <= 0 {
		return
	}
	d.requestRate += l.Utilisation * float64(l.Slots) / l.Latency.Seconds()
	d.flows += float64(l.OpenFlows)
}

// PerFlow returns how many requests a second an open flow asks for on average, or 0 if that is not known.
func (d *FlowDemand) PerFlow() float64 {
	if d.flows == 0 {
		return 0
	}
	return d.requestRate / d.flows
}
