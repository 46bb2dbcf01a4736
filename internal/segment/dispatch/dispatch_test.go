package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/routes"
)

var (
	startTime  = time.Unix(1_000_000, 0)
	studioAddr = netip.MustParseAddrPort("198.18.0.1:443")
	otherAddr  = netip.MustParseAddrPort("198.18.0.2:443")
	caller     = netip.MustParseAddrPort("100.64.0.7:40001")

	// silentAfter is how long after its last message an agent counts as silent when
	// there are few agents.
	silentAfter = time.Duration(silentIntervals * float64(minStatusInterval))
)

// testBalancer is a dispatcher with a clock of its own, three hosts of the service
// studio (0 to 2) and one of archive (9).
type testBalancer struct {
	*Dispatcher
	is  *is.I
	now time.Time
}

func newTestBalancer(t *testing.T) *testBalancer {
	t.Helper()
	d, err := New(Config{})
	is := is.New(t)
	is.NoErr(err)
	b := &testBalancer{Dispatcher: d, is: is, now: startTime}
	is.True(d.SetRoutes(routeSet(t, 1, studioAddr, otherAddr)))
	for i := range 3 {
		b.reportStatus(host(i), "studio", packet.HostReady)
	}
	b.reportStatus(host(9), "archive", packet.HostReady)
	return b
}

// routeSet returns a configuration that routes the address studio to the service of
// that name, and likewise archive. An invalid address gets no route.
func routeSet(t *testing.T, version uint64, studio, archive netip.AddrPort) *routes.Set {
	t.Helper()
	var routeList []routes.Route
	if studio.IsValid() {
		routeList = append(routeList, routes.Route{Name: "studio", Address: studio, Targets: []routes.Target{{Service: "studio", Weight: 1}}})
	}
	if archive.IsValid() {
		routeList = append(routeList, routes.Route{Name: "archive", Address: archive, Targets: []routes.Target{{Service: "archive", Weight: 1}}})
	}
	set, err := routes.New(routes.Config{Version: version, Routes: routeList})
	is.New(t).NoErr(err)
	return set
}

// host returns the address of the agent of host i.
func host(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}) }

// reportStatus handles a status of an agent whose host has two slots.
func (b *testBalancer) reportStatus(address netip.Addr, service string, state packet.HostState) {
	b.HandleStatus(b.now, address, Status{Service: service, State: state, Load: packet.Load{Slots: 2}})
}

func (b *testBalancer) advance(by time.Duration) { b.now = b.now.Add(by) }

// segment returns a packet from caller to studioAddr.
func segment(flags packet.Flags, sequence, acknowledgement uint32) *packet.Segment {
	return &packet.Segment{
		Source: caller, Destination: studioAddr, Flags: flags, Sequence: sequence, Acknowledgement: acknowledgement, Data: []byte{1},
	}
}

// onlyForward returns the only decision, which must be a Forward.
func (b *testBalancer) onlyForward(decisions []Decision) Forward {
	b.is.Helper()
	b.is.Equal(len(decisions), 1)
	f, ok := decisions[0].(Forward)
	b.is.True(ok) // the decision is a Forward
	return f
}

// openFlow opens the flow of segment and returns its owner.
func (b *testBalancer) openFlow() (owner netip.Addr) {
	first := segment(packet.SYN, 100, 0)
	owner = b.onlyForward(b.HandlePacket(b.now, first)).Agent
	b.HandleAccepted(b.now, owner, first.KeyFromCaller(), 5000, true, packet.Load{})
	f := b.onlyForward(b.HandlePacket(b.now, segment(packet.ACK, 101, 5001)))
	b.is.Equal(f.Agent, owner)
	return owner
}

// Guards against offers to further hosts although the answer has arrived: a balancer with a
// small share of a processor is stalled for longer than it waits for an answer.
func TestStalledBalancerReadsAnswersFirst(t *testing.T) {
	for _, answered := range []bool{true, false} {
		b := newTestBalancer(t)
		first := segment(packet.SYN, 100, 0)
		owner := b.onlyForward(b.HandlePacket(b.now, first)).Agent
		b.advance(offerTimeout + 2*stallThreshold)
		b.is.Equal(len(b.Tick(b.now)), 0)
		if answered {
			b.HandleAccepted(b.now, owner, first.KeyFromCaller(), 5000, true, packet.Load{})
		}
		b.advance(stallGrace + 2*stallThreshold) // stalled again
		decisions := b.Tick(b.now)
		if answered {
			b.is.Equal(len(decisions), 0)
			continue
		}
		b.is.Equal(b.onlyForward(decisions).Step, StepHedge)
	}
}

