// Package agent implements the process that runs beside each backend server.
//
// An agent receives callers' packets from balancers in Geneve frames. The package owner decides about each packet:
// the agent delivers the packets of the flows that it owns, meaning those served by its backend server, and forwards
// the others to the agents that may own them. Agents report their flows to each other in directory entries, which name
// the owner of a flow (package directory), so that a flow is found again after an agent restarts. Balancers send the
// agent table specs, which list the hosts of its service, and orders to drain, which means to accept no new flows
// (package balancers).
//
// Agent is the whole process, dataPath the part that handles packets.
package agent

import (
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/owner"
	"agateramp/internal/packet/datagram"
	"agateramp/internal/packet/geneve"
	"agateramp/internal/process/group"
	"agateramp/internal/process/logging"
	"agateramp/internal/process/metrics"
	"agateramp/internal/process/pause"
	"agateramp/internal/process/settings"
)

// dataPathConfig configures a dataPath.
type dataPathConfig struct {
	// settings are the checked settings of the process. It must be set.
	settings *settings.Agent
	// incarnation is the incarnation that this process reports to others; it grows with each start. If 0, the agent
	// does not adopt flows that it may have lost in a restart.
	incarnation uint64
	// controlPlane sends reports and acknowledgements to other processes. It must be set.
	controlPlane controlPlane
	// logger receives the log lines. It must be set.
	logger log.Logger
	// metrics counts packets. It must be set.
	metrics *metrics.Registry
	// group runs the goroutines that read the sockets. It must be set.
	group *group.Group
}

// newDataPath opens the sockets of an agent. No frame is read before start is called. The sockets are closed when the
// context of the group ends.
func newDataPath(c dataPathConfig) (d *dataPath, err error) {
	defer func() { err = errors.WithMessage(err, "open data path") }()
	d = &dataPath{controlPlane: c.controlPlane, metrics: c.metrics, limitedLog: logging.NewRateLimitedLogger(c.logger)}
	if d.pauseGuard, err = pause.New(pause.Config{Group: c.group}); err != nil {
		return nil, err
	}
	d.effectPool.New = func() any { return new([]owner.Effect) }
	d.endpoint, err = geneve.New(geneve.Config{
		Listen: c.settings.DataAddress, Workers: c.settings.Workers, Accept: c.controlPlane.acceptsPeer,
		Handler: d, OnDrop: d.recordDrop, Group: c.group,
	})
	if err != nil {
		return nil, err
	}
	backend := c.settings.Backend
	d.owner, err = owner.New(owner.Config{
		Self: d.endpoint.Address(), Slots: backend.Slots, Connections: backend.Connections,
		RepliesReported: backend.Mode == settings.ModeDatagram, Started: time.Now(), Incarnation: c.incarnation,
	})
	if err != nil {
		return nil, err
	}
	if d.backend, err = d.newBackendServer(c); err != nil {
		return nil, err
	}
	return d, nil
}

// newBackendServer returns the connection to the backend server for the mode in the settings.
func (d *dataPath) newBackendServer(c dataPathConfig) (b backendServer, err error) {
	backend := c.settings.Backend
	if backend.Mode == settings.ModeGeneve {
		return &tunnelBackend{device: backend.Address}, nil
	}
	server := newDatagramBackend()
	server.flows, err = datagram.NewFlowSockets(datagram.FlowSocketsConfig{
		Backend: backend.Address, Local: flowSocketAddress(backend.Address, c.settings.DataAddress), MaxFlows: backend.Connections,
		Handler: d, OnDrop: d.recordDrop, Group: c.group,
	})
	return server, err
}

// flowSocketAddress returns the local address of flow sockets: the address of the agent, which works because the
// backend server is on the same machine. If the address families differ, it returns the zero value, with which the
// system selects the address.
func flowSocketAddress(backend, agentAddress netip.AddrPort) (local netip.Addr) {
	if backend.Addr().Is4() == agentAddress.Addr().Is4() {
		return agentAddress.Addr()
	}
	return netip.Addr{}
}

// start starts the goroutines that read frames, and the ticks at which the owner.Owner checks its deadlines.
func (d *dataPath) start(g *group.Group) {
	d.endpoint.Start()
	g.Every("owner ticks", owner.TickInterval, func() { d.handleEvent(owner.Tick{}) })
}

// updateTable replaces the table spec of the agent's service.
func (d *dataPath) updateTable(spec *controlpb.TableSpec) {
	d.serviceID.Store(spec.GetServiceId())
	d.handleEvent(owner.SpecReceived{Spec: spec})
}
