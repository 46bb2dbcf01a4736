// Package group starts the goroutines of a process and waits for them.
package group

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Group runs tasks until all have ended. The first error cancels the rest.
type Group struct {
	tasks *errgroup.Group
	ctx   context.Context
	stop  context.CancelFunc
}

// New returns a group whose tasks are cancelled with ctx.
func New(ctx context.Context) *Group {
	ctx, stop := context.WithCancel(ctx)
	tasks, ctx := errgroup.WithContext(ctx)
	return &Group{tasks: tasks, ctx: ctx, stop: stop}
}

// Go starts a task. The name is added to the task's error.
func (g *Group) Go(name string, task func(ctx context.Context) error) {
	g.tasks.Go(func() error {
		return errors.WithMessage(task(g.ctx), name)
	})
}

// Every starts a task that calls do at an interval.
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

// Context returns the context that tasks get.
func (g *Group) Context() context.Context { return g.ctx }

// Stop cancels every task.
func (g *Group) Stop() { g.stop() }

// Wait waits for every task and returns the first error. The error of a
// cancelled context is not reported.
func (g *Group) Wait() error {
	err := g.tasks.Wait()
	g.stop()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
