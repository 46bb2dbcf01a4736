package backend

import (
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	"agateramp/internal/core/flow"
	"agateramp/internal/packet/geneve"
)

const (
	protocolTCP = 6
	protocolUDP = 17
)

// TunnelConfig configures a Tunnel.
type TunnelConfig struct {
	// Listen is the address of the tunnel device; port 0 takes any port. It must
	// be set.
	Listen netip.AddrPort
	// Fabric is where packets to callers are sent. It must be set.
	Fabric netip.AddrPort
	// Server answers the requests. It must be set.
	Server *Server
}

// Tunnel is a host's tunnel device with the server behind it. It takes callers'
// packets in Geneve and answers UDP and TCP directly to the callers through the
// fabric. Its TCP takes one request for each segment, keeps no window and sends
// an answer again only when the request is retransmitted.
type Tunnel struct {
	cfg  TunnelConfig
	port *geneve.Endpoint
	mu   sync.Mutex
	open map[flow.Key]*tcpConnection
	// opened counts connections; each starts with a sequence number of its own, so
	// that late segments of an earlier one don't match.
	opened uint32
}

// tcpConnection is a TCP connection. Fields are guarded by Tunnel.mu.
type tcpConnection struct {
	first     uint32 // sequence number of the SYN
	own       uint32 // sequence number of the answer to the SYN
	received  uint32 // next sequence number expected
	next      uint32 // next sequence number sent
	sent      [keptAnswers]sentAnswer
	sentCount int
}

// sentAnswer maps the sequence number of a request to that of its answer.
type sentAnswer struct{ request, answer uint32 }

// accepts reports whether a segment belongs to the connection and does not follow
// a gap. Others are dropped and sent again by the caller if needed: a segment that
// has overtaken another, or a late one of an earlier connection, which differs in
// the acknowledgement also if a late copy of its SYN opened this one.
func (c *tcpConnection) accepts(segment geneve.Segment) bool {
	return int32(segment.Sequence-c.received) <= 0 && int32(segment.Sequence-c.first) > 0 &&
		int32(segment.Acknowledgement-c.own) > 0 && int32(c.next-segment.Acknowledgement) >= 0
}

// answerSequence returns the sequence number of the answer to a request, the same
// one when the answer is sent again.
func (c *tcpConnection) answerSequence(request uint32, size int) uint32 {
	for _, s := range c.sent[:min(c.sentCount, keptAnswers)] {
		if s.request == request {
			return s.answer
		}
	}
	s := sentAnswer{request: request, answer: c.next}
	c.sent[c.sentCount%keptAnswers] = s
	c.sentCount++
	c.next += uint32(size)
	return s.answer
}

// NewTunnel opens a tunnel device.
func NewTunnel(cfg TunnelConfig) (t *Tunnel, err error) {
	if !cfg.Listen.IsValid() || !cfg.Fabric.IsValid() || cfg.Server == nil {
		return nil, errors.New("tunnel: listen address, fabric and server must be set")
	}
	t = &Tunnel{cfg: cfg, open: make(map[flow.Key]*tcpConnection)}
	t.port, err = geneve.New(geneve.Config{Listen: cfg.Listen, Handler: &tunnelHandler{tunnel: t}, Group: cfg.Server.cfg.Group})
	if err != nil {
		return nil, errors.WithMessage(err, "tunnel")
	}
	t.port.Start()
	return t, nil
}

// Address returns the address of the tunnel device.
func (t *Tunnel) Address() netip.AddrPort { return t.port.Address() }

// tunnelHandler is the only reader of the tunnel's port, so it owns the decoder.
type tunnelHandler struct {
	tunnel  *Tunnel
	decoder geneve.Decoder
}

var _ geneve.Handler = (*tunnelHandler)(nil)

