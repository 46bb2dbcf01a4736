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
	start      = time.Unix(1_000_000, 0)
	studioAddr = netip.MustParseAddrPort("198.18.0.1:443")
	otherAddr  = netip.MustParseAddrPort("198.18.0.2:443")
	caller     = netip.MustParseAddrPort("100.64.0.7:40001")

	// silentAfter is when an agent of a small fleet counts as silent.
	silentAfter = time.Duration(silentIntervals * float64(statusInterval))
)

// bench is a dispatcher with three hosts of one service and one of another.
type bench struct {
	*Dispatcher
	is  *is.I
	now time.Time
}

func newBench(t *testing.T) *bench {
	t.Helper()
	d, err := New(Config{})
	is := is.New(t)
	is.NoErr(err)
	b := &bench{Dispatcher: d, is: is, now: start}
	is.True(d.SetRoutes(routeSet(t, 1, studioAddr, otherAddr)))
	for i := range 3 {
		b.status(host(i), "studio", packet.HostReady)
	}
	b.status(host(9), "archive", packet.HostReady)
	return b
}

func routeSet(t *testing.T, version uint64, studio, archive netip.AddrPort) *routes.Set {
	t.Helper()
	var list []routes.Route
	if studio.IsValid() {
		list = append(list, routes.Route{Name: "studio", Address: studio, Targets: []routes.Target{{Service: "studio", Weight: 1}}})
	}
	if archive.IsValid() {
		list = append(list, routes.Route{Name: "archive", Address: archive, Targets: []routes.Target{{Service: "archive", Weight: 1}}})
	}
	set, err := routes.New(routes.Config{Version: version, Routes: list})
	is.New(t).NoErr(err)
	return set
}

func host(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}) }

func (b *bench) status(address netip.Addr, service string, state packet.HostState) {
	b.HandleStatus(b.now, address, Status{Service: service, State: state, Load: packet.Load{Slots: 2}})
}

func (b *bench) later(wait time.Duration) { b.now = b.now.Add(wait) }

func segment(flags packet.Flags, sequence, acknowledgement uint32) *packet.Segment {
	return &packet.Segment{
		Source: caller, Destination: studioAddr, Flags: flags, Sequence: sequence, Acknowledgement: acknowledgement, Data: []byte{1},
	}
}

// forward returns the only decision, which must forward.
func (b *bench) forward(decisions []Decision) Forward {
	b.is.Helper()
	b.is.Equal(len(decisions), 1)
	f, ok := decisions[0].(Forward)
	b.is.True(ok) // the packet is forwarded
	return f
}

func (b *bench) open() (owner netip.Addr) {
	first := segment(packet.SYN, 100, 0)
	owner = b.forward(b.HandlePacket(b.now, first)).Agent
	b.HandleAccepted(b.now, owner, first.KeyFromCaller(), 5000, true, packet.Load{})
	f := b.forward(b.HandlePacket(b.now, segment(packet.ACK, 101, 5001)))
	b.is.Equal(f.Agent, owner)
	return owner
}

// Guards against packets of an open flow that leave their host when others come
// and go, or when the configuration moves the route to another service.
func TestOpenFlowStays(t *testing.T) {
	cases := []struct {
		name   string
		change func(b *bench, owner netip.Addr)
	}{
		{"hosts join", func(b *bench, _ netip.Addr) {
			for i := 3; i < 9; i++ {
				b.status(host(i), "studio", packet.HostReady)
			}
		}},
		{"its host drains", func(b *bench, owner netip.Addr) { b.status(owner, "studio", packet.HostDraining) }},
		{"its agent restarts", func(b *bench, _ netip.Addr) { b.later(silentAfter + time.Second) }},
		{"its route moves", func(b *bench, _ netip.Addr) {
			b.is.True(b.SetRoutes(routeSet(t, 2, netip.AddrPort{}, studioAddr)))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			owner := b.open()
			c.change(b, owner)
			f := b.forward(b.HandlePacket(b.now, segment(packet.ACK, 200, 6000)))
			b.is.Equal(f.Agent, owner)
		})
	}
}

// Guards against new flows at hosts that are leaving, silent or about to restart.
func TestPlaceAvoids(t *testing.T) {
	cases := []struct {
		name   string
		change func(b *bench, agent netip.Addr)
	}{
		{"draining", func(b *bench, a netip.Addr) { b.status(a, "studio", packet.HostDraining) }},
		{"gone", func(b *bench, a netip.Addr) { b.status(a, "studio", packet.HostGone) }},
		{"unresponsive", func(b *bench, a netip.Addr) { b.status(a, "studio", packet.HostUnresponsive) }},
		{"other service", func(b *bench, a netip.Addr) { b.status(a, "archive", packet.HostReady) }},
		{"stopping", func(b *bench, a netip.Addr) {
			b.HandleStatus(b.now, a, Status{Service: "studio", State: packet.HostReady, Stopping: true})
		}},
		{"silent", func(b *bench, _ netip.Addr) {
			b.later(silentAfter + time.Millisecond)
			b.status(host(1), "studio", packet.HostReady)
			b.status(host(2), "studio", packet.HostReady)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			c.change(b, host(0))
			for port := range uint16(200) {
				s := segment(packet.SYN, 7, 0)
				s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
				f := b.forward(b.HandlePacket(b.now, s))
				b.is.True(f.Agent == host(1) || f.Agent == host(2))
				b.is.Equal(f.ServiceTag, packet.ServiceTag("studio"))
			}
		})
	}
}

