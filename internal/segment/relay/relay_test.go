package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/segment/packet"
)

const heartbeat = 1200 * time.Millisecond

var (
	start    = time.Unix(1_000_000, 0)
	service  = netip.MustParseAddrPort("198.18.0.1:443")
	caller   = netip.MustParseAddrPort("100.64.0.7:40001")
	balancer = netip.MustParseAddr("10.0.0.1")
	other    = netip.MustParseAddr("10.0.0.2")
	label    = packet.Label{Service: packet.ServiceTag("studio")}
)

type bench struct {
	*Relay
	is   *is.I
	now  time.Time
	beat Heartbeat
}

// newBench returns a relay whose host has just started, or was running before it.
func newBench(t *testing.T, running bool) *bench {
	t.Helper()
	is := is.New(t)
	r, err := New(Config{Service: "studio", Heartbeat: heartbeat, FlowLifetime: time.Minute})
	is.NoErr(err)
	b := &bench{Relay: r, is: is, now: start, beat: Heartbeat{ID: "i-1", StartMS: 1000, Age: time.Hour, Sequence: 1, State: packet.HostReady, Slots: 2}}
	if !running {
		verdict, _ := b.HandleHeartbeat(b.now, Heartbeat{ID: "i-0", StartMS: 1, Sequence: 9, State: packet.HostReady})
		is.Equal(verdict, VerdictNewHost)
	}
	verdict, _ := b.HandleHeartbeat(b.now, b.beat)
	is.Equal(verdict, VerdictNewHost)
	return b
}

func (b *bench) later(wait time.Duration) { b.now = b.now.Add(wait) }

func (b *bench) heartbeat(change func(h *Heartbeat)) (verdict Verdict, decisions []Decision) {
	b.beat.Sequence++
	if change != nil {
		change(&b.beat)
	}
	return b.HandleHeartbeat(b.now, b.beat)
}

func fromCaller(flags packet.Flags, sequence, acknowledgement uint32, length int) *packet.Segment {
	return &packet.Segment{
		Source: caller, Destination: service, Flags: flags, Sequence: sequence, Acknowledgement: acknowledgement, Length: length, Data: []byte{1},
	}
}

func fromHost(flags packet.Flags, sequence uint32, length int) *packet.Segment {
	return &packet.Segment{Source: service, Destination: caller, Flags: flags, Sequence: sequence, Length: length, Data: []byte{2}}
}

func (b *bench) toHost(s *packet.Segment) (decisions []Decision) {
	return b.HandleFromBalancer(b.now, balancer, label, s)
}

func (b *bench) returned(decisions []Decision, reason packet.ReturnReason) {
	b.is.Helper()
	b.is.Equal(len(decisions), 1)
	r, ok := decisions[0].(Return)
	b.is.True(ok) // the packet goes back to the balancer
	b.is.Equal(r.Reason, reason)
	b.is.Equal(r.Balancer, balancer)
}

func (b *bench) delivered(decisions []Decision) {
	b.is.Helper()
	_, ok := decisions[0].(Deliver)
	b.is.True(ok) // the packet goes to the host
}

func (b *bench) open() {
	b.delivered(b.toHost(fromCaller(packet.SYN, 100, 0, 0)))
	decisions := b.HandleFromHost(b.now, fromHost(packet.SYN|packet.ACK, 5000, 0))
	b.is.Equal(len(decisions), 2)
	b.is.Equal(decisions[1], Accept{Flow: fromHost(0, 0, 0).FromHost(), Balancer: balancer, Sequence: 5000, Handshake: true})
	b.delivered(b.toHost(fromCaller(packet.ACK, 101, 5001, 300)))
	b.HandleFromHost(b.now, fromHost(packet.ACK, 5001, 1000))
}

