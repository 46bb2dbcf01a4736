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
	defaultMaxFrameSize = 16 << 10
	// socketBufferSize, in bytes, is enough for a burst of a few thousand packets. The kernel limits it to
	// net.core.rmem_max.
	socketBufferSize = 4 << 20
)

// Handler handles the frames that an Endpoint receives.
type Handler interface {
	// HandleFrame handles a frame from a peer. The header is nil if the frame has none. Header and packet are valid
	// until HandleFrame returns. The workers of an endpoint call it concurrently, each with its own writer. It must
	// not block: frames sent with the writer leave when all frames of the batch are handled.
	HandleFrame(w *Writer, from netip.AddrPort, header *flow.Header, packet *flow.Packet)
}

// Config configures an Endpoint.
type Config struct {
	// Listen is the local UDP address. It must be set. If the port is 0, the system selects one.
	Listen netip.AddrPort
	// Workers is the number of workers, goroutines that each read one socket. The sockets share the address. As each
	// socket has one reader, packets from one peer's socket stay in order. If 0, it is 1.
	Workers int
	// MaxFrame is the largest size of a received frame, in bytes. Larger frames are dropped as malformed. If 0, it is
	// 16 KiB.
	MaxFrame int
	// Accept reports whether frames from a peer are accepted. It is called for each frame, concurrently. If nil, the
	// frames of every peer are accepted.
	Accept func(peer netip.AddrPort) bool
	// Handler handles the accepted frames. It must be set.
	Handler Handler
	// OnDrop is called for each frame that is dropped, with the reason. If nil, drops are not reported.
	OnDrop func(reason flow.Reason)
	// Group runs the goroutines that read the sockets. It must be set.
	Group *group.Group
}

// Endpoint receives and sends Geneve frames on one UDP address, as a tunnel endpoint of RFC 8926.
type Endpoint struct {
	cfg     Config
	address netip.AddrPort
	sockets []*net.UDPConn
	buffers sync.Pool
}

// New opens the sockets of an endpoint. They are closed when the context of the group ends. Frames that arrive before
// Start is called wait in the sockets.
func New(cfg Config) (e *Endpoint, err error) {
	defer func() { err = errors.WithMessage(err, "open geneve endpoint") }()
	if !cfg.Listen.IsValid() || cfg.Handler == nil || cfg.Group == nil {
		return nil, errors.New("Listen, Handler and Group must be set")
	}
	if cfg.Workers == 0 {
		cfg.Workers = 1
	}
	if cfg.MaxFrame == 0 {
		cfg.MaxFrame = defaultMaxFrameSize
	}
	if cfg.OnDrop == nil {
		cfg.OnDrop = func(flow.Reason) {}
	}
	e = &Endpoint{cfg: cfg, address: cfg.Listen}
	e.buffers.New = func() any {
		b := make([]byte, 0, e.cfg.MaxFrame+MaxOverhead)
		return &b
	}
	if cfg.Workers > 1 && cfg.Listen.Port() != 0 {
		// With SO_REUSEPORT alone, a second process could bind the same address and receive part of the packets.
		exclusive, err := ListenUDP(cfg.Listen, false)
		if err != nil {
			return nil, err
		}
		_ = exclusive.Close()
	}
	for range cfg.Workers {
		socket, err := ListenUDP(e.address, cfg.Workers > 1)
		if err != nil {
			e.close()
			return nil, err
		}
		e.sockets = append(e.sockets, socket)
		e.address = netip.AddrPortFrom(cfg.Listen.Addr().Unmap(), uint16(socket.LocalAddr().(*net.UDPAddr).Port))
	}
	cfg.Group.Go("geneve close", func(ctx context.Context) error {
		<-ctx.Done()
		e.close()
		return nil
	})
	return e, nil
}

// Start starts the workers. It must be called once, when the handler is ready.
func (e *Endpoint) Start() {
	for i, socket := range e.sockets {
		w := newWriter(socket, e.cfg.MaxFrame, i)
		e.cfg.Group.Go("geneve reader "+strconv.Itoa(i), func(ctx context.Context) error { return e.read(ctx, w) })
	}
}

// ListenUDP opens a UDP socket with large buffers. With reusePort, other sockets of the same user may bind the same
// address.
func ListenUDP(address netip.AddrPort, reusePort bool) (socket *net.UDPConn, err error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if !reusePort {
			return nil
		}
		var optionErr error
		if err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); err != nil {
			return err
		}
		return errors.Wrap(optionErr, "set SO_REUSEPORT")
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
	// Errors are ignored: with smaller buffers the socket works, but loses more packets in bursts.
	_ = socket.SetReadBuffer(socketBufferSize)
	_ = socket.SetWriteBuffer(socketBufferSize)
	return socket, nil
}

// Address returns the address that the endpoint is bound to.
func (e *Endpoint) Address() netip.AddrPort { return e.address }

// Send sends a frame to a peer at once. It may be called concurrently. Handlers use their Writer instead, which sends
// in batches.
func (e *Endpoint) Send(to netip.AddrPort, header *flow.Header, inner []byte) (err error) {
	buffer := e.buffers.Get().(*[]byte)
	defer e.buffers.Put(buffer)
	*buffer, err = AppendFrame((*buffer)[:0], header, inner)
	if err != nil {
		return err
	}
	// Frames to one peer leave from one socket, so that they stay in order.
	_, err = e.sockets[int(to.Port())%len(e.sockets)].WriteToUDPAddrPort(*buffer, to)
	return errors.WithStack(err)
}

func (e *Endpoint) close() {
	for _, socket := range e.sockets {
		_ = socket.Close()
	}
}

// read is the loop of a worker: it reads and handles frames until the socket is closed.
func (e *Endpoint) read(ctx context.Context, w *Writer) error {
	batch := newBatch(w.batch.conn, e.cfg.MaxFrame)
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
			// The error may come from an ICMP message about an earlier send, which concerns one peer only.
			if !Transient(err) {
				return errors.Wrap(err, "read frames")
			}
			time.Sleep(time.Millisecond)
			continue
		}
		for i := range batch.messages[:n] {
			e.handle(w, &batch.messages[i], &decoder, &header, &packet)
		}
		w.flush()
	}
}

// handle checks and decodes a received frame and passes it to the handler.
func (e *Endpoint) handle(w *Writer, m *ipv4.Message, decoder *Decoder, header *flow.Header, packet *flow.Packet) {
	from := m.Addr.(*net.UDPAddr).AddrPort()
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if e.cfg.Accept != nil && !e.cfg.Accept(from) {
		e.cfg.OnDrop(flow.ReasonForeignPeer)
		return
	}
	if m.Flags&unix.MSG_TRUNC != 0 {
		e.cfg.OnDrop(flow.ReasonMalformed)
		return
	}
	hasHeader, err := decoder.Decode(m.Buffers[0][:m.N], header, packet)
	if err != nil {
		e.cfg.OnDrop(ReasonOf(err))
		return
	}
	if !hasHeader {
		header = nil
	}
	e.cfg.Handler.HandleFrame(w, from, header, packet)
}

// Transient reports whether a socket error concerns only one datagram or peer, so that the socket stays usable.
func Transient(err error) bool {
	return errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.EINTR) ||
		errors.Is(err, unix.EHOSTUNREACH) || errors.Is(err, unix.ENETUNREACH) || errors.Is(err, unix.ENOMEM)
}
