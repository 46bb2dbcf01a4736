package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/segment/packet"
)

const heartbeatInterval = 1200 * time.Millisecond

var (
	start         = time.Unix(1_000_000, 0)
	service       = netip.MustParseAddrPort("198.18.0.1:443")
	caller        = netip.MustParseAddrPort("100.64.0.7:40001")
	balancer      = netip.MustParseAddr("10.0.0.1")
	otherBalancer = netip.MustParseAddr("10.0.0.2")
	label         = packet.Label{ServiceTag: packet.ServiceTag("studio")}
)

// fixture is a relay with a virtual clock and the last heartbeat of its host.
type fixture struct {
	*Relay
	is            *is.I
	now           time.Time
	lastHeartbeat Heartbeat
}

// newFixture returns a fixture with a ready host. If running is set, the host may have started before the relay;
// otherwise no process of the host ran at the start of the relay, so that the relay has seen all its flows.
func newFixture(t *testing.T, running bool) *fixture {
	t.Helper()
	is := is.New(t)
	r, err := New(Config{Service: "studio", HeartbeatInterval: heartbeatInterval, FlowLifetime: time.Minute, StartedAt: start.Add(-minQuietTime)})
	is.NoErr(err)
	f := &fixture{Relay: r, is: is, now: start, lastHeartbeat: Heartbeat{Start: StartID{"i-1", 1000}, Sequence: 1, State: packet.HostReady, Slots: 2}}
	if !running {
		f.HandleHostAbsent(f.now)
		is.True(f.HostAbsent())
	}
	is.Equal(f.HandleHeartbeat(f.now, f.lastHeartbeat), VerdictNewHost)
	return f
}

func (f *fixture) advance(wait time.Duration) { f.now = f.now.Add(wait) }

// sendHeartbeat passes in the next heartbeat, changed by change if it is not nil. The change also applies to later
// heartbeats.
func (f *fixture) sendHeartbeat(change func(h *Heartbeat)) Verdict {
	f.lastHeartbeat.Sequence++
	if change != nil {
		change(&f.lastHeartbeat)
	}
	return f.HandleHeartbeat(f.now, f.lastHeartbeat)
}

func callerSegment(flags packet.Flags, sequence, acknowledgement uint32, length int) *packet.Segment {
	return &packet.Segment{
		Source: caller, Destination: service, Flags: flags, Sequence: sequence, Acknowledgement: acknowledgement, PayloadLength: length, Data: []byte{1},
	}
}

func hostSegment(flags packet.Flags, sequence uint32, length int) *packet.Segment {
	return &packet.Segment{Source: service, Destination: caller, Flags: flags, Sequence: sequence, PayloadLength: length, Data: []byte{2}}
}

func (f *fixture) receiveFromBalancer(s *packet.Segment) (decisions []Decision) {
	return f.HandleFromBalancer(f.now, balancer, label, s)
}

func (f *fixture) assertReturned(decisions []Decision, reason packet.ReturnReason) {
	f.is.Helper()
	f.is.Equal(len(decisions), 1)
	r, ok := decisions[0].(Return)
	f.is.True(ok) // the packet is returned to the balancer
	f.is.Equal(r.Reason, reason)
	f.is.Equal(r.Balancer, balancer)
}

func (f *fixture) assertDelivered(decisions []Decision) {
	f.is.Helper()
	_, ok := decisions[0].(Deliver)
	f.is.True(ok) // the packet is delivered to the host
}

// openFlow opens a flow and completes one request on it.
func (f *fixture) openFlow() {
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.SYN, 100, 0, 0)))
	decisions := f.HandleFromHost(f.now, hostSegment(packet.SYN|packet.ACK, 5000, 0))
	f.is.Equal(len(decisions), 2)
	f.is.Equal(decisions[1], Accept{Flow: hostSegment(0, 0, 0).KeyFromHost(), Balancer: balancer, Sequence: 5000, Handshake: true})
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.ACK, 101, 5001, 300)))
	f.HandleFromHost(f.now, hostSegment(packet.ACK, 5001, 1000))
}

