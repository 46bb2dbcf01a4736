package relay

import "time"

const (
	// minProbeInterval is the least time between two probes of the host.
	minProbeInterval = 250 * time.Millisecond
	// probeAfterHeartbeats is after how many heartbeat intervals without a heartbeat the host is probed.
	probeAfterHeartbeats = 1.5
	// minQuietTime is how long a host must have sent no packet for a refused probe to count. A host that is just
	// starting may receive packets before it accepts connections.
	minQuietTime = 200 * time.Millisecond
)

// NeedsProbe reports whether the importer should try to connect to the host now, to learn whether its process runs: no
// heartbeat was received yet, or the host has deregistered or fallen silent. The next probe is due after minProbeInterval
// at the earliest.
func (r *Relay) NeedsProbe(now time.Time) bool {
	h := &r.host
	if now.Before(h.nextProbeAt) {
		return false
	}
	switch {
	case h.phase == phaseAbsent:
		return false
	case h.phase == phaseUnseen, h.phase == phaseDeregistered:
	case h.unansweredCount > 0:
	case now.Sub(h.current.heardAt) > time.Duration(probeAfterHeartbeats*float64(r.heartbeatInterval)):
	default:
		return false
	}
	h.nextProbeAt = now.Add(minProbeInterval)
	return true
}

// HandleHostAbsent records that the machine refused a connection to the host because no process listens there: the host
// is not running and has lost all its flows. The decisions reset them. The next start of the host begins with its first
// heartbeat or packet.
func (r *Relay) HandleHostAbsent(now time.Time) (decisions []Decision) {
	h := &r.host
	ended := h.phase == phaseDeregistered && !h.quietSince.After(h.deregisteredAt)
	if now.Sub(h.quietSince) < minQuietTime && !ended {
		return nil
	}
	h.endCurrent()
	h.maybeCold, r.seenAll = true, true
	for key, f := range r.flows {
		if f.state == stateOpen && !f.ended {
			decisions = append(decisions, Reset{Flow: key, Sequence: f.resetSequence(), Reason: ReasonHostAbsent})
		}
		r.removeFlow(now, key, f)
	}
	return decisions
}

// HostAbsent reports whether the host is known not to run.
func (r *Relay) HostAbsent() bool { return r.host.phase == phaseAbsent }
