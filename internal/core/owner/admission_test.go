package owner

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// headerFor returns the header of a packet whose path has a host as its only hop.
func headerFor(host int) *flow.Header {
	h := &flow.Header{ServiceID: 1, Version: 1, PathLen: 1, ReturnAddress: hostAddress(200)}
	h.Path[0] = flow.Hop{Address: hostAddress(host), RoleVersion: 1}
	return h
}

// Guards against more requests in progress than slots, and against queued requests that
// run after their deadline.
func TestQueueRespectsSlotsAndDeadline(t *testing.T) {
	is := is.New(t)
	service := &controlpb.Service{Id: 1, Idempotent: true, QueueDeadlineMs: 100}
	o := newTestOwner(t, Config{Self: hostAddress(1), Slots: 1, RepliesReported: true}, testSpec(service, 1, []int{1}))
	firstEffect[*Deliver](t, o.HandlePacket(startTime, headerFor(1), tcpPacket(1, 1, true), nil))
	is.Equal(len(o.HandlePacket(startTime, headerFor(1), tcpPacket(2, 1, true), nil)), 0)
	is.Equal(len(o.HandlePacket(startTime, headerFor(1), tcpPacket(3, 1, true), nil)), 0)
	is.Equal(o.Load(startTime).GetQueued(), uint32(2))

	first := tcpPacket(1, 1, true).Key
	next := firstEffect[*Deliver](t, o.HandleEvent(startTime, ReplySeen{Key: first}, nil))
	is.Equal(next.Key, tcpPacket(2, 1, true).Key)

	afterDeadline := startTime.Add(101 * time.Millisecond)
	is.Equal(firstEffect[*Refuse](t, o.HandleEvent(afterDeadline, Tick{}, nil)).Reason, flow.ReasonFull)
	firstEffect[*Refuse](t, o.HandlePacket(afterDeadline, headerFor(1), tcpPacket(3, 1, true), nil)) // a late copy
	is.Equal(o.Load(afterDeadline).GetBusy(), uint32(1))
}

// Guards against new work on a draining agent: flows in its queue must go to another host,
// while the flows that it owns go on.
func TestDrainingAgentOffersQueuedFlows(t *testing.T) {
	is := is.New(t)
	service := &controlpb.Service{Id: 1, Idempotent: true, QueueDeadlineMs: 100}
	o := newTestOwner(t, Config{Self: hostAddress(1), Slots: 1, RepliesReported: true}, testSpec(service, 1, []int{1, 2}))
	o.HandleEvent(startTime, PeerConnected{Peer: hostAddress(2)}, nil)
	firstEffect[*Deliver](t, o.HandlePacket(startTime, headerFor(1), tcpPacket(1, 1, true), nil))
	offer := firstEffect[*Forward](t, o.HandlePacket(startTime, headerFor(1), tcpPacket(2, 1, true), nil))
	is.Equal(offer.Header.Stage, flow.StageOffer)
	header := headerFor(1)
	header.Stage = flow.StageFinal
	is.Equal(len(o.HandlePacket(startTime, header, tcpPacket(2, 1, true), nil)), 0) // queued

	offer = firstEffect[*Forward](t, o.HandleEvent(startTime, DrainChanged{Drain: true}, nil))
	is.Equal(offer.To, hostAddress(2))
	is.Equal(offer.Header.OfferLoad, uint32(drainingLoad))
	firstEffect[*Deliver](t, o.HandlePacket(startTime, headerFor(1), tcpPacket(1, 2, false), nil)) // still delivered
}

// Guards against non-idempotent work that runs before all witnesses have confirmed it, and
// against flows that wait longer than witnessTimeout for their witnesses.
func TestWitnessesConfirmBeforeDelivery(t *testing.T) {
	is := is.New(t)
	service := &controlpb.Service{Id: 1}
	o := newTestOwner(t, Config{Self: hostAddress(1)}, testSpec(service, 1, []int{1, 2, 3}))
	for _, peer := range []int{2, 3} {
		o.HandleEvent(startTime, PeerConnected{Peer: hostAddress(peer)}, nil)
	}
	requests := o.HandlePacket(startTime, headerFor(1), tcpPacket(1, 1, true), nil)
	is.Equal(len(requests), 2)
	for i, effect := range requests {
		report := effect.(*Report)
		is.Equal(report.Report.GetVersion(), uint64(0))
		effects := o.HandleEvent(startTime, ReportAcked{Peer: report.To, Sequence: report.Report.GetSequence()}, nil)
		delivered := false
		for _, e := range effects {
			_, ok := e.(*Deliver)
			delivered = delivered || ok
		}
		is.Equal(delivered, i == 1)
	}

	afterRecovery := startTime.Add(recoveryTimeout)
	o.HandlePacket(afterRecovery, headerFor(1), tcpPacket(2, 1, true), nil)
	deadline := afterRecovery.Add(witnessTimeout)
	is.Equal(firstEffect[*Refuse](t, tickUntil(o, startTime, deadline)).Reason, flow.ReasonNoWitness)
}

