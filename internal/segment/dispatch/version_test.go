package dispatch

import (
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/routes"
)

// opening and later are the packets of the flow of TestWaitingFlowsFollowConfiguration.
var (
	opening = firstPacket(40001, studioAddr, 0)
	later   = segment(packet.ACK, 500, 6000)
)

// agentsSentTo returns the agents that the decisions send packets or lookups of a flow
// to.
func agentsSentTo(decisions []Decision, key flow.Key) (agents []netip.Addr) {
	for _, d := range decisions {
		if f, ok := d.(Forward); ok && f.Flow == key {
			agents = append(agents, f.Agent)
		}
	}
	return append(agents, lookupAgents(decisions, key)...)
}

// offerFlow offers the flow of opening to a host and returns the agent of the host.
func (b *testBalancer) offerFlow() (agent netip.Addr) {
	return b.onlyForward(b.HandlePacket(b.now, opening)).Agent
}

// answerOffer handles the answer of a host to the flow of opening.
func (b *testBalancer) answerOffer(agent netip.Addr) {
	b.HandleAccepted(b.now, agent, opening.KeyFromCaller(), 5000, true, packet.Load{})
}

// sendCopy handles the first retransmission of opening.
func (b *testBalancer) sendCopy() []Decision {
	b.advance(retransmissionDelays[1])
	for i := range 3 {
		b.reportStatus(host(i), "studio", packet.HostReady)
	}
	b.reportStatus(host(9), "archive", packet.HostReady)
	return b.HandlePacket(b.now, firstPacket(40001, studioAddr, 1))
}

// deny handles the replies of agents that their hosts do not hold the flow.
func (b *testBalancer) deny(agents ...netip.Addr) (decisions []Decision) {
	for _, a := range agents {
		decisions = b.replyDenied(a, later.KeyFromCaller())
	}
	return decisions
}

// tickAfter returns the decisions of a Tick after some time.
func (b *testBalancer) tickAfter(wait time.Duration) []Decision {
	b.advance(wait)
	return b.Tick(b.now)
}

