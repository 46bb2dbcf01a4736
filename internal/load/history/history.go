// Package history records what callers, backend servers and balancers observe during
// a load run, checks the invariants that such a record can show to be violated, and
// summarises the run.
package history

import (
	"sync"
	"time"
)

// Flow is one flow as its caller observed it.
type Flow struct {
	ID         uint64
	Service    uint32
	Idempotent bool
	Opened     time.Time
	// Established is when the first answer arrived; it is zero before that.
	Established time.Time
	// Answered is when the last answer arrived; it is zero before the first one.
	Answered time.Time
	// Ended is when the flow completed or failed; it is zero while it is open.
	Ended time.Time
	// End says how the flow ended.
	End End
	// Host is the name of the host that sent the last answer; it is empty before the
	// first one.
	Host string
}

// End says how a flow ended.
type End uint8

// The ends of flows.
const (
	// EndOpen is a flow that has not ended.
	EndOpen End = iota
	// EndCompleted is a flow whose requests were all answered.
	EndCompleted
	// EndRefused is a flow that was refused with the statement that its request was
	// not run.
	EndRefused
	// EndReset is a flow that was reset.
	EndReset
	// EndUnanswered is a flow whose request was not answered after the last
	// retransmission.
	EndUnanswered
	// EndStopped is a flow that the load tool abandoned when the load run ended.
	EndStopped
)

// Run is one execution of a request by a backend server. It may be recorded twice,
// from the answer and by the backend server itself; both records are of the same run
// if Host and Number are equal.
type Run struct {
	// Host is the name of the host and Number the number of the run on that host.
	Host   string
	Number uint64
	// HostService is the id of the service that the backend server belonged to.
	HostService uint32
	// Service, Flow and Request are the ids of the request's service, of its flow and
	// of the request itself; Sequence is its position in the flow, counted from 0.
	Service  uint32
	Flow     uint64
	Request  uint64
	Sequence uint32

	Idempotent bool
	Started    time.Time
	// Finished is zero while the run is in progress.
	Finished time.Time
	// BusyMicros is how long the run occupied a slot, in microseconds.
	BusyMicros uint32
	// Slots is how many requests the host can run at a time.
	Slots uint32
}

// WrongAnswer is an answer that is not the complete response to its request.
type WrongAnswer struct {
	Flow uint64
	At   time.Time
}

// MarkKind says what happened to a host or balancer.
type MarkKind uint8

// The kinds of marks.
const (
	// MarkDrainKnown is when a host's agent was informed that the host is draining.
	MarkDrainKnown MarkKind = iota
	// MarkLeaving is when a host was ordered, by any path, to leave.
	MarkLeaving
	// MarkReturned is when a host was ordered to accept new flows again.
	MarkReturned
	// MarkStopped is a planned stop of a host.
	MarkStopped
	// MarkDied is a crash of a host, that is a stop that was not planned.
	MarkDied
	// MarkAccepted is when the configuration in Version was accepted.
	MarkAccepted
	// MarkInForce is when a balancer put the configuration in Version in force.
	MarkInForce
	// MarkBalancerUp is when a balancer joined.
	MarkBalancerUp
	// MarkBalancerDown is when a balancer left or crashed.
	MarkBalancerDown
)

// Mark is an event of a host, of a balancer or of the configuration.
type Mark struct {
	Kind MarkKind
	// Name is the name of the host or balancer; MarkAccepted has none.
	Name string
	// Version is the configuration version of MarkAccepted and MarkInForce.
	Version uint64
	At      time.Time
}

type runKey struct {
	host   string
	number uint64
}

// History is the record of a load run. New returns an empty one. Its methods are
// safe for concurrent use.
type History struct {
	mu    sync.Mutex
	flows map[uint64]*Flow
	// flowOrder holds the ids of the flows in the order in which they were recorded.
	flowOrder    []uint64
	runs         []*Run
	runsByKey    map[runKey]*Run
	hostSlots    map[string]uint32
	wrongAnswers []WrongAnswer
	marks        []Mark
	// closedAt is when the observation ended; it is zero before Close.
	closedAt time.Time
}

// New returns an empty history.
func New() *History {
	return &History{flows: make(map[uint64]*Flow), runsByKey: make(map[runKey]*Run), hostSlots: make(map[string]uint32)}
}

// AddHost records a host with its slots, so that the summary includes the host even
// if it runs no request.
func (h *History) AddHost(name string, slots uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hostSlots[name] = slots
}

// RecordFlow records a flow that a caller opened.
func (h *History) RecordFlow(f Flow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.flows[f.ID] = &f
	h.flowOrder = append(h.flowOrder, f.ID)
}

// RecordAnswer records that a host sent a complete answer on a flow. It ignores a flow
// that was not recorded.
func (h *History) RecordAnswer(flow uint64, host string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[flow]
	if f == nil {
		return
	}
	if f.Established.IsZero() {
		f.Established = at
	}
	f.Answered, f.Host = at, host
}

// RecordEnd records how and when a flow ended. It ignores a flow that was not recorded.
func (h *History) RecordEnd(flow uint64, end End, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.flows[flow]; f != nil {
		f.End, f.Ended = end, at
	}
}

// RecordRun records a run. If the run is recorded already without its end, RecordRun
// completes it with the end and the busy time of r; if it is recorded with its end,
// RecordRun ignores r.
func (h *History) RecordRun(r Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := runKey{r.Host, r.Number}
	if old := h.runsByKey[key]; old != nil {
		if old.Finished.IsZero() {
			old.Finished, old.BusyMicros = r.Finished, r.BusyMicros
		}
		return
	}
	h.runsByKey[key] = &r
	h.runs = append(h.runs, &r)
}

// RecordWrongAnswer records an answer that is not the complete response to its request.
func (h *History) RecordWrongAnswer(w WrongAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wrongAnswers = append(h.wrongAnswers, w)
}

// Mark records an event of a host or balancer.
func (h *History) Mark(m Mark) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.marks = append(h.marks, m)
}

// Close records when the observation ended. Until then the history is not checked
// for configurations that were put in force late.
func (h *History) Close(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closedAt = at
}
