package agent

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/process/group"
	"agateramp/internal/process/settings"
)

// Guards against a drain ordered by an operator that ends too early: a balancer that restarts while the store
// is down still has an old table spec, which does not show the drain, and orders the agent to end it.
func TestOperatorDrainOutlivesOldSpecs(t *testing.T) {
	const fromSpec, fromOperator = "", "change-1" // change ids of drain orders
	draining := &controlpb.TableSpec{ServiceId: 1, Versions: []*controlpb.TableVersion{{Members: []*controlpb.Member{{Host: "host-1", Draining: true}}}}}
	tests := []struct {
		name string
		run  func(a *Agent)
		want bool // whether the agent drains after run
	}{
		{"old spec", func(a *Agent) { a.applyDrainOrder(true, fromOperator); a.applyDrainOrder(false, fromSpec) }, true},
		{"operator ends the drain", func(a *Agent) { a.applyDrainOrder(true, fromOperator); a.applyDrainOrder(false, fromOperator) }, false},
		{"configuration ends its own drain", func(a *Agent) { a.applyDrainOrder(true, fromSpec); a.applyDrainOrder(false, fromSpec) }, false},
		{"spec shows the drain before the configuration ends it", func(a *Agent) {
			a.applyDrainOrder(true, fromOperator)
			a.storeSpec(draining)
			a.applyDrainOrder(false, fromSpec)
		}, false},
		{"planned stop", func(a *Agent) { a.applyDrainOrder(true, plannedStopChangeID); a.applyDrainOrder(false, fromSpec) }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			tasks := group.New(context.Background())
			t.Cleanup(func() {
				tasks.Stop()
				is.NoErr(tasks.Wait())
			})
			a := &Agent{
				settings: &settings.Agent{Common: settings.Common{Name: "host-1"}}, logger: log.NewNopLogger(),
				dataPath: newAgentDataPath(t, tasks, &directControlPlane{acceptFrames: new(atomic.Bool)}, 1),
			}
			test.run(a)
			is.Equal(a.draining.Load(), test.want)
		})
	}
}