// Guards against work for a host that is leaving, gone, silent or of another service.
func TestNewFlowsRefused(t *testing.T) {
	cases := []struct {
		name   string
		change func(b *bench)
		reason packet.ReturnReason
	}{
		{"draining", func(b *bench) { b.heartbeat(func(h *Heartbeat) { h.State = packet.HostDraining }) }, packet.ReturnDraining},
		{"gone", func(b *bench) { b.is.True(b.HandleDeregister("i-1")) }, packet.ReturnNoHost},
		{"without heartbeats", func(b *bench) { b.later(missedHeartbeats*heartbeat + time.Millisecond) }, packet.ReturnNoHost},
		{"agent stops", func(b *bench) { b.Stop() }, packet.ReturnNoHost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, false)
			b.open()
			c.change(b)
			s := fromCaller(packet.SYN, 900, 0, 0)
			s.Source = netip.MustParseAddrPort("100.64.0.8:40001")
			b.returned(b.toHost(s), c.reason)
			b.delivered(b.toHost(fromCaller(packet.ACK, 400, 6000, 300))) // open flows go on
		})
	}
	b := newBench(t, false)
	b.returned(b.HandleFromBalancer(b.now, balancer, packet.Label{Service: packet.ServiceTag("archive")}, fromCaller(packet.SYN, 100, 0, 0)), packet.ReturnWrongService)
	r, err := New(Config{Service: "studio", Heartbeat: heartbeat})
	b.is.NoErr(err)
	b.Relay = r
	b.returned(b.toHost(fromCaller(packet.SYN, 100, 0, 0)), packet.ReturnNoHost) // no heartbeat yet
}

// Guards against a late heartbeat that brings back an earlier start of the host,
// and against a host that is ignored because its clock went back.
func TestHeartbeats(t *testing.T) {
	b := newBench(t, false)
	verdict, _ := b.HandleHeartbeat(b.now, Heartbeat{ID: "i-1", StartMS: 1000, Sequence: 1, State: packet.HostDraining})
	b.is.Equal(verdict, VerdictLate)
	b.is.Equal(b.State(b.now), packet.HostReady)

	verdict, _ = b.heartbeat(func(h *Heartbeat) { h.StartMS, h.Sequence = 2000, 1 }) // same identifier, later start
	b.is.Equal(verdict, VerdictNewHost)
	verdict, _ = b.HandleHeartbeat(b.now, Heartbeat{ID: "i-0", StartMS: 500, Sequence: 90, State: packet.HostReady})
	b.is.Equal(verdict, VerdictSuperseded)
	b.is.Equal(b.HostID(), "i-1")

	b.later(missedHeartbeats * heartbeat)
	for i := range int64(takeoverHeartbeats + 1) {
		verdict, _ = b.HandleHeartbeat(b.now, Heartbeat{ID: "i-2", StartMS: 500, Sequence: i, State: packet.HostReady})
	}
	b.is.Equal(verdict, VerdictNewHost)
	b.is.Equal(b.HostID(), "i-2")
}

// Guards against callers that wait for a host that has lost their flow.
func TestHostRestarts(t *testing.T) {
	key := fromHost(0, 0, 0).FromHost()
	b := newBench(t, false)
	b.open()
	b.later(firstHeartbeatTime)
	_, decisions := b.heartbeat(func(h *Heartbeat) { h.ID, h.StartMS = "i-2", 2000 })
	b.is.Equal(decisions, []Decision{Reset{Flow: key, Sequence: 5001, Reason: ReasonHostRestarted}})

	b = newBench(t, false)
	b.open()
	b.is.Equal(b.HandleFromHost(b.now, bounced(fromCaller(packet.ACK, 400, 6000, 300))),
		[]Decision{Reset{Flow: key, Sequence: 5001, Reason: ReasonHostLostFlow}})
}

func bounced(s *packet.Segment) *packet.Segment {
	s.Flags |= packet.Bounced
	return s
}

// Guards against resets of flows that live at another host, and against packets
// that reach hosts which do not hold their flow again and again.
func TestUnknownFlow(t *testing.T) {
	b := newBench(t, false)
	b.returned(b.toHost(fromCaller(packet.ACK, 400, 6000, 300)), packet.ReturnNotHeld) // every flow since the start was seen

	b = newBench(t, true)
	b.delivered(b.toHost(fromCaller(packet.ACK, 400, 6000, 300)))
	b.returned(b.HandleFromHost(b.now, bounced(fromCaller(packet.ACK, 400, 6000, 300))), packet.ReturnNotHeld)
	b.returned(b.toHost(fromCaller(packet.ACK, 400, 6000, 300)), packet.ReturnNotHeld) // the host is not asked again

	b = newBench(t, true)
	b.delivered(b.toHost(fromCaller(packet.ACK, 400, 6000, 300)))
	decisions := b.HandleFromHost(b.now, fromHost(packet.ACK, 6000, 100))
	b.is.Equal(decisions[1], Accept{Flow: fromHost(0, 0, 0).FromHost(), Balancer: balancer})
	decisions = b.HandleFromBalancer(b.now, other, label, fromCaller(packet.ACK, 700, 6100, 300))
	b.is.Equal(decisions[1], Accept{Flow: fromHost(0, 0, 0).FromHost(), Balancer: other}) // another balancer learns too
}

