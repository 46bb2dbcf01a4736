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
	// checkLoadDuration is the time during which flows are opened.
	checkLoadDuration = 6 * time.Second
	// checkTimeout limits the whole check, from the end of the start-up.
	checkTimeout = 10 * time.Second
	// checkStepInterval is the time between the planned changes.
	checkStepInterval = time.Second
)

// Load of each generator of the check. At these rates the hosts are about half busy.
const (
	checkFlowsPerSecond  = 40
	checkRequestsPerFlow = 20
	checkIntervalMS      = 50
	checkWorkMicros      = 5000
	checkBodyBytes       = 200
)

// checkSummary is the JSON object that dev --check prints as its last line.
type checkSummary struct {
	history.Summary
	Changes []string `json:"changes"`
	Passed  bool     `json:"passed"`
}

// runDevCheck sends load while planned changes are made. It fails if a planned change
// fails, if a flow broke or failed, or if an invariant was violated.
func runDevCheck(env *environment, s *system.System, folder string, seed uint64) (err error) {
	defer func() { err = errors.WithMessage(err, "dev --check") }()
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	generators, err := newGenerators(s, seed)
	if err != nil {
		return err
	}
	tasks := group.New(ctx)
	for name, g := range generators {
		tasks.Go(name, func(ctx context.Context) error {
			_, err := g.Run(ctx)
			return err
		})
	}
	summary := checkSummary{}
	tasks.Go("planned changes", func(ctx context.Context) (err error) {
		summary.Changes, err = applyPlannedChanges(ctx, s, folder)
		return err
	})
	if err = tasks.Wait(); err != nil {
		return err
	}
	return printCheckSummary(env, s, generators, summary)
}

// newGenerators returns a generator that sends datagrams for each service and one
// that sends through Geneve for the first service.
func newGenerators(s *system.System, seed uint64) (generators map[string]*generator.Generator, err error) {
	generators = make(map[string]*generator.Generator)
	until := time.Now().Add(checkLoadDuration)
	for i, name := range []string{"studio", "archive"} {
		entry, ok := s.Entry(name)
		if !ok {
			return nil, errors.Errorf("the configuration has no service %q", name)
		}
		transport, err := generator.NewDatagram(entry.Datagram)
		if err != nil {
			return nil, err
		}
		if generators[name], err = newGenerator(s, entry, transport, until, seed+uint64(i)); err != nil {
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
	generators["studio over geneve"], err = newGenerator(s, entry, transport, until, seed+uint64(len(generators)))
	return generators, err
}

func newGenerator(s *system.System, entry system.Entry, t generator.Transport, until time.Time, seed uint64) (*generator.Generator, error) {
	return generator.New(generator.Config{
		Transport: t, History: s.History(), Service: entry.ID, Idempotent: entry.Idempotent, Until: until,
		Rate: checkFlowsPerSecond, Length: checkRequestsPerFlow, IntervalMS: checkIntervalMS, WorkMicros: checkWorkMicros,
		BodySize: checkBodyBytes, Refusal: entry.Refusal, Seed: seed,
	})
}

// applyPlannedChanges replaces a balancer, drains a host and edits a weight.
func applyPlannedChanges(ctx context.Context, s *system.System, folder string) (changes []string, err error) {
	steps := []struct {
		name  string
		apply func() error
	}{
		{"balancer-4 added", func() error { return s.AddBalancer("balancer-4") }},
		{"balancer-1 removed", func() error { return s.RemoveBalancer("balancer-1") }},
		{"studio-1 drained", func() error {
			return applyFile(ctx, s, folder, "50-drain.json", `{"hosts": {"studio-1": {"service": "studio", "drain": true}}}`)
		}},
		{"weight of archive-1 edited", func() error {
			return applyFile(ctx, s, folder, "60-weight.json", `{"hosts": {"archive-1": {"service": "archive", "weight": 500}}}`)
		}},
	}
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return changes, ctx.Err()
		case <-time.After(checkStepInterval):
		}
		if err = step.apply(); err != nil {
			return changes, errors.WithMessage(err, step.name)
		}
		changes = append(changes, step.name)
	}
	return changes, nil
}

// applyFile adds a file to the folder, applies the folder and waits until the new version is in force.
func applyFile(ctx context.Context, s *system.System, folder, file, text string) error {
	if err := os.WriteFile(filepath.Join(folder, file), []byte(text), fileMode); err != nil {
		return errors.WithStack(err)
	}
	version, err := s.Apply(ctx, os.DirFS(folder), file)
	if err != nil {
		return err
	}
	return s.WaitInForce(ctx, version)
}

// printCheckSummary prints the summary of all generators. It fails if a flow broke
// or failed, or if an invariant was violated.
func printCheckSummary(env *environment, s *system.System, generators map[string]*generator.Generator, summary checkSummary) (err error) {
	s.History().Close(time.Now())
	latency := generators["studio"].Latency()
	for name, g := range generators {
		if name != "studio" {
			latency.Merge(g.Latency())
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
		return errors.New("a flow broke or failed, or an invariant was violated")
	}
	return nil
}