// Guards against new flows for a host that is draining, has ended, sends no heartbeats or serves another service, and
// for an agent that is stopping.
func TestNewFlowsRefused(t *testing.T) {
	cases := []struct {
		name   string
		change func(f *fixture)
		reason packet.ReturnReason
	}{
		{"draining", func(f *fixture) { f.sendHeartbeat(func(h *Heartbeat) { h.State = packet.HostDraining }) }, packet.ReturnDraining},
		{"deregistered", func(f *fixture) { f.is.True(f.HandleDeregister(f.now, "i-1")) }, packet.ReturnDraining},
		{"without heartbeats", func(f *fixture) { f.advance(maxMissedHeartbeats*heartbeatInterval + time.Millisecond) }, packet.ReturnNoHost},
		{"agent stops", func(f *fixture) { f.Stop() }, packet.ReturnNoHost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, false)
			f.openFlow()
			c.change(f)
			s := callerSegment(packet.SYN, 900, 0, 0)
			s.Source = netip.MustParseAddrPort("100.64.0.8:40001")
			f.assertReturned(f.receiveFromBalancer(s), c.reason)
			f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.ACK, 400, 6000, 300))) // open flows continue
		})
	}
	f := newFixture(t, false)
	f.assertReturned(f.HandleFromBalancer(f.now, balancer, packet.Label{ServiceTag: packet.ServiceTag("archive")}, callerSegment(packet.SYN, 100, 0, 0)), packet.ReturnWrongService)
	r, err := New(Config{Service: "studio", HeartbeatInterval: heartbeatInterval, StartedAt: start})
	f.is.NoErr(err)
	f.Relay = r
	f.assertReturned(f.receiveFromBalancer(callerSegment(packet.SYN, 100, 0, 0)), packet.ReturnNoHost) // no heartbeat yet
}

// Guards against callers that wait for a time-out, because they get no reset after the host restarted and lost their
// flow.
func TestHostRestarts(t *testing.T) {
	key := hostSegment(0, 0, 0).KeyFromHost()
	f := newFixture(t, false)
	f.openFlow()
	f.is.Equal(f.sendHeartbeat(func(h *Heartbeat) { h.Start = StartID{"i-2", 2000} }), VerdictUnconfirmed)
	f.is.Equal(f.Verify(), []Decision{Redeliver{Flow: key, Data: []byte{1}}})
	f.is.Equal(f.HandleFromHost(f.now, markBounced(callerSegment(packet.ACK, 101, 5001, 300))),
		[]Decision{Reset{Flow: key, Sequence: 5001, Reason: ReasonHostLostFlow}})

	f = newFixture(t, false)
	f.openFlow()
	f.is.Equal(f.HandleFromHost(f.now, markBounced(callerSegment(packet.ACK, 400, 6000, 300))),
		[]Decision{Reset{Flow: key, Sequence: 5001, Reason: ReasonHostLostFlow}})
}

func markBounced(s *packet.Segment) *packet.Segment {
	s.Flags |= packet.Bounced
	return s
}

// Guards against resets of flows that another host holds, and against repeated probes of a host that does not hold the
// flow. Balancers that lost their flow table send such packets to several agents.
func TestUnknownFlowProbed(t *testing.T) {
	f := newFixture(t, false)
	f.assertReturned(f.receiveFromBalancer(callerSegment(packet.ACK, 400, 6000, 300)), packet.ReturnNotHeld) // the relay has seen every flow of the host

	f = newFixture(t, true)
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.ACK, 400, 6000, 300)))
	f.assertReturned(f.HandleFromHost(f.now, markBounced(callerSegment(packet.ACK, 400, 6000, 300))), packet.ReturnNotHeld)
	f.assertReturned(f.receiveFromBalancer(callerSegment(packet.ACK, 400, 6000, 300)), packet.ReturnNotHeld) // the host is not probed again

	f = newFixture(t, true)
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.ACK, 400, 6000, 300)))
	decisions := f.HandleFromHost(f.now, hostSegment(packet.ACK, 6000, 100))
	f.is.Equal(decisions[1], Accept{Flow: hostSegment(0, 0, 0).KeyFromHost(), Balancer: balancer})
	decisions = f.HandleFromBalancer(f.now, otherBalancer, label, callerSegment(packet.ACK, 700, 6100, 300))
	f.is.Equal(decisions[1], Accept{Flow: hostSegment(0, 0, 0).KeyFromHost(), Balancer: otherBalancer}) // another balancer is notified too
}

// Guards against a flow that opens at two hosts: both answered the first packet, and the caller acknowledged the answer
// of the other host.
func TestAnswerOfOtherHostAcknowledged(t *testing.T) {
	f := newFixture(t, false)
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.SYN, 100, 0, 0)))
	f.HandleFromHost(f.now, hostSegment(packet.SYN|packet.ACK, 5000, 0))
	f.assertReturned(f.receiveFromBalancer(callerSegment(packet.ACK, 101, 900_001, 300)), packet.ReturnNotHeld)
}

