package dispatch

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/routes"
)

// lookupAgents returns the agents that the decisions ask for a flow.
func lookupAgents(decisions []Decision, key flow.Key) (agents []netip.Addr) {
	for _, d := range decisions {
		if l, ok := d.(Lookup); ok && slices.Contains(l.Flows, key) {
			agents = append(agents, l.Agent)
		}
	}
	return agents
}

// replyDenied handles the reply of an agent that its host does not hold a flow.
func (b *testBalancer) replyDenied(agent netip.Addr, key flow.Key) []Decision {
	return b.HandleLocated(b.now, agent, Located{Denied: []flow.Key{key}})
}

// replyUnsure handles the reply of an agent that cannot tell whether its host holds a
// flow.
func (b *testBalancer) replyUnsure(agent netip.Addr, key flow.Key) []Decision {
	return b.HandleLocated(b.now, agent, Located{Unsure: []flow.Key{key}})
}

// nextRound returns the decisions of the next round of lookups.
func (b *testBalancer) nextRound() []Decision {
	b.advance(lookupInterval)
	return b.Tick(b.now)
}

// Guards against flows that are not found, against agents of other services that are
// asked first, and against resets of flows that may be at a host whose agent does
// not answer.
func TestSearch(t *testing.T) {
	b := newTestBalancer(t)
	s := segment(packet.ACK, 500, 6000)
	key := s.KeyFromCaller()
	decisions := b.HandlePacket(b.now, s)
	b.is.Equal(decisions[0], Search{Flow: key, Agents: 3})
	b.is.Equal(lookupAgents(decisions, key), []netip.Addr{host(0), host(1), host(2)})
	b.is.Equal(len(b.HandlePacket(b.now, s)), 0) // the packet is buffered
	b.is.Equal(len(b.replyDenied(host(0), key)), 0)
	b.is.Equal(len(b.replyDenied(host(1), key)), 0)
	b.advance(searchTimeout) // host 2 does not answer
	b.is.Equal(lookupAgents(b.Tick(b.now), key), []netip.Addr{host(9)})
	b.is.Equal(b.replyDenied(host(9), key), []Decision{Drop{Flow: key, Reason: ReasonNotFound}})

	b.advance(searchRetryDelay)
	b.is.Equal(lookupAgents(b.HandlePacket(b.now, s), key), []netip.Addr{host(2)}) // the others have denied the flow
	b.HandlePacket(b.now, s)
	decisions = b.HandleLocated(b.now, host(2), Located{Held: []flow.Key{key}})
	b.is.Equal(len(decisions), 2) // the buffered packets
	for _, d := range decisions {
		f := d.(Forward)
		b.is.Equal(f.Agent, host(2))
		b.is.Equal(f.Step, StepOwner)
	}
	b.is.Equal(b.flows.bufferedCount, 0)
	b.is.Equal(b.onlyForward(b.HandlePacket(b.now, s)).Step, StepOwner)
}

// Guards against a datagram for each flow and agent when many flows are searched
// for: balancers with little processor time would lose the replies and ask again
// without end.
func TestLookupsAreBatched(t *testing.T) {
	b := newTestBalancer(t)
	b.HandlePacket(b.now, segment(packet.ACK, 500, 6000))
	const flows = maxLookupFlows + 10
	for port := range uint16(flows) {
		s := segment(packet.ACK, 500, 6000)
		s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
		b.is.Equal(len(b.HandlePacket(b.now, s)), 0)
	}
	at, ok := b.NextTick()
	b.is.True(ok)
	b.is.True(!at.After(b.now.Add(lookupInterval)))
	lookups := 0
	for _, d := range b.nextRound() {
		if l, ok := d.(Lookup); ok {
			lookups++
			b.is.True(len(l.Flows) <= maxLookupFlows)
		}
	}
	b.is.Equal(lookups, 6) // two for each of three agents
}

