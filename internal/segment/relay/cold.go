package relay

import (
	"time"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/coldstart"
)

// SetColdRate sets how many new flows a second the host bears while it is cold, by a version of the configuration; 0
// states no limit.
func (r *Relay) SetColdRate(rate float64, version uint64) {
	if r.coldLimiter != nil {
		r.coldLimiter.SetPerSecond(rate, version)
	}
}

// isColdLimited reports whether the new flows of the host are limited, because it is cold, was cold within the last
// window, or may be cold.
func (r *Relay) isColdLimited(now time.Time) bool {
	return r.coldLimiter != nil && r.coldLimiter.IsLimited() && (r.host.maybeCold || now.Before(r.host.coldLimitedUntil))
}

// admitCold reports whether the first packet of a flow, or a copy of it, may be delivered to the host, and records it if
// so.
func (r *Relay) admitCold(now time.Time, key flow.Key) bool {
	return !r.isColdLimited(now) || r.coldLimiter.Admit(now, key)
}

// recordCold records until when the host is cold by a heartbeat of s, which is or may become the current start.
func (h *host) recordCold(now time.Time, s *hostStart) {
	until := s.coldUntil.Add(coldstart.Window)
	if s.coldUntil.After(now) && until.After(h.coldLimitedUntil) {
		h.coldLimitedUntil = until
	}
}

// blockCold admits no flow to a cold host for which an earlier run of the agent may have admitted some just before this
// one started.
func (r *Relay) blockCold() {
	if r.coldLimiter != nil {
		r.coldLimiter.Block(r.startedAt.Add(coldstart.Window))
	}
}
