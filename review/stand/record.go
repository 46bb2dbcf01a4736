package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, a line each with the time since the
// start. It is safe for concurrent use.
type record struct {
	start time.Time

	// mu guards the fields below.
	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (r *record, err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file}, nil
}

func (r *record) logf(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

func (r *record) close() { _ = r.file.Close() }
