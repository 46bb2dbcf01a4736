package owner

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
)

// Guards against established flows that are lost when their agent restarts: a tick
// during the scan for a full report marked the report as complete, so that the
// restarted agent ended its recovery and called the later entries stale (soak, seed
// 37). A part that a tick takes may be sent after the end as well (seed 10), so that
// the report has to leave at once.
func TestLastReportMarksFullReportComplete(t *testing.T) {
	const (
		flows  = 20_000
		rounds = 10
	)
	is := is.New(t)
	peer := hostAddress(2)
	service := &controlpb.Service{Id: 1, Idempotent: true, FirstPacket: controlpb.FirstPacket_FIRST_PACKET_SYN}
	o := newTestOwner(t, Config{Self: hostAddress(1), Connections: flows}, testSpec(service, 1, []int{1, 2}))
	for port := range uint16(flows) {
		o.HandlePacket(epoch, headerFor(1), tcpPacket(port, 1, true), nil)
	}
	for range rounds {
		var mu sync.Mutex
		var last, complete uint64
		var senders int
		record := func(effects []Effect) {
			mu.Lock()
			defer mu.Unlock()
			reports := reportsOf(effects)
			if len(reports) > 0 {
				senders++
			}
			for _, r := range reports {
				last = max(last, r.Report.GetSequence())
				if r.Report.GetComplete() {
					complete = r.Report.GetSequence()
				}
			}
		}
		done := make(chan struct{})
		var ticks sync.WaitGroup
		ticks.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					record(o.HandleEvent(epoch, Tick{}, nil))
				}
			}
		})
		time.Sleep(time.Millisecond)
		record(o.HandleEvent(epoch, PeerConnected{Peer: peer}, nil))
		close(done)
		ticks.Wait()
		record(o.HandleEvent(epoch, Tick{}, nil))
		is.True(complete != 0)
		is.Equal(complete, last) // no entry comes after the end of the full report
		is.Equal(senders, 1)     // nothing is sent by another goroutine before the end
		o.HandleEvent(epoch, PeerDisconnected{Peer: peer}, nil)
	}
}
