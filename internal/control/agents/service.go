// Package agents is the balancer's side of the control streams, over which balancers and agents
// exchange specs, reports and orders.
//
// The services are split into shards. Each shard is held by one balancer at a time, which writes the
// table specs of the services in the shard to the store. A table spec lists the members of a
// service, which are its hosts with their addresses and weights; the routing table of the service is
// built from it. A Service of this package accepts the streams of agents, forwards their member
// reports, heartbeats and acknowledgements to the holders of the shards, follows the table specs in
// the store, and sends them to the agents.
//
// The package needs the key-value store and a data path that implements Tables. Package shard
// contends for the shards and decides what their specs contain, package peer carries the streams,
// and package balancers is the agent's side.
package agents

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/control/peer"
	"agateramp/internal/keyvalue/shard"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
)

// Tables is the routing state of the data path, to which a Service applies specs and
// suspicions. It is implemented on top of router.Router. Its methods are called with the mutex of
// the Service held, so they must not block or call back.
type Tables interface {
	// Update applies a spec and reports whether it was newer than the one in use.
	Update(spec *controlpb.TableSpec) (applied bool, err error)
	// Remove deletes the table of a service.
	Remove(serviceID uint32)
	// SetSuspected marks the agent at a data address as suspected to be dead, or as alive again.
	SetSuspected(address netip.AddrPort, suspected bool)
}

// Config configures a Service.
type Config struct {
	// Name is the name of this balancer. It must be set.
	Name string
	// Incarnation is higher after each start of the process. If 0, the start time in
	// nanoseconds is used.
	Incarnation uint64
	// Listen is the address for control streams. It must be set.
	Listen string
	// ControlAddress is the address that other processes dial. If empty, the address that
	// Listen was bound to is used.
	ControlAddress string
	// DataAddress and DataCentre are reported in the leased key of this balancer in the store and
	// in its Hellos.
	DataAddress, DataCentre string
	// Seeds are the control addresses of other balancers. If the store cannot be read at the
	// start, they are asked for specs. They may be empty.
	Seeds []string
	// ServerTLS and ClientTLS secure the accepted and the dialled streams. If nil, these use
	// plain TCP.
	ServerTLS, ClientTLS *tls.Config
	// Store is the key-value store. It must be set.
	Store store.Store
	// Tables receives specs and suspicions. It must be set.
	Tables Tables
	// Observe is called with each HostEjected, HostsKept and PublicationBlocked effect of the held
	// shards. It must not block. If nil, these effects are only logged.
	Observe func(e shard.Effect)
	// Group runs the tasks. It must be set.
	Group *group.Group
	// Logger receives log lines. If nil, none are written.
	Logger log.Logger
	// Metrics registers the counters of the streams. If nil, they are not exported.
	Metrics metrics.Registry
}

// Service is the control plane of a balancer. Its methods are safe for concurrent use.
type Service struct {
	config      Config
	server      *peer.Server
	runner      *shard.Runner
	registrar   *shard.Registrar
	localFrames *frameQueue

	// mu guards the fields below. Unexported methods that use them without locking mu are called
	// with mu held. The loop of the shard runner takes mu in its callbacks. A call that waits for
	// the runner must therefore not be made while mu is held; frames for the runner go through
	// localFrames instead.
	mu sync.Mutex
	// settings is the configuration applied last. Before the first, it is empty and not nil.
	settings *shard.Settings
	// versionInForce is the newest configuration version in force on this balancer. A version is in
	// force when each of its services has a table spec that is as new as its definition.
	versionInForce uint64
	// specs holds the newest table spec of each service by service id.
	specs map[uint32]*controlpb.TableSpec
	// removedVersions holds the last table version of each removed service. A spec that is not
	// newer does not bring the service back.
	removedVersions map[uint32]uint64
	// agents holds the attached agents by host.
	agents map[string]*agent
	// lastService holds, by host, the name of the service with which it last attached.
	lastService map[string]string
	// drainOrders holds, by host, the state ordered through OrderDrain until the specs show it.
	drainOrders map[string]bool
	// holders holds the holder of each shard that has one.
	holders map[int]shard.HolderInfo
	// holderLinks holds the streams to shard holders by control address.
	holderLinks map[string]*holderLink
	// seedDialers are the streams to Config.Seeds; they end once the store has been read.
	seedDialers []*peer.Dialer
	// balancerLinks holds the streams that other balancers opened, by balancer name.
	balancerLinks map[string]*balancerLink
	suspicions    map[suspicionKey]*suspicion
	// tablesRead is set once the table specs have been read from the store.
	tablesRead bool
	closed     bool
}

