package relay

import (
	"fmt"
	"testing"
	"time"

	"agateramp/internal/segment/packet"
)

// beat is a heartbeat and the time since the one before it.
type beat struct {
	wait     time.Duration
	start    StartID
	sequence int64
	state    packet.HostState
	want     Verdict
}

// Guards against a start of the host that is put in force or ignored because of the time of day, against late heartbeats of
// an earlier start that make a host take flows while it drains, and against flows that heartbeats reset. The host of each
// case is ready, with the last heartbeat 1 of start i-1, 5000; it holds a flow.
func TestStarts(t *testing.T) {
	const ready, draining, turn = packet.HostReady, packet.HostDraining, heartbeatInterval
	first, earlier, later, sameID := StartID{"i-1", 5000}, StartID{"i-2", 1000}, StartID{"i-2", 9000}, StartID{"i-1", 1000}
	cases := []struct {
		name  string
		beats []beat
		host  string
		state packet.HostState
	}{
		{"the clock went forward between the starts", []beat{
			{turn, later, 1, ready, VerdictUnconfirmed}, {turn, later, 2, ready, VerdictNewHost}, {turn, later, 3, ready, VerdictAccepted},
		}, "i-2", ready},
		{"the clock went back between the starts", []beat{
			{turn, earlier, 1, ready, VerdictUnconfirmed}, {turn, earlier, 2, ready, VerdictNewHost}, {turn, earlier, 3, ready, VerdictAccepted},
		}, "i-2", ready},
		{"the clock went back, same id", []beat{
			{turn, sameID, 1, ready, VerdictUnconfirmed}, {turn, sameID, 2, ready, VerdictNewHost}, {turn, first, 2, ready, VerdictUnconfirmed},
		}, "i-1", ready},
		{"late heartbeats of the earlier start", []beat{
			{turn, later, 1, ready, VerdictUnconfirmed},
			{turn / 2, first, 2, ready, VerdictAccepted},
			{turn / 2, later, 2, ready, VerdictUnconfirmed},
			{turn, later, 3, ready, VerdictNewHost},
			{turn / 2, first, 2, ready, VerdictLate},
			{0, first, 3, ready, VerdictUnconfirmed},
			{turn / 2, later, 4, ready, VerdictAccepted},
			{turn / 2, first, 4, ready, VerdictUnconfirmed},
		}, "i-2", ready},
		{"both starts in turn", []beat{
			{turn / 2, later, 1, ready, VerdictUnconfirmed},
			{turn / 2, first, 2, ready, VerdictAccepted},
			{turn / 2, later, 2, draining, VerdictUnconfirmed},
			{turn / 2, first, 3, ready, VerdictAccepted},
		}, "i-1", draining},
		{"heartbeats that waited come together", []beat{
			{turn, later, 1, ready, VerdictUnconfirmed}, {0, later, 2, ready, VerdictUnconfirmed}, {0, later, 3, ready, VerdictUnconfirmed},
		}, "i-1", ready},
		{"late heartbeats while the host drains", []beat{
			{turn, first, 2, draining, VerdictAccepted},
			{turn, later, 7, ready, VerdictUnconfirmed},
			{turn / 2, later, 8, ready, VerdictUnconfirmed},
			{turn / 2, first, 3, draining, VerdictAccepted},
			{turn / 2, later, 9, ready, VerdictUnconfirmed},
		}, "i-1", draining},
		{"a late heartbeat of the current start before its drain", []beat{
			{turn, first, 5, draining, VerdictAccepted}, {0, first, 4, ready, VerdictLate},
		}, "i-1", draining},
		{"a new start after a drain without a notice", []beat{
			{turn, first, 2, draining, VerdictAccepted},
			{turn, earlier, 1, ready, VerdictUnconfirmed},
			{turn, earlier, 2, ready, VerdictUnconfirmed},
			{turn, earlier, 3, ready, VerdictNewHost},
		}, "i-2", ready},
		{"a new start that drains at once", []beat{{turn, later, 1, draining, VerdictUnconfirmed}}, "i-1", draining},
		{"a start that was replaced wrongly", []beat{
			{turn, later, 1, ready, VerdictUnconfirmed},
			{turn, later, 2, ready, VerdictNewHost},
			{turn, first, 2, ready, VerdictUnconfirmed},
			{turn, first, 3, ready, VerdictNewHost},
		}, "i-1", ready},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newRestarted(t)
			f.is.Equal(f.sendHeartbeat(func(h *Heartbeat) { h.Start, h.Sequence = first, 1 }), VerdictNewHost)
			f.openFlow()
			for i, b := range c.beats {
				t.Log("heartbeat", i, b)
				f.advance(b.wait)
				f.is.Equal(f.HandleHeartbeat(f.now, Heartbeat{Start: b.start, Sequence: b.sequence, State: b.state, Slots: 2}), b.want)
				for _, d := range f.Verify() {
					_, asked := d.(Redeliver)
					f.is.True(asked)
				}
			}
			f.is.Equal(f.HostID(), c.host)
			f.is.Equal(f.State(f.now), c.state)
			f.is.Equal(f.Locate(balancer, hostSegment(0, 0, 0).KeyFromHost(), 5001), HoldingYes)
		})
	}
}

