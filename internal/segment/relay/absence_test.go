package relay

import (
	"net/netip"
	"testing"
	"time"

	"agateramp/internal/segment/packet"
)

// probe makes the importer's probe at the current time, if one is due, and reports whether it was. The machine refuses
// the connection.
func (f *fixture) probe() (due bool, decisions []Decision) {
	if due = f.NeedsProbe(f.now); due {
		decisions = f.HandleHostAbsent(f.now)
	}
	return due, decisions
}

// Guards against probes of hosts that are alive, each of which opens a connection, and against hosts that are not
// probed although they may have died.
func TestNeedsProbe(t *testing.T) {
	cases := []struct {
		name   string
		before func(f *fixture)
		want   bool
	}{
		{"alive", func(*fixture) {}, false},
		{"heartbeat late", func(f *fixture) { f.advance(2 * heartbeatInterval) }, true},
		{"first packet without an answer", func(f *fixture) {
			f.advance(time.Millisecond)
			f.receiveFromBalancer(callerSegment(packet.SYN, 100, 0, 0))
			f.advance(2 * answerTimeout)
			f.Tick(f.now)
		}, true},
		{"request without an answer", func(f *fixture) {
			f.openFlow()
			f.advance(time.Second)
			f.receiveFromBalancer(callerSegment(packet.ACK, 401, 6001, 300))
			f.advance(probeAfterSilence)
		}, true},
		{"request after a pause", func(f *fixture) {
			f.openFlow()
			f.advance(time.Second)
			f.receiveFromBalancer(callerSegment(packet.ACK, 401, 6001, 300))
			f.advance(probeAfterSilence - time.Millisecond)
		}, false},
		{"idle flows", func(f *fixture) {
			f.openFlow()
			f.advance(time.Second)
		}, false},
		{"probed a moment ago", func(f *fixture) {
			f.advance(2 * heartbeatInterval)
			f.NeedsProbe(f.now)
			f.advance(minProbeInterval / 2)
		}, false},
		{"known to be absent", func(f *fixture) {
			f.advance(2 * heartbeatInterval)
			f.probe()
			f.advance(time.Minute)
		}, false},
		{"deregistered", func(f *fixture) { f.HandleDeregister(f.now, "i-1") }, true},
		{"deregistered and known to be absent", func(f *fixture) {
			f.HandleDeregister(f.now, "i-1")
			f.probe()
			f.advance(time.Minute)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, false)
			c.before(f)
			f.is.Equal(f.NeedsProbe(f.now), c.want)
		})
	}
	r, err := New(Config{Service: "studio", HeartbeatInterval: heartbeatInterval, StartedAt: start})
	f := newFixture(t, false)
	f.is.NoErr(err)
	f.is.True(r.NeedsProbe(start)) // no heartbeat since the start of the agent
}

// Guards against callers that wait for their timeout because their host has died: its agent lives, but only the next
// start of the host would tell it.
func TestAbsentHost(t *testing.T) {
	f := newFixture(t, true)
	f.openFlow()
	key := callerSegment(0, 0, 0, 0).KeyFromCaller()
	f.advance(2 * heartbeatInterval)
	due, decisions := f.probe()
	f.is.True(due)
	f.is.Equal(decisions, []Decision{Reset{Flow: key, Sequence: 5001, Reason: ReasonHostAbsent}})
	f.is.Equal(f.State(f.now), packet.HostGone)
	f.is.Equal(f.Locate(balancer, key, 0), HoldingNo) // the agent can tell now
	f.assertReturned(f.receiveFromBalancer(callerSegment(packet.SYN, 100, 0, 0)), packet.ReturnNoHost)

	verdict := f.HandleHeartbeat(f.now, Heartbeat{Start: StartID{"i-2", 9000}, Sequence: 1, State: packet.HostReady, Slots: 2})
	f.is.Equal(verdict, VerdictNewHost)
	f.is.Equal(len(f.Verify()), 0)
	f.is.Equal(f.State(f.now), packet.HostReady)
	f.is.Equal(f.Locate(balancer, key, 0), HoldingNo) // the new start began after the old one had ended
}

