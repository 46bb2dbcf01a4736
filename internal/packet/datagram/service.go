// Package datagram takes callers' datagrams on service addresses at a balancer
// and hands them to the backend server at an agent, one local socket per flow.
package datagram

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/core/flow"
	"agateramp/internal/packet/geneve"
	"agateramp/internal/process/group"
)

// MaxPayload is the longest payload that is carried; with its headers it fits
// the default frame of a geneve.Port.
const MaxPayload = 16000

const (
	protocolUDP = 17
	ipOverhead  = 48
)

var (
	// ErrNotBound says that no socket is bound for a service address.
	ErrNotBound = errors.New("service address is not bound")
	errConflict = errors.New("local address is bound for another service address")
)

// CallerHandler takes the datagrams that callers send to service addresses.
type CallerHandler interface {
	// HandleDatagram takes a datagram, wrapped in an IP packet from the caller to
	// the service address. The packet is valid until it returns. Readers call it
	// concurrently.
	HandleDatagram(packet *flow.Packet)
}

// ServiceSocketsConfig configures Services.
type ServiceSocketsConfig struct {
	// Workers is how many sockets and readers each service address has. Empty
	// means 1.
	Workers int
	// Handler takes the datagrams. It must be set.
	Handler CallerHandler
	// OnDrop is told of each datagram that was not handled. Empty means that
	// drops are not reported.
	OnDrop func(reason flow.Reason)
	// Group runs the readers. It must be set.
	Group *group.Group
}

// ServiceSockets holds the sockets of a balancer's service addresses. Its methods are
// safe for concurrent use.
type ServiceSockets struct {
	cfg   ServiceSocketsConfig
	mu    sync.RWMutex
	bound map[netip.AddrPort]*serviceBinding
}

type serviceBinding struct {
	service, wanted, local netip.AddrPort
	sockets                []*net.UDPConn
	closed                 chan struct{}
}

// NewServiceSockets returns Services without sockets.
func NewServiceSockets(cfg ServiceSocketsConfig) (s *ServiceSockets, err error) {
	if cfg.Handler == nil || cfg.Group == nil {
		return nil, errors.New("datagram services: handler and group must be set")
	}
	if cfg.Workers == 0 {
		cfg.Workers = 1
	}
	if cfg.OnDrop == nil {
		cfg.OnDrop = func(flow.Reason) {}
	}
	s = &ServiceSockets{cfg: cfg, bound: make(map[netip.AddrPort]*serviceBinding)}
	cfg.Group.Go("datagram close", func(ctx context.Context) error {
		<-ctx.Done()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, b := range s.bound {
			b.close()
		}
		clear(s.bound)
		return nil
	})
	return s, nil
}

// Bind opens the sockets of a service address on a local address, whose port may
// be 0, and returns the address that they are bound to. A binding to another
// local address is replaced; the same one is kept.
func (s *ServiceSockets) Bind(service, local netip.AddrPort) (bound netip.AddrPort, err error) {
	defer func() { err = errors.WithMessagef(err, "bind service address %v to %v", service, local) }()
	if !service.IsValid() || !local.IsValid() {
		return bound, errors.New("service and local address must be set")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err = s.cfg.Group.Context().Err(); err != nil {
		return bound, errors.WithStack(err)
	}
	old := s.bound[service]
	if old != nil && old.wanted == local {
		return old.local, nil
	}
	for _, other := range s.bound {
		if other != old && other.local == local {
			return bound, errConflict
		}
	}
	b, err := s.open(service, local)
	if err != nil {
		return bound, err
	}
	if old != nil {
		old.close()
	}
	s.bound[service] = b
	return b.local, nil
}

func (s *ServiceSockets) open(service, local netip.AddrPort) (b *serviceBinding, err error) {
	b = &serviceBinding{service: service, wanted: local, local: local, closed: make(chan struct{})}
	for range s.cfg.Workers {
		socket, err := geneve.ListenUDP(b.local, s.cfg.Workers > 1)
		if err != nil {
			b.close()
			return nil, err
		}
		b.sockets = append(b.sockets, socket)
		b.local = netip.AddrPortFrom(local.Addr().Unmap(), uint16(socket.LocalAddr().(*net.UDPAddr).Port))
	}
	for i, socket := range b.sockets {
		s.cfg.Group.Go("datagram reader "+service.String()+" "+strconv.Itoa(i), func(context.Context) error {
			s.read(b, socket)
			return nil
		})
	}
	return b, nil
}

// Unbind closes the sockets of a service address.
func (s *ServiceSockets) Unbind(service netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.bound[service]; b != nil {
		b.close()
		delete(s.bound, service)
	}
}

// LocalAddresses returns the local address of each bound service address.
func (s *ServiceSockets) LocalAddresses() map[netip.AddrPort]netip.AddrPort {
	s.mu.RLock()
	defer s.mu.RUnlock()
	bound := make(map[netip.AddrPort]netip.AddrPort, len(s.bound))
	for service, b := range s.bound {
		bound[service] = b.local
	}
	return bound
}

// SendToCaller sends a payload to a caller from the socket of a service address.
func (s *ServiceSockets) SendToCaller(service, caller netip.AddrPort, payload []byte) error {
	s.mu.RLock()
	b := s.bound[service]
	s.mu.RUnlock()
	if b == nil {
		return ErrNotBound
	}
	_, err := b.sockets[int(caller.Port())%len(b.sockets)].WriteToUDPAddrPort(payload, caller)
	return errors.WithStack(err)
}

func (s *ServiceSockets) read(b *serviceBinding, socket *net.UDPConn) {
	buffer := make([]byte, MaxPayload+1)
	packet := flow.Packet{Data: make([]byte, 0, MaxPayload+ipOverhead)}
	for {
		n, caller, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			select {
			case <-b.closed:
				return
			default:
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// ICMP errors of earlier answers are reported here and concern one caller only.
			time.Sleep(time.Millisecond)
			continue
		}
		caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
		if n > MaxPayload {
			s.cfg.OnDrop(flow.ReasonMalformed)
			continue
		}
		data, err := geneve.AppendUDP(packet.Data[:0], caller, b.service, buffer[:n])
		if err != nil {
			s.cfg.OnDrop(geneve.ReasonOf(err))
			continue
		}
		packet = flow.Packet{Key: flow.NewKey(protocolUDP, caller, b.service), Data: data, Payload: data[len(data)-n:]}
		packet.Hash = packet.Key.Hash()
		s.cfg.Handler.HandleDatagram(&packet)
	}
}

func (b *serviceBinding) close() {
	close(b.closed)
	for _, socket := range b.sockets {
		_ = socket.Close()
	}
}
