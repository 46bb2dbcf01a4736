package dispatch

import (
	"net/netip"
	"testing"
	"time"

	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/routes"
)

// objective is the latency objective of the routes of newObjectiveBalancer.
const objective = 200 * time.Millisecond

// newObjectiveBalancer returns a testBalancer whose two routes to studio have a
// latency objective; that of otherAddr has the higher priority.
func newObjectiveBalancer(t *testing.T) *testBalancer {
	t.Helper()
	b := newTestBalancer(t)
	studio := []routes.Target{{Service: "studio", Weight: 1}}
	set, err := routes.New(routes.Config{Version: 2, Routes: []routes.Route{
		{Name: "feed", Address: studioAddr, Targets: studio, LatencyObjective: objective, Priority: 2},
		{Name: "orders", Address: otherAddr, Targets: studio, LatencyObjective: objective, Priority: 1},
	}})
	b.is.NoErr(err)
	b.is.True(b.SetRoutes(set))
	return b
}

// firstPacket returns the first packet of a flow, or the retransmission of it with
// the given number.
func firstPacket(port uint16, to netip.AddrPort, retransmission uint32) *packet.Segment {
	s := segment(packet.SYN, 100, retransmission)
	s.Source, s.Destination = netip.AddrPortFrom(caller.Addr(), port), to
	return s
}

// queueAfterBusy handles a first packet that every host returns as busy, until it is
// queued.
func (b *testBalancer) queueAfterBusy(s *packet.Segment) {
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

// Guards against agents that accept a flow that has missed its latency objective in
// place of one that can meet it. This must hold after a restart of the balancer too,
// so the age of a flow follows from the number of the retransmission.
func TestLateFlowsAreMarked(t *testing.T) {
	cases := []struct {
		name           string
		retransmission uint32
		late           bool
	}{
		{"first packet", 0, false},
		{"copy", 1, true},
		{"last copy", lastRetransmission, true},
		{"retransmission number out of range", 1 << 31, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newObjectiveBalancer(t)
			b.is.Equal(b.onlyForward(b.HandlePacket(b.now, firstPacket(1000, studioAddr, c.retransmission))).Late, c.late)
		})
	}
	b := newTestBalancer(t)
	b.is.True(!b.onlyForward(b.HandlePacket(b.now, firstPacket(1000, studioAddr, lastRetransmission))).Late) // no objective
}

// Guards against flows that have missed their objective being served before those
// that can meet it, and against low priorities before high ones.
func TestQueueOrder(t *testing.T) {
	b := newObjectiveBalancer(t)
	late, feed, order, newest := firstPacket(1, otherAddr, 1), firstPacket(2, studioAddr, 0), firstPacket(3, otherAddr, 0), firstPacket(4, otherAddr, 0)
	for _, s := range []*packet.Segment{late, order, newest, feed} {
		b.queueAfterBusy(s)
		b.advance(time.Millisecond)
	}
	b.advance(fullBackoff)
	decisions := b.Tick(b.now)
	b.is.Equal(len(decisions), 3) // one for each host
	for i, s := range []*packet.Segment{newest, order, feed} {
		b.is.Equal(decisions[i].(Forward).Flow, s.KeyFromCaller())
	}
}

// Guards against flows that could meet their objective but are queued because a host
// had no free slot for late ones.
func TestFullForLateFlowsOnly(t *testing.T) {
	b := newObjectiveBalancer(t)
	b.queueAfterBusy(firstPacket(1, studioAddr, lastRetransmission))
	b.onlyForward(b.HandlePacket(b.now, firstPacket(2, studioAddr, 0)))
	b.is.Equal(len(b.HandlePacket(b.now, firstPacket(3, studioAddr, lastRetransmission))), 1)
	_, known := b.flows.byKey[firstPacket(3, studioAddr, lastRetransmission).KeyFromCaller()]
	b.is.True(known)
	b.is.Equal(len(b.queue.waiting), 2)
}

// Guards against callers that get no answer because the balancer of their first packet
// stops while the packet is queued or offered to a host: a planned stop waits for both,
// and what is still queued at its end is refused, so that callers try again at once.
func TestStopWhileQueued(t *testing.T) {
	b := newTestBalancer(t)
	b.is.Equal(b.Busy(), false)
	offered := firstPacket(999, studioAddr, 0)
	agent := b.onlyForward(b.HandlePacket(b.now, offered)).Agent
	b.is.True(b.Busy())
	b.HandleAccepted(b.now, agent, offered.KeyFromCaller(), 5000, true, packet.Load{})
	b.Tick(b.now)
	b.is.Equal(b.Busy(), false)

	s := firstPacket(1000, studioAddr, 0)
	b.queueAfterBusy(s)
	b.is.True(b.Busy())
	b.is.Equal(b.Close(), []Decision{Reset{Flow: s.KeyFromCaller(), Reason: ReasonStopping}})
	b.is.Equal(b.Busy(), false)
}

// Guards against flows that are reset after a few hosts have refused them although
// others were not asked: right after a loss of power the hosts that are still cold
// refuse, and the others have room.
func TestUntriedHostsAreAskedLater(t *testing.T) {
	b := newTestBalancer(t)
	for i := range maxOffers + 2 {
		b.reportStatus(host(i), "studio", packet.HostReady)
	}
	s := firstPacket(1000, studioAddr, 0)
	refused := make(map[netip.Addr]bool)
	decisions := b.HandlePacket(b.now, s)
	for range maxOffers {
		agent := b.onlyForward(decisions).Agent
		refused[agent] = true
		decisions = b.HandleReturned(b.now, agent, s, packet.ReturnRefused, packet.Load{})
	}
	b.is.Equal(decisions, []Decision{Drop{Flow: s.KeyFromCaller(), Reason: ReasonQueued}})
	b.advance(fullBackoff)
	decisions = b.Tick(b.now)
	for !b.now.After(startTime.Add(maxQueueTime)) {
		f := b.onlyForward(decisions)
		if !refused[f.Agent] {
			return // a host that has not refused the flow gets it
		}
		if decisions = b.HandleReturned(b.now, f.Agent, s, packet.ReturnRefused, packet.Load{}); len(decisions) == 1 {
			if _, queued := decisions[0].(Drop); queued {
				b.advance(fullBackoff)
				decisions = b.Tick(b.now)
			}
		}
	}
	t.Fatal("no other host was asked")
}

