package dispatch

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"agateramp/internal/segment/packet"
)

// newStartingBalancer returns a balancer that has neither a configuration nor agents.
func newStartingBalancer(t *testing.T) *testBalancer {
	t.Helper()
	is := is.New(t)
	d, err := New(Config{})
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