// Guards against resets of living flows: a host that is just starting may serve flows before it accepts connections.
func TestHostThatSendsIsNotAbsent(t *testing.T) {
	f := newFixture(t, false)
	f.advance(2 * heartbeatInterval)
	f.openFlow()
	f.is.Equal(len(f.HandleHostAbsent(f.now)), 0)
	f.is.Equal(f.HostAbsent(), false)
	f.is.Equal(f.Locate(balancer, callerSegment(0, 0, 0, 0).KeyFromCaller(), 0), HoldingYes)
}

// Guards against requests that are sent into flows of a host that has died and whose heartbeat is not overdue yet, and
// against flows for it while its next start may be receiving packets before it accepts connections.
func TestHostDiesBetweenHeartbeats(t *testing.T) {
	f := newFixture(t, false)
	f.openFlow()
	f.receiveFromBalancer(callerSegment(packet.ACK, 401, 6001, 300))
	f.advance(probeAfterSilence)
	due, decisions := f.probe()
	f.is.True(due)
	f.is.Equal(len(decisions), 0) // a start that is just beginning may hold the flow
	f.is.Equal(f.State(f.now), packet.HostUnresponsive)
	f.assertReturned(f.receiveFromBalancer(callerSegment(packet.SYN, 900_000_000, 0, 0)), packet.ReturnNoHost)

	f.advance(minQuietTime - probeAfterSilence)
	due, decisions = f.probe()
	f.is.True(due)
	f.is.Equal(decisions, []Decision{Reset{Flow: hostSegment(0, 0, 0).KeyFromHost(), Sequence: 6001, Reason: ReasonHostAbsent}})
	f.is.Equal(f.State(f.now), packet.HostGone)
}

// Guards against resets of the flows of a host that hangs, which may still answer, and against probes of it at each check.
func TestHostThatHangsKeepsItsFlows(t *testing.T) {
	f := newFixture(t, false)
	f.openFlow()
	f.receiveFromBalancer(callerSegment(packet.ACK, 401, 6001, 300))
	probes := 0
	for range 20 {
		f.advance(50 * time.Millisecond)
		if f.NeedsProbe(f.now) {
			probes++
			f.HandleHostListens()
		}
	}
	f.is.Equal(probes, 4) // one each minProbeInterval
	f.is.Equal(f.Locate(balancer, hostSegment(0, 0, 0).KeyFromHost(), 0), HoldingYes)
}

// Guards against a host that stays without new flows after a refused connection although it has sent packets since or
// accepts connections.
func TestRefusalIsTakenBack(t *testing.T) {
	f := newFixture(t, false)
	f.openFlow()
	for _, sign := range []func(){
		func() { f.HandleFromHost(f.now, hostSegment(packet.ACK, 6001, 100)) },
		f.HandleHostListens,
	} {
		f.HandleHostAbsent(f.now)
		f.is.Equal(f.State(f.now), packet.HostUnresponsive)
		sign()
		f.is.Equal(f.State(f.now), packet.HostReady)
	}
}

// Guards against a host that attracts flows because it fails fast: while it goes down and up it accepts flows and resets
// them at their first request, so that it never looks busy. Its agent should offer it no more than a trial flow meanwhile.
func TestHostThatResetsRequests(t *testing.T) {
	f := newFixture(t, false)
	for port := uint16(1); port <= 5; port++ {
		from := netip.AddrPortFrom(caller.Addr(), port)
		first := callerSegment(packet.SYN, 100, 0, 0)
		request := callerSegment(packet.ACK, 101, 5001, 300)
		answer, reset := hostSegment(packet.SYN|packet.ACK, 5000, 0), hostSegment(packet.RST, 5001, 0)
		first.Source, request.Source, answer.Destination, reset.Destination = from, from, from, from
		f.receiveFromBalancer(first)
		f.HandleFromHost(f.now, answer)
		f.receiveFromBalancer(request)
		f.advance(time.Millisecond)
		f.HandleFromHost(f.now, reset)
		f.advance(10 * time.Millisecond)
	}
	f.is.Equal(f.State(f.now), packet.HostUnresponsive)
}