// Guards against packets and lookups that are sent by a decision of an earlier
// configuration: of a route that was removed since, or to a service that the route no
// longer names. Flows that a host has taken stay there when their route changes service.
func TestWaitingFlowsFollowConfiguration(t *testing.T) {
	key := opening.KeyFromCaller()
	held := func(b *testBalancer) []Decision {
		return b.HandleLocated(b.now, host(1), Located{Held: []flow.Key{key}})
	}
	search := func(b *testBalancer) netip.Addr { b.HandlePacket(b.now, later); return host(1) }
	probe := func(b *testBalancer) netip.Addr {
		search(b)
		b.deny(host(0), host(2))
		b.onlyForward(b.replyUnsure(host(1), key))
		return host(1)
	}
	cases := []struct {
		name string
		// wait makes the flow wait under the first configuration, and returns the agent of
		// the host that took the flow or was offered it.
		wait func(b *testBalancer) netip.Addr
		// next is the next event after the change.
		next func(b *testBalancer, agent netip.Addr) []Decision
		// moved are the agents that next sends to if the route names archive now; owner
		// stands for the agent that wait returned.
		moved []netip.Addr
	}{
		{"copy", (*testBalancer).offerFlow, func(b *testBalancer, _ netip.Addr) []Decision { return b.sendCopy() }, []netip.Addr{host(9)}},
		{
			"copy after an answer", func(b *testBalancer) netip.Addr { a := b.offerFlow(); b.answerOffer(a); return a },
			func(b *testBalancer, _ netip.Addr) []Decision { return b.sendCopy() },
			[]netip.Addr{host(9)},
		},
		{"copy of an open flow", (*testBalancer).openFlow, func(b *testBalancer, _ netip.Addr) []Decision { return b.sendCopy() }, nil},
		{
			"queue", func(b *testBalancer) netip.Addr { b.queueAfterBusy(opening); return host(0) },
			func(b *testBalancer, _ netip.Addr) []Decision { return b.tickAfter(fullBackoff) },
			[]netip.Addr{host(9)},
		},
		{
			"copy of a queued flow", func(b *testBalancer) netip.Addr { b.queueAfterBusy(opening); return host(0) },
			func(b *testBalancer, _ netip.Addr) []Decision { return b.sendCopy() }, nil,
		},
		{"returned offer", (*testBalancer).offerFlow, func(b *testBalancer, a netip.Addr) []Decision {
			return b.HandleReturned(b.now, a, opening, packet.ReturnBusy, packet.Load{})
		}, []netip.Addr{host(9)}},
		{"hedge", (*testBalancer).offerFlow, func(b *testBalancer, _ netip.Addr) []Decision { return b.tickAfter(offerTimeout) }, []netip.Addr{host(9)}},
		{
			"acknowledged answer", func(b *testBalancer) netip.Addr { a := b.offerFlow(); b.answerOffer(a); return a },
			func(b *testBalancer, _ netip.Addr) []Decision {
				return b.HandlePacket(b.now, segment(packet.ACK, 101, 5001))
			},
			[]netip.Addr{{}},
		},
		{"answer after the change", (*testBalancer).offerFlow, func(b *testBalancer, a netip.Addr) []Decision {
			b.answerOffer(a)
			return b.HandlePacket(b.now, segment(packet.ACK, 101, 5001))
		}, []netip.Addr{{}}},
		{"packet of an open flow", (*testBalancer).openFlow, func(b *testBalancer, _ netip.Addr) []Decision {
			return b.HandlePacket(b.now, segment(packet.ACK, 101, 5001))
		}, []netip.Addr{{}}},
		{"returned packet of an open flow", (*testBalancer).openFlow, func(b *testBalancer, _ netip.Addr) []Decision {
			return b.HandleReturned(b.now, host(9), segment(packet.ACK, 101, 5001), packet.ReturnNotHeld, packet.Load{})
		}, []netip.Addr{{}}},
		{"lookup round", func(b *testBalancer) netip.Addr {
			other := segment(packet.ACK, 500, 6000)
			other.Destination = otherAddr
			b.HandlePacket(b.now, other)
			return search(b)
		}, func(b *testBalancer, _ netip.Addr) []Decision { return b.nextRound() }, []netip.Addr{host(9)}},
		{"second lookup round", search, func(b *testBalancer, _ netip.Addr) []Decision {
			return append(b.deny(host(0), host(1), host(2)), b.nextRound()...)
		}, nil},
		{"buffered packet, host found", search, func(b *testBalancer, _ netip.Addr) []Decision { return held(b) }, []netip.Addr{host(1)}},
		{"buffered packet, host reports the flow", search, func(b *testBalancer, _ netip.Addr) []Decision {
			_, decisions := b.HandleAccepted(b.now, host(1), key, 0, false, packet.Load{})
			return decisions
		}, []netip.Addr{host(1)}},
		{
			"probe", func(b *testBalancer) netip.Addr { search(b); b.deny(host(0), host(2)); return host(1) },
			func(b *testBalancer, _ netip.Addr) []Decision { return b.replyUnsure(host(1), key) },
			[]netip.Addr{host(1)},
		},
		{"end of a probe", probe, func(b *testBalancer, _ netip.Addr) []Decision { return b.tickAfter(searchTimeout) }, []netip.Addr{host(1)}},
		{"only candidate, buffered packet", func(b *testBalancer) netip.Addr {
			probe(b)
			b.HandlePacket(b.now, later)
			b.tickAfter(searchTimeout)
			return host(1)
		}, func(b *testBalancer, _ netip.Addr) []Decision { return b.deny(host(9)) }, []netip.Addr{host(1)}},
		{"only candidate, next packet", func(b *testBalancer) netip.Addr {
			probe(b)
			b.tickAfter(searchTimeout)
			b.deny(host(9))
			return host(1)
		}, func(b *testBalancer, _ netip.Addr) []Decision { return b.HandlePacket(b.now, later) }, []netip.Addr{host(1)}},
	}
	for _, c := range cases {
		t.Run(c.name+", route removed", func(t *testing.T) {
			b := newTestBalancer(t)
			agent := c.wait(b)
			b.is.True(b.SetRoutes(routeSet(t, 2, netip.AddrPort{}, otherAddr)))
			decisions := c.next(b, agent)
			b.is.Equal(len(agentsSentTo(decisions, key)), 0)
			var resets []Reason
			for _, d := range decisions {
				if r, ok := d.(Reset); ok {
					resets = append(resets, r.Reason)
				}
			}
			b.is.Equal(resets, []Reason{ReasonRouteRemoved})
			b.is.True(b.flows.byKey[key] == nil)
		})
		t.Run(c.name+", route changes service", func(t *testing.T) {
			b := newTestBalancer(t)
			agent := c.wait(b)
			b.is.True(b.SetRoutes(routeSet(t, 2, netip.AddrPort{}, studioAddr)))
			decisions := c.next(b, agent)
			moved := make([]netip.Addr, 0, len(c.moved))
			for _, a := range c.moved {
				if !a.IsValid() {
					a = agent
				}
				moved = append(moved, a)
			}
			b.is.Equal(append([]netip.Addr{}, agentsSentTo(decisions, key)...), moved)
			for _, d := range decisions {
				f, ok := d.(Forward)
				if _, isReset := d.(Reset); isReset || ok && f.ServiceTag != b.agents[f.Agent].serviceTag {
					t.Errorf("decision %+v", d)
				}
			}
		})
	}
}

