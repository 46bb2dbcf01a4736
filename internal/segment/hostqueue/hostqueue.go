// Package hostqueue decides which requests wait at an agent while its host has as many as it takes well, and which of
// them the host gets next.
//
// A host that gets more requests than it takes well queues some first in, first out, and rejects the rest. A Queue holds
// them at the agent instead: requests that can meet their latency objective go first, then those of higher priority, then
// those of callers that have had less than others, then those that are due first. No route is served worse than one of
// lower priority, and each gets a least share of what it asks for. docs/design/host-queue.md has the reasons.
//
// A Queue does no I/O and reads no clock. Package relay passes in the packets of callers and the load of the host, and
// delivers the packets that the Queue lets through.
package hostqueue

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
)

const (
	// defaultMaxBytes holds more than the hosts of a few slots can process within the timeouts of their callers, and is
	// a fiftieth of the memory of the smallest machines with an agent.
	defaultMaxBytes = 2 << 20
	// defaultMaxRequests is above the number of flows that are open at a host in normal operation.
	defaultMaxRequests = 1024
	// requestOverhead and packetOverhead are about the bytes that a held request and each of its packets take besides
	// the data.
	requestOverhead = 512
	packetOverhead  = 48
	// maxPackets bounds the packets of a held request. An end of a flow has at most 16 in flight.
	maxPackets = 32
	// droppedTTL is how long packets of a request that was removed without delivery are recognised. Callers retransmit
	// at least every 1.6 s, and not after they have given up; packets in flight arrive within seconds.
	droppedTTL = 5 * time.Second
	// lowestPriority is the priority of requests whose class is not known.
	lowestPriority = math.MaxInt
)

// Config configures a Queue.
type Config struct {
	// MaxBytes bounds the memory of the held requests. If zero, it is 2 MiB.
	MaxBytes int
	// MaxRequests bounds the number of held requests. If zero, it is 1024.
	MaxRequests int
}

// Host is the state of the host at the time of a decision.
type Host struct {
	// Limit is the number of requests that the host takes well at once.
	Limit int
	// InProgress is the number of requests that the host has got and not answered. For Wait, it includes those of accepted
	// opening packets that have not arrived yet.
	InProgress int
	// Latency is the expected time from the delivery of a request to its answer.
	Latency time.Duration
}

// hasRoom reports whether the host takes another request well.
func (h Host) hasRoom() bool { return h.InProgress < h.Limit }

// Request describes a request of a caller.
type Request struct {
	Flow flow.Key
	// Class is the class in the label of the packet.
	Class packet.RequestClass
	// SentAt is about when the caller sent the request. Its objective and its deadline count from then.
	SentAt time.Time
}

// Outcome is what becomes of a packet that was passed to Add. It is part of the names of metrics.
type Outcome uint8

// The outcomes of Add.
const (
	// OutcomePass means that the packet is to be delivered to the host now.
	OutcomePass Outcome = iota
	// OutcomeHeld means that the queue holds a copy of the packet.
	OutcomeHeld
	// OutcomeDuplicate means that the queue holds the data of the packet already. The packet is to be dropped.
	OutcomeDuplicate
	// OutcomeGivenUp means that the caller has given up the request of the packet. The packet is to be dropped.
	OutcomeGivenUp
)

// String returns the name of the outcome, and "invalid" for a value without a name.
func (o Outcome) String() string {
	names := [...]string{"pass", "held", "duplicate", "given_up"}
	if int(o) >= len(names) {
		return "invalid"
	}
	return names[o]
}

// Released is a request that the host gets now.
type Released struct {
	Flow flow.Key
	// Packets are the packets of the request in the order of their sequence numbers.
	Packets [][]byte
	// HeldSince is when the first of them arrived.
	HeldSince time.Time
}

// heldPacket is a copy of a packet whose payload has the sequence numbers from start to before end.
type heldPacket struct {
	start, end uint32
	data       []byte
}

// heldRequest is a request that waits.
type heldRequest struct {
	flow     flow.Key
	priority int
	// objective and deadline are when the request misses its latency objective and when its caller gives it up; zero
	// means that there is none.
	objective, deadline time.Time
	heldSince           time.Time
	// number increases with each request.
	number        uint64
	packets       []heldPacket
	route, caller *account
}

// droppedRequest is a request that was removed without delivery.
type droppedRequest struct {
	// sequence is a sequence number of the request.
	sequence uint32
	// givenUp is set if its caller has closed or reset the flow, and not if only its deadline has passed.
	givenUp bool
	until   time.Time
}

