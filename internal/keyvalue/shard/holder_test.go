package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
)

// rig is a holder of service 1 with balancer b0, whose publications succeed at once.
type rig struct {
	h       *Holder
	now     time.Time
	effects []Effect
	hold    bool // publications stay outstanding
	written int64
}

func settings(version uint64, hosts map[string]HostSettings) *Settings {
	return &Settings{Version: version, Revision: int64(version), Hosts: hosts, Services: []ServiceSettings{
		{Service: &controlpb.Service{Id: 1, Name: "s1"}, ConfigVersion: version},
	}}
}

func newRig(t *testing.T, c HolderConfig) *rig {
	t.Helper()
	r := &rig{now: time.Unix(1000, 0), written: 100}
	c.Shard, c.Fence, c.Now = 1, 99, r.now
	h, err := NewHolder(c)
	is.New(t).NoErr(err)
	r.h = h
	r.do(BalancerConnected{"b0", 1})
	return r
}

func (r *rig) do(events ...Event) {
	for _, e := range events {
		r.effects = r.h.Handle(r.now, e, r.effects)
	}
	if r.h.inflight != nil && !r.hold {
		r.written++
		r.effects = r.h.Handle(r.now, Published{r.written}, r.effects)
	}
}

// wait ticks for a while; b0 and the attached agents acknowledge every version unless silent.
func (r *rig) wait(d time.Duration, silent ...string) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(100 * time.Millisecond)
		quiet := map[string]bool{}
		for _, name := range silent {
			quiet[name] = true
		}
		version := NewestVersion(r.h.Spec(1))
		if !quiet["b0"] {
			r.do(Acked{"b0", &controlpb.Ack{Name: "b0", ServiceId: 1, Version: version, Balancer: true}})
		}
		if s := r.h.services[1]; s != nil {
			for _, m := range s.ordered() {
				if !quiet[m.name] {
					r.do(Acked{"b0", &controlpb.Ack{Name: m.name, ServiceId: 1, Version: version, Transferred: true}})
				}
			}
		}
		r.do(Tick{})
	}
}

func (r *rig) attach(host string, incarnation uint64, draining bool) {
	r.do(Reported{"b0", &controlpb.MemberReport{Service: "s1", Member: &controlpb.Member{
		Host: host, Address: "127.0.0.1:1" + host[1:], Incarnation: incarnation, Weight: 1000, Draining: draining,
	}}})
}

// attachAt connects a balancer that reports one host.
func (r *rig) attachAt(balancer, host string) {
	r.do(BalancerConnected{balancer, 1}, Reported{balancer, &controlpb.MemberReport{Service: "s1", Member: &controlpb.Member{
		Host: host, Address: "127.0.0.1:1" + host[1:], Incarnation: 1, Weight: 1000,
	}}})
}

func (r *rig) lose(host string) {
	r.do(Suspected{"b0", &controlpb.Suspect{ServiceId: 1, Host: host, Suspected: true, Incarnation: 9}})
}

// hosts returns the newest members, those that drain with a minus sign.
func (r *rig) hosts() (hosts string) {
	if r.h.Spec(1) == nil {
		return "none"
	}
	for _, m := range r.h.Spec(1).GetVersions()[0].GetMembers() {
		if m.GetDraining() {
			hosts += "-"
		}
		hosts += m.GetHost()
	}
	return hosts
}