// Guards against a host's refusal of a first packet that does not reach the balancer, and against SYN+ACKs that are
// delivered to a host.
func TestFirstPacketBounced(t *testing.T) {
	f := newFixture(t, false)
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.SYN, 100, 0, 0)))
	f.assertReturned(f.HandleFromHost(f.now, markBounced(callerSegment(packet.SYN, 100, 0, 0))), packet.ReturnRefused)
	f.is.Equal(f.receiveFromBalancer(callerSegment(packet.SYN|packet.ACK, 100, 0, 0)),
		[]Decision{Drop{Flow: callerSegment(0, 0, 0, 0).KeyFromCaller(), Reason: ReasonNotForHost}})
}

// Guards against new flows for a host that no longer answers but whose heartbeats are not overdue yet, and against a
// host that is never offered a flow again.
func TestUnresponsiveHost(t *testing.T) {
	f := newFixture(t, false)
	for i := range uint16(maxUnanswered) {
		s := callerSegment(packet.SYN, 100, 0, 0)
		s.Source = netip.AddrPortFrom(caller.Addr(), 2000+i)
		f.advance(time.Millisecond)
		f.assertDelivered(f.receiveFromBalancer(s))
	}
	f.advance(answerTimeout)
	f.is.True(f.Tick(f.now))
	f.is.Equal(f.State(f.now), packet.HostUnresponsive)
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.SYN, 100, 0, 0))) // a trial offer
	s := callerSegment(packet.SYN, 100, 0, 0)
	s.Source = netip.AddrPortFrom(caller.Addr(), 3000)
	f.assertReturned(f.receiveFromBalancer(s), packet.ReturnNoHost)
	f.HandleFromHost(f.now, hostSegment(packet.SYN|packet.ACK, 5000, 0))
	f.is.Equal(f.State(f.now), packet.HostReady)
}

// Guards against load figures that count requests and flows that have ended.
func TestLoad(t *testing.T) {
	f := newFixture(t, false)
	f.openFlow()
	f.is.Equal(f.Load(f.now).OutstandingRequests, 0)
	f.receiveFromBalancer(callerSegment(packet.ACK, 400, 6000, 300))
	f.is.Equal(f.Load(f.now).OutstandingRequests, 1)
	f.advance(30 * time.Millisecond)
	f.HandleFromHost(f.now, hostSegment(packet.ACK, 6000, 100))
	f.is.Equal(f.Load(f.now).OutstandingRequests, 0)
	f.receiveFromBalancer(callerSegment(packet.ACK, 700, 6100, 300))
	f.receiveFromBalancer(callerSegment(packet.RST, 700, 6100, 0))
	f.is.Equal(f.Load(f.now).OutstandingRequests, 0)
	f.advance(2 * time.Minute)
	f.Expire(f.now)
	f.is.Equal(f.Load(f.now).OpenFlows, 0)
}

// Guards against a half-closed flow that is removed from the table, and then reset, because its host has sent a FIN and
// the caller has not.
func TestHalfClosedFlow(t *testing.T) {
	f := newFixture(t, false)
	f.openFlow()
	f.HandleFromHost(f.now, hostSegment(packet.FIN|packet.ACK, 6001, 0))
	f.advance(endedTTL + time.Second)
	f.Expire(f.now)
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.ACK, 400, 6002, 0)))
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.FIN|packet.ACK, 400, 6002, 0)))
	f.advance(endedTTL + time.Second)
	f.Expire(f.now)
	f.is.Equal(f.Load(f.now).OpenFlows, 0)
}

// Guards against a balancer that searches for the host of a flow again and again, because the agent does not repeat its
// notice. The balancer may have restarted since the first notice.
func TestBalancerProbesAgain(t *testing.T) {
	f := newFixture(t, false)
	f.openFlow()
	f.is.Equal(len(f.receiveFromBalancer(callerSegment(packet.ACK, 400, 6000, 300))), 1)
	decisions := f.HandleFromBalancer(f.now, balancer, packet.Label{ServiceTag: label.ServiceTag, Probe: true}, callerSegment(packet.ACK, 400, 6000, 300))
	f.is.Equal(len(decisions), 2)
	f.is.Equal(decisions[1], Accept{Flow: hostSegment(0, 0, 0).KeyFromHost(), Balancer: balancer})
}

