package pause

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/process/group"
)

// Guards against packets from before a pause that are taken after it, and against
// packets that are dropped for longer than their sockets need to be emptied.
func TestStaleAfterPause(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	now := start
	tasks := group.New(context.Background())
	// The clock of the group is stopped at once; the test ticks.
	tasks.Stop()
	g, err := New(Config{Group: tasks, Now: func() time.Time { return now }})
	is.NoErr(err)
	is.NoErr(tasks.Wait())
	is.True(!g.Stale(now))
	now = start.Add(limit)
	is.True(!g.Stale(now)) // a busy machine
	now = start.Add(limit + time.Second)
	is.True(g.Stale(now)) // before the first tick after the pause
	g.tick()
	is.True(g.Stale(now)) // after it, while sockets are emptied
	now = start.Add(limit + time.Second + settleTime)
	g.tick()
	is.True(!g.Stale(now))
}