func stored(version, config uint64, hosts ...string) []StoredSpec {
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

// TestMembership guards the rules by which hosts enter and leave the table.
func TestMembership(t *testing.T) {
	four := []string{"a0", "a1", "a2", "a3"}
	for _, test := range []struct {
		name   string
		config HolderConfig
		run    func(r *rig)
		want   string
	}{
		{
			"a new holder removes nobody within its grace time",
			HolderConfig{Settings: settings(1, nil), Stored: stored(7, 1, four...)},
			func(r *rig) { r.attach("a0", 1, false); r.wait(9 * time.Second) }, "a0a1a2a3",
		},
		{
			"a host lost after the takeover is removed",
			HolderConfig{Settings: settings(1, nil), Stored: stored(7, 1, four...)},
			func(r *rig) {
				for _, a := range four[:3] {
					r.attach(a, 1, false)
				}
				r.wait(11 * time.Second)
			}, "a0a1a2",
		},
		{
			"half of the members may be lost at once",
			HolderConfig{Settings: settings(1, nil), Stored: stored(7, 1, four...)},
			func(r *rig) { r.attach("a0", 1, false); r.attach("a1", 1, false); r.wait(30 * time.Second) }, "a0a1",
		},
		{
			"more than half lost at once are kept",
			HolderConfig{Settings: settings(1, nil), Stored: stored(7, 1, four...)},
			func(r *rig) { r.attach("a0", 1, false); r.wait(30 * time.Second) }, "a0a1a2a3",
		},
		{
			"a pause of the holder is no evidence against hosts",
			HolderConfig{Settings: settings(1, nil)},
			func(r *rig) {
				for _, a := range four {
					r.attach(a, 1, false)
				}
				r.wait(12 * time.Second)
				r.now = r.now.Add(4 * time.Second)
				r.lose("a0")
				r.wait(4 * time.Second)
			}, "a0a1a2a3",
		},
		{
			"an agent that restarts within 3 s stays",
			HolderConfig{Settings: settings(1, nil)},
			func(r *rig) {
				for _, a := range four {
					r.attach(a, 1, false)
				}
				r.wait(12 * time.Second)
				r.lose("a0")
				r.wait(2 * time.Second)
				r.attach("a0", 2, false)
				r.wait(5 * time.Second)
			}, "a0a1a2a3",
		},
		{
			"a host that says that it leaves goes at once",
			HolderConfig{Settings: settings(1, nil)},
			func(r *rig) {
				r.attach("a0", 1, false)
				r.attach("a1", 1, false)
				r.wait(3 * time.Second)
				for _, a := range four[:2] {
					r.do(Reported{"b0", &controlpb.MemberReport{Service: "s1", Gone: true, Member: &controlpb.Member{Host: a, Incarnation: 1}}})
				}
				r.wait(200 * time.Millisecond)
			}, "",
		},
		{
			"drains of the operator and of the agent",
			HolderConfig{Settings: settings(1, map[string]HostSettings{"a1": {Drain: true}})},
			func(r *rig) {
				for _, a := range four[:3] {
					r.attach(a, 1, a == "a2")
				}
				r.wait(time.Second)
			}, "a0-a1-a2",
		},
		{
			"a drain ends with its override",
			HolderConfig{Settings: settings(1, map[string]HostSettings{"a0": {Drain: true}})},
			func(r *rig) {
				r.attach("a0", 1, false)
				r.wait(time.Second)
				r.do(SettingsChanged{settings(2, nil)})
				r.wait(3 * time.Second)
			}, "a0",
		},
		{
			"older settings do not end a drain",
			HolderConfig{Settings: settings(2, map[string]HostSettings{"a0": {Drain: true}})},
			func(r *rig) {
				r.attach("a0", 1, false)
				r.wait(time.Second)
				r.do(SettingsChanged{settings(1, nil)})
				r.wait(3 * time.Second)
			}, "-a0",
		},
		{
			"nothing is written by settings older than the takeover",
			HolderConfig{MinSettings: 3, Settings: settings(2, nil), Stored: stored(7, 1, "a0")},
			func(r *rig) { r.attach("a0", 1, true); r.wait(5 * time.Second) }, "a0",
		},
		{
			"a service newer than the settings is not deleted",
			HolderConfig{Settings: &Settings{Version: 2}, Stored: stored(7, 3, "a0")},
			func(r *rig) { r.wait(20 * time.Second) }, "a0",
		},
		{
			"a service that the configuration dropped is deleted",
			HolderConfig{Settings: &Settings{Version: 4}, Stored: stored(7, 3, "a0")},
			func(r *rig) { r.wait(time.Second) }, "none",
		},
		{
			"of two hosts with one address the later process stays",
			HolderConfig{Settings: settings(1, nil)},
			func(r *rig) {
				r.attach("a0", 1, false)
				r.wait(2 * time.Second)
				r.do(Reported{"b0", &controlpb.MemberReport{Service: "s1", Member: &controlpb.Member{Host: "x", Address: "127.0.0.1:10", Incarnation: 5}}})
				r.wait(2 * time.Second)
			}, "x",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, test.config)
			test.run(r)
			is.New(t).Equal(r.hosts(), test.want)
		})
	}
}

