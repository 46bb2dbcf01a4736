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

// asked returns the agents that are asked for a flow.
func asked(decisions []Decision, key flow.Key) (agents []netip.Addr) {
	for _, d := range decisions {
		if l, ok := d.(Lookup); ok && slices.Contains(l.Flows, key) {
			agents = append(agents, l.Agent)
		}
	}
	return agents
}

func (b *bench) denies(agent netip.Addr, key flow.Key) []Decision {
	return b.HandleLocated(b.now, agent, nil, []flow.Key{key}, nil, packet.Load{})
}

func (b *bench) isUnsure(agent netip.Addr, key flow.Key) []Decision {
	return b.HandleLocated(b.now, agent, nil, nil, []flow.Key{key}, packet.Load{})
}

// nextRound returns the decisions of the next round of lookups.
func (b *bench) nextRound() []Decision {
	b.later(lookupInterval)
	return b.Tick(b.now)
}

// Guards against flows that are not found, against agents of other services that are
// asked first, and against resets of flows that may live where nobody answers.
func TestSearch(t *testing.T) {
	b := newBench(t)
	s := segment(packet.ACK, 500, 6000)
	key := s.KeyFromCaller()
	decisions := b.HandlePacket(b.now, s)
	b.is.Equal(decisions[0], Search{Flow: key, Agents: 3})
	b.is.Equal(asked(decisions, key), []netip.Addr{host(0), host(1), host(2)})
	b.is.Equal(len(b.HandlePacket(b.now, s)), 0) // packets wait meanwhile
	b.is.Equal(len(b.denies(host(0), key)), 0)
	b.is.Equal(len(b.denies(host(1), key)), 0)
	b.later(searchTimeout) // host 2 does not answer
	b.is.Equal(asked(b.Tick(b.now), key), []netip.Addr{host(9)})
	b.is.Equal(b.denies(host(9), key), []Decision{Drop{Flow: key, Reason: ReasonNotFound}})

	b.later(searchPause)
	b.is.Equal(asked(b.HandlePacket(b.now, s), key), []netip.Addr{host(2)}) // denials hold
	b.HandlePacket(b.now, s)
	decisions = b.HandleLocated(b.now, host(2), []flow.Key{key}, nil, nil, packet.Load{})
	b.is.Equal(len(decisions), 2) // the packets that were kept
	for _, d := range decisions {
		f := d.(Forward)
		b.is.Equal(f.Agent, host(2))
		b.is.Equal(f.Step, StepOwner)
	}
	b.is.Equal(b.flows.held, 0)
	b.is.Equal(b.forward(b.HandlePacket(b.now, s)).Step, StepOwner)
}

