// Package history records what callers, backend servers and balancers saw during
// a load run and checks the invariants that such a record can show.
package history

import (
	"sync"
	"time"
)

// Flow is what a caller saw of one flow.
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
	// Host gave the last answer.
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
	// EndRefused is a flow refused with the statement that it was not run.
	EndRefused
	// EndReset is a flow that was reset.
	EndReset
	// EndUnanswered is a flow whose request was not answered after the last
	// retransmission.
	EndUnanswered
	// EndStopped is a flow that the load tool left at the end of its time.
	EndStopped
)

// Run is one execution of a request by a backend server. A run learned from an
// answer and from the backend server's own record is the same run if host and
// number agree.
type Run struct {
	Host   string
	Number uint64
	// HostService is the service that the backend server belonged to.
	HostService uint32
	// Service, Flow, Request and Sequence are those of the request.
	Service  uint32
	Flow     uint64
	Request  uint64
	Sequence uint32

	Idempotent bool
	Started    time.Time
	// Finished is zero while the run goes on.
	Finished   time.Time
	BusyMicros uint32
	Slots      uint32
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
	// MarkDrainKnown is when a host's agent learned that it is draining.
	MarkDrainKnown MarkKind = iota
	// MarkLeaving is when a host was told by any path to leave.
	MarkLeaving
	// MarkReturned is when a host was told to take new flows again.
	MarkReturned
	// MarkStopped is a planned stop of a host.
	MarkStopped
	// MarkDied is an unplanned death of a host.
	MarkDied
	// MarkAccepted is when the configuration in Version was accepted.
	MarkAccepted
	// MarkInForce is when a balancer put the configuration in Version in force.
	MarkInForce
	// MarkBalancerUp is when a balancer joined.
	MarkBalancerUp
	// MarkBalancerDown is when a balancer left or died.
	MarkBalancerDown
)

// Mark is an event that concerns a host or balancer by name.
type Mark struct {
	Kind    MarkKind
	Name    string
	Version uint64
	At      time.Time
}

type runKey struct {
	host   string
	number uint64
}

// History is a record of a load run. Its methods are safe for concurrent use.
type History struct {
	mu     sync.Mutex
	flows  map[uint64]*Flow
	order  []uint64
	runs   []*Run
	byRun  map[runKey]*Run
	hosts  map[string]uint32
	wrong  []WrongAnswer
	marks  []Mark
	closed time.Time
}

// New returns an empty history.
func New() *History {
	return &History{flows: make(map[uint64]*Flow), byRun: make(map[runKey]*Run), hosts: make(map[string]uint32)}
}

// AddHost records a host with its slots, so that it counts as idle before it runs
// anything.
func (h *History) AddHost(name string, slots uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts[name] = slots
}

// RecordFlow records that a caller opened a flow.
func (h *History) RecordFlow(f Flow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.flows[f.ID] = &f
	h.order = append(h.order, f.ID)
}

// RecordAnswer records a complete answer of a host on a flow.
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

// RecordEnd records how a flow ended.
func (h *History) RecordEnd(flow uint64, end End, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f := h.flows[flow]; f != nil {
		f.End, f.Ended = end, at
	}
}

// RecordRun records a run, or its end if the run is recorded already.
func (h *History) RecordRun(r Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := runKey{r.Host, r.Number}
	if old := h.byRun[key]; old != nil {
		if old.Finished.IsZero() {
			old.Finished, old.BusyMicros = r.Finished, r.BusyMicros
		}
		return
	}
	h.byRun[key] = &r
	h.runs = append(h.runs, &r)
}

// RecordWrongAnswer records a wrong answer.
func (h *History) RecordWrongAnswer(w WrongAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wrong = append(h.wrong, w)
}

// Mark records an event of a host or balancer.
func (h *History) Mark(m Mark) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.marks = append(h.marks, m)
}

// Close records when observation ended.
func (h *History) Close(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = at
}
