// Package group starts the goroutines of a process, cancels them together and waits for
// them to end.
package group

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Group runs tasks, each in a goroutine. The first error cancels the other tasks.
type Group struct {
	tasks *errgroup.Group
	ctx   context.Context
	stop  context.CancelFunc
}

// New returns a group whose tasks are cancelled when ctx ends.
func New(ctx context.Context) *Group {
	ctx, stop := context.WithCancel(ctx)
	tasks, ctx := errgroup.WithContext(ctx)
	return &Group{tasks: tasks, ctx: ctx, stop: stop}
}

// Go starts a task. Its error is prefixed with name.
func (g *Group) Go(name string, task func(ctx context.Context) error) {
	g.tasks.Go(func() error {
		return errors.WithMessage(task(g.ctx), name)
	})
}

// Every starts a task that calls do at an interval until the group is stopped. The first
// call is one interval after the start.
func (g *Group) Every(name string, interval time.Duration, do func()) {
	g.Go(name, func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				do()
			}
		}
	})
}

// Context returns the context that is passed to tasks.
func (g *Group) Context() context.Context { return g.ctx }

// Stop cancels every task. It does not wait.
func (g *Group) Stop() { g.stop() }

// Wait blocks until every task has ended and returns the first error, or nil if that is
// context.Canceled.
func (g *Group) Wait() error {
	err := g.tasks.Wait()
	g.stop()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
