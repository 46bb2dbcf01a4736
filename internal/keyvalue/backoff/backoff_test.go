package backoff

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestSleep guards against waits that are not spread over their range, that grow beyond
// the maximum, or that go on after their context has ended. Its time is virtual.
func TestSleep(t *testing.T) {
	cases := []struct {
		attempt   int
		low, high time.Duration
	}{
		{0, 0, 100 * time.Millisecond},
		{1, 100 * time.Millisecond, 300 * time.Millisecond},
		{3, 400 * time.Millisecond, 1200 * time.Millisecond},
		{1000, 2500 * time.Millisecond, 7500 * time.Millisecond},
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, c := range cases {
			lowest, highest := time.Hour, time.Duration(0)
			for range 500 {
				start := time.Now()
				is.NoErr(Policy{}.Sleep(t.Context(), c.attempt))
				waited := time.Since(start)
				lowest, highest = min(lowest, waited), max(highest, waited)
			}
			width := c.high - c.low
			is.True(lowest >= c.low && lowest < c.low+width/4)
			is.True(highest <= c.high && highest > c.high-width/4)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		is.True(errors.Is(Policy{First: time.Hour, Max: time.Hour}.Sleep(ctx, 1), context.DeadlineExceeded))
	})
}
