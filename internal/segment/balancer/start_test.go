package balancer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/core/flow"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/segment/dispatch"
	"agateramp/internal/segment/message"
	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/routes"
)

// testAgent returns the address of an agent of testList.
func testAgent(n byte) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 1, n}) }

// testPeer is the address of another balancer.
var testPeer = netip.MustParseAddr("127.0.0.2")

// newStartedBalancer returns a balancer that started at now, watches the store and has
// read a list with agents 1 and 2. Their hosts are slow for cold after their start.
func newStartedBalancer(t *testing.T, now time.Time, cold time.Duration) *Balancer {
	t.Helper()
	b := newTestBalancer(t)
	b.startedAt = now
	b.updateWatching()
	b.handleStoreReachable(true)
	b.applyList(testList(20, 1, 2), "store")
	b.reportHosts(now, cold)
	return b
}

// reportHosts handles the status of agents 1 and 2.
func (b *Balancer) reportHosts(now time.Time, cold time.Duration) {
	for n := range byte(2) {
		b.handleStatus(now, testAgent(n+1), message.Status{Node: "side", Service: "studio", State: packet.HostReady, ColdRemaining: cold})
	}
}

// isReset reports whether the balancer resets a flow that all known agents deny.
func (b *Balancer) isReset(now time.Time) bool {
	address := netip.MustParseAddrPort("198.18.0.1:443")
	set, err := routes.New(routes.Config{Version: 1, Routes: []routes.Route{{Address: address, Targets: []routes.Target{{Service: "studio", Weight: 1}}}}})
	if err != nil {
		panic(err)
	}
	b.core.SetRoutes(set)
	s := &packet.Segment{Source: netip.MustParseAddrPort("100.64.0.7:40001"), Destination: address, Flags: packet.ACK, Acknowledgement: 6000, Data: []byte{1}}
	decisions := b.core.HandlePacket(now, s)
	for _, agent := range b.core.Agents() {
		decisions = append(decisions, b.core.HandleLocated(now, agent, dispatch.Located{Denied: []flow.Key{s.KeyFromCaller()}})...)
	}
	decisions = append(decisions, b.core.Tick(now.Add(30*time.Millisecond))...)
	for _, d := range decisions {
		if r, ok := d.(dispatch.Reset); ok && r.Reason == dispatch.ReasonHeldNowhere {
			return true
		}
	}
	return false
}

// Guards against resets of flows that live at an agent whose entry has lapsed and is not
// back, by a balancer that started after the store's return or its restore. After a loss
// of power of everything there are no such flows, and callers must not wait for a reset.
func TestResetsAfterStart(t *testing.T) {
	established := message.Digest{Watching: true, ListRevision: store.Revision{Number: 20}, ListComplete: true}
	handle := func(d message.Digest, sameAgents bool) func(b *Balancer, now time.Time) {
		return func(b *Balancer, now time.Time) {
			d.Agents = b.hashAgents(now)
			if !sameAgents {
				d.Agents++
			}
			b.handleDigest(now, testPeer, d)
		}
	}
	waiting, starting := established, established
	waiting.ListComplete = false
	starting.Starting, starting.ListComplete = true, false
	returnStore := func(b *Balancer, _ time.Time) {
		b.handleStoreReachable(false)
		b.handleStoreReachable(true)
	}
	const cold = time.Second
	cases := []struct {
		name string
		cold time.Duration
		// later is the time since the start.
		later time.Duration
		then  func(b *Balancer, now time.Time)
		reset bool
	}{
		{"hosts ran before", 0, 0, nil, false},
		{"hosts ran before, a second later", 0, time.Second, nil, false},
		{"hosts ran before, unlisted agents had the time to report", 0, 1300 * time.Millisecond, nil, true},
		{"all hosts have just started", cold, 0, nil, true},
		{"all hosts had just started", cold, time.Second, nil, true},
		{"one host ran before", cold, 0, func(b *Balancer, now time.Time) {
			b.handleStatus(now, testAgent(3), message.Status{Node: "side", Service: "studio", State: packet.HostReady})
		}, false},
		{"one host is gone", cold, 0, func(b *Balancer, now time.Time) {
			b.handleStatus(now, testAgent(3), message.Status{Node: "side", Service: "studio", State: packet.HostGone})
		}, true},
		{"one host of three was not seen yet", cold, 0, func(b *Balancer, now time.Time) {
			b.handleStatus(now, testAgent(3), message.Status{Node: "side", Service: "studio", State: packet.HostUnknown})
		}, true},
		{"most hosts were not seen yet", cold, 0, func(b *Balancer, now time.Time) {
			for n := range byte(3) {
				b.handleStatus(now, testAgent(n+3), message.Status{Node: "side", Service: "studio", State: packet.HostUnknown})
			}
		}, false},
		{"all hosts have just started, and the store has just returned", cold, 0, returnStore, true},
		{"hosts ran before, and the store has just returned", 0, 0, returnStore, false},
		{"another balancer has the complete list and the same agents", 0, 0, handle(established, true), true},
		{"another balancer has the complete list and other agents", 0, 0, handle(established, false), false},
		{"another balancer has the complete list, its view was read", 0, 0, func(b *Balancer, now time.Time) {
			handle(established, false)(b, now)
			b.applyView(testPeer, []netip.Addr{testAgent(1)}, nil)
		}, true},
		{"another balancer has the complete list, its view has an unlisted agent", 0, 0, func(b *Balancer, now time.Time) {
			handle(established, false)(b, now)
			b.applyView(testPeer, []netip.Addr{testAgent(3)}, nil)
		}, false},
		{"another balancer waits for entries", 0, 0, handle(waiting, true), false},
		{"all hosts have just started, another balancer ran before and has other agents", cold, 0, handle(waiting, false), false},
		{"all hosts have just started, and another balancer too", cold, 0, handle(starting, false), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			b := newStartedBalancer(t, now, c.cold)
			now = now.Add(c.later)
			if c.later > 0 {
				b.handleStoreReachable(true)
				b.reportHosts(now, max(c.cold-c.later, 0))
			}
			if c.then != nil {
				c.then(b, now)
			}
			b.core.SetAgentListComplete(b.agentsComplete(now))
			is := is.New(t)
			is.Equal(b.isReset(now), c.reset)
			is.Equal(b.digest(now).Starting, c.later <= entryReturnDelay)
		})
	}
}
