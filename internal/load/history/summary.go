package history

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// HostShare is the share of the work that one host did.
type HostShare struct {
	// Share is the fraction of all runs that the host executed, from 0 to 1.
	Share float64 `json:"share"`
	Runs  int     `json:"runs"`
	// BusyMS is the sum of the times that runs occupied a slot, in milliseconds.
	BusyMS float64 `json:"busy_ms"`
	Slots  uint32  `json:"slots"`
}

// Latency holds quantiles of the latency of requests in milliseconds.
type Latency struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Summary is the result of a load run.
type Summary struct {
	FlowsOpened    int `json:"flows_opened"`
	FlowsCompleted int `json:"flows_completed"`
	// FlowsBroken counts the established flows that failed although their host had not
	// crashed; FlowsFailed counts the flows that were reset or not answered before they
	// were established.
	FlowsBroken         int `json:"flows_broken"`
	FlowsFailed         int `json:"flows_failed"`
	PacketsMisdelivered int `json:"packets_misdelivered"`
	AnswersWrong        int `json:"answers_wrong"`
	// RunsDoubled counts the further runs of requests that may run only once.
	RunsDoubled int `json:"runs_doubled"`
	// Refused counts the refused flows, and RefusedButRun the runs of those flows that
	// were refused before they were established.
	Refused       int `json:"refused"`
	RefusedButRun int `json:"refused_but_run"`
	// WorkAfterLeaving counts the new flows that hosts started too long after the order
	// to leave, and WorkInterrupted the runs in progress at a planned stop of their host.
	WorkAfterLeaving int `json:"work_after_leaving"`
	WorkInterrupted  int `json:"work_interrupted"`
	// ConfigReverted counts the returns of balancers to an older configuration and the
	// configurations that a balancer did not put in force in time.
	ConfigReverted  int                  `json:"config_reverted"`
	Requests        int64                `json:"requests"`
	Retransmissions int64                `json:"retransmissions"`
	PerHost         map[string]HostShare `json:"per_host"`
	// Imbalance is the largest busy time per slot of a host, divided by the mean of the
	// hosts. It is 1 if all are equally busy, and 0 if there was no busy time.
	Imbalance float64 `json:"imbalance"`
	LatencyMS Latency `json:"latency_ms"`
	// Violations describes the first 20 violations, in the order of the invariants.
	Violations []string `json:"violations"`
}

// maxViolations bounds the violations that a summary lists.
const maxViolations = 20

// Summarize returns the summary of a history. The histogram latency is in microseconds;
// if it is nil, LatencyMS stays zero. Requests and Retransmissions stay zero too.
func Summarize(h *History, latency *hdrhistogram.Histogram) (s Summary) {
	s.Violations = []string{}
	counts := make(map[string]int)
	for _, c := range Checkers() {
		violations := c.Check(h)
		counts[c.Name] = len(violations)
		for _, v := range violations[:min(len(violations), maxViolations-len(s.Violations))] {
			s.Violations = append(s.Violations, v.Detail)
		}
	}
	s.FlowsBroken, s.PacketsMisdelivered = counts["broken_flows"], counts["packets_misdelivered"]
	s.AnswersWrong, s.RefusedButRun = counts["answers_wrong"], counts["refused_but_run"]
	s.RunsDoubled, s.WorkAfterLeaving = counts["runs_doubled"], counts["work_after_leaving"]
	s.WorkInterrupted, s.ConfigReverted = counts["work_interrupted"], counts["config_reverted"]

	h.mu.Lock()
	defer h.mu.Unlock()
	s.FlowsOpened = len(h.flowOrder)
	for _, f := range h.flows {
		switch {
		case f.End == EndCompleted:
			s.FlowsCompleted++
		case f.End == EndRefused:
			s.Refused++
		case f.Established.IsZero() && (f.End == EndReset || f.End == EndUnanswered):
			s.FlowsFailed++
		}
	}
	s.PerHost, s.Imbalance = h.shares(time.Time{})
	if latency != nil {
		quantile := func(q float64) float64 { return float64(latency.ValueAtQuantile(q)) / 1000 }
		s.LatencyMS = Latency{P50: quantile(50), P99: quantile(99), P999: quantile(99.9)}
	}
	return s
}

// Imbalance returns the imbalance (see Summary) of the runs that started at or after
// since, such as the time by which weights have been learned.
func (h *History) Imbalance(since time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, imbalance := h.shares(since)
	return imbalance
}

// shares returns the share of each host and the imbalance of the runs that started at
// or after since. h.mu must be held.
func (h *History) shares(since time.Time) (perHost map[string]HostShare, imbalance float64) {
	perHost = make(map[string]HostShare)
	for name, slots := range h.hostSlots {
		perHost[name] = HostShare{Slots: slots}
	}
	runs := 0
	for _, r := range h.runs {
		if r.Started.Before(since) {
			continue
		}
		runs++
		share := perHost[r.Host]
		share.Runs++
		share.BusyMS += float64(r.BusyMicros) / 1000
		share.Slots = r.Slots
		perHost[r.Host] = share
	}
	names := make([]string, 0, len(perHost))
	for name := range perHost {
		names = append(names, name)
	}
	// The sum of floats depends on the order of its terms; sorting makes it reproducible.
	sort.Strings(names)
	totalBusyPerSlot, maxBusyPerSlot := 0.0, 0.0
	for _, name := range names {
		share := perHost[name]
		share.Share = float64(share.Runs) / float64(max(runs, 1))
		perHost[name] = share
		busyPerSlot := share.BusyMS / float64(max(share.Slots, 1))
		totalBusyPerSlot += busyPerSlot
		maxBusyPerSlot = max(maxBusyPerSlot, busyPerSlot)
	}
	if totalBusyPerSlot > 0 {
		imbalance = maxBusyPerSlot * float64(len(names)) / totalBusyPerSlot
	}
	return perHost, imbalance
}
