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

// settingsOf returns the settings of a balancer in the platform's format.
func settingsOf(t *testing.T) (text string) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "platform", "testdata", "balancer.yaml"))
	is.New(t).NoErr(err)
	return string(data)
}

func writeSettings(t *testing.T, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "settings.yaml")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against a process that starts with bad arguments or settings, or that
// does not say which field is wrong.
func TestUsage(t *testing.T) {
	cases := []struct {
		name, said string
		args       []string
	}{
		{"no command", "expected", nil},
		{"unknown command", "unexpected", []string{"relay"}},
		{"no file", "settings", []string{"balancer", "--settings", "/nowhere/settings.yaml"}},
		{"field missing", "zone", []string{"balancer", "--settings", writeSettings(t, strings.Replace(settingsOf(t), `zone: "north"`, "", 1))}},
		{"no host", "listen.outbound", []string{"agent", "--settings", writeSettings(t, settingsOf(t))}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var stderr bytes.Buffer
			is.Equal(execute(c.args, &environment{stdout: io.Discard, stderr: &stderr}), exitUsage)
			is.True(strings.Contains(stderr.String(), c.said))
		})
	}
}

// lockedBuffer takes lines while a test reads them.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) events(t *testing.T) (events []string) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.text.String()) {
		var l struct{ Event string }
		is.New(t).NoErr(json.Unmarshal([]byte(line), &l))
		events = append(events, l.Event)
	}
	return events
}

func (b *lockedBuffer) await(t *testing.T, event string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, e := range b.events(t) {
			if e == event {
				return
			}
		}
	}
	t.Fatalf("event %q was not logged; logged: %v", event, b.events(t))
}

// Guards against starts, reloads, stops and losses that leave no line, against
// metrics that are not served, and against a stop that hangs without the store.
func TestLifeOfBalancer(t *testing.T) {
	is := is.New(t)
	var out lockedBuffer
	code := make(chan int, 1)
	path := writeSettings(t, settingsOf(t))
	go func() {
		code <- execute([]string{"balancer", "--settings", path}, &environment{stdout: &out, stderr: io.Discard})
	}()
	out.await(t, "started")
	out.await(t, "store_lost")

	response, err := http.Get("http://127.78.0.1:9464/metrics")
	is.NoErr(err)
	var metrics map[string]any
	is.NoErr(json.NewDecoder(response.Body).Decode(&metrics))
	response.Body.Close()
	response, err = http.Get("http://127.78.0.1:8167" + platform.ReadinessPath)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable) // it has no configuration

	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	out.await(t, "settings_reloaded")
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case c := <-code:
		is.Equal(c, exitOK)
	case <-time.After(3 * time.Second): // the time to stop in the settings
		t.Fatal("the balancer did not stop in time")
	}
	out.await(t, "stopping")
	out.await(t, "stopped")
}
