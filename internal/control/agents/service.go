// Package agents is the balancer's side of the control streams: it takes the
// streams of agents, forwards what they say to the holders of the shards, keeps
// the table specs up to date, and passes them on.
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

// Tables takes the specs and suspicions; it is implemented by router.Router.
type Tables interface {
	// Update takes a spec and reports whether it was newer than that in use.
	Update(spec *controlpb.TableSpec) (applied bool, err error)
	// Remove forgets a service.
	Remove(serviceID uint32)
	// SetSuspected marks the agent at a data address as dead, or as alive again.
	SetSuspected(address netip.AddrPort, suspected bool)
}

// Config configures a Service.
type Config struct {
	// Name is the name of this balancer. It must be set.
	Name string
	// Incarnation grows with each start of the process. Empty means the start time.
	Incarnation uint64
	// Listen is the address for control streams. It must be set.
	Listen string
	// ControlAddress is the address that other processes dial. Empty means the
	// address that Listen was bound to.
	ControlAddress string
	// DataAddress and DataCentre are reported in the leased key.
	DataAddress, DataCentre string
	// Seeds are control addresses of other balancers, asked for specs while the
	// store cannot be read at the start. Empty means none.
	Seeds []string
	// ServerTLS and ClientTLS secure the streams. Empty means plain TCP.
	ServerTLS, ClientTLS *tls.Config
	// Store is the key-value service. It must be set.
	Store store.Store
	// Tables takes specs and suspicions. It must be set.
	Tables Tables
	// Observe is called with ejections and similar effects of held shards. Empty
	// means that they are only logged.
	Observe func(e shard.Effect)
	// Group runs the tasks. It must be set.
	Group *group.Group
	// Logger takes log lines. Empty means none are written.
	Logger log.Logger
	// Metrics registers the counters of the streams. Empty means none are kept.
	Metrics metrics.Registry
}

// Service is the control plane of a balancer. Its methods are safe for
// concurrent use.
//
// Locks: the loop of the shard runner may take mu. Nothing that waits for the
// runner is called under mu; what goes to it from there takes the queue local.
type Service struct {
	config    Config
	server    *peer.Server
	runner    *shard.Runner
	registrar *shard.Registrar
	local     *queue

	mu       sync.Mutex
	settings *shard.Settings
	inForce  uint64
	specs    map[uint32]*controlpb.TableSpec
	// removed holds the newest version of services that were removed.
	removed map[uint32]uint64
	// agents holds the attached agents by host.
	agents map[string]*agent
	// served holds the service that a host was last attached with.
	served map[string]string
	// manual holds drain orders that the specs do not show yet.
	manual    map[string]bool
	holders   map[int]shard.HolderInfo
	uplinks   map[string]*uplink
	seeds     []*peer.Dialer
	downlinks map[string]*downlink
	suspected map[suspectKey]*suspicion
	listed    bool
	closed    bool
}

// New starts the control plane of a balancer; it ends with the group.
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
		config: config, local: newQueue(), settings: &shard.Settings{}, specs: map[uint32]*controlpb.TableSpec{},
		removed: map[uint32]uint64{}, agents: map[string]*agent{}, served: map[string]string{}, manual: map[string]bool{},
		holders: map[int]shard.HolderInfo{}, uplinks: map[string]*uplink{}, downlinks: map[string]*downlink{},
		suspected: map[suspectKey]*suspicion{},
	}
	// The handler needs the runner, which needs the address: streams wait on mu.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server, err = peer.Listen(peer.Config{
		Address: config.Listen, TLS: config.ServerTLS, Hello: s.hello, Handler: (*accepted)(s), Group: config.Group,
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
		Send: s.send, Holders: s.holdersChanged, Observe: config.Observe, Logger: config.Logger,
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
	config.Group.Go("local shard frames", s.forwardLocal)
	config.Group.Go("table specs", s.watchTables)
	config.Group.Go("suspicion", s.expire)
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

// Registered is closed when the leased key was written for the first time.
func (s *Service) Registered() <-chan struct{} { return s.registrar.Registered() }

// Configure brings a configuration. One older than that in use is ignored.
func (s *Service) Configure(settings *shard.Settings) {
	s.mu.Lock()
	if settings.Version < s.settings.Version {
		s.mu.Unlock()
		return
	}
	s.settings = settings
	for _, a := range s.agents {
		// A service that was unknown may have an id now.
		s.announce(a)
	}
	s.checkInForce()
	s.mu.Unlock()
	s.runner.Configure(settings)
}

// VersionInForce returns the configuration version in force on this balancer.
func (s *Service) VersionInForce() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

// Holders returns the holder of each shard that has one.
func (s *Service) Holders() map[int]shard.HolderInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := make(map[int]shard.HolderInfo, len(s.holders))
	for n, h := range s.holders {
		holders[n] = h
	}
	return holders
}

// AnnounceLeaving sends every agent and balancer with a stream to this balancer a Leaving frame,
// after which agents prefer other balancers. It does not close the streams.
func (s *Service) AnnounceLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &controlpb.Frame{Body: &controlpb.Frame_Leaving{Leaving: &controlpb.Leaving{Name: s.config.Name}}}
	for _, a := range s.agents {
		_ = a.peer.Send(f)
	}
	for _, d := range s.downlinks {
		_ = d.peer.Send(f)
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
	for _, u := range s.uplinks {
		u.dialer.Stop()
	}
	for _, d := range s.seeds {
		d.Stop()
	}
}

// forwardLocal passes frames to the shards that this balancer holds.
func (s *Service) forwardLocal(ctx context.Context) error {
	s.runner.Connected(s.config.Name, s.config.Incarnation)
	for {
		f, ok := s.local.next(ctx)
		if !ok {
			return nil
		}
		s.runner.Receive(s.config.Name, f)
	}
}

// accepted handles the streams that were dialled by others.
type accepted Service

var _ peer.Handler = (*accepted)(nil)

// Connected takes a new stream of an agent or a balancer.
func (x *accepted) Connected(p *peer.Peer) {
	s := (*Service)(x)
	switch p.Hello().GetRole() {
	case controlpb.Hello_ROLE_AGENT:
		s.agentConnected(p)
	case controlpb.Hello_ROLE_BALANCER:
		s.balancerConnected(p)
	default:
		p.Close()
	}
}

// Frame takes a frame of an agent or a balancer.
func (x *accepted) Frame(p *peer.Peer, f *controlpb.Frame) {
	s := (*Service)(x)
	if p.Hello().GetRole() == controlpb.Hello_ROLE_AGENT {
		s.agentFrame(p, f)
		return
	}
	s.balancerFrame(p, f)
}

// Disconnected takes the end of a stream.
func (x *accepted) Disconnected(p *peer.Peer) {
	s := (*Service)(x)
	switch p.Hello().GetRole() {
	case controlpb.Hello_ROLE_AGENT:
		s.agentDisconnected(p)
	case controlpb.Hello_ROLE_BALANCER:
		s.balancerDisconnected(p)
	}
}
