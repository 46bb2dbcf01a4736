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
	// ErrUnknownFlow is returned by FlowSockets.Send for a flow that has no socket.
	ErrUnknownFlow = errors.New("flow has no socket")
	// ErrTooManyFlows is returned by FlowSockets.Open when MaxFlows sockets are open.
	ErrTooManyFlows = errors.New("limit on open flow sockets is reached")
)

// ReplyHandler handles the replies of the backend server.
type ReplyHandler interface {
	// HandleReply handles a reply on a flow. The payload is valid until HandleReply returns. It is called concurrently
	// for different flows.
	HandleReply(key flow.Key, payload []byte)
}

// FlowSocketsConfig configures FlowSockets.
type FlowSocketsConfig struct {
	// Backend is the UDP address of the backend server. It must be set.
	Backend netip.AddrPort
	// Local is the IP address that the sockets are bound to. Agents on one machine need different addresses, so that
	// the ports of an agent are still free when it restarts. If it is the zero value, the system selects the address.
	Local netip.Addr
	// MaxFlows is the largest number of open sockets. If 0, it is 2,000.
	MaxFlows int
	// Handler handles the replies. It must be set.
	Handler ReplyHandler
	// OnDrop is called for each reply that is dropped, with the reason. If nil, drops are not reported.
	OnDrop func(reason flow.Reason)
	// Group runs the goroutines that read the sockets. It must be set.
	Group *group.Group
}

// FlowSockets holds one UDP socket for each flow to a backend server, so that the backend server sees each flow as a
// peer of its own. Its methods are safe for concurrent use.
type FlowSockets struct {
	cfg     FlowSocketsConfig
	buffers sync.Pool    // of *[]byte
	mu      sync.RWMutex // guards open and closed
	open    map[flow.Key]*flowSocket
	closed  bool // set when the context of the group has ended
}

// flowSocket is the socket of one flow, connected to the backend server.
type flowSocket struct {
	conn *net.UDPConn
	port uint16
}

// NewFlowSockets returns FlowSockets without open sockets. All sockets are closed when the context of the group ends.
func NewFlowSockets(cfg FlowSocketsConfig) (f *FlowSockets, err error) {
	if !cfg.Backend.IsValid() || cfg.Handler == nil || cfg.Group == nil {
		return nil, errors.New("datagram flow sockets: Backend, Handler and Group must be set")
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

// Open opens the socket of a flow on a local port, or on any free port if localPort is 0, and returns its port. If the
// flow has a socket already, Open keeps it and returns its port.
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

// Send sends a payload to the backend server from the socket of a flow.
func (f *FlowSockets) Send(key flow.Key, payload []byte) error {
	f.mu.RLock()
	s := f.open[key]
	f.mu.RUnlock()
	if s == nil {
		return ErrUnknownFlow
	}
	_, err := s.conn.Write(payload)
	if geneve.Transient(err) {
		// The error may be due to an earlier datagram. In that case this one was not sent.
		_, err = s.conn.Write(payload)
	}
	return errors.WithStack(err)
}

// Close closes the socket of a flow. It has no effect if the flow has none.
func (f *FlowSockets) Close(key flow.Key) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.open[key]; s != nil {
		_ = s.conn.Close()
		delete(f.open, key)
	}
}

// Len returns the number of flows that have a socket.
func (f *FlowSockets) Len() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.open)
}

// read passes the replies on a flow to the handler until the socket is closed. It holds a buffer only while there is
// data to read, because an agent has thousands of idle flows.
func (f *FlowSockets) read(key flow.Key, conn syscall.RawConn) {
	for {
		buffer := (*[]byte)(nil)
		n, recvErr := 0, error(nil)
		err := conn.Read(func(fd uintptr) bool {
			buffer = f.buffers.Get().(*[]byte)
			n, _, recvErr = unix.Recvfrom(int(fd), *buffer, unix.MSG_DONTWAIT)
			if errors.Is(recvErr, unix.EAGAIN) || errors.Is(recvErr, unix.EINTR) {
				f.buffers.Put(buffer)
				return false
			}
			return true
		})
		if err != nil {
			return
		}
		switch {
		case recvErr != nil && !geneve.Transient(recvErr):
			f.buffers.Put(buffer)
			return
		case recvErr != nil:
		case n > MaxPayload:
			f.cfg.OnDrop(flow.ReasonMalformed)
		default:
			f.cfg.Handler.HandleReply(key, (*buffer)[:n])
		}
		f.buffers.Put(buffer)
	}
}
