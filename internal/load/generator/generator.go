// Package generator is the load tool. It acts as the callers of a service: it opens flows
// over a Transport, sends requests on them, checks every answer and records flows,
// answers and runs in a history. A run is one execution of a request by a backend
// server. Package history checks the record for violations, and package payload defines
// the format of requests and answers. The flows run through the fabric, the network that
// distributes the packets of callers over the balancers.
package generator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"agateramp/internal/load/history"
	"agateramp/internal/load/payload"
	"agateramp/internal/process/group"
)

const (
	defaultConcurrency     = 100
	defaultRetransmitMS    = 300
	defaultRetransmissions = 8
	// maxBackoff bounds the wait before a retransmission, as a multiple of the
	// first wait.
	maxBackoff = 8
	// lateAnswerWait is how long a flow that was refused or that retransmitted a packet
	// receives further answers, which would show a run after the refusal or a second run.
	lateAnswerWait = 200 * time.Millisecond
	// maxLatencyMicros is 10 minutes; longer latencies are recorded as this value.
	maxLatencyMicros = 600 * 1000 * 1000
)

// Config configures a Generator.
type Config struct {
	// Transport opens flows. It must be set.
	Transport Transport
	// History receives the record. If nil, New creates one.
	History *history.History
	// Service is the id of the service at the transport's target. It must be set.
	Service uint32
	// Idempotent permits requests to run more than once.
	Idempotent bool
	// Flows is how many flows are opened. If 0, there is no limit and Until must be set.
	Flows int
	// Until is when the load run ends; flows that are open then stop after their current
	// request. If zero, the load run ends with the last flow.
	Until time.Time
	// Rate is the number of flows opened per second. If 0, flows are opened as fast as
	// Concurrency allows.
	Rate float64
	// Concurrency is the largest number of flows open at a time. If 0, it is 100.
	Concurrency int
	// Length is the number of requests of a flow. If 0, it is 1.
	Length int
	// IntervalMS is the least time between the requests of a flow, in milliseconds. If 0,
	// each request follows the previous answer immediately.
	IntervalMS int
	// WorkMicros is how long a host of speed 1, the default, works on the first request of a flow, and
	// NextWorkMicros on each of the others, in microseconds. If 0, there is no work.
	WorkMicros, NextWorkMicros uint32
	// BodySize is the size of a request's body in bytes. If 0, there is no body.
	BodySize int
	// RetransmitMS is the wait before the first retransmission, in milliseconds; each
	// further wait is doubled, up to 8 times the first. If 0, it is 300.
	RetransmitMS int
	// Retransmissions is the largest number of retransmissions of a packet. If 0, it is 8;
	// if negative, packets are not retransmitted.
	Retransmissions int
	// Refusal is the payload which states that a request was not run. If empty, no payload counts as a refusal.
	Refusal []byte
	// Seed makes flow ids reproducible. If 0, the ids are random.
	Seed uint64
}

// Generator opens flows and checks the answers on them. New returns one.
type Generator struct {
	cfg             Config
	random          *rand.Rand
	requests        atomic.Int64
	retransmissions atomic.Int64
	mu              sync.Mutex
	latency         *hdrhistogram.Histogram
}

// New returns a generator. It returns an error if cfg is incomplete or a number in it is
// out of range.
func New(cfg Config) (g *Generator, err error) {
	defer func() { err = errors.WithMessage(err, "load generator") }()
	switch {
	case cfg.Transport == nil || cfg.Service == 0:
		return nil, errors.New("transport and service must be set")
	case cfg.Flows == 0 && cfg.Until.IsZero():
		return nil, errors.New("flows or until must be set")
	case cfg.Flows < 0 || cfg.Rate < 0 || cfg.Concurrency < 0 || cfg.Length < 0 || cfg.IntervalMS < 0 || cfg.RetransmitMS < 0:
		return nil, errors.New("flows, rate, concurrency, length and intervals must not be negative")
	case cfg.BodySize < 0 || cfg.BodySize > payload.MaxBody:
		return nil, errors.Errorf("body of %d bytes is not between 0 and %d", cfg.BodySize, payload.MaxBody)
	}
	if cfg.History == nil {
		cfg.History = history.New()
	}
	if cfg.Concurrency == 0 {
		cfg.Concurrency = defaultConcurrency
	}
	if cfg.Length == 0 {
		cfg.Length = 1
	}
	if cfg.RetransmitMS == 0 {
		cfg.RetransmitMS = defaultRetransmitMS
	}
	if cfg.Retransmissions == 0 {
		cfg.Retransmissions = defaultRetransmissions
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	return &Generator{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 2)),
		latency: hdrhistogram.New(1, maxLatencyMicros, 3),
	}, nil
}

// Run opens the flows, waits until all have ended and returns the summary of the
// history. When ctx ends, open flows stop as they do at Until. The error is that of a
// flow that could not be opened; no further flow is opened after it.
func (g *Generator) Run(ctx context.Context) (summary history.Summary, err error) {
	if !g.cfg.Until.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, g.cfg.Until)
		defer cancel()
	}
	tasks := group.New(context.WithoutCancel(ctx))
	semaphore := make(chan struct{}, g.cfg.Concurrency)
	started := time.Now()
	for i := 0; g.hasNextFlow(tasks, i) && g.awaitTurn(ctx, started, i, semaphore); i++ {
		f := g.newFlow()
		tasks.Go("load flow", func(context.Context) error {
			defer func() { <-semaphore }()
			return f.run(ctx)
		})
	}
	err = errors.WithMessage(tasks.Wait(), "load")
	g.cfg.History.Close(time.Now())
	return g.Summary(), err
}

// hasNextFlow reports whether there is a flow i to open: there is none after Flows flows
// or after a flow that could not be opened.
func (g *Generator) hasNextFlow(tasks *group.Group, i int) bool {
	return tasks.Context().Err() == nil && (g.cfg.Flows == 0 || i < g.cfg.Flows)
}

// awaitTurn blocks until flow i is due by Rate and fewer than Concurrency flows are open,
// and acquires semaphore for it. It returns false if the load run ends before that.
func (g *Generator) awaitTurn(ctx context.Context, started time.Time, i int, semaphore chan struct{}) bool {
	if g.cfg.Rate > 0 {
		due := started.Add(time.Duration(float64(i) / g.cfg.Rate * float64(time.Second)))
		// On a busy machine ctx may end later than its deadline, so the time is compared too.
		if !g.cfg.Until.IsZero() && !due.Before(g.cfg.Until) || !sleepUntil(ctx, due) {
			return false
		}
	}
	if ctx.Err() != nil {
		return false
	}
	select {
	case semaphore <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// Summary returns the summary of the history so far, with the latencies and the counts
// of requests and retransmissions of this generator.
func (g *Generator) Summary() history.Summary {
	summary := history.Summarize(g.cfg.History, g.Latency())
	summary.Requests, summary.Retransmissions = g.requests.Load(), g.retransmissions.Load()
	return summary
}

// Latency returns a copy of the histogram of the latencies of all answered requests, in
// microseconds.
func (g *Generator) Latency() *hdrhistogram.Histogram {
	g.mu.Lock()
	defer g.mu.Unlock()
	return hdrhistogram.Import(g.latency.Export())
}

func (g *Generator) recordLatency(latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.latency.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
}

// sleepUntil blocks until t or the end of ctx. It reports whether ctx was still active.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
