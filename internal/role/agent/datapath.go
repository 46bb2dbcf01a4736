// Package agent is the role beside a backend server: it owns the flows of that
// server and passes on the packets of others.
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
	// incarnation is the one that this process announces. It must be set.
	incarnation uint64
	// peers reaches other processes. It must be set.
	peers peers
	// logger takes log lines. It must be set.
	logger log.Logger
	// metrics counts packets. It must be set.
	metrics *metrics.Registry
	// group runs the readers. It must be set.
	group *group.Group
}

// newDispatcher opens the sockets of an agent. Frames are read after start.
func newDispatcher(c dataPathConfig) (d *dispatcher, err error) {
	defer func() { err = errors.WithMessage(err, "open data path") }()
	d = &dispatcher{peers: c.peers, metrics: c.metrics, limited: logging.NewLimited(c.logger)}
	if d.pause, err = pause.New(pause.Config{Group: c.group}); err != nil {
		return nil, err
	}
	d.effects.New = func() any { return new([]owner.Effect) }
	d.port, err = geneve.New(geneve.Config{
		Listen: c.settings.DataAddress, Workers: c.settings.Workers, Accept: c.peers.accepts,
		Handler: d, OnDrop: d.dropped, Group: c.group,
	})
	if err != nil {
		return nil, err
	}
	backend := c.settings.Backend
	d.owner, err = owner.New(owner.Config{
		Self: d.port.Address(), Slots: backend.Slots, Connections: backend.Connections,
		RepliesReported: backend.Mode == settings.ModeDatagram, Started: time.Now(), Incarnation: c.incarnation,
	})
	if err != nil {
		return nil, err
	}
	if d.server, err = d.newServer(c); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *dispatcher) newServer(c dataPathConfig) (s server, err error) {
	backend := c.settings.Backend
	if backend.Mode == settings.ModeGeneve {
		return &tunnelServer{device: backend.Address}, nil
	}
	ds := newDatagramServer()
	ds.flows, err = datagram.NewFlowSockets(datagram.FlowSocketsConfig{
		Backend: backend.Address, Local: localFor(backend.Address, c.settings.DataAddress), MaxFlows: backend.Connections,
		Handler: d, OnDrop: d.dropped, Group: c.group,
	})
	return ds, err
}

// localFor returns the address of flow sockets: that of the agent if the
// backend server is on the same machine.
func localFor(backend, own netip.AddrPort) (local netip.Addr) {
	if backend.Addr().Is4() == own.Addr().Is4() {
		return own.Addr()
	}
	return netip.Addr{}
}

// start begins to read frames and to let deadlines pass.
func (d *dispatcher) start(g *group.Group) {
	d.port.Start()
	g.Every("owner ticks", owner.TickInterval, func() { d.event(owner.Tick{}) })
}

// update takes a table spec of the agent's service.
func (d *dispatcher) update(spec *controlpb.TableSpec) {
	d.serviceID.Store(spec.GetServiceId())
	d.event(owner.SpecReceived{Spec: spec})
}
