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

// newColdFixture returns a coldFixture. change, if it is not nil, changes the first heartbeat.
func newColdFixture(t *testing.T, change func(h *Heartbeat)) *coldFixture {
	t.Helper()
	is := is.New(t)
	r, err := New(Config{Service: "studio", HeartbeatInterval: heartbeatInterval, ColdBounds: &coldBounds, StartedAt: start.Add(-100 * time.Millisecond)})
	is.NoErr(err)
	hb := Heartbeat{ID: "i-1", StartMS: 1000, State: packet.HostReady, Slots: 10 * manyFlows, ColdRemaining: 2 * time.Second}
	if change != nil {
		change(&hb)
	}
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
	warm := func(h *Heartbeat) { h.ColdRemaining = 0 }
	cases := []struct {
		name  string
		first func(h *Heartbeat)
		// change is applied after the first heartbeat and the figure of the configuration.
		change func(f *coldFixture)
		want   int
	}{
		{"cold", nil, func(*coldFixture) {}, coldLimit},
		{"within the same window", nil, func(f *coldFixture) {
			f.admitted()
			f.advance(time.Second)
		}, 0},
		{"after a window", nil, func(f *coldFixture) {
			f.admitted()
			f.advance(coldstart.Window + 1)
		}, coldLimit},
		{"just after the end", nil, func(f *coldFixture) { f.advance(2*time.Second + coldstart.Window - 1) }, coldLimit},
		{"after the end", nil, func(f *coldFixture) { f.advance(2*time.Second + coldstart.Window) }, manyFlows},
		{"late heartbeat", nil, func(f *coldFixture) {
			f.sendHeartbeat(nil)
			f.HandleHeartbeat(f.now, Heartbeat{ID: "i-1", StartMS: 1000, State: packet.HostReady, Slots: 10 * manyFlows})
		}, coldLimit},
		{"no limit stated", nil, func(f *coldFixture) { f.SetColdRate(0, 2) }, manyFlows},
		{"warm", warm, func(*coldFixture) {}, manyFlows},
		{"new start before its heartbeat", warm, func(f *coldFixture) {
			f.advance(minQuietTime)
			f.HandleHostAbsent(f.now)
			f.HandleFromHost(f.now, hostSegment(packet.SYN|packet.ACK, 1, 0))
		}, coldLimit},
		{"lost a flow", warm, func(f *coldFixture) {
			f.openFlow()
			s := callerSegment(packet.ACK, 400, 6001, 10)
			s.Flags |= packet.Bounced
			f.HandleFromHost(f.now, s)
		}, coldLimit},
		{"evacuation ended", warm, func(f *coldFixture) {
			f.SetEvacuated(true)
			f.SetEvacuated(false)
		}, coldLimit},
		{"evacuation ended, then a heartbeat", warm, func(f *coldFixture) {
			f.SetEvacuated(true)
			f.SetEvacuated(false)
			f.sendHeartbeat(nil)
		}, manyFlows},
		{"agent has just restarted", func(h *Heartbeat) { h.Age = time.Minute }, func(*coldFixture) {}, 0},
		{"agent has restarted", func(h *Heartbeat) { h.Age = time.Minute }, func(f *coldFixture) { f.advance(coldstart.Window) }, coldLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newColdFixture(t, c.first)
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
	f := newColdFixture(t, nil)
	f.is.Equal(f.admitted(), coldSlack) // the figure is not known yet
}

// Guards against a copy of a first packet that is returned although its host has the flow, and against one that is
// delivered beyond the limit when its flow no longer counts.
func TestCopiesAtColdHost(t *testing.T) {
	f := newColdFixture(t, nil)
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
