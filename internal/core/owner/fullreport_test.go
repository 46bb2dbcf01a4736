package owner

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
)

// Guards against established flows that are lost when their agent restarts. A tick during
// the scan for a full report marked the report as complete, so the restarted agent ended
// its recovery and treated the later entries as stale (soak test, seed 37). A part that a
// tick takes may also be sent after the end (seed 10), so one call must send the whole
// report.
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
		o.HandlePacket(startTime, headerFor(1), tcpPacket(port, 1, true), nil)
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
					record(o.HandleEvent(startTime, Tick{}, nil))
				}
			}
		})
		time.Sleep(time.Millisecond)
		record(o.HandleEvent(startTime, PeerConnected{Peer: peer}, nil))
		close(done)
		ticks.Wait()
		record(o.HandleEvent(startTime, Tick{}, nil))
		is.True(complete != 0)
		is.Equal(complete, last) // no entry comes after the end of the full report
		is.Equal(senders, 1)     // nothing is sent by another goroutine before the end
		o.HandleEvent(startTime, PeerDisconnected{Peer: peer}, nil)
	}
}
