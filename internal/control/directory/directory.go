// Package directory keeps the streams between the agents of a service, over which
// they report their flows to each other.
package directory

import (
	"crypto/tls"
	"net/netip"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/control/peer"
	"agateramp/internal/core/owner"
	"agateramp/internal/process/group"
)

// Handler takes the events of the streams: PeerConnected, PeerDisconnected,
// ReportReceived and ReportAcked. The events of one peer come in order. It must
// not block for long.
type Handler interface {
	HandleEvent(e owner.Event)
}

// Config configures a Service.
type Config struct {
	// Listen is the address for the streams of other agents. It must be set.
	Listen string
	// Member describes this agent. Its host, data address and incarnation must be set.
	Member *controlpb.Member
	// Handler takes the events. It must be set.
	Handler Handler
	// ServerTLS and ClientTLS secure the streams. Empty means plain TCP.
	ServerTLS, ClientTLS *tls.Config
	// Group runs the tasks. It must be set.
	Group *group.Group
	// Logger takes log lines. Empty means none are written.
	Logger log.Logger
	// Metrics registers the counters of the streams. Empty means none are kept.
	Metrics metrics.Registry
}

// Service keeps one stream to each peer of the table. Of two agents, the one with
// the lower data address dials. Its methods are safe for concurrent use.
type Service struct {
	config Config
	self   netip.AddrPort
	server *peer.Server

	mu        sync.Mutex
	serviceID uint32
	peers     map[netip.AddrPort]*session
	// accepted holds the sessions of the streams that other agents dialled.
	accepted map[*peer.Peer]*session
}

// session is a peer of the table.
type session struct {
	service *Service
	address netip.AddrPort
	control string
	// dialer is nil when the peer dials.
	dialer *peer.Dialer
	// peer is nil while there is no stream.
	peer *peer.Peer
	// events orders the events of the peer when one stream replaces another.
	events sync.Mutex
}

// New starts to take streams; they end with the group. There are no peers before SetTable.
func New(config Config) (s *Service, err error) {
	defer func() { err = errors.WithMessage(err, "start flow directory") }()
	if config.Listen == "" || config.Member.GetHost() == "" || config.Member.GetIncarnation() == 0 ||
		config.Handler == nil || config.Group == nil {
		return nil, errors.New("Listen, Member (host, address, incarnation), Handler and Group must be set")
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	s = &Service{config: config, peers: map[netip.AddrPort]*session{}, accepted: map[*peer.Peer]*session{}}
	if s.self, err = parse(config.Member.GetAddress()); err != nil {
		return nil, err
	}
	s.server, err = peer.Listen(peer.Config{
		Address: config.Listen, TLS: config.ServerTLS, Hello: s.hello, Handler: (*accepted)(s), Group: config.Group,
		Logger: config.Logger, Metrics: config.Metrics,
	})
	return s, err
}

// ControlAddress returns the address that other agents dial.
func (s *Service) ControlAddress() string { return s.server.Address() }

// SetTable keeps streams to the hosts of every retained version of a spec, and
// ends those to others.
func (s *Service) SetTable(spec *controlpb.TableSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceID = spec.GetServiceId()
	wanted := map[netip.AddrPort]string{}
	for _, v := range spec.GetVersions() {
		for _, m := range v.GetMembers() {
			address, err := parse(m.GetAddress())
			if err != nil || address == s.self || m.GetControlAddress() == "" {
				continue
			}
			if _, ok := wanted[address]; !ok { // the newest version comes first
				wanted[address] = m.GetControlAddress()
			}
		}
	}
	for address, p := range s.peers {
		if control, ok := wanted[address]; !ok || control != p.control {
			p.end()
			delete(s.peers, address)
		}
	}
	for address, control := range wanted {
		if s.peers[address] == nil {
			s.add(address, control)
		}
	}
}

func (s *Service) add(address netip.AddrPort, control string) {
	p := &session{service: s, address: address, control: control}
	if s.self.Compare(address) < 0 {
		d, err := peer.Dial(peer.Config{
			Target: control, TLS: s.config.ClientTLS, Hello: s.hello, Handler: p, Group: s.config.Group,
			Logger: s.config.Logger, Metrics: s.config.Metrics,
		})
		if err != nil {
			_ = level.Error(s.config.Logger).Log("event", "peer_not_dialled", "peer", address, "err", err)
			return
		}
		p.dialer = d
	}
	s.peers[address] = p
}

// Report sends directory entries to a peer. It fails when there is no stream; a
// full report follows from PeerConnected then.
func (s *Service) Report(to netip.AddrPort, r *controlpb.FlowReport) error {
	return s.send(to, &controlpb.Frame{Body: &controlpb.Frame_Flows{Flows: r}})
}

// Ack confirms every report of a peer up to a sequence number. It is called when
// the owner has applied the report.
func (s *Service) Ack(to netip.AddrPort, sequence uint64) error {
	return s.send(to, &controlpb.Frame{Body: &controlpb.Frame_FlowsAck{FlowsAck: &controlpb.FlowReportAck{Sequence: sequence}}})
}

func (s *Service) send(to netip.AddrPort, f *controlpb.Frame) error {
	s.mu.Lock()
	var p *peer.Peer
	if known := s.peers[to]; known != nil {
		p = known.peer
	}
	s.mu.Unlock()
	if p == nil {
		return errors.WithMessagef(peer.ErrClosed, "agent %s", to)
	}
	return p.Send(f)
}

func (s *Service) hello() *controlpb.Hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.config.Member
	return &controlpb.Hello{
		Role: controlpb.Hello_ROLE_AGENT, Name: m.GetHost(), DataCentre: m.GetDataCentre(),
		Incarnation: m.GetIncarnation(), Member: m, ServiceId: s.serviceID,
	}
}