// Guards against callers that wait for a flow that no host holds, and against resets
// of flows that may be at a host whose agent was not asked or does not answer.
func TestUnheldFlow(t *testing.T) {
	s := segment(packet.ACK, 500, 6000)
	key := s.KeyFromCaller()
	b := newTestBalancer(t)
	owner := b.openFlow()
	b.is.Equal(b.HandleReturned(b.now, owner, s, packet.ReturnNotHeld, packet.Load{}),
		[]Decision{Reset{Flow: key, Sequence: 6000, Reason: ReasonHostLost}})

	cases := []struct {
		name   string
		change func(b *testBalancer)
		silent netip.Addr
		reset  bool
	}{
		{"all answer", func(*testBalancer) {}, netip.Addr{}, true},
		{"store unavailable", func(b *testBalancer) { b.SetAgentListComplete(false) }, netip.Addr{}, false},
		{"agent silent and not listed", func(b *testBalancer) {
			b.SetListedAgents(b.now, []netip.Addr{host(0), host(1), host(9)})
			b.advance(silentAfter + time.Millisecond)
			for i := range 2 {
				b.reportStatus(host(i), "studio", packet.HostReady)
			}
			b.reportStatus(host(9), "archive", packet.HostReady)
		}, host(2), false},
		{"agent known from another balancer only", func(b *testBalancer) {
			b.SetListedAgents(b.now, []netip.Addr{host(0), host(1), host(2), host(9)})
			b.AddAgents(b.now, []netip.Addr{host(20)})
		}, host(20), false},
		{"agent listed but without a status", func(b *testBalancer) {
			b.SetListedAgents(b.now, []netip.Addr{host(0), host(1), host(2), host(9), host(20)})
		}, host(20), false},
		{"agent silent", func(b *testBalancer) {
			b.SetListedAgents(b.now, []netip.Addr{host(0), host(1), host(2), host(9)})
			b.advance(silentAfter + time.Millisecond)
			for i := range 2 {
				b.reportStatus(host(i), "studio", packet.HostReady)
			}
			b.reportStatus(host(9), "archive", packet.HostReady)
		}, host(2), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(t)
			b.SetAgentListComplete(true)
			c.change(b)
			decisions := b.HandlePacket(b.now, s)
			var last []Decision
			for len(decisions) > 0 {
				last = decisions
				agents := lookupAgents(decisions, key)
				decisions = nil
				for _, a := range agents {
					if a == c.silent {
						continue
					}
					if next := b.replyDenied(a, key); len(next) > 0 {
						decisions = next
					}
				}
				if len(agents) > 0 && len(decisions) == 0 {
					b.advance(searchTimeout)
					decisions = b.Tick(b.now)
				}
			}
			_, reset := last[0].(Reset)
			b.is.Equal(reset, c.reset)
			_, dropped := last[0].(Drop)
			b.is.Equal(dropped, !c.reset)
		})
	}
}

// Guards against denials that outlive the flow they were about: callers reuse their
// ports.
func TestDenialsExpire(t *testing.T) {
	b := newTestBalancer(t)
	s := segment(packet.ACK, 500, 6000)
	key := s.KeyFromCaller()
	for _, a := range []netip.Addr{host(0), host(1), host(2)} {
		b.HandlePacket(b.now, s)
		b.replyDenied(a, key)
	}
	b.replyDenied(host(9), key)
	b.advance(searchTimeout)
	b.Tick(b.now)
	b.advance(denialLifetime + time.Second)
	for i := range 3 {
		b.reportStatus(host(i), "studio", packet.HostReady)
	}
	b.is.Equal(len(lookupAgents(b.HandlePacket(b.now, s), key)), 3)
}