// Queue holds the requests that wait before one host. It is not safe for concurrent use.
type Queue struct {
	maxBytes, maxRequests int
	held                  map[flow.Key]*heldRequest
	bytes                 int
	lastNumber            uint64
	dropped               map[flow.Key]droppedRequest
	// routes and callers are the accounts by the address of the service and by the address of the caller.
	routes  map[netip.AddrPort]*account
	callers map[netip.Addr]*account
}

// New returns an empty queue.
func New(c Config) (q *Queue, err error) {
	if c.MaxBytes < 0 || c.MaxRequests < 0 {
		return nil, errors.New("host queue: MaxBytes and MaxRequests must not be negative")
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = defaultMaxBytes
	}
	if c.MaxRequests == 0 {
		c.MaxRequests = defaultMaxRequests
	}
	return &Queue{
		maxBytes: c.MaxBytes, maxRequests: c.MaxRequests, held: make(map[flow.Key]*heldRequest), dropped: make(map[flow.Key]droppedRequest),
		routes: make(map[netip.AddrPort]*account), callers: make(map[netip.Addr]*account),
	}, nil
}

// maxRecords bounds the number of callers with an account and of dropped requests that are remembered.
func (q *Queue) maxRecords() int { return 2 * q.maxRequests }

// Len returns the number of held requests.
func (q *Queue) Len() int { return len(q.held) }

// Bytes returns about how much memory the held requests take.
func (q *Queue) Bytes() int { return q.bytes }

// Holds reports whether a request of the flow is held.
func (q *Queue) Holds(key flow.Key) bool { return q.held[key] != nil }

// Add decides on a packet with data that belongs to no request in progress: the first packet of a request, or another
// packet of a held one. The queue copies what it holds. If a bound is reached, the packet passes; earlier are the held
// packets of the same request, which are to be delivered before it.
func (q *Queue) Add(now time.Time, h Host, r Request, s *packet.Segment) (outcome Outcome, earlier [][]byte) {
	if q.isGivenUp(now, r.Flow, s) {
		return OutcomeGivenUp, nil
	}
	if held := q.held[r.Flow]; held != nil {
		return q.addPacket(now, h, held, s)
	}
	held := newHeldRequest(now, r)
	held.route, held.caller = q.openAccounts(now, r)
	held.route.arrived++
	if h.hasRoom() && len(q.held) == 0 || len(q.held) >= q.maxRequests || q.bytes+requestOverhead+packetSize(s) > q.maxBytes {
		held.serve(now, h)
		return OutcomePass, nil
	}
	q.lastNumber++
	held.number = q.lastNumber
	held.route.held++
	held.caller.held++
	q.held[r.Flow] = held
	q.bytes += requestOverhead
	return q.addPacket(now, h, held, s)
}

// newHeldRequest returns a held request without packets and accounts.
func newHeldRequest(now time.Time, r Request) *heldRequest {
	held := &heldRequest{flow: r.Flow, priority: priority(r.Class), heldSince: now}
	if r.Class.LatencyObjective > 0 {
		held.objective = r.SentAt.Add(r.Class.LatencyObjective)
	}
	if r.Class.Timeout > 0 {
		held.deadline = r.SentAt.Add(r.Class.Timeout)
	}
	return held
}

// priority returns the priority of a class.
func priority(c packet.RequestClass) int {
	if !c.Known {
		return lowestPriority
	}
	return c.Priority
}

// packetSize returns about how much memory a held packet takes.
func packetSize(s *packet.Segment) int { return packetOverhead + len(s.Data) }

// addPacket adds a packet to a held request.
func (q *Queue) addPacket(now time.Time, h Host, held *heldRequest, s *packet.Segment) (outcome Outcome, earlier [][]byte) {
	start, end := s.Sequence, s.Sequence+uint32(s.PayloadLength)
	position := len(held.packets)
	for i, p := range held.packets {
		if int32(start-p.start) >= 0 && int32(end-p.end) <= 0 {
			return OutcomeDuplicate, nil
		}
		if int32(start-p.start) < 0 {
			position = min(position, i)
		}
	}
	if len(held.packets) >= maxPackets || q.bytes+packetSize(s) > q.maxBytes {
		return OutcomePass, q.release(now, h, held).Packets
	}
	q.bytes += packetSize(s)
	held.packets = slices.Insert(held.packets, position, heldPacket{start: start, end: end, data: slices.Clone(s.Data)})
	return OutcomeHeld, nil
}

