// Package directory keeps the streams between the agents of a service. Over them, the agents
// replicate the flow directory, which lists the agent that owns each flow.
//
// The package needs the table spec of the service, which lists the other agents, and a Handler that
// applies what they report. It leaves the content of the reports to package owner and the transport
// to package peer.
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

// Handler receives the events of the streams.
type Handler interface {
	// HandleEvent is called with PeerConnected, PeerDisconnected, ReportReceived and ReportAcked.
	// The events of one peer arrive in order; those of different peers may arrive concurrently. It
	// must not block for long.
	HandleEvent(e owner.Event)
}

// Config configures a Service.
type Config struct {
	// Listen is the address for the streams of other agents. It must be set.
	Listen string
	// Member describes this agent. Its host, data address and incarnation must be set. It is sent in
	// each Hello and is not copied.
	Member *controlpb.Member
	// Handler receives the events. It must be set.
	Handler Handler
	// ServerTLS and ClientTLS secure the accepted and the dialled streams. If nil, these use
	// plain TCP.
	ServerTLS, ClientTLS *tls.Config
	// Group runs the tasks. It must be set.
	Group *group.Group
	// Logger receives log lines. If nil, none are written.
	Logger log.Logger
	// Metrics registers the counters of the streams. If nil, they are not exported.
	Metrics metrics.Registry
}

// Service keeps one stream to each peer, which is another agent that the table spec lists. Of two
// agents, the one with the lower data address dials. Its methods are safe for concurrent use.
type Service struct {
	config Config
	// self is the data address of this agent.
	self   netip.AddrPort
	server *peer.Server

	mu        sync.Mutex
	serviceID uint32
	sessions  map[netip.AddrPort]*session
	// acceptedSessions holds the sessions of the streams that other agents dialled.
	acceptedSessions map[*peer.Peer]*session
}

// session is the state kept for one peer. It outlives the streams to the peer.
type session struct {
	service        *Service
	address        netip.AddrPort
	controlAddress string
	// dialer is nil if the peer dials.
	dialer *peer.Dialer
	// stream is nil while the peer is not connected. Service.mu guards it.
	stream *peer.Peer
	// eventMu keeps the events of the peer in order when one stream replaces another. It is taken
	// before Service.mu.
	eventMu sync.Mutex
}

