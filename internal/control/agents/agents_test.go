package agents_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/keyvalue/shard"
)

// TestSystem guards against members, table versions and configurations that are lost, or return
// after their removal, when agents and shard holders are killed and when the store is down. It
// runs 4 balancers and 20 agents over loopback.
func TestSystem(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t)
	s.configure(2, nil)
	for range 3 {
		s.startBalancer()
	}
	for i := range 20 {
		s.startAgent(fmt.Sprintf("a%d", i), fmt.Sprintf("s%d", 1+i%2))
	}
	allListed := func(b *balancer) bool { return len(b.members(1)) == 10 && len(b.members(2)) == 10 }
	s.eventually("all members listed on every balancer", 10*time.Second, func() bool { return s.everywhere(allListed) })
	s.eventually("older versions retired", 10*time.Second, func() bool { return s.everywhere((*balancer).retainsOneVersion) })
	s.eventually("first configuration in force", time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool { return b.service.VersionInForce() == 1 })
	})
	s.eventually("grace time of the holders over", 12*time.Second, func() bool { return time.Since(s.started) > 11*time.Second })

	s.agents[0].group.Stop()
	address := netip.MustParseAddrPort("127.0.0.1:30000")
	s.eventually("killed agent suspected on every balancer", 3*time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool {
			b.tables.mu.Lock()
			defer b.tables.mu.Unlock()
			return b.tables.suspected[address]
		})
	})
	s.eventually("killed agent removed from the tables", 8*time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool { return len(b.members(1)) == 9 })
	})
	s.startAgent("a0", "s1")
	s.eventually("restarted agent listed", 5*time.Second, func() bool { return s.everywhere(allListed) })

	s.configure(2, map[string]shard.HostSettings{"a1": {Drain: true}})
	s.eventually("drain order received", 3*time.Second, func() bool { return s.agents[1].draining() })
	s.eventually("drain in force", 3*time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool { return b.service.VersionInForce() == 2 && b.members(2)["a1"].GetDraining() })
	})

	killed := s.holderOf(1)
	killed.kill()
	s.configure(2, nil)
	s.eventually("shards of the killed holder taken", 12*time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool {
			for _, h := range b.service.Holders() {
				if h.Name == killed.name {
					return false
				}
			}
			return len(b.service.Holders()) == shard.Count
		})
	})
	s.eventually("configuration in force under the new holder", 6*time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool { return b.service.VersionInForce() == 3 && !b.members(2)["a1"].GetDraining() })
	})
	s.eventually("drain ended at the host", 2*time.Second, func() bool { return !s.agents[1].draining() })

	s.faults.down.Store(true)
	var seed string
	for _, b := range s.balancers {
		if b != killed {
			seed = b.service.ControlAddress()
		}
	}
	newcomer := s.startBalancer(seed)
	s.eventually("specs received from a seed while the store is down", 5*time.Second, func() bool { return allListed(newcomer) })
	s.faults.down.Store(false)
	s.configure(3, nil)
	s.eventually("configuration in force after the outage", 15*time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool { return b.service.VersionInForce() == 4 && len(b.service.Specs()) == 3 })
	})
	s.requireNoReversions()
}

// TestSystemStoreFaults guards against a shard holder that goes on after its lease expired, and against
// lost configuration changes, when the store loses answers and when a holder is cut off from the
// store for longer than its lease.
func TestSystemStoreFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestSystem(t)
	s.configure(4, nil)
	for range 3 {
		s.startBalancer()
	}
	for i := range 8 {
		s.startAgent(fmt.Sprintf("a%d", i+50), fmt.Sprintf("s%d", 1+i%4))
	}
	s.faults.lostAnswersPercent.Store(30)
	for version := uint64(2); version < 8; version++ {
		s.configure(4, nil)
		s.eventually("configuration in force while answers are lost", 30*time.Second, func() bool {
			return s.everywhere(func(b *balancer) bool { return b.service.VersionInForce() == version })
		})
	}
	s.faults.lostAnswersPercent.Store(0)
	s.eventually("every shard held", 10*time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool { return len(b.service.Holders()) == shard.Count })
	})

	isolated := s.holderOf(1)
	fence := isolated.service.Holders()[1].Fence
	isolated.store.cutOff.Store(true)
	onOthers := func(condition func(b *balancer) bool) func() bool {
		return func() bool {
			return s.everywhere(func(b *balancer) bool { return b == isolated || condition(b) })
		}
	}
	s.eventually("shard taken from the holder that is cut off", 12*time.Second, onOthers(func(b *balancer) bool {
		h := b.service.Holders()[1]
		return h.Fence > fence && h.Name != isolated.name
	}))
	s.configure(4, nil)
	s.eventually("configuration in force while the old holder is cut off", 6*time.Second, onOthers(func(b *balancer) bool {
		return b.service.VersionInForce() == 8
	}))
	isolated.store.cutOff.Store(false)
	s.eventually("former holder follows the new one", 15*time.Second, func() bool {
		return isolated.service.Holders()[1].Fence > fence && isolated.service.VersionInForce() == 8
	})
	for id := range uint32(4) {
		e, _, err := s.memory.Get(context.Background(), shard.TableKey(id+1))
		is.NoErr(err)
		stored, err := shard.ParseTable(e)
		is.NoErr(err)
		is.Equal(stored.Spec.GetConfigVersion(), uint64(8))
	}
	s.requireNoReversions()
}

// requireNoReversions fails the test if a balancer or an agent received a spec that is older than
// the one before.
func (s *testSystem) requireNoReversions() {
	s.t.Helper()
	for _, b := range s.balancers {
		b.tables.mu.Lock()
		if len(b.tables.reversions) > 0 {
			s.t.Errorf("%s received older specs: %v", b.name, b.tables.reversions)
		}
		b.tables.mu.Unlock()
	}
	for _, a := range s.agents {
		a.mu.Lock()
		if a.reverted {
			s.t.Errorf("%s received an older spec", a.name)
		}
		a.mu.Unlock()
	}
}

// holderOf returns the balancer that holds shard n according to a live balancer.
func (s *testSystem) holderOf(n int) *balancer {
	for _, b := range s.balancers {
		if b.group.Context().Err() == nil {
			for _, candidate := range s.balancers {
				if candidate.name == b.service.Holders()[n].Name {
					return candidate
				}
			}
		}
	}
	s.t.Fatalf("shard %d has no holder", n)
	return nil
}
