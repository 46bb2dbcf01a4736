// Package balancer is the role that takes callers' packets from the fabric and
// forwards them to agents.
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
	// Logger takes log lines. It must be set.
	Logger log.Logger
	// Metrics counts packets. It must be set.
	Metrics *metrics.Registry
	// Group runs the readers. It must be set.
	Group *group.Group
}

// DataPath takes, decides on and forwards packets. It holds nothing that must
// outlive the process.
type DataPath struct {
	forwarder *forwarder
}

// NewDataPath opens the sockets of a balancer.
func NewDataPath(c DataPathConfig) (d *DataPath, err error) {
	defer func() { err = errors.WithMessage(err, "open data path") }()
	f := &forwarder{metrics: c.Metrics, limited: logging.NewLimited(c.Logger), fabrics: make(map[netip.AddrPort]struct{}), datagrams: make(map[netip.AddrPort]struct{}), alive: make(map[netip.AddrPort]struct{})}
	f.scratches.New = func() any { return new(workspace) }
	f.agents.Store(&map[netip.AddrPort]struct{}{})
	for _, address := range c.Settings.FabricAddresses {
		f.fabrics[address] = struct{}{}
	}
	if len(c.Settings.FabricAddresses) > 0 {
		f.fabric = c.Settings.FabricAddresses[0]
	}
	if f.pause, err = pause.New(pause.Config{Group: c.Group}); err != nil {
		return nil, err
	}
	f.port, err = geneve.New(geneve.Config{
		Listen: c.Settings.DataAddress, Workers: c.Settings.Workers, Accept: f.accept, Handler: f, OnDrop: f.dropped, Group: c.Group,
	})
	if err != nil {
		return nil, err
	}
	if f.router, err = router.New(router.Config{Self: f.port.Address()}); err != nil {
		return nil, err
	}
	if err = f.bind(c); err != nil {
		return nil, err
	}
	f.port.Start()
	return &DataPath{forwarder: f}, nil
}

func (f *forwarder) bind(c DataPathConfig) (err error) {
	f.services, err = datagram.NewServiceSockets(datagram.ServiceSocketsConfig{
		Workers: c.Settings.Workers, Handler: f, OnDrop: f.dropped, Group: c.Group,
	})
	if err != nil {
		return err
	}
	for _, bind := range c.Settings.DatagramBinds {
		if _, err = f.services.Bind(bind.ServiceAddress, bind.BindAddress); err != nil {
			return err
		}
		f.datagrams[bind.ServiceAddress] = struct{}{}
	}
	return nil
}

// Address returns the address for tunnelled packets.
func (d *DataPath) Address() netip.AddrPort { return d.forwarder.port.Address() }

// DatagramAddresses returns the local address of each service address taken as plain UDP.
func (d *DataPath) DatagramAddresses() map[netip.AddrPort]netip.AddrPort {
	return d.forwarder.services.LocalAddresses()
}

// Update takes a table spec into use. A spec older than the one in use is
// ignored and reported as false.
func (d *DataPath) Update(spec *controlpb.TableSpec) (applied bool, err error) {
	return d.forwarder.update(spec)
}

// Remove forgets a service that the configuration no longer has.
func (d *DataPath) Remove(id uint32) { d.forwarder.router.Remove(id) }

// SetSuspected marks the agent at an address as dead, or as alive again.
func (d *DataPath) SetSuspected(address netip.AddrPort, suspected bool) {
	d.forwarder.suspect(address, suspected)
}

// Versions returns the newest table version and config version of each service.
func (d *DataPath) Versions() []*controlpb.Ack { return d.forwarder.router.Versions() }
