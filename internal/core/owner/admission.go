package owner

import (
	"bytes"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
	"agateramp/internal/core/table"
)

const (
	// maxQueued bounds the first packets that wait for a slot or a witness.
	maxQueued = 4096
	// maxParked bounds the first packets that wait for the end of recovery.
	maxHeld = 1024
	// thousand scales loads and shares.
	permille = 1000
	// drainingLoad is the load that a draining agent offers flows with.
	drainingLoad = math.MaxUint32
)

// waiting is a first packet that is kept.
type waitingPacket struct {
	header flow.Header
	packet flow.Packet
	digest  uint32
	// deadline is in nanoseconds since 1970.
	deadline int64
	// known is what witnesses are told of earlier flows on the key.
	digests digests
	// port is the local port that witnesses are told of, or 0 if the flow needs none.
	localPort uint16
	// binding is set until the local port is known; no witness is asked before that.
	awaitsPort bool
	// witnesses were asked to confirm, and asked holds those that have not yet.
	witnesses []netip.AddrPort
	unconfirmed     []witnessRequest
}

// ask is a report that a witness must confirm. The sequence is 0 while there is
// no stream to the witness.
type witnessRequest struct {
	witness  netip.AddrPort
	sequence uint64
	// contradicted is set when the witness said that another host has the flow.
	contradicted bool
}

// keep returns a copy of a packet and its header that outlives the call.
func newWaitingPacket(h *flow.Header, p *flow.Packet, digest uint32, deadline int64) *waitingPacket {
	w := &waitingPacket{header: *h, packet: *p, digest: digest, deadline: deadline}
	w.packet.Data = bytes.Clone(p.Data)
	w.packet.Payload = bytes.Clone(p.Payload)
	return w
}

// admission counts the slots and connections of the backend server and holds the
// packets that wait. Its mutex is taken inside that of a shard, never around it.
type admission struct {
	mu          sync.Mutex
	slots       int
	connections int
	limitsBySlots bool
	// draining is set when an operator ordered it, the table excludes the host, or
	// the agent is about to stop.
	draining, drainOrdered, excluded, stopping bool

	// weight is the effective weight in thousandths, 0 while no table lists the host.
	weight uint32

	busySlots, openFlows int
	queue      []*waitingPacket
	pending    []*waitingPacket
	held     []*waitingPacket
	// deferred holds requests to witness that wait for the end of recovery.
	deferredReports []ReportReceived

	// area is busy capacity integrated over nanoseconds since reported.
	loadIntegral     float64
	integratedUntil  int64
	periodStart int64
}

// advance integrates the load up to now; it precedes every change of busy and open.
func (a *admission) integrate(now int64) {
	if a.integratedUntil != 0 && now > a.integratedUntil {
		used, _ := a.usage()
		a.loadIntegral += float64(used) * float64(now-a.integratedUntil)
	}
	if a.periodStart == 0 {
		a.periodStart = now
	}
	a.integratedUntil = max(a.integratedUntil, now)
}

// used returns the measure of load and its limit.
func (a *admission) usage() (used, limit int) {
	if a.limitsBySlots {
		return a.busySlots, a.slots
	}
	return a.openFlows, a.connections
}

func (a *admission) hasCapacity() bool {
	return a.openFlows < a.connections && (!a.limitsBySlots || a.busySlots < a.slots)
}

// take reserves a slot and a connection for a new flow.
func (a *admission) tryReserve(now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining || len(a.queue) > 0 || !a.hasCapacity() {
		return false
	}
	a.reserve(now)
	return true
}

func (a *admission) reserve(now int64) {
	a.integrate(now)
	a.openFlows++
	if a.limitsBySlots {
		a.busySlots++
	}
}

// adopt counts a flow that the backend server already has.
func (a *admission) addExisting(now int64, busy bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.integrate(now)
	a.openFlows++
	if busy {
		a.busySlots++
	}
}

// release gives back a connection, and a slot when the flow held one.
func (a *admission) release(now int64, busy bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.integrate(now)
	a.openFlows--
	if busy {
		a.busySlots--
	}
}

// answered gives back a slot and keeps the connection.
func (a *admission) releaseSlot(now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.integrate(now)
	a.busySlots--
}

// enqueue keeps a first packet until a slot is free. It reports false when the
// queue is full.
func (a *admission) enqueue(w *waitingPacket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining || len(a.queue) >= maxQueued {
		return false
	}
	a.queue = append(a.queue, w)
	return true
}

// next returns the first queued packet with a slot reserved for it, or nil.
func (a *admission) dequeue(now int64) *waitingPacket {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining || len(a.queue) == 0 || !a.hasCapacity() || a.queue[0].deadline <= now {
		return nil
	}
	w := a.queue[0]
	a.queue = a.queue[1:]
	a.reserve(now)
	return w
}

// await keeps a first packet until its witness confirms it.
func (a *admission) addPending(w *waitingPacket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = append(a.pending, w)
}

// awaits reports whether a flow waits for its witnesses.
func (a *admission) hasPending() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.pending) > 0
}

// bind notes the local port of a flow that waits for its witnesses.
func (a *admission) setLocalPort(key flow.Key, port uint16) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.pending {
		if w.packet.Key == key {
			w.localPort, w.awaitsPort = port, false
		}
	}
}

// cancel forgets a flow that waits for its witness and returns its packet, or nil.
func (a *admission) takePendingFlow(key flow.Key) *waitingPacket {
	found := a.takePending(func(w *waitingPacket) bool { return w.packet.Key == key })
	if len(found) == 0 {
		return nil
	}
	return found[0]
}

