package history

import (
	"fmt"
	"sort"
	"time"
)

const (
	// leaveLimit is how long after the order to leave a host may still start new flows
	// (invariant 6).
	leaveLimit = 3 * time.Second
	// drainKnownLimit is how long after its agent was informed of the drain a host may
	// still start new flows: its backend server may read from the socket afterwards
	// requests that the agent delivered before.
	drainKnownLimit = 50 * time.Millisecond
	// inForceLimit is the time after its acceptance by which every balancer must have put
	// a configuration in force (design section 1.5).
	inForceLimit = 6 * time.Second
)

// Violation is a violation of an invariant of design section 1.2.
type Violation struct {
	// Invariant is the number of the invariant in that section.
	Invariant int
	// Detail describes the violation.
	Detail string
}

// Checker finds the violations of one invariant, which has the number Invariant in
// design section 1.2. Checkers returns all checkers.
type Checker struct {
	// Name is a short name of the violation, such as broken_flows.
	Name      string
	Invariant int
	check     func(h *History, report func(format string, args ...any))
}

// Checkers returns one checker for each invariant whose violation a history can show.
func Checkers() []Checker {
	return []Checker{
		{"broken_flows", 1, checkBrokenFlows},
		{"packets_misdelivered", 2, checkMisdeliveredPackets},
		{"answers_wrong", 3, checkWrongAnswers},
		{"refused_but_run", 4, checkRefusedButRun},
		{"runs_doubled", 5, checkDuplicateRuns},
		{"work_after_leaving", 6, checkNewFlowsAfterLeaving},
		{"work_interrupted", 7, checkInterruptedRuns},
		{"config_reverted", 8, checkConfig},
	}
}

// Check returns the violations that c finds in h. It holds the lock of h while it checks.
func (c *Checker) Check(h *History) (violations []Violation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.check(h, func(format string, args ...any) {
		violations = append(violations, Violation{Invariant: c.Invariant, Detail: fmt.Sprintf(format, args...)})
	})
	return violations
}

// Check returns the violations of all invariants in h.
func Check(h *History) (violations []Violation) {
	for _, c := range Checkers() {
		violations = append(violations, c.Check(h)...)
	}
	return violations
}

// checkBrokenFlows reports established flows that failed. It leaves out flows whose host had
// crashed by then: only those may fail.
func checkBrokenFlows(h *History, report func(string, ...any)) {
	for _, id := range h.flowOrder {
		f := h.flows[id]
		failed := f.End == EndRefused || f.End == EndReset || f.End == EndUnanswered
		if f.Established.IsZero() || !failed {
			continue
		}
		if died := h.find(MarkDied, f.Host, time.Time{}); died != nil && !died.At.After(f.Ended) {
			continue
		}
		report("flow %d of service %d at host %q broke (end %d) %v after it was established and %v after its last answer at %s",
			id, f.Service, f.Host, f.End, f.Ended.Sub(f.Established), f.Ended.Sub(f.Answered), f.Answered.UTC().Format(time.RFC3339Nano))
	}
}

func checkMisdeliveredPackets(h *History, report func(string, ...any)) {
	for _, r := range h.runs {
		if r.Service != r.HostService {
			report("request %d of service %d ran at host %q of service %d", r.Request, r.Service, r.Host, r.HostService)
		}
	}
}

func checkWrongAnswers(h *History, report func(string, ...any)) {
	for _, w := range h.wrongAnswers {
		report("flow %d got an answer that is not the complete response to its request", w.Flow)
	}
}

func checkRefusedButRun(h *History, report func(string, ...any)) {
	for _, r := range h.runs {
		if f := h.flows[r.Flow]; f != nil && f.End == EndRefused && f.Established.IsZero() {
			report("flow %d was refused as not run, but request %d ran at host %q", r.Flow, r.Request, r.Host)
		}
	}
}

func checkDuplicateRuns(h *History, report func(string, ...any)) {
	first := make(map[uint64]*Run, len(h.runs))
	for _, r := range h.runs {
		if r.Idempotent {
			continue
		}
		if previous := first[r.Request]; previous != nil {
			report("request %d (flow %d, sequence %d) ran at host %q and again at host %q %v later",
				r.Request, r.Flow, r.Sequence, previous.Host, r.Host, r.Started.Sub(previous.Started))
			continue
		}
		first[r.Request] = r
	}
}