// Guards against packets of an open flow that are sent to another host than its
// owner when hosts join or drain, the agent of the owner does not answer, or the
// configuration moves the route to another service.
func TestOpenFlowKeepsOwner(t *testing.T) {
	cases := []struct {
		name   string
		change func(b *testBalancer, owner netip.Addr)
	}{
		{"hosts join", func(b *testBalancer, _ netip.Addr) {
			for i := 3; i < 9; i++ {
				b.reportStatus(host(i), "studio", packet.HostReady)
			}
		}},
		{"its host drains", func(b *testBalancer, owner netip.Addr) { b.reportStatus(owner, "studio", packet.HostDraining) }},
		{"its agent does not answer", func(b *testBalancer, _ netip.Addr) { b.advance(silentAfter + time.Second) }},
		{"its route changes service", func(b *testBalancer, _ netip.Addr) {
			b.is.True(b.SetRoutes(routeSet(t, 2, netip.AddrPort{}, studioAddr)))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(t)
			owner := b.openFlow()
			c.change(b, owner)
			f := b.onlyForward(b.HandlePacket(b.now, segment(packet.ACK, 200, 6000)))
			b.is.Equal(f.Agent, owner)
		})
	}
}

// Guards against new flows at hosts that are draining, gone, unresponsive or of
// another service, and at agents that are silent or about to restart.
func TestPlaceSkipsUnavailableHosts(t *testing.T) {
	cases := []struct {
		name   string
		change func(b *testBalancer, agent netip.Addr)
	}{
		{"draining", func(b *testBalancer, a netip.Addr) { b.reportStatus(a, "studio", packet.HostDraining) }},
		{"gone", func(b *testBalancer, a netip.Addr) { b.reportStatus(a, "studio", packet.HostGone) }},
		{"unresponsive", func(b *testBalancer, a netip.Addr) { b.reportStatus(a, "studio", packet.HostUnresponsive) }},
		{"other service", func(b *testBalancer, a netip.Addr) { b.reportStatus(a, "archive", packet.HostReady) }},
		{"stopping", func(b *testBalancer, a netip.Addr) {
			b.HandleStatus(b.now, a, Status{Service: "studio", State: packet.HostReady, Stopping: true})
		}},
		{"silent", func(b *testBalancer, _ netip.Addr) {
			b.advance(silentAfter + time.Millisecond)
			b.reportStatus(host(1), "studio", packet.HostReady)
			b.reportStatus(host(2), "studio", packet.HostReady)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(t)
			c.change(b, host(0))
			for port := range uint16(200) {
				s := segment(packet.SYN, 7, 0)
				s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
				f := b.onlyForward(b.HandlePacket(b.now, s))
				b.is.True(f.Agent == host(1) || f.Agent == host(2))
				b.is.Equal(f.ServiceTag, packet.ServiceTag("studio"))
			}
		})
	}
}

// Guards against a first packet that waits for a host that is dead or full while
// others are free, and against a reset while a host may still accept the flow.
func TestFirstPacketOfferedToNextHost(t *testing.T) {
	b := newTestBalancer(t)
	first := segment(packet.SYN, 100, 0)
	firstAgent := b.onlyForward(b.HandlePacket(b.now, first)).Agent
	b.is.Equal(len(b.Tick(b.now.Add(offerTimeout-time.Millisecond))), 0)
	b.advance(offerTimeout)
	hedge := b.onlyForward(b.Tick(b.now))
	b.is.Equal(hedge.Step, StepHedge)
	b.is.True(hedge.Agent != firstAgent)
	next := b.onlyForward(b.HandleReturned(b.now, hedge.Agent, first, packet.ReturnBusy, packet.Load{}))
	b.is.Equal(next.Step, StepNextOffer)
	b.is.Equal(len(b.HandleReturned(b.now, next.Agent, first, packet.ReturnRefused, packet.Load{})), 0) // the first host may still answer
	b.is.Equal(b.HandleReturned(b.now, firstAgent, first, packet.ReturnRefused, packet.Load{}),
		[]Decision{Drop{Flow: first.KeyFromCaller(), Reason: ReasonQueued}}) // the busy host may have room soon
}

