package history_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"

	"agateramp/internal/load/history"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// validHistory returns a history that violates no invariant but comes close to
// violating each of them.
func validHistory() *history.History {
	h := history.New()
	for id := range uint64(6) {
		h.RecordFlow(history.Flow{ID: id, Service: 1, Opened: at(1)})
	}
	run := func(flow, number uint64, host string, started, finished float64) {
		h.RecordRun(history.Run{
			Host: host, Number: number, HostService: 1, Service: 1, Flow: flow, Request: flow,
			Started: at(started), Finished: at(finished), BusyMicros: 1000, Slots: 2,
		})
	}
	run(0, 1, "a", 1, 2)
	run(0, 1, "a", 1, 2) // the same run, as recorded from its answer
	h.RecordAnswer(0, "a", at(2))
	h.RecordEnd(0, history.EndCompleted, at(3))
	run(1, 1, "dead", 1, 2)
	h.RecordAnswer(1, "dead", at(2))
	h.Mark(history.Mark{Kind: history.MarkDied, Name: "dead", At: at(3)})
	h.RecordEnd(1, history.EndUnanswered, at(9))
	h.RecordEnd(2, history.EndRefused, at(2))
	run(3, 2, "a", 1, 2)
	h.RecordAnswer(3, "a", at(2))
	h.RecordEnd(3, history.EndCompleted, at(4))
	h.Mark(history.Mark{Kind: history.MarkLeaving, Name: "a", At: at(0)})
	h.Mark(history.Mark{Kind: history.MarkStopped, Name: "a", At: at(4)})
	h.RecordEnd(4, history.EndReset, at(2)) // never established
	for _, balancer := range []string{"x", "y"} {
		h.Mark(history.Mark{Kind: history.MarkBalancerUp, Name: balancer, At: at(0)})
		h.Mark(history.Mark{Kind: history.MarkInForce, Name: balancer, Version: 3, At: at(5)})
	}
	h.Mark(history.Mark{Kind: history.MarkAccepted, Version: 3, At: at(1)})
	h.Close(at(20))
	return h
}

// Guards against checkers that miss a violation of their invariant or report a
// violation of another one: each test case adds one violation to a valid history.
func TestEachCheckerFires(t *testing.T) {
	tests := []struct {
		name      string
		invariant int
		mutate    func(h *history.History)
	}{
		{"established flow reset", 1, func(h *history.History) {
			h.RecordAnswer(4, "a", at(1.5))
		}},
		{"established flow refused", 1, func(h *history.History) {
			h.RecordAnswer(2, "a", at(1.5))
		}},
		{"flow of a live host unanswered", 1, func(h *history.History) {
			h.RecordAnswer(5, "b", at(2))
			h.RecordEnd(5, history.EndUnanswered, at(8))
		}},
		{"flow broke before its host died", 1, func(h *history.History) {
			h.RecordAnswer(5, "dead", at(2))
			h.RecordEnd(5, history.EndReset, at(2.5))
		}},
		{"run at another service", 2, func(h *history.History) {
			h.RecordRun(history.Run{Host: "b", Number: 9, HostService: 2, Service: 1, Flow: 5, Request: 5, Started: at(1), Finished: at(2)})
		}},
		{"wrong answer", 3, func(h *history.History) {
			h.RecordWrongAnswer(history.WrongAnswer{Flow: 0, At: at(2)})
		}},
		{"refused but run", 4, func(h *history.History) {
			h.RecordRun(history.Run{Host: "b", Number: 9, HostService: 1, Service: 1, Flow: 2, Request: 2, Started: at(1), Finished: at(2)})
		}},
		{"run twice at one host", 5, func(h *history.History) {
			h.RecordRun(history.Run{Host: "a", Number: 9, HostService: 1, Service: 1, Flow: 0, Request: 0, Started: at(1), Finished: at(2)})
		}},
		{"run twice at two hosts", 5, func(h *history.History) {
			h.RecordRun(history.Run{Host: "b", Number: 9, HostService: 1, Service: 1, Flow: 0, Request: 0, Started: at(1), Finished: at(2)})
		}},
		{"new work 3 s after leaving", 6, func(h *history.History) {
			h.RecordRun(history.Run{Host: "a", Number: 9, HostService: 1, Service: 1, Flow: 5, Request: 5, Started: at(3.1), Finished: at(3.2)})
		}},
		{"queued work 3 s after leaving", 6, func(h *history.History) {
			h.Mark(history.Mark{Kind: history.MarkLeaving, Name: "b", At: at(2)})
			h.RecordRun(history.Run{Host: "b", Number: 9, HostService: 1, Service: 1, Flow: 5, Request: 5, Started: at(5.1), Finished: at(5.2)})
		}},
		{"new work after the agent was informed of the drain", 6, func(h *history.History) {
			h.Mark(history.Mark{Kind: history.MarkDrainKnown, Name: "b", At: at(0.5)})
			h.RecordRun(history.Run{Host: "b", Number: 9, HostService: 1, Service: 1, Flow: 5, Request: 5, Started: at(1.2), Finished: at(2)})
		}},
		{"stopped while running", 7, func(h *history.History) {
			h.RecordRun(history.Run{Host: "a", Number: 9, HostService: 1, Service: 1, Flow: 5, Request: 5, Started: at(2)})
		}},
		{"configuration reverted", 8, func(h *history.History) {
			h.Mark(history.Mark{Kind: history.MarkInForce, Name: "x", Version: 2, At: at(6)})
		}},
		{"configuration late", 8, func(h *history.History) {
			h.Mark(history.Mark{Kind: history.MarkBalancerUp, Name: "z", At: at(0.5)})
			h.Mark(history.Mark{Kind: history.MarkInForce, Name: "z", Version: 3, At: at(8)})
		}},
	}
	is.New(t).Equal(history.Check(validHistory()), nil) // the history without a mutation
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := validHistory()
			test.mutate(h)
			violations := history.Check(h)
			is.Equal(len(violations), 1)
			is.Equal(violations[0].Invariant, test.invariant)
		})
	}
}

// Guards against a summary that lacks one of its JSON fields or counts a run twice that
// was recorded both by the host and from the answer.
func TestSummary(t *testing.T) {
	is := is.New(t)
	latency := hdrhistogram.New(1, 1e7, 3)
	is.NoErr(latency.RecordValue(2000))
	h := validHistory()
	s := history.Summarize(h, latency)
	is.Equal([]int{s.FlowsOpened, s.FlowsCompleted, s.FlowsBroken, s.FlowsFailed, s.Refused}, []int{6, 2, 0, 1, 1})
	is.Equal(s.PerHost["a"], history.HostShare{Share: 2.0 / 3, Runs: 2, BusyMS: 2, Slots: 2})
	is.Equal(s.Imbalance, 4.0/3)
	h.AddHost("idle", 2)
	is.Equal(h.Imbalance(start), 2.0)
	is.Equal(h.Imbalance(at(9)), 0.0) // no runs
	encoded, err := json.Marshal(s)
	is.NoErr(err)
	var fields map[string]any
	is.NoErr(json.Unmarshal(encoded, &fields))
	for _, name := range []string{
		"flows_opened", "flows_broken", "packets_misdelivered", "answers_wrong", "runs_doubled", "refused",
		"refused_but_run", "per_host", "imbalance", "latency_ms",
	} {
		if _, ok := fields[name]; !ok {
			t.Errorf("summary has no field %q", name)
		}
	}
	is.Equal(fields["latency_ms"].(map[string]any)["p999"], 2.0)
}
