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
	// maxQueued limits the first packets that wait for a slot.
	maxQueued = 4096
	// maxHeld limits the first packets that are held until the end of recovery, and the
	// reports that are deferred.
	maxHeld = 1024
	// permille scales loads and shares to thousandths.
	permille = 1000
	// drainingLoad is the load of a draining agent in its offers. It is higher than any
	// other load.
	drainingLoad = math.MaxUint32
)

// waitingPacket is a first packet that waits: queued for a slot, pending until its
// witnesses confirm, or held until the end of recovery.
type waitingPacket struct {
	header flow.Header
	packet flow.Packet
	digest uint32
	// deadline is when a queued packet, or the request to the witnesses of a pending one,
	// expires, in nanoseconds since 1970.
	deadline int64
	// digests are reported to the witnesses: those of the flow and of earlier flows on
	// its key.
	digests digests
	// localPort is reported to the witnesses; it is 0 if the flow needs none.
	localPort uint16
	// awaitsPort is set until the local port is known. No witness is asked before.
	awaitsPort bool
	// witnesses must confirm the flow, and unconfirmed holds the requests to those that
	// have not yet.
	witnesses   []netip.AddrPort
	unconfirmed []witnessRequest
}

// witnessRequest is a report that a witness must confirm. Its sequence is 0 as long as
// it has not been sent for lack of a stream.
type witnessRequest struct {
	witness  netip.AddrPort
	sequence uint64
	// contradicted is set when the witness responded that another host has the flow.
	contradicted bool
}

// newWaitingPacket returns a copy of a packet and its header that stays valid after
// the call.
func newWaitingPacket(h *flow.Header, p *flow.Packet, digest uint32, deadline int64) *waitingPacket {
	w := &waitingPacket{header: *h, packet: *p, digest: digest, deadline: deadline}
	w.packet.Data = bytes.Clone(p.Data)
	w.packet.Payload = bytes.Clone(p.Payload)
	return w
}

// admission counts the slots and connections of the backend server in use and holds
// the waiting packets. Its mutex may be taken while the mutex of a shard is held,
// never the other way round.
type admission struct {
	mu          sync.Mutex
	slots       int
	connections int
	// limitsBySlots is Config.RepliesReported.
	limitsBySlots bool
	// draining is set when an operator ordered it (drainOrdered), the host is not active
	// in the table (excluded), or the agent is about to stop (stopping).
	draining, drainOrdered, excluded, stopping bool

	// weight is the effective weight in thousandths, or 0 if the table does not list the
	// host.
	weight uint32

	busySlots, openFlows int
	queue                []*waitingPacket
	pending              []*waitingPacket
	held                 []*waitingPacket
	// deferredReports holds reports that came before the first table, and requests to
	// witness that came during recovery.
	deferredReports []ReportReceived

	// loadIntegral is the load integrated from periodStart to integratedUntil. Both are
	// in nanoseconds since 1970.
	loadIntegral    float64
	integratedUntil int64
	periodStart     int64
}

// integrate integrates the load up to now. It must be called before every change of
// busySlots and openFlows.
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

// usage returns the present load and its limit: requests and slots if the adapter
// reports replies, otherwise open flows and connections.
func (a *admission) usage() (used, limit int) {
	if a.limitsBySlots {
		return a.busySlots, a.slots
	}
	return a.openFlows, a.connections
}

// hasCapacity reports whether a connection is free, and a slot if slots are limited.
func (a *admission) hasCapacity() bool {
	return a.openFlows < a.connections && (!a.limitsBySlots || a.busySlots < a.slots)
}

// tryReserve reserves a slot and a connection for a new flow. It reports false if the
// agent is draining, flows are queued or there is no capacity.
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

// addExisting counts a flow that the backend server already has, even above the limits.
func (a *admission) addExisting(now int64, holdsSlot bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.integrate(now)
	a.openFlows++
	if holdsSlot {
		a.busySlots++
	}
}

// release frees a connection, and a slot if the flow holds one.
func (a *admission) release(now int64, holdsSlot bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.integrate(now)
	a.openFlows--
	if holdsSlot {
		a.busySlots--
	}
}

// releaseSlot frees a slot; its flow keeps the connection.
func (a *admission) releaseSlot(now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.integrate(now)
	a.busySlots--
}

// enqueue queues a first packet until a slot is free. It reports false if the queue is
// full or the agent is draining.
func (a *admission) enqueue(w *waitingPacket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining || len(a.queue) >= maxQueued {
		return false
	}
	a.queue = append(a.queue, w)
	return true
}