// Guards against searches that buffer packets without bound.
func TestBufferedPacketLimit(t *testing.T) {
	b := newTestBalancer(t)
	for port := range uint16(2 * maxBuffered / maxBufferedPerFlow) {
		for range 2 * maxBufferedPerFlow {
			s := segment(packet.ACK, 500, 6000)
			s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
			b.HandlePacket(b.now, s)
		}
	}
	b.is.Equal(b.flows.bufferedCount, maxBuffered)
	b.advance(2 * time.Minute)
	b.Expire(b.now)
	b.is.Equal(b.flows.bufferedCount, 0)
}

// Guards against answers to lookups that name flows that are not searched for, or
// that come from an unknown agent.
func TestUnexpectedLocated(t *testing.T) {
	is := is.New(t)
	b := newTestBalancer(t)
	owner := b.openFlow()
	key := segment(0, 0, 0).KeyFromCaller()
	other := packet.NewKey(caller, otherAddr)
	keys := []flow.Key{key, other}
	is.Equal(len(b.HandleLocated(b.now, host(1), Located{Held: keys, Denied: keys, Unsure: keys, Unseen: keys})), 0)
	is.Equal(len(b.HandleLocated(b.now, host(77), Located{Denied: keys, Unsure: keys, Unseen: keys})), 0)
	is.Equal(b.onlyForward(b.HandlePacket(b.now, segment(packet.ACK, 200, 6000))).Agent, owner)
}

// Guards against packets of a flow that go to the host of an earlier flow from the same
// port, whose entry this balancer still has: the first packet of the new flow went
// through another balancer. The earlier host would have the new flow reset.
func TestReusedPortAtAnotherBalancer(t *testing.T) {
	b := newTestBalancer(t)
	earlier := b.openFlow()
	key := segment(0, 0, 0).KeyFromCaller()
	b.is.Equal(b.onlyForward(b.HandlePacket(b.now, segment(packet.ACK, 300, 7000))).Agent, earlier) // the flow goes on
	b.is.Equal(b.onlyForward(b.HandlePacket(b.now, segment(packet.RST, 300, 0))).Agent, earlier)    // a reset acknowledges nothing

	s := segment(packet.ACK, 1_000_001, 2_000_000_001)
	decisions := b.HandlePacket(b.now, s)
	b.is.Equal(len(lookupAgents(decisions, key)), 3)
	for _, d := range decisions {
		if l, ok := d.(Lookup); ok {
			b.is.Equal(l.Acknowledgements, []uint32{2_000_000_001})
		}
	}
	var other netip.Addr
	for i := range 3 {
		if host(i) != earlier {
			other = host(i)
		}
	}
	b.replyDenied(earlier, key)
	decisions = b.HandleLocated(b.now, other, Located{Held: []flow.Key{key}})
	b.is.Equal(b.onlyForward(decisions).Agent, other)
	b.is.Equal(b.onlyForward(b.HandlePacket(b.now, segment(packet.ACK, 1_000_301, 2_000_001_000))).Agent, other)
}

// Guards against resets of living flows by a balancer that has just started: an agent
// has answered a lookup, but its status has not arrived yet. The balancer does not know
// the agent's service then, so the label of the packets is wrong.
func TestOwnerWithoutStatus(t *testing.T) {
	b := newTestBalancer(t)
	b.AddAgents(b.now, []netip.Addr{host(5)})
	s := segment(packet.ACK, 500, 6000)
	b.HandlePacket(b.now, s)
	b.onlyForward(b.HandleLocated(b.now, host(5), Located{Held: []flow.Key{s.KeyFromCaller()}}))
	decisions := b.HandleReturned(b.now, host(5), s, packet.ReturnWrongService, packet.Load{})
	b.is.Equal(decisions, []Decision{Drop{Flow: s.KeyFromCaller(), Reason: ReasonNoStatus}})

	b.reportStatus(host(5), "studio", packet.HostReady)
	b.is.Equal(b.onlyForward(b.HandlePacket(b.now, s)).ServiceTag, packet.ServiceTag("studio"))
	decisions = b.HandleReturned(b.now, host(5), s, packet.ReturnWrongService, packet.Load{}) // the address has another service now
	b.is.Equal(decisions, []Decision{Reset{Flow: s.KeyFromCaller(), Sequence: 6000, Reason: ReasonHostLost}})
}

