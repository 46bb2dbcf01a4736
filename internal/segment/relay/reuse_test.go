package relay

import (
	"testing"
	"time"

	"agateramp/internal/segment/packet"
)

// Guards against an answer to the wrong caller: a caller uses a port again for a flow that another host opens while the
// earlier flow is still in the table here. A balancer that searches for the new flow must not be sent to this host, which
// would have it reset.
func TestLocateReusedPort(t *testing.T) {
	cases := []struct {
		name            string
		acknowledgement uint32
		want            Holding
	}{
		{"of the flow", 5001, HoldingYes},
		{"before the last answer of the host", 5000, HoldingYes},
		{"of another flow", 900_000_000, HoldingNo},
		{"not known", 0, HoldingYes},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, false)
			f.openFlow()
			f.HandleFromHost(f.now, hostSegment(packet.ACK, 5001, 300))
			f.is.Equal(f.Locate(otherBalancer, callerSegment(0, 0, 0, 0).KeyFromCaller(), c.acknowledgement), c.want)
		})
	}
}

// Guards against packets of living flows that are returned because a balancer that has just started does not know the
// service of this agent yet; and against first packets, and packets of other flows, for another service.
func TestLabelOfAnotherService(t *testing.T) {
	other := packet.Label{ServiceTag: packet.ServiceTag("archive")}
	cases := []struct {
		name    string
		open    bool
		segment *packet.Segment
		deliver bool
	}{
		{"packet of an open flow", true, callerSegment(packet.ACK, 401, 5001, 300), true},
		{"first packet", true, callerSegment(packet.SYN, 9000, 0, 0), false},
		{"packet of another flow from the same port", true, callerSegment(packet.ACK, 401, 900_000_000, 300), false},
		{"unknown flow", false, callerSegment(packet.ACK, 401, 5001, 300), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, true)
			if c.open {
				f.openFlow()
				f.HandleFromHost(f.now, hostSegment(packet.ACK, 5001, 300))
			}
			decisions := f.HandleFromBalancer(f.now, otherBalancer, other, c.segment)
			_, delivered := decisions[0].(Deliver)
			f.is.Equal(delivered, c.deliver)
			if !c.deliver {
				f.is.Equal(decisions[0].(Return).Reason, packet.ReturnWrongService)
			}
		})
	}
}

// Guards against an agent that was paused for some seconds and goes on with what its host had said before: the host may
// have left meanwhile. It takes flows again with the host's next heartbeat.
func TestPausedAgentTakesNoFlows(t *testing.T) {
	f := newFixture(t, false)
	first := callerSegment(packet.SYN, 100, 0, 0)
	f.advance(maxMissedHeartbeats*heartbeatInterval + time.Millisecond)
	f.is.Equal(f.State(f.now), packet.HostUnresponsive)
	f.is.Equal(f.receiveFromBalancer(first)[0].(Return).Reason, packet.ReturnNoHost)
	f.sendHeartbeat(nil)
	_, delivered := f.receiveFromBalancer(first)[0].(Deliver)
	f.is.True(delivered)
}
