// Package pause detects that the process was paused, for example by a suspended machine,
// so that packets that waited in its sockets meanwhile are not processed.
package pause

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/process/group"
)

const (
	tickInterval = 100 * time.Millisecond
	// pauseThreshold is the shortest pause that is detected. It is far below the 10 s for
	// which agents keep records of refused and ended flows.
	pauseThreshold = 2 * time.Second
	// settleTime is how long readers have to empty their sockets after a pause.
	settleTime = 200 * time.Millisecond
)

// Config configures a Detector.
type Config struct {
	// Group runs the goroutine of the detector. It must be set.
	Group *group.Group
	// Now returns the time. If nil, time.Now is used.
	Now func() time.Time
}

// Detector reports whether a packet read now may have waited in a socket while the
// process was paused. Its caller has retransmitted it since and may have been refused, so
// the old copy must not start a flow or request. Its methods are safe for concurrent use.
type Detector struct {
	now func() time.Time
	// lastTick is when tick last ran, and staleUntil the end of the time in which packets
	// may date from before a pause, both in nanoseconds since started.
	started              time.Time
	lastTick, staleUntil atomic.Int64
}

// New returns a detector that runs until the group is stopped.
func New(c Config) (d *Detector, err error) {
	if c.Group == nil {
		return nil, errors.New("pause detector: group must be set")
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	d = &Detector{now: c.Now, started: c.Now()}
	c.Group.Every("pause detector", tickInterval, d.tick)
	return d, nil
}

// tick runs at tickInterval; a much later tick shows that the process was paused.
func (d *Detector) tick() {
	now := d.now().Sub(d.started)
	if now-time.Duration(d.lastTick.Load()) > pauseThreshold {
		d.staleUntil.Store(int64(now + settleTime))
	}
	d.lastTick.Store(int64(now))
}

// Stale reports whether a packet that is read at now may date from before a pause.
func (d *Detector) Stale(now time.Time) bool {
	since := int64(now.Sub(d.started))
	// tick writes staleUntil before lastTick. Stale reads them in the opposite order, so that
	// it cannot combine the new lastTick with the old staleUntil.
	return since-d.lastTick.Load() > int64(pauseThreshold) || since < d.staleUntil.Load()
}