// Guards against flows that are not reset for many seconds after a loss of power,
// because the agents of machines without a host have gone away again and cannot deny
// them, although their last status was that the host is gone.
func TestGoneHostHoldsNothing(t *testing.T) {
	b := newTestBalancer(t)
	b.SetListedAgents(b.now, []netip.Addr{host(0), host(1), host(2), host(9)})
	b.SetAgentListComplete(true)
	b.HandleStatus(b.now, host(9), Status{Service: "archive", State: packet.HostGone, Stopping: true})
	b.advance(silentAfter + time.Millisecond)
	for i := range 3 {
		b.reportStatus(host(i), "studio", packet.HostReady)
	}
	s := segment(packet.ACK, 500, 6000)
	b.HandlePacket(b.now, s)
	for i := range 3 {
		b.replyDenied(host(i), s.KeyFromCaller())
	}
	b.advance(searchTimeout) // the agent of host 9 does not answer
	var decisions []Decision
	for range 3 {
		decisions = append(decisions, b.nextRound()...)
		b.advance(searchTimeout)
	}
	b.is.Equal(decisions[len(decisions)-1], Reset{Flow: s.KeyFromCaller(), Sequence: 6000, Reason: ReasonHeldNowhere})
}

// Guards against lookups that take all processor time of a small balancer while many flows
// are searched for, and against a delay of single searches.
func TestLookupRate(t *testing.T) {
	for _, c := range []struct {
		name                string
		perSecond, searches int
		// maxLookups bounds the lookups to four agents within a second.
		minLookups, maxLookups int
	}{
		{"unbounded", 0, 1000, 350, 400},
		{"many searches", 100, 1000, 100, 130},
		{"few searches", 100, 5, 20, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(t)
			b.Dispatcher.lookups.perSecond = float64(c.perSecond)
			lookups, longest := 0, time.Duration(0)
			for i := range 1000 {
				if i%(1000/c.searches) == 0 {
					s := segment(packet.ACK, 101, 6000)
					s.Source = netip.AddrPortFrom(caller.Addr(), uint16(i+1))
					lookups += len(b.lookups(b.HandlePacket(b.now, s)))
				}
				if at, pending := b.NextTick(); pending {
					longest = max(longest, at.Sub(b.now))
				}
				lookups += len(b.lookups(b.Tick(b.now)))
				b.advance(time.Millisecond)
			}
			b.is.True(lookups >= c.minLookups)
			b.is.True(lookups <= c.maxLookups)
			b.is.True(longest <= 50*time.Millisecond)
		})
	}
}

// Guards against lost flows that wait for two rounds of lookups after a loss of power.
func TestLostFlowsTakeOneRound(t *testing.T) {
	for _, c := range []struct {
		name  string
		cold  time.Duration
		later time.Duration
		// first is the number of agents that are asked in the first round.
		first int
	}{
		{"all hosts have just started", time.Second, 0, 4},
		{"all hosts had just started, flows of before may come", time.Second, routes.DefaultIdleTimeout - time.Second, 4},
		{"flows of before are idle for too long", time.Second, routes.DefaultIdleTimeout, 3},
		{"hosts ran before", 0, 0, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newStartingBalancer(t)
			b.SetRoutes(routeSet(t, 1, studioAddr, otherAddr))
			b.SetListedAgents(b.now, []netip.Addr{host(0), host(1), host(2), host(3)})
			for i, service := range []string{"studio", "studio", "studio", "archive"} {
				b.HandleStatus(b.now, host(i), Status{Service: service, State: packet.HostReady, ColdRemaining: c.cold})
			}
			b.advance(c.later)
			b.is.Equal(len(b.lookups(b.HandlePacket(b.now, segment(packet.ACK, 101, 6000)))), c.first)
		})
	}
}