// Guards against a first packet that waits for a host that is dead or full while
// others are free, and against refusals while a host may still take the flow.
func TestFirstPacketMovesOn(t *testing.T) {
	b := newBench(t)
	first := segment(packet.SYN, 100, 0)
	one := b.forward(b.HandlePacket(b.now, first)).Agent
	b.is.Equal(len(b.Tick(b.now.Add(offerTimeout-time.Millisecond))), 0)
	b.later(offerTimeout)
	two := b.forward(b.Tick(b.now))
	b.is.Equal(two.Step, StepHedge)
	b.is.True(two.Agent != one)
	three := b.forward(b.HandleReturned(b.now, two.Agent, first, packet.ReturnBusy, packet.Load{}))
	b.is.Equal(three.Step, StepNextOffer)
	b.is.Equal(len(b.HandleReturned(b.now, three.Agent, first, packet.ReturnRefused, packet.Load{})), 0) // the first may still answer
	b.is.Equal(b.HandleReturned(b.now, one, first, packet.ReturnRefused, packet.Load{}),
		[]Decision{Drop{Flow: first.KeyFromCaller(), Reason: ReasonQueued}}) // the busy host may have room soon
}

// Guards against a flow that is sent to another host than the one whose answer
// the caller took, when two hosts answered its first packet.
func TestTwoAnswers(t *testing.T) {
	b := newBench(t)
	first := segment(packet.SYN, 100, 0)
	one := b.forward(b.HandlePacket(b.now, first)).Agent
	b.later(offerTimeout)
	two := b.forward(b.Tick(b.now))
	b.HandleAccepted(b.now, one, first.KeyFromCaller(), 5000, true, packet.Load{})
	b.HandleAccepted(b.now, two.Agent, first.KeyFromCaller(), 900_000, true, packet.Load{})
	f := b.forward(b.HandlePacket(b.now, segment(packet.ACK, 101, 900_001)))
	b.is.Equal(f.Agent, two.Agent)
}

// Guards against a refusal of a flow that a host may have taken, and against
// callers that wait for their time-out when every host has refused.
func TestRefusedByAll(t *testing.T) {
	b := newBench(t)
	first := segment(packet.SYN, 100, 0)
	decisions := b.HandlePacket(b.now, first)
	for range 2 {
		decisions = b.HandleReturned(b.now, b.forward(decisions).Agent, first, packet.ReturnRefused, packet.Load{})
	}
	decisions = b.HandleReturned(b.now, b.forward(decisions).Agent, first, packet.ReturnRefused, packet.Load{})
	b.is.Equal(decisions, []Decision{Reset{Flow: first.KeyFromCaller(), Reason: ReasonRefused}})
}

// Guards against configurations that revert, and against answers for addresses
// that the configuration does not have.
func TestRoutes(t *testing.T) {
	b := newBench(t)
	b.open()
	b.is.True(b.SetRoutes(routeSet(t, 5, netip.AddrPort{}, otherAddr)))
	b.is.True(!b.SetRoutes(routeSet(t, 4, studioAddr, otherAddr)))
	b.is.True(!b.SetRoutes(routeSet(t, 5, studioAddr, otherAddr)))
	b.is.Equal(b.Routes().Version(), uint64(5))
	key := segment(0, 0, 0).KeyFromCaller()
	b.is.Equal(b.HandlePacket(b.now, segment(packet.SYN, 900, 0)), []Decision{Reset{Flow: key, Reason: ReasonNoRoute}})
	b.is.Equal(b.HandlePacket(b.now, segment(packet.ACK, 200, 6000)),
		[]Decision{Reset{Flow: key, Sequence: 6000, Reason: ReasonRouteRemoved}})

	// A route that this balancer never had may have been added elsewhere.
	s := segment(packet.ACK, 1, 1)
	s.Destination = netip.MustParseAddrPort("198.18.0.77:443")
	b.is.Equal(b.HandlePacket(b.now, s)[0], Search{Flow: s.KeyFromCaller(), Agents: 4})
}

// Guards against a reused port that reaches the host of the flow before it.
func TestReusedPort(t *testing.T) {
	b := newBench(t)
	owner := b.open()
	b.status(owner, "studio", packet.HostDraining)
	f := b.forward(b.HandlePacket(b.now, segment(packet.SYN, 77_000, 0)))
	b.is.Equal(f.Step, StepOffer)
	b.is.True(f.Agent != owner)
}

