package pause

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/process/group"
)

// Guards against packets from before a pause that are processed after it, and against
// packets that are dropped longer than it takes to empty the sockets.
func TestStaleAfterPause(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	now := start
	tasks := group.New(context.Background())
	// The group is stopped at once, so that only the test calls tick.
	tasks.Stop()
	d, err := New(Config{Group: tasks, Now: func() time.Time { return now }})
	is.NoErr(err)
	is.NoErr(tasks.Wait())
	is.True(!d.Stale(now))
	now = start.Add(pauseThreshold)
	is.True(!d.Stale(now)) // a busy machine
	now = start.Add(pauseThreshold + time.Second)
	is.True(d.Stale(now)) // before the first tick after the pause
	d.tick()
	is.True(d.Stale(now)) // after it, while sockets are emptied
	now = start.Add(pauseThreshold + time.Second + settleTime)
	d.tick()
	is.True(!d.Stale(now))
}