// takePending removes and returns the packets awaiting a witness that match.
func (a *admission) takePending(match func(w *waitingPacket) bool) (found []*waitingPacket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := a.pending[:0]
	for _, w := range a.pending {
		if match(w) {
			found = append(found, w)
			continue
		}
		kept = append(kept, w)
	}
	clear(a.pending[len(kept):])
	a.pending = kept
	return found
}

// confirm notes that a witness confirmed a report, and removes and returns the
// packets that no other witness has to confirm.
func (a *admission) confirm(witness netip.AddrPort, sequence uint64) []*waitingPacket {
	return a.takePending(func(w *waitingPacket) bool {
		before := len(w.unconfirmed)
		w.unconfirmed = slices.DeleteFunc(w.unconfirmed, func(q witnessRequest) bool {
			return q.witness == witness && q.sequence == sequence && sequence != 0
		})
		return before > 0 && len(w.unconfirmed) == 0
	})
}

// contradict notes that a witness said that another host has a flow.
func (a *admission) markContradicted(key flow.Key, witness netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.pending {
		for i := range w.unconfirmed {
			if w.packet.Key == key && w.unconfirmed[i].witness == witness {
				w.unconfirmed[i].contradicted = true
			}
		}
	}
}

// askAgain returns copies of the requests that match and are not confirmed. They
// keep their sequence, so that a late confirmation still counts.
func (a *admission) requestsToRetry(p *peerSet, match func(w *waitingPacket, q witnessRequest) bool) (again []waitingPacket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.pending {
		for i := range w.unconfirmed {
			q := &w.unconfirmed[i]
			if w.awaitsPort || !match(w, *q) {
				continue
			}
			if q.sequence == 0 {
				q.sequence, _ = p.nextSequence(q.witness)
			}
			if q.sequence != 0 {
				again = append(again, waitingPacket{packet: w.packet, digests: w.digests, localPort: w.localPort, unconfirmed: []witnessRequest{*q}})
			}
		}
	}
	return again
}

// overdue removes and returns the queued packets whose deadline passed.
func (a *admission) takeExpired(now int64) (found []*waitingPacket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.queue) > 0 && a.queue[0].deadline <= now {
		found = append(found, a.queue[0])
		a.queue = a.queue[1:]
	}
	return found
}

// takeQueued removes and returns all queued packets.
func (a *admission) takeQueued() (queued []*waitingPacket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	queued, a.queue = a.queue, nil
	return queued
}

// park keeps a first packet until the end of recovery.
func (a *admission) hold(w *waitingPacket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.held) >= maxHeld {
		return false
	}
	a.held = append(a.held, w)
	return true
}

func (a *admission) deferReport(from netip.AddrPort, r *controlpb.FlowReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.deferredReports) < maxHeld {
		a.deferredReports = append(a.deferredReports, ReportReceived{Peer: from, Report: r})
	}
}

func (a *admission) takeDeferredReports() (deferred []ReportReceived) {
	a.mu.Lock()
	defer a.mu.Unlock()
	deferred, a.deferredReports = a.deferredReports, nil
	return deferred
}

func (a *admission) takeHeld() (parked []*waitingPacket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	parked, a.held = a.held, nil
	return parked
}

// drain starts or ends draining by order and returns the packets that were queued.
func (a *admission) setDrain(on bool) (queued []*waitingPacket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drainOrdered = on
	return a.updateDraining()
}

// listed takes the host's entry in a new table, or nil if there is none. A host
// that is not active there drains. It returns the packets that were queued then.
func (a *admission) setMember(m *table.Member) (queued []*waitingPacket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.weight = 0
	if m != nil {
		a.weight = m.Weight
	}
	a.excluded = m == nil || !m.Active()
	return a.updateDraining()
}

// stop makes the agent take no new flow until it stops.
func (a *admission) setStopping() (queued []*waitingPacket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
	return a.updateDraining()
}

func (a *admission) updateDraining() (queued []*waitingPacket) {
	a.draining = a.drainOrdered || a.excluded || a.stopping
	if a.draining {
		queued, a.queue = a.queue, nil
	}
	return queued
}

func (a *admission) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

// load returns the work in progress and in the queue, with the flow to place, in
// thousandths of the effective weight of the host. It is a measure of the wait
// that the flow would have. Work over slots alone would queue flows at slow hosts.
func (a *admission) load() uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining || a.weight == 0 {
		return drainingLoad
	}
	used, _ := a.usage()
	work := uint64(used + len(a.queue) + 1)
	return uint32(min(work*permille*permille/uint64(a.weight), drainingLoad-1))
}

// heartbeat returns the present load and starts a new period of the busy share.
func (a *admission) heartbeat(now int64) *controlpb.Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.integrate(now)
	used, limit := a.usage()
	share := float64(used) / float64(limit)
	if now > a.periodStart {
		share = a.loadIntegral / float64(now-a.periodStart) / float64(limit)
	}
	a.loadIntegral, a.periodStart = 0, now
	return &controlpb.Heartbeat{
		Busy:      uint32(max(used, 0)),
		Queued:    uint32(len(a.queue)),
		OpenFlows: uint32(max(a.openFlows, 0)),
		BusyShare: uint32(min(max(share, 0), 1)*permille + 0.5),
		Draining:  a.draining,
	}
}

// nanoseconds returns the time of a deadline after now.
func deadlineAfter(now int64, after time.Duration) int64 { return now + int64(after) }
