package relay

import (
	"time"

	"agateramp/internal/segment/packet"
)

const (
	// latencyWeight is the weight of a new measurement in the moving average of the latency.
	latencyWeight = 0.1
	// utilisationWindow is the time constant of the moving average of the utilisation.
	utilisationWindow = time.Second
	// maxLatency limits a measurement, because a pause of the caller in the middle of a request is not the latency of
	// the host.
	maxLatency = 5 * time.Second
	// abandonTimeout is how long a request counts as outstanding after the caller last sent new data. A caller may give
	// up without sending a packet; until then it retransmits at least every 1.6 s.
	abandonTimeout = 5 * time.Second
)

// load is the work at the host, measured from the packets of its flows.
type load struct {
	outstandingRequests int
	open                int
	// latency is a moving average. It is 0 before the first response.
	latency time.Duration
	// utilisation is the moving average of the share of slots in use, from 0 to 1. It covers the time until updatedAt.
	utilisation float64
	updatedAt   time.Time
}

// advance adds the time since its last call, during which outstandingRequests was constant, to the average utilisation.
func (l *load) advance(now time.Time, slots int) {
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		weight := min(float64(elapsed)/float64(utilisationWindow), 1)
		used := min(float64(l.outstandingRequests)/float64(max(slots, 1)), 1)
		l.utilisation += (used - l.utilisation) * weight
	}
	l.updatedAt = now
}

// recordRequest records that data of a caller was delivered to the host.
func (r *Relay) recordRequest(now time.Time, f *flowEntry) {
	if !f.busy {
		r.load.advance(now, r.host.slots())
		r.observeBegin(now, f)
		f.busy, f.hadRequest = true, true
		r.load.outstandingRequests++
	}
	r.host.recordDelivery(now)
	f.requestedAt = now
}

// recordResponse records that the host sent data, which ends the outstanding request of the flow.
func (r *Relay) recordResponse(now time.Time, f *flowEntry) {
	if !f.busy {
		return
	}
	r.endRequest(now, f)
	latency := min(now.Sub(f.requestedAt), maxLatency)
	r.observeLatency(latency)
	if r.observeAnswer(now, f, latency) {
		return
	}
	if r.load.latency == 0 {
		r.load.latency = latency
		return
	}
	r.load.latency += time.Duration(float64(latency-r.load.latency) * latencyWeight)
}

// endRequest records that the flow's request is no longer outstanding. It does nothing if there is none.
func (r *Relay) endRequest(now time.Time, f *flowEntry) {
	if f.busy {
		r.load.advance(now, r.host.slots())
		f.busy = false
		r.load.outstandingRequests--
	}
}

// Load returns the load of the host. Its OpenFlows is the number of all entries in the flow table.
func (r *Relay) Load(now time.Time) (l packet.Load) {
	r.load.advance(now, r.host.slots())
	l = packet.Load{
		Slots: r.host.slots(), OutstandingRequests: r.load.outstandingRequests, OpenFlows: len(r.flows),
		Latency: r.load.latency, Utilisation: r.load.utilisation, Health: r.Health(now),
	}
	if r.isColdLimited(now) {
		l.Cold, l.ColdRoom = true, r.coldLimiter.Room(now)
	}
	return l
}
