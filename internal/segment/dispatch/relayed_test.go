package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/paths"
)

// relayAddr is a balancer in the third data centre.
var relayAddr = netip.MustParseAddr("10.3.0.9")

// newRelayBalancer returns a balancer in north with the hosts 0 and 1 of studio in south,
// 2 in west and that of archive in north. A balancer in west reaches all of them.
func newRelayBalancer(t *testing.T) *testBalancer {
	t.Helper()
	b := newTestBalancer(t)
	set, err := paths.New(paths.Config{DataCentre: "north"})
	b.is.NoErr(err)
	b.paths = set
	b.pollAll(nil)
	set.HandleDigest(b.now, relayAddr, "west", []string{"north", "south", "west"}, 100)
	b.SetAgentListComplete(true)
	return b
}

// pollAll asks all agents for their status twice. Those in the data centres that are cut
// do not answer.
func (b *testBalancer) pollAll(cut map[string]bool) {
	dataCentres := []string{"south", "south", "west", "", "", "", "", "", "", "north"}
	for range 2 {
		b.advance(200 * time.Millisecond)
		for i, name := range dataCentres {
			// The data centre is asked often enough for its size.
			for range 3 {
				b.RecordRequest(b.now, host(i))
			}
			if name != "" && !cut[name] {
				service := "studio"
				if name == "north" {
					service = "archive"
				}
				b.HandleStatus(b.now, host(i), Status{Service: service, DataCentre: name, State: packet.HostReady, Load: packet.Load{Slots: 2}})
			}
		}
	}
}

// openFlowAt opens the flow of segment at a host.
func (b *testBalancer) openFlowAt(agent netip.Addr) {
	first := segment(packet.SYN, 100, 0)
	b.HandlePacket(b.now, first)
	b.HandleAccepted(b.now, agent, first.KeyFromCaller(), 5000, true, packet.Load{})
	b.onlyForward(b.HandlePacket(b.now, segment(packet.ACK, 101, 5001)))
}

// Guards against packets of open flows that are lost in a cut although another balancer
// reaches the host, and against a detour without need: the host is reached, or no balancer
// reaches it.
func TestOpenFlowIsRelayed(t *testing.T) {
	cases := []struct {
		name     string
		owner    netip.Addr
		cut      map[string]bool
		noRelay  bool
		expected Decision
	}{
		{"cut", host(0), map[string]bool{"south": true}, false, Relay{Balancer: relayAddr, Holder: host(0)}},
		{"no cut", host(0), nil, false, Forward{Agent: host(0)}},
		{"other data centre", host(2), map[string]bool{"south": true}, false, Forward{Agent: host(2)}},
		{"nobody reaches it", host(0), map[string]bool{"south": true}, true, Forward{Agent: host(0)}},
		{"cut from everything", host(0), map[string]bool{"south": true, "west": true, "north": true}, false, Forward{Agent: host(0)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newRelayBalancer(t)
			b.openFlowAt(c.owner)
			b.pollAll(c.cut)
			if c.noRelay {
				b.paths.HandleDigest(b.now, relayAddr, "west", []string{"north", "west"}, 100)
			}
			decisions := b.HandlePacket(b.now, segment(packet.ACK, 101, 5001))
			b.is.Equal(destination(decisions), destination([]Decision{c.expected}))

			b.pollAll(nil)
			decisions = b.HandlePacket(b.now, segment(packet.ACK, 101, 5001))
			b.is.Equal(destination(decisions), destination([]Decision{Forward{Agent: c.owner}})) // back to the short way
		})
	}
}

// destination returns where the only decision sends a packet.
func destination(decisions []Decision) string {
	if len(decisions) != 1 {
		return fmt.Sprint(decisions)
	}
	switch d := decisions[0].(type) {
	case Forward:
		return "agent " + d.Agent.String()
	case Relay:
		return "balancer " + d.Balancer.String() + " for " + d.Holder.String()
	}
	return fmt.Sprintf("%T", decisions[0])
}

