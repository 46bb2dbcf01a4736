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

// frameSender sends frames: geneve.Endpoint at once, geneve.Writer in batches.
type frameSender interface {
	Send(to netip.AddrPort, header *flow.Header, inner []byte) error
}

var (
	_ frameSender = (*geneve.Endpoint)(nil)
	_ frameSender = (*geneve.Writer)(nil)
)

// forwarder implements DataPath. It handles packets of callers, from the fabric and from datagram sockets, and
// packets of agents for callers.
type forwarder struct {
	router   *router.Router
	endpoint *geneve.Endpoint
	sockets  *datagram.ServiceSockets
	// pauseGuard detects packets that waited in a socket while the process was paused.
	pauseGuard *pause.Detector
	metrics    *metrics.Registry
	// limitedLog limits the rate of log lines about packets.
	limitedLog *logging.RateLimitedLogger
	// fabricAddresses holds the addresses that the fabric sends from.
	fabricAddresses map[netip.AddrPort]struct{}
	// datagramServices holds the service addresses that receive plain UDP datagrams. Replies from these addresses
	// leave through their sockets, all others through the fabric: no datagram is sent from a socket straight to a
	// caller behind the fabric.
	datagramServices map[netip.AddrPort]struct{}
	// fabricEgress is the address of the fabric that packets to callers are sent to, or the zero value if the
	// settings have no fabric.
	fabricEgress netip.AddrPort
	// acceptedAgents holds the data addresses of the agents whose frames are accepted. The map is never changed, only
	// replaced, so that it is read without a lock.
	acceptedAgents atomic.Pointer[map[netip.AddrPort]struct{}]

	// mu guards liveAgents and the replacement of acceptedAgents.
	mu sync.Mutex
	// liveAgents holds the data addresses of the agents that were last reported alive. A new host may reply through
	// this balancer before a table that lists it arrives.
	liveAgents map[netip.AddrPort]struct{}

	workspaces sync.Pool // of *workspace
}

// workspace is the memory for handling one packet. It is pooled so that handling does not allocate.
type workspace struct {
	scratch router.Scratch
	decoder geneve.Decoder
	buffer  []byte
}

var (
	_ geneve.Handler         = (*forwarder)(nil)
	_ datagram.CallerHandler = (*forwarder)(nil)
)

// acceptsPeer reports whether frames from a peer are accepted.
func (f *forwarder) acceptsPeer(peer netip.AddrPort) bool {
	if _, ok := f.fabricAddresses[peer]; ok {
		return true
	}
	_, ok := (*f.acceptedAgents.Load())[peer]
	return ok
}

// HandleFrame implements geneve.Handler. It handles a frame from the fabric or an agent.
func (f *forwarder) HandleFrame(w *geneve.Writer, from netip.AddrPort, header *flow.Header, packet *flow.Packet) {
	_, fromFabric := f.fabricAddresses[from]
	if header == nil && fromFabric {
		f.forwardFromFabric(w, packet)
		return
	}
	if header == nil || fromFabric {
		f.recordDrop(flow.ReasonForeignPeer)
		return
	}
	f.handleAgentFrame(w, from, header, packet)
}

// forwardFromFabric forwards a packet from the fabric, unless its service address receives plain datagrams.
func (f *forwarder) forwardFromFabric(w *geneve.Writer, packet *flow.Packet) {
	if f.isDatagramFlow(packet.Key) {
		f.recordDrop(flow.ReasonWrongEntry)
		return
	}
	f.forward(w, packet)
}

// isDatagramFlow reports whether the service address of a flow, its destination, receives plain UDP datagrams. A TCP
// service may have the same address and port.
func (f *forwarder) isDatagramFlow(key flow.Key) bool {
	if key.Protocol() != protocolUDP {
		return false
	}
	_, ok := f.datagramServices[key.Destination()]
	return ok
}

// HandleDatagram implements datagram.CallerHandler. It forwards a datagram of a caller from a service socket.
func (f *forwarder) HandleDatagram(packet *flow.Packet) {
	f.forward(f.endpoint, packet)
}

// forward sends a packet of a caller to the agent that the router selects, or refuses or drops it.
func (f *forwarder) forward(out frameSender, packet *flow.Packet) {
	now := time.Now()
	if f.pauseGuard.Stale(now) {
		f.recordDrop(flow.ReasonStale)
		return
	}
	space := f.workspaces.Get().(*workspace)
	defer f.workspaces.Put(space)
	switch d := f.router.Decide(now, packet, &space.scratch).(type) {
	case *router.Forward:
		f.recordSendError(out.Send(d.To, &d.Header, packet.Data))
	case *router.Refuse:
		f.metrics.CountPacket(metrics.OutcomeRefused, d.Reason)
		f.sendRefusal(out, space, packet)
	case *router.Drop:
		f.recordDrop(d.Reason)
	}
}

