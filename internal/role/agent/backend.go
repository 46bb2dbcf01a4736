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

// datagramBackend reaches the backend server over one UDP socket for each flow. Replies arrive on that socket.
type datagramBackend struct {
	flows *datagram.FlowSockets

	// mu guards returnAddresses.
	mu sync.Mutex
	// returnAddresses holds, for each flow, the data address of the balancer that forwarded the last packet.
	returnAddresses map[flow.Key]netip.AddrPort
	decoderPool     sync.Pool // of *geneve.Decoder
}

// newDatagramBackend returns a datagramBackend without flows, which must be set before the first packet is delivered.
func newDatagramBackend() *datagramBackend {
	b := &datagramBackend{returnAddresses: make(map[flow.Key]netip.AddrPort)}
	b.decoderPool.New = func() any { return new(geneve.Decoder) }
	return b
}

// deliver implements backendServer. The first packet of a flow opens the socket of the flow.
func (b *datagramBackend) deliver(_ frameSender, d *owner.Deliver) (port uint16, err error) {
	payload, err := b.payload(d.Data)
	if err != nil {
		return 0, err
	}
	b.setReturnAddress(d.Key, d.ReturnAddress)
	if err = b.flows.Send(d.Key, payload); !errors.Is(err, datagram.ErrUnknownFlow) {
		return 0, err
	}
	if port, err = b.openFlow(d.Key, d.LocalPort); err != nil {
		return 0, err
	}
	return port, b.flows.Send(d.Key, payload)
}

// openFlow implements backendServer. If another process took the port while no agent ran, the socket gets any
// free port.
func (b *datagramBackend) openFlow(key flow.Key, port uint16) (boundPort uint16, err error) {
	boundPort, err = b.flows.Open(key, port)
	if port != 0 && errors.Is(err, syscall.EADDRINUSE) {
		return b.flows.Open(key, 0)
	}
	return boundPort, err
}

// closeFlow implements backendServer.
func (b *datagramBackend) closeFlow(key flow.Key) {
	b.flows.Close(key)
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.returnAddresses, key)
}

func (b *datagramBackend) setReturnAddress(key flow.Key, address netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.returnAddresses[key] = address
}

// returnAddress returns the data address of the balancer that forwarded the last packet of a flow, and false for an
// unknown flow.
func (b *datagramBackend) returnAddress(key flow.Key) (address netip.AddrPort, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	address, ok = b.returnAddresses[key]
	return address, ok
}

// payload returns the UDP payload of the IP packet in data. The payload refers to the memory of data.
func (b *datagramBackend) payload(data []byte) (payload []byte, err error) {
	decoder := b.decoderPool.Get().(*geneve.Decoder)
	defer b.decoderPool.Put(decoder)
	var packet flow.Packet
	if err = decoder.DecodePacket(data, &packet); err != nil {
		return nil, err
	}
	return packet.Payload, nil
}

// tunnelBackend sends whole IP packets in Geneve frames to the host's tunnel device. The backend server replies
// to callers directly.
type tunnelBackend struct{ device netip.AddrPort }

// deliver implements backendServer.
func (b *tunnelBackend) deliver(out frameSender, d *owner.Deliver) (port uint16, err error) {
	return 0, out.Send(b.device, nil, d.Data)
}

// openFlow implements backendServer. There are no sockets, so the port of the flow stays as it is.
func (b *tunnelBackend) openFlow(_ flow.Key, port uint16) (boundPort uint16, err error) {
	return port, nil
}

// closeFlow implements backendServer. There is nothing to close.
func (b *tunnelBackend) closeFlow(_ flow.Key) {}

var (
	_ backendServer = (*datagramBackend)(nil)
	_ backendServer = (*tunnelBackend)(nil)
)
