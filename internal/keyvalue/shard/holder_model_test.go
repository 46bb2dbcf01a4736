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

// TestMain runs the schedules with a fixed seed unless flags say otherwise.
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

// act applies one drawn fault or planned change.
func (m *model) act(kind, which int, span time.Duration) {
	b, a := m.balancers[which%len(m.balancers)], m.agents[which%len(m.agents)]
	switch kind {
	case 0: // the process is paused, possibly past its lease
		b.pausedTill = m.now.Add(span)
	case 1: // its watches are behind
		b.lagTill = m.now.Add(span)
	case 2:
		m.storeDown = !m.storeDown
	case 3:
		m.loseAnswers, m.dropWrites, m.delayWrites = which%40, which%30, which%25
	case 4: // a balancer dies or is replaced
		if b.alive {
			b.alive, b.holds, b.peer = false, nil, nil
			for _, a := range m.agents {
				delete(a.streams, b.name)
			}
			return
		}
		m.startBalancer(b)
	case 5: // the lease of a dead or paused balancer ends
		if !m.running(b) {
			b.leased = false
		}
	case 6: // an agent restarts
		if a.alive {
			m.stopAgent(a)
		}
		m.startAgent(a)
	case 7:
		if a.alive {
			m.stopAgent(a)
		}
	case 8: // a planned stop
		if a.alive {
			a.leaving, a.leftAt = true, m.now
			m.stopAgent(a)
		}
	case 9: // most agents fail at once, or only their streams do
		for _, a := range m.agents[:4] {
			for _, b := range m.balancers {
				m.cut(a, b)
			}
		}
	case 10:
		m.configure(func(s *Settings) {
			i := which % len(s.Services)
			s.Services[i] = ServiceSettings{Service: proto.Clone(s.Services[i].Service).(*controlpb.Service), ConfigVersion: s.Version}
		})
	case 11:
		m.configure(func(s *Settings) {
			s.Hosts[a.name] = HostSettings{HasWeight: true, Weight: uint32(500 + which%1000), Drain: which%2 == 0}
		})
	case 13: // a service is added or removed for good
		m.configure(func(s *Settings) {
			if len(s.Services) == 2 && m.entries[modelTables[33]] == nil && !m.retired {
				s.Services = append(s.Services, ServiceSettings{Service: &controlpb.Service{Id: 33, Name: "s33"}, ConfigVersion: s.Version})
			} else if len(s.Services) == 3 {
				s.Services, m.retired = s.Services[:2], true
			}
		})
	case 12:
		if m.running(b) {
			m.cut(a, b)
		}
	}
}

// heal ends every fault and lets the system settle.
func (m *model) heal() {
	m.storeDown, m.loseAnswers, m.dropWrites, m.delayWrites = false, 0, 0, 0
	for _, b := range m.balancers {
		if !b.alive {
			m.startBalancer(b)
		}
		b.pausedTill, b.lagTill = time.Time{}, time.Time{}
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

// unsettled says what differs from the state that must be reached without faults.
func (m *model) unsettled() string {
	stored := m.stored()
	if len(stored) != len(m.settings.Services) {
		return fmt.Sprintf("%d of %d services have a spec", len(stored), len(m.settings.Services))
	}
	for i, st := range stored {
		spec, c := st.Spec, m.settings.Services[i]
		listed := map[string]*controlpb.Member{}
		for _, l := range spec.GetVersions()[0].GetMembers() {
			listed[l.GetHost()] = l
		}
		for _, a := range m.agents {
			if l := listed[a.name]; a.id == spec.GetServiceId() && (l == nil || l.GetDraining() != m.settings.Hosts[a.name].Drain) {
				return fmt.Sprintf("service %d lists %s as %v", a.id, a.name, l)
			}
		}
		if c.ConfigVersion != spec.GetConfigVersion() {
			return fmt.Sprintf("service %d has the definition of version %d, want %d", spec.GetServiceId(), spec.GetConfigVersion(), c.ConfigVersion)
		}
		if n := len(spec.GetVersions()); n != 1 {
			return fmt.Sprintf("service %d still retains %d versions", spec.GetServiceId(), n)
		}
	}
	return ""
}

// TestSchedules guards against writes by a fenced holder, reversions, versions
// retired while in use, and changes that are lost, over overlapping faults.
func TestSchedules(t *testing.T) {
	commits, refused, kept, schedules := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"))
		for range 60 {
			m.tick()
		}
		steps := rapid.IntRange(5, 40).Draw(t, "steps")
		for range steps {
			m.act(rapid.IntRange(0, 13).Draw(t, "action"), rapid.IntRange(0, 999).Draw(t, "which"),
				time.Duration(rapid.IntRange(100, 12000).Draw(t, "span"))*time.Millisecond)
			for range rapid.IntRange(0, 30).Draw(t, "ticks") {
				m.tick()
			}
		}
		m.heal()
		schedules, commits, refused, kept = schedules+1, commits+m.commits, refused+m.fenced, kept+m.kept
		if len(m.faults) > 0 {
			t.Fatalf("%v", m.faults)
		}
		if left := m.unsettled(); left != "" {
			t.Fatalf("90 s after the faults ended: %s", left)
		}
	})
	t.Logf("%d schedules, %d transactions committed, %d refused by a condition, %d losses of most members kept", schedules, commits, refused, kept)
}
