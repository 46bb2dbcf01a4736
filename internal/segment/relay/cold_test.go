package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/segment/coldstart"
	"agateramp/internal/segment/packet"
)

const (
	// coldRate and coldBounds allow coldLimit new flows in a window.
	coldRate  = 10
	coldLimit = 20
	coldSlack = 5
	// manyFlows are more than any limit in these tests.
	manyFlows = 100
)

var coldBounds = coldstart.Bounds{Excess: 1.5, Slack: coldSlack}

// coldFixture is a fixture whose host has many slots, is cold for two seconds, and is limited.
type coldFixture struct {
	*fixture
	nextPort uint16
}

// newColdFixture returns a coldFixture whose host is cold for the given time. If startSeen is not set, the agent has
// started beside a host that was running.
func newColdFixture(t *testing.T, coldRemaining time.Duration, startSeen bool) *coldFixture {
	t.Helper()
	is := is.New(t)
	r, err := New(Config{Service: "studio", HeartbeatInterval: heartbeatInterval, ColdBounds: &coldBounds, StartedAt: start.Add(-minQuietTime)})
	is.NoErr(err)
	if startSeen {
		r.HandleHostAbsent(start)
	}
	hb := Heartbeat{Start: StartID{"i-1", 1000}, State: packet.HostReady, Slots: 10 * manyFlows, ColdRemaining: coldRemaining}
	f := &coldFixture{fixture: &fixture{Relay: r, is: is, now: start, lastHeartbeat: hb}, nextPort: 1000}
	f.HandleHeartbeat(f.now, hb)
	return f
}

// admitted offers the first packets of manyFlows new flows and returns how many were delivered.
func (f *coldFixture) admitted() (count int) {
	for range manyFlows {
		f.nextPort++
		s := callerSegment(packet.SYN, 100, 0, 0)
		s.Source = netip.AddrPortFrom(caller.Addr(), f.nextPort)
		decisions := f.receiveFromBalancer(s)
		if _, ok := decisions[0].(Deliver); ok {
			count++
			continue
		}
		f.assertReturned(decisions, packet.ReturnCold)
	}
	return count
}

// Guards against a cold host that gets more new flows than it bears, before its first heartbeat or after a restart of the
// agent too, and against a warm host that gets fewer than it may.
func TestColdHost(t *testing.T) {
	const cold, warm = 2 * time.Second, 0
	cases := []struct {
		name string
		// first is the time in the first heartbeat, and restarted is set if the agent has started beside a running host.
		first     time.Duration
		restarted bool
		// change is applied after the first heartbeat and the figure of the configuration.
		change func(f *coldFixture)
		want   int
	}{
		{"cold", cold, false, func(*coldFixture) {}, coldLimit},
		{"within the same window", cold, false, func(f *coldFixture) {
			f.admitted()
			f.advance(time.Second)
		}, 0},
		{"after a window", cold, false, func(f *coldFixture) {
			f.admitted()
			f.advance(coldstart.Window + 1)
		}, coldLimit},
		{"just after the end", cold, false, func(f *coldFixture) { f.advance(2*time.Second + coldstart.Window - 1) }, coldLimit},
		{"after the end", cold, false, func(f *coldFixture) { f.advance(2*time.Second + coldstart.Window) }, manyFlows},
		{"late heartbeat", cold, false, func(f *coldFixture) {
			f.sendHeartbeat(nil)
			f.HandleHeartbeat(f.now, Heartbeat{Start: StartID{"i-1", 1000}, State: packet.HostReady, Slots: 10 * manyFlows})
		}, coldLimit},
		{"no limit stated", cold, false, func(f *coldFixture) { f.SetColdRate(0, 2) }, manyFlows},
		{"warm", warm, false, func(*coldFixture) {}, manyFlows},
		{"new start after an absence", warm, false, func(f *coldFixture) {
			f.advance(minQuietTime)
			f.HandleHostAbsent(f.now)
			f.HandleHeartbeat(f.now, Heartbeat{Start: StartID{"i-2", 2000}, State: packet.HostReady, Slots: 10 * manyFlows, ColdRemaining: time.Second})
		}, coldLimit},
		{"another start that is not confirmed", warm, false, func(f *coldFixture) {
			f.HandleHeartbeat(f.now, Heartbeat{Start: StartID{"i-2", 2000}, State: packet.HostReady, Slots: 10 * manyFlows, ColdRemaining: time.Second})
		}, coldLimit},
		{"lost a flow", warm, false, func(f *coldFixture) {
			f.openFlow()
			s := callerSegment(packet.ACK, 400, 6001, 10)
			s.Flags |= packet.Bounced
			f.HandleFromHost(f.now, s)
		}, coldLimit},
		{"evacuation ended", warm, false, func(f *coldFixture) {
			f.SetEvacuated(true)
			f.SetEvacuated(false)
		}, coldLimit},
		{"evacuation ended, then a heartbeat", warm, false, func(f *coldFixture) {
			f.SetEvacuated(true)
			f.SetEvacuated(false)
			f.sendHeartbeat(nil)
		}, manyFlows},
		{"agent has just restarted", cold, true, func(*coldFixture) {}, 0},
		{"agent has restarted", cold, true, func(f *coldFixture) { f.advance(coldstart.Window) }, coldLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newColdFixture(t, c.first, !c.restarted)
			f.SetColdRate(coldRate, 1)
			c.change(f)
			before := f.Load(f.now)
			f.is.Equal(f.admitted(), c.want)
			f.is.Equal(before.Cold, c.want < manyFlows)
			if before.Cold {
				f.is.Equal(before.ColdRoom, c.want)
				f.is.Equal(f.Load(f.now).ColdRoom, 0)
			}
		})
	}
	f := newColdFixture(t, 2*time.Second, true)
	f.is.Equal(f.admitted(), coldSlack) // the figure is not known yet
}

// Guards against a copy of a first packet that is returned although its host has the flow, and against one that is
// delivered beyond the limit when its flow no longer counts.
func TestCopiesAtColdHost(t *testing.T) {
	f := newColdFixture(t, 2*time.Second, true)
	f.SetColdRate(coldRate, 1)
	first := callerSegment(packet.SYN, 100, 0, 0)
	f.assertDelivered(f.receiveFromBalancer(first))
	f.HandleFromHost(f.now, hostSegment(packet.SYN|packet.ACK, 5000, 0))
	f.is.Equal(f.admitted(), coldLimit-1)
	f.advance(200 * time.Millisecond)
	f.assertDelivered(f.receiveFromBalancer(first))
	f.advance(coldstart.Window - 200*time.Millisecond + 1)
	f.is.Equal(f.admitted(), coldLimit-1) // the copy still counts
	f.advance(300 * time.Millisecond)
	f.HandleFromHost(f.now, hostSegment(packet.ACK, 5001, 0)) // the host answers
	f.is.Equal(f.admitted(), 1)
	f.assertReturned(f.receiveFromBalancer(first), packet.ReturnCold)
}
