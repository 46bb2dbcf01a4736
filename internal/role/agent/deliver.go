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

// frameSender sends frames: geneve.Endpoint at once, geneve.Writer in batches.
type frameSender interface {
	Send(to netip.AddrPort, header *flow.Header, inner []byte) error
}

var (
	_ frameSender = (*geneve.Endpoint)(nil)
	_ frameSender = (*geneve.Writer)(nil)
)

// controlPlane is what the data path needs of the control streams to other processes.
type controlPlane interface {
	// sendReport sends directory entries, as an *owner.Report, or the acknowledgement of received ones, as an
	// *owner.ReportAck, to another agent.
	sendReport(effect owner.Effect)
	// acknowledgeTable acknowledges a table version to the balancers.
	acknowledgeTable(effect *owner.TableAck)
	// acceptsPeer reports whether frames from a data address are accepted.
	acceptsPeer(address netip.AddrPort) bool
	// returnAddress returns the data address of the balancer to send a reply through: the preferred one, or
	// another one if the preferred balancer is gone.
	returnAddress(preferred netip.AddrPort) netip.AddrPort
}

// backendServer is the connection to the backend server.
type backendServer interface {
	// deliver sends a packet to the backend server. The port is that of the socket if the packet opened one,
	// and 0 otherwise.
	deliver(out frameSender, d *owner.Deliver) (port uint16, err error)
	// openFlow opens the socket of a flow on a local port, or on any free port if port is 0, and returns the port.
	openFlow(key flow.Key, port uint16) (boundPort uint16, err error)
	// closeFlow closes the socket of a flow. It has no effect on an unknown flow.
	closeFlow(key flow.Key)
}

// dataPath is the data path of an agent: it passes packets and events to an owner.Owner, which decides about them, and
// applies the effects that the owner.Owner returns. Its methods are safe for concurrent use.
type dataPath struct {
	owner        *owner.Owner
	endpoint     *geneve.Endpoint
	backend      backendServer
	controlPlane controlPlane
	// pauseGuard detects packets that waited in a socket while the process was paused.
	pauseGuard *pause.Detector
	metrics    *metrics.Registry
	// limitedLog limits the rate of log lines about packets.
	limitedLog *logging.RateLimitedLogger
	// serviceID is 0 until the first table spec arrives.
	serviceID atomic.Uint32
	// effectPool holds slices of effects, so that handling a packet does not allocate one.
	effectPool sync.Pool
}

var (
	_ geneve.Handler        = (*dataPath)(nil)
	_ datagram.ReplyHandler = (*dataPath)(nil)
)

// HandleFrame implements geneve.Handler. It handles a packet from a balancer or another agent.
func (d *dataPath) HandleFrame(w *geneve.Writer, _ netip.AddrPort, header *flow.Header, packet *flow.Packet) {
	if header == nil || header.Kind != flow.KindForward {
		d.recordDrop(flow.ReasonForeignPeer)
		return
	}
	now := time.Now()
	if d.pauseGuard.Stale(now) {
		d.recordDrop(flow.ReasonStale)
		return
	}
	effects := d.effectPool.Get().(*[]owner.Effect)
	defer d.effectPool.Put(effects)
	*effects = d.owner.HandlePacket(now, header, packet, (*effects)[:0])
	d.applyEffects(w, *effects)
}

// HandleReply implements datagram.ReplyHandler. It sends a reply of the backend server to the caller.
func (d *dataPath) HandleReply(key flow.Key, payload []byte) {
	d.handleEvent(owner.ReplySeen{Key: key})
	d.sendReply(key, payload)
}

// handleEvent passes an event to the owner.Owner and applies the effects.
func (d *dataPath) handleEvent(event owner.Event) {
	effects := d.effectPool.Get().(*[]owner.Effect)
	defer d.effectPool.Put(effects)
	*effects = d.owner.HandleEvent(time.Now(), event, (*effects)[:0])
	d.applyEffects(d.endpoint, *effects)
}

// applyEffects applies effects in order. Frames are sent with out.
func (d *dataPath) applyEffects(out frameSender, effects []owner.Effect) {
	for _, effect := range effects {
		d.applyEffect(out, effect)
	}
}

