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
	maxParked = 1024
	// thousand scales loads and shares.
	thousand = 1000
	// drainingLoad is the load that a draining agent offers flows with.
	drainingLoad = math.MaxUint32
)

// waiting is a first packet that is kept.
type waiting struct {
	header flow.Header
	packet flow.Packet
	token  uint32
	// deadline is in nanoseconds since 1970.
	deadline int64
	// known is what witnesses are told of earlier flows on the key.
	known tokens
	// port is the local port that witnesses are told of, or 0 if the flow needs none.
	port uint16
	// binding is set until the local port is known; no witness is asked before that.
	binding bool
	// witnesses were asked to confirm, and asked holds those that have not yet.
	witnesses []netip.AddrPort
	asked     []ask
}

// ask is a report that a witness must confirm. The sequence is 0 while there is
// no stream to the witness.
type ask struct {
	witness  netip.AddrPort
	sequence uint64
	// contradicted is set when the witness said that another host has the flow.
	contradicted bool
}

// keep returns a copy of a packet and its header that outlives the call.
func keep(h *flow.Header, p *flow.Packet, token uint32, deadline int64) *waiting {
	w := &waiting{header: *h, packet: *p, token: token, deadline: deadline}
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
	countsSlots bool
	// draining is set when an operator ordered it, the table excludes the host, or
	// the agent is about to stop.
	draining, ordered, excluded, stopping bool

	// weight is the effective weight in thousandths, 0 while no table lists the host.
	weight uint32

	busy, open int
	queue      []*waiting
	pending    []*waiting
	parked     []*waiting
	// deferred holds requests to witness that wait for the end of recovery.
	deferred []ReportReceived

	// area is busy capacity integrated over nanoseconds since reported.
	area     float64
	changed  int64
	reported int64
}

// advance integrates the load up to now; it precedes every change of busy and open.
func (a *admission) advance(now int64) {
	if a.changed != 0 && now > a.changed {
		used, _ := a.used()
		a.area += float64(used) * float64(now-a.changed)
	}
	if a.reported == 0 {
		a.reported = now
	}
	a.changed = max(a.changed, now)
}

// used returns the measure of load and its limit.
func (a *admission) used() (used, limit int) {
	if a.countsSlots {
		return a.busy, a.slots
	}
	return a.open, a.connections
}

func (a *admission) free() bool {
	return a.open < a.connections && (!a.countsSlots || a.busy < a.slots)
}

// take reserves a slot and a connection for a new flow.
func (a *admission) take(now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining || len(a.queue) > 0 || !a.free() {
		return false
	}
	a.reserve(now)
	return true
}

func (a *admission) reserve(now int64) {
	a.advance(now)
	a.open++
	if a.countsSlots {
		a.busy++
	}
}

// adopt counts a flow that the backend server already has.
func (a *admission) adopt(now int64, busy bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	a.open++
	if busy {
		a.busy++
	}
}

// release gives back a connection, and a slot when the flow held one.
func (a *admission) release(now int64, busy bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	a.open--
	if busy {
		a.busy--
	}
}

// answered gives back a slot and keeps the connection.
func (a *admission) answered(now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	a.busy--
}

// enqueue keeps a first packet until a slot is free. It reports false when the
// queue is full.
func (a *admission) enqueue(w *waiting) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining || len(a.queue) >= maxQueued {
		return false
	}
	a.queue = append(a.queue, w)
	return true
}

// next returns the first queued packet with a slot reserved for it, or nil.
func (a *admission) next(now int64) *waiting {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining || len(a.queue) == 0 || !a.free() || a.queue[0].deadline <= now {
		return nil
	}
	w := a.queue[0]
	a.queue = a.queue[1:]
	a.reserve(now)
	return w
}

// await keeps a first packet until its witness confirms it.
func (a *admission) await(w *waiting) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = append(a.pending, w)
}

// awaits reports whether a flow waits for its witnesses.
func (a *admission) awaits() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.pending) > 0
}

// bind notes the local port of a flow that waits for its witnesses.
func (a *admission) bind(key flow.Key, port uint16) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.pending {
		if w.packet.Key == key {
			w.port, w.binding = port, false
		}
	}
}

// cancel forgets a flow that waits for its witness and returns its packet, or nil.
func (a *admission) cancel(key flow.Key) *waiting {
	found := a.takePending(func(w *waiting) bool { return w.packet.Key == key })
	if len(found) == 0 {
		return nil
	}
	return found[0]
}

