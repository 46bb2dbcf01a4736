package relay

import (
	"slices"
	"time"

	"agateramp/internal/core/flow"
)

const (
	// minProbeInterval is the least time between two probes of the host.
	minProbeInterval = 250 * time.Millisecond
	// probeAfterHeartbeats is after how many heartbeat intervals without a heartbeat the host is probed.
	probeAfterHeartbeats = 1.5
	// minQuietTime is how long a host must have sent no packet for a refused probe to count. A host that is just
	// starting may receive packets before it accepts connections.
	minQuietTime = 200 * time.Millisecond
	// probeAfterSilence is how long a host may be silent while it has requests or first packets to answer before it is
	// probed. It is above the time that most requests take, so that few probes are made of hosts that are alive, and
	// leaves time for a second probe soon after minQuietTime.
	probeAfterSilence = 50 * time.Millisecond
)

// recordDelivery records that a packet that the host has to answer is delivered.
func (h *host) recordDelivery(now time.Time) {
	if !h.awaitedSince.After(h.quietSince) {
		h.awaitedSince = now
	}
}

// isSilent reports whether the host has been silent for probeAfterSilence although it has packets to answer.
func (r *Relay) isSilent(now time.Time) bool {
	offered := func(key flow.Key) bool { return r.flows[key] != nil && r.flows[key].state == stateOffered }
	if r.load.outstandingRequests == 0 && !slices.ContainsFunc(r.recentOffers, offered) {
		return false
	}
	since := r.host.quietSince
	if r.host.awaitedSince.After(since) {
		since = r.host.awaitedSince
	}
	return now.Sub(since) >= probeAfterSilence
}

// NeedsProbe reports whether the importer should try to connect to the host now, to learn whether its process runs: no
// heartbeat was received yet, or the host has deregistered or fallen silent. The next probe is due after minProbeInterval
// at the earliest, or once a host that refused a connection has been quiet for minQuietTime.
func (r *Relay) NeedsProbe(now time.Time) bool {
	h := &r.host
	if now.Before(h.nextProbeAt) {
		return false
	}
	switch {
	case h.phase == phaseAbsent:
		return false
	case h.phase == phaseUnseen, h.phase == phaseDeregistered:
	case h.unansweredCount > 0, h.refused, r.isSilent(now):
	case now.Sub(h.current.heardAt) > time.Duration(probeAfterHeartbeats*float64(r.heartbeatInterval)):
	default:
		return false
	}
	h.nextProbeAt = now.Add(minProbeInterval)
	return true
}

// HandleHostAbsent records that the machine refused a connection to the host because no process listens there: the host
// is not running and has lost all its flows. The decisions reset them. The next start of the host begins with its first
// heartbeat or packet. If the host was not quiet for minQuietTime, it only gets no new flows until the next probe.
func (r *Relay) HandleHostAbsent(now time.Time) (decisions []Decision) {
	h := &r.host
	ended := h.phase == phaseDeregistered && !h.quietSince.After(h.deregisteredAt)
	if quietAt := h.quietSince.Add(minQuietTime); now.Before(quietAt) && !ended {
		h.refused, h.nextProbeAt = true, quietAt
		return nil
	}
	h.endCurrent()
	h.refused = false
	h.maybeCold, r.seenAll = true, true
	for key, f := range r.flows {
		r.observeReset(now, f)
		if f.state == stateOpen && !f.ended {
			decisions = append(decisions, Reset{Flow: key, Sequence: f.resetSequence(), Reason: ReasonHostAbsent})
		}
		r.removeFlow(now, key, f)
	}
	return decisions
}

// HandleHostListens records that a process at the host's address accepted a connection. It says nothing of its start.
func (r *Relay) HandleHostListens() { r.host.refused = false }

// HostAbsent reports whether the host is known not to run.
func (r *Relay) HostAbsent() bool { return r.host.phase == phaseAbsent }
