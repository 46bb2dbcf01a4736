package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"agateramp/internal/segment/hosthealth"
	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/routes"
)

// newHealthBalancer returns a testBalancer that judges hosts. Its two routes lead to studio; the requests of that of
// studioAddr may be repeated.
func newHealthBalancer(t *testing.T) *testBalancer {
	t.Helper()
	b := newTestBalancer(t)
	b.judgeHosts = true
	studio := []routes.Target{{Service: "studio", Weight: 1}}
	set, err := routes.New(routes.Config{Version: 2, Routes: []routes.Route{
		{Name: "feed", Address: studioAddr, Targets: studio, Repeatable: true}, {Name: "orders", Address: otherAddr, Targets: studio},
	}})
	b.is.NoErr(err)
	b.is.True(b.SetRoutes(set))
	return b
}

func (b *testBalancer) reportHealth(i, failures int, latency time.Duration) {
	b.HandleStatus(b.now, host(i), Status{Service: "studio", State: packet.HostReady, Load: packet.Load{
		Slots: 2, Health: hosthealth.Report{Requests: 24, Failures: failures, Latency: latency},
	}})
}

// offers returns how many of 300 new flows to an address are offered to host 1 first, which fails as many requests as given.
func (b *testBalancer) offers(to netip.AddrPort, failures int) (count int) {
	for i := range 3 {
		b.reportHealth(i, 0, 20*time.Millisecond)
	}
	b.reportHealth(1, failures, 20*time.Millisecond)
	for port := range uint16(300) {
		if b.onlyForward(b.HandlePacket(b.now, firstPacket(port+1, to, 0))).Agent == host(1) {
			count++
		}
	}
	return count
}

// Guards against new flows for a host that fails, above all those whose requests cannot be repeated, and against hosts that
// are judged where the settings do not ask for it.
func TestFailingHostGetsLess(t *testing.T) {
	cases := []struct {
		name     string
		judge    bool
		failures int
		// feedLeast and feedMost are the bounds of the flows that may be repeated, ordersLeast and ordersMost of the others.
		feedLeast, feedMost, ordersLeast, ordersMost int
	}{
		{"healthy", true, 0, 70, 130, 70, 130},
		{"fails some", true, 5, 20, 80, 0, 0},
		{"fails all", true, 24, 0, 0, 0, 0},
		{"not judged", false, 24, 70, 130, 70, 130},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newHealthBalancer(t)
			b.judgeHosts = c.judge
			feed, orders := b.offers(studioAddr, c.failures), b.offers(otherAddr, c.failures)
			b.is.True(feed >= c.feedLeast && feed <= c.feedMost)
			b.is.True(orders >= c.ordersLeast && orders <= c.ordersMost)
			changes, lowered := b.ShareChanges()
			b.is.Equal(len(changes), lowered)
			b.is.Equal(lowered == 1, c.judge && c.failures > 0)
		})
	}
}

// Guards against a host that answers again and is never offered a flow, because its agent reports it as unresponsive, and
// against flows that are lost to it one after the other, above all those whose requests cannot be repeated.
func TestUnresponsiveHostIsTried(t *testing.T) {
	b := newHealthBalancer(t)
	tried := map[bool]int{}
	for port := range uint16(1000) {
		b.advance(7 * time.Millisecond)
		for i := range 3 {
			b.reportHealth(i, 0, 20*time.Millisecond)
		}
		b.reportStatus(host(1), "studio", packet.HostUnresponsive)
		to := studioAddr
		if port%2 == 0 {
			to = otherAddr
		}
		if b.onlyForward(b.HandlePacket(b.now, firstPacket(port+1, to, 0))).Agent == host(1) {
			tried[to == studioAddr]++
		}
	}
	b.is.Equal(tried[false], 0)
	b.is.True(tried[true] >= 20 && tried[true] <= 24) // one each 300 ms within 7 s
}

// Guards against a usual latency that follows a host that fails fast or is slow.
func TestUsualLatency(t *testing.T) {
	b := newHealthBalancer(t)
	usual := func(latencies ...time.Duration) time.Duration {
		for i, latency := range latencies {
			b.reportHealth(i, 0, latency)
		}
		b.advance(usualInterval)
		return b.UsualLatency(b.now, host(0))
	}
	b.is.Equal(usual(0, 0, 0), time.Duration(0))
	b.is.Equal(usual(20*time.Millisecond, 300*time.Millisecond, time.Millisecond), 20*time.Millisecond)
	b.is.Equal(usual(0, time.Millisecond, 30*time.Millisecond), 30*time.Millisecond) // the slower one of two
	b.is.Equal(usual(0, 0, 0), 30*time.Millisecond)
	b.judgeHosts = false
	b.is.Equal(usual(10*time.Millisecond), time.Duration(0))
}

// Guards against flows without a host because the one that is left has failed requests before.
func TestLastHostGetsFlows(t *testing.T) {
	b := newHealthBalancer(t)
	b.is.Equal(b.offers(otherAddr, 24), 0)
	b.reportStatus(host(0), "studio", packet.HostDraining)
	b.reportStatus(host(2), "studio", packet.HostDraining)
	b.advance(silentAfter / 2)
	b.is.Equal(b.onlyForward(b.HandlePacket(b.now, firstPacket(301, otherAddr, 0))).Agent, host(1))
}