// Guards against resets of open flows after a restart of the agent, when the host's packets arrive before its first
// heartbeat.
func TestAgentRestartsBesideHost(t *testing.T) {
	is := is.New(t)
	r, err := New(Config{Service: "studio", HeartbeatInterval: heartbeatInterval, StartedAt: start})
	is.NoErr(err)
	r.HandleFromBalancer(start, balancer, label, callerSegment(packet.ACK, 400, 6000, 300))
	r.HandleFromHost(start, hostSegment(packet.ACK, 6000, 100))
	is.Equal(r.HandleHeartbeat(start, Heartbeat{Start: StartID{"i-1", 1000}, Sequence: 40, State: packet.HostReady, Slots: 2}), VerdictNewHost)
	is.Equal(r.Load(start).OpenFlows, 1)
}

// Guards against resets of flows that a new start of the host opened before its first heartbeat arrived.
func TestFlowOpenedBeforeFirstHeartbeat(t *testing.T) {
	f := newFixture(t, false)
	f.openFlow()
	f.advance(heartbeatInterval / 2)
	f.sendHeartbeat(func(h *Heartbeat) { h.Start = StartID{"i-2", 2000} })
	f.advance(heartbeatInterval)
	f.is.Equal(f.sendHeartbeat(nil), VerdictNewHost)
	f.is.Equal(len(f.Verify()), 1) // the host ignores the copy of a packet that it has received
	f.is.Equal(f.Locate(balancer, hostSegment(0, 0, 0).KeyFromHost(), 5001), HoldingYes)
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.ACK, 400, 6000, 300)))
	f.is.Equal(len(f.HandleFromHost(f.now, markBounced(callerSegment(packet.ACK, 400, 6000, 300)))), 1) // reset, because the host does not hold the flow
}

// Guards against an agent that returns packets of flows which its host opened before the agent started.
func TestAgentStartsAfterHost(t *testing.T) {
	is := is.New(t)
	r, err := New(Config{Service: "studio", HeartbeatInterval: heartbeatInterval, FlowLifetime: time.Minute, StartedAt: start})
	is.NoErr(err)
	r.HandleHeartbeat(start, Heartbeat{Start: StartID{"i-1", 1000}, Sequence: 1, State: packet.HostReady})
	decisions := r.HandleFromBalancer(start, balancer, label, callerSegment(packet.ACK, 400, 6000, 300))
	_, delivered := decisions[0].(Deliver)
	is.True(delivered) // the host is probed
	r.Expire(start.Add(time.Minute + time.Second))
	decisions = r.HandleFromBalancer(start.Add(2*time.Minute), balancer, label, callerSegment(packet.ACK, 400, 6000, 300))
	_, returned := decisions[0].(Return)
	is.True(returned) // flows from before the agent's start have exceeded their lifetime
}

// Guards against denials of flows that rest on the time of day: the clock of the machine may have jumped since the start of
// its host, so that a host that holds flows seems to have started with its agent, or later.
func TestStartTimeSaysNothing(t *testing.T) {
	for _, age := range []time.Duration{-time.Second, 0, heartbeatInterval / 4, heartbeatInterval, time.Hour} {
		f := newRestarted(t)
		f.sendHeartbeat(func(h *Heartbeat) { h.Start.StartMS = start.Add(-age).UnixMilli() })
		f.is.Equal(f.Locate(balancer, hostSegment(0, 0, 0).KeyFromHost(), 5001), HoldingUnseen)
		f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.ACK, 400, 6000, 300)))
	}
}

// Guards against a host that gets more flows than it can serve in time while other hosts may have room.
func TestFullHost(t *testing.T) {
	f := newFixture(t, false)
	limit := uint16(f.workLimit(false))
	for port := range limit {
		s := callerSegment(packet.SYN, 100, 0, 0)
		s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
		f.assertDelivered(f.receiveFromBalancer(s))
	}
	f.assertReturned(f.receiveFromBalancer(callerSegment(packet.SYN, 100, 0, 0)), packet.ReturnBusy)
	s := callerSegment(packet.SYN, 100, 0, 0)
	s.Source = netip.AddrPortFrom(caller.Addr(), 1000)
	f.assertDelivered(f.receiveFromBalancer(s)) // retransmission of a first packet that was delivered
	f.advance(answerTimeout)
	f.HandleFromHost(f.now, hostSegment(packet.ACK, 1, 0)) // the host answers
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.SYN, 100, 0, 0)))
}

