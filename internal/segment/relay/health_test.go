package relay

import (
	"net/netip"
	"testing"
	"time"

	"agateramp/internal/segment/hosthealth"
	"agateramp/internal/segment/packet"
)

// newHealthFixture returns a fixture whose relay reports outcomes, with count open flows of the ports from 1 on,
// after requests that took 20 ms each, a minute before.
func newHealthFixture(t *testing.T, count uint16) *fixture {
	t.Helper()
	f := newFixture(t, false)
	f.judgeHosts = true
	f.SetUsualLatency(20 * time.Millisecond)
	for range 10 {
		f.monitor.RecordAnswer(f.now.Add(-time.Minute), 20*time.Millisecond, classOf(hostSegment(0, 0, 0).KeyFromHost()), false)
	}
	for port := uint16(1); port <= count; port++ {
		f.receiveFromBalancer(fromPort(port, callerSegment(packet.SYN, 100, 0, 0)))
		f.HandleFromHost(f.now, toPort(port, hostSegment(packet.SYN|packet.ACK, 5000, 0)))
		f.receiveFromBalancer(fromPort(port, callerSegment(packet.ACK, 101, 5001, 0)))
		f.HandleFromHost(f.now, toPort(port, hostSegment(packet.ACK, 5001, 0)))
		f.advance(answerTimeout)
		f.Tick(f.now)
	}
	return f
}

func fromPort(port uint16, s *packet.Segment) *packet.Segment {
	s.Source = netip.AddrPortFrom(caller.Addr(), port)
	return s
}

func toPort(port uint16, s *packet.Segment) *packet.Segment {
	s.Destination = netip.AddrPortFrom(caller.Addr(), port)
	return s
}

func (f *fixture) request(port uint16) {
	f.receiveFromBalancer(fromPort(port, callerSegment(packet.ACK, 101, 5001, 300)))
}

func (f *fixture) answer(port uint16) {
	f.HandleFromHost(f.now, toPort(port, hostSegment(packet.ACK, 5001, 100)))
}

// Guards against failures that are not noticed, against failures of callers that count as those of the host, and against a
// host that looks fast because it fails fast.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name string
		play func(f *fixture)
		want hosthealth.Report
	}{
		{"answered", func(f *fixture) { f.advance(20 * time.Millisecond); f.answer(1) }, hosthealth.Report{Requests: 1}},
		{"answered at once", func(f *fixture) { f.advance(time.Millisecond); f.answer(1) }, hosthealth.Report{Requests: 1, Failures: 1}},
		{"reset", func(f *fixture) { f.HandleFromHost(f.now, toPort(1, hostSegment(packet.RST, 5001, 0))) }, hosthealth.Report{Requests: 1, Failures: 1}},
		{"bounced", func(f *fixture) {
			f.HandleFromHost(f.now, fromPort(1, markBounced(callerSegment(packet.ACK, 101, 5001, 300))))
		}, hosthealth.Report{Requests: 1, Failures: 1}},
		{"not answered, and answered late", func(f *fixture) {
			f.advance(400 * time.Millisecond)
			f.Tick(f.now)
			f.answer(1)
		}, hosthealth.Report{Requests: 1, Failures: 1}},
		{"its process ends", func(f *fixture) { f.advance(minQuietTime); f.HandleHostAbsent(f.now) }, hosthealth.Report{Requests: 1, Failures: 1}},
		{"ended by the caller", func(f *fixture) {
			f.receiveFromBalancer(fromPort(1, callerSegment(packet.RST, 401, 5001, 0)))
			f.advance(time.Second)
			f.Tick(f.now)
		}, hosthealth.Report{}},
		{"request still arrives", func(f *fixture) {
			f.advance(300 * time.Millisecond)
			f.receiveFromBalancer(fromPort(1, callerSegment(packet.ACK, 401, 5001, 300)))
			f.advance(200 * time.Millisecond)
			f.Tick(f.now)
		}, hosthealth.Report{}},
		{"more than the host takes, rejected at once", func(f *fixture) {
			f.request(2)
			f.request(3)
			f.advance(time.Millisecond)
			f.answer(3)
		}, hosthealth.Report{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newHealthFixture(t, 3)
			f.request(1)
			c.play(f)
			health := f.Load(f.now).Health
			health.Latency = 0
			f.is.Equal(health, c.want)
			f.is.True(f.Load(f.now).Latency != time.Millisecond) // a quick answer is no measurement
			f.judgeHosts = false
			f.is.Equal(f.Load(f.now).Health, hosthealth.Report{})
		})
	}
}

// Guards against new flows for a host that hangs, and against a host that gets none after it answers again.
func TestHostThatHangs(t *testing.T) {
	f := newHealthFixture(t, 3)
	for port := uint16(1); port <= 3; port++ {
		f.request(port)
	}
	f.advance(400 * time.Millisecond)
	f.is.True(f.Tick(f.now))
	f.is.Equal(f.State(f.now), packet.HostUnresponsive)
	f.assertDelivered(f.receiveFromBalancer(fromPort(9, callerSegment(packet.SYN, 900, 0, 0))))                      // a trial
	f.assertReturned(f.receiveFromBalancer(fromPort(10, callerSegment(packet.SYN, 900, 0, 0))), packet.ReturnNoHost) // not a second one
	f.answer(1)
	f.is.Equal(f.State(f.now), packet.HostReady)

	f = newHealthFixture(t, 3)
	for port := uint16(1); port <= 3; port++ {
		f.request(port)
		f.HandleFromHost(f.now, toPort(port, hostSegment(packet.RST, 5001, 0)))
	}
	f.is.Equal(f.State(f.now), packet.HostUnresponsive)
	for range takeoverHeartbeats {
		f.advance(heartbeatInterval)
		f.sendHeartbeat(func(h *Heartbeat) { h.Start.ID = "i-2" })
	}
	f.is.Equal(f.State(f.now), packet.HostReady) // the next start has failed nothing
}