// HandleFrame implements geneve.Handler.
func (h *tunnelHandler) HandleFrame(_ *geneve.Writer, _ netip.AddrPort, _ *flow.Header, packet *flow.Packet) {
	if packet.Key.Protocol() == protocolUDP {
		key := packet.Key
		h.tunnel.cfg.Server.serve(key, packet.Payload, func(answer []byte) { h.tunnel.sendUDP(key, answer) })
		return
	}
	var p flow.Packet
	if err := h.decoder.DecodePacket(packet.Data, &p); err != nil {
		return
	}
	if segment, ok := h.decoder.Segment(&p); ok {
		h.tunnel.handleTCP(&h.decoder, segment, &p)
	}
}

func (t *Tunnel) handleTCP(decoder *geneve.Decoder, segment geneve.Segment, p *flow.Packet) {
	key := p.Key
	if segment.RST {
		t.close(key)
		return
	}
	if p.SYN {
		t.accept(key, segment)
		return
	}
	t.mu.Lock()
	c := t.open[key]
	if c == nil {
		t.mu.Unlock()
		if reset, err := decoder.AppendReset(nil, p.Data); err == nil {
			t.send(reset)
		}
		return
	}
	if !c.accepts(segment) {
		t.mu.Unlock()
		return
	}
	if next := segment.NextSequence(len(p.Payload)); int32(next-c.received) > 0 {
		c.received = next
	}
	answer := geneve.Segment{Sequence: c.next, Acknowledgement: c.received, ACK: true, FIN: segment.FIN}
	t.mu.Unlock()
	if len(p.Payload) > 0 {
		sequence := segment.Sequence
		t.cfg.Server.serve(key, p.Payload, func(b []byte) { t.sendAnswer(key, sequence, b) })
	}
	if segment.FIN {
		t.sendTCP(key, answer, nil)
		t.close(key)
	}
}

// accept opens a connection, or answers a retransmitted SYN again.
func (t *Tunnel) accept(key flow.Key, segment geneve.Segment) {
	t.mu.Lock()
	c := t.open[key]
	if c != nil && int32(segment.Sequence-c.first) < 0 {
		// A late copy from an earlier connection of the port.
		t.mu.Unlock()
		return
	}
	renew := c == nil || c.first != segment.Sequence
	if renew {
		t.opened++
		own := t.opened * 2654435761
		c = &tcpConnection{first: segment.Sequence, own: own, received: segment.Sequence + 1, next: own + 1}
		t.open[key] = c
	}
	answer := geneve.Segment{Sequence: c.own, Acknowledgement: c.first + 1, SYN: true, ACK: true}
	t.mu.Unlock()
	if renew {
		t.cfg.Server.forget(key)
	}
	t.sendTCP(key, answer, nil)
}

func (t *Tunnel) close(key flow.Key) {
	t.mu.Lock()
	delete(t.open, key)
	t.mu.Unlock()
	t.cfg.Server.forget(key)
}

// sendAnswer sends the answer to the request that began at sequence. It keeps its
// own sequence number when it is sent again.
func (t *Tunnel) sendAnswer(key flow.Key, sequence uint32, answer []byte) {
	t.mu.Lock()
	c := t.open[key]
	if c == nil {
		t.mu.Unlock()
		return
	}
	segment := geneve.Segment{Sequence: c.answerSequence(sequence, len(answer)), Acknowledgement: c.received, ACK: true, PSH: true}
	t.mu.Unlock()
	t.sendTCP(key, segment, answer)
}

func (t *Tunnel) sendTCP(key flow.Key, segment geneve.Segment, payload []byte) {
	if data, err := geneve.AppendTCP(nil, key.Destination(), key.Source(), segment, payload); err == nil {
		t.send(data)
	}
}

func (t *Tunnel) sendUDP(key flow.Key, payload []byte) {
	if data, err := geneve.AppendUDP(nil, key.Destination(), key.Source(), payload); err == nil {
		t.send(data)
	}
}

// send sends a packet to the fabric; one that cannot be sent is lost like one
// dropped on the way.
func (t *Tunnel) send(data []byte) { _ = t.port.Send(t.cfg.Fabric, nil, data) }
