package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/routes"
)

const objective = 200 * time.Millisecond

// newObjectiveBench returns a bench whose two routes to studio have a latency
// objective; that of otherAddr has the higher priority.
func newObjectiveBench(t *testing.T) *bench {
	t.Helper()
	b := newBench(t)
	studio := []routes.Target{{Service: "studio", Weight: 1}}
	set, err := routes.New(routes.Config{Version: 2, Routes: []routes.Route{
		{Name: "feed", Address: studioAddr, Targets: studio, LatencyObjective: objective, Priority: 2},
		{Name: "orders", Address: otherAddr, Targets: studio, LatencyObjective: objective, Priority: 1},
	}})
	b.is.NoErr(err)
	b.is.True(b.SetRoutes(set))
	return b
}

func firstPacket(port uint16, to netip.AddrPort, copies uint32) *packet.Segment {
	s := segment(packet.SYN, 100, copies)
	s.Source, s.Destination = netip.AddrPortFrom(caller.Addr(), port), to
	return s
}

// fill makes every host return the packet as busy until it waits.
func (b *bench) fill(s *packet.Segment) {
	b.is.Helper()
	decisions := b.HandlePacket(b.now, s)
	for {
		f, forwarded := decisions[0].(Forward)
		if !forwarded {
			break
		}
		decisions = b.HandleReturned(b.now, f.Agent, s, packet.ReturnBusy, packet.Load{})
	}
	b.is.Equal(decisions, []Decision{Drop{Flow: s.KeyFromCaller(), Reason: ReasonQueued}})
}

// Guards against agents that take a flow that has missed its latency objective for
// one that can meet it, after a restart of the balancer too: copies tell the age.
func TestLateFlowsAreMarked(t *testing.T) {
	cases := []struct {
		name   string
		copies uint32
		late   bool
	}{
		{"first packet", 0, false},
		{"copy", 1, true},
		{"last copy", lastCopy, true},
		{"number of copies out of range", 1 << 31, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newObjectiveBench(t)
			b.is.Equal(b.forward(b.HandlePacket(b.now, firstPacket(1000, studioAddr, c.copies))).Late, c.late)
		})
	}
	b := newBench(t)
	b.is.True(!b.forward(b.HandlePacket(b.now, firstPacket(1000, studioAddr, lastCopy))).Late) // no objective
}

// Guards against flows that have missed their objective in front of those that can
// meet it, and against low priorities in front of high ones.
func TestQueueOrder(t *testing.T) {
	b := newObjectiveBench(t)
	late, feed, order, newest := firstPacket(1, otherAddr, 1), firstPacket(2, studioAddr, 0), firstPacket(3, otherAddr, 0), firstPacket(4, otherAddr, 0)
	for _, s := range []*packet.Segment{late, order, newest, feed} {
		b.fill(s)
		b.later(time.Millisecond)
	}
	b.later(fullTime)
	decisions := b.Tick(b.now)
	b.is.Equal(len(decisions), 3) // one a host
	for i, s := range []*packet.Segment{newest, order, feed} {
		b.is.Equal(decisions[i].(Forward).Flow, s.KeyFromCaller())
	}
}

// Guards against flows that could meet their objective and wait because a host had
// no free slot for late ones.
func TestBusyForLateFlowsOnly(t *testing.T) {
	b := newObjectiveBench(t)
	b.fill(firstPacket(1, studioAddr, lastCopy))
	b.forward(b.HandlePacket(b.now, firstPacket(2, studioAddr, 0)))
	b.is.Equal(len(b.HandlePacket(b.now, firstPacket(3, studioAddr, lastCopy))), 1)
	_, queued := b.flows.flows[firstPacket(3, studioAddr, lastCopy).KeyFromCaller()]
	b.is.True(queued)
	b.is.Equal(len(b.queue.waiting), 2)
}

// Guards against flows that are refused, or all late, when every host is full for
// a moment, and against first packets that wait without a bound.
func TestQueue(t *testing.T) {
	b := newBench(t)
	from := func(port uint16) *packet.Segment { return firstPacket(port, studioAddr, 0) }
	for port := range uint16(4) {
		b.fill(from(1000 + port))
		b.later(time.Millisecond)
	}
	b.is.Equal(b.HandlePacket(b.now, from(1000)), []Decision{Drop{Flow: from(1000).KeyFromCaller(), Reason: ReasonQueued}})
	b.later(fullTime)
	decisions := b.Tick(b.now)
	b.is.Equal(len(decisions), 3) // one a host
	for i, d := range decisions {
		f := d.(Forward)
		b.is.Equal(f.Step, StepQueued)
		b.is.Equal(f.Flow, from(1003-uint16(i)).KeyFromCaller()) // newest first
	}
	agent := decisions[0].(Forward).Agent
	b.HandleAccepted(b.now, agent, from(1003).KeyFromCaller(), 5000, true, packet.Load{})
	f := b.forward(b.Tick(b.now)) // the next one goes at once
	b.is.Equal(f.Agent, agent)
	b.is.Equal(f.Flow, from(1000).KeyFromCaller())

	b.is.Equal(len(b.HandleReturned(b.now, agent, from(1000), packet.ReturnBusy, packet.Load{})), 1)
	b.later(queueTime)
	for i := range 3 {
		b.status(host(i), "studio", packet.HostReady)
		b.agents[host(i)].fullUntil = b.now.Add(time.Hour)
	}
	resets := 0
	for _, d := range b.Tick(b.now) {
		if r, ok := d.(Reset); ok && r.Reason == ReasonOverload {
			resets++
		}
	}
	b.is.True(resets > 0)
}

// Guards against first packets that are dropped because their balancer has just
// started and no agent has answered it yet: the caller's copy comes 200 ms later.
func TestFirstPacketWaitsForHost(t *testing.T) {
	b := newObjectiveBench(t)
	for i := range 3 {
		b.status(host(i), "studio", packet.HostUnknown)
	}
	s := firstPacket(1, studioAddr, 0)
	b.is.Equal(b.HandlePacket(b.now, s), []Decision{Drop{Flow: s.KeyFromCaller(), Reason: ReasonQueued}})
	b.later(fullTime)
	b.is.Equal(len(b.Tick(b.now)), 0)
	b.status(host(1), "studio", packet.HostReady)
	b.later(fullTime)
	b.is.Equal(b.forward(b.Tick(b.now)).Agent, host(1))

	b.status(host(1), "studio", packet.HostDraining)
	s = firstPacket(2, studioAddr, 1)
	b.HandlePacket(b.now, s)
	b.later(noHostTime - copyDelays[1])
	b.is.Equal(b.Tick(b.now), []Decision{Reset{Flow: s.KeyFromCaller(), Reason: ReasonNoHost}})
}

// Guards against agents that start together with a balancer and get no flows until
// the next round of status requests, and against requests to agents without end.
func TestUnheardAgents(t *testing.T) {
	b := newBench(t)
	b.SetListedAgents(b.now, []netip.Addr{host(0), host(3), host(4)})
	b.is.Equal(b.AgentsWithoutStatus(b.now, 9), []netip.Addr{host(3), host(4)})
	b.is.Equal(len(b.AgentsWithoutStatus(b.now, 1)), 1)
	b.status(host(3), "studio", packet.HostReady)
	b.is.Equal(b.AgentsWithoutStatus(b.now, 9), []netip.Addr{host(4)})
	b.later(unheardTime)
	b.is.Equal(len(b.AgentsWithoutStatus(b.now, 9)), 0)
}
