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

// dataCentres holds the data centre of each host; the balancer is in north.
var dataCentres = map[netip.Addr]string{host(0): "south", host(1): "south", host(2): "west", host(9): "north"}

// newRelayBalancer returns a balancer that reaches all data centres, as one in west does.
func newRelayBalancer(t *testing.T) *testBalancer {
	t.Helper()
	b := newTestBalancer(t)
	set, err := paths.New(paths.Config{DataCentre: "north"})
	b.is.NoErr(err)
	b.paths = set
	b.poll("")
	set.HandleDigest(b.now, relayAddr, "west", []string{"north", "south", "west"}, 100)
	b.SetAgentListComplete(true)
	return b
}

// poll asks all agents for their status twice, those in the data centre cut in vain.
func (b *testBalancer) poll(cut string) {
	for range 2 {
		b.advance(200 * time.Millisecond)
		for i := range 10 {
			for range 3 { // each stands for three agents
				b.RecordRequest(b.now, host(i))
			}
			name, service := dataCentres[host(i)], "studio"
			if name == "north" {
				service = "archive"
			}
			if name != "" && name != cut {
				b.HandleStatus(b.now, host(i), Status{Service: service, DataCentre: name, State: packet.HostReady, Load: packet.Load{Slots: 2}})
			}
		}
	}
}

// destination returns where the last decision sends a packet, or its type.
func destination(decisions []Decision) string {
	if len(decisions) == 0 {
		return "none"
	}
	switch d := decisions[len(decisions)-1].(type) {
	case Forward:
		return d.Agent.String()
	case Relay:
		return fmt.Sprintf("%v for %v", d.Balancer, d.Holder)
	default:
		return fmt.Sprintf("%T", d)
	}
}

// Guards against packets of open flows that are lost in a cut although another balancer
// reaches the host, and against a detour without need: the host is reached, or no balancer
// reaches it.
func TestOpenFlowIsRelayed(t *testing.T) {
	cases := []struct {
		name     string
		owner    netip.Addr
		cut      string
		reached  []string
		expected string
	}{
		{"cut", host(0), "south", []string{"south"}, relayAddr.String() + " for " + host(0).String()},
		{"no cut", host(0), "", []string{"south"}, host(0).String()},
		{"another data centre is cut off", host(2), "south", []string{"south", "west"}, host(2).String()},
		{"nobody reaches it", host(0), "south", []string{"west"}, host(0).String()},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newRelayBalancer(t)
			first, later := segment(packet.SYN, 100, 0), segment(packet.ACK, 101, 5001)
			b.HandlePacket(b.now, first)
			b.HandleAccepted(b.now, c.owner, first.KeyFromCaller(), 5000, true, packet.Load{})
			b.onlyForward(b.HandlePacket(b.now, later))
			b.poll(c.cut)
			b.paths.HandleDigest(b.now, relayAddr, "west", c.reached, 100)
			b.is.Equal(destination(b.HandlePacket(b.now, later)), c.expected)
			b.poll("")
			b.is.Equal(destination(b.HandlePacket(b.now, later)), c.owner.String()) // back to the short way
		})
	}
}

// Guards against packets of unknown flows that are dropped, or searched for again and again,
// while the agents behind a cut cannot be asked; and against first packets that are offered
// to hosts behind the cut.
func TestUnknownFlowIsRelayed(t *testing.T) {
	is := is.New(t)
	b := newRelayBalancer(t)
	b.poll("south")
	s := segment(packet.ACK, 101, 5001)
	b.HandlePacket(b.now, s)
	b.deny(host(2))
	b.nextRound()
	relayed := relayAddr.String() + " for invalid IP"
	is.Equal(destination(b.deny(host(9))), relayed)
	is.Equal(destination(b.HandlePacket(b.now, s)), relayed)
	is.Equal(destination(b.HandlePacket(b.now, segment(packet.SYN, 900, 0))), host(2).String())
}

// Guards against relayed packets that go from balancer to balancer, are not shown to the
// named host first, are placed as new flows, or lead to a reset that the relaying balancer
// cannot know to be right.
func TestHandleRelayed(t *testing.T) {
	later := segment(packet.ACK, 101, 5001)
	cases := []struct {
		name string
		s    *packet.Segment
		// If returned is set, the named host 1 returns the packet. accepted is the host that
		// then reports the flow, and denied those that deny it.
		returned bool
		accepted netip.Addr
		denied   []netip.Addr
		cut      string
		expected string
	}{
		{"held", later, false, host(1), nil, "", host(1).String()},
		{"cut off here, too", later, false, host(1), nil, "south", host(1).String()},
		{"found elsewhere", later, true, host(2), nil, "", host(2).String()},
		{"all deny", later, true, netip.Addr{}, []netip.Addr{host(0), host(2), host(9)}, "", "dispatch.Reset"},
		{"one is silent", later, true, netip.Addr{}, []netip.Addr{host(2), host(9)}, "south", "dispatch.Drop"},
		{"opening packet", segment(packet.SYN, 100, 0), false, netip.Addr{}, nil, "", "dispatch.Drop"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newRelayBalancer(t)
			decisions := b.HandleRelayed(b.now, c.s, host(1))
			if c.s == later {
				b.is.Equal(destination(decisions), host(1).String()) // shown to the named host
			}
			if c.returned {
				b.HandleReturned(b.now, host(1), c.s, packet.ReturnNotHeld, packet.Load{})
			}
			if c.accepted.IsValid() {
				b.HandleAccepted(b.now, c.accepted, c.s.KeyFromCaller(), 0, false, packet.Load{})
			}
			if c.cut != "" {
				b.poll(c.cut)
			}
			for _, a := range c.denied {
				b.nextRound()
				decisions = b.deny(a)
			}
			if c.accepted.IsValid() {
				decisions = b.HandleRelayed(b.now, c.s, host(1))
			}
			b.is.Equal(destination(decisions), c.expected)
		})
	}
}