// Guards against flows that are refused because the agent of a witness restarts: a flow
// must wait for a witness whose stream is new, and an unreachable witness is replaced.
func TestFlowWaitsForRestartingWitness(t *testing.T) {
	is := is.New(t)
	o := newTestOwner(t, Config{Self: hostAddress(1)}, testSpec(&controlpb.Service{Id: 1}, 1, []int{1, 2, 3}))
	for _, peer := range []int{2, 3} {
		o.HandleEvent(startTime, PeerConnected{Peer: hostAddress(peer)}, nil)
	}
	lastTick := startTime
	refused := func(at time.Time) (refused bool) {
		effects := tickUntil(o, lastTick, at)
		lastTick = at
		for _, e := range effects {
			_, ok := e.(*Refuse)
			refused = refused || ok
		}
		return refused
	}
	o.HandlePacket(startTime, headerFor(1), tcpPacket(1, 1, true), nil)
	is.True(!refused(startTime.Add(witnessTimeout)))
	is.True(refused(startTime.Add(recoveryTimeout + witnessTimeout)))

	afterRecovery := startTime.Add(2 * recoveryTimeout)
	o.HandleEvent(afterRecovery, PeerDisconnected{Peer: hostAddress(3)}, nil)
	for _, e := range o.HandlePacket(afterRecovery, headerFor(1), tcpPacket(2, 1, true), nil) {
		if report, ok := e.(*Report); ok {
			o.HandleEvent(afterRecovery, ReportAcked{Peer: report.To, Sequence: report.Report.GetSequence()}, nil)
		}
	}
	is.True(!refused(afterRecovery.Add(witnessTimeout)))
	afterGrace := afterRecovery.Add(reconnectGrace + witnessTimeout)
	is.True(!refused(afterGrace.Add(-TickInterval)))
	request := firstEffect[*Report](t, o.HandleEvent(afterGrace, Tick{}, nil))
	is.Equal(request.To, hostAddress(2))
	firstEffect[*Deliver](t, o.HandleEvent(afterGrace,
		ReportAcked{Peer: request.To, Sequence: request.Report.GetSequence()}, nil))
}

// Guards against a flow map that grows beyond MaxFlows under a flood of first packets.
func TestFlowMapIsBounded(t *testing.T) {
	is := is.New(t)
	service := &controlpb.Service{Id: 1, Idempotent: true}
	o := newTestOwner(t, Config{Self: hostAddress(1), MaxFlows: 1000, Connections: 100_000},
		testSpec(service, 1, []int{1}))
	for port := range uint16(20_000) {
		o.HandlePacket(startTime, headerFor(1), tcpPacket(port, 1, true), nil)
	}
	entries := 0
	for i := range o.flows.shards {
		entries += o.flows.shards[i].count
	}
	is.True(entries <= 1000+shardCount)
	is.Equal(int(o.Load(startTime).GetOpenFlows()), entries)
}

// Guards against data races and deadlocks between concurrent packets and events. Run it
// with the race detector.
func TestConcurrentPacketsAndEvents(t *testing.T) {
	service := &controlpb.Service{Id: 1, QueueDeadlineMs: 50}
	o := newTestOwner(t, Config{Self: hostAddress(1), Slots: 4, RepliesReported: true}, testSpec(service, 1, []int{1, 2}))
	o.HandleEvent(startTime, PeerConnected{Peer: hostAddress(2)}, nil)
	var workers sync.WaitGroup
	for worker := range 4 {
		workers.Go(func() {
			for i := range 2000 {
				now := startTime.Add(time.Duration(i) * time.Millisecond)
				p := tcpPacket(uint16(i%300), byte(i%5), i%3 == 0)
				for _, e := range o.HandlePacket(now, headerFor(1), p, nil) {
					if bind, ok := e.(*BindFlow); ok {
						for _, r := range reportsOf(o.HandleEvent(now, PortBound{Key: bind.Key, Port: 1}, nil)) {
							o.HandleEvent(now, ReportAcked{Peer: r.To, Sequence: r.Report.GetSequence()}, nil)
						}
					}
				}
				o.HandleEvent(now, ReplySeen{Key: p.Key}, nil)
				if i%50 == worker {
					o.HandleEvent(now, Tick{}, nil)
					o.HandleEvent(now, DrainChanged{Drain: i%100 == worker}, nil)
					o.HandleEvent(now, SpecReceived{Spec: testSpec(service, uint64(2+i/50), []int{1, 2})}, nil)
				}
			}
		})
	}
	workers.Wait()
	if busy := o.Load(startTime.Add(3 * time.Second)).GetBusy(); busy > 4 {
		t.Errorf("%d slots are busy, want at most 4", busy)
	}
}