// isGivenUp reports whether a packet is of a request that its caller has given up.
func (q *Queue) isGivenUp(now time.Time, key flow.Key, s *packet.Segment) bool {
	d, found := q.dropped[key]
	return found && d.givenUp && now.Before(d.until) && packet.SameSpace(s.Sequence, d.sequence)
}

// Next returns the most urgent request whose deadline has not passed, and removes it from the queue. ok is false if the
// host has no room or no request waits. Next is to be called until then, after each change of what the host has.
func (q *Queue) Next(now time.Time, h Host) (r Released, ok bool) {
	if !h.hasRoom() || len(q.held) == 0 {
		return Released{}, false
	}
	q.updateAccounts(now)
	var best *heldRequest
	var bestUrgency urgency
	for _, held := range q.held {
		if held.expired(now) {
			continue
		}
		u := q.urgency(now, h, held)
		if best == nil || u.before(&bestUrgency) {
			best, bestUrgency = held, u
		}
	}
	if best == nil {
		return Released{}, false
	}
	return q.release(now, h, best), true
}

// Wait estimates how long a request that arrives now would wait until the host gets it. The held requests that are less
// urgent do not count.
func (q *Queue) Wait(now time.Time, h Host, r Request) time.Duration {
	q.updateAccounts(now)
	arriving := newHeldRequest(now, r)
	arriving.number, arriving.route, arriving.caller = q.lastNumber+1, q.routes[r.Flow.Destination()], q.callers[r.Flow.Source().Addr()]
	own := q.urgency(now, h, arriving)
	ahead := h.InProgress
	for _, held := range q.held {
		if u := q.urgency(now, h, held); u.before(&own) {
			ahead++
		}
	}
	limit := max(h.Limit, 1)
	return h.Latency * time.Duration(max(ahead+1-limit, 0)) / time.Duration(limit)
}

// serve counts a request that the host gets now.
func (r *heldRequest) serve(now time.Time, h Host) {
	r.route.decay(now)
	r.caller.decay(now)
	p := r.prospect(now, h.Latency)
	r.route.serve(p)
	r.caller.serve(p)
}

// release removes a request for delivery.
func (q *Queue) release(now time.Time, h Host, held *heldRequest) Released {
	held.serve(now, h)
	q.remove(held)
	r := Released{Flow: held.flow, HeldSince: held.heldSince}
	for _, p := range held.packets {
		r.Packets = append(r.Packets, p.data)
	}
	return r
}

// remove removes a held request.
func (q *Queue) remove(held *heldRequest) {
	held.route.held--
	held.caller.held--
	q.bytes -= requestOverhead
	for _, p := range held.packets {
		q.bytes -= packetOverhead + len(p.data)
	}
	delete(q.held, held.flow)
}

// Remove removes the request of a flow, if one is held, because the host no longer holds the flow or the caller has
// begun another one from the same port.
func (q *Queue) Remove(key flow.Key) {
	delete(q.dropped, key)
	if held := q.held[key]; held != nil {
		q.remove(held)
	}
}

// GiveUp removes the request of a flow, if one is held, because its caller has closed or reset the flow. Later copies of
// its packets are recognised, also if the request has expired before, so that the host never gets it. It reports whether
// there was such a request.
func (q *Queue) GiveUp(now time.Time, key flow.Key) (found bool) {
	held := q.held[key]
	if held != nil {
		q.drop(now, held)
	}
	d, dropped := q.dropped[key]
	if dropped {
		d.givenUp = true
		q.dropped[key] = d
	}
	return held != nil || dropped
}

// drop removes a held request without delivery.
func (q *Queue) drop(now time.Time, held *heldRequest) {
	q.remove(held)
	if len(q.dropped) < q.maxRecords() {
		q.dropped[held.flow] = droppedRequest{sequence: held.packets[0].start, until: now.Add(droppedTTL)}
	}
}

// Expire removes the requests whose deadline has passed, which their callers have given up, and returns their flows. If
// a caller still retransmits such a request, it counts as a new one. Expire also removes what no longer counts. It is to
// be called at least every second.
func (q *Queue) Expire(now time.Time) (expired []flow.Key) {
	for key, d := range q.dropped {
		if now.After(d.until) {
			delete(q.dropped, key)
		}
	}
	for key, held := range q.held {
		if held.expired(now) {
			expired = append(expired, key)
			q.drop(now, held)
		}
	}
	q.removeOldAccounts(now)
	return expired
}
