// Package system runs the roles together with stand-ins for the store, the
// fabric and the backend servers, in one process on loopback.
package system

import (
	"context"
	"io/fs"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/keyvalue/etcd"
	"agateramp/internal/load/history"
	"agateramp/internal/operator/config"
	"agateramp/internal/process/group"
	"agateramp/internal/process/metrics"
	"agateramp/internal/process/settings"
	"agateramp/internal/role/agent"
	"agateramp/internal/role/balancer"
	"agateramp/internal/standin/backend"
	"agateramp/internal/standin/etcdserver"
	"agateramp/internal/standin/fabric"
)

const (
	// milliweight is the weight of one slot, in thousandths.
	milliweight = 1000
	// pollInterval is how often a wait looks again.
	pollInterval = 20 * time.Millisecond
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// HostConfig describes a backend server with its agent.
type HostConfig struct {
	// Name is the name of the host. It must be set.
	Name string
	// Service is the name of its service. It must be set.
	Service string
	// DataCentre is the data centre of the host. It must be set.
	DataCentre string
	// Slots is how many requests run at once. It must be set.
	Slots int
	// Speed divides the work of a request, in thousandths. It must be set.
	Speed int
	// Address is the data address of the agent. Empty means any port on loopback.
	Address netip.AddrPort
}

// Config configures a System.
type Config struct {
	// Folder is the first configuration. It must be set.
	Folder fs.FS
	// Hosts are the backend servers with their agents. It must be set.
	Hosts []HostConfig
	// Balancers are the names of the balancers. It must be set.
	Balancers []string
	// DataCentres are where balancers stand, in turn. It must be set.
	DataCentres []string
	// Seed makes the choices of the fabric repeatable.
	Seed uint64
	// Logger takes the log lines of all roles. It must be set.
	Logger log.Logger
	// Group runs everything. It must be set.
	Group *group.Group
}

// System is a running system. Its methods are safe for concurrent use.
type System struct {
	config  Config
	history *history.History
	store   *etcd.Client
	address netip.AddrPort
	fabric  *fabric.Fabric
	geneve  *fabric.GenevePort

	mu        sync.Mutex
	balancers map[string]*runningBalancer
	hosts     map[string]*runningHost
	entries   map[string]Entry
	ordered   int
}

// Entry is how callers reach a service.
type Entry struct {
	ID uint32
	// Plain is the service address that balancers take as plain datagrams.
	Plain netip.AddrPort
	// Datagram is the fabric's UDP address for callers of Plain.
	Datagram netip.AddrPort
	// Tunnelled is the service address that is reached through Geneve. It is the
	// zero value if the service has only one address.
	Tunnelled netip.AddrPort
	// Refusal is the payload of a refusal.
	Refusal    []byte
	Idempotent bool
}

type runningBalancer struct {
	balancer *balancer.Balancer
	tasks    *group.Group
}

type runningHost struct {
	config  HostConfig
	server  *backend.Server
	address netip.AddrPort
	agent   *agent.Agent
	tasks   *group.Group
}

// New starts a system and returns when its first configuration is in force.
func New(ctx context.Context, c Config) (s *System, err error) {
	defer func() { err = errors.WithMessage(err, "start system") }()
	s = &System{
		config: c, history: history.New(), balancers: make(map[string]*runningBalancer),
		hosts: make(map[string]*runningHost), entries: make(map[string]Entry),
	}
	if err = s.startStore(); err != nil {
		return nil, err
	}
	if err = s.startFabric(); err != nil {
		return nil, err
	}
	version, err := s.Apply(ctx, c.Folder, "first configuration")
	if err != nil {
		return nil, err
	}
	if err = s.openServices(ctx); err != nil {
		return nil, err
	}
	for _, name := range c.Balancers {
		if err = s.AddBalancer(name); err != nil {
			return nil, err
		}
	}
	for _, host := range c.Hosts {
		if err = s.addHost(host); err != nil {
			return nil, err
		}
	}
	if err = s.WaitInForce(ctx, version); err != nil {
		return nil, err
	}
	return s, s.waitHosts(ctx)
}

func (s *System) startStore() (err error) {
	server, err := etcdserver.New(etcdserver.Config{})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return err
	}
	s.config.Group.Go("store", func(ctx context.Context) error { return server.Serve(ctx, listener) })
	s.address = listener.Addr().(*net.TCPAddr).AddrPort()
	s.store, err = etcd.New(etcd.Config{Endpoints: []string{s.address.String()}, UserAgent: "operator"})
	return err
}

func (s *System) startFabric() (err error) {
	s.fabric, err = fabric.New(fabric.Config{Seed: s.config.Seed, Group: s.config.Group})
	if err != nil {
		return err
	}
	s.geneve, err = s.fabric.ListenGeneve(loopback)
	return err
}

