// Package balancers is the agent's side of the control streams: it announces the
// backend server at up to three balancers and receives table specs and drain orders.
package balancers

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/control/peer"
	"agateramp/internal/keyvalue/shard"
	"agateramp/internal/process/group"
)

const (
	// maxTargets is the most balancers that an agent keeps streams to.
	maxTargets = 3
	// heartbeatInterval is the rate at which shard holders sample the busy share.
	heartbeatInterval = time.Second
	// leaveTimeout bounds how long a stop waits for its last frames to be sent.
	leaveTimeout = 500 * time.Millisecond
)

// Handler takes what balancers send. It must not block for long.
type Handler interface {
	// HandleTableSpec brings a table spec of the service, newer than every one before.
	HandleTableSpec(spec *controlpb.TableSpec)
	// HandleDrainOrder orders the agent to drain or to take new flows again. Orders may repeat.
	HandleDrainOrder(drain bool, changeID string)
}

// Config configures a Service.
type Config struct {
	// Targets are the control addresses of one to three balancers, the preferred one first.
	Targets []string
	// Service is the name of the service of the backend server. It must be set.
	Service string
	// Member describes the backend server. Its host, address and incarnation must be set.
	Member *controlpb.Member
	// Load returns the present load. Its host, incarnation and draining are set by
	// this package: an agent that drains on order does not announce that itself.
	// It must be set.
	Load func() *controlpb.Heartbeat
	// Handler takes specs and orders. It must be set.
	Handler Handler
	// TLS secures the streams. Empty means plain TCP.
	TLS *tls.Config
	// Group runs the tasks. It must be set.
	Group *group.Group
	// Logger takes log lines. Empty means none are written.
	Logger log.Logger
	// Metrics registers the counters of the streams. Empty means none are kept.
	Metrics metrics.Registry
}

// Service keeps the streams of an agent to its balancers. Its methods are safe
// for concurrent use.
type Service struct {
	config Config

	mu       sync.Mutex
	draining bool
	leaving  bool
	ack      *controlpb.Ack
	spec     *controlpb.TableSpec
	links    []*link

	// specs orders the calls of Handler.Spec; it is taken before mu.
	specs sync.Mutex
}

// link is the stream to one balancer.
type link struct {
	service *Service
	dialer  *peer.Dialer
	// peer is nil while there is no stream.
	peer *peer.Peer
	// leaving is set when the balancer said that it stops.
	leaving bool
	// data is the data address of the balancer, the zero value if it gave none.
	data netip.AddrPort
}

// New starts to keep the streams; they end with the group.
func New(config Config) (s *Service, err error) {
	defer func() { err = errors.WithMessage(err, "connect to balancers") }()
	m := config.Member
	if n := len(config.Targets); n == 0 || n > maxTargets {
		return nil, errors.Errorf("%d balancers given, want 1 to %d", n, maxTargets)
	}
	if config.Service == "" || m.GetHost() == "" || m.GetAddress() == "" || m.GetIncarnation() == 0 ||
		config.Load == nil || config.Handler == nil || config.Group == nil {
		return nil, errors.New("Service, Member (host, address, incarnation), Load, Handler and Group must be set")
	}
	s = &Service{config: config}
	s.config.Member = proto.Clone(m).(*controlpb.Member)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range config.Targets {
		l := &link{service: s}
		l.dialer, err = peer.Dial(peer.Config{
			Target: target, TLS: config.TLS, Hello: s.hello, Handler: l, Group: config.Group, Logger: config.Logger,
			Metrics: config.Metrics,
		})
		if err != nil {
			for _, opened := range s.links {
				opened.dialer.Stop()
			}
			return nil, err
		}
		s.links = append(s.links, l)
	}
	config.Group.Go("heartbeats", s.beat)
	return s, nil
}

// Ack confirms a table version to the balancers. A lower version than before is ignored.
func (s *Service) Ack(serviceID uint32, version uint64, transferred bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.ack.GetVersion() || (version == s.ack.GetVersion() && s.ack.GetTransferred() && !transferred) {
		return
	}
	s.ack = &controlpb.Ack{
		Name: s.config.Member.GetHost(), ServiceId: serviceID, Version: version, Transferred: transferred,
	}
	s.all(&controlpb.Frame{Body: &controlpb.Frame_Ack{Ack: s.ack}})
}

// SetDraining announces that the agent drains by itself, or no longer does.
func (s *Service) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
	s.all(s.heartbeat())
}

// Leave tells the balancers that the host leaves for good, and ends the streams.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.all(&controlpb.Frame{Body: &controlpb.Frame_Leaving{Leaving: &controlpb.Leaving{Name: s.config.Member.GetHost()}}})
	var peers []*peer.Peer
	for _, l := range s.links {
		if l.peer != nil {
			peers = append(peers, l.peer)
		}
	}
	s.mu.Unlock()
	deadline := time.Now().Add(leaveTimeout)
	for _, p := range peers {
		p.Drain(deadline)
	}
	for _, l := range s.links {
		l.dialer.Stop()
	}
}