// handleAgentFrame handles a frame of an agent, which holds a packet for a caller or a hint about the owner of a flow.
func (f *forwarder) handleAgentFrame(out frameSender, from netip.AddrPort, header *flow.Header, packet *flow.Packet) {
	space := f.workspaces.Get().(*workspace)
	defer f.workspaces.Put(space)
	switch header.Kind {
	case flow.KindReply:
		f.sendToCaller(out, packet)
	case flow.KindRefuse:
		f.metrics.Counter("refusals.sent").Inc(1)
		f.sendRefusal(out, space, packet)
	case flow.KindReset:
		f.metrics.Counter("resets.sent").Inc(1)
		f.sendReset(out, space, packet)
	case flow.KindHint:
		f.router.AddHint(time.Now(), packet.Key, from)
	case flow.KindForward:
		f.recordDrop(flow.ReasonForeignPeer)
	}
}

// sendToCaller sends an IP packet from a service address to a caller.
func (f *forwarder) sendToCaller(out frameSender, packet *flow.Packet) {
	service, caller := packet.Key.Source(), packet.Key.Destination()
	if _, ok := f.datagramServices[service]; ok {
		f.recordSendError(f.sockets.SendToCaller(service, caller, packet.Payload))
		return
	}
	f.sendToFabric(out, packet.Data)
}

// sendToFabric sends an IP packet for a caller to the fabric. Without a fabric the packet is dropped.
func (f *forwarder) sendToFabric(out frameSender, data []byte) {
	if !f.fabricEgress.IsValid() {
		f.recordDrop(flow.ReasonUnknownService)
		return
	}
	f.recordSendError(out.Send(f.fabricEgress, nil, data))
}

// sendRefusal notifies the caller of packet that its request was not run: by a TCP reset, or by a datagram with the
// refusal payload of the service. A caller of a UDP service without a refusal payload receives nothing.
func (f *forwarder) sendRefusal(out frameSender, space *workspace, packet *flow.Packet) {
	if packet.Key.Protocol() == protocolTCP {
		f.sendReset(out, space, packet)
		return
	}
	service := f.router.Service(packet.Key.Protocol(), packet.Key.Destination())
	if service == nil || len(service.GetRefusal()) == 0 {
		return
	}
	caller, address := packet.Key.Source(), packet.Key.Destination()
	if f.isDatagramFlow(packet.Key) {
		f.recordSendError(f.sockets.SendToCaller(address, caller, service.GetRefusal()))
		return
	}
	data, err := geneve.AppendUDP(space.buffer[:0], address, caller, service.GetRefusal())
	if err != nil {
		f.recordDrop(geneve.ReasonOf(err))
		return
	}
	space.buffer = data
	f.sendToFabric(out, data)
}

// sendReset answers a TCP packet with a reset. Packets of other protocols are not answered.
func (f *forwarder) sendReset(out frameSender, space *workspace, packet *flow.Packet) {
	if packet.Key.Protocol() != protocolTCP {
		return
	}
	data, err := space.decoder.AppendReset(space.buffer[:0], packet.Data)
	if err != nil {
		f.recordDrop(geneve.ReasonOf(err))
		return
	}
	space.buffer = data
	f.sendToFabric(out, data)
}

// update implements DataPath.Update.
func (f *forwarder) update(spec *controlpb.TableSpec) (applied bool, err error) {
	applied, err = f.router.Update(spec)
	if applied {
		f.updateAcceptedAgents()
	}
	return applied, err
}

// setSuspected records whether the agent at a data address is suspected to be dead.
func (f *forwarder) setSuspected(address netip.AddrPort, suspected bool) {
	f.router.SetSuspected(address, suspected)
	f.mu.Lock()
	_, wasAlive := f.liveAgents[address]
	if suspected {
		delete(f.liveAgents, address)
	} else {
		f.liveAgents[address] = struct{}{}
	}
	f.mu.Unlock()
	// The set of live agents changed if the agent was alive and is suspected now, or the reverse.
	if wasAlive == suspected {
		f.updateAcceptedAgents()
	}
}

// updateAcceptedAgents collects the agents whose frames are accepted: those in any table and those reported alive.
func (f *forwarder) updateAcceptedAgents() {
	f.mu.Lock()
	defer f.mu.Unlock()
	agents := maps.Clone(f.liveAgents)
	for _, version := range f.router.Versions() {
		t := f.router.Table(version.GetServiceId())
		if t == nil {
			continue
		}
		for _, address := range t.Addresses() {
			agents[address] = struct{}{}
		}
	}
	f.acceptedAgents.Store(&agents)
}

// recordDrop counts and logs a packet that is dropped.
func (f *forwarder) recordDrop(reason flow.Reason) {
	f.metrics.CountPacket(metrics.OutcomeDropped, reason)
	f.limitedLog.Warn(time.Now(), "packet_dropped", "reason", reason)
}

// recordSendError counts and logs a failed send. It has no effect if err is nil.
func (f *forwarder) recordSendError(err error) {
	if err == nil {
		return
	}
	f.metrics.Counter("sends.failed").Inc(1)
	f.limitedLog.Warn(time.Now(), "send_failed", "err", err)
}
