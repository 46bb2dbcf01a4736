package fabric

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/packet/datagram"
	"agateramp/internal/packet/geneve"
)

// maxCallers bounds the sockets of a service; the oldest caller's is closed first.
const maxCallers = 10000

// service relays the datagrams of one service address.
type service struct {
	fabric  *Fabric
	address netip.AddrPort
	socket  *net.UDPConn
	mu      sync.Mutex
	callers map[netip.AddrPort]*net.UDPConn
	order   []netip.AddrPort
	stopped bool
}

// BindService takes callers' datagrams for a service on a local address, whose
// port may be 0, and returns it. Each datagram goes to a random balancer that
// bound the service, from a socket of its own for each caller.
func (f *Fabric) BindService(address, listen netip.AddrPort) (bound netip.AddrPort, err error) {
	s := &service{fabric: f, address: address, callers: make(map[netip.AddrPort]*net.UDPConn)}
	if s.socket, err = geneve.ListenUDP(listen, false); err != nil {
		return bound, errors.WithMessage(err, "fabric")
	}
	f.cfg.Group.Go("fabric close", func(ctx context.Context) error {
		<-ctx.Done()
		s.close()
		return nil
	})
	f.cfg.Group.Go("fabric service", func(ctx context.Context) error {
		s.read(ctx)
		return nil
	})
	return s.socket.LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	_ = s.socket.Close()
	for _, socket := range s.callers {
		_ = socket.Close()
	}
}

func (s *service) read(ctx context.Context) {
	buffer := make([]byte, datagram.MaxPayload)
	for {
		n, caller, err := s.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(time.Millisecond)
			continue
		}
		socket := s.callerSocket(caller)
		if socket == nil {
			continue
		}
		s.fabric.spray(buffer[:n], func(b *Balancer) netip.AddrPort { return b.Services[s.address] }, func(to netip.AddrPort, data []byte) {
			// A datagram that cannot be sent is lost like one dropped on the way.
			_, _ = socket.WriteToUDPAddrPort(data, to)
		})
	}
}

// callerSocket returns the socket that stands for a caller, or nil if none can be
// opened.
func (s *service) callerSocket(caller netip.AddrPort) *net.UDPConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if socket := s.callers[caller]; socket != nil || s.stopped {
		return socket
	}
	local := netip.AddrPortFrom(s.socket.LocalAddr().(*net.UDPAddr).AddrPort().Addr(), 0)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil
	}
	if len(s.order) == maxCallers {
		_ = s.callers[s.order[0]].Close()
		delete(s.callers, s.order[0])
		s.order = s.order[1:]
	}
	s.callers[caller] = socket
	s.order = append(s.order, caller)
	s.fabric.cfg.Group.Go("fabric caller", func(context.Context) error {
		s.relay(socket, caller)
		return nil
	})
	return socket
}

// relay carries answers back to a caller until the caller's socket is closed.
func (s *service) relay(socket *net.UDPConn, caller netip.AddrPort) {
	buffer := make([]byte, datagram.MaxPayload)
	for {
		n, _, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A balancer that has just stopped refuses datagrams; others may answer.
			time.Sleep(time.Millisecond)
			continue
		}
		_, _ = s.socket.WriteToUDPAddrPort(buffer[:n], caller)
	}
}
