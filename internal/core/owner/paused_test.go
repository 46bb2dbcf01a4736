package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// tickUntil lets time pass as the adapter does.
func tickUntil(o *Owner, from, to time.Time) (effects []Effect) {
	for now := from; !now.After(to); now = now.Add(TickInterval) {
		effects = append(effects, o.HandleEvent(now, Tick{}, nil)...)
	}
	return effects
}

// Guards against a refusal that says that work was not run although another host ran
// it: an agent that was paused refused the flows that it had kept, whose callers had
// meanwhile been served elsewhere (soak, seeds 10 and 46).
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
			o := newTestOwner(t, Config{Self: hostAddress(1), Slots: test.slots, RepliesReported: true}, testSpec(test.service, 1, []int{1, 2}))
			o.HandleEvent(epoch.Add(-recoveryTimeout), PeerConnected{Peer: hostAddress(2)}, nil)
			for port := range uint16(2) {
				final := headerFor(1)
				final.Stage = flow.StageFinal
				p := tcpPacket(port, 1, true)
				o.HandlePacket(epoch, final, p, nil)
				o.HandleEvent(epoch, PortBound{Key: p.Key, Port: 40_000 + port}, nil)
			}
			busy := o.Load(epoch).GetBusy()
			resumed := epoch.Add(3 * time.Second)
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
				// Else the witness has copies answered as work that may have run.
				is.Equal(withdrawn, 2)
				is.Equal(o.Load(resumed).GetBusy(), uint32(0)) // no slot is lost
			}
		})
	}
}
