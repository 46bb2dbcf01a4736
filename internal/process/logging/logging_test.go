package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log/level"
	"github.com/matryer/is"
)

// Guards against lines that a log collector cannot attribute to a process.
func TestLinesNameProcessAndDataCentre(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger := New(Config{Writer: &out, Process: "agent-1", DataCentre: "sapporo-a", Level: "warn"})
	is.NoErr(level.Info(logger).Log("event", "hidden"))
	is.NoErr(level.Warn(logger).Log("event", "shown"))
	line := map[string]any{}
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line["process"], "agent-1")
	is.Equal(line["data_centre"], "sapporo-a")
	is.Equal(line["event"], "shown")
}

// Guards against a packet flood that fills the log.
func TestLimitedLogsOncePerSecond(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	limited := NewRateLimitedLogger(New(Config{Writer: &out}))
	start := time.Unix(100, 0)
	for i := range 500 {
		limited.Warn(start.Add(time.Duration(i)*time.Millisecond), "malformed")
	}
	limited.Warn(start.Add(2*time.Second), "malformed")
	is.Equal(strings.Count(out.String(), "\n"), 2)
	is.True(strings.Contains(out.String(), `"suppressed":499`))
}
