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

// Guards against the drain of an operator that is ended by a balancer with an
// old table spec, as after a restart during an outage of the store.
func TestOperatorDrainOutlivesOldSpecs(t *testing.T) {
	const spec, operator = "", "change-1"
	draining := &controlpb.TableSpec{ServiceId: 1, Versions: []*controlpb.TableVersion{{Members: []*controlpb.Member{{Host: "host-1", Draining: true}}}}}
	tests := []struct {
		name string
		do   func(a *Agent)
		want bool
	}{
		{"old spec", func(a *Agent) { a.orderDrain(true, operator); a.orderDrain(false, spec) }, true},
		{"operator ends it", func(a *Agent) { a.orderDrain(true, operator); a.orderDrain(false, operator) }, false},
		{"configuration ends its own", func(a *Agent) { a.orderDrain(true, spec); a.orderDrain(false, spec) }, false},
		{"configuration took it over", func(a *Agent) {
			a.orderDrain(true, operator)
			a.noteSpec(draining)
			a.orderDrain(false, spec)
		}, false},
		{"planned stop", func(a *Agent) { a.orderDrain(true, ownChange); a.orderDrain(false, spec) }, true},
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
				dispatcher: newAgent(t, tasks, &directPeers{ready: new(atomic.Bool)}, 1),
			}
			test.do(a)
			is.Equal(a.draining.Load(), test.want)
		})
	}
}
