// Package coldstart limits the new flows of hosts that have just started and are slow.
//
// The agent beside a host admits flows with a Limiter. A balancer uses Capacity to find out which of the flows that wait
// for cold hosts can be served in time.
//
// The package does no I/O and reads no clock.
package coldstart

import (
	"maps"
	"math"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/core/flow"
)

// Window is the span of time in which the flows that a host gets are limited: one second, and some time for clocks that
// round.
const Window = time.Second + 10*time.Millisecond

// Bounds are how far the figure of the configuration may be exceeded.
type Bounds struct {
	// Excess is the factor of the figure, and Slack is added to the product. If both are 0, the limit is 0.
	Excess, Slack float64
}

// Limit returns the most new flows in any Window for a host that bears perSecond of them.
func (b Bounds) Limit(perSecond float64) int {
	return int(min(math.Floor(perSecond*b.Excess+b.Slack), math.MaxInt32))
}

// Limiter admits the new flows of a cold host. It is not safe for concurrent use.
type Limiter struct {
	bounds Bounds
	// perSecond is how many new flows a second the host bears, and version is that of the configuration which states it;
	// 0 means that no limit is stated. perSecondKnown is set once one is known.
	perSecond      float64
	perSecondKnown bool
	version        uint64
	// admitted holds the flows that were last admitted within a Window.
	admitted map[flow.Key]time.Time
	// blockedUntil is until when no flow is admitted.
	blockedUntil time.Time
}

// NewLimiter returns a limiter that does not know the figure of the configuration. It fails if a bound is negative or not
// a number.
func NewLimiter(b Bounds) (l *Limiter, err error) {
	if !(b.Excess >= 0) || !(b.Slack >= 0) {
		return nil, errors.Errorf("cold start: bounds are %v and %v; they must not be negative", b.Excess, b.Slack)
	}
	return &Limiter{bounds: b, admitted: make(map[flow.Key]time.Time)}, nil
}

// SetPerSecond sets how many new flows a second the host bears while it is cold, by a configuration. It does nothing if
// the figure of a later configuration is known. A figure of 0 states no limit.
func (l *Limiter) SetPerSecond(perSecond float64, version uint64) {
	if l.perSecondKnown && version < l.version {
		return
	}
	l.perSecond, l.version, l.perSecondKnown = perSecond, version, true
}

// IsLimited reports whether there is a limit. While the figure is not known, there is one.
func (l *Limiter) IsLimited() bool { return !l.perSecondKnown || l.perSecond > 0 }

// limit returns the most flows in any Window. Without the figure it is the slack, which is never above the limit.
func (l *Limiter) limit() int { return l.bounds.Limit(l.perSecond) }

// Block admits no flow until a time, because those that were admitted before are not known.
func (l *Limiter) Block(until time.Time) { l.blockedUntil = until }

// Admit reports whether the first packet of a flow may be delivered to the host now, and records it if so. Copies of a
// first packet that was admitted within the last Window are always admitted.
func (l *Limiter) Admit(now time.Time, key flow.Key) bool {
	_, isCopy := l.admitted[key]
	if !isCopy || !l.isRecent(now, l.admitted[key]) {
		if l.Room(now) == 0 {
			return false
		}
	}
	l.admitted[key] = now
	return true
}

// Room returns how many flows are admitted now.
func (l *Limiter) Room(now time.Time) int {
	if now.Before(l.blockedUntil) {
		return 0
	}
	maps.DeleteFunc(l.admitted, func(_ flow.Key, at time.Time) bool { return !l.isRecent(now, at) })
	return max(l.limit()-len(l.admitted), 0)
}

// isRecent reports whether a time is in the Window that ends now.
func (l *Limiter) isRecent(now, at time.Time) bool { return now.Sub(at) <= Window }
