package geneve

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"agateramp/internal/core/flow"
	"agateramp/internal/process/group"
)

const (
	defaultMaxFrame = 16 << 10
	// socketBuffer holds a burst of a few thousand packets; the kernel caps it
	// at net.core.rmem_max.
	socketBuffer = 4 << 20
)

// Handler takes the frames that a Port receives.
type Handler interface {
	// HandleFrame takes a frame from a peer. The header is nil if the frame has
	// none. Header and packet are valid until it returns. The workers of a port
	// call it concurrently, each with its own writer. It must not block: frames sent
	// with the writer leave when all frames of the batch are handled.
	HandleFrame(w *Writer, from netip.AddrPort, header *flow.Header, packet *flow.Packet)
}

// Config configures a Port.
type Config struct {
	// Listen is the local address; port 0 takes any port. It must be set.
	Listen netip.AddrPort
	// Workers is how many sockets share the address, each with one reader, so
	// that packets from one peer's socket stay in order. Empty means 1.
	Workers int
	// MaxFrame is the longest frame that is received; longer ones are malformed.
	// Empty means 16 KiB.
	MaxFrame int
	// Accept says whether a frame from a peer is taken. It is called for each
	// frame. Empty means that every peer is accepted.
	Accept func(peer netip.AddrPort) bool
	// Handler takes the frames. It must be set.
	Handler Handler
	// OnDrop is told of each frame that was not handled. Empty means that drops
	// are not reported.
	OnDrop func(reason flow.Reason)
	// Group runs the readers. It must be set.
	Group *group.Group
}

// Endpoint receives and sends Geneve frames on one UDP address.
type Endpoint struct {
	cfg     Config
	address netip.AddrPort
	sockets []*net.UDPConn
	buffers sync.Pool
}

// New opens the sockets of a port. They are closed when the context of the group
// ends. Frames that arrive before Start wait in the sockets.
func New(cfg Config) (p *Endpoint, err error) {
	defer func() { err = errors.WithMessage(err, "open geneve port") }()
	if !cfg.Listen.IsValid() || cfg.Handler == nil || cfg.Group == nil {
		return nil, errors.New("listen address, handler and group must be set")
	}
	if cfg.Workers == 0 {
		cfg.Workers = 1
	}
	if cfg.MaxFrame == 0 {
		cfg.MaxFrame = defaultMaxFrame
	}
	if cfg.OnDrop == nil {
		cfg.OnDrop = func(flow.Reason) {}
	}
	p = &Endpoint{cfg: cfg, address: cfg.Listen}
	p.buffers.New = func() any {
		b := make([]byte, 0, p.cfg.MaxFrame+MaxOverhead)
		return &b
	}
	if cfg.Workers > 1 && cfg.Listen.Port() != 0 {
		// With SO_REUSEPORT a second process would take part of the packets unnoticed.
		probe, err := ListenUDP(cfg.Listen, false)
		if err != nil {
			return nil, err
		}
		_ = probe.Close()
	}
	for range cfg.Workers {
		socket, err := ListenUDP(p.address, cfg.Workers > 1)
		if err != nil {
			p.close()
			return nil, err
		}
		p.sockets = append(p.sockets, socket)
		p.address = netip.AddrPortFrom(cfg.Listen.Addr().Unmap(), uint16(socket.LocalAddr().(*net.UDPAddr).Port))
	}
	cfg.Group.Go("geneve close", func(ctx context.Context) error {
		<-ctx.Done()
		p.close()
		return nil
	})
	return p, nil
}

// Start starts the readers. It is called once, when the handler may run.
func (p *Endpoint) Start() {
	for i, socket := range p.sockets {
		w := newWriter(socket, p.cfg.MaxFrame, i)
		p.cfg.Group.Go("geneve reader "+strconv.Itoa(i), func(ctx context.Context) error { return p.read(ctx, w) })
	}
}

// ListenUDP opens a UDP socket with a large receive buffer. A shared socket lets
// others of this user bind the same address.
func ListenUDP(address netip.AddrPort, shared bool) (socket *net.UDPConn, err error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if !shared {
			return nil
		}
		var failure error
		if err := c.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); err != nil {
			return err
		}
		return errors.Wrap(failure, "set SO_REUSEPORT")
	}}
	network := "udp6"
	if address.Addr().Unmap().Is4() {
		network = "udp4"
	}
	conn, err := config.ListenPacket(context.Background(), network, address.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	socket = conn.(*net.UDPConn)
	// A smaller buffer than wanted loses more packets in bursts but works.
	_ = socket.SetReadBuffer(socketBuffer)
	_ = socket.SetWriteBuffer(socketBuffer)
	return socket, nil
}

// Address returns the address that the port is bound to.
func (p *Endpoint) Address() netip.AddrPort { return p.address }

// Send sends a frame to a peer at once. It may be called concurrently. Handlers
// use their writer, which sends in batches.
func (p *Endpoint) Send(to netip.AddrPort, header *flow.Header, inner []byte) (err error) {
	buffer := p.buffers.Get().(*[]byte)
	defer p.buffers.Put(buffer)
	*buffer, err = AppendFrame((*buffer)[:0], header, inner)
	if err != nil {
		return err
	}
	// Frames to one peer leave from one socket, so that they stay in order.
	_, err = p.sockets[int(to.Port())%len(p.sockets)].WriteToUDPAddrPort(*buffer, to)
	return errors.WithStack(err)
}

func (p *Endpoint) close() {
	for _, socket := range p.sockets {
		_ = socket.Close()
	}
}

func (p *Endpoint) read(ctx context.Context, w *Writer) error {
	batch := newBatch(w.batch.conn, p.cfg.MaxFrame)
	var (
		decoder Decoder
		header  flow.Header
		packet  flow.Packet
	)
	for {
		n, err := batch.conn.ReadBatch(batch.messages, 0)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			// ICMP errors of earlier sends are reported here and concern one peer only.
			if !Transient(err) {
				return errors.Wrap(err, "read frames")
			}
			time.Sleep(time.Millisecond)
			continue
		}
		for i := range batch.messages[:n] {
			p.handle(w, &batch.messages[i], &decoder, &header, &packet)
		}
		w.flush()
	}
}

func (p *Endpoint) handle(w *Writer, m *ipv4.Message, decoder *Decoder, header *flow.Header, packet *flow.Packet) {
	from := m.Addr.(*net.UDPAddr).AddrPort()
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if p.cfg.Accept != nil && !p.cfg.Accept(from) {
		p.cfg.OnDrop(flow.ReasonForeignPeer)
		return
	}
	if m.Flags&unix.MSG_TRUNC != 0 {
		p.cfg.OnDrop(flow.ReasonMalformed)
		return
	}
	withHeader, err := decoder.Decode(m.Buffers[0][:m.N], header, packet)
	if err != nil {
		p.cfg.OnDrop(ReasonOf(err))
		return
	}
	if !withHeader {
		header = nil
	}
	p.cfg.Handler.HandleFrame(w, from, header, packet)
}

// Transient reports whether a socket error concerns one datagram or peer only, so
// that the socket stays usable.
func Transient(err error) bool {
	return errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.EINTR) ||
		errors.Is(err, unix.EHOSTUNREACH) || errors.Is(err, unix.ENETUNREACH) || errors.Is(err, unix.ENOMEM)
}
