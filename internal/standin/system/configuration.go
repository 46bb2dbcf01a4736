package system

import (
	"context"
	"crypto/rand"
	"io/fs"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/load/history"
	"agateramp/internal/operator/adminpb"
	"agateramp/internal/operator/config"
)

// Apply applies a configuration folder and returns its version.
func (s *System) Apply(ctx context.Context, folder fs.FS, reason string) (version uint64, err error) {
	defer func() { err = errors.WithMessage(err, "apply configuration") }()
	source, err := config.ReadFolder(folder)
	if err != nil {
		return 0, err
	}
	result, err := config.Apply(ctx, s.store, config.Change{
		ID: rand.Text(), Who: "system", From: "localhost", Reason: reason, Source: source,
	})
	if err != nil {
		return 0, err
	}
	if !result.Unchanged {
		s.mark(history.MarkAccepted, "", result.Version)
	}
	return result.Version, nil
}

// WaitInForce waits until a configuration version is in force on every balancer.
func (s *System) WaitInForce(ctx context.Context, version uint64) (err error) {
	marked := make(map[string]bool)
	return s.wait(ctx, "configuration in force", func() bool {
		all := true
		for name, running := range s.running() {
			if running.balancer.ConfigVersionInForce() < version {
				all = false
				continue
			}
			if !marked[name] {
				marked[name] = true
				s.mark(history.MarkInForce, name, version)
			}
		}
		return all
	})
}

// waitHosts waits until every balancer has every host in its tables and no
// agent is recovering.
func (s *System) waitHosts(ctx context.Context) (err error) {
	return s.wait(ctx, "hosts in the tables", func() bool {
		for _, running := range s.running() {
			hosts := 0
			for _, service := range running.balancer.Status().GetServices() {
				hosts += int(service.GetHosts())
			}
			if hosts < len(s.config.Hosts) {
				return false
			}
		}
		for _, c := range s.config.Hosts {
			if h, err := s.host(c.Name); err != nil || !h.agent.Status().GetReady() {
				return false
			}
		}
		return true
	})
}

func (s *System) wait(ctx context.Context, what string, done func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.WithMessagef(ctx.Err(), "wait for %s", what)
		case <-ticker.C:
		}
	}
	return nil
}

func (s *System) running() map[string]*runningBalancer {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := make(map[string]*runningBalancer, len(s.balancers))
	for name, b := range s.balancers {
		running[name] = b
	}
	return running
}

// Status returns what every process says of itself.
func (s *System) Status() (statuses []*adminpb.StatusResponse) {
	for _, running := range s.running() {
		statuses = append(statuses, running.balancer.Status())
	}
	for _, c := range s.config.Hosts {
		if h, err := s.host(c.Name); err == nil {
			statuses = append(statuses, h.agent.Status())
		}
	}
	return statuses
}