// Guards against a flow that opens at a host whose answer the caller did not take.
func TestAnswerNotTaken(t *testing.T) {
	b := newBench(t, false)
	b.delivered(b.toHost(fromCaller(packet.SYN, 100, 0, 0)))
	b.HandleFromHost(b.now, fromHost(packet.SYN|packet.ACK, 5000, 0))
	b.returned(b.toHost(fromCaller(packet.ACK, 101, 900_001, 300)), packet.ReturnNotHeld)
}

// Guards against a refusal of the host that is lost, and against SYN+ACKs that
// reach a host.
func TestRefusedFirstPacket(t *testing.T) {
	b := newBench(t, false)
	b.delivered(b.toHost(fromCaller(packet.SYN, 100, 0, 0)))
	b.returned(b.HandleFromHost(b.now, bounced(fromCaller(packet.SYN, 100, 0, 0))), packet.ReturnRefused)
	b.is.Equal(b.toHost(fromCaller(packet.SYN|packet.ACK, 100, 0, 0)),
		[]Decision{Drop{Flow: fromCaller(0, 0, 0, 0).FromCaller(), Reason: ReasonNotForHost}})
}

// Guards against new flows for a host that no longer answers but whose heartbeats
// are not late yet, and against a host that is never tried again.
func TestUnresponsiveHost(t *testing.T) {
	b := newBench(t, false)
	for i := range uint16(missedAnswers) {
		s := fromCaller(packet.SYN, 100, 0, 0)
		s.Source = netip.AddrPortFrom(caller.Addr(), 2000+i)
		b.later(time.Millisecond)
		b.delivered(b.toHost(s))
	}
	b.later(answerTimeout)
	b.is.True(b.Tick(b.now))
	b.is.Equal(b.State(b.now), packet.HostUnresponsive)
	b.delivered(b.toHost(fromCaller(packet.SYN, 100, 0, 0))) // a trial
	s := fromCaller(packet.SYN, 100, 0, 0)
	s.Source = netip.AddrPortFrom(caller.Addr(), 3000)
	b.returned(b.toHost(s), packet.ReturnNoHost)
	b.HandleFromHost(b.now, fromHost(packet.SYN|packet.ACK, 5000, 0))
	b.is.Equal(b.State(b.now), packet.HostReady)
}

// Guards against load figures that count work that has ended.
func TestLoad(t *testing.T) {
	b := newBench(t, false)
	b.open()
	b.is.Equal(b.Load(b.now).Busy, 0)
	b.toHost(fromCaller(packet.ACK, 400, 6000, 300))
	b.is.Equal(b.Load(b.now).Busy, 1)
	b.later(30 * time.Millisecond)
	b.HandleFromHost(b.now, fromHost(packet.ACK, 6000, 100))
	b.is.Equal(b.Load(b.now).Busy, 0)
	b.toHost(fromCaller(packet.ACK, 700, 6100, 300))
	b.toHost(fromCaller(packet.RST, 700, 6100, 0))
	b.is.Equal(b.Load(b.now).Busy, 0)
	b.later(2 * time.Minute)
	b.Expire(b.now)
	b.is.Equal(b.Load(b.now).Flows, 0)
}

// Guards against a flow that is forgotten, and then reset, because its host has
// sent a FIN while the caller has not.
func TestHalfClosedFlow(t *testing.T) {
	b := newBench(t, false)
	b.open()
	b.HandleFromHost(b.now, fromHost(packet.FIN|packet.ACK, 6001, 0))
	b.later(endedTime + time.Second)
	b.Expire(b.now)
	b.delivered(b.toHost(fromCaller(packet.ACK, 400, 6002, 0)))
	b.delivered(b.toHost(fromCaller(packet.FIN|packet.ACK, 400, 6002, 0)))
	b.later(endedTime + time.Second)
	b.Expire(b.now)
	b.is.Equal(b.Load(b.now).Flows, 0)
}