// Guards against packets that go to the wrong host when two hosts have answered the
// first packet: the owner is the one whose answer the caller acknowledges.
func TestTwoHostsAnswer(t *testing.T) {
	b := newTestBalancer(t)
	first := segment(packet.SYN, 100, 0)
	firstAgent := b.onlyForward(b.HandlePacket(b.now, first)).Agent
	b.advance(offerTimeout)
	hedge := b.onlyForward(b.Tick(b.now))
	b.HandleAccepted(b.now, firstAgent, first.KeyFromCaller(), 5000, true, packet.Load{})
	b.HandleAccepted(b.now, hedge.Agent, first.KeyFromCaller(), 900_000, true, packet.Load{})
	f := b.onlyForward(b.HandlePacket(b.now, segment(packet.ACK, 101, 900_001)))
	b.is.Equal(f.Agent, hedge.Agent)
}

// Guards against callers that wait for their time-out although every host has
// refused the flow, and against a reset before the last host has.
func TestRefusedByAllHosts(t *testing.T) {
	b := newTestBalancer(t)
	first := segment(packet.SYN, 100, 0)
	decisions := b.HandlePacket(b.now, first)
	for range 2 {
		decisions = b.HandleReturned(b.now, b.onlyForward(decisions).Agent, first, packet.ReturnRefused, packet.Load{})
	}
	decisions = b.HandleReturned(b.now, b.onlyForward(decisions).Agent, first, packet.ReturnRefused, packet.Load{})
	b.is.Equal(decisions, []Decision{Reset{Flow: first.KeyFromCaller(), Reason: ReasonRefused}})
}

// Guards against a configuration that is replaced by one of the same or a lower
// version, and against flows to addresses that the current configuration does not
// route.
func TestSetRoutes(t *testing.T) {
	b := newTestBalancer(t)
	b.openFlow()
	b.is.True(b.SetRoutes(routeSet(t, 5, netip.AddrPort{}, otherAddr)))
	b.is.True(!b.SetRoutes(routeSet(t, 4, studioAddr, otherAddr)))
	b.is.True(!b.SetRoutes(routeSet(t, 5, studioAddr, otherAddr)))
	b.is.Equal(b.Routes().Version(), uint64(5))
	key := segment(0, 0, 0).KeyFromCaller()
	b.is.Equal(b.HandlePacket(b.now, segment(packet.SYN, 900, 0)), []Decision{Reset{Flow: key, Reason: ReasonNoRoute}})
	b.is.Equal(b.HandlePacket(b.now, segment(packet.ACK, 200, 6000)),
		[]Decision{Reset{Flow: key, Sequence: 6000, Reason: ReasonRouteRemoved}})

	// An address that this balancer has never routed may have a route at another one.
	s := segment(packet.ACK, 1, 1)
	s.Destination = netip.MustParseAddrPort("198.18.0.77:443")
	b.is.Equal(b.HandlePacket(b.now, s)[0], Search{Flow: s.KeyFromCaller(), Agents: 4})
}

// Guards against the first packet of a new flow that goes to the owner of an earlier
// flow from the same port.
func TestReusedPort(t *testing.T) {
	b := newTestBalancer(t)
	owner := b.openFlow()
	b.reportStatus(owner, "studio", packet.HostDraining)
	f := b.onlyForward(b.HandlePacket(b.now, segment(packet.SYN, 77_000, 0)))
	b.is.Equal(f.Step, StepOffer)
	b.is.True(f.Agent != owner)
}

// Guards against agents that are removed because their store entries lapsed although
// they answer, and against agents that are kept for ever.
func TestUnlistedAgents(t *testing.T) {
	b := newTestBalancer(t)
	b.SetListedAgents(b.now, nil)
	b.advance(unlistedRetention)
	b.reportStatus(host(0), "studio", packet.HostReady)
	b.advance(time.Second)
	b.Expire(b.now)
	b.is.Equal(b.Agents(), []netip.Addr{host(0)})
}

// Guards against a flow table that grows without bound, and against idle flows that
// are kept for ever.
func TestFlowLimit(t *testing.T) {
	is := is.New(t)
	d, err := New(Config{MaxFlows: 10})
	is.NoErr(err)
	b := &testBalancer{Dispatcher: d, is: is, now: startTime}
	d.SetRoutes(routeSet(t, 1, studioAddr, otherAddr))
	b.reportStatus(host(0), "studio", packet.HostReady)
	for port := range uint16(100) {
		s := segment(packet.ACK, 7, 0)
		s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
		b.HandlePacket(b.now, s)
		is.True(d.FlowCount() <= 10)
	}
	b.advance(time.Minute + time.Second)
	d.Expire(b.now)
	is.Equal(d.FlowCount(), 0)
}

