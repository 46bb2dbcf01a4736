package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
)

// fixture runs the holder of service 1 with balancer b0. Its publications succeed at once,
// unless withholdAnswers is set.
type fixture struct {
	holder          *Holder
	now             time.Time
	effects         []Effect
	withholdAnswers bool // publications stay outstanding
	revision        int64
}

// settings returns a configuration with service 1.
func settings(version uint64, hosts map[string]HostSettings) *Settings {
	return &Settings{Version: version, Revision: int64(version), Hosts: hosts, Services: []ServiceSettings{
		{Service: &controlpb.Service{Id: 1, Name: "s1"}, ConfigVersion: version},
	}}
}

// newFixture returns a fixture with a holder that was just started and a stream of b0.
func newFixture(t *testing.T, c HolderConfig) *fixture {
	t.Helper()
	f := &fixture{now: time.Unix(1000, 0), revision: 100}
	c.Shard, c.Fence, c.Now = 1, 99, f.now
	h, err := NewHolder(c)
	is.New(t).NoErr(err)
	f.holder = h
	f.handle(BalancerConnected{"b0", 1})
	return f
}

// handle passes events to the holder and confirms a Publish that they cause.
func (f *fixture) handle(events ...Event) {
	for _, e := range events {
		f.effects = f.holder.Handle(f.now, e, f.effects)
	}
	if f.holder.inflight != nil && !f.withholdAnswers {
		f.revision++
		f.effects = f.holder.Handle(f.now, PublishConfirmed{f.revision}, f.effects)
	}
}

// advance moves the time forward in steps of 100 ms with a Tick each. b0 and the attached
// agents acknowledge every version, except those named in silent.
func (f *fixture) advance(d time.Duration, silent ...string) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(100 * time.Millisecond)
		isSilent := map[string]bool{}
		for _, name := range silent {
			isSilent[name] = true
		}
		version := NewestVersion(f.holder.Spec(1))
		if !isSilent["b0"] {
			f.handle(AckReceived{"b0", &controlpb.Ack{Name: "b0", ServiceId: 1, Version: version, Balancer: true}})
		}
		if s := f.holder.services[1]; s != nil {
			for _, m := range s.sortedMembers() {
				if !isSilent[m.name] {
					f.handle(AckReceived{"b0", &controlpb.Ack{Name: m.name, ServiceId: 1, Version: version, Transferred: true}})
				}
			}
		}
		f.handle(Tick{})
	}
}

// attach reports an agent at b0.
func (f *fixture) attach(host string, incarnation uint64, draining bool) {
	f.handle(MemberReported{"b0", &controlpb.MemberReport{Service: "s1", Member: &controlpb.Member{
		Host: host, Address: "127.0.0.1:1" + host[1:], Incarnation: incarnation, Weight: 1000, Draining: draining,
	}}})
}

// connectBalancer connects a balancer and reports one agent at it.
func (f *fixture) connectBalancer(balancer, host string) {
	f.handle(BalancerConnected{balancer, 1}, MemberReported{balancer, &controlpb.MemberReport{Service: "s1", Member: &controlpb.Member{
		Host: host, Address: "127.0.0.1:1" + host[1:], Incarnation: 1, Weight: 1000,
	}}})
}

// breakStream ends the stream of an agent at b0. Incarnation 9 is above those of the agents,
// so that the holder does not ignore the event as a delayed one.
func (f *fixture) breakStream(host string) {
	f.handle(HostSuspected{"b0", &controlpb.Suspect{ServiceId: 1, Host: host, Suspected: true, Incarnation: 9}})
}

// listedHosts returns the members of the newest version, with a minus sign before each that
// drains, or "none" if there is no spec.
func (f *fixture) listedHosts() (hosts string) {
	if f.holder.Spec(1) == nil {
		return "none"
	}
	for _, m := range f.holder.Spec(1).GetVersions()[0].GetMembers() {
		if m.GetDraining() {
			hosts += "-"
		}
		hosts += m.GetHost()
	}
	return hosts
}

// storedSpec returns the spec of service 1 with one version.
func storedSpec(version, config uint64, hosts ...string) []StoredSpec {
	spec := &controlpb.TableSpec{
		ServiceId: 1, ConfigVersion: config, Service: &controlpb.Service{Id: 1, Name: "s1"},
		Versions: []*controlpb.TableVersion{{Version: version}},
	}
	for _, h := range hosts {
		spec.Versions[0].Members = append(spec.Versions[0].Members, &controlpb.Member{
			Host: h, Address: "127.0.0.1:1" + h[1:], Weight: 1000, BaseWeight: 1000, Incarnation: 1,
		})
	}
	return []StoredSpec{{spec, 50}}
}

