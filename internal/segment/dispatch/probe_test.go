package dispatch

import (
	"net/netip"
	"slices"
	"testing"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
)

// Guards against a search that goes on to the agents of other services although the
// flow is at a host whose agent cannot tell, against packets that this host gets twice,
// and against a search that moves on while a probed host is slow to answer, because the
// host that was probed before it returns another packet.
func TestProbes(t *testing.T) {
	b := newTestBalancer(t)
	var order []netip.Addr
	first := segment(packet.SYN, 100, 0)
	for range 3 {
		ranked := b.rank(b.now, first.KeyFromCaller(), packet.ServiceTag("studio"), func(a *agent) bool { return !slices.Contains(order, a.address) })
		order = append(order, ranked.first.address)
	}
	s := segment(packet.ACK, 500, 6000)
	key := s.KeyFromCaller()
	b.HandlePacket(b.now, s)
	for range 2 {
		b.HandlePacket(b.now, s)
	}
	b.replyUnsure(order[2], key)
	b.replyDenied(order[1], key)
	probes := b.replyUnsure(order[0], key)
	b.is.Equal(len(probes), probePackets)
	for _, d := range probes {
		b.is.Equal(d.(Forward).Agent, order[0])
		b.is.Equal(d.(Forward).Step, StepSearch)
	}
	probes = b.HandleReturned(b.now, order[0], s, packet.ReturnNotHeld, packet.Load{})
	b.is.Equal(probes[0].(Forward).Agent, order[2])
	b.is.Equal(len(b.HandleReturned(b.now, order[0], s, packet.ReturnNotHeld, packet.Load{})), 0) // the second packet of the probe
	_, decisions := b.HandleAccepted(b.now, order[2], key, 0, false, packet.Load{})
	b.is.Equal(b.onlyForward(decisions).Agent, order[2]) // only the third packet, which no probe has sent
}

// Guards against a flow whose packets reach three hosts and not its own, while the agent of
// its host restarts as planned and all other agents are unsure.
func TestProbesWhileAgentRestarts(t *testing.T) {
	b := newTestBalancer(t)
	for i := range 6 {
		b.reportStatus(host(i), "studio", packet.HostReady)
	}
	s := segment(packet.ACK, 500, 6000)
	key := s.KeyFromCaller()
	probed := 0
	for range 10 { // 1.5 s
		decisions := b.HandlePacket(b.now, s)
		for _, a := range lookupAgents(decisions, key) {
			if a == host(0) {
				continue // restarts
			}
			decisions = append(decisions, b.replyUnsure(a, key)...)
		}
		for range 5 {
			b.advance(searchTimeout)
			decisions = append(decisions, b.Tick(b.now)...)
		}
		for _, d := range decisions {
			if f, ok := d.(Forward); ok && f.Step == StepSearch {
				probed++
				b.HandleReturned(b.now, f.Agent, s, packet.ReturnNotHeld, packet.Load{})
			}
		}
	}
	b.is.Equal(probed, maxStrayPackets)
}

// Guards against packets that are dropped because the only host that can hold their
// flow has not answered a probe in time.
func TestOnlyCandidate(t *testing.T) {
	cases := []struct {
		name    string
		other   func(b *testBalancer, key flow.Key) []Decision
		forward bool
	}{
		{"all other agents deny the flow", func(b *testBalancer, key flow.Key) []Decision { return b.replyDenied(host(9), key) }, true},
		{"another agent does not reply", func(b *testBalancer, _ flow.Key) []Decision { b.advance(searchTimeout); return b.Tick(b.now) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(t)
			s := segment(packet.ACK, 500, 6000)
			key := s.KeyFromCaller()
			b.HandlePacket(b.now, s)
			b.replyDenied(host(0), key)
			b.replyDenied(host(1), key)
			b.is.Equal(b.onlyForward(b.replyUnsure(host(2), key)).Agent, host(2))
			b.HandlePacket(b.now, s)
			b.advance(searchTimeout)
			b.is.Equal(lookupAgents(b.Tick(b.now), key), []netip.Addr{host(9)})
			decisions := c.other(b, key)
			if !c.forward {
				b.is.Equal(decisions, []Decision{Drop{Flow: key, Reason: ReasonNotFound}})
				return
			}
			b.is.Equal(b.onlyForward(decisions).Agent, host(2)) // the buffered packet that the probe has not sent
			b.is.Equal(b.onlyForward(b.HandlePacket(b.now, s)).Agent, host(2))
			b.SetAgentListComplete(true)
			b.HandleReturned(b.now, host(2), s, packet.ReturnNotHeld, packet.Load{})
			b.is.Equal(b.nextRound(), []Decision{Reset{Flow: key, Sequence: 6000, Reason: ReasonHeldNowhere}})
		})
	}
}
