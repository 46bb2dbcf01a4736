package config

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/keyvalue/memory"
	"agateramp/internal/process/group"
	"agateramp/internal/standin/etcdserver"
)

// Guards against balancers that all call the store at the same moment after an outage,
// and against balancers that poll it while nothing changes. Times are virtual.
func TestFleetAfterOutage(t *testing.T) {
	const balancers = 720
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, err := memory.New(memory.Config{})
		is.NoErr(err)
		faults := etcdserver.NewFaults(m)
		tasks := group.New(context.Background())
		versions := make([]uint64, balancers)
		for n := range balancers {
			tasks.Go("balancer", func(ctx context.Context) error {
				_ = WatchManifests(ctx, WatchConfig{Store: faults.Store("balancer")}, func(m *Manifest) error {
					versions[n] = m.Version
					return nil
				})
				return nil
			})
		}
		calls := func() (sum int64) {
			for _, n := range faults.Calls() {
				sum += n
			}
			return sum
		}
		peak := func(seconds int) (highest int64) {
			for range seconds {
				before := calls()
				time.Sleep(time.Second)
				synctest.Wait()
				highest = max(highest, calls()-before)
			}
			return highest
		}
		inForce := func(version uint64) (count int) {
			for _, v := range versions {
				if v >= version {
					count++
				}
			}
			return count
		}
		apply := func(n int) {
			_, err := Apply(t.Context(), m, newChange(fmt.Sprint("c", n), "a", readSource(t, studioConfig,
				fmt.Sprintf(`{"services":{"studio":{"drain_time_ms":%d}}}`, n))))
			is.NoErr(err)
		}
		time.Sleep(time.Minute)
		before := calls()
		apply(1)
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(inForce(1), balancers)
		is.Equal(calls(), before) // A new version costs a balancer no call.

		faults.Set(etcdserver.Settings{Down: true})
		during := peak(60)
		apply(2)
		faults.Set(etcdserver.Settings{})
		after := peak(20)
		t.Logf("%d balancers: peak %d calls/s during and %d calls/s after an outage", balancers, during, after)
		is.True(during <= 200)
		is.True(after <= 200)
		is.Equal(inForce(2), balancers)
		is.Equal(peak(60), int64(0))
		tasks.Stop()
		is.NoErr(tasks.Wait())
	})
}