// Guards against a datagram for each flow and agent when many flows are looked for:
// balancers with little processor time would lose the replies and ask without end.
func TestLookupsAreGathered(t *testing.T) {
	b := newBench(t)
	b.HandlePacket(b.now, segment(packet.ACK, 500, 6000))
	const flows = maxLookupFlows + 10
	for port := range uint16(flows) {
		s := segment(packet.ACK, 500, 6000)
		s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
		b.is.Equal(len(b.HandlePacket(b.now, s)), 0)
	}
	at, waits := b.NextTick()
	b.is.True(waits)
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

// Guards against a search that goes through all agents when those that cannot tell
// have the flow, against packets that the host gets twice, and against searches
// that end while the host takes its time.
func TestProbes(t *testing.T) {
	b := newBench(t)
	var order []netip.Addr
	first := segment(packet.SYN, 100, 0)
	for range 3 {
		l := b.lead(b.now, first.KeyFromCaller(), packet.ServiceTag("studio"), func(a *agent) bool { return !slices.Contains(order, a.address) })
		order = append(order, l.first.address)
	}
	s := segment(packet.ACK, 500, 6000)
	key := s.KeyFromCaller()
	b.HandlePacket(b.now, s)
	for range 2 {
		b.HandlePacket(b.now, s)
	}
	b.isUnsure(order[2], key)
	b.denies(order[1], key)
	probes := b.isUnsure(order[0], key)
	b.is.Equal(len(probes), probePackets)
	for _, d := range probes {
		b.is.Equal(d.(Forward).Agent, order[0])
		b.is.Equal(d.(Forward).Step, StepSearch)
	}
	probes = b.HandleReturned(b.now, order[0], s, packet.ReturnNotHeld, packet.Load{})
	b.is.Equal(probes[0].(Forward).Agent, order[2])
	b.is.Equal(len(b.HandleReturned(b.now, order[0], s, packet.ReturnNotHeld, packet.Load{})), 0) // its second packet
	_, decisions := b.HandleAccepted(b.now, order[2], key, 0, false, packet.Load{})
	b.is.Equal(b.forward(decisions).Agent, order[2]) // the third packet only
}

// Guards against flows whose packets are dropped because their host, the only one
// that there can be, has not answered a probe in time.
func TestOnlyCandidate(t *testing.T) {
	cases := []struct {
		name    string
		other   func(b *bench, key flow.Key) []Decision
		forward bool
	}{
		{"all others deny", func(b *bench, key flow.Key) []Decision { return b.denies(host(9), key) }, true},
		{"another one is silent", func(b *bench, _ flow.Key) []Decision { b.later(searchTimeout); return b.Tick(b.now) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			s := segment(packet.ACK, 500, 6000)
			key := s.KeyFromCaller()
			b.HandlePacket(b.now, s)
			b.denies(host(0), key)
			b.denies(host(1), key)
			b.is.Equal(b.forward(b.isUnsure(host(2), key)).Agent, host(2))
			b.HandlePacket(b.now, s)
			b.later(searchTimeout)
			b.is.Equal(asked(b.Tick(b.now), key), []netip.Addr{host(9)})
			decisions := c.other(b, key)
			if !c.forward {
				b.is.Equal(decisions, []Decision{Drop{Flow: key, Reason: ReasonNotFound}})
				return
			}
			b.is.Equal(b.forward(decisions).Agent, host(2)) // the packet that was not shown
			b.is.Equal(b.forward(b.HandlePacket(b.now, s)).Agent, host(2))
			b.SetAgentListComplete(true)
			b.HandleReturned(b.now, host(2), s, packet.ReturnNotHeld, packet.Load{})
			b.is.Equal(b.nextRound(), []Decision{Reset{Flow: key, Sequence: 6000, Reason: ReasonHeldNowhere}})
		})
	}
}

// Guards against callers that wait for a flow which no host holds, and against
// resets of flows that a host may hold which was not asked or does not answer.
func TestDeadFlow(t *testing.T) {
	s := segment(packet.ACK, 500, 6000)
	key := s.KeyFromCaller()
	b := newBench(t)
	owner := b.open()
	b.is.Equal(b.HandleReturned(b.now, owner, s, packet.ReturnNotHeld, packet.Load{}),
		[]Decision{Reset{Flow: key, Sequence: 6000, Reason: ReasonHostLost}})

	cases := []struct {
		name   string
		change func(b *bench)
		silent netip.Addr
		reset  bool
	}{
		{"all answer", func(*bench) {}, netip.Addr{}, true},
		{"store away", func(b *bench) { b.SetAgentListComplete(false) }, netip.Addr{}, false},
		{"agent silent and not listed yet", func(b *bench) {
			b.SetListedAgents(b.now, []netip.Addr{host(0), host(1), host(9)})
			b.later(silentAfter + time.Millisecond)
			for i := range 2 {
				b.status(host(i), "studio", packet.HostReady)
			}
			b.status(host(9), "archive", packet.HostReady)
		}, host(2), false},
		{"agent heard of through others", func(b *bench) {
			b.SetListedAgents(b.now, []netip.Addr{host(0), host(1), host(2), host(9)})
			b.AddAgents(b.now, []netip.Addr{host(20)})
		}, host(20), false},
		{"agent listed but not heard of", func(b *bench) {
			b.SetListedAgents(b.now, []netip.Addr{host(0), host(1), host(2), host(9), host(20)})
		}, host(20), false},
		{"agent silent", func(b *bench) {
			b.SetListedAgents(b.now, []netip.Addr{host(0), host(1), host(2), host(9)})
			b.later(silentAfter + time.Millisecond)
			for i := range 2 {
				b.status(host(i), "studio", packet.HostReady)
			}
			b.status(host(9), "archive", packet.HostReady)
		}, host(2), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.SetAgentListComplete(true)
			c.change(b)
			decisions := b.HandlePacket(b.now, s)
			var last []Decision
			for len(decisions) > 0 {
				last = decisions
				agents := asked(decisions, key)
				decisions = nil
				for _, a := range agents {
					if a == c.silent {
						continue
					}
					if next := b.denies(a, key); len(next) > 0 {
						decisions = next
					}
				}
				if len(agents) > 0 && len(decisions) == 0 {
					b.later(searchTimeout)
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

// Guards against denials that outlive the flow they were about: callers use their
// ports again.
func TestDenialsAreForgotten(t *testing.T) {
	b := newBench(t)
	s := segment(packet.ACK, 500, 6000)
	key := s.KeyFromCaller()
	for _, a := range []netip.Addr{host(0), host(1), host(2)} {
		b.HandlePacket(b.now, s)
		b.denies(a, key)
	}
	b.denies(host(9), key)
	b.later(searchTimeout)
	b.Tick(b.now)
	b.later(deniedTime + time.Second)
	for i := range 3 {
		b.status(host(i), "studio", packet.HostReady)
	}
	b.is.Equal(len(asked(b.HandlePacket(b.now, s), key)), 3)
}

// Guards against a search that keeps packets without bound.
func TestHeldPackets(t *testing.T) {
	b := newBench(t)
	for port := range uint16(2 * maxHeld / maxHeldFlow) {
		for range 2 * maxHeldFlow {
			s := segment(packet.ACK, 500, 6000)
			s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
			b.HandlePacket(b.now, s)
		}
	}
	b.is.Equal(b.flows.held, maxHeld)
	b.later(2 * time.Minute)
	b.Expire(b.now)
	b.is.Equal(b.flows.held, 0)
}

// Guards against an answer that names flows which are not searched for, or comes
// from an agent that is not known.
func TestLocatedOutOfTurn(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	owner := b.open()
	key := segment(0, 0, 0).KeyFromCaller()
	other := packet.NewKey(caller, otherAddr)
	keys := []flow.Key{key, other}
	is.Equal(len(b.HandleLocated(b.now, host(1), keys, keys, keys, packet.Load{})), 0)
	is.Equal(len(b.HandleLocated(b.now, host(77), nil, keys, keys, packet.Load{})), 0)
	is.Equal(b.forward(b.HandlePacket(b.now, segment(packet.ACK, 200, 6000))).Agent, owner)
}