// Guards against flows that already miss their latency objective and displace flows that can still meet theirs.
func TestLateFlowsTakeFreeSlots(t *testing.T) {
	f := newFixture(t, false)
	late := packet.Label{ServiceTag: label.ServiceTag, Late: true}
	offer := func(port uint16, l packet.Label) []Decision {
		s := callerSegment(packet.SYN, 100, 0, 0)
		s.Source = netip.AddrPortFrom(caller.Addr(), port)
		return f.HandleFromBalancer(f.now, balancer, l, s)
	}
	for port := range uint16(f.lastHeartbeat.Slots) {
		f.assertDelivered(offer(1000+port, late))
	}
	f.assertReturned(offer(2000, late), packet.ReturnBusy)
	f.assertDelivered(offer(3000, label))
}

// Guards against a host that counts as full for ever because callers gave up, without a packet, on requests that it
// never answers.
func TestAbandonedRequests(t *testing.T) {
	f := newFixture(t, false)
	for port := range uint16(f.workLimit(false)) {
		for _, s := range []*packet.Segment{callerSegment(packet.SYN, 100, 0, 0), callerSegment(packet.ACK, 101, 5001, 300)} {
			s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
			f.assertDelivered(f.receiveFromBalancer(s))
			answer := hostSegment(packet.SYN|packet.ACK, 5000, 0)
			answer.Destination = s.Source
			if s.IsFirstPacket() {
				f.HandleFromHost(f.now, answer)
			}
		}
	}
	f.assertReturned(f.receiveFromBalancer(callerSegment(packet.SYN, 100, 0, 0)), packet.ReturnBusy)
	f.advance(abandonTimeout + time.Second)
	f.sendHeartbeat(nil)
	f.Expire(f.now)
	f.is.Equal(f.Load(f.now).OutstandingRequests, 0)
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.SYN, 100, 0, 0)))
}

// Guards against a host that counts as full because callers retransmitted requests that it had already answered.
func TestRetransmissionIsNoRequest(t *testing.T) {
	f := newFixture(t, false)
	f.openFlow()
	f.receiveFromBalancer(callerSegment(packet.ACK, 400, 6000, 300))
	f.HandleFromHost(f.now, hostSegment(packet.ACK, 6000, 100))
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.ACK, 400, 6000, 300)))
	f.is.Equal(f.Load(f.now).OutstandingRequests, 0)
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.ACK, 700, 6100, 300)))
	f.is.Equal(f.Load(f.now).OutstandingRequests, 1)
}

// Guards against a wrong answer to a balancer: that the host holds a flow which it may not hold, or does not hold a flow
// which it may hold.
func TestLocate(t *testing.T) {
	key := callerSegment(0, 0, 0, 0).KeyFromCaller()
	cases := []struct {
		name    string
		running bool
		before  func(f *fixture)
		want    Holding
	}{
		{"unknown, host ran before", true, func(*fixture) {}, HoldingUnseen},
		{"unknown, all flows seen", false, func(*fixture) {}, HoldingNo},
		{"unknown, host deregistered and its process ended", true, func(f *fixture) {
			f.HandleDeregister(f.now, "i-1")
			f.HandleHostAbsent(f.now.Add(minQuietTime))
		}, HoldingNo},
		{"offered, host ran before", true, func(f *fixture) { f.receiveFromBalancer(callerSegment(packet.SYN, 100, 0, 0)) }, HoldingUnseen},
		{"offered", false, func(f *fixture) { f.receiveFromBalancer(callerSegment(packet.SYN, 100, 0, 0)) }, HoldingNo},
		{"answered", false, func(f *fixture) {
			f.receiveFromBalancer(callerSegment(packet.SYN, 100, 0, 0))
			f.HandleFromHost(f.now, hostSegment(packet.SYN|packet.ACK, 5000, 0))
		}, HoldingUnsure},
		{"open", false, func(f *fixture) { f.openFlow() }, HoldingYes},
		{"probed, no answer yet", true, func(f *fixture) { f.receiveFromBalancer(callerSegment(packet.ACK, 400, 6000, 300)) }, HoldingUnsure},
		{"bounced by the host", true, func(f *fixture) {
			f.receiveFromBalancer(callerSegment(packet.ACK, 400, 6000, 300))
			f.HandleFromHost(f.now, markBounced(callerSegment(packet.ACK, 400, 6000, 300)))
		}, HoldingNo},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.running)
			c.before(f)
			f.is.Equal(f.Locate(otherBalancer, key, 0), c.want)
		})
	}
}
