// Package datagram holds the plain UDP sockets of balancers and agents, for services that are reached without Geneve.
//
// At a balancer, ServiceSockets receives the datagrams of callers on service addresses and sends them replies. At an
// agent, FlowSockets exchanges datagrams with the backend server over one socket per flow. Between balancers and
// agents, the datagrams travel as IP packets in the frames of package geneve.
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

// MaxPayload is the largest payload of a datagram, in bytes. Larger ones are dropped as malformed. With all headers, it
// fits a frame of the default size of a geneve.Endpoint.
const MaxPayload = 16000

const (
	protocolUDP = 17
	// maxHeaderOverhead is the size in bytes of an IPv6 and a UDP header.
	maxHeaderOverhead = 48
)

var (
	// ErrNotBound is returned by ServiceSockets.SendToCaller for a service address that has no sockets.
	ErrNotBound          = errors.New("service address has no sockets")
	errLocalAddressInUse = errors.New("local address is in use for another service address")
)

// CallerHandler handles the datagrams that callers send to service addresses.
type CallerHandler interface {
	// HandleDatagram handles a datagram, wrapped in an IP packet from the caller to the service address. The packet is
	// valid until HandleDatagram returns. It is called concurrently.
	HandleDatagram(packet *flow.Packet)
}

// ServiceSocketsConfig configures ServiceSockets.
type ServiceSocketsConfig struct {
	// Workers is the number of sockets of each service address, each with one reader. If 0, it is 1.
	Workers int
	// Handler handles the datagrams. It must be set.
	Handler CallerHandler
	// OnDrop is called for each datagram that is dropped, with the reason. If nil, drops are not reported.
	OnDrop func(reason flow.Reason)
	// Group runs the goroutines that read the sockets. It must be set.
	Group *group.Group
}

// ServiceSockets holds the UDP sockets of the service addresses of a balancer. The local address of these sockets may
// differ from the service address. The methods are safe for concurrent use.
type ServiceSockets struct {
	cfg   ServiceSocketsConfig
	mu    sync.RWMutex                       // guards bound
	bound map[netip.AddrPort]*serviceBinding // by service address
}

// serviceBinding holds the sockets of one service address. The port of requested may be 0; local is the address that
// the sockets are bound to. The channel closed is closed before the sockets are.
type serviceBinding struct {
	service, requested, local netip.AddrPort
	sockets                   []*net.UDPConn
	closed                    chan struct{}
}

// NewServiceSockets returns ServiceSockets without open sockets. All sockets are closed when the context of the group
// ends.
func NewServiceSockets(cfg ServiceSocketsConfig) (s *ServiceSockets, err error) {
	if cfg.Handler == nil || cfg.Group == nil {
		return nil, errors.New("datagram service sockets: Handler and Group must be set")
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

// Bind opens the sockets of a service address on a local address and returns the address that they are bound to. If
// the port of local is 0, the system selects one. If the service address was bound to the same local address before,
// its sockets are kept; sockets on another local address are replaced.
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
	if old != nil && old.requested == local {
		return old.local, nil
	}
	for _, other := range s.bound {
		if other != old && other.local == local {
			return bound, errLocalAddressInUse
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

// open opens the sockets of a service address and starts to read them.
func (s *ServiceSockets) open(service, local netip.AddrPort) (b *serviceBinding, err error) {
	b = &serviceBinding{service: service, requested: local, local: local, closed: make(chan struct{})}
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

// Unbind closes the sockets of a service address. It has no effect if the service address has none.
func (s *ServiceSockets) Unbind(service netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.bound[service]; b != nil {
		b.close()
		delete(s.bound, service)
	}
}

// LocalAddresses returns the local addresses of the bound service addresses, by service address.
func (s *ServiceSockets) LocalAddresses() map[netip.AddrPort]netip.AddrPort {
	s.mu.RLock()
	defer s.mu.RUnlock()
	bound := make(map[netip.AddrPort]netip.AddrPort, len(s.bound))
	for service, b := range s.bound {
		bound[service] = b.local
	}
	return bound
}

// SendToCaller sends a payload to a caller from a socket of a service address. Datagrams to one caller address always
// leave from the same socket.
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

// read passes the datagrams of a socket to the handler until the socket is closed.
func (s *ServiceSockets) read(b *serviceBinding, socket *net.UDPConn) {
	buffer := make([]byte, MaxPayload+1)
	packet := flow.Packet{Data: make([]byte, 0, MaxPayload+maxHeaderOverhead)}
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
			// The error may come from an ICMP message about an earlier reply, which concerns one caller only.
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