// TestMembership guards against a host that wrongly enters, leaves or stays in the table:
// after a takeover, the loss of streams, an announced departure, a drain, or a change of
// the configuration.
func TestMembership(t *testing.T) {
	four := []string{"a0", "a1", "a2", "a3"}
	for _, test := range []struct {
		name   string
		config HolderConfig
		run    func(f *fixture)
		want   string
	}{
		{
			"a new holder removes nobody within its grace time",
			HolderConfig{Settings: settings(1, nil), Stored: storedSpec(7, 1, four...)},
			func(f *fixture) { f.attach("a0", 1, false); f.advance(9 * time.Second) }, "a0a1a2a3",
		},
		{
			"a host lost after the takeover is removed",
			HolderConfig{Settings: settings(1, nil), Stored: storedSpec(7, 1, four...)},
			func(f *fixture) {
				for _, a := range four[:3] {
					f.attach(a, 1, false)
				}
				f.advance(11 * time.Second)
			}, "a0a1a2",
		},
		{
			"half of the members may be lost at once",
			HolderConfig{Settings: settings(1, nil), Stored: storedSpec(7, 1, four...)},
			func(f *fixture) { f.attach("a0", 1, false); f.attach("a1", 1, false); f.advance(30 * time.Second) }, "a0a1",
		},
		{
			"more than half lost at once are kept",
			HolderConfig{Settings: settings(1, nil), Stored: storedSpec(7, 1, four...)},
			func(f *fixture) { f.attach("a0", 1, false); f.advance(30 * time.Second) }, "a0a1a2a3",
		},
		{
			"a pause of the holder is no evidence against hosts",
			HolderConfig{Settings: settings(1, nil)},
			func(f *fixture) {
				for _, a := range four {
					f.attach(a, 1, false)
				}
				f.advance(12 * time.Second)
				f.now = f.now.Add(4 * time.Second)
				f.breakStream("a0")
				f.advance(4 * time.Second)
			}, "a0a1a2a3",
		},
		{
			"an agent that restarts within 3 s stays",
			HolderConfig{Settings: settings(1, nil)},
			func(f *fixture) {
				for _, a := range four {
					f.attach(a, 1, false)
				}
				f.advance(12 * time.Second)
				f.breakStream("a0")
				f.advance(2 * time.Second)
				f.attach("a0", 2, false)
				f.advance(5 * time.Second)
			}, "a0a1a2a3",
		},
		{
			"a host that announces its departure is removed at once",
			HolderConfig{Settings: settings(1, nil)},
			func(f *fixture) {
				f.attach("a0", 1, false)
				f.attach("a1", 1, false)
				f.advance(3 * time.Second)
				for _, a := range four[:2] {
					f.handle(MemberReported{"b0", &controlpb.MemberReport{Service: "s1", Gone: true, Member: &controlpb.Member{Host: a, Incarnation: 1}}})
				}
				f.advance(200 * time.Millisecond)
			}, "",
		},
		{
			"drains of the operator and of the agent",
			HolderConfig{Settings: settings(1, map[string]HostSettings{"a1": {Drain: true}})},
			func(f *fixture) {
				for _, a := range four[:3] {
					f.attach(a, 1, a == "a2")
				}
				f.advance(time.Second)
			}, "a0-a1-a2",
		},
		{
			"a drain ends with its override",
			HolderConfig{Settings: settings(1, map[string]HostSettings{"a0": {Drain: true}})},
			func(f *fixture) {
				f.attach("a0", 1, false)
				f.advance(time.Second)
				f.handle(SettingsChanged{settings(2, nil)})
				f.advance(3 * time.Second)
			}, "a0",
		},
		{
			"older settings do not end a drain",
			HolderConfig{Settings: settings(2, map[string]HostSettings{"a0": {Drain: true}})},
			func(f *fixture) {
				f.attach("a0", 1, false)
				f.advance(time.Second)
				f.handle(SettingsChanged{settings(1, nil)})
				f.advance(3 * time.Second)
			}, "-a0",
		},
		{
			"nothing is written by settings older than the takeover",
			HolderConfig{MinSettingsRevision: 3, Settings: settings(2, nil), Stored: storedSpec(7, 1, "a0")},
			func(f *fixture) { f.attach("a0", 1, true); f.advance(5 * time.Second) }, "a0",
		},
		{
			"a service newer than the settings is not deleted",
			HolderConfig{Settings: &Settings{Version: 2}, Stored: storedSpec(7, 3, "a0")},
			func(f *fixture) { f.advance(20 * time.Second) }, "a0",
		},
		{
			"a service removed from the configuration is deleted",
			HolderConfig{Settings: &Settings{Version: 4}, Stored: storedSpec(7, 3, "a0")},
			func(f *fixture) { f.advance(time.Second) }, "none",
		},
		{
			"of two hosts with one address the later process stays",
			HolderConfig{Settings: settings(1, nil)},
			func(f *fixture) {
				f.attach("a0", 1, false)
				f.advance(2 * time.Second)
				f.handle(MemberReported{"b0", &controlpb.MemberReport{Service: "s1", Member: &controlpb.Member{Host: "x", Address: "127.0.0.1:10", Incarnation: 5}}})
				f.advance(2 * time.Second)
			}, "x",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, test.config)
			test.run(f)
			is.New(t).Equal(f.listedHosts(), test.want)
		})
	}
}