// TestRetirement guards against retiring a version before all live balancers and
// agents have moved on, and against a silent one that uses up the last version,
// which is kept free for urgent changes.
func TestRetirement(t *testing.T) {
	drains := func(r *rig) {
		for v := uint64(2); v < 9; v++ {
			r.do(SettingsChanged{settings(v, map[string]HostSettings{"a1": {Drain: v%2 == 0}})})
			r.wait(1500*time.Millisecond, "a0")
		}
	}
	for _, test := range []struct {
		name           string
		run            func(r *rig)
		oldest, newest int
	}{
		{"all acknowledge", func(r *rig) { r.wait(3 * time.Second) }, 0, 0},
		{"a silent balancer holds versions", func(r *rig) {
			r.attach("a2", 1, true)
			r.wait(2*time.Second, "b0")
		}, 0, 1},
		{"a silent agent holds versions", func(r *rig) {
			r.attach("a2", 1, true)
			r.wait(2*time.Second, "a0")
		}, 0, 1},
		{"a restarted agent must acknowledge anew", func(r *rig) {
			r.attach("a2", 1, false)
			r.wait(2*time.Second, "b0")
			r.attach("a0", 2, false)
			r.wait(2*time.Second, "a0")
		}, 0, 1},
		{"a leased balancer without a stream counts", func(r *rig) {
			r.do(BalancersChanged{[]string{"b0", "b7"}})
			r.attach("a2", 1, true)
			r.wait(2 * time.Second)
		}, 0, 1},
		{"a dead agent does not count", func(r *rig) {
			r.lose("a0")
			r.wait(12 * time.Second)
		}, 1, 1},
		{"at most 4 are retained", drains, 0, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, HolderConfig{Settings: settings(1, nil)})
			for i := range 2 {
				r.attach(fmt.Sprintf("a%d", i), 1, false)
			}
			r.wait(12 * time.Second)
			base := NewestVersion(r.h.Spec(1))
			is.Equal(OldestVersion(r.h.Spec(1)), base)
			test.run(r)
			is.Equal(int(OldestVersion(r.h.Spec(1))-base), test.oldest)
			is.Equal(int(NewestVersion(r.h.Spec(1))-base), test.newest)
		})
	}
}

// TestDefinition guards against a definition that waits behind other changes and
// against a publication that is sent twice while its outcome is unknown.
func TestDefinition(t *testing.T) {
	is := is.New(t)
	r := newRig(t, HolderConfig{Settings: settings(1, nil)})
	r.wait(time.Second)
	is.Equal(r.h.Spec(1).GetConfigVersion(), uint64(1))
	r.hold, r.effects = true, nil
	r.do(SettingsChanged{settings(2, nil)})
	r.wait(300 * time.Millisecond)
	count := 0
	for _, e := range r.effects {
		if p, ok := e.(*Publish); ok {
			count++
			is.Equal(p.Changes[0].Spec.GetConfigVersion(), uint64(2))
			is.Equal(p.Changes[0].Revision, r.written)
		}
	}
	is.Equal(count, 1)
	r.hold = false
	r.do(Reread{[]StoredSpec{{r.h.Spec(1), r.written}}})
	r.wait(300 * time.Millisecond)
	is.Equal(r.h.Spec(1).GetConfigVersion(), uint64(2))
}

// TestSuspicion guards against balancers that are not told of a dead host, or
// are told before the new holder can know, and against one told by the loss of
// one of several streams.
func TestSuspicion(t *testing.T) {
	is := is.New(t)
	r := newRig(t, HolderConfig{Settings: settings(1, nil), Stored: stored(7, 1, "a0", "a1", "a2")})
	told := func() (text string) {
		for _, e := range r.effects {
			if s, ok := e.(*Tell); ok {
				text += fmt.Sprintf("%s %s %v;", s.Balancer, s.Suspect.GetHost(), s.Suspect.GetSuspected())
			}
		}
		r.effects = nil
		return text
	}
	r.do(BalancerConnected{"b1", 1})
	r.attach("a0", 1, false)
	r.attach("a2", 1, false)
	r.do(Reported{"b1", &controlpb.MemberReport{Service: "s1", Member: &controlpb.Member{Host: "a0", Address: "127.0.0.1:10", Incarnation: 1}}})
	r.wait(9 * time.Second)
	is.Equal(told(), "")
	r.wait(2 * time.Second)
	is.Equal(told(), " a1 true;")
	r.lose("a0")
	is.Equal(told(), "")
	r.do(Suspected{"b1", &controlpb.Suspect{ServiceId: 1, Host: "a0", Suspected: true, Incarnation: 1}})
	is.Equal(told(), " a0 true;")
	r.do(BalancerConnected{"b2", 1})
	is.Equal(told(), "b2 a0 true;b2 a1 true;")
	r.attach("a0", 2, false)
	is.Equal(told(), " a0 false;")
}