// New starts to accept streams, until config.Group stops. There are no peers before SetTable.
func New(config Config) (s *Service, err error) {
	defer func() { err = errors.WithMessage(err, "start flow directory") }()
	if config.Listen == "" || config.Member.GetHost() == "" || config.Member.GetIncarnation() == 0 ||
		config.Handler == nil || config.Group == nil {
		return nil, errors.New("Listen, Member (host, address, incarnation), Handler and Group must be set")
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	s = &Service{config: config, sessions: map[netip.AddrPort]*session{}, acceptedSessions: map[*peer.Peer]*session{}}
	if s.self, err = parseAddress(config.Member.GetAddress()); err != nil {
		return nil, err
	}
	s.server, err = peer.Listen(peer.Config{
		Address: config.Listen, TLS: config.ServerTLS, Hello: s.hello, Handler: (*acceptedHandler)(s), Group: config.Group,
		Logger: config.Logger, Metrics: config.Metrics,
	})
	return s, err
}

// ControlAddress returns the address that other agents dial.
func (s *Service) ControlAddress() string { return s.server.Address() }

// SetTable makes the hosts of every retained version of a spec the peers of this agent, except those
// without a control address. It opens streams to new peers and closes those to agents that are no
// longer listed or have another control address. It does not block.
func (s *Service) SetTable(spec *controlpb.TableSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceID = spec.GetServiceId()
	wanted := map[netip.AddrPort]string{}
	for _, v := range spec.GetVersions() {
		for _, m := range v.GetMembers() {
			address, err := parseAddress(m.GetAddress())
			if err != nil || address == s.self || m.GetControlAddress() == "" {
				continue
			}
			if _, ok := wanted[address]; !ok { // the newest version comes first
				wanted[address] = m.GetControlAddress()
			}
		}
	}
	for address, ss := range s.sessions {
		if control, ok := wanted[address]; !ok || control != ss.controlAddress {
			ss.stop()
			delete(s.sessions, address)
		}
	}
	for address, control := range wanted {
		if s.sessions[address] == nil {
			s.addSession(address, control)
		}
	}
}

// addSession adds a peer and dials it if its data address is the higher one.
func (s *Service) addSession(address netip.AddrPort, control string) {
	ss := &session{service: s, address: address, controlAddress: control}
	if s.self.Compare(address) < 0 {
		d, err := peer.Dial(peer.Config{
			Target: control, TLS: s.config.ClientTLS, Hello: s.hello, Handler: ss, Group: s.config.Group,
			Logger: s.config.Logger, Metrics: s.config.Metrics,
		})
		if err != nil {
			_ = level.Error(s.config.Logger).Log("event", "peer_not_dialled", "peer", address, "err", err)
			return
		}
		ss.dialer = d
	}
	s.sessions[address] = ss
}

// Report queues directory entries for a peer. If there is no stream to the peer, it fails with
// peer.ErrClosed and the entries need not be sent again, because PeerConnected of the next stream
// leads to a full report.
func (s *Service) Report(to netip.AddrPort, r *controlpb.FlowReport) error {
	return s.send(to, &controlpb.Frame{Body: &controlpb.Frame_Flows{Flows: r}})
}

// Ack acknowledges every report of a peer up to a sequence number. It is called after package owner
// has applied the report.
func (s *Service) Ack(to netip.AddrPort, sequence uint64) error {
	return s.send(to, &controlpb.Frame{Body: &controlpb.Frame_FlowsAck{FlowsAck: &controlpb.FlowReportAck{Sequence: sequence}}})
}

func (s *Service) send(to netip.AddrPort, f *controlpb.Frame) error {
	s.mu.Lock()
	var p *peer.Peer
	if ss := s.sessions[to]; ss != nil {
		p = ss.stream
	}
	s.mu.Unlock()
	if p == nil {
		return errors.WithMessagef(peer.ErrClosed, "no stream to agent %s", to)
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

// findSession returns the session of the agent at the other side of a stream. It returns nil if the
// agent is not a peer or names another service.
func (s *Service) findSession(stream *peer.Peer) *session {
	address, err := parseAddress(stream.Hello().GetMember().GetAddress())
	if err != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if stream.Hello().GetServiceId() != s.serviceID {
		return nil
	}
	return s.sessions[address]
}

// stop ends the stream of a peer that is no longer listed. It is called with Service.mu held.
func (ss *session) stop() {
	if ss.dialer != nil {
		ss.dialer.Stop()
	}
	if ss.stream != nil {
		ss.stream.Close()
	}
}

// Connected records a new stream to the peer in place of an earlier one, which it closes.
func (ss *session) Connected(stream *peer.Peer) {
	s := ss.service
	if s.findSession(stream) != ss {
		stream.Close() // another agent uses the address now, or the peer does not have the table yet
		return
	}
	ss.eventMu.Lock()
	defer ss.eventMu.Unlock()
	s.mu.Lock()
	old := ss.stream
	ss.stream = stream
	s.mu.Unlock()
	if old != nil {
		old.Close()
		s.config.Handler.HandleEvent(owner.PeerDisconnected{Peer: ss.address})
	}
	s.config.Handler.HandleEvent(owner.PeerConnected{Peer: ss.address})
}

// Frame passes a report or an acknowledgement of the peer to the Handler.
func (ss *session) Frame(stream *peer.Peer, f *controlpb.Frame) {
	ss.eventMu.Lock()
	defer ss.eventMu.Unlock()
	if !ss.isCurrent(stream) {
		return
	}
	switch b := f.GetBody().(type) {
	case *controlpb.Frame_Flows:
		ss.service.config.Handler.HandleEvent(owner.ReportReceived{Peer: ss.address, Report: b.Flows})
	case *controlpb.Frame_FlowsAck:
		ss.service.config.Handler.HandleEvent(owner.ReportAcked{Peer: ss.address, Sequence: b.FlowsAck.GetSequence()})
	}
}

// Disconnected handles the end of the stream. It ignores a stream that another one has replaced.
func (ss *session) Disconnected(stream *peer.Peer) {
	ss.eventMu.Lock()
	defer ss.eventMu.Unlock()
	if !ss.isCurrent(stream) {
		return
	}
	ss.service.mu.Lock()
	ss.stream = nil
	ss.service.mu.Unlock()
	ss.service.config.Handler.HandleEvent(owner.PeerDisconnected{Peer: ss.address})
}

// isCurrent reports whether a stream is the one that the session uses.
func (ss *session) isCurrent(stream *peer.Peer) bool {
	ss.service.mu.Lock()
	defer ss.service.mu.Unlock()
	return ss.stream == stream
}

var _ peer.Handler = (*session)(nil)

// acceptedHandler handles the streams that other agents dialled.
type acceptedHandler Service

var _ peer.Handler = (*acceptedHandler)(nil)

// Connected assigns a new stream to the session of its agent. The stream of an agent that is not a
// peer is closed; that agent dials again until the table of this agent lists it. The stream of a peer
// that this agent has to dial is closed as well.
func (h *acceptedHandler) Connected(stream *peer.Peer) {
	s := (*Service)(h)
	ss := s.findSession(stream)
	if ss == nil || ss.dialer != nil {
		stream.Close()
		return
	}
	s.mu.Lock()
	s.acceptedSessions[stream] = ss
	s.mu.Unlock()
	ss.Connected(stream)
}

// Frame passes a frame to the session of its stream.
func (h *acceptedHandler) Frame(stream *peer.Peer, f *controlpb.Frame) {
	if ss := h.acceptedSession(stream); ss != nil {
		ss.Frame(stream, f)
	}
}

// Disconnected handles the end of a stream, also of one whose agent is no longer a peer.
func (h *acceptedHandler) Disconnected(stream *peer.Peer) {
	if ss := h.acceptedSession(stream); ss != nil {
		ss.Disconnected(stream)
	}
	h.mu.Lock()
	delete(h.acceptedSessions, stream)
	h.mu.Unlock()
}

// acceptedSession returns the session to which Connected assigned a stream, or nil if there is none.
func (h *acceptedHandler) acceptedSession(stream *peer.Peer) *session {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acceptedSessions[stream]
}

// parseAddress parses a data address and unmaps an IPv4 address in IPv6 form.
func parseAddress(text string) (address netip.AddrPort, err error) {
	address, err = netip.ParseAddrPort(text)
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), err
}
