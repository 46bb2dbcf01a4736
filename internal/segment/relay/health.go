package relay

import (
	"encoding/binary"
	"time"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/hosthealth"
)

// observedRequest is a request that the host has not answered yet. It is over once the flow is no longer busy or is busy
// with a request that began at another time.
type observedRequest struct {
	flow    *flowEntry
	begunAt time.Time
}

// SetUsualLatency sets the usual latency at the hosts of the service.
func (r *Relay) SetUsualLatency(usual time.Duration) { r.monitor.SetUsualLatency(usual) }

// classOf returns the class of the requests of a flow: its destination stands for a route.
func classOf(key flow.Key) uint64 {
	address := key.Destination().Addr().As16()
	return uint64(binary.BigEndian.Uint32(address[12:]))<<16 | uint64(key.Destination().Port())
}

// observeBegin records that the host is given a request on a flow without one.
func (r *Relay) observeBegin(now time.Time, f *flowEntry) {
	r.expireObserved(now)
	f.begunAt, f.overdue = now, false
	f.crowded = len(r.observed) >= max(r.host.slots(), 1)
	r.observed = append(r.observed, observedRequest{flow: f, begunAt: now})
}

// expireObserved removes the requests that are over, and counts those that have become overdue as failed.
func (r *Relay) expireObserved(now time.Time) {
	kept := r.observed[:0]
	for _, o := range r.observed {
		f := o.flow
		switch {
		case !f.busy || !f.begunAt.Equal(o.begunAt):
		case now.Sub(f.requestedAt) < r.monitor.OverdueAfter(r.load.latency):
			kept = append(kept, o)
		default:
			f.overdue = true
			r.monitor.RecordFailure(now)
		}
	}
	clear(r.observed[len(kept):])
	r.observed = kept
}

// observeAnswer records the first data of the host after a request. It reports whether the answer came so fast that it
// says nothing about the latency of the host.
func (r *Relay) observeAnswer(now time.Time, f *flowEntry, latency time.Duration) (quick bool) {
	if f.overdue {
		r.monitor.RecordLateAnswer()
		return false
	}
	return r.monitor.RecordAnswer(now, latency, f.class, f.crowded)
}

// observeReset records that the host has reset a flow or lost it, which is a failure if a request was in progress.
func (r *Relay) observeReset(now time.Time, f *flowEntry) {
	if f.busy && !f.overdue {
		r.monitor.RecordFailure(now)
	}
}

// Health returns the outcomes of the last requests for balancers, or the zero value if they are not to judge hosts.
func (r *Relay) Health(now time.Time) (h hosthealth.Report) {
	if r.judgeHosts {
		h = r.monitor.Report(now)
	}
	return h
}