// checkNewFlowsAfterLeaving reports new flows that a host started too long after it was ordered to
// leave, or after its agent was informed that it is draining.
func checkNewFlowsAfterLeaving(h *History, report func(string, ...any)) {
	for _, r := range h.runs {
		if r.Sequence != 0 {
			continue
		}
		for _, m := range h.marks {
			limit := leaveLimit
			if m.Kind == MarkDrainKnown {
				limit = drainKnownLimit
			} else if m.Kind != MarkLeaving {
				continue
			}
			if m.Name != r.Host || !r.Started.After(m.At.Add(limit)) {
				continue
			}
			if returned := h.find(MarkReturned, m.Name, m.At); returned != nil && !returned.At.After(r.Started) {
				continue
			}
			// The agent may have accepted the flow before it was informed of the drain, and
			// kept it queued since then.
			if f := h.flows[r.Flow]; m.Kind == MarkDrainKnown && f != nil && !f.Opened.After(m.At) {
				continue
			}
			report("host %q started new flow %d %v after it was ordered to leave or its drain was known", r.Host, r.Flow, r.Started.Sub(m.At))
			break
		}
	}
}

// checkInterruptedRuns reports runs that were in progress at a planned stop of their host.
func checkInterruptedRuns(h *History, report func(string, ...any)) {
	for _, r := range h.runs {
		stop := h.find(MarkStopped, r.Host, r.Started)
		if stop != nil && (r.Finished.IsZero() || r.Finished.After(stop.At)) {
			report("request %d was in progress when host %q was stopped", r.Request, r.Host)
		}
	}
}

// checkConfig reports balancers that reverted to an older configuration or did not put
// an accepted configuration in force within inForceLimit.
func checkConfig(h *History, report func(string, ...any)) {
	marks := append([]Mark(nil), h.marks...)
	sort.SliceStable(marks, func(i, j int) bool { return marks[i].At.Before(marks[j].At) })
	newest := make(map[string]uint64)
	for _, m := range marks {
		if m.Kind != MarkInForce {
			continue
		}
		if m.Version < newest[m.Name] {
			report("balancer %q reverted from configuration %d to %d", m.Name, newest[m.Name], m.Version)
			continue
		}
		newest[m.Name] = m.Version
	}
	for _, m := range marks {
		if m.Kind == MarkAccepted && !h.closedAt.IsZero() {
			h.checkInForce(marks, m, report)
		}
	}
}

// checkInForce reports balancers that did not put an accepted configuration in force
// within inForceLimit. It reports none if the observation ended before that.
func (h *History) checkInForce(marks []Mark, accepted Mark, report func(string, ...any)) {
	deadline := accepted.At.Add(inForceLimit)
	if h.closedAt.Before(deadline) {
		return
	}
	up := make(map[string]bool)
	inForce := make(map[string]bool)
	for _, m := range marks {
		if m.At.After(deadline) {
			break
		}
		switch m.Kind {
		case MarkBalancerUp:
			// A balancer that joined after the acceptance has a time limit of its own to read
			// the configuration.
			up[m.Name] = !m.At.After(accepted.At)
			inForce[m.Name] = false
		case MarkBalancerDown:
			up[m.Name] = false
		case MarkInForce:
			inForce[m.Name] = inForce[m.Name] || m.Version >= accepted.Version
		}
	}
	names := make([]string, 0, len(up))
	for name := range up {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if up[name] && !inForce[name] {
			report("configuration %d was not in force at balancer %q %v after it was accepted", accepted.Version, name, inForceLimit)
		}
	}
}

// find returns the earliest mark of a kind and name at or after since, or nil.
// h.mu must be held.
func (h *History) find(kind MarkKind, name string, since time.Time) (found *Mark) {
	for i := range h.marks {
		m := &h.marks[i]
		if m.Kind == kind && m.Name == name && !m.At.Before(since) && (found == nil || m.At.Before(found.At)) {
			found = m
		}
	}
	return found
}