// LiveDataAddress returns wanted if it is the data address of a balancer with a stream.
// Otherwise it returns that of another one with a stream, or wanted if there is none.
func (s *Service) LiveDataAddress(wanted netip.AddrPort) (address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	address = wanted
	for _, l := range s.links {
		if l.peer == nil || l.leaving || !l.data.IsValid() {
			continue
		}
		if l.data == wanted {
			return wanted
		}
		address = l.data
	}
	return address
}

// ConnectedCount returns the number of balancers with a stream.
func (s *Service) ConnectedCount() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		if l.peer != nil {
			n++
		}
	}
	return n
}

func (s *Service) hello() *controlpb.Hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := proto.Clone(s.config.Member).(*controlpb.Member)
	m.Draining = s.draining
	return &controlpb.Hello{
		Role: controlpb.Hello_ROLE_AGENT, Name: m.GetHost(), DataCentre: m.GetDataCentre(),
		Incarnation: m.GetIncarnation(), Service: s.config.Service, Member: m,
	}
}

func (s *Service) heartbeat() *controlpb.Frame {
	b := s.config.Load()
	b.Host, b.Incarnation, b.Draining = s.config.Member.GetHost(), s.config.Member.GetIncarnation(), s.draining
	return &controlpb.Frame{Body: &controlpb.Frame_Heartbeat{Heartbeat: b}}
}

// all sends a frame to every balancer.
func (s *Service) all(f *controlpb.Frame) {
	for _, l := range s.links {
		if l.peer != nil {
			_ = l.peer.Send(f)
		}
	}
}

// beat sends heartbeats to the first connected balancer alone: the holder of the
// shard needs each sample once.
func (s *Service) beat(ctx context.Context) error {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			s.mu.Lock()
			if l := s.primary(); l != nil {
				_ = l.peer.Send(s.heartbeat())
			}
			s.mu.Unlock()
		}
	}
}

func (s *Service) primary() (first *link) {
	for _, l := range s.links {
		if l.peer == nil {
			continue
		}
		if !l.leaving {
			return l
		}
		if first == nil {
			first = l
		}
	}
	return first
}

// Connected takes a new stream.
func (l *link) Connected(p *peer.Peer) {
	s := l.service
	s.mu.Lock()
	defer s.mu.Unlock()
	l.peer, l.leaving = p, false
	l.data, _ = netip.ParseAddrPort(p.Hello().GetMember().GetAddress())
	if s.ack != nil {
		_ = p.Send(&controlpb.Frame{Body: &controlpb.Frame_Ack{Ack: s.ack}})
	}
	if s.draining {
		_ = p.Send(s.heartbeat())
	}
	if s.leaving {
		_ = p.Send(&controlpb.Frame{Body: &controlpb.Frame_Leaving{Leaving: &controlpb.Leaving{Name: s.config.Member.GetHost()}}})
	}
}

// Disconnected takes the end of a stream.
func (l *link) Disconnected(*peer.Peer) {
	l.service.mu.Lock()
	defer l.service.mu.Unlock()
	l.peer = nil
}

// Frame takes a frame of a balancer.
func (l *link) Frame(p *peer.Peer, f *controlpb.Frame) {
	s := l.service
	switch b := f.GetBody().(type) {
	case *controlpb.Frame_Table:
		s.learn(b.Table)
	case *controlpb.Frame_Drain:
		if b.Drain.GetHost() == s.config.Member.GetHost() {
			s.config.Handler.HandleDrainOrder(b.Drain.GetDrain(), b.Drain.GetChangeId())
		}
	case *controlpb.Frame_Ack:
		// A balancer that started while the store was down learns from its agents.
		s.mu.Lock()
		if s.spec != nil && shard.Newest(s.spec) > b.Ack.GetVersion() {
			_ = p.Send(&controlpb.Frame{Body: &controlpb.Frame_Table{Table: s.spec}})
		}
		s.mu.Unlock()
	case *controlpb.Frame_Leaving:
		s.mu.Lock()
		l.leaving = true
		s.mu.Unlock()
	}
}

var _ peer.Handler = (*link)(nil)

func (s *Service) learn(spec *controlpb.TableSpec) {
	s.specs.Lock()
	defer s.specs.Unlock()
	s.mu.Lock()
	newer := spec.GetService().GetName() == s.config.Service && shard.Newer(spec, s.spec)
	if newer {
		s.spec = spec
	}
	s.mu.Unlock()
	if newer {
		s.config.Handler.HandleTableSpec(spec)
	}
}
