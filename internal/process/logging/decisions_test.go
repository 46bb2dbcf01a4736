package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against one frequent decision that displaces others or writes without a limit,
// and against lines that are left out without being counted.
func TestDecisionsFlood(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	d := NewDecisionLog(New(Config{Writer: &out}))
	now := time.Unix(1000, 0)
	for i := range 100_000 {
		d.Log(now.Add(time.Duration(i)*100*time.Microsecond), "flow_reset", "no_route", "flow", i) // for 10 s
	}
	d.Log(now.Add(10*time.Second), "flow_reset", "host_lost", "flow", "x")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.True(len(lines) <= eventBurst+10*eventRate+1)
	var last, before map[string]any
	is.NoErr(json.Unmarshal([]byte(lines[len(lines)-1]), &last))
	is.NoErr(json.Unmarshal([]byte(lines[len(lines)-2]), &before))
	is.Equal(last["reason"], "host_lost")
	is.True(before["omitted"].(float64) > 0)
}

// Guards against a process that blocks because nothing reads its log.
func TestQueueNeverBlocks(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	r, w := io.Pipe()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		q.Run(w, stop)
	}()
	const lines = 100_000 // more than the queue holds; the pipe has no reader yet
	for range lines {
		n, err := q.Write([]byte("{}\n"))
		is.NoErr(err)
		is.Equal(n, 3)
	}
	close(stop)
	read := make(chan []byte)
	go func() {
		data, _ := io.ReadAll(r)
		read <- data
	}()
	<-stopped
	w.Close()
	data := <-read
	is.True(bytes.Count(data, []byte("\n")) <= queueLines+3)
	is.True(bytes.Contains(data, []byte("log_lines_omitted")))
}
