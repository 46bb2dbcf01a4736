// Package balancers is the agent's side of the control streams. It announces the backend server of
// the agent to up to three balancers, sends them heartbeats and acknowledgements of table versions,
// and receives table specs and drain orders. A table spec lists the hosts of a service; tables are
// built from it.
//
// The package needs the control addresses of the balancers and a Handler that applies what they
// send. Package agents is the balancers' side, and package peer carries the streams.
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
	// maxTargets is the largest number of balancers that an agent keeps streams to.
	maxTargets = 3
	// heartbeatInterval is the interval at which shard holders expect samples of the busy share.
	heartbeatInterval = time.Second
	// leaveTimeout limits how long Leave waits until its last frames are sent.
	leaveTimeout = 500 * time.Millisecond
)

// Handler receives what balancers send. Its methods must not block for long, because they hold up
// the stream that the frame came from.
type Handler interface {
	// HandleTableSpec is called with each table spec of the service that is newer than every spec
	// before. Calls do not overlap.
	HandleTableSpec(spec *controlpb.TableSpec)
	// HandleDrainOrder is called with each order to drain, or to accept new flows again. Orders may
	// repeat. changeID identifies the change in which an operator gave the order. It is empty if a
	// balancer derived the order from a table spec or repeats one.
	HandleDrainOrder(drain bool, changeID string)
}

// Config configures a Service.
type Config struct {
	// Targets are the control addresses of one to three balancers, the preferred one first.
	Targets []string
	// Service is the name of the service that the backend server belongs to. It must be set.
	Service string
	// Member describes the backend server. Its host, address and incarnation must be set. New
	// copies it.
	Member *controlpb.Member
	// Load returns the current load in a new message. This package sets host, incarnation and
	// draining of the message. It sets draining only from SetDraining, because an agent that drains
	// on the order of a balancer does not announce that as its own draining. Load must be set. It is
	// called with the mutex of the Service held, so it must not call the Service.
	Load func() *controlpb.Heartbeat
	// Handler receives specs and orders. It must be set.
	Handler Handler
	// TLS secures the streams. If nil, they use plain TCP.
	TLS *tls.Config
	// Group runs the tasks. It must be set.
	Group *group.Group
	// Logger receives log lines. If nil, none are written.
	Logger log.Logger
	// Metrics registers the counters of the streams. If nil, they are not exported.
	Metrics metrics.Registry
}

// Service keeps the streams of an agent to its balancers. Its methods are safe
// for concurrent use.
type Service struct {
	config Config

	mu sync.Mutex
	// draining is set while the agent drains on its own initiative.
	draining bool
	// leaving is set by Leave.
	leaving bool
	// ack is the newest acknowledgement, nil before the first.
	ack *controlpb.Ack
	// spec is the newest table spec, nil before the first.
	spec *controlpb.TableSpec
	// links holds one link for each target, in the order of Config.Targets.
	links []*link

	// specMu keeps the calls of Handler.HandleTableSpec in order. It is taken before mu.
	specMu sync.Mutex
}

// link is the stream to one balancer.
type link struct {
	service *Service
	dialer  *peer.Dialer
	// peer is nil while there is no stream.
	peer *peer.Peer
	// leaving is set once the balancer has announced a planned stop.
	leaving bool
	// dataAddress is the data address of the balancer. It is the zero value if the balancer gave none.
	dataAddress netip.AddrPort
}

// New starts to open the streams and keeps them open until config.Group stops. It does not wait for
// a stream.
func New(config Config) (s *Service, err error) {
	defer func() { err = errors.WithMessage(err, "connect to balancers") }()
	m := config.Member
	if n := len(config.Targets); n == 0 || n > maxTargets {
		return nil, errors.Errorf("%d balancers in Targets, want 1 to %d", n, maxTargets)
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
	config.Group.Go("heartbeats", s.sendHeartbeats)
	return s, nil
}

// Ack acknowledges a table version to the balancers. transferred reports that the other agents of
// the service have acknowledged the flow directory entries of this agent for the version. A call is
// ignored if an earlier call acknowledged a higher version, or the same version with transferred set
// and this one does not set it.
func (s *Service) Ack(serviceID uint32, version uint64, transferred bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.ack.GetVersion() || (version == s.ack.GetVersion() && s.ack.GetTransferred() && !transferred) {
		return
	}
	s.ack = &controlpb.Ack{
		Name: s.config.Member.GetHost(), ServiceId: serviceID, Version: version, Transferred: transferred,
	}
	s.sendToAll(&controlpb.Frame{Body: &controlpb.Frame_Ack{Ack: s.ack}})
}

// SetDraining announces to the balancers that the agent drains on its own initiative, or no longer
// does.
func (s *Service) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
	s.sendToAll(s.heartbeatFrame())
}

