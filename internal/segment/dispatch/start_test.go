package dispatch

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
)

// newStartingBalancer returns a balancer that has neither a configuration nor agents.
func newStartingBalancer(t *testing.T) *testBalancer {
	t.Helper()
	is := is.New(t)
	d, err := New(Config{StartedAt: startTime})
	is.NoErr(err)
	return &testBalancer{Dispatcher: d, is: is, now: startTime}
}

// Guards against first packets that are lost because they arrive before the first
// configuration: callers send only two copies, and their requests have deadlines.
func TestFirstPacketWaitsForConfiguration(t *testing.T) {
	cases := []struct {
		name string
		copy uint32
		then func(b *testBalancer)
		// next is the first decision after the configuration, if any.
		next Decision
	}{
		{"hosts are known with the configuration", 0, func(b *testBalancer) {
			b.SetRoutes(routeSet(t, 1, studioAddr, otherAddr))
			b.reportStatus(host(1), "studio", packet.HostReady)
		}, Forward{Step: StepQueued}},
		{"hosts are known after the configuration", 2, func(b *testBalancer) {
			b.SetRoutes(routeSet(t, 1, studioAddr, otherAddr))
			b.SetListedAgents(b.now, []netip.Addr{host(1), host(9)})
			b.reportStatus(host(9), "archive", packet.HostReady)
			b.advance(fullBackoff)
			b.is.Equal(len(b.Tick(b.now)), 0)
			b.reportStatus(host(1), "studio", packet.HostReady)
		}, Forward{Step: StepQueued}},
		{"the address has no route", 0, func(b *testBalancer) {
			b.SetRoutes(routeSet(t, 1, netip.AddrPort{}, otherAddr))
		}, Reset{Reason: ReasonNoRoute}},
		{"the next version drops the route", 0, func(b *testBalancer) {
			b.SetRoutes(routeSet(t, 1, studioAddr, otherAddr))
			b.SetRoutes(routeSet(t, 2, netip.AddrPort{}, otherAddr))
		}, Reset{Reason: ReasonRouteRemoved}},
		{"no configuration comes", 0, func(b *testBalancer) { b.advance(maxQueueTime - 2*fullBackoff) }, nil},
		{"no configuration comes in time", 2, func(b *testBalancer) { b.advance(maxQueueTime - retransmissionDelays[2]) }, Reset{Reason: ReasonStarting}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newStartingBalancer(t)
			s := segment(packet.SYN, 100, c.copy)
			b.is.Equal(len(b.HandlePacket(b.now, s)), 1) // a drop for the log
			c.then(b)
			b.advance(fullBackoff)
			var next Decision
			for _, d := range b.Tick(b.now) {
				switch d := d.(type) {
				case Forward:
					b.is.Equal(d.Agent, host(1))
					b.is.Equal(d.Data, s.Data)
					next = Forward{Step: d.Step}
				case Reset:
					next = Reset{Reason: d.Reason}
				}
			}
			b.is.Equal(next, c.next)
		})
	}
}

// Guards against memory that grows with the packets that arrive before the first
// configuration.
func TestPacketsBeforeConfigurationAreBounded(t *testing.T) {
	b := newStartingBalancer(t)
	for i := range uint16(maxQueuedFlows + 10) {
		b.HandlePacket(b.now, firstPacket(i, studioAddr, 0))
	}
	b.is.Equal(len(b.queue.waiting), maxQueuedFlows)
	b.is.Equal(b.FlowCount(), maxQueuedFlows)
}

// Guards against flows that are not found because their packets arrive before the agents
// are known: their callers send the next copy up to 800 ms later. Flows that are lost are
// reset as soon as that is known, and packets are not kept for longer than callers wait.
func TestSearchWaitsForAgents(t *testing.T) {
	later := segment(packet.ACK, 101, 6000)
	key := later.KeyFromCaller()
	list := func(b *testBalancer) {
		b.advance(lookupInterval)
		b.SetRoutes(routeSet(t, 1, studioAddr, otherAddr))
		b.SetListedAgents(b.now, []netip.Addr{host(1), host(9)})
		b.is.Equal(len(b.lookups(b.Tick(b.now))), 2) // all agents are asked at once
		b.reportStatus(host(1), "studio", packet.HostReady)
		b.reportStatus(host(9), "archive", packet.HostReady)
	}
	cases := []struct {
		name string
		then func(b *testBalancer) []Decision
		next Decision
	}{
		{"an agent holds the flow", func(b *testBalancer) []Decision {
			list(b)
			return b.HandleLocated(b.now, host(1), Located{Held: []flow.Key{key}})
		}, Forward{Step: StepOwner}},
		{"no agent holds the flow", func(b *testBalancer) []Decision {
			list(b)
			b.HandleLocated(b.now, host(1), Located{Denied: []flow.Key{key}})
			b.HandleLocated(b.now, host(9), Located{Denied: []flow.Key{key}})
			b.advance(searchTimeout)
			b.is.Equal(len(b.Tick(b.now)), 0)
			b.SetAgentListComplete(true)
			return b.Tick(b.now)
		}, Reset{Reason: ReasonHeldNowhere}},
		{"the list stays incomplete", func(b *testBalancer) []Decision {
			list(b)
			b.HandleLocated(b.now, host(1), Located{Denied: []flow.Key{key}})
			b.advance(searchTimeout)
			b.Tick(b.now)
			b.advance(searchRetryDelay)
			lookups := b.lookups(b.Tick(b.now))
			b.is.Equal(len(lookups), 1) // agents that have denied the flow are not asked again
			b.is.Equal(lookups[0].Agent, host(9))
			b.advance(maxSearchTime)
			b.Tick(b.now)
			b.advance(stallGrace)
			return b.Tick(b.now)
		}, Drop{Reason: ReasonNotFound}},
		{"no list comes", func(b *testBalancer) []Decision {
			b.advance(maxSearchTime)
			return b.Tick(b.now)
		}, Drop{Reason: ReasonNotFound}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newStartingBalancer(t)
			b.is.Equal(len(b.HandlePacket(b.now, later)), 0)
			var next Decision
			switch d := c.then(b)[0].(type) {
			case Forward:
				b.is.Equal(d.Data, later.Data)
				next = Forward{Step: d.Step}
			case Reset:
				next = Reset{Reason: d.Reason}
			case Drop:
				next = Drop{Reason: d.Reason}
			}
			b.is.Equal(next, c.next)
			b.is.Equal(b.flows.bufferedCount, 0)
		})
	}
}

