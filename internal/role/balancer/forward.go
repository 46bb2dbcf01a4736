package balancer

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
	"agateramp/internal/core/router"
	"agateramp/internal/packet/datagram"
	"agateramp/internal/packet/geneve"
	"agateramp/internal/process/logging"
	"agateramp/internal/process/metrics"
	"agateramp/internal/process/pause"
)

// IP protocol numbers.
const (
	protocolTCP = 6
	protocolUDP = 17
)

// frameSender sends a frame: the port at once, a worker's writer in batches.
type frameSender interface {
	Send(to netip.AddrPort, header *flow.Header, inner []byte) error
}

var (
	_ frameSender = (*geneve.Endpoint)(nil)
	_ frameSender = (*geneve.Writer)(nil)
)

// forwarder is the data path of a balancer. It takes packets of callers from
// the fabric and from datagram sockets, and answers of agents.
type forwarder struct {
	router   *router.Router
	port     *geneve.Endpoint
	services *datagram.ServiceSockets
	pause    *pause.Guard
	metrics  *metrics.Registry
	limited  *logging.Limited
	fabrics  map[netip.AddrPort]struct{}
	// datagrams holds the service addresses taken as plain datagrams. Answers to
	// their callers leave from the service socket, all others through the fabric:
	// an address of a caller behind the fabric is never a target of a socket.
	datagrams map[netip.AddrPort]struct{}
	// fabric takes packets to callers; it is the zero value without a fabric.
	fabric netip.AddrPort
	agents atomic.Pointer[map[netip.AddrPort]struct{}]

	mu sync.Mutex
	// alive holds the agents that were seen alive. A new host answers through this
	// balancer before the table that lists it has come.
	alive map[netip.AddrPort]struct{}

	scratches sync.Pool
}

// workspace is the memory of one decision.
type workspace struct {
	scratch router.Scratch
	decoder geneve.Decoder
	buffer  []byte
}

var (
	_ geneve.Handler         = (*forwarder)(nil)
	_ datagram.CallerHandler = (*forwarder)(nil)
)

// accept reports whether frames of a peer are taken.
func (f *forwarder) accept(peer netip.AddrPort) bool {
	if _, ok := f.fabrics[peer]; ok {
		return true
	}
	_, ok := (*f.agents.Load())[peer]
	return ok
}

// HandleFrame takes a frame from the fabric or an agent.
func (f *forwarder) HandleFrame(w *geneve.Writer, from netip.AddrPort, header *flow.Header, packet *flow.Packet) {
	_, fabric := f.fabrics[from]
	if header == nil && fabric {
		f.fromFabric(w, packet)
		return
	}
	if header == nil || fabric {
		f.dropped(flow.ReasonForeignPeer)
		return
	}
	f.answer(w, from, header, packet)
}

func (f *forwarder) fromFabric(w *geneve.Writer, packet *flow.Packet) {
	if f.datagram(packet.Key) {
		f.dropped(flow.ReasonWrongEntry)
		return
	}
	f.forward(w, packet)
}

// datagram reports whether the service address of a flow, its destination, is
// taken as plain datagrams. A TCP service may have the same address and port.
func (f *forwarder) datagram(key flow.Key) bool {
	if key.Protocol() != protocolUDP {
		return false
	}
	_, ok := f.datagrams[key.Destination()]
	return ok
}

// HandleDatagram takes a datagram of a caller from a service socket.
func (f *forwarder) HandleDatagram(packet *flow.Packet) {
	f.forward(f.port, packet)
}

func (f *forwarder) forward(out frameSender, packet *flow.Packet) {
	now := time.Now()
	if f.pause.Stale(now) {
		f.dropped(flow.ReasonStale)
		return
	}
	space := f.scratches.Get().(*workspace)
	defer f.scratches.Put(space)
	switch d := f.router.Decide(now, packet, &space.scratch).(type) {
	case *router.Forward:
		f.sent(out.Send(d.To, &d.Header, packet.Data))
	case *router.Refuse:
		f.metrics.Count(metrics.OutcomeRefused, d.Reason)
		f.refuse(out, space, packet)
	case *router.Drop:
		f.dropped(d.Reason)
	}
}