// openServices has the fabric take packets for every service: plain datagrams
// for its first address, Geneve for the second.
func (s *System) openServices(ctx context.Context) (err error) {
	snapshot, err := config.Load(ctx, s.store)
	if err != nil {
		return err
	}
	for _, state := range snapshot.Services() {
		if err = s.openService(state.Definition); err != nil {
			return errors.WithMessagef(err, "service %s", state.Definition.GetName())
		}
	}
	return nil
}

func (s *System) openService(d *controlpb.Service) (err error) {
	e := Entry{ID: d.GetId(), Refusal: d.GetRefusal(), Idempotent: d.GetIdempotent()}
	if e.Plain, err = netip.ParseAddrPort(d.GetAddresses()[0].GetAddress()); err != nil {
		return err
	}
	if e.Datagram, err = s.fabric.BindService(e.Plain, loopback); err != nil {
		return err
	}
	if len(d.GetAddresses()) > 1 {
		if e.Tunnelled, err = netip.ParseAddrPort(d.GetAddresses()[1].GetAddress()); err != nil {
			return err
		}
		s.geneve.Route(e.Tunnelled)
	}
	s.entries[d.GetName()] = e
	return nil
}

// Entry returns how callers reach a service.
func (s *System) Entry(service string) (entry Entry, ok bool) {
	entry, ok = s.entries[service]
	return entry, ok
}

// FabricAddress returns the Geneve address that takes packets of callers.
func (s *System) FabricAddress() netip.AddrPort { return s.geneve.Address() }

// StoreEndpoint returns the address of the store.
func (s *System) StoreEndpoint() netip.AddrPort { return s.address }

// Group returns the group that runs the system.
func (s *System) Group() *group.Group { return s.config.Group }

// History returns the record of backend servers and changes.
func (s *System) History() *history.History { return s.history }

// Fabric returns the fabric, to disturb packets.
func (s *System) Fabric() *fabric.Fabric { return s.fabric }

// AddBalancer starts a balancer and has the fabric use it.
func (s *System) AddBalancer(name string) (err error) {
	defer func() { err = errors.WithMessagef(err, "balancer %s", name) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	own := &settings.Balancer{
		Common:          s.common(name, s.config.DataCentres[s.ordered%len(s.config.DataCentres)], loopback),
		StoreEndpoints:  []netip.AddrPort{s.address},
		FabricAddresses: []netip.AddrPort{s.geneve.Address()},
	}
	s.ordered++
	for _, entry := range s.entries {
		own.DatagramBinds = append(own.DatagramBinds, settings.DatagramBind{ServiceAddress: entry.Plain, BindAddress: loopback})
	}
	client, err := etcd.New(etcd.Config{Endpoints: []string{s.address.String()}, UserAgent: name})
	if err != nil {
		return err
	}
	tasks := group.New(s.config.Group.Context())
	b, err := balancer.New(balancer.Config{Settings: own, Store: client, Logger: s.config.Logger, Metrics: metrics.New(), Group: tasks})
	if err != nil {
		tasks.Stop()
		return err
	}
	s.balancers[name] = &runningBalancer{balancer: b, tasks: tasks}
	s.fabric.Add(fabric.Balancer{Name: name, Data: b.DataAddress(), Services: b.DatagramAddresses()})
	s.mark(history.MarkBalancerUp, name, 0)
	return nil
}

// RemoveBalancer stops a balancer as planned.
func (s *System) RemoveBalancer(name string) (err error) {
	return s.removeBalancer(name, true)
}

// KillBalancer ends a balancer without warning.
func (s *System) KillBalancer(name string) (err error) {
	return s.removeBalancer(name, false)
}

func (s *System) removeBalancer(name string, planned bool) (err error) {
	s.mu.Lock()
	running := s.balancers[name]
	delete(s.balancers, name)
	s.mu.Unlock()
	if running == nil {
		return errors.Errorf("there is no balancer %q", name)
	}
	if planned {
		s.fabric.Remove(name)
		running.balancer.Leave()
	}
	running.tasks.Stop()
	s.fabric.Remove(name)
	s.mark(history.MarkBalancerDown, name, 0)
	return errors.WithMessagef(running.tasks.Wait(), "balancer %s", name)
}

func (s *System) common(name, dataCentre string, address netip.AddrPort) settings.Common {
	return settings.Common{
		Name: name, DataCentre: dataCentre, DataAddress: address, ControlAddress: loopback, HTTPAddress: loopback, Workers: 1,
	}
}

func (s *System) mark(kind history.MarkKind, name string, version uint64) {
	s.history.Mark(history.Mark{Kind: kind, Name: name, Version: version, At: time.Now()})
}
