// Package pause notices that the process did not run for a while.
package pause

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/process/group"
)

const (
	beatInterval = 100 * time.Millisecond
	// limit is far below the 10 s for which agents remember refused and ended flows.
	limit = 2 * time.Second
	// settleTime lets readers empty their sockets after a pause.
	settleTime = 200 * time.Millisecond
)

// Config configures a Guard.
type Config struct {
	// Group runs the clock. It must be set.
	Group *group.Group
	// Now returns the time. Empty means time.Now.
	Now func() time.Time
}

// Detector tells whether packets read now may have waited in a socket while the
// process was paused. Their callers have sent them again since and may have been
// refused, so such a copy must not start anything. Its methods are safe for
// concurrent use.
type Detector struct {
	now func() time.Time
	// beat is when the process was last seen to run, and stale the end of the time
	// in which packets are old, in nanoseconds since started.
	started     time.Time
	beat, stale atomic.Int64
}

// New returns a guard that runs with the group.
func New(c Config) (g *Detector, err error) {
	if c.Group == nil {
		return nil, errors.New("pause guard: group must be set")
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	g = &Detector{now: c.Now, started: c.Now()}
	c.Group.Every("pause guard", beatInterval, g.tick)
	return g, nil
}

func (g *Detector) tick() {
	now := g.now().Sub(g.started)
	if now-time.Duration(g.beat.Load()) > limit {
		g.stale.Store(int64(now + settleTime))
	}
	g.beat.Store(int64(now))
}

// Stale reports whether packets read at a time may be from before a pause.
func (g *Detector) Stale(now time.Time) bool {
	since := int64(now.Sub(g.started))
	// The stale time is written before the beat, and so read after it.
	return since-g.beat.Load() > int64(limit) || since < g.stale.Load()
}
