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

// TestSystem runs 4 balancers and 20 agents over loopback and guards against
// members, versions and configurations that are lost, or come back, when agents
// and shard holders are killed and the store is down.
func TestSystem(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.configure(2, nil)
	for range 3 {
		s.startBalancer()
	}
	for i := range 20 {
		s.startHost(fmt.Sprintf("a%d", i), fmt.Sprintf("s%d", 1+i%2))
	}
	full := func(b *balancer) bool { return len(b.members(1)) == 10 && len(b.members(2)) == 10 }
	s.eventually("all members listed everywhere", 10*time.Second, func() bool { return s.everywhere(full) })
	s.eventually("older versions retired", 10*time.Second, func() bool { return s.everywhere((*balancer).settled) })
	s.eventually("first configuration in force", time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool { return b.service.VersionInForce() == 1 })
	})
	s.eventually("grace time of the holders over", 12*time.Second, func() bool { return time.Since(s.started) > 11*time.Second })

	s.hosts[0].group.Stop()
	address := netip.MustParseAddrPort("127.0.0.1:30000")
	s.eventually("killed agent suspected everywhere", 3*time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool {
			b.tables.mu.Lock()
			defer b.tables.mu.Unlock()
			return b.tables.suspected[address]
		})
	})
	s.eventually("killed agent left out", 8*time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool { return len(b.members(1)) == 9 })
	})
	s.startHost("a0", "s1")
	s.eventually("restarted agent listed", 5*time.Second, func() bool { return s.everywhere(full) })

	s.configure(2, map[string]shard.HostSettings{"a1": {Drain: true}})
	s.eventually("drained host knows", 3*time.Second, func() bool { return s.hosts[1].draining() })
	s.eventually("drain in force", 3*time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool { return b.service.VersionInForce() == 2 && b.members(2)["a1"].GetDraining() })
	})

	dead := s.holderOf(1)
	dead.kill()
	s.configure(2, nil)
	s.eventually("shards of the killed holder taken", 12*time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool {
			for _, h := range b.service.Holders() {
				if h.Name == dead.name {
					return false
				}
			}
			return len(b.service.Holders()) == shard.Shards
		})
	})
	s.eventually("configuration in force under the new holder", 6*time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool { return b.service.VersionInForce() == 3 && !b.members(2)["a1"].GetDraining() })
	})
	s.eventually("drain ended at the host", 2*time.Second, func() bool { return !s.hosts[1].draining() })

	s.faults.down.Store(true)
	var seed string
	for _, b := range s.balancers {
		if b != dead {
			seed = b.service.ControlAddress()
		}
	}
	late := s.startBalancer(seed)
	s.eventually("specs learned while the store is down", 5*time.Second, func() bool { return full(late) })
	s.faults.down.Store(false)
	s.configure(3, nil)
	s.eventually("configuration in force after the outage", 15*time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool { return b.service.VersionInForce() == 4 && len(b.service.Specs()) == 3 })
	})
	s.checkReversions()
}

// TestStoreFaults guards against a holder that goes on without its lease, and
// against changes that are lost, when answers are lost and the holder of shards
// is cut off from the store for longer than its lease.
func TestStoreFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t)
	s.configure(4, nil)
	for range 3 {
		s.startBalancer()
	}
	for i := range 8 {
		s.startHost(fmt.Sprintf("a%d", i+50), fmt.Sprintf("s%d", 1+i%4))
	}
	s.faults.lost.Store(30)
	for version := uint64(2); version < 8; version++ {
		s.configure(4, nil)
		s.eventually("configuration in force while answers are lost", 30*time.Second, func() bool {
			return s.everywhere(func(b *balancer) bool { return b.service.VersionInForce() == version })
		})
	}
	s.faults.lost.Store(0)
	s.eventually("every shard held", 10*time.Second, func() bool {
		return s.everywhere(func(b *balancer) bool { return len(b.service.Holders()) == shard.Shards })
	})

	paused := s.holderOf(1)
	fence := paused.service.Holders()[1].Fence
	paused.store.cut.Store(true)
	others := func(holds func(b *balancer) bool) func() bool {
		return func() bool {
			return s.everywhere(func(b *balancer) bool { return b == paused || holds(b) })
		}
	}
	s.eventually("shard taken from the holder that is cut off", 12*time.Second, others(func(b *balancer) bool {
		h := b.service.Holders()[1]
		return h.Fence > fence && h.Name != paused.name
	}))
	s.configure(4, nil)
	s.eventually("configuration in force while the old holder is cut off", 6*time.Second, others(func(b *balancer) bool {
		return b.service.VersionInForce() == 8
	}))
	paused.store.cut.Store(false)
	s.eventually("old holder knows the new one", 15*time.Second, func() bool {
		return paused.service.Holders()[1].Fence > fence && paused.service.VersionInForce() == 8
	})
	for id := range uint32(4) {
		e, _, err := s.memory.Get(context.Background(), shard.TableKey(id+1))
		is.NoErr(err)
		stored, err := shard.ParseTable(e)
		is.NoErr(err)
		is.Equal(stored.Spec.GetConfigVersion(), uint64(8))
	}
	s.checkReversions()
}

func (s *system) checkReversions() {
	s.t.Helper()
	for _, b := range s.balancers {
		b.tables.mu.Lock()
		if len(b.tables.reverted) > 0 {
			s.t.Errorf("%s: %v", b.name, b.tables.reverted)
		}
		b.tables.mu.Unlock()
	}
	for _, h := range s.hosts {
		h.mu.Lock()
		if h.reverted {
			s.t.Errorf("%s got an older spec", h.name)
		}
		h.mu.Unlock()
	}
}

// holderOf returns the balancer that holds a shard.
func (s *system) holderOf(n int) *balancer {
	for _, b := range s.balancers {
		if b.group.Context().Err() == nil {
			for _, o := range s.balancers {
				if o.name == b.service.Holders()[n].Name {
					return o
				}
			}
		}
	}
	s.t.Fatalf("shard %d has no holder", n)
	return nil
}
