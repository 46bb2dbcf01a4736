package agent

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/owner"
	"agateramp/internal/load/generator"
	"agateramp/internal/process/group"
	"agateramp/internal/process/metrics"
	"agateramp/internal/process/settings"
	"agateramp/internal/role/balancer"
	"agateramp/internal/standin/backend"
	"agateramp/internal/standin/fabric"
)

var (
	loopback       = netip.MustParseAddrPort("127.0.0.1:0")
	serviceAddress = netip.MustParseAddrPort("203.0.113.1:7000")
)

// directControlPlane passes reports straight to the data paths of the other agents of the test.
type directControlPlane struct {
	self         netip.AddrPort               // data address of the agent, set by newAgentDataPath
	all          map[netip.AddrPort]*dataPath // by data address, including self
	acceptFrames *atomic.Bool                 // whether frames are accepted, shared by the agents of a testbed
}

func (p *directControlPlane) sendReport(effect owner.Effect) {
	switch e := effect.(type) {
	case *owner.Report:
		p.all[e.To].handleEvent(owner.ReportReceived{Peer: p.self, Report: e.Report})
	case *owner.ReportAck:
		p.all[e.To].handleEvent(owner.ReportAcked{Peer: p.self, Sequence: e.Sequence})
	}
}

func (p *directControlPlane) acknowledgeTable(*owner.TableAck) {}

func (p *directControlPlane) acceptsPeer(netip.AddrPort) bool { return p.acceptFrames.Load() }

func (p *directControlPlane) returnAddress(preferred netip.AddrPort) netip.AddrPort { return preferred }

// testbed is a fabric, three balancers and four agents with their backend servers.
type testbed struct {
	fabric *fabric.Fabric
	// serviceEntry is the address at which the fabric receives the datagrams of callers.
	serviceEntry netip.AddrPort
	balancers    []*balancer.DataPath
}

// newTestbed starts all parts, with one table that lists the four agents.
func newTestbed(t *testing.T, tasks *group.Group) *testbed {
	t.Helper()
	f, err := fabric.New(fabric.Config{Seed: 1, Group: tasks})
	requireNoError(t, err)
	bed := &testbed{fabric: f}
	bed.serviceEntry, err = f.BindService(serviceAddress, loopback)
	requireNoError(t, err)
	for i := range 3 {
		bed.balancers = append(bed.balancers, newBalancerDataPath(t, tasks, f, fmt.Sprintf("balancer-%d", i)))
	}
	spec := &controlpb.TableSpec{ServiceId: 1, ConfigVersion: 1, Versions: []*controlpb.TableVersion{{Version: 1}}, Service: &controlpb.Service{
		Id: 1, Name: "studio", FirstPacket: controlpb.FirstPacket_FIRST_PACKET_ANY, QueueDeadlineMs: 1000,
		Addresses: []*controlpb.ServiceAddress{{Address: serviceAddress.String(), Protocol: 17}},
	}}
	all := make(map[netip.AddrPort]*dataPath)
	acceptFrames := new(atomic.Bool)
	for i := range 4 {
		d := newAgentDataPath(t, tasks, &directControlPlane{all: all, acceptFrames: acceptFrames}, i+1)
		all[d.endpoint.Address()] = d
		spec.Versions[0].Members = append(spec.Versions[0].Members, &controlpb.Member{
			Host: fmt.Sprintf("host-%d", i), Address: d.endpoint.Address().String(), Weight: uint32(1000 * (i + 1)), Incarnation: 1, Slots: 2,
		})
	}
	acceptFrames.Store(true)
	for _, d := range all {
		d.updateTable(spec)
		for peer := range all {
			if peer != d.endpoint.Address() {
				d.handleEvent(owner.PeerConnected{Peer: peer})
			}
		}
		d.start(tasks)
	}
	for _, b := range bed.balancers {
		_, err := b.Update(spec)
		requireNoError(t, err)
	}
	return bed
}

// newBalancerDataPath starts the data path of a balancer and adds it to the fabric.
func newBalancerDataPath(t *testing.T, tasks *group.Group, f *fabric.Fabric, name string) *balancer.DataPath {
	t.Helper()
	b, err := balancer.NewDataPath(balancer.DataPathConfig{
		Settings: &settings.Balancer{
			Common:        settings.Common{Name: name, DataAddress: loopback},
			DatagramBinds: []settings.DatagramBind{{ServiceAddress: serviceAddress, BindAddress: loopback}},
		},
		Logger: log.NewNopLogger(), Metrics: metrics.New(), Group: tasks,
	})
	requireNoError(t, err)
	f.Add(fabric.Balancer{Name: name, Data: b.Address(), Services: b.DatagramAddresses()})
	return b
}

// newAgentDataPath opens the data path of an agent beside a new backend server with a number of slots.
func newAgentDataPath(t *testing.T, tasks *group.Group, controlPlane *directControlPlane, slots int) *dataPath {
	t.Helper()
	s, err := backend.New(backend.Config{Name: fmt.Sprintf("host-%d", slots), Service: 1, Slots: slots, Group: tasks})
	requireNoError(t, err)
	address, err := s.ServeUDP(loopback)
	requireNoError(t, err)
	d, err := newDataPath(dataPathConfig{
		settings: &settings.Agent{
			Common:  settings.Common{DataAddress: loopback},
			Backend: settings.Backend{Mode: settings.ModeDatagram, Address: address, Slots: slots, Connections: 2000},
		},
		controlPlane: controlPlane, logger: log.NewNopLogger(), metrics: metrics.New(), group: tasks,
	})
	requireNoError(t, err)
	controlPlane.self = d.endpoint.Address()
	return d
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against broken flows after a balancer is removed: the packets of a flow then reach its owner through
// other balancers than before.
func TestFlowsSurviveRemovedBalancer(t *testing.T) {
	is := is.New(t)
	tasks := group.New(context.Background())
	t.Cleanup(func() {
		tasks.Stop()
		is.NoErr(tasks.Wait())
	})
	bed := newTestbed(t, tasks)
	transport, err := generator.NewDatagram(bed.serviceEntry)
	is.NoErr(err)
	g, err := generator.New(generator.Config{
		Transport: transport, Service: 1, Idempotent: true, Flows: 200, Concurrency: 50, Length: 10, IntervalMS: 10, Seed: 1,
	})
	is.NoErr(err)
	removal := time.AfterFunc(50*time.Millisecond, func() { bed.fabric.Remove("balancer-0") })
	defer removal.Stop()
	summary, err := g.Run(context.Background())
	is.NoErr(err)
	is.Equal(len(summary.Violations), 0)
	is.Equal(summary.FlowsBroken, 0)
	is.Equal(summary.FlowsOpened, 200)
}
