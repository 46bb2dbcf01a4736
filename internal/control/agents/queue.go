package agents

import (
	"context"
	"sync"

	"agateramp/internal/control/controlpb"
)

// queue holds frames for the shards of this balancer. It is not bounded by
// itself: the agents attached here send a few frames a second each.
type queue struct {
	mu     sync.Mutex
	frames []*controlpb.Frame
	wake   chan struct{}
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1)} }

func (q *queue) push(f *controlpb.Frame) {
	q.mu.Lock()
	q.frames = append(q.frames, f)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// next waits for a frame. It reports false when ctx ended.
func (q *queue) next(ctx context.Context) (f *controlpb.Frame, ok bool) {
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
