package datagram

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"agateramp/internal/core/flow"
	"agateramp/internal/packet/geneve"
	"agateramp/internal/process/group"
)

const defaultMaxFlows = 2000

var (
	// ErrUnknownFlow says that a flow has no local socket.
	ErrUnknownFlow = errors.New("flow has no local socket")
	// ErrTooManyFlows says that the bound on local sockets is reached.
	ErrTooManyFlows = errors.New("too many local sockets")
)

// ReplyHandler takes the backend server's answers.
type ReplyHandler interface {
	// HandleReply takes an answer on a flow. The payload is valid until it
	// returns. It is called concurrently for different flows.
	HandleReply(key flow.Key, payload []byte)
}

// FlowSocketsConfig configures Flows.
type FlowSocketsConfig struct {
	// Backend is the UDP address of the backend server. It must be set.
	Backend netip.AddrPort
	// Local is the address that sockets are bound to. Agents on one machine need
	// different ones so that a restarted agent finds its ports free. Empty means
	// that the system selects it.
	Local netip.Addr
	// MaxFlows bounds the open sockets. Empty means 2,000.
	MaxFlows int
	// Handler takes the answers. It must be set.
	Handler ReplyHandler
	// OnDrop is told of each answer that was not handled. Empty means that drops
	// are not reported.
	OnDrop func(reason flow.Reason)
	// Group runs the readers. It must be set.
	Group *group.Group
}

// FlowSockets holds one local socket for each flow to a backend server. Its methods
// are safe for concurrent use.
type FlowSockets struct {
	cfg     FlowSocketsConfig
	buffers sync.Pool
	mu      sync.RWMutex
	open    map[flow.Key]*flowSocket
	closed  bool
}

type flowSocket struct {
	conn *net.UDPConn
	port uint16
}

// NewFlowSockets returns Flows without sockets. All sockets are closed when the
// context of the group ends.
func NewFlowSockets(cfg FlowSocketsConfig) (f *FlowSockets, err error) {
	if !cfg.Backend.IsValid() || cfg.Handler == nil || cfg.Group == nil {
		return nil, errors.New("datagram flows: backend address, handler and group must be set")
	}
	if cfg.MaxFlows == 0 {
		cfg.MaxFlows = defaultMaxFlows
	}
	if cfg.OnDrop == nil {
		cfg.OnDrop = func(flow.Reason) {}
	}
	f = &FlowSockets{cfg: cfg, open: make(map[flow.Key]*flowSocket)}
	f.buffers.New = func() any {
		b := make([]byte, MaxPayload+1)
		return &b
	}
	cfg.Group.Go("datagram flows close", func(ctx context.Context) error {
		<-ctx.Done()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closed = true
		for _, s := range f.open {
			_ = s.conn.Close()
		}
		clear(f.open)
		return nil
	})
	return f, nil
}

// Open opens the socket of a flow on a local port, or on any port if it is 0,
// and returns the port. The socket of a flow that has one is kept.
func (f *FlowSockets) Open(key flow.Key, localPort uint16) (port uint16, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.open[key]; s != nil {
		return s.port, nil
	}
	if f.closed {
		return 0, errors.WithStack(net.ErrClosed)
	}
	if len(f.open) >= f.cfg.MaxFlows {
		return 0, ErrTooManyFlows
	}
	local := &net.UDPAddr{Port: int(localPort)}
	if f.cfg.Local.IsValid() {
		local.IP = f.cfg.Local.AsSlice()
	}
	conn, err := net.DialUDP("udp", local, net.UDPAddrFromAddrPort(f.cfg.Backend))
	if err != nil {
		return 0, errors.Wrapf(err, "open local port %d", localPort)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return 0, errors.WithStack(err)
	}
	s := &flowSocket{conn: conn, port: uint16(conn.LocalAddr().(*net.UDPAddr).Port)}
	f.open[key] = s
	f.cfg.Group.Go("datagram flow", func(context.Context) error {
		f.read(key, raw)
		return nil
	})
	return s.port, nil
}

// Send sends a payload to the backend server on a flow's socket.
func (f *FlowSockets) Send(key flow.Key, payload []byte) error {
	f.mu.RLock()
	s := f.open[key]
	f.mu.RUnlock()
	if s == nil {
		return ErrUnknownFlow
	}
	_, err := s.conn.Write(payload)
	if geneve.Transient(err) {
		// The error may be that of an earlier datagram; this one was not sent.
		_, err = s.conn.Write(payload)
	}
	return errors.WithStack(err)
}

// Close closes the socket of a flow.
func (f *FlowSockets) Close(key flow.Key) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.open[key]; s != nil {
		_ = s.conn.Close()
		delete(f.open, key)
	}
}

// Len returns how many flows have a socket.
func (f *FlowSockets) Len() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.open)
}

// read hands on answers until the socket is closed. It takes a buffer only while
// there is something to read, because an agent has thousands of idle flows.
func (f *FlowSockets) read(key flow.Key, conn syscall.RawConn) {
	for {
		buffer := (*[]byte)(nil)
		n, failure := 0, error(nil)
		err := conn.Read(func(fd uintptr) bool {
			buffer = f.buffers.Get().(*[]byte)
			n, _, failure = unix.Recvfrom(int(fd), *buffer, unix.MSG_DONTWAIT)
			if errors.Is(failure, unix.EAGAIN) || errors.Is(failure, unix.EINTR) {
				f.buffers.Put(buffer)
				return false
			}
			return true
		})
		if err != nil {
			return
		}
		switch {
		case failure != nil && !geneve.Transient(failure):
			f.buffers.Put(buffer)
			return
		case failure != nil:
		case n > MaxPayload:
			f.cfg.OnDrop(flow.ReasonMalformed)
		default:
			f.cfg.Handler.HandleReply(key, (*buffer)[:n])
		}
		f.buffers.Put(buffer)
	}
}