// dequeue removes the first queued packet and reserves a slot for it. It returns nil if
// the agent is draining, there is no capacity, the queue is empty, or its first packet
// has expired.
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

// addPending keeps a first packet until its witnesses confirm the flow.
func (a *admission) addPending(w *waitingPacket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = append(a.pending, w)
}

// hasPending reports whether any flow waits for its witnesses.
func (a *admission) hasPending() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.pending) > 0
}

// setLocalPort sets the local port of a pending flow.
func (a *admission) setLocalPort(key flow.Key, port uint16) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.pending {
		if w.packet.Key == key {
			w.localPort, w.awaitsPort = port, false
		}
	}
}

// takePendingFlow removes and returns the packet of a pending flow, or returns nil.
func (a *admission) takePendingFlow(key flow.Key) *waitingPacket {
	found := a.takePending(func(w *waitingPacket) bool { return w.packet.Key == key })
	if len(found) == 0 {
		return nil
	}
	return found[0]
}

// takePending removes and returns the pending packets for which match reports true.
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

// confirm records that a witness confirmed a report. It removes and returns the
// pending packets for which no other confirmation is missing.
func (a *admission) confirm(witness netip.AddrPort, sequence uint64) []*waitingPacket {
	return a.takePending(func(w *waitingPacket) bool {
		before := len(w.unconfirmed)
		w.unconfirmed = slices.DeleteFunc(w.unconfirmed, func(req witnessRequest) bool {
			return req.witness == witness && req.sequence == sequence && sequence != 0
		})
		return before > 0 && len(w.unconfirmed) == 0
	})
}

// markContradicted records that a witness responded that another host has a flow.
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

// requestsToRetry returns copies of the unconfirmed requests for which match reports
// true, one in each waitingPacket. They keep their sequence, so that a late
// confirmation still counts. A request without a sequence gets one if there is a stream
// to its witness, and is left out otherwise.
func (a *admission) requestsToRetry(
	p *peerSet, match func(w *waitingPacket, req witnessRequest) bool,
) (retries []waitingPacket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.pending {
		for i := range w.unconfirmed {
			req := &w.unconfirmed[i]
			if w.awaitsPort || !match(w, *req) {
				continue
			}
			if req.sequence == 0 {
				req.sequence, _ = p.nextSequence(req.witness)
			}
			if req.sequence != 0 {
				retries = append(retries, waitingPacket{
					packet: w.packet, digests: w.digests, localPort: w.localPort, unconfirmed: []witnessRequest{*req},
				})
			}
		}
	}
	return retries
}

// takeExpired removes and returns the queued packets whose deadline has passed.
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

// hold keeps a first packet until the end of recovery. It reports false if too many
// are held.
func (a *admission) hold(w *waitingPacket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.held) >= maxHeld {
		return false
	}
	a.held = append(a.held, w)
	return true
}

// deferReport keeps a report for later, unless too many are deferred.
func (a *admission) deferReport(from netip.AddrPort, r *controlpb.FlowReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.deferredReports) < maxHeld {
		a.deferredReports = append(a.deferredReports, ReportReceived{Peer: from, Report: r})
	}
}

// takeDeferredReports removes and returns the deferred reports.
func (a *admission) takeDeferredReports() (reports []ReportReceived) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reports, a.deferredReports = a.deferredReports, nil
	return reports
}

// takeHeld removes and returns the packets that were held during recovery.
func (a *admission) takeHeld() (held []*waitingPacket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	held, a.held = a.held, nil
	return held
}

// setDrain starts or ends draining by order of an operator. It removes and returns the
// queued packets if the agent is draining.
func (a *admission) setDrain(on bool) (queued []*waitingPacket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drainOrdered = on
	return a.updateDraining()
}

// setMember sets the weight of the host from its member entry in a new table. The host
// drains if m is nil or not active. It removes and returns the queued packets if the
// agent is draining.
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

// setStopping makes the agent drain until it stops. It removes and returns the queued
// packets.
func (a *admission) setStopping() (queued []*waitingPacket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
	return a.updateDraining()
}

// updateDraining sets draining from its causes. If the agent is draining, it removes and
// returns the queued packets.
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

// load returns the load for an offer: the work in progress and in the queue, plus the
// flow to place, in thousandths of the effective weight of the host. It estimates how
// long that flow would wait. If the work were divided by the slots alone, flows would
// queue at slow hosts.
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

// heartbeat returns the present load, with the busy share averaged since the last
// call, and starts the next period of the busy share.
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

// deadlineAfter returns the time of now plus delay, in nanoseconds since 1970.
func deadlineAfter(now int64, delay time.Duration) int64 { return now + int64(delay) }
