package registry

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"agateramp/internal/keyvalue/memory"
	"agateramp/internal/process/group"
)

// Guards against entries that outlive agents without a host by the whole length of a
// lease, and against short leases of agents that have one. Time is virtual.
func TestLeaseUntilHostIsHeard(t *testing.T) {
	for _, test := range []struct {
		name        string
		confirmed   bool
		least, most time.Duration
	}{
		{"no host", false, unconfirmedLeaseSeconds*time.Second - unconfirmedRenewInterval, unconfirmedLeaseSeconds * time.Second},
		{"host was heard", true, leaseSeconds*time.Second - renewInterval, leaseSeconds * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, err := memory.New(memory.Config{})
				is.NoErr(err)
				ctx, cancel := context.WithCancel(t.Context())
				tasks := group.New(ctx)
				k, err := NewKeeper(KeeperConfig{
					Store: s, Retries: NewRetryBudget(), Logger: log.NewNopLogger(),
					Entry: Entry{Node: "side-1", Address: netip.MustParseAddr("10.0.0.1"), Service: "studio"},
				})
				is.NoErr(err)
				tasks.Go("keeper", k.Run)
				synctest.Wait()
				listed := func() bool {
					entries, _, err := s.List(t.Context(), Prefix)
					is.NoErr(err)
					return len(entries) == 1
				}
				is.True(listed())
				if test.confirmed {
					k.Confirm()
				}
				time.Sleep(4 * leaseSeconds * time.Second)
				is.True(listed()) // it is renewed
				cancel()
				is.NoErr(tasks.Wait())
				var kept time.Duration
				for ; listed(); kept += 100 * time.Millisecond {
					time.Sleep(100 * time.Millisecond)
				}
				is.True(kept <= test.most)
				is.True(kept >= test.least)
			})
		})
	}
}
