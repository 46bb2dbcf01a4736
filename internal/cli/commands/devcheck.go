package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/load/generator"
	"agateramp/internal/load/history"
	"agateramp/internal/process/group"
	"agateramp/internal/standin/system"
)

const (
	// checkLoadTime is how long flows are opened.
	checkLoadTime = 6 * time.Second
	// checkTimeout bounds the whole check after the start.
	checkTimeout = 10 * time.Second
	// checkStep is the time between the planned changes.
	checkStep = time.Second
)

// Load of the check. At these rates the hosts are about half busy.
const (
	checkRate       = 40
	checkLength     = 20
	checkIntervalMS = 50
	checkWorkMicros = 5000
	checkBody       = 200
)

// checkSummary is the last line of dev --check.
type checkSummary struct {
	history.Summary
	Changes []string `json:"changes"`
	Passed  bool     `json:"passed"`
}

// runDevCheck runs load during planned changes. It fails if an invariant was
// violated or a flow broke.
func runDevCheck(env *environment, s *system.System, folder string, seed uint64) (err error) {
	defer func() { err = errors.WithMessage(err, "dev --check") }()
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	loads, err := checkLoads(s, seed)
	if err != nil {
		return err
	}
	tasks := group.New(ctx)
	for name, load := range loads {
		tasks.Go(name, func(ctx context.Context) error {
			_, err := load.Run(ctx)
			return err
		})
	}
	summary := checkSummary{}
	tasks.Go("planned changes", func(ctx context.Context) (err error) {
		summary.Changes, err = plannedChanges(ctx, s, folder)
		return err
	})
	if err = tasks.Wait(); err != nil {
		return err
	}
	return reportCheck(env, s, loads, summary)
}

// checkLoads returns a generator over datagrams for each service and one over
// Geneve for the first.
func checkLoads(s *system.System, seed uint64) (loads map[string]*generator.Generator, err error) {
	loads = make(map[string]*generator.Generator)
	until := time.Now().Add(checkLoadTime)
	for i, name := range []string{"studio", "archive"} {
		entry, ok := s.Entry(name)
		if !ok {
			return nil, errors.Errorf("the configuration has no service %q", name)
		}
		transport, err := generator.NewDatagram(entry.Datagram)
		if err != nil {
			return nil, err
		}
		if loads[name], err = checkLoad(s, entry, transport, until, seed+uint64(i)); err != nil {
			return nil, err
		}
	}
	entry, _ := s.Entry("studio")
	transport, err := generator.NewGeneve(generator.GeneveConfig{
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Fabric: s.FabricAddress(), Service: entry.Tunnelled,
		Caller: netip.MustParseAddr("198.51.100.1"), Group: s.Group(),
	})
	if err != nil {
		return nil, err
	}
	loads["studio over geneve"], err = checkLoad(s, entry, transport, until, seed+uint64(len(loads)))
	return loads, err
}

func checkLoad(s *system.System, entry system.Entry, t generator.Transport, until time.Time, seed uint64) (*generator.Generator, error) {
	return generator.New(generator.Config{
		Transport: t, History: s.History(), Service: entry.ID, Idempotent: entry.Idempotent, Until: until,
		Rate: checkRate, Length: checkLength, IntervalMS: checkIntervalMS, WorkMicros: checkWorkMicros,
		BodySize: checkBody, Refusal: entry.Refusal, Seed: seed,
	})
}

// plannedChanges replaces a balancer, drains a host and edits a weight.
func plannedChanges(ctx context.Context, s *system.System, folder string) (changes []string, err error) {
	steps := []struct {
		name string
		do   func() error
	}{
		{"balancer-4 added", func() error { return s.AddBalancer("balancer-4") }},
		{"balancer-1 removed", func() error { return s.RemoveBalancer("balancer-1") }},
		{"studio-1 drained", func() error {
			return change(ctx, s, folder, "50-drain.json", `{"hosts": {"studio-1": {"service": "studio", "drain": true}}}`)
		}},
		{"weight of archive-1 edited", func() error {
			return change(ctx, s, folder, "60-weight.json", `{"hosts": {"archive-1": {"service": "archive", "weight": 500}}}`)
		}},
	}
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return changes, ctx.Err()
		case <-time.After(checkStep):
		}
		if err = step.do(); err != nil {
			return changes, errors.WithMessage(err, step.name)
		}
		changes = append(changes, step.name)
	}
	return changes, nil
}

// change adds a file to the folder, applies it and waits until it is in force.
func change(ctx context.Context, s *system.System, folder, file, text string) error {
	if err := os.WriteFile(filepath.Join(folder, file), []byte(text), fileMode); err != nil {
		return errors.WithStack(err)
	}
	version, err := s.Apply(ctx, os.DirFS(folder), file)
	if err != nil {
		return err
	}
	return s.WaitInForce(ctx, version)
}

func reportCheck(env *environment, s *system.System, loads map[string]*generator.Generator, summary checkSummary) (err error) {
	s.History().Close(time.Now())
	latency := loads["studio"].Latency()
	for name, load := range loads {
		if name != "studio" {
			latency.Merge(load.Latency())
		}
	}
	summary.Summary = history.Summarize(s.History(), latency)
	summary.Passed = len(summary.Violations) == 0 && summary.FlowsBroken == 0 && summary.FlowsFailed == 0
	line, err := json.Marshal(summary)
	if err != nil {
		return errors.WithStack(err)
	}
	if _, err = fmt.Fprintf(env.stdout, "%s\n", line); err != nil {
		return err
	}
	if !summary.Passed {
		return errors.New("a flow broke or an invariant was violated")
	}
	return nil
}