// Leave announces to the balancers that the host leaves the service, waits up to 500 ms
// (leaveTimeout) until the frames are sent, and ends the streams.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.sendToAll(&controlpb.Frame{Body: &controlpb.Frame_Leaving{Leaving: &controlpb.Leaving{Name: s.config.Member.GetHost()}}})
	var peers []*peer.Peer
	for _, l := range s.links {
		if l.peer != nil {
			peers = append(peers, l.peer)
		}
	}
	s.mu.Unlock()
	deadline := time.Now().Add(leaveTimeout)
	for _, p := range peers {
		p.Flush(deadline)
	}
	for _, l := range s.links {
		l.dialer.Stop()
	}
}

// LiveDataAddress returns preferred if it is the data address of a balancer that is live, which
// means that it has a stream to this agent and has not announced its stop. Otherwise it returns the
// data address of another live balancer, or preferred if no balancer is live.
func (s *Service) LiveDataAddress(preferred netip.AddrPort) (address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	address = preferred
	for _, l := range s.links {
		if l.peer == nil || l.leaving || !l.dataAddress.IsValid() {
			continue
		}
		if l.dataAddress == preferred {
			return preferred
		}
		address = l.dataAddress
	}
	return address
}

// ConnectedCount returns the number of balancers to which there is a stream.
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

// heartbeatFrame returns the current heartbeat. It is called with mu held.
func (s *Service) heartbeatFrame() *controlpb.Frame {
	b := s.config.Load()
	b.Host, b.Incarnation, b.Draining = s.config.Member.GetHost(), s.config.Member.GetIncarnation(), s.draining
	return &controlpb.Frame{Body: &controlpb.Frame_Heartbeat{Heartbeat: b}}
}

// sendToAll sends a frame to every connected balancer. It is called with mu held.
func (s *Service) sendToAll(f *controlpb.Frame) {
	for _, l := range s.links {
		if l.peer != nil {
			_ = l.peer.Send(f)
		}
	}
}

// sendHeartbeats sends heartbeats to the preferred balancer only, because the shard holder, to which
// balancers forward them, needs each sample once.
func (s *Service) sendHeartbeats(ctx context.Context) error {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			s.mu.Lock()
			if l := s.preferredLink(); l != nil {
				_ = l.peer.Send(s.heartbeatFrame())
			}
			s.mu.Unlock()
		}
	}
}

// preferredLink returns the link to the first connected balancer that is not leaving, or else to the
// first connected one. It returns nil if no balancer is connected. It is called with mu held.
func (s *Service) preferredLink() (first *link) {
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

// Connected records a new stream and sends the balancer the state that its Hello does not contain.
func (l *link) Connected(p *peer.Peer) {
	s := l.service
	s.mu.Lock()
	defer s.mu.Unlock()
	l.peer, l.leaving = p, false
	l.dataAddress, _ = netip.ParseAddrPort(p.Hello().GetMember().GetAddress())
	if s.ack != nil {
		_ = p.Send(&controlpb.Frame{Body: &controlpb.Frame_Ack{Ack: s.ack}})
	}
	if s.draining {
		_ = p.Send(s.heartbeatFrame())
	}
	if s.leaving {
		_ = p.Send(&controlpb.Frame{Body: &controlpb.Frame_Leaving{Leaving: &controlpb.Leaving{Name: s.config.Member.GetHost()}}})
	}
}

// Disconnected records that the stream has ended. The dialer connects again.
func (l *link) Disconnected(*peer.Peer) {
	l.service.mu.Lock()
	defer l.service.mu.Unlock()
	l.peer = nil
}

// Frame handles a frame of the balancer.
func (l *link) Frame(p *peer.Peer, f *controlpb.Frame) {
	s := l.service
	switch b := f.GetBody().(type) {
	case *controlpb.Frame_Table:
		s.applySpec(b.Table)
	case *controlpb.Frame_Drain:
		if b.Drain.GetHost() == s.config.Member.GetHost() {
			s.config.Handler.HandleDrainOrder(b.Drain.GetDrain(), b.Drain.GetChangeId())
		}
	case *controlpb.Frame_Ack:
		// A balancer that started while the store was down gets newer specs from its agents.
		s.mu.Lock()
		if s.spec != nil && shard.NewestVersion(s.spec) > b.Ack.GetVersion() {
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

// applySpec passes a spec of the service to the Handler if it is newer than the last one.
func (s *Service) applySpec(spec *controlpb.TableSpec) {
	s.specMu.Lock()
	defer s.specMu.Unlock()
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
