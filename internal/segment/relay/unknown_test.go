package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/segment/packet"
)

// newRestarted returns a fixture with a relay that has just started beside a host that may run and hold flows. It has
// received no heartbeat.
func newRestarted(t *testing.T) *fixture {
	t.Helper()
	is := is.New(t)
	r, err := New(Config{Service: "studio", HeartbeatInterval: heartbeatInterval, FlowLifetime: time.Minute, StartedAt: start})
	is.NoErr(err)
	return &fixture{Relay: r, is: is, now: start, lastHeartbeat: Heartbeat{Start: StartID{"i-1", 1000}, Sequence: 40, State: packet.HostReady, Slots: 2}}
}

// Guards against resets of living flows by a relay that takes what it has not seen yet for known: it denies a flow that
// its host holds, so that a balancer resets the flow.
func TestNothingKnownIsNotDenied(t *testing.T) {
	firstPacket, laterPacket := callerSegment(packet.SYN, 100, 0, 1), callerSegment(packet.ACK, 101, 5001, 300)
	cases := []struct {
		name   string
		before func(f *fixture)
	}{
		{"no heartbeat for longer than a flow lives minus a second", func(f *fixture) {
			f.advance(time.Minute - time.Second)
			f.Expire(f.now)
		}},
		{"late first heartbeat", func(f *fixture) {
			f.advance(1100 * time.Millisecond)
			f.Expire(f.now)
			f.sendHeartbeat(nil)
		}},
		{"deregistered, perhaps by an earlier start with the same id", func(f *fixture) {
			f.sendHeartbeat(nil)
			f.HandleDeregister(f.now, "i-1")
		}},
		{"copy of the first packet came before", func(f *fixture) {
			f.sendHeartbeat(nil)
			f.assertDelivered(f.receiveFromBalancer(firstPacket))
		}},
		{"copy of the first packet came after a packet of the host", func(f *fixture) {
			f.HandleFromHost(f.now, hostSegment(packet.ACK, 5001, 0))
			f.sendHeartbeat(nil)
			f.assertDelivered(f.receiveFromBalancer(firstPacket))
		}},
		{"host bounced a packet of an earlier flow of the port", func(f *fixture) {
			earlier := callerSegment(packet.ACK, 900_000_000, 800_000_000, 300)
			f.assertDelivered(f.receiveFromBalancer(earlier))
			f.HandleFromHost(f.now, markBounced(callerSegment(packet.ACK, 900_000_000, 800_000_000, 300)))
		}},
		{"connection refused just after the start of the relay", func(f *fixture) {
			f.advance(minQuietTime / 2)
			f.HandleHostAbsent(f.now)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newRestarted(t)
			c.before(f)
			f.is.True(f.Locate(otherBalancer, laterPacket.KeyFromCaller(), 5001) != HoldingNo)
			f.is.True(f.State(f.now) != packet.HostGone) // balancers do not ask the agents of such hosts
			f.assertDelivered(f.receiveFromBalancer(laterPacket))
		})
	}
}

// Guards against a flow that lives at another host and is reset because this host, which has answered a copy of its first
// packet too, bounces a packet of it.
func TestAnswerIsNotHolding(t *testing.T) {
	f := newRestarted(t)
	f.HandleFromHost(f.now, hostSegment(packet.SYN|packet.ACK, 5000, 0))
	f.is.Equal(f.Locate(balancer, callerSegment(0, 0, 0, 0).KeyFromCaller(), 0), HoldingUnsure)
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.ACK, 101, 900_001, 300)))
	f.assertReturned(f.HandleFromHost(f.now, markBounced(callerSegment(packet.ACK, 101, 900_001, 300))), packet.ReturnNotHeld)
}

// Guards against a reset that callers take for a forged packet, because its sequence number is none of the flow: the
// relay has seen no packet of the caller yet.
func TestResetWithoutCallerPacket(t *testing.T) {
	f := newRestarted(t)
	f.HandleFromHost(f.now, hostSegment(packet.ACK, 800_000_000, 100))
	f.advance(time.Second)
	f.is.Equal(f.HandleHostAbsent(f.now), []Decision{Reset{Flow: hostSegment(0, 0, 0).KeyFromHost(), Sequence: 800_000_100, Reason: ReasonHostAbsent}})
}

// Guards against packets of a flow that a late packet of an earlier flow of the same port affects, at the host that
// holds the later flow.
func TestLatePacketOfEarlierFlow(t *testing.T) {
	earlier := func() *packet.Segment { return callerSegment(packet.ACK, 900_000_000, 800_000_000, 300) }
	f := newFixture(t, false)
	f.openFlow()
	f.receiveFromBalancer(earlier())
	f.HandleFromHost(f.now, markBounced(earlier()))
	f.is.Equal(f.Locate(balancer, earlier().KeyFromCaller(), 5001), HoldingYes)
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.ACK, 401, 6001, 300)))
	f.is.Equal(f.HandleFromHost(f.now, markBounced(callerSegment(packet.ACK, 401, 6001, 300))),
		[]Decision{Reset{Flow: earlier().KeyFromCaller(), Sequence: 6001, Reason: ReasonHostLostFlow}})

	f = newFixture(t, false)
	f.assertDelivered(f.receiveFromBalancer(callerSegment(packet.SYN, 100, 0, 0)))
	late := hostSegment(packet.ACK, 800_000_000, 0)
	late.Acknowledgement = 900_000_300
	f.HandleFromHost(f.now, late)
	f.is.Equal(f.Locate(balancer, earlier().KeyFromCaller(), 0), HoldingNo) // the host has not answered the first packet
}