// Guards against agents that are forgotten while they answer because their
// entries lapsed, and against agents that are kept for ever.
func TestLapsedEntries(t *testing.T) {
	b := newBench(t)
	b.SetListedAgents(b.now, nil)
	b.later(forgetAfter)
	b.status(host(0), "studio", packet.HostReady)
	b.later(time.Second)
	b.Expire(b.now)
	b.is.Equal(b.Agents(), []netip.Addr{host(0)})
}

// Guards against a table of flows that grows without a bound.
func TestFlowLimit(t *testing.T) {
	is := is.New(t)
	d, err := New(Config{MaxFlows: 10})
	is.NoErr(err)
	b := &bench{Dispatcher: d, is: is, now: start}
	d.SetRoutes(routeSet(t, 1, studioAddr, otherAddr))
	b.status(host(0), "studio", packet.HostReady)
	for port := range uint16(100) {
		s := segment(packet.ACK, 7, 0)
		s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
		b.HandlePacket(b.now, s)
		is.True(d.FlowCount() <= 10)
	}
	b.later(time.Minute + time.Second)
	d.Expire(b.now)
	is.Equal(d.FlowCount(), 0)
}

// Guards against flows at an agent that other balancers do not know yet and whose
// flows they would reset, and against a new host that is left idle when it is the only one.
func TestJoiningAgent(t *testing.T) {
	b := newBench(t)
	b.SetListedAgents(b.now, []netip.Addr{host(0), host(1), host(2), host(9)})
	b.later(5 * time.Second)
	for i := range 4 {
		b.status(host(i), "studio", packet.HostReady)
	}
	offered := func() (agents map[netip.Addr]bool) {
		agents = make(map[netip.Addr]bool)
		for port := range uint16(200) {
			s := segment(packet.SYN, uint32(b.now.UnixNano()), 0)
			s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
			agents[b.forward(b.HandlePacket(b.now, s)).Agent] = true
		}
		return agents
	}
	b.is.True(!offered()[host(3)])
	for i := range 3 {
		b.status(host(i), "studio", packet.HostDraining)
	}
	b.is.True(offered()[host(3)])
	b.later(joinTime)
	for i := range 4 {
		b.status(host(i), "studio", packet.HostReady)
	}
	b.is.True(offered()[host(3)])
}

// Guards against a waiting flow that is offered again, without its packet, after a
// host that was asked earlier has answered late.
func TestLateAnswerWhileQueued(t *testing.T) {
	b := newBench(t)
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
	b.later(fullTime)
	b.is.Equal(len(b.Tick(b.now)), 0)
	b.is.Equal(b.forward(b.HandlePacket(b.now, segment(packet.ACK, 101, 5001))).Agent, host(0))
}

// Guards against large fleets whose agents are taken to be silent because each is
// asked less often.
func TestStatusInterval(t *testing.T) {
	is := is.New(t)
	for _, agents := range []int{1, 20, 64, 215, 700} {
		d, err := New(Config{})
		is.NoErr(err)
		b := &bench{Dispatcher: d, is: is, now: start}
		for i := range agents {
			b.status(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i % 250)}), "studio", packet.HostReady)
		}
		is.True(float64(agents)/d.StatusInterval().Seconds() <= statusRate)
		b.later(3 * d.StatusInterval())
		is.Equal(d.AnsweringCount(b.now), agents)
		b.later(d.StatusInterval())
		is.Equal(d.AnsweringCount(b.now), 0)
	}
}

// Guards against new flows that cross to another data centre while a host in that of
// the balancer is as good, and against a near host that gets them though it is busy or
// slow.
func TestPlacePrefersNearHosts(t *testing.T) {
	const flows = 200
	load := func(busy int, latency time.Duration) packet.Load {
		return packet.Load{Slots: 2, OutstandingRequests: busy, Latency: latency}
	}
	for _, test := range []struct {
		name        string
		near        packet.Load
		least, most int
	}{
		{"near host idle", load(0, 20*time.Millisecond), flows, flows},
		{"near host full", load(4, 20*time.Millisecond), 0, 0},
		{"near host twice as slow", load(0, 40*time.Millisecond), 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d, err := New(Config{DataCentre: "north"})
			is.NoErr(err)
			is.True(d.SetRoutes(routeSet(t, 1, studioAddr, otherAddr)))
			near := 0
			for port := range uint16(flows) {
				d.HandleStatus(start, host(0), Status{Service: "studio", DataCentre: "north", State: packet.HostReady, Load: test.near})
				for i := 1; i < 4; i++ {
					d.HandleStatus(start, host(i), Status{
						Service: "studio", DataCentre: "south", State: packet.HostReady, Load: load(0, 20*time.Millisecond),
					})
				}
				s := segment(packet.SYN, 7, 0)
				s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
				f, ok := d.HandlePacket(start, s)[0].(Forward)
				is.True(ok)
				if f.Agent == host(0) {
					near++
				}
			}
			is.True(near >= test.least && near <= test.most)
		})
	}
}