// Guards against packets of unknown flows that are dropped, or searched for again and again,
// while the agents behind a cut cannot be asked; and against first packets that are relayed
// or offered to hosts behind the cut.
func TestUnknownFlowIsRelayed(t *testing.T) {
	is := is.New(t)
	b := newRelayBalancer(t)
	b.pollAll(map[string]bool{"south": true})
	s := segment(packet.ACK, 101, 5001)
	b.HandlePacket(b.now, s)
	b.replyDenied(host(2), s.KeyFromCaller())
	b.nextRound()
	decisions := b.replyDenied(host(9), s.KeyFromCaller())
	is.Equal(destination(decisions), "balancer "+relayAddr.String()+" for invalid IP")
	is.Equal(destination(b.HandlePacket(b.now, s)), "balancer "+relayAddr.String()+" for invalid IP")

	first := segment(packet.SYN, 900, 0)
	is.Equal(b.onlyForward(b.HandlePacket(b.now, first)).Agent, host(2))

	b.pollAll(nil)
	b.HandleAccepted(b.now, host(1), s.KeyFromCaller(), 0, false, packet.Load{})
	is.Equal(b.onlyForward(b.HandlePacket(b.now, s)).Agent, host(1))
}

// Guards against relayed packets that go from balancer to balancer, are not shown to the
// named host first, or lead to a reset that the relaying balancer cannot know to be right.
func TestHandleRelayed(t *testing.T) {
	s := segment(packet.ACK, 101, 5001)
	key := s.KeyFromCaller()
	cases := []struct {
		name   string
		holder netip.Addr
		// answer is what follows the relayed packet, or nil.
		answer   func(b *testBalancer) []Decision
		expected string
	}{
		{"shown to the holder", host(1), nil, "agent " + host(1).String()},
		{"held", host(1), func(b *testBalancer) []Decision {
			b.HandleAccepted(b.now, host(1), key, 0, false, packet.Load{})
			return b.HandleRelayed(b.now, s, host(1))
		}, "agent " + host(1).String()},
		{"cut off here, too", host(1), func(b *testBalancer) []Decision {
			b.HandleAccepted(b.now, host(1), key, 0, false, packet.Load{})
			b.pollAll(map[string]bool{"south": true})
			return b.HandleRelayed(b.now, s, host(1))
		}, "agent " + host(1).String()},
		{"found elsewhere", host(1), func(b *testBalancer) []Decision {
			b.HandleReturned(b.now, host(1), s, packet.ReturnNotHeld, packet.Load{})
			b.HandleAccepted(b.now, host(2), key, 0, false, packet.Load{})
			return b.HandleRelayed(b.now, s, host(1))
		}, "agent " + host(2).String()},
		{"opening packet", netip.Addr{}, func(b *testBalancer) []Decision {
			return b.HandleRelayed(b.now, segment(packet.SYN, 100, 0), netip.Addr{})
		}, "dispatch.Drop"},
		{"reset when all deny", host(1), func(b *testBalancer) []Decision {
			b.HandleReturned(b.now, host(1), s, packet.ReturnNotHeld, packet.Load{})
			b.deny(host(0), host(2))
			b.nextRound()
			return b.deny(host(9))
		}, "dispatch.Reset"},
		{"dropped while one is silent", host(1), func(b *testBalancer) []Decision {
			b.HandleReturned(b.now, host(1), s, packet.ReturnNotHeld, packet.Load{})
			b.deny(host(2))
			b.pollAll(map[string]bool{"south": true})
			b.nextRound()
			return b.deny(host(9))
		}, "dispatch.Drop"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newRelayBalancer(t)
			decisions := b.HandleRelayed(b.now, s, c.holder)
			if c.answer != nil {
				decisions = c.answer(b)
			}
			is.New(t).Equal(destination(decisions), c.expected)
		})
	}
}
