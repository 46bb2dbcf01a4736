// Package logging writes the log of a process as JSON lines. DecisionLog and
// RateLimitedLogger limit how many lines packets and requests can cause, and Queue keeps
// a slow reader of the log from blocking the process.
package logging

import (
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Config configures a logger.
type Config struct {
	// Writer receives the lines, one in each call. It must be set.
	Writer io.Writer
	// Process is the name of the process.
	Process string
	// DataCentre is the data centre of the process.
	DataCentre string
	// Level is the lowest level that is logged: debug, info, warn or error. Empty means
	// info.
	Level string
}

// New returns a logger whose lines carry ts, level, process and data_centre.
func New(c Config) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(c.Writer))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(c.Level, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "process", c.Process, "data_centre", c.DataCentre)
}

// Line writes one line and ignores errors, because a failure to write the log cannot be
// logged.
func Line(logger log.Logger, keyvals ...any) { _ = logger.Log(keyvals...) }

// limitedInterval is the minimum time between two lines of the same event.
const limitedInterval = time.Second

// RateLimitedLogger logs at most one line a second for each event, so that packets
// cannot flood the log. The field "suppressed" of the next line counts the lines that
// were left out. Its methods are safe for concurrent use.
type RateLimitedLogger struct {
	logger log.Logger

	mu     sync.Mutex
	events map[string]*limitedEvent
}

type limitedEvent struct {
	next       time.Time // the earliest time of the next line
	suppressed int       // lines left out since the last line
}

// NewRateLimitedLogger returns a RateLimitedLogger that writes warnings to logger.
func NewRateLimitedLogger(logger log.Logger) *RateLimitedLogger {
	return &RateLimitedLogger{logger: logger, events: make(map[string]*limitedEvent)}
}

// Warn logs event unless it was logged within the last second. The set of events must be
// bounded, because each is kept; an event therefore must not contain an address.
func (l *RateLimitedLogger) Warn(now time.Time, event string, keyvals ...any) {
	suppressed, ok := l.admit(now, event)
	if !ok {
		return
	}
	line := append([]any{"event", event, "suppressed", suppressed}, keyvals...)
	// A failure to write the log cannot be logged.
	_ = level.Warn(l.logger).Log(line...)
}

func (l *RateLimitedLogger) admit(now time.Time, event string) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.events[event]
	if e == nil {
		e = &limitedEvent{}
		l.events[event] = e
	}
	if now.Before(e.next) {
		e.suppressed++
		return 0, false
	}
	suppressed, e.suppressed = e.suppressed, 0
	e.next = now.Add(limitedInterval)
	return suppressed, true
}