// Guards against a balancer that keeps looking for a flow because the agent
// believes to have told it, as after a restart of the balancer.
func TestBalancerAsksAgain(t *testing.T) {
	b := newBench(t, false)
	b.open()
	b.is.Equal(len(b.toHost(fromCaller(packet.ACK, 400, 6000, 300))), 1)
	decisions := b.HandleFromBalancer(b.now, balancer, packet.Label{Service: label.Service, Ask: true}, fromCaller(packet.ACK, 400, 6000, 300))
	b.is.Equal(len(decisions), 2)
	b.is.Equal(decisions[1], Accept{Flow: fromHost(0, 0, 0).FromHost(), Balancer: balancer})
}

// Guards against resets of open flows when an agent that restarted beside its host
// sees the host's packets before its first heartbeat.
func TestAgentRestartsBesideHost(t *testing.T) {
	is := is.New(t)
	r, err := New(Config{Service: "studio", Heartbeat: heartbeat})
	is.NoErr(err)
	r.HandleFromBalancer(start, balancer, label, fromCaller(packet.ACK, 400, 6000, 300))
	r.HandleFromHost(start, fromHost(packet.ACK, 6000, 100))
	verdict, decisions := r.HandleHeartbeat(start, Heartbeat{ID: "i-1", StartMS: 1000, Sequence: 40, State: packet.HostReady, Slots: 2})
	is.Equal(verdict, VerdictNewHost)
	is.Equal(len(decisions), 0)
	is.Equal(r.Load(start).Flows, 1)
}

// Guards against resets of flows that a host took before its first heartbeat.
func TestFlowBeforeFirstHeartbeat(t *testing.T) {
	b := newBench(t, false)
	b.open()
	b.later(firstHeartbeatTime / 2)
	_, decisions := b.heartbeat(func(h *Heartbeat) { h.ID, h.StartMS = "i-2", 2000 })
	b.is.Equal(len(decisions), 0)
	b.delivered(b.toHost(fromCaller(packet.ACK, 400, 6000, 300)))
	b.is.Equal(len(b.HandleFromHost(b.now, bounced(fromCaller(packet.ACK, 400, 6000, 300)))), 1) // a reset if the host does not hold it
}

// Guards against an agent that denies flows which its host took before the agent started.
func TestAgentStartsWithHost(t *testing.T) {
	is := is.New(t)
	r, err := New(Config{Service: "studio", Heartbeat: heartbeat, FlowLifetime: time.Minute})
	is.NoErr(err)
	r.HandleHeartbeat(start, Heartbeat{ID: "i-1", StartMS: 1000, Age: time.Hour, Sequence: 1, State: packet.HostReady})
	decisions := r.HandleFromBalancer(start, balancer, label, fromCaller(packet.ACK, 400, 6000, 300))
	_, delivered := decisions[0].(Deliver)
	is.True(delivered) // the host is asked
	r.Expire(start.Add(time.Minute + time.Second))
	decisions = r.HandleFromBalancer(start.Add(2*time.Minute), balancer, label, fromCaller(packet.ACK, 400, 6000, 300))
	_, returned := decisions[0].(Return)
	is.True(returned) // flows from before the agent's start are too old
}

// Guards against agents that cannot say that their host holds nothing when both
// have just started, and against agents that say so of a host that ran before: the
// clock may have stepped back since the host's start.
func TestYoungHost(t *testing.T) {
	cases := []struct {
		name     string
		age      time.Duration
		complete bool
	}{
		{"started with the agent", heartbeat / 4, true},
		{"ran before", heartbeat, false},
		{"starts in the future", -time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, err := New(Config{Service: "studio", Heartbeat: heartbeat})
			is.NoErr(err)
			r.HandleHeartbeat(start, Heartbeat{ID: "i-1", StartMS: 1000, Age: c.age, Sequence: 2, State: packet.HostReady, Slots: 2})
			decisions := r.HandleFromBalancer(start, balancer, label, fromCaller(packet.ACK, 400, 6000, 300))
			_, returned := decisions[0].(Return)
			is.Equal(returned, c.complete)
		})
	}
}

// Guards against a host that gets more work than it can do in time while others
// may have room.
func TestFullHost(t *testing.T) {
	b := newBench(t, false)
	limit := uint16(b.workLimit(false))
	for port := range limit {
		s := fromCaller(packet.SYN, 100, 0, 0)
		s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
		b.delivered(b.toHost(s))
	}
	b.returned(b.toHost(fromCaller(packet.SYN, 100, 0, 0)), packet.ReturnBusy)
	s := fromCaller(packet.SYN, 100, 0, 0)
	s.Source = netip.AddrPortFrom(caller.Addr(), 1000)
	b.delivered(b.toHost(s)) // a copy of one that was taken
	b.later(answerTimeout)
	b.HandleFromHost(b.now, fromHost(packet.ACK, 1, 0)) // the host lives
	b.delivered(b.toHost(fromCaller(packet.SYN, 100, 0, 0)))
}

