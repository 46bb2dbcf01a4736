package logging

import (
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// Each pair of event and reason has a token bucket: eventRate is the sustained number of
	// lines per second, and eventBurst the size of the bucket in lines.
	eventRate  = 5
	eventBurst = 20
	// queueLines is the capacity of a Queue in lines.
	queueLines = 1024
)

// DecisionLog logs decisions on single requests, such as the reset of a flow. Each pair
// of event and reason has a rate limit of its own, so that frequent decisions do not displace
// rare ones. Its methods are safe for concurrent use.
type DecisionLog struct {
	logger log.Logger

	mu      sync.Mutex
	budgets map[string]*budget
}

// budget is the token bucket of one pair of event and reason. A line costs one token.
type budget struct {
	tokens   float64
	refilled time.Time // when tokens was last brought up to date
	omitted  int       // lines left out since the last line that was written
}

// NewDecisionLog returns a DecisionLog that writes to logger at level info.
func NewDecisionLog(logger log.Logger) *DecisionLog {
	return &DecisionLog{logger: logger, budgets: make(map[string]*budget)}
}

// Log writes a line unless the rate limit of the event and reason is reached. The field
// "omitted" of the next line counts the lines that were left out. The sets of events and
// reasons must be bounded, because a budget is kept for each pair; reason may be empty.
func (d *DecisionLog) Log(now time.Time, event, reason string, keyvals ...any) {
	omitted, ok := d.admit(now, event+"/"+reason)
	if !ok {
		return
	}
	line := append(make([]any, 0, len(keyvals)+6), "event", event)
	if reason != "" {
		line = append(line, "reason", reason)
	}
	if omitted > 0 {
		line = append(line, "omitted", omitted)
	}
	// A failure to write the log cannot be logged.
	_ = level.Info(d.logger).Log(append(line, keyvals...)...)
}

func (d *DecisionLog) admit(now time.Time, key string) (omitted int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budgets[key]
	if b == nil {
		b = &budget{tokens: eventBurst, refilled: now}
		d.budgets[key] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.refilled).Seconds()*eventRate, eventBurst)
	b.refilled = now
	if b.tokens < 1 {
		b.omitted++
		return 0, false
	}
	b.tokens--
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}

// Queue is a writer of log lines that never blocks, so that a slow reader of the log does
// not block the process. Lines that do not fit are dropped and counted. Its methods are
// safe for concurrent use.
type Queue struct {
	lines chan []byte

	mu      sync.Mutex
	omitted int
}

// NewQueue returns an empty queue. Run must be called to write its lines.
func NewQueue() *Queue { return &Queue{lines: make(chan []byte, queueLines)} }

// Write queues a copy of one line or drops it if the queue is full. It never fails.
func (q *Queue) Write(line []byte) (n int, err error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.mu.Lock()
		q.omitted++
		q.mu.Unlock()
	}
	return len(line), nil
}

// Run writes lines to w until stop is closed, then writes the lines still queued and
// returns.
func (q *Queue) Run(w io.Writer, stop <-chan struct{}) {
	for {
		select {
		case line := <-q.lines:
			q.write(w, line)
		case <-stop:
			for {
				select {
				case line := <-q.lines:
					q.write(w, line)
				default:
					return
				}
			}
		}
	}
}

func (q *Queue) write(w io.Writer, line []byte) {
	q.mu.Lock()
	omitted := q.omitted
	q.omitted = 0
	q.mu.Unlock()
	if omitted > 0 {
		_ = level.Warn(log.NewJSONLogger(w)).Log("event", "log_lines_omitted", "count", omitted)
	}
	// A failure to write the log cannot be logged.
	_, _ = w.Write(line)
}
