package relay

import (
	"time"

	"agateramp/internal/segment/packet"
)

const (
	// latencyShare is the share of a new measurement in the moving average.
	latencyShare = 0.1
	// utilisationWindow is the time constant of the average utilisation.
	utilisationWindow = time.Second
	// maxLatency bounds a measurement; a caller that pauses in the middle of a
	// request is not the host's work.
	maxLatency = 5 * time.Second
	// abandonedTime is how long a request counts as work after the caller's last
	// packet of it. Callers that give up may say nothing, and repeat their packets at
	// least every 1.6 s before that.
	abandonedTime = 5 * time.Second
)

// load measures the work at the host from its packets.
type load struct {
	busy        int
	open        int
	latency     time.Duration
	utilisation float64
	updated     time.Time
}

// advance accounts the time since the last change of busy.
func (l *load) advance(now time.Time, slots int) {
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		share := min(float64(elapsed)/float64(utilisationWindow), 1)
		used := min(float64(l.busy)/float64(max(slots, 1)), 1)
		l.utilisation += (used - l.utilisation) * share
	}
	l.updated = now
}

// request notes that a caller's data went to the host.
func (r *Relay) request(now time.Time, f *entry) {
	if !f.busy {
		r.load.advance(now, r.host.slots)
		f.busy, f.requested = true, true
		r.load.busy++
	}
	f.asked = now
}

// response notes that the host sent data.
func (r *Relay) response(now time.Time, f *entry) {
	if !f.busy {
		return
	}
	r.idle(now, f)
	took := min(now.Sub(f.asked), maxLatency)
	r.answered(took)
	if r.load.latency == 0 {
		r.load.latency = took
		return
	}
	r.load.latency += time.Duration(float64(took-r.load.latency) * latencyShare)
}

// idle notes that the host no longer works for a flow.
func (r *Relay) idle(now time.Time, f *entry) {
	if f.busy {
		r.load.advance(now, r.host.slots)
		f.busy = false
		r.load.busy--
	}
}

// Load returns the work at the host.
func (r *Relay) Load(now time.Time) packet.Load {
	r.load.advance(now, r.host.slots)
	return packet.Load{
		Slots: r.host.slots, Busy: r.load.busy, Flows: len(r.flows),
		Latency: r.load.latency, Utilisation: r.load.utilisation,
	}
}
