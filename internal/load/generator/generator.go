// Package generator is the load tool: it opens flows over a packet adapter,
// checks every answer and records what it saw in a history.
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
	maxBackoff             = 8
	// lingerTime is how long a flow that was refused or retransmitted listens for
	// answers that would show a second run.
	lingerTime = 200 * time.Millisecond
	// maxLatencyMicros is 10 minutes, the longest latency that is told apart.
	maxLatencyMicros = 600 * 1000 * 1000
)

// Config configures a Generator.
type Config struct {
	// Transport opens flows. It must be set.
	Transport Transport
	// History takes the record. Empty means a new one.
	History *history.History
	// Service is the id of the service at the transport's target. It must be set.
	Service uint32
	// Idempotent says that requests may run more than once.
	Idempotent bool
	// Flows is how many flows are opened. Empty means no bound; then Until must
	// be set.
	Flows int
	// Until is when the run ends; flows open then stop after their present
	// request. Empty means that the run ends with the last flow.
	Until time.Time
	// Rate is flows opened per second. Empty means as fast as Concurrency allows.
	Rate float64
	// Concurrency bounds the flows open at once. Empty means 100.
	Concurrency int
	// Length is the requests of a flow. Empty means 1.
	Length int
	// IntervalMS is the least time between the requests of a flow. Empty means
	// that each follows the answer before.
	IntervalMS int
	// WorkMicros is the work of a flow's first request and NextWorkMicros that of
	// the others. Empty means none.
	WorkMicros, NextWorkMicros uint32
	// BodySize is the bytes of a request's body. Empty means none.
	BodySize int
	// RetransmitMS is the wait before the first retransmission; it doubles up to
	// 8 times. Empty means 300.
	RetransmitMS int
	// Retransmissions bounds the retransmissions of a packet. Empty means 8; a
	// negative number means none.
	Retransmissions int
	// Refusal is the payload that states that work was not run. Empty means that
	// no payload does.
	Refusal []byte
	// Seed makes flow ids repeatable. Empty means random ids.
	Seed uint64
}

// Generator opens flows and checks their answers.
type Generator struct {
	cfg             Config
	random          *rand.Rand
	requests        atomic.Int64
	retransmissions atomic.Int64
	mu              sync.Mutex
	latency         *hdrhistogram.Histogram
}

// New returns a generator.
func New(cfg Config) (g *Generator, err error) {
	defer func() { err = errors.WithMessage(err, "load generator") }()
	switch {
	case cfg.Transport == nil || cfg.Service == 0:
		return nil, errors.New("transport and service must be set")
	case cfg.Flows == 0 && cfg.Until.IsZero():
		return nil, errors.New("a number of flows or an end must be set")
	case cfg.Flows < 0 || cfg.Rate < 0 || cfg.Concurrency < 0 || cfg.Length < 0 || cfg.IntervalMS < 0 || cfg.RetransmitMS < 0:
		return nil, errors.New("numbers must not be negative")
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

// Run opens the flows, waits for their ends and returns the summary of the
// history. Its end, or that of ctx, stops open flows like Until does.
func (g *Generator) Run(ctx context.Context) (summary history.Summary, err error) {
	if !g.cfg.Until.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, g.cfg.Until)
		defer cancel()
	}
	tasks := group.New(context.WithoutCancel(ctx))
	free := make(chan struct{}, g.cfg.Concurrency)
	started := time.Now()
	for i := 0; g.more(tasks, i) && g.wait(ctx, started, i, free); i++ {
		f := g.newFlow()
		tasks.Go("load flow", func(context.Context) error {
			defer func() { <-free }()
			return f.run(ctx)
		})
	}
	err = errors.WithMessage(tasks.Wait(), "load")
	g.cfg.History.Close(time.Now())
	return g.Summary(), err
}

// more reports whether flow i is to be opened: not after a flow could not be opened.
func (g *Generator) more(tasks *group.Group, i int) bool {
	return tasks.Context().Err() == nil && (g.cfg.Flows == 0 || i < g.cfg.Flows)
}

// wait waits until flow i is due and a place is free, and reports whether it may
// be opened.
func (g *Generator) wait(ctx context.Context, started time.Time, i int, free chan struct{}) bool {
	if g.cfg.Rate > 0 {
		due := started.Add(time.Duration(float64(i) / g.cfg.Rate * float64(time.Second)))
		// On a busy machine ctx ends some time after its deadline.
		if !g.cfg.Until.IsZero() && !due.Before(g.cfg.Until) || !sleepUntil(ctx, due) {
			return false
		}
	}
	if ctx.Err() != nil {
		return false
	}
	select {
	case free <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// Summary returns the summary of the history so far with this generator's
// latencies.
func (g *Generator) Summary() history.Summary {
	summary := history.Summarize(g.cfg.History, g.Latency())
	summary.Requests, summary.Retransmissions = g.requests.Load(), g.retransmissions.Load()
	return summary
}

// Latency returns the latencies of all answered requests in microseconds.
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
