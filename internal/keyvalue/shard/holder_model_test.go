package shard

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"agateramp/internal/control/controlpb"
)

// TestMain sets a fixed seed and number of schedules, unless flags set others.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "7001", "rapid.checks": "1000", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	if os.Getenv("AGATERAMP_LONG") != "" && !set["rapid.checks"] {
		_ = flag.Set("rapid.checks", "20000")
	}
	goleak.VerifyTestMain(m)
}

// applyAction applies one fault or planned change.
func (m *model) applyAction(kind, which int, span time.Duration) {
	b, a := m.balancers[which%len(m.balancers)], m.agents[which%len(m.agents)]
	switch kind {
	case 0: // the process is paused, possibly until after its lease expires
		b.pausedUntil = m.now.Add(span)
	case 1: // the watches of the balancer lag behind
		b.watchesLagUntil = m.now.Add(span)
	case 2: // an outage of the store begins or ends
		m.storeDown = !m.storeDown
	case 3: // transactions or their answers are lost or delayed
		m.loseAnswers, m.dropWrites, m.delayWrites = which%40, which%30, which%25
	case 4: // a balancer dies or is replaced
		if b.alive {
			b.alive, b.holder, b.holderPeer = false, nil, nil
			for _, a := range m.agents {
				delete(a.streams, b.name)
			}
			return
		}
		m.startBalancer(b)
	case 5: // the lease of a dead or paused balancer expires
		if !m.running(b) {
			b.leased = false
		}
	case 6: // an agent restarts
		if a.alive {
			m.stopAgent(a)
		}
		m.startAgent(a)
	case 7: // an agent dies
		if a.alive {
			m.stopAgent(a)
		}
	case 8: // a planned stop
		if a.alive {
			a.leaving, a.leftAt = true, m.now
			m.stopAgent(a)
		}
	case 9: // the streams of most agents break at once, as when the agents fail
		for _, a := range m.agents[:4] {
			for _, b := range m.balancers {
				m.breakStream(a, b)
			}
		}
	case 10: // the definition of a service changes
		m.configure(func(s *Settings) {
			i := which % len(s.Services)
			s.Services[i] = ServiceSettings{Service: proto.Clone(s.Services[i].Service).(*controlpb.Service), ConfigVersion: s.Version}
		})
	case 11: // the weight and the drain of a host change
		m.configure(func(s *Settings) {
			s.Hosts[a.name] = HostSettings{HasWeight: true, Weight: uint32(500 + which%1000), Drain: which%2 == 0}
		})
	case 13: // a service is added or removed for good
		m.configure(func(s *Settings) {
			if len(s.Services) == 2 && m.entries[modelTableKeys[33]] == nil && !m.removedService33 {
				s.Services = append(s.Services, ServiceSettings{Service: &controlpb.Service{Id: 33, Name: "s33"}, ConfigVersion: s.Version})
			} else if len(s.Services) == 3 {
				s.Services, m.removedService33 = s.Services[:2], true
			}
		})
	case 12: // the stream of an agent at a balancer breaks
		if m.running(b) {
			m.breakStream(a, b)
		}
	}
}

// endFaults ends every fault and advances the time by up to 90 s, until the system is
// settled.
func (m *model) endFaults() {
	m.storeDown, m.loseAnswers, m.dropWrites, m.delayWrites = false, 0, 0, 0
	for _, b := range m.balancers {
		if !b.alive {
			m.startBalancer(b)
		}
		b.pausedUntil, b.watchesLagUntil = time.Time{}, time.Time{}
	}
	for _, a := range m.agents {
		if !a.alive {
			m.startAgent(a)
		}
	}
	for range 900 {
		if m.tick(); m.unsettled() == "" {
			return
		}
	}
}

// unsettled describes a difference from the state that the system must reach without
// faults. It returns "" if there is none.
func (m *model) unsettled() string {
	stored := m.storedSpecs()
	if len(stored) != len(m.settings.Services) {
		return fmt.Sprintf("%d of %d services have a spec", len(stored), len(m.settings.Services))
	}
	for i, st := range stored {
		spec, configured := st.Spec, m.settings.Services[i]
		listed := map[string]*controlpb.Member{}
		for _, member := range spec.GetVersions()[0].GetMembers() {
			listed[member.GetHost()] = member
		}
		for _, a := range m.agents {
			if member := listed[a.name]; a.id == spec.GetServiceId() && (member == nil || member.GetDraining() != m.settings.Hosts[a.name].Drain) {
				return fmt.Sprintf("service %d lists %s as %v", a.id, a.name, member)
			}
		}
		if configured.ConfigVersion != spec.GetConfigVersion() {
			return fmt.Sprintf("service %d has the definition of version %d, want %d", spec.GetServiceId(), spec.GetConfigVersion(), configured.ConfigVersion)
		}
		if n := len(spec.GetVersions()); n != 1 {
			return fmt.Sprintf("service %d still retains %d versions", spec.GetServiceId(), n)
		}
	}
	return ""
}

// TestSchedules guards against writes of a holder that has lost its shard, specs that go
// back to an earlier version, versions retired while in use, and lost changes. It applies
// random overlapping faults to the model.
func TestSchedules(t *testing.T) {
	committed, refused, lossesKept, schedules := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"))
		for range 60 {
			m.tick()
		}
		steps := rapid.IntRange(5, 40).Draw(t, "steps")
		for range steps {
			m.applyAction(rapid.IntRange(0, 13).Draw(t, "action"), rapid.IntRange(0, 999).Draw(t, "which"),
				time.Duration(rapid.IntRange(100, 12000).Draw(t, "span"))*time.Millisecond)
			for range rapid.IntRange(0, 30).Draw(t, "ticks") {
				m.tick()
			}
		}
		m.endFaults()
		schedules, committed, refused, lossesKept = schedules+1, committed+m.committed, refused+m.refused, lossesKept+m.lossesKept
		if len(m.violations) > 0 {
			t.Fatalf("%v", m.violations)
		}
		if difference := m.unsettled(); difference != "" {
			t.Fatalf("not settled 90 s after the faults ended: %s", difference)
		}
	})
	t.Logf("%d schedules, %d transactions committed, %d refused by a condition, %d times most members were lost and kept", schedules, committed, refused, lossesKept)
}
