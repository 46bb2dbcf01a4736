package fabric

import (
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	"agateramp/internal/core/flow"
	"agateramp/internal/packet/geneve"
)

// GenevePort is the fabric's side that carries whole IP packets. A packet for a
// service address comes from a caller and goes to a balancer; the fabric learns
// the caller's UDP address from it. Any other packet goes to the caller that it
// is addressed to.
type GenevePort struct {
	fabric   *Fabric
	port     *geneve.Endpoint
	mu       sync.RWMutex
	services map[netip.AddrPort]bool
	callers  map[netip.Addr]netip.AddrPort
}

var _ geneve.Handler = (*GenevePort)(nil)

// ListenGeneve opens a Geneve address of the fabric, whose port may be 0.
func (f *Fabric) ListenGeneve(listen netip.AddrPort) (p *GenevePort, err error) {
	p = &GenevePort{fabric: f, services: make(map[netip.AddrPort]bool), callers: make(map[netip.Addr]netip.AddrPort)}
	p.port, err = geneve.New(geneve.Config{Listen: listen, Handler: p, Group: f.cfg.Group})
	if err != nil {
		return nil, errors.WithMessage(err, "fabric")
	}
	p.port.Start()
	return p, nil
}

// Address returns the address that callers, balancers and tunnel devices send to.
func (p *GenevePort) Address() netip.AddrPort { return p.port.Address() }

// Route has packets for a service address go to the balancers.
func (p *GenevePort) Route(service netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services[service] = true
}

// HandleFrame implements geneve.Handler.
func (p *GenevePort) HandleFrame(w *geneve.Writer, from netip.AddrPort, _ *flow.Header, packet *flow.Packet) {
	source, destination := packet.Key.Source().Addr(), packet.Key.Destination()
	p.mu.RLock()
	service, caller, known := p.services[destination], p.callers[destination.Addr()], p.callers[source] == from
	p.mu.RUnlock()
	if !service {
		if caller.IsValid() {
			_ = w.Send(caller, nil, packet.Data)
		}
		return
	}
	if !known {
		p.mu.Lock()
		p.callers[source] = from
		p.mu.Unlock()
	}
	p.fabric.spray(packet.Data, func(b *Balancer) netip.AddrPort { return b.Data }, func(to netip.AddrPort, data []byte) {
		// A packet that cannot be sent is lost like one dropped on the way.
		_ = p.port.Send(to, nil, data)
	})
}