// Guards against resets that the caller takes for another flow's: the host may have
// answered, so that the flow is open at the caller when the reset arrives.
func TestResetAfterAnswer(t *testing.T) {
	b := newTestBalancer(t)
	b.answerOffer(b.offerFlow())
	b.is.True(b.SetRoutes(routeSet(t, 2, netip.AddrPort{}, otherAddr)))
	b.is.Equal(b.sendCopy(), []Decision{Reset{Flow: opening.KeyFromCaller(), Sequence: 5001, Reason: ReasonRouteRemoved}})
}

// Guards against queued flows that keep the priority and the latency objective of an
// earlier configuration.
func TestQueueFollowsConfiguration(t *testing.T) {
	b := newObjectiveBalancer(t)
	feed, order := firstPacket(1, studioAddr, 0), firstPacket(2, otherAddr, 0)
	b.queueAfterBusy(feed)
	b.queueAfterBusy(order)
	studio := []routes.Target{{Service: "studio", Weight: 1}}
	set, err := routes.New(routes.Config{Version: 3, Routes: []routes.Route{
		{Name: "feed", Address: studioAddr, Targets: studio, Priority: 0},
		{Name: "orders", Address: otherAddr, Targets: studio, LatencyObjective: time.Millisecond, Priority: 1},
	}})
	b.is.NoErr(err)
	b.is.True(b.SetRoutes(set))
	decisions := b.tickAfter(fullBackoff)
	b.is.Equal(len(decisions), 2)
	b.is.Equal(decisions[0].(Forward).Flow, feed.KeyFromCaller())
	b.is.Equal(decisions[0].(Forward).Late, false)
	b.is.Equal(decisions[1].(Forward).Late, true)
}

// Guards against the copy of an opening packet that goes to a host of another service,
// because the address of the host that answered belongs to that service now.
func TestCopyAfterAddressChangesService(t *testing.T) {
	b := newTestBalancer(t)
	agent := b.offerFlow()
	b.answerOffer(agent)
	b.reportStatus(agent, "archive", packet.HostReady)
	f := b.onlyForward(b.HandlePacket(b.now, firstPacket(40001, studioAddr, 1)))
	b.is.True(f.Agent != agent)
	b.is.Equal(f.ServiceTag, packet.ServiceTag("studio"))
}

// Guards against packets and lookups that are sent without a review, because they are made
// elsewhere than in send.go.
func TestSendsAreMadeInOnePlace(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("*.go")
	is.NoErr(err)
	made := regexp.MustCompile(`\b(Forward|Lookup|Relay)\{`)
	found := make(map[string]int)
	for _, name := range files {
		source, err := os.ReadFile(name)
		is.NoErr(err)
		if !strings.HasSuffix(name, "_test.go") {
			found[name] = len(made.FindAll(source, -1))
		}
	}
	maps.DeleteFunc(found, func(_ string, count int) bool { return count == 0 })
	is.Equal(found, map[string]int{"send.go": 3})
}