// Guards against flows that have missed their latency objective in the places of
// flows that can still meet it.
func TestLateFlowsTakeFreeSlots(t *testing.T) {
	b := newBench(t, false)
	late := packet.Label{Service: label.Service, Late: true}
	offer := func(port uint16, l packet.Label) []Decision {
		s := fromCaller(packet.SYN, 100, 0, 0)
		s.Source = netip.AddrPortFrom(caller.Addr(), port)
		return b.HandleFromBalancer(b.now, balancer, l, s)
	}
	for port := range uint16(b.beat.Slots) {
		b.delivered(offer(1000+port, late))
	}
	b.returned(offer(2000, late), packet.ReturnBusy)
	b.delivered(offer(3000, label))
}

// Guards against a host that counts as full because callers have given up without
// a word on requests that it never answers.
func TestAbandonedRequests(t *testing.T) {
	b := newBench(t, false)
	for port := range uint16(b.workLimit(false)) {
		for _, s := range []*packet.Segment{fromCaller(packet.SYN, 100, 0, 0), fromCaller(packet.ACK, 101, 5001, 300)} {
			s.Source = netip.AddrPortFrom(caller.Addr(), 1000+port)
			b.delivered(b.toHost(s))
			answer := fromHost(packet.SYN|packet.ACK, 5000, 0)
			answer.Destination = s.Source
			if s.First() {
				b.HandleFromHost(b.now, answer)
			}
		}
	}
	b.returned(b.toHost(fromCaller(packet.SYN, 100, 0, 0)), packet.ReturnBusy)
	b.later(abandonedTime + time.Second)
	b.heartbeat(nil)
	b.Expire(b.now)
	b.is.Equal(b.Load(b.now).Busy, 0)
	b.delivered(b.toHost(fromCaller(packet.SYN, 100, 0, 0)))
}

// Guards against a host that counts as full because callers sent a request again that
// it had answered.
func TestRetransmissionIsNoWork(t *testing.T) {
	b := newBench(t, false)
	b.open()
	b.toHost(fromCaller(packet.ACK, 400, 6000, 300))
	b.HandleFromHost(b.now, fromHost(packet.ACK, 6000, 100))
	b.delivered(b.toHost(fromCaller(packet.ACK, 400, 6000, 300)))
	b.is.Equal(b.Load(b.now).Busy, 0)
	b.delivered(b.toHost(fromCaller(packet.ACK, 700, 6100, 300)))
	b.is.Equal(b.Load(b.now).Busy, 1)
}

// Guards against balancers that are told that a host holds a flow which it may not
// hold, or holds none of a flow that it may hold.
func TestLocate(t *testing.T) {
	key := fromCaller(0, 0, 0, 0).FromCaller()
	cases := []struct {
		name    string
		running bool
		before  func(b *bench)
		want    Holding
	}{
		{"unknown, host ran before", true, func(*bench) {}, HoldingUnsure},
		{"unknown, every flow was seen", false, func(*bench) {}, HoldingNo},
		{"unknown, host has ended", true, func(b *bench) { b.HandleDeregister("i-1") }, HoldingNo},
		{"offered", false, func(b *bench) { b.toHost(fromCaller(packet.SYN, 100, 0, 0)) }, HoldingNo},
		{"answered", false, func(b *bench) {
			b.toHost(fromCaller(packet.SYN, 100, 0, 0))
			b.HandleFromHost(b.now, fromHost(packet.SYN|packet.ACK, 5000, 0))
		}, HoldingUnsure},
		{"open", false, func(b *bench) { b.open() }, HoldingYes},
		{"shown a packet", true, func(b *bench) { b.toHost(fromCaller(packet.ACK, 400, 6000, 300)) }, HoldingUnsure},
		{"given back", true, func(b *bench) {
			b.toHost(fromCaller(packet.ACK, 400, 6000, 300))
			b.HandleFromHost(b.now, bounced(fromCaller(packet.ACK, 400, 6000, 300)))
		}, HoldingNo},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, c.running)
			c.before(b)
			b.is.Equal(b.Locate(other, key), c.want)
		})
	}
}
