// Package balancer implements the process that receives callers' packets and forwards them to agents.
//
// Packets arrive in Geneve frames from the fabric, the network in front of the balancers, or as plain UDP datagrams on
// service addresses that the settings bind to a local address. The package router decides which agent a packet goes
// to. Replies, refusals and resets of agents leave to the caller the same way. Table specs and the liveness of agents
// arrive over the control streams of package agents. Configurations come from the key-value store, and so do the leases
// on shards: the services are split into shards, and the balancer that holds a shard publishes the table specs of its
// services (package shard).
//
// Balancer is the whole process, DataPath the part that handles packets.
package balancer

import (
	"net/netip"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/router"
	"agateramp/internal/packet/datagram"
	"agateramp/internal/packet/geneve"
	"agateramp/internal/process/group"
	"agateramp/internal/process/logging"
	"agateramp/internal/process/metrics"
	"agateramp/internal/process/pause"
	"agateramp/internal/process/settings"
)

// DataPathConfig configures a DataPath.
type DataPathConfig struct {
	// Settings are the checked settings of the process. It must be set.
	Settings *settings.Balancer
	// Logger receives the log lines. It must be set.
	Logger log.Logger
	// Metrics counts packets. It must be set.
	Metrics *metrics.Registry
	// Group runs the goroutines that read the sockets. It must be set.
	Group *group.Group
}

// DataPath receives and forwards packets. It holds no state that must outlive the process. Its methods are safe for
// concurrent use.
type DataPath struct {
	forwarder *forwarder
}

// NewDataPath opens the sockets of a balancer and starts to read packets. The sockets are closed when the context of
// the group ends.
func NewDataPath(c DataPathConfig) (d *DataPath, err error) {
	defer func() { err = errors.WithMessage(err, "open data path") }()
	f := &forwarder{metrics: c.Metrics, limitedLog: logging.NewRateLimitedLogger(c.Logger), fabricAddresses: make(map[netip.AddrPort]struct{}), datagramServices: make(map[netip.AddrPort]struct{}), liveAgents: make(map[netip.AddrPort]struct{})}
	f.workspaces.New = func() any { return new(workspace) }
	f.acceptedAgents.Store(&map[netip.AddrPort]struct{}{})
	for _, address := range c.Settings.FabricAddresses {
		f.fabricAddresses[address] = struct{}{}
	}
	if len(c.Settings.FabricAddresses) > 0 {
		f.fabricEgress = c.Settings.FabricAddresses[0]
	}
	if f.pauseGuard, err = pause.New(pause.Config{Group: c.Group}); err != nil {
		return nil, err
	}
	f.endpoint, err = geneve.New(geneve.Config{
		Listen: c.Settings.DataAddress, Workers: c.Settings.Workers, Accept: f.acceptsPeer, Handler: f, OnDrop: f.recordDrop, Group: c.Group,
	})
	if err != nil {
		return nil, err
	}
	if f.router, err = router.New(router.Config{Self: f.endpoint.Address()}); err != nil {
		return nil, err
	}
	if err = f.bindServiceAddresses(c); err != nil {
		return nil, err
	}
	f.endpoint.Start()
	return &DataPath{forwarder: f}, nil
}

// bindServiceAddresses binds the service addresses that the settings list as plain UDP.
func (f *forwarder) bindServiceAddresses(c DataPathConfig) (err error) {
	f.sockets, err = datagram.NewServiceSockets(datagram.ServiceSocketsConfig{
		Workers: c.Settings.Workers, Handler: f, OnDrop: f.recordDrop, Group: c.Group,
	})
	if err != nil {
		return err
	}
	for _, bind := range c.Settings.DatagramBinds {
		if _, err = f.sockets.Bind(bind.ServiceAddress, bind.BindAddress); err != nil {
			return err
		}
		f.datagramServices[bind.ServiceAddress] = struct{}{}
	}
	return nil
}

// Address returns the UDP address for Geneve frames.
func (d *DataPath) Address() netip.AddrPort { return d.forwarder.endpoint.Address() }

// DatagramAddresses returns the local address of each service address that receives plain UDP datagrams.
func (d *DataPath) DatagramAddresses() map[netip.AddrPort]netip.AddrPort {
	return d.forwarder.sockets.LocalAddresses()
}

// Update replaces the table of a service by that of a table spec. A spec that is not newer than the one in use is
// ignored, and applied is false.
func (d *DataPath) Update(spec *controlpb.TableSpec) (applied bool, err error) {
	return d.forwarder.update(spec)
}

// Remove deletes the table of a service that the configuration no longer has.
func (d *DataPath) Remove(id uint32) { d.forwarder.router.Remove(id) }

// SetSuspected marks the agent at a data address as suspected to be dead, or as alive. Frames of an agent that is
// marked alive are accepted even before a table lists it.
func (d *DataPath) SetSuspected(address netip.AddrPort, suspected bool) {
	d.forwarder.setSuspected(address, suspected)
}

// Versions returns the newest table version and configuration version of each service.
func (d *DataPath) Versions() []*controlpb.Ack { return d.forwarder.router.Versions() }