func (d *dataPath) applyEffect(out frameSender, effect owner.Effect) {
	switch e := effect.(type) {
	case *owner.Deliver:
		d.deliver(out, e)
	case *owner.Forward:
		d.metrics.Counter("packets.passed").Inc(1)
		d.recordSendError(out.Send(e.To, &e.Header, e.Data))
	case *owner.Refuse:
		d.metrics.CountPacket(metrics.OutcomeRefused, e.Reason)
		d.sendToBalancer(out, e.ReturnAddress, flow.KindRefuse, e.Data)
	case *owner.Reset:
		d.metrics.CountPacket(metrics.OutcomeReset, e.Reason)
		d.sendToBalancer(out, e.ReturnAddress, flow.KindReset, e.Data)
	case *owner.Hint:
		d.sendHint(out, e)
	case *owner.Drop:
		d.recordDrop(e.Reason)
	case *owner.TableAck:
		d.controlPlane.acknowledgeTable(e)
	case *owner.CloseFlow:
		d.backend.closeFlow(e.Key)
	case *owner.BindFlow:
		d.openFlow(e)
	default:
		d.controlPlane.sendReport(effect)
	}
}

// deliver sends a packet to the backend server. If the packet opened a socket on another port than the owner.Owner
// recorded, deliver reports that port to it.
func (d *dataPath) deliver(out frameSender, e *owner.Deliver) {
	port, err := d.backend.deliver(out, e)
	if err != nil {
		d.recordSendError(err)
		return
	}
	d.metrics.Counter("packets.delivered").Inc(1)
	if port != 0 && port != e.LocalPort {
		d.handleEvent(owner.PortBound{Key: e.Key, Port: port})
	}
}

// openFlow opens the socket of a flow. If the port of a recovered flow is taken, the flow gets another one, and the
// backend server sees a new peer. If no socket can be opened, openFlow reports port 0 to the owner.Owner.
func (d *dataPath) openFlow(e *owner.BindFlow) {
	port, err := d.backend.openFlow(e.Key, e.LocalPort)
	if err != nil {
		d.recordSendError(err)
		d.handleEvent(owner.PortBound{Key: e.Key})
		return
	}
	if port == e.LocalPort {
		return
	}
	d.handleEvent(owner.PortBound{Key: e.Key, Port: port})
	if e.LocalPort != 0 {
		d.metrics.Counter("ports.changed").Inc(1)
		d.limitedLog.Warn(time.Now(), "port_changed", "source", e.Key.Source(), "wanted", e.LocalPort, "got", port)
	}
}

// sendToBalancer sends an IP packet for a caller to the balancer at an address, or to another one if that balancer is
// gone.
func (d *dataPath) sendToBalancer(out frameSender, to netip.AddrPort, kind flow.Kind, data []byte) {
	header := flow.Header{ServiceID: d.serviceID.Load(), Kind: kind}
	d.recordSendError(out.Send(d.controlPlane.returnAddress(to), &header, data))
}

// sendHint sends a balancer a frame that names this agent as the owner of a flow.
func (d *dataPath) sendHint(out frameSender, e *owner.Hint) {
	data, err := geneve.AppendHintPacket(nil, e.Key)
	if err != nil {
		d.recordDrop(geneve.ReasonOf(err))
		return
	}
	header := flow.Header{ServiceID: d.serviceID.Load(), Kind: flow.KindHint}
	d.recordSendError(out.Send(e.To, &header, data))
}

// sendReply sends a reply on a flow to the balancer that forwarded the last packet of the flow.
func (d *dataPath) sendReply(key flow.Key, payload []byte) {
	preferred, ok := d.returnAddress(key)
	if !ok {
		d.recordDrop(flow.ReasonUnknownFlow)
		return
	}
	data, err := geneve.AppendUDP(nil, key.Destination(), key.Source(), payload)
	if err != nil {
		d.recordDrop(geneve.ReasonOf(err))
		return
	}
	d.sendToBalancer(d.endpoint, preferred, flow.KindReply, data)
}

// returnAddress returns the data address of the balancer that forwarded the last packet of a flow, and false if that
// balancer is not known.
func (d *dataPath) returnAddress(key flow.Key) (address netip.AddrPort, ok bool) {
	b, ok := d.backend.(*datagramBackend)
	if !ok {
		return netip.AddrPort{}, false
	}
	return b.returnAddress(key)
}

// recordDrop counts and logs a packet that is dropped.
func (d *dataPath) recordDrop(reason flow.Reason) {
	d.metrics.CountPacket(metrics.OutcomeDropped, reason)
	d.limitedLog.Warn(time.Now(), "packet_dropped", "reason", reason)
}

// recordSendError counts and logs a failed send. It has no effect if err is nil.
func (d *dataPath) recordSendError(err error) {
	if err == nil {
		return
	}
	d.metrics.Counter("sends.failed").Inc(1)
	d.limitedLog.Warn(time.Now(), "send_failed", "err", err)
}