// TestRetirement guards against retiring a version before all live balancers and agents
// have acknowledged a newer one, and against a silent agent that uses up the last retained
// version, which is reserved for urgent changes.
func TestRetirement(t *testing.T) {
	drains := func(f *fixture) {
		for v := uint64(2); v < 9; v++ {
			f.handle(SettingsChanged{settings(v, map[string]HostSettings{"a1": {Drain: v%2 == 0}})})
			f.advance(1500*time.Millisecond, "a0")
		}
	}
	for _, test := range []struct {
		name string
		run  func(f *fixture)
		// oldest and newest are the versions after run, as offsets from the only one before.
		oldest, newest int
	}{
		{"all acknowledge", func(f *fixture) { f.advance(3 * time.Second) }, 0, 0},
		{"a silent balancer keeps versions retained", func(f *fixture) {
			f.attach("a2", 1, true)
			f.advance(2*time.Second, "b0")
		}, 0, 1},
		{"a silent agent keeps versions retained", func(f *fixture) {
			f.attach("a2", 1, true)
			f.advance(2*time.Second, "a0")
		}, 0, 1},
		{"a restarted agent must acknowledge anew", func(f *fixture) {
			f.attach("a2", 1, false)
			f.advance(2*time.Second, "b0")
			f.attach("a0", 2, false)
			f.advance(2*time.Second, "a0")
		}, 0, 1},
		{"a leased balancer without a stream counts", func(f *fixture) {
			f.handle(BalancersChanged{[]string{"b0", "b7"}})
			f.attach("a2", 1, true)
			f.advance(2 * time.Second)
		}, 0, 1},
		{"a dead agent does not count", func(f *fixture) {
			f.breakStream("a0")
			f.advance(12 * time.Second)
		}, 1, 1},
		{"at most 4 are retained", drains, 0, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, HolderConfig{Settings: settings(1, nil)})
			for i := range 2 {
				f.attach(fmt.Sprintf("a%d", i), 1, false)
			}
			f.advance(12 * time.Second)
			base := NewestVersion(f.holder.Spec(1))
			is.Equal(OldestVersion(f.holder.Spec(1)), base)
			test.run(f)
			is.Equal(int(OldestVersion(f.holder.Spec(1))-base), test.oldest)
			is.Equal(int(NewestVersion(f.holder.Spec(1))-base), test.newest)
		})
	}
}

// TestDefinition guards against a new definition that waits behind other changes, and
// against a publication that is sent twice while its outcome is unknown.
func TestDefinition(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, HolderConfig{Settings: settings(1, nil)})
	f.advance(time.Second)
	is.Equal(f.holder.Spec(1).GetConfigVersion(), uint64(1))
	f.withholdAnswers, f.effects = true, nil
	f.handle(SettingsChanged{settings(2, nil)})
	f.advance(300 * time.Millisecond)
	count := 0
	for _, e := range f.effects {
		if p, ok := e.(*Publish); ok {
			count++
			is.Equal(p.Changes[0].Spec.GetConfigVersion(), uint64(2))
			is.Equal(p.Changes[0].Revision, f.revision)
		}
	}
	is.Equal(count, 1)
	f.withholdAnswers = false
	f.handle(PublishUnconfirmed{[]StoredSpec{{f.holder.Spec(1), f.revision}}})
	f.advance(300 * time.Millisecond)
	is.Equal(f.holder.Spec(1).GetConfigVersion(), uint64(2))
}

// TestSuspicion guards against three faults: balancers do not receive the suspicion of a
// dead host, they receive it before a new holder can know, or the loss of one of several
// streams causes it.
func TestSuspicion(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, HolderConfig{Settings: settings(1, nil), Stored: storedSpec(7, 1, "a0", "a1", "a2")})
	suspicions := func() (text string) {
		for _, e := range f.effects {
			if s, ok := e.(*SendSuspicion); ok {
				text += fmt.Sprintf("%s %s %v;", s.Balancer, s.Suspect.GetHost(), s.Suspect.GetSuspected())
			}
		}
		f.effects = nil
		return text
	}
	f.handle(BalancerConnected{"b1", 1})
	f.attach("a0", 1, false)
	f.attach("a2", 1, false)
	f.handle(MemberReported{"b1", &controlpb.MemberReport{Service: "s1", Member: &controlpb.Member{Host: "a0", Address: "127.0.0.1:10", Incarnation: 1}}})
	f.advance(9 * time.Second)
	is.Equal(suspicions(), "")
	f.advance(2 * time.Second)
	is.Equal(suspicions(), " a1 true;")
	f.breakStream("a0")
	is.Equal(suspicions(), "")
	f.handle(HostSuspected{"b1", &controlpb.Suspect{ServiceId: 1, Host: "a0", Suspected: true, Incarnation: 1}})
	is.Equal(suspicions(), " a0 true;")
	f.handle(BalancerConnected{"b2", 1})
	is.Equal(suspicions(), "b2 a0 true;b2 a1 true;")
	f.attach("a0", 2, false)
	is.Equal(suspicions(), " a0 false;")
}
