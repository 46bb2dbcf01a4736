package hostedsoak

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rig is a checker that has seen a calm day: a balancer, a host with an open flow, and a
// second host that has just started.
type rig struct {
	*checker
	now time.Time
}

// The names in a rig.
const (
	rigBoot  = "balancer#1"
	rigHost  = "agent-1/i-1"
	rigOther = "agent-2/i-2"
)

var (
	rigRoute   = routeAddress(0, 1)
	rigDropped = routeAddress(1, 1)
	rigFlow    = netip.MustParseAddrPort("127.0.0.1:2000")
)

func newRig() *rig {
	now := time.Unix(1000, 0)
	r := &rig{newChecker(now), now}
	r.bootStarted(rigBoot, "balancer")
	r.configAcked(now, 1, map[netip.AddrPort]string{rigRoute: studio, rigDropped: studio})
	r.hostStarted(hostRecord{id: rigHost, machine: "agent-1", dataCentre: "east", service: studio})
	r.hostStarted(hostRecord{id: rigOther, machine: "agent-2", dataCentre: "north", service: studio, coldUntil: now.Add(time.Minute), coldRate: coldRate})
	r.wait(time.Minute / 2)
	r.takes(rigHost, rigFlow, rigRoute)
	r.opened(r.now, rigHost, rigFlow)
	return r
}

func (r *rig) wait(d time.Duration) { r.now = r.now.Add(d) }

// takes lets a host take an opening packet that a caller has just sent.
func (r *rig) takes(host string, flow, route netip.AddrPort) {
	r.sent(r.now, flow, route, 0, rigBoot)
	r.wait(time.Millisecond)
	r.taken(r.now, host, flow, 0)
}

// port returns a flow with another port.
func port(n int) netip.AddrPort { return netip.AddrPortFrom(rigFlow.Addr(), uint16(3000+n)) }

// stray lets packets of the open flow reach the other host for a time.
func (r *rig) stray(d time.Duration) {
	for range 4 {
		r.sent(r.now, rigFlow, rigRoute, -1, rigBoot)
		r.atHost(r.now, rigOther, rigFlow)
		r.wait(d / 3)
	}
}