// Guards against a late heartbeat of a start that has ended, which puts that start in force again, and against a new start
// under the same id and time that is ignored.
func TestHeartbeatsAfterEnd(t *testing.T) {
	ended := map[string]func(f *fixture){
		"absent": func(f *fixture) { f.HandleHostAbsent(f.now) },
		"absent again": func(f *fixture) {
			f.HandleHostAbsent(f.now)
			f.recordHostPacket(f.now)
			f.advance(time.Second)
			f.HandleHostAbsent(f.now)
		},
	}
	for name, end := range ended {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, true)
			f.advance(time.Second)
			end(f)
			f.is.Equal(f.sendHeartbeat(nil), VerdictUnconfirmed) // a late one
			f.is.Equal(f.State(f.now), packet.HostGone)
			f.is.Equal(f.sendHeartbeat(func(h *Heartbeat) { h.Start, h.Sequence = StartID{"i-2", 1}, 1 }), VerdictNewHost)

			f = newFixture(t, true)
			f.advance(time.Second)
			end(f)
			f.is.Equal(f.sendHeartbeat(func(h *Heartbeat) { h.Sequence = 0 }), VerdictUnconfirmed)
			f.advance(heartbeatInterval)
			f.is.Equal(f.sendHeartbeat(nil), VerdictNewHost)
		})
	}
}

// Guards against a notice of an earlier start that ends the current one, and against a notice of a start that is not in
// force yet and is ignored.
func TestDeregister(t *testing.T) {
	f := newFixture(t, true)
	f.is.True(!f.HandleDeregister(f.now, "i-0"))
	f.is.Equal(f.State(f.now), packet.HostReady)
	f.is.True(f.HandleDeregister(f.now, "i-1"))
	f.is.Equal(f.State(f.now), packet.HostDraining)
	f.is.Equal(f.sendHeartbeat(nil), VerdictAccepted)
	f.is.Equal(f.State(f.now), packet.HostReady)

	f.HandleHeartbeat(f.now, Heartbeat{Start: StartID{"i-2", 1}, Sequence: 1, State: packet.HostReady, ColdRemaining: time.Second})
	f.is.Equal(f.ColdRemaining(f.now), time.Second) // the longer time counts
	f.is.True(f.HandleDeregister(f.now, "i-2"))
	f.is.Equal(f.State(f.now), packet.HostDraining)
	f.advance(maxMissedHeartbeats * heartbeatInterval)
	f.sendHeartbeat(nil)
	f.advance(time.Millisecond)
	f.is.Equal(f.State(f.now), packet.HostReady)
}

// Guards against records of starts without a bound.
func TestManyStarts(t *testing.T) {
	f := newFixture(t, true)
	for i := range 100 {
		f.HandleHeartbeat(f.now, Heartbeat{Start: StartID{fmt.Sprint("x-", i), 1}, Sequence: 1, State: packet.HostReady})
	}
	f.is.Equal(len(f.host.others), maxOtherStarts)
	f.is.Equal(f.HostID(), "i-1")
}