// takePending removes and returns the packets awaiting a witness that match.
func (a *admission) takePending(match func(w *waiting) bool) (found []*waiting) {
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
func (a *admission) confirm(witness netip.AddrPort, sequence uint64) []*waiting {
	return a.takePending(func(w *waiting) bool {
		before := len(w.asked)
		w.asked = slices.DeleteFunc(w.asked, func(q ask) bool {
			return q.witness == witness && q.sequence == sequence && sequence != 0
		})
		return before > 0 && len(w.asked) == 0
	})
}

// contradict notes that a witness said that another host has a flow.
func (a *admission) contradict(key flow.Key, witness netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.pending {
		for i := range w.asked {
			if w.packet.Key == key && w.asked[i].witness == witness {
				w.asked[i].contradicted = true
			}
		}
	}
}

// askAgain returns copies of the requests that match and are not confirmed. They
// keep their sequence, so that a late confirmation still counts.
func (a *admission) askAgain(p *peerSet, match func(w *waiting, q ask) bool) (again []waiting) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.pending {
		for i := range w.asked {
			q := &w.asked[i]
			if w.binding || !match(w, *q) {
				continue
			}
			if q.sequence == 0 {
				q.sequence, _ = p.next(q.witness)
			}
			if q.sequence != 0 {
				again = append(again, waiting{packet: w.packet, known: w.known, port: w.port, asked: []ask{*q}})
			}
		}
	}
	return again
}

// overdue removes and returns the queued packets whose deadline passed.
func (a *admission) overdue(now int64) (found []*waiting) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.queue) > 0 && a.queue[0].deadline <= now {
		found = append(found, a.queue[0])
		a.queue = a.queue[1:]
	}
	return found
}

// takeQueued removes and returns all queued packets.
func (a *admission) takeQueued() (queued []*waiting) {
	a.mu.Lock()
	defer a.mu.Unlock()
	queued, a.queue = a.queue, nil
	return queued
}

// park keeps a first packet until the end of recovery.
func (a *admission) park(w *waiting) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.parked) >= maxParked {
		return false
	}
	a.parked = append(a.parked, w)
	return true
}

func (a *admission) deferReport(from netip.AddrPort, r *controlpb.FlowReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.deferred) < maxParked {
		a.deferred = append(a.deferred, ReportReceived{Peer: from, Report: r})
	}
}

func (a *admission) takeDeferred() (deferred []ReportReceived) {
	a.mu.Lock()
	defer a.mu.Unlock()
	deferred, a.deferred = a.deferred, nil
	return deferred
}

func (a *admission) unpark() (parked []*waiting) {
	a.mu.Lock()
	defer a.mu.Unlock()
	parked, a.parked = a.parked, nil
	return parked
}

// drain starts or ends draining by order and returns the packets that were queued.
func (a *admission) drain(on bool) (queued []*waiting) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ordered = on
	return a.updateDraining()
}

// listed takes the host's entry in a new table, or nil if there is none. A host
// that is not active there drains. It returns the packets that were queued then.
func (a *admission) listed(m *table.Member) (queued []*waiting) {
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
func (a *admission) stop() (queued []*waiting) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
	return a.updateDraining()
}

func (a *admission) updateDraining() (queued []*waiting) {
	a.draining = a.ordered || a.excluded || a.stopping
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
	used, _ := a.used()
	work := uint64(used + len(a.queue) + 1)
	return uint32(min(work*thousand*thousand/uint64(a.weight), drainingLoad-1))
}

// heartbeat returns the present load and starts a new period of the busy share.
func (a *admission) heartbeat(now int64) *controlpb.Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	used, limit := a.used()
	share := float64(used) / float64(limit)
	if now > a.reported {
		share = a.area / float64(now-a.reported) / float64(limit)
	}
	a.area, a.reported = 0, now
	return &controlpb.Heartbeat{
		Busy:      uint32(max(used, 0)),
		Queued:    uint32(len(a.queue)),
		OpenFlows: uint32(max(a.open, 0)),
		BusyShare: uint32(min(max(share, 0), 1)*thousand + 0.5),
		Draining:  a.draining,
	}
}

// nanoseconds returns the time of a deadline after now.
func nanoseconds(now int64, after time.Duration) int64 { return now + int64(after) }
