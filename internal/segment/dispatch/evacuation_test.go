package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"agateramp/internal/segment/packet"
)

// newPlacesBalancer returns a testBalancer with the hosts of studio in the data centres a, b and c, and that of archive
// in c.
func newPlacesBalancer(t *testing.T) *testBalancer {
	t.Helper()
	b := newTestBalancer(t)
	for i, dataCentre := range []string{"a", "b", "c"} {
		b.reportPlace(host(i), "studio", dataCentre)
	}
	b.reportPlace(host(9), "archive", "c")
	return b
}

// reportPlace handles a status of an agent in a data centre.
func (b *testBalancer) reportPlace(address netip.Addr, service, dataCentre string) {
	b.HandleStatus(b.now, address, Status{Service: service, DataCentre: dataCentre, State: packet.HostReady, Load: packet.Load{Slots: 2}})
}

// Guards against a first packet that reaches a host in an evacuated data centre, whichever step sends it.
func TestNoOfferToEvacuatedHosts(t *testing.T) {
	cases := []struct {
		name string
		// send brings a flow to the point at which its first packet is sent next, and sends it.
		send func(b *testBalancer, s *packet.Segment, evacuate func()) []Decision
	}{
		{"new", func(b *testBalancer, s *packet.Segment, evacuate func()) []Decision {
			evacuate()
			return b.HandlePacket(b.now, s)
		}},
		{"returned", func(b *testBalancer, s *packet.Segment, evacuate func()) []Decision {
			a := b.onlyForward(b.HandlePacket(b.now, s)).Agent
			evacuate()
			return b.HandleReturned(b.now, a, s, packet.ReturnEvacuated, packet.Load{})
		}},
		{"hedge", func(b *testBalancer, s *packet.Segment, evacuate func()) []Decision {
			b.HandlePacket(b.now, s)
			evacuate()
			b.advance(offerTimeout)
			return b.Tick(b.now)
		}},
		{"copy", func(b *testBalancer, s *packet.Segment, evacuate func()) []Decision {
			b.HandlePacket(b.now, s)
			evacuate()
			return b.HandlePacket(b.now, s)
		}},
		{"queued", func(b *testBalancer, s *packet.Segment, evacuate func()) []Decision {
			b.queueAfterBusy(s)
			evacuate()
			b.advance(fullBackoff)
			return b.Tick(b.now)
		}},
		{"its host died", func(b *testBalancer, s *packet.Segment, evacuate func()) []Decision {
			a := b.onlyForward(b.HandlePacket(b.now, s)).Agent
			b.HandleAccepted(b.now, a, s.KeyFromCaller(), 5000, true, packet.Load{})
			b.HandlePacket(b.now, segment(packet.ACK, 101, 5001))
			b.reportStatus(a, "studio", packet.HostGone)
			evacuate()
			s.Sequence++
			return b.HandlePacket(b.now, s)
		}},
	}
	for _, c := range cases {
		for port := range uint16(20) {
			t.Run(fmt.Sprint(c.name, port), func(t *testing.T) {
				b := newPlacesBalancer(t)
				s := firstPacket(1000+port, studioAddr, 0)
				decisions := c.send(b, s, func() {
					b.SetEvacuated([]string{"a", "b"})
					for i := range 3 {
						b.HandleStatus(b.now, host(i), Status{Service: "studio", DataCentre: string(rune('a' + i)), State: packet.HostReady})
					}
				})
				for _, decision := range decisions {
					if f, ok := decision.(Forward); ok {
						b.is.Equal(f.Agent, host(2))
						continue
					}
					b.is.Equal(c.name, "returned") // by the only host left
				}
				b.is.True(len(decisions) == 1 || c.name == "hedge")
			})
		}
	}
}

// Guards against callers that wait although every host of their service is evacuated, against a reset of a flow whose
// host may be elsewhere or may still accept it, and against hosts that stay empty after the end of the evacuation.
func TestServiceEvacuated(t *testing.T) {
	b := newPlacesBalancer(t)
	offered := firstPacket(900, studioAddr, 0)
	b.HandlePacket(b.now, offered)
	b.queueAfterBusy(firstPacket(901, studioAddr, 0))
	b.SetEvacuated([]string{"a", "b", "c"})
	reset := func(port uint16, to netip.AddrPort) []Decision {
		return []Decision{Reset{Flow: firstPacket(port, to, 0).KeyFromCaller(), Reason: ReasonEvacuated}}
	}
	b.is.Equal(b.HandlePacket(b.now, firstPacket(902, studioAddr, 0)), reset(902, studioAddr))
	b.is.Equal(b.HandlePacket(b.now, firstPacket(902, otherAddr, 0)), reset(902, otherAddr))
	b.advance(fullBackoff)
	b.is.Equal(b.Tick(b.now), reset(901, studioAddr))
	b.is.Equal(b.HandlePacket(b.now, firstPacket(900, studioAddr, 1)), []Decision{Drop{Flow: offered.KeyFromCaller(), Reason: ReasonEvacuated}})

	b.AddAgents(b.now, []netip.Addr{host(5)}) // has not sent a status
	b.is.Equal(b.HandlePacket(b.now, firstPacket(903, studioAddr, 0)), []Decision{Drop{Flow: firstPacket(903, studioAddr, 0).KeyFromCaller(), Reason: ReasonQueued}})
	b.reportPlace(host(5), "archive", "c")
	b.SetEvacuated([]string{"a"})
	b.is.True(b.onlyForward(b.HandlePacket(b.now, firstPacket(904, studioAddr, 0))).Agent != host(0))
	b.SetEvacuated(nil)
	seen := make(map[netip.Addr]bool)
	for port := range uint16(100) {
		seen[b.onlyForward(b.HandlePacket(b.now, firstPacket(1000+port, studioAddr, 0))).Agent] = true
	}
	b.is.Equal(len(seen), 3)
}

// Guards against packets of open flows that leave their host when its data centre is evacuated, and against copies of a
// first packet that go elsewhere although its host has answered.
func TestEvacuationKeepsFlows(t *testing.T) {
	b := newPlacesBalancer(t)
	owner := b.openFlow()
	answered := firstPacket(900, studioAddr, 0)
	a := b.onlyForward(b.HandlePacket(b.now, answered)).Agent
	b.HandleAccepted(b.now, a, answered.KeyFromCaller(), 5000, true, packet.Load{})
	b.SetEvacuated([]string{"a", "b", "c"})
	b.advance(200 * time.Millisecond)
	b.is.Equal(b.onlyForward(b.HandlePacket(b.now, segment(packet.ACK, 200, 6000))).Agent, owner)
	repeated := b.onlyForward(b.HandlePacket(b.now, firstPacket(900, studioAddr, 1)))
	b.is.Equal(repeated.Agent, a)
	b.is.Equal(repeated.Step, StepRepeat)
}
