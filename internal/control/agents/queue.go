package agents

import (
	"context"
	"sync"

	"agateramp/internal/control/controlpb"
)

// frameQueue holds frames for the shards that this balancer holds itself. It has no size limit:
// each attached agent sends only a few frames per second.
type frameQueue struct {
	mu     sync.Mutex
	frames []*controlpb.Frame
	// wake has a buffer of one and receives a value when frames were added.
	wake chan struct{}
}

func newFrameQueue() *frameQueue { return &frameQueue{wake: make(chan struct{}, 1)} }

// push appends a frame. It does not block.
func (q *frameQueue) push(f *controlpb.Frame) {
	q.mu.Lock()
	q.frames = append(q.frames, f)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// pop waits for a frame and removes the oldest. It reports false if ctx ends while the queue is empty.
func (q *frameQueue) pop(ctx context.Context) (f *controlpb.Frame, ok bool) {
	for {
		q.mu.Lock()
		if len(q.frames) > 0 {
			f, q.frames = q.frames[0], q.frames[1:]
			q.mu.Unlock()
			return f, true
		}
		q.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, false
		case <-q.wake:
		}
	}
}