// find returns the session of the agent at the other side of a stream, or nil
// when it is not a peer of the table.
func (s *Service) find(p *peer.Peer) *session {
	address, err := parse(p.Hello().GetMember().GetAddress())
	if err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Hello().GetServiceId() != s.serviceID {
		return nil
	}
	return s.peers[address]
}

// end closes the stream of a peer that left the table.
func (p *session) end() {
	if p.dialer != nil {
		p.dialer.Stop()
	}
	if p.peer != nil {
		p.peer.Close()
	}
}

// Connected takes a new stream to the peer.
func (p *session) Connected(stream *peer.Peer) {
	s := p.service
	if s.find(stream) != p {
		stream.Close() // another agent has the address now, or does not know the table yet
		return
	}
	p.events.Lock()
	defer p.events.Unlock()
	s.mu.Lock()
	old := p.peer
	p.peer = stream
	s.mu.Unlock()
	if old != nil {
		old.Close()
		s.config.Handler.HandleEvent(owner.PeerDisconnected{Peer: p.address})
	}
	s.config.Handler.HandleEvent(owner.PeerConnected{Peer: p.address})
}

// Frame takes a report or an acknowledgement of the peer.
func (p *session) Frame(stream *peer.Peer, f *controlpb.Frame) {
	p.events.Lock()
	defer p.events.Unlock()
	if !p.has(stream) {
		return
	}
	switch b := f.GetBody().(type) {
	case *controlpb.Frame_Flows:
		p.service.config.Handler.HandleEvent(owner.ReportReceived{Peer: p.address, Report: b.Flows})
	case *controlpb.Frame_FlowsAck:
		p.service.config.Handler.HandleEvent(owner.ReportAcked{Peer: p.address, Sequence: b.FlowsAck.GetSequence()})
	}
}

// Disconnected takes the end of the stream.
func (p *session) Disconnected(stream *peer.Peer) {
	p.events.Lock()
	defer p.events.Unlock()
	if !p.has(stream) {
		return
	}
	p.service.mu.Lock()
	p.peer = nil
	p.service.mu.Unlock()
	p.service.config.Handler.HandleEvent(owner.PeerDisconnected{Peer: p.address})
}

func (p *session) has(stream *peer.Peer) bool {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	return p.peer == stream
}

var _ peer.Handler = (*session)(nil)

// accepted handles the streams that other agents dialled.
type accepted Service

var _ peer.Handler = (*accepted)(nil)

// Connected takes a new stream. An agent that the table does not list is cut off;
// it dials again until this agent has the newer table.
func (x *accepted) Connected(stream *peer.Peer) {
	s := (*Service)(x)
	known := s.find(stream)
	if known == nil || known.dialer != nil {
		stream.Close()
		return
	}
	s.mu.Lock()
	s.accepted[stream] = known
	s.mu.Unlock()
	known.Connected(stream)
}

// Frame takes a frame of a peer.
func (x *accepted) Frame(stream *peer.Peer, f *controlpb.Frame) {
	if known := x.session(stream); known != nil {
		known.Frame(stream, f)
	}
}

// Disconnected takes the end of a stream, also of a peer that left the table.
func (x *accepted) Disconnected(stream *peer.Peer) {
	if known := x.session(stream); known != nil {
		known.Disconnected(stream)
	}
	x.mu.Lock()
	delete(x.accepted, stream)
	x.mu.Unlock()
}

func (x *accepted) session(stream *peer.Peer) *session {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.accepted[stream]
}

func parse(text string) (address netip.AddrPort, err error) {
	address, err = netip.ParseAddrPort(text)
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), err
}
