package agent

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"agateramp/internal/core/flow"
	"agateramp/internal/core/owner"
	"agateramp/internal/packet/datagram"
	"agateramp/internal/packet/geneve"
	"agateramp/internal/process/logging"
	"agateramp/internal/process/metrics"
	"agateramp/internal/process/pause"
)

// frameSender sends a frame: the port at once, a worker's writer in batches.
type frameSender interface {
	Send(to netip.AddrPort, header *flow.Header, inner []byte) error
}

var (
	_ frameSender = (*geneve.Endpoint)(nil)
	_ frameSender = (*geneve.Writer)(nil)
)

// peers sends what the owner has to say to other processes.
type peers interface {
	// report sends directory entries and confirmations to other agents.
	report(effect owner.Effect)
	// acknowledge confirms a table version to the balancers.
	acknowledge(effect *owner.TableAck)
	// accepts reports whether frames of a data address are taken.
	accepts(address netip.AddrPort) bool
	// returnAddress is the balancer that takes an answer that would go to
	// wanted; it differs when wanted is gone.
	returnAddress(wanted netip.AddrPort) netip.AddrPort
}

// server hands packets to the backend server.
type server interface {
	deliver(out frameSender, d *owner.Deliver) (port uint16, err error)
	bind(key flow.Key, port uint16) (bound uint16, err error)
	closeFlow(key flow.Key)
}

// dispatcher is the data path of an agent: it hands packets and events to the
// owner and carries out the effects.
type dispatcher struct {
	owner   *owner.Owner
	port    *geneve.Endpoint
	server  server
	peers   peers
	pause   *pause.Guard
	metrics *metrics.Registry
	limited *logging.Limited
	// serviceID is 0 until the first table spec.
	serviceID atomic.Uint32
	effects   sync.Pool
}

var (
	_ geneve.Handler        = (*dispatcher)(nil)
	_ datagram.ReplyHandler = (*dispatcher)(nil)
)

// HandleFrame takes a packet from a balancer or another agent.
func (d *dispatcher) HandleFrame(w *geneve.Writer, _ netip.AddrPort, header *flow.Header, packet *flow.Packet) {
	if header == nil || header.Kind != flow.KindForward {
		d.dropped(flow.ReasonForeignPeer)
		return
	}
	now := time.Now()
	if d.pause.Stale(now) {
		d.dropped(flow.ReasonStale)
		return
	}
	effects := d.effects.Get().(*[]owner.Effect)
	defer d.effects.Put(effects)
	*effects = d.owner.HandlePacket(now, header, packet, (*effects)[:0])
	d.apply(w, *effects)
}

// HandleReply takes an answer of the backend server on a flow.
func (d *dispatcher) HandleReply(key flow.Key, payload []byte) {
	d.event(owner.ReplySeen{Key: key})
	d.reply(key, payload)
}

// event hands an event to the owner and carries out the effects.
func (d *dispatcher) event(event owner.Event) {
	effects := d.effects.Get().(*[]owner.Effect)
	defer d.effects.Put(effects)
	*effects = d.owner.HandleEvent(time.Now(), event, (*effects)[:0])
	d.apply(d.port, *effects)
}

func (d *dispatcher) apply(out frameSender, effects []owner.Effect) {
	for _, effect := range effects {
		d.applyOne(out, effect)
	}
}

func (d *dispatcher) applyOne(out frameSender, effect owner.Effect) {
	switch e := effect.(type) {
	case *owner.Deliver:
		d.deliver(out, e)
	case *owner.Forward:
		d.metrics.Counter("packets.passed").Inc(1)
		d.sent(out.Send(e.To, &e.Header, e.Data))
	case *owner.Refuse:
		d.metrics.Count(metrics.OutcomeRefused, e.Reason)
		d.toBalancer(out, e.ReturnAddress, flow.KindRefuse, e.Data)
	case *owner.Reset:
		d.metrics.Count(metrics.OutcomeReset, e.Reason)
		d.toBalancer(out, e.ReturnAddress, flow.KindReset, e.Data)
	case *owner.Hint:
		d.hint(out, e)
	case *owner.Drop:
		d.dropped(e.Reason)
	case *owner.TableAck:
		d.peers.acknowledge(e)
	case *owner.CloseFlow:
		d.server.closeFlow(e.Key)
	case *owner.BindFlow:
		d.bind(e)
	default:
		d.peers.report(effect)
	}
}

func (d *dispatcher) deliver(out frameSender, e *owner.Deliver) {
	port, err := d.server.deliver(out, e)
	if err != nil {
		d.sent(err)
		return
	}
	d.metrics.Counter("packets.delivered").Inc(1)
	if port != 0 && port != e.LocalPort {
		d.event(owner.PortBound{Key: e.Key, Port: port})
	}
}

// bind opens the socket of a flow. If the port of a recovered flow is taken the
// flow gets another one, and the backend server sees a new peer.
func (d *dispatcher) bind(e *owner.BindFlow) {
	port, err := d.server.bind(e.Key, e.LocalPort)
	if err != nil {
		d.sent(err)
		d.event(owner.PortBound{Key: e.Key})
		return
	}
	if port == e.LocalPort {
		return
	}
	d.event(owner.PortBound{Key: e.Key, Port: port})
	if e.LocalPort != 0 {
		d.metrics.Counter("ports.changed").Inc(1)
		d.limited.Warn(time.Now(), "port_changed", "source", e.Key.Source(), "wanted", e.LocalPort, "got", port)
	}
}

func (d *dispatcher) toBalancer(out frameSender, to netip.AddrPort, kind flow.Kind, data []byte) {
	header := flow.Header{ServiceID: d.serviceID.Load(), Kind: kind}
	d.sent(out.Send(d.peers.returnAddress(to), &header, data))
}

func (d *dispatcher) hint(out frameSender, e *owner.Hint) {
	data, err := geneve.AppendHintPacket(nil, e.Key)
	if err != nil {
		d.dropped(geneve.ReasonOf(err))
		return
	}
	header := flow.Header{ServiceID: d.serviceID.Load(), Kind: flow.KindHint}
	d.sent(out.Send(e.To, &header, data))
}

func (d *dispatcher) reply(key flow.Key, payload []byte) {
	wanted, ok := d.returnOf(key)
	if !ok {
		d.dropped(flow.ReasonUnknownFlow)
		return
	}
	data, err := geneve.AppendUDP(nil, key.Destination(), key.Source(), payload)
	if err != nil {
		d.dropped(geneve.ReasonOf(err))
		return
	}
	d.toBalancer(d.port, wanted, flow.KindReply, data)
}

func (d *dispatcher) returnOf(key flow.Key) (address netip.AddrPort, ok bool) {
	s, ok := d.server.(*datagramServer)
	if !ok {
		return netip.AddrPort{}, false
	}
	return s.returnOf(key)
}

func (d *dispatcher) dropped(reason flow.Reason) {
	d.metrics.Count(metrics.OutcomeDropped, reason)
	d.limited.Warn(time.Now(), "packet_dropped", "reason", reason)
}

func (d *dispatcher) sent(err error) {
	if err == nil {
		return
	}
	d.metrics.Counter("sends.failed").Inc(1)
	d.limited.Warn(time.Now(), "send_failed", "err", err)
}