// answer takes a frame of an agent for a caller or for the hint cache.
func (f *forwarder) answer(out frameSender, from netip.AddrPort, header *flow.Header, packet *flow.Packet) {
	space := f.scratches.Get().(*workspace)
	defer f.scratches.Put(space)
	switch header.Kind {
	case flow.KindReply:
		f.toCaller(out, packet)
	case flow.KindRefuse:
		f.metrics.Counter("refusals.sent").Inc(1)
		f.refuse(out, space, packet)
	case flow.KindReset:
		f.metrics.Counter("resets.sent").Inc(1)
		f.reset(out, space, packet)
	case flow.KindHint:
		f.router.AddHint(time.Now(), packet.Key, from)
	case flow.KindForward:
		f.dropped(flow.ReasonForeignPeer)
	}
}

// toCaller sends a whole IP packet from a service to a caller.
func (f *forwarder) toCaller(out frameSender, packet *flow.Packet) {
	service, caller := packet.Key.Source(), packet.Key.Destination()
	if _, ok := f.datagrams[service]; ok {
		f.sent(f.services.SendToCaller(service, caller, packet.Payload))
		return
	}
	f.toFabric(out, packet.Data)
}

func (f *forwarder) toFabric(out frameSender, data []byte) {
	if !f.fabric.IsValid() {
		f.dropped(flow.ReasonUnknownService)
		return
	}
	f.sent(out.Send(f.fabric, nil, data))
}

// refuse tells the caller of packet that its work was not run: by a TCP reset,
// or by the refusal payload of the service if it has one.
func (f *forwarder) refuse(out frameSender, space *workspace, packet *flow.Packet) {
	if packet.Key.Protocol() == protocolTCP {
		f.reset(out, space, packet)
		return
	}
	service := f.router.Service(packet.Key.Protocol(), packet.Key.Destination())
	if service == nil || len(service.GetRefusal()) == 0 {
		return
	}
	caller, address := packet.Key.Source(), packet.Key.Destination()
	if f.datagram(packet.Key) {
		f.sent(f.services.SendToCaller(address, caller, service.GetRefusal()))
		return
	}
	data, err := geneve.AppendUDP(space.buffer[:0], address, caller, service.GetRefusal())
	if err != nil {
		f.dropped(geneve.ReasonOf(err))
		return
	}
	space.buffer = data
	f.toFabric(out, data)
}

// reset answers a TCP packet with a reset. Other protocols have none.
func (f *forwarder) reset(out frameSender, space *workspace, packet *flow.Packet) {
	if packet.Key.Protocol() != protocolTCP {
		return
	}
	data, err := space.decoder.AppendReset(space.buffer[:0], packet.Data)
	if err != nil {
		f.dropped(geneve.ReasonOf(err))
		return
	}
	space.buffer = data
	f.toFabric(out, data)
}

// update takes a table spec into use.
func (f *forwarder) update(spec *controlpb.TableSpec) (applied bool, err error) {
	applied, err = f.router.Update(spec)
	if applied {
		f.refreshAgents()
	}
	return applied, err
}

// suspect takes whether an agent is alive.
func (f *forwarder) suspect(address netip.AddrPort, suspected bool) {
	f.router.SetSuspected(address, suspected)
	f.mu.Lock()
	_, known := f.alive[address]
	if suspected {
		delete(f.alive, address)
	} else {
		f.alive[address] = struct{}{}
	}
	f.mu.Unlock()
	if known == suspected {
		f.refreshAgents()
	}
}

// refreshAgents collects the agents whose frames are accepted: those of all
// tables, and those that are alive.
func (f *forwarder) refreshAgents() {
	f.mu.Lock()
	defer f.mu.Unlock()
	agents := maps.Clone(f.alive)
	for _, version := range f.router.Versions() {
		t := f.router.Table(version.GetServiceId())
		if t == nil {
			continue
		}
		for _, address := range t.Addresses() {
			agents[address] = struct{}{}
		}
	}
	f.agents.Store(&agents)
}

func (f *forwarder) dropped(reason flow.Reason) {
	f.metrics.Count(metrics.OutcomeDropped, reason)
	f.limited.Warn(time.Now(), "packet_dropped", "reason", reason)
}

func (f *forwarder) sent(err error) {
	if err == nil {
		return
	}
	f.metrics.Counter("sends.failed").Inc(1)
	f.limited.Warn(time.Now(), "send_failed", "err", err)
}
