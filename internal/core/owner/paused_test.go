package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// tickUntil sends the ticks from one time to another, and returns all effects.
func tickUntil(o *Owner, from, to time.Time) (effects []Effect) {
	for now := from; !now.After(to); now = now.Add(TickInterval) {
		effects = append(effects, o.HandleEvent(now, Tick{}, nil)...)
	}
	return effects
}

// Guards against refusals of work that another host ran: after a pause, an agent refused
// its waiting flows, which other hosts had accepted meanwhile (soak test, seeds 10 and 46).
func TestResumedAgentRefusesNothing(t *testing.T) {
	for _, test := range []struct {
		name    string
		service *controlpb.Service
		slots   int
	}{
		{"waits for a slot", &controlpb.Service{Id: 1, Idempotent: true, QueueDeadlineMs: 100}, 1},
		{"waits for a witness", &controlpb.Service{Id: 1}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			o := newTestOwner(t, Config{Self: hostAddress(1), Slots: test.slots, RepliesReported: true},
				testSpec(test.service, 1, []int{1, 2}))
			o.HandleEvent(startTime.Add(-recoveryTimeout), PeerConnected{Peer: hostAddress(2)}, nil)
			for port := range uint16(2) {
				header := headerFor(1)
				header.Stage = flow.StageFinal
				p := tcpPacket(port, 1, true)
				o.HandlePacket(startTime, header, p, nil)
				o.HandleEvent(startTime, PortBound{Key: p.Key, Port: 40_000 + port}, nil)
			}
			busy := o.Load(startTime).GetBusy()
			resumed := startTime.Add(3 * time.Second)
			withdrawn := 0
			for _, effect := range o.HandleEvent(resumed, Tick{}, nil) {
				switch e := effect.(type) {
				case *Refuse:
					t.Errorf("refused %v: %s", e.Key, e.Reason)
				case *Report:
					for _, m := range e.Report.GetEntries() {
						if m.GetEnded() && len(m.GetFirstPackets()) == 0 {
							withdrawn++
						}
					}
				}
			}
			is.Equal(o.Load(resumed).GetQueued(), uint32(0))
			if !test.service.GetIdempotent() {
				is.Equal(busy, uint32(2))
				// Otherwise the witness treats copies as work that may have run.
				is.Equal(withdrawn, 2)
				is.Equal(o.Load(resumed).GetBusy(), uint32(0)) // no slot is lost
			}
		})
	}
}
