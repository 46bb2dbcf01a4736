package logging

import (
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// eventRate is how many lines a second each reason of an event may write over
	// time, and eventBurst how many at once.
	eventRate  = 5
	eventBurst = 20
	// queueLines bounds the lines that wait for the writer.
	queueLines = 1024
)

// DecisionLog logs decisions on single requests. Each reason of an event has a
// budget of its own, so that frequent decisions do not displace rare ones.
type DecisionLog struct {
	logger log.Logger

	mu      sync.Mutex
	budgets map[string]*budget
}

type budget struct {
	tokens  float64
	filled  time.Time
	omitted int
}

// NewDecisionLog returns a log of decisions that writes to logger.
func NewDecisionLog(logger log.Logger) *DecisionLog {
	return &DecisionLog{logger: logger, budgets: make(map[string]*budget)}
}

// Log writes a line unless the budget of the event and reason is used up. The next
// line says how many were left out. The sets of events and reasons must be bounded;
// the reason may be empty.
func (d *DecisionLog) Log(now time.Time, event, reason string, keyvals ...any) {
	omitted, ok := d.take(now, event+"/"+reason)
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
	// A log line that cannot be written has no other place to go.
	_ = level.Info(d.logger).Log(append(line, keyvals...)...)
}

func (d *DecisionLog) take(now time.Time, key string) (omitted int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.budgets[key]
	if b == nil {
		b = &budget{tokens: eventBurst, filled: now}
		d.budgets[key] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.filled).Seconds()*eventRate, eventBurst)
	b.filled = now
	if b.tokens < 1 {
		b.omitted++
		return 0, false
	}
	b.tokens--
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}

// Queue is a writer that never blocks. Lines that do not fit are left out and counted.
type Queue struct {
	lines chan []byte

	mu      sync.Mutex
	omitted int
}

// NewQueue returns a queue; Run writes its lines.
func NewQueue() *Queue { return &Queue{lines: make(chan []byte, queueLines)} }

// Write queues one line.
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

// Run writes lines to w until stop is closed, and then those that are queued.
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
	// A log line that cannot be written has no other place to go.
	_, _ = w.Write(line)
}