// New starts the control plane of a balancer. It runs until config.Group stops.
func New(config Config) (s *Service, err error) {
	defer func() { err = errors.WithMessage(err, "start control plane") }()
	if config.Name == "" || config.Listen == "" || config.Store == nil || config.Tables == nil || config.Group == nil {
		return nil, errors.New("Name, Listen, Store, Tables and Group must be set")
	}
	if config.Incarnation == 0 {
		config.Incarnation = uint64(time.Now().UnixNano())
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	s = &Service{
		config: config, localFrames: newFrameQueue(), settings: &shard.Settings{}, specs: map[uint32]*controlpb.TableSpec{},
		removedVersions: map[uint32]uint64{}, agents: map[string]*agent{}, lastService: map[string]string{}, drainOrders: map[string]bool{},
		holders: map[int]shard.HolderInfo{}, holderLinks: map[string]*holderLink{}, balancerLinks: map[string]*balancerLink{},
		suspicions: map[suspicionKey]*suspicion{},
	}
	// The runner needs the bound address, and the stream handler needs the runner. Streams that
	// open before the runner exists wait for mu.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server, err = peer.Listen(peer.Config{
		Address: config.Listen, TLS: config.ServerTLS, Hello: s.hello, Handler: (*acceptedHandler)(s), Group: config.Group,
		Logger: config.Logger, Metrics: config.Metrics,
	})
	if err != nil {
		return nil, err
	}
	if s.config.ControlAddress == "" {
		s.config.ControlAddress = s.server.Address()
	}
	s.runner, err = shard.New(shard.Config{
		Name: config.Name, ControlAddress: s.config.ControlAddress, Store: config.Store, Group: config.Group,
		Send: s.sendToBalancers, HoldersChanged: s.holdersChanged, Observe: config.Observe, Logger: config.Logger,
	})
	if err != nil {
		return nil, err
	}
	s.registrar, err = shard.NewRegistrar(shard.RegistrarConfig{
		Store: config.Store, Group: config.Group, Logger: config.Logger,
		Record: shard.BalancerRecord{
			Name: config.Name, ControlAddress: s.config.ControlAddress, DataAddress: config.DataAddress,
			DataCentre: config.DataCentre, Incarnation: config.Incarnation,
		},
	})
	if err != nil {
		return nil, err
	}
	config.Group.Go("local shard frames", s.forwardLocalFrames)
	config.Group.Go("table specs", s.watchTables)
	config.Group.Go("suspicion", s.expireSuspicions)
	config.Group.Go("seeds", s.dialSeeds)
	config.Group.Go("control close", func(ctx context.Context) error {
		<-ctx.Done()
		s.close()
		return nil
	})
	return s, nil
}

// ControlAddress returns the address that agents and balancers dial.
func (s *Service) ControlAddress() string { return s.config.ControlAddress }

// Registered returns a channel that is closed once the leased key of this balancer has been written
// for the first time.
func (s *Service) Registered() <-chan struct{} { return s.registrar.Registered() }

// Configure applies a configuration. A configuration that is older than the current one is ignored.
// It blocks while the work queue of the shard runner is full.
func (s *Service) Configure(settings *shard.Settings) {
	s.mu.Lock()
	if settings.Version < s.settings.Version {
		s.mu.Unlock()
		return
	}
	s.settings = settings
	for _, a := range s.agents {
		// The configuration may give an id to a service that had none.
		s.reportAgent(a)
	}
	s.updateVersionInForce()
	s.mu.Unlock()
	s.runner.Configure(settings)
}

// VersionInForce returns the newest configuration version in force on this balancer, or 0 if there is
// none yet. A version is in force when each of its services has a table spec that is as new as its
// definition.
func (s *Service) VersionInForce() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versionInForce
}

// Holders returns the holder of each shard that has one, by shard number.
func (s *Service) Holders() map[int]shard.HolderInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := make(map[int]shard.HolderInfo, len(s.holders))
	for n, h := range s.holders {
		holders[n] = h
	}
	return holders
}

// AnnounceLeaving sends a Leaving frame to every agent and balancer that dialled this balancer, so
// that agents prefer other balancers. It does not close the streams.
func (s *Service) AnnounceLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &controlpb.Frame{Body: &controlpb.Frame_Leaving{Leaving: &controlpb.Leaving{Name: s.config.Name}}}
	for _, a := range s.agents {
		_ = a.peer.Send(f)
	}
	for _, l := range s.balancerLinks {
		_ = l.peer.Send(f)
	}
}

func (s *Service) hello() *controlpb.Hello {
	return &controlpb.Hello{
		Role: controlpb.Hello_ROLE_BALANCER, Name: s.config.Name, DataCentre: s.config.DataCentre,
		Incarnation: s.config.Incarnation, Member: &controlpb.Member{Address: s.config.DataAddress},
	}
}

func (s *Service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, l := range s.holderLinks {
		l.dialer.Stop()
	}
	for _, d := range s.seedDialers {
		d.Stop()
	}
}

// forwardLocalFrames passes queued frames to the shards that this balancer holds itself.
func (s *Service) forwardLocalFrames(ctx context.Context) error {
	s.runner.Connected(s.config.Name, s.config.Incarnation)
	for {
		f, ok := s.localFrames.pop(ctx)
		if !ok {
			return nil
		}
		s.runner.Receive(s.config.Name, f)
	}
}

// acceptedHandler handles the streams that agents and other balancers dialled.
type acceptedHandler Service

var _ peer.Handler = (*acceptedHandler)(nil)

// Connected registers a new stream as that of an agent or a balancer, by the role in its Hello. It
// closes a stream with any other role.
func (h *acceptedHandler) Connected(p *peer.Peer) {
	s := (*Service)(h)
	switch p.Hello().GetRole() {
	case controlpb.Hello_ROLE_AGENT:
		s.agentConnected(p)
	case controlpb.Hello_ROLE_BALANCER:
		s.balancerConnected(p)
	default:
		p.Close()
	}
}

// Frame handles a frame of an agent or a balancer.
func (h *acceptedHandler) Frame(p *peer.Peer, f *controlpb.Frame) {
	s := (*Service)(h)
	if p.Hello().GetRole() == controlpb.Hello_ROLE_AGENT {
		s.handleAgentFrame(p, f)
		return
	}
	s.handleBalancerFrame(p, f)
}

// Disconnected removes a stream that has ended.
func (h *acceptedHandler) Disconnected(p *peer.Peer) {
	s := (*Service)(h)
	switch p.Hello().GetRole() {
	case controlpb.Hello_ROLE_AGENT:
		s.agentDisconnected(p)
	case controlpb.Hello_ROLE_BALANCER:
		s.balancerDisconnected(p)
	}
}