// Guards against flows at an agent that other balancers do not know yet, since they
// would reset them, and against a new host that is left idle although it is the only
// one.
func TestJoiningAgent(t *testing.T) {
	b := newTestBalancer(t)
	b.SetListedAgents(b.now, []netip.Addr{host(0), host(1), host(2), host(9)})
	b.advance(5 * time.Second)
	for i := range 4 {
		b.reportStatus(host(i), "studio", packet.HostReady)
	}
	offered := func() (agents map[netip.Addr]bool) {
		agents = make(map[netip.Addr]bool)
		for port := range uint16(200) {
			s := segment(packet.SYN, uint32(b.now.UnixNano()), 0)
			s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
			agents[b.onlyForward(b.HandlePacket(b.now, s)).Agent] = true
		}
		return agents
	}
	b.is.True(!offered()[host(3)])
	for i := range 3 {
		b.reportStatus(host(i), "studio", packet.HostDraining)
	}
	b.is.True(offered()[host(3)])
	b.advance(joinDelay)
	for i := range 4 {
		b.reportStatus(host(i), "studio", packet.HostReady)
	}
	b.is.True(offered()[host(3)])
}

// Guards against a queued flow that is offered again, without its packet, after a
// host that was offered it earlier has answered late.
func TestLateAnswerWhileQueued(t *testing.T) {
	b := newTestBalancer(t)
	first := segment(packet.SYN, 100, 0)
	decisions := b.HandlePacket(b.now, first)
	for {
		f, forwarded := decisions[0].(Forward)
		if !forwarded {
			break
		}
		decisions = b.HandleReturned(b.now, f.Agent, first, packet.ReturnBusy, packet.Load{})
	}
	b.HandleAccepted(b.now, host(0), first.KeyFromCaller(), 5000, true, packet.Load{})
	b.advance(fullBackoff)
	b.is.Equal(len(b.Tick(b.now)), 0)
	b.is.Equal(b.onlyForward(b.HandlePacket(b.now, segment(packet.ACK, 101, 5001))).Agent, host(0))
}

// Guards against agents that count as silent in large fleets, where each agent is
// asked for its status less often.
func TestStatusInterval(t *testing.T) {
	is := is.New(t)
	for _, agents := range []int{1, 20, 64, 215, 700} {
		d, err := New(Config{})
		is.NoErr(err)
		b := &testBalancer{Dispatcher: d, is: is, now: startTime}
		for i := range agents {
			b.reportStatus(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i % 250)}), "studio", packet.HostReady)
		}
		is.True(float64(agents)/d.StatusInterval().Seconds() <= maxStatusPerSecond)
		b.advance(3 * d.StatusInterval())
		is.Equal(d.AnsweringCount(b.now), agents)
		b.advance(d.StatusInterval())
		is.Equal(d.AnsweringCount(b.now), 0)
	}
}

// Guards against new flows that go to another data centre while a host in that of
// the balancer is as good, and against a local host that gets new flows although it
// is full or slow.
func TestPlacePrefersLocalHosts(t *testing.T) {
	const flows = 200
	load := func(outstanding int, latency time.Duration) packet.Load {
		return packet.Load{Slots: 2, OutstandingRequests: outstanding, Latency: latency}
	}
	for _, test := range []struct {
		name        string
		local       packet.Load
		least, most int
	}{
		{"local host idle", load(0, 20*time.Millisecond), flows, flows},
		{"local host full", load(4, 20*time.Millisecond), 0, 0},
		{"local host twice as slow", load(0, 40*time.Millisecond), 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d, err := New(Config{DataCentre: "north"})
			is.NoErr(err)
			is.True(d.SetRoutes(routeSet(t, 1, studioAddr, otherAddr)))
			local := 0
			for port := range uint16(flows) {
				d.HandleStatus(startTime, host(0), Status{Service: "studio", DataCentre: "north", State: packet.HostReady, Load: test.local})
				for i := 1; i < 4; i++ {
					d.HandleStatus(startTime, host(i), Status{
						Service: "studio", DataCentre: "south", State: packet.HostReady, Load: load(0, 20*time.Millisecond),
					})
				}
				s := segment(packet.SYN, 7, 0)
				s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
				f, ok := d.HandlePacket(startTime, s)[0].(Forward)
				is.True(ok)
				if f.Agent == host(0) {
					local++
				}
			}
			is.True(local >= test.least && local <= test.most)
		})
	}
}