// Guards against a checker that misses a broken promise, or that counts what the rules
// allow. Each case breaks one promise, or stays within it where rule is empty.
func TestCheckerFindsMutations(t *testing.T) {
	cases := []struct {
		name, rule string
		play       func(r *rig)
	}{
		{"calm", "", func(*rig) {}},
		{"reset of a living flow", "FLOW", func(r *rig) { r.reset(r.now, rigFlow, "balancer") }},
		{"reset under planned work", "FLOW", func(r *rig) {
			r.disrupt(r.now, true, "agent-1", "balancer")
			r.reset(r.now, rigFlow, "agent-1")
		}},
		{"reset under an unplanned disruption", "", func(r *rig) {
			r.disrupt(r.now, false, "agent-1")(r.now)
			r.wait(stableTime)
			r.reset(r.now, rigFlow, "agent-1")
		}},
		{"reset after an unplanned disruption", "FLOW", func(r *rig) {
			r.disrupt(r.now, false, "agent-1")(r.now)
			r.wait(stableTime + time.Second)
			r.reset(r.now, rigFlow, "agent-1")
		}},
		{"reset while the store is away", "", func(r *rig) {
			r.disrupt(r.now, false, storeTarget)
			r.reset(r.now, rigFlow, "balancer")
		}},
		{"reset by a disturbed sender", "", func(r *rig) {
			r.disrupt(r.now, false, "agent-2")
			r.reset(r.now, rigFlow, "agent-2")
		}},
		{"reset after the host ended", "", func(r *rig) {
			r.hostGone(rigHost)
			r.reset(r.now, rigFlow, "balancer")
		}},
		{"reset of an idle flow", "", func(r *rig) {
			r.wait(idleTimeout + time.Second)
			r.reset(r.now, rigFlow, "balancer")
		}},
		{"packets strayed", "FLOW", func(r *rig) { r.stray(reorderTime + time.Second) }},
		{"packets strayed for a short time", "", func(r *rig) {
			r.stray(reorderTime / 2)
			r.atHost(r.now, rigHost, rigFlow)
			r.stray(reorderTime / 2)
		}},
		{"unknown opening packet", "UNASKED", func(r *rig) { r.taken(r.now, rigHost, port(1), 0) }},
		{"unknown flow", "UNASKED", func(r *rig) { r.atHost(r.now, rigHost, port(1)) }},
		{"wrong service", "ROUTE", func(r *rig) {
			r.hostStarted(hostRecord{id: "agent-3/i-3", machine: "agent-3", service: archive})
			r.takes("agent-3/i-3", port(1), rigRoute)
		}},
		{"unknown route", "ROUTE", func(r *rig) { r.takes(rigHost, port(1), routeAddress(2, 1)) }},
		{"dropped route in time", "", func(r *rig) {
			r.configAcked(r.now, 2, map[netip.AddrPort]string{rigRoute: studio})
			r.wait(configTime - time.Second)
			r.takes(rigHost, port(1), rigDropped)
		}},
		{"dropped route too late", "CONFIG", func(r *rig) {
			r.configAcked(r.now, 2, map[netip.AddrPort]string{rigRoute: studio})
			r.wait(configTime + time.Second)
			r.takes(rigHost, port(1), rigDropped)
		}},
		{"configuration goes back", "CONFIG", func(r *rig) {
			r.configAcked(r.now, 2, map[netip.AddrPort]string{rigRoute: studio, routeAddress(1, 2): studio})
			r.takes(rigHost, port(1), routeAddress(1, 2))
			r.wait(time.Second)
			r.takes(rigHost, port(2), rigDropped)
		}},
		{"drain in time", "", func(r *rig) {
			r.hostDrains(r.now, rigHost)
			r.wait(drainTime - time.Second)
			r.takes(rigHost, port(1), rigRoute)
		}},
		{"drain too late", "DRAIN", func(r *rig) {
			r.hostDrains(r.now, rigHost)
			r.wait(drainTime + time.Second)
			r.takes(rigHost, port(1), rigRoute)
		}},
		{"drain, agent restarted", "", func(r *rig) {
			r.hostDrains(r.now, rigHost)
			r.wait(drainTime + time.Second)
			r.disrupt(r.now, true, "agent-1")
			r.takes(rigHost, port(1), rigRoute)
		}},
		{"evacuated too late", "EVAC", func(r *rig) {
			r.evacuationAcked(r.now, "east", true)
			r.wait(evacuationTime + time.Second)
			r.takes(rigHost, port(1), rigRoute)
		}},
		{"taken back", "", func(r *rig) {
			r.evacuationAcked(r.now, "east", true)
			r.wait(evacuationTime + time.Second)
			r.evacuationAcked(r.now, "east", false)
			r.takes(rigHost, port(1), rigRoute)
		}},
		{"cold host within its limit", "", func(r *rig) {
			for i := range 8 {
				r.takes(rigOther, port(i), rigRoute)
			}
			r.wait(time.Second)
			r.takes(rigOther, port(8), rigRoute)
		}},
		{"cold host takes copies", "", func(r *rig) {
			for range 9 {
				r.takes(rigOther, port(1), rigRoute)
			}
		}},
		{"cold host beyond its limit", "FAILBACK", func(r *rig) {
			for i := range 9 {
				r.takes(rigOther, port(i), rigRoute)
			}
		}},
		{"unsafe request runs twice", "ONCE", func(r *rig) {
			r.ran(r.now, rigHost, "o", "o.1", false, r.now.Add(time.Second))
			r.ran(r.now, rigOther, "o", "o.2", false, r.now.Add(time.Second))
		}},
		{"safe request runs twice", "", func(r *rig) {
			r.ran(r.now, rigHost, "o", "o.1", true, r.now.Add(time.Second))
			r.ran(r.now, rigOther, "o", "o.2", true, r.now.Add(time.Second))
		}},
		{"refused request ran", "REFUSED", func(r *rig) {
			r.ran(r.now, rigHost, "o", "o.1", false, r.now.Add(time.Second))
			r.refused(r.now, "o.1")
		}},
		{"refused request runs later", "REFUSED", func(r *rig) {
			r.refused(r.now, "o.1")
			r.ran(r.now, rigHost, "o", "o.1", false, r.now.Add(time.Second))
		}},
		{"run after the deadline", "OVERLOAD", func(r *rig) { r.ran(r.now, rigHost, "o", "o.1", false, r.now.Add(-time.Millisecond)) }},
		{"priorities served in order", "", func(r *rig) { r.prioritised(r.now, share{classes[0], 0.9, 100}, share{classes[1], 0.5, 100}) }},
		{"higher priority served worse", "OVERLOAD", func(r *rig) { r.prioritised(r.now, share{classes[0], 0.5, 100}, share{classes[1], 0.9, 100}) }},
		{"not recovered", "RECOVER", func(r *rig) { r.recovered(r.now, share{nil, 0.2, 100}) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig()
			r.failOverload = true
			c.play(r)
			if c.rule == "" {
				is.Equal(r.violations, nil)
				return
			}
			is.True(len(r.violations) > 0)
			is.True(strings.Contains(r.violations[0], " "+c.rule+": "))
		})
	}
}

// Guards against stand-ins that take changed bytes for those of their sender.
func TestStandInsFindChangedBytes(t *testing.T) {
	is := is.New(t)
	raw := segment{src: rigFlow, dst: rigRoute, flags: flagACK, seq: 1, data: []byte("data")}.encode()
	_, intact := decode(raw)
	is.True(intact)
	for _, i := range []int{5, 9, 11, 15, 16, 22, 26, headerBytes} {
		changed := append([]byte(nil), raw...)
		changed[i]++
		_, intact = decode(changed)
		is.True(!intact)
	}
	raw[0], raw[17] = 1, 1 // the product may write echo and pad
	_, intact = decode(raw)
	is.True(intact)

	r := request{"o", "o.1", classes[0], time.Unix(1000, 0)}
	sent, answered := r.encode(), r.answer(true)
	sent[len(sent)-1]++
	_, _, err := parseRequest(&sent)
	is.True(err != nil)
	answered[len(answered)-1]++
	_, _, _, err = parseAnswer(&answered)
	is.True(err != nil)
}
