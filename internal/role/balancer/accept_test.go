package balancer

import (
	"context"
	"net/netip"
	"testing"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/process/group"
	"agateramp/internal/process/metrics"
	"agateramp/internal/process/settings"
)

// Guards against dropped replies of a new host: its agent may send through this balancer, by a table that another
// balancer received first, before this balancer has a table that lists the host.
func TestFramesOfLiveAgentsAreAccepted(t *testing.T) {
	is := is.New(t)
	tasks := group.New(context.Background())
	t.Cleanup(func() {
		tasks.Stop()
		is.NoErr(tasks.Wait())
	})
	fabric, agent := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	d, err := NewDataPath(DataPathConfig{
		Settings: &settings.Balancer{
			Common:          settings.Common{DataAddress: netip.MustParseAddrPort("127.0.0.1:0")},
			FabricAddresses: []netip.AddrPort{fabric},
		},
		Logger: log.NewNopLogger(), Metrics: metrics.New(), Group: tasks,
	})
	is.NoErr(err)
	is.True(d.forwarder.acceptsPeer(fabric))
	is.True(!d.forwarder.acceptsPeer(agent))
	d.SetSuspected(agent, false)
	is.True(d.forwarder.acceptsPeer(agent))
	d.SetSuspected(agent, true)
	is.True(!d.forwarder.acceptsPeer(agent))
	_, err = d.Update(&controlpb.TableSpec{
		ServiceId: 1, Service: &controlpb.Service{Id: 1, Addresses: []*controlpb.ServiceAddress{{Address: "203.0.113.1:1", Protocol: 17}}},
		Versions: []*controlpb.TableVersion{{Version: 1, Members: []*controlpb.Member{{Host: "h", Address: agent.String(), Weight: 1000}}}},
	})
	is.NoErr(err)
	is.True(d.forwarder.acceptsPeer(agent))
}
