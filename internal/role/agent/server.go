package agent

import (
	"net/netip"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"agateramp/internal/core/flow"
	"agateramp/internal/core/owner"
	"agateramp/internal/packet/datagram"
	"agateramp/internal/packet/geneve"
)

// datagramServer reaches the backend server over one UDP socket for each flow.
type datagramServer struct {
	flows *datagram.FlowSockets

	mu sync.Mutex
	// returns holds the balancer that the last packet of each flow came through.
	returns  map[flow.Key]netip.AddrPort
	decoders sync.Pool
}

func newDatagramServer() *datagramServer {
	s := &datagramServer{returns: make(map[flow.Key]netip.AddrPort)}
	s.decoders.New = func() any { return new(geneve.Decoder) }
	return s
}

// deliver returns the local port of the flow if this packet opened it.
func (s *datagramServer) deliver(_ frameSender, d *owner.Deliver) (port uint16, err error) {
	payload, err := s.payload(d.Data)
	if err != nil {
		return 0, err
	}
	s.setReturn(d.Key, d.ReturnAddress)
	if err = s.flows.Send(d.Key, payload); !errors.Is(err, datagram.ErrUnknownFlow) {
		return 0, err
	}
	if port, err = s.bind(d.Key, d.LocalPort); err != nil {
		return 0, err
	}
	return port, s.flows.Send(d.Key, payload)
}

// bind opens the socket of a flow on its port, or on any port if another process
// took that one while no agent ran.
func (s *datagramServer) bind(key flow.Key, port uint16) (bound uint16, err error) {
	bound, err = s.flows.Open(key, port)
	if port != 0 && errors.Is(err, syscall.EADDRINUSE) {
		return s.flows.Open(key, 0)
	}
	return bound, err
}

func (s *datagramServer) closeFlow(key flow.Key) {
	s.flows.Close(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.returns, key)
}

func (s *datagramServer) setReturn(key flow.Key, address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returns[key] = address
}

func (s *datagramServer) returnOf(key flow.Key) (address netip.AddrPort, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	address, ok = s.returns[key]
	return address, ok
}

func (s *datagramServer) payload(data []byte) (payload []byte, err error) {
	decoder := s.decoders.Get().(*geneve.Decoder)
	defer s.decoders.Put(decoder)
	var packet flow.Packet
	if err = decoder.DecodePacket(data, &packet); err != nil {
		return nil, err
	}
	return packet.Payload, nil
}

// tunnelServer hands whole IP packets to the host's tunnel device; the backend
// server answers callers directly.
type tunnelServer struct{ device netip.AddrPort }

func (s *tunnelServer) deliver(out frameSender, d *owner.Deliver) (port uint16, err error) {
	return 0, out.Send(s.device, nil, d.Data)
}

func (s *tunnelServer) bind(_ flow.Key, port uint16) (bound uint16, err error) { return port, nil }

func (s *tunnelServer) closeFlow(_ flow.Key) {}

var (
	_ server = (*datagramServer)(nil)
	_ server = (*tunnelServer)(nil)
)