// lookups returns the lookups among decisions.
func (b *testBalancer) lookups(decisions []Decision) (lookups []Lookup) {
	for _, d := range decisions {
		if l, ok := d.(Lookup); ok {
			lookups = append(lookups, l)
		}
	}
	return lookups
}

// Guards against callers that wait for each agent to be probed after a loss of power, and
// against resets of flows that an earlier run of an agent may have delivered, or that are
// being opened.
func TestUnseenFlow(t *testing.T) {
	s := segment(packet.ACK, 500, 6000)
	key := s.KeyFromCaller()
	const run, laterRun = 7, 8
	unseen, unsure := Located{Unseen: []flow.Key{key}}, Located{Unsure: []flow.Key{key}}
	cases := []struct {
		name       string
		allStarted bool
		answer     Located
		run        uint64
		reset      bool
	}{
		{"everything has started anew", true, unseen, run, true},
		{"the agent has restarted since", true, unseen, laterRun, false},
		{"the run is not known", true, unseen, 0, false},
		{"the host is answering the first packet", true, unsure, run, false},
		{"something ran before", false, unseen, run, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(t)
			b.SetAgentListComplete(true)
			b.HandleStatus(b.now, host(1), Status{Service: "studio", State: packet.HostReady, ColdRemaining: time.Second, Run: run})
			b.agents[host(0)].startSeen, b.agents[host(2)].startSeen, b.agents[host(9)].startSeen = c.allStarted, c.allStarted, c.allStarted
			b.UpdateStart(true, false)
			b.HandlePacket(b.now, s)
			b.replyDenied(host(0), key)
			b.replyDenied(host(2), key)
			c.answer.Run = c.run
			b.HandleLocated(b.now, host(1), c.answer)
			b.nextRound()
			decisions := b.replyDenied(host(9), key)
			b.is.Equal(len(decisions) == 1 && decisions[0] == Decision(Reset{Flow: key, Sequence: 6000, Reason: ReasonHeldNowhere}), c.reset)
		})
	}
}

// Guards against callers of lost flows that wait for an agent whose machine did not come
// back after a loss of power, until its entry in the store has lapsed, and against resets
// of flows that may be at an agent which has not answered yet.
func TestAgentLostAtStart(t *testing.T) {
	s := segment(packet.ACK, 500, 6000)
	key := s.KeyFromCaller()
	cases := []struct {
		name  string
		cold  time.Duration
		wait  time.Duration
		reset bool
	}{
		{"everything has started anew", time.Second, joinDelay + time.Millisecond, true},
		{"agents may still be starting", time.Second, joinDelay / 2, false},
		{"hosts ran before", 0, joinDelay + time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(t)
			b.SetAgentListComplete(true)
			b.SetListedAgents(b.now, []netip.Addr{host(0), host(1), host(2), host(9), host(20)}) // host 20 is lost
			for i, tag := range map[int]string{0: "studio", 1: "studio", 2: "studio", 9: "archive"} {
				b.HandleStatus(b.now, host(i), Status{Service: tag, State: packet.HostReady, ColdRemaining: c.cold, Run: 1})
			}
			b.UpdateStart(true, false)
			b.advance(c.wait)
			for i, tag := range map[int]string{0: "studio", 1: "studio", 2: "studio", 9: "archive"} {
				b.HandleStatus(b.now, host(i), Status{Service: tag, State: packet.HostReady, Run: 1})
			}
			decisions := b.HandlePacket(b.now, s)
			for range 3 {
				for _, i := range []int{0, 1, 2, 9} {
					decisions = append(decisions, b.replyDenied(host(i), key)...)
				}
				b.advance(searchTimeout)
				decisions = append(decisions, b.Tick(b.now)...)
			}
			b.is.Equal(slices.Contains(decisions, Decision(Reset{Flow: key, Sequence: 6000, Reason: ReasonHeldNowhere})), c.reset)
		})
	}
}
