package hosted

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/platform"
)

// balancerSettings returns the settings of a balancer in the platform's format. Nothing
// listens at the address of the store in it.
func balancerSettings(t *testing.T) (text string) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "platform", "testdata", "balancer.yaml"))
	is.New(t).NoErr(err)
	return string(data)
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "settings.yaml")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against a process that starts with invalid arguments or settings, and against
// an error that does not name the invalid field.
func TestUsage(t *testing.T) {
	cases := []struct {
		name, message string
		args          []string
	}{
		{"no command", "expected", nil},
		{"unknown command", "unexpected", []string{"relay"}},
		{"no file", "settings", []string{"balancer", "--settings", "/nowhere/settings.yaml"}},
		{"field missing", "zone", []string{"balancer", "--settings", writeSettings(t, strings.Replace(balancerSettings(t), `zone: "north"`, "", 1))}},
		{"no host", "listen.outbound", []string{"agent", "--settings", writeSettings(t, balancerSettings(t))}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var stderr bytes.Buffer
			is.Equal(execute(c.args, &outputs{stdout: io.Discard, stderr: &stderr}), exitUsage)
			is.True(strings.Contains(stderr.String(), c.message))
		})
	}
}

// lockedBuffer collects log lines while a test reads them.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// events returns the events of the lines so far.
func (b *lockedBuffer) events(t *testing.T) (events []string) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.text.String()) {
		var fields struct{ Event string }
		is.New(t).NoErr(json.Unmarshal([]byte(line), &fields))
		events = append(events, fields.Event)
	}
	return events
}

// awaitEvent waits until an event is logged, for at most 10 s.
func (b *lockedBuffer) awaitEvent(t *testing.T, event string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, e := range b.events(t) {
			if e == event {
				return
			}
		}
	}
	t.Fatalf("event %q was not logged within 10 s; logged events: %v", event, b.events(t))
}

// Guards against a start, a reload, a stop or the loss of the store that is not logged,
// against metrics and readiness that are not served, and against a balancer that does
// not stop in time while the store is unavailable.
func TestBalancerLifecycle(t *testing.T) {
	is := is.New(t)
	var out lockedBuffer
	exitCode := make(chan int, 1)
	path := writeSettings(t, balancerSettings(t))
	go func() {
		exitCode <- execute([]string{"balancer", "--settings", path}, &outputs{stdout: &out, stderr: io.Discard})
	}()
	out.awaitEvent(t, "started")
	out.awaitEvent(t, "store_lost")

	response, err := http.Get("http://127.78.0.1:9464/metrics")
	is.NoErr(err)
	var metrics map[string]any
	is.NoErr(json.NewDecoder(response.Body).Decode(&metrics))
	response.Body.Close()
	response, err = http.Get("http://127.78.0.1:8167" + platform.ReadinessPath)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable) // no configuration yet

	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	out.awaitEvent(t, "settings_reloaded")
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case code := <-exitCode:
		is.Equal(code, exitOK)
	case <-time.After(3 * time.Second): // bounds.grace_s in the settings
		t.Fatal("the balancer did not stop in time")
	}
	out.awaitEvent(t, "stopping")
	out.awaitEvent(t, "stopped")
}
