package generator

import (
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/core/flow"
	"agateramp/internal/packet/geneve"
	"agateramp/internal/process/group"
)

const (
	protocolTCP = 6
	protocolUDP = 17

	firstCallerPort = 1024
	defaultPorts    = 60000
	defaultQuietMS  = 100
	// queuedPackets is how many received packets of a flow are queued; when the queue is
	// full, further packets are dropped.
	queuedPackets = 16
)

// GeneveConfig configures a Geneve transport.
type GeneveConfig struct {
	// Listen is the address that receives the packets for the callers. It must be set.
	Listen netip.AddrPort
	// Fabric is the address to which the packets of the callers are sent; packets from
	// other addresses are not accepted. It must be set.
	Fabric netip.AddrPort
	// Service is the service address. It must be set.
	Service netip.AddrPort
	// TCP selects TCP flows. If false, flows are UDP.
	TCP bool
	// Caller is the IP address of the callers. Load tools on the same fabric need
	// different addresses. It must be set.
	Caller netip.Addr
	// Ports is the number of caller ports. With a small number, flows reuse ports soon.
	// If 0, it is 60,000.
	Ports int
	// QuietMS is how long a port stays unused after its flow, in milliseconds, so that late
	// packets are not mistaken for packets of the next flow. If 0, it is 100.
	QuietMS int
	// Group runs the goroutine that receives packets. It must be set.
	Group *group.Group
}

// Geneve is a transport that exchanges whole IP packets in Geneve with the fabric.
type Geneve struct {
	cfg      GeneveConfig
	endpoint *geneve.Endpoint

	mu   sync.Mutex
	open map[flow.Key]*packetStream
	// usable holds when the port of a closed flow may be used again.
	usable map[flow.Key]time.Time
	// nextPort counts the caller ports tried and connections the TCP flows opened.
	nextPort    int
	connections uint32
}

var (
	_ Transport      = (*Geneve)(nil)
	_ geneve.Handler = (*Geneve)(nil)
	_ Stream         = (*udpStream)(nil)
)

// NewGeneve returns a transport over a fabric and starts to receive packets.
func NewGeneve(cfg GeneveConfig) (g *Geneve, err error) {
	if !cfg.Listen.IsValid() || !cfg.Fabric.IsValid() || !cfg.Service.IsValid() || !cfg.Caller.IsValid() || cfg.Group == nil {
		return nil, errors.New("geneve transport: listen, fabric, service and caller address and group must be set")
	}
	if cfg.Ports == 0 {
		cfg.Ports = defaultPorts
	}
	if cfg.QuietMS == 0 {
		cfg.QuietMS = defaultQuietMS
	}
	g = &Geneve{cfg: cfg, open: make(map[flow.Key]*packetStream), usable: make(map[flow.Key]time.Time)}
	fabric := cfg.Fabric
	g.endpoint, err = geneve.New(geneve.Config{
		Listen: cfg.Listen, Handler: g, Group: cfg.Group,
		Accept: func(peer netip.AddrPort) bool { return peer == fabric },
	})
	if err != nil {
		return nil, errors.WithMessage(err, "geneve transport")
	}
	g.endpoint.Start()
	return g, nil
}

// Open implements Transport. While no port is free it blocks, for 10 times QuietMS at most.
func (g *Geneve) Open() (Stream, error) {
	// Other flows that wait may get a free port first, so waiting for QuietMS once is not
	// enough.
	deadline := time.Now().Add(10 * time.Duration(g.cfg.QuietMS) * time.Millisecond)
	for {
		if s := g.tryOpen(time.Now()); s != nil {
			return s, nil
		}
		if time.Now().After(deadline) {
			return nil, errors.Errorf("all %d caller ports are in use", g.cfg.Ports)
		}
		time.Sleep(time.Millisecond)
	}
}

// tryOpen returns a flow on the next free port, or nil if no port is free.
func (g *Geneve) tryOpen(now time.Time) Stream {
	protocol := uint8(protocolUDP)
	if g.cfg.TCP {
		protocol = protocolTCP
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for range g.cfg.Ports {
		caller := netip.AddrPortFrom(g.cfg.Caller, uint16(firstCallerPort+g.nextPort%g.cfg.Ports))
		g.nextPort++
		key := flow.NewKey(protocol, g.cfg.Service, caller)
		if g.open[key] != nil || g.usable[key].After(now) {
			continue
		}
		s := &packetStream{transport: g, caller: caller, key: key, packets: make(chan []byte, queuedPackets)}
		g.open[key] = s
		if g.cfg.TCP {
			// Each connection of a port starts with a higher sequence number than the previous
			// connection.
			g.connections++
			return &tcpStream{packetStream: s, next: g.connections << 16}
		}
		return &udpStream{packetStream: s}
	}
	return nil
}

// HandleFrame implements geneve.Handler. It queues the packet for its flow.
func (g *Geneve) HandleFrame(_ *geneve.Writer, _ netip.AddrPort, _ *flow.Header, packet *flow.Packet) {
	g.mu.Lock()
	s := g.open[packet.Key]
	g.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case s.packets <- slices.Clone(packet.Data):
	default:
		// The queue is full: the packet is dropped, as with a full socket buffer.
	}
}

// packetStream is the part that UDP and TCP flows have in common.
type packetStream struct {
	transport *Geneve
	caller    netip.AddrPort
	// key is the flow key of packets to the caller.
	key     flow.Key
	packets chan []byte
	decoder geneve.Decoder
}

// receive returns the next packet, valid until the next call.
func (s *packetStream) receive(deadline time.Time) (packet flow.Packet, err error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case data := <-s.packets:
		return packet, s.decoder.DecodePacket(data, &packet)
	case <-timer.C:
		return packet, os.ErrDeadlineExceeded
	}
}

// send sends an encoded packet to the fabric. If err, the error of its encoding, is not
// nil, send returns err.
func (s *packetStream) send(data []byte, err error) error {
	if err != nil {
		return err
	}
	return s.transport.endpoint.Send(s.transport.cfg.Fabric, nil, data)
}

// Close implements Stream. The port of the flow may be used again after QuietMS.
func (s *packetStream) Close() {
	s.transport.mu.Lock()
	defer s.transport.mu.Unlock()
	delete(s.transport.open, s.key)
	s.transport.usable[s.key] = time.Now().Add(time.Duration(s.transport.cfg.QuietMS) * time.Millisecond)
}

type udpStream struct{ *packetStream }

func (s *udpStream) Connect(time.Time) error { return nil }

func (s *udpStream) Send(_ uint32, data []byte) error {
	return s.send(geneve.AppendUDP(nil, s.caller, s.transport.cfg.Service, data))
}

func (s *udpStream) Receive(deadline time.Time) ([]byte, error) {
	packet, err := s.receive(deadline)
	return packet.Payload, err
}