// Guards against flows that are reset, or that all become late, when every host is
// full for a moment, and against first packets that are queued without a time limit.
func TestQueueAndRelease(t *testing.T) {
	b := newTestBalancer(t)
	from := func(port uint16) *packet.Segment { return firstPacket(port, studioAddr, 0) }
	for port := range uint16(4) {
		b.queueAfterBusy(from(1000 + port))
		b.advance(time.Millisecond)
	}
	b.is.Equal(b.HandlePacket(b.now, from(1000)), []Decision{Drop{Flow: from(1000).KeyFromCaller(), Reason: ReasonQueued}})
	b.advance(fullBackoff)
	decisions := b.Tick(b.now)
	b.is.Equal(len(decisions), 3) // one for each host
	for i, d := range decisions {
		f := d.(Forward)
		b.is.Equal(f.Step, StepQueued)
		b.is.Equal(f.Flow, from(1003-uint16(i)).KeyFromCaller()) // newest first
	}
	agent := decisions[0].(Forward).Agent
	b.HandleAccepted(b.now, agent, from(1003).KeyFromCaller(), 5000, true, packet.Load{})
	f := b.onlyForward(b.Tick(b.now)) // the next queued flow is offered at once
	b.is.Equal(f.Agent, agent)
	b.is.Equal(f.Flow, from(1000).KeyFromCaller())

	b.is.Equal(len(b.HandleReturned(b.now, agent, from(1000), packet.ReturnBusy, packet.Load{})), 1)
	b.advance(maxQueueTime)
	for i := range 3 {
		b.reportStatus(host(i), "studio", packet.HostReady)
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
// started and no agent has answered it yet: the caller would retransmit only after
// 200 ms.
func TestFirstPacketWaitsForHost(t *testing.T) {
	b := newObjectiveBalancer(t)
	for i := range 3 {
		b.reportStatus(host(i), "studio", packet.HostUnknown)
	}
	s := firstPacket(1, studioAddr, 0)
	b.is.Equal(b.HandlePacket(b.now, s), []Decision{Drop{Flow: s.KeyFromCaller(), Reason: ReasonQueued}})
	b.advance(fullBackoff)
	b.is.Equal(len(b.Tick(b.now)), 0)
	b.reportStatus(host(1), "studio", packet.HostReady)
	b.advance(fullBackoff)
	b.is.Equal(b.onlyForward(b.Tick(b.now)).Agent, host(1))

	b.reportStatus(host(1), "studio", packet.HostDraining)
	s = firstPacket(2, studioAddr, 1)
	b.HandlePacket(b.now, s)
	b.advance(maxNoHostTime - retransmissionDelays[1])
	b.is.Equal(b.Tick(b.now), []Decision{Reset{Flow: s.KeyFromCaller(), Reason: ReasonNoHost}})
}

// Guards against agents that start together with a balancer and get no flows until
// the next round of status requests, and against endless extra requests to agents
// that do not answer.
func TestAgentsWithoutStatus(t *testing.T) {
	b := newTestBalancer(t)
	b.SetListedAgents(b.now, []netip.Addr{host(0), host(3), host(4)})
	b.is.Equal(b.AgentsWithoutStatus(b.now, 9), []netip.Addr{host(3), host(4)})
	b.is.Equal(len(b.AgentsWithoutStatus(b.now, 1)), 1)
	b.reportStatus(host(3), "studio", packet.HostReady)
	b.is.Equal(b.AgentsWithoutStatus(b.now, 9), []netip.Addr{host(4)})
	b.advance(firstStatusWindow)
	b.is.Equal(len(b.AgentsWithoutStatus(b.now, 9)), 0)
}

// Guards against processor time that balancers spend on offers to hosts that many others
// keep full, and against hosts that are left idle for it once they accept flows again.
func TestFullHostIsOfferedLessOften(t *testing.T) {
	b := newObjectiveBalancer(t)
	b.reportStatus(host(1), "studio", packet.HostDraining)
	b.reportStatus(host(2), "studio", packet.HostDraining)
	s := firstPacket(1, studioAddr, 0)
	b.queueAfterBusy(s)
	var waits []time.Duration
	for last := b.now; len(waits) < 4; b.advance(time.Millisecond) {
		decisions := b.Tick(b.now)
		if len(decisions) == 0 {
			continue
		}
		waits, last = append(waits, b.now.Sub(last)), b.now
		b.HandleReturned(b.now, b.onlyForward(decisions).Agent, s, packet.ReturnBusy, packet.Load{})
	}
	for i, doublings := range []int{0, 1, maxBackoffDoublings, maxBackoffDoublings} {
		b.is.Equal(waits[i], fullBackoff<<doublings)
	}
	b.HandleAccepted(b.now, host(0), firstPacket(2, studioAddr, 0).KeyFromCaller(), 5000, true, packet.Load{})
	b.is.Equal(b.onlyForward(b.Tick(b.now)).Agent, host(0))
}
