package owner

import (
	"fmt"
	"net/netip"
	"time"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// connectionsPerHost is so low that some hosts reach it.
const connectionsPerHost = 40

// simService is a service, with the part of its shard holder that publishes and retires
// table versions.
type simService struct {
	network *network
	service *controlpb.Service
	members []*controlpb.Member
	spec    *controlpb.TableSpec
	// publishPending is set when a version is to be published once one is retired.
	publishPending bool
	// stateLosses holds the times of the latest losses of an agent's state.
	stateLosses []time.Time

	balancerAcks map[*simBalancer]uint64
	agentAcks    map[*simHost]uint64
}

// simHost is a backend server with its agent. owner is nil while the agent is down.
type simHost struct {
	network *network
	name    string
	address netip.AddrPort
	service *simService
	owner   *Owner
	alive   bool
	// incarnation counts the starts of the agent.
	incarnation uint64
	// restarting is set from the order to restart the agent until it has started.
	restarting bool
	// drainedAt is when the agent was ordered to drain, or the zero value.
	drainedAt time.Time
	// failed is set when the host was killed.
	failed bool
	slots  int
	// lastLocalPort is the local port that was opened last.
	lastLocalPort uint16
	// connections holds the ids of the open streams.
	connections     map[flow.Key]int
	runningRequests int
}

// addService adds a service without members.
func (n *network) addService(id uint32, service *controlpb.Service) *simService {
	service.Id = id
	service.Addresses = []*controlpb.ServiceAddress{
		{Address: fmt.Sprintf("127.8.0.%d:80", id), Protocol: protocolTCP},
		{Address: fmt.Sprintf("127.8.0.%d:80", id), Protocol: protocolUDP},
	}
	s := &simService{
		network: n, service: service,
		balancerAcks: make(map[*simBalancer]uint64),
		agentAcks:    make(map[*simHost]uint64),
	}
	n.services = append(n.services, s)
	return s
}

// publish publishes a table version with the present members, or later if 4 versions are
// retained.
func (s *simService) publish() {
	if s.spec != nil && len(s.spec.GetVersions()) == flow.MaxPathLen {
		s.publishPending = true
		return
	}
	s.publishPending = false
	next := &controlpb.TableSpec{ServiceId: s.service.GetId(), Service: s.service, ConfigVersion: 1}
	version := &controlpb.TableVersion{Version: 1}
	if s.spec != nil {
		version.Version = s.spec.GetVersions()[0].GetVersion() + 1
	}
	for _, m := range s.members {
		version.Members = append(version.Members, &controlpb.Member{
			Host: m.GetHost(), Address: m.GetAddress(), DataCentre: m.GetDataCentre(),
			Weight: m.GetWeight(), Draining: m.GetDraining(), Slots: m.GetSlots(), Incarnation: m.GetIncarnation(),
		})
	}
	next.Versions = append(next.Versions, version)
	next.Versions = append(next.Versions, s.spec.GetVersions()...)
	s.distribute(next)
}

// retireVersions retires old versions. The oldest version may go when all live balancers
// and the agents of all live hosts have acknowledged a newer one.
func (s *simService) retireVersions() {
	versions := s.spec.GetVersions()
	if len(versions) < 2 {
		return
	}
	oldest := versions[len(versions)-1].GetVersion()
	for _, b := range s.network.balancers {
		if b.live && s.balancerAcks[b] <= oldest {
			return
		}
	}
	for _, h := range s.network.hosts {
		if h.alive && h.service == s && s.agentAcks[h] <= oldest {
			return
		}
	}
	s.distribute(&controlpb.TableSpec{
		ServiceId: s.spec.GetServiceId(), Service: s.service, ConfigVersion: 1,
		Versions: versions[:len(versions)-1],
	})
	if s.publishPending {
		s.publish()
	}
	s.retireVersions()
}

// distribute sends a spec to all balancers and agents, to some of them late.
func (s *simService) distribute(spec *controlpb.TableSpec) {
	s.spec = spec
	n := s.network
	n.log("service %d publishes versions %d to %d", spec.GetServiceId(),
		spec.GetVersions()[len(spec.GetVersions())-1].GetVersion(), spec.GetVersions()[0].GetVersion())
	delay := func() time.Duration {
		if n.percentChance(20) {
			return n.between(0, 3*time.Second)
		}
		return n.between(time.Millisecond, 200*time.Millisecond)
	}
	for _, b := range n.balancers {
		n.after(delay(), func() { n.updateBalancer(b, s, spec) })
	}
	for _, h := range n.hosts {
		n.after(delay(), func() { h.receiveSpec(s, spec) })
	}
}

// receiveSpec passes a spec to the agent, if the agent runs and serves the service.
func (h *simHost) receiveSpec(s *simService, spec *controlpb.TableSpec) {
	if h.alive && h.service == s && h.owner != nil {
		h.network.log("%s receives version %d of service %d", h.name, spec.GetVersions()[0].GetVersion(), spec.GetServiceId())
		h.network.applyEffects(h, nil, h.owner.HandleEvent(h.network.now, SpecReceived{Spec: spec}, nil))
	}
}

// newHost starts a host of a service, but does not add it to the members of the service.
func (n *network) newHost(s *simService, address netip.AddrPort, slots int) *simHost {
	h := &simHost{
		network: n, name: fmt.Sprintf("host-%d", len(n.hosts)), address: address, service: s, alive: true,
		slots: slots, connections: make(map[flow.Key]int),
	}
	n.hosts = append(n.hosts, h)
	h.startAgent()
	return h
}

// freeAddress returns the address of the next host.
func (n *network) freeAddress() netip.AddrPort { return hostAddress(len(n.hosts) + 1) }

// member returns the member entry of a host for the table of its service.
func (h *simHost) member(weight uint32) *controlpb.Member {
	return &controlpb.Member{
		Host: h.name, Address: h.address.String(), DataCentre: fmt.Sprintf("dc-%d", h.address.Addr().As4()[3]%3),
		Weight: weight, Slots: uint32(h.slots), Incarnation: h.incarnation,
	}
}

// startAgent starts the agent of a host. The baselines have no agents.
func (h *simHost) startAgent() {
	n := h.network
	if n.mode != agentPlacement {
		return
	}
	datagram := h.service.service.GetFirstPacket() == controlpb.FirstPacket_FIRST_PACKET_PREFIX
	h.incarnation++
	o, err := New(Config{
		Self: h.address, Slots: h.slots, Connections: connectionsPerHost, RepliesReported: datagram,
		Started: n.now, Incarnation: h.incarnation,
	})
	if err != nil {
		panic(err)
	}
	h.owner = o
	n.log("%s starts its agent", h.name)
	if h.service.spec != nil {
		spec := h.service.spec
		n.after(n.between(0, 30*time.Millisecond), func() {
			if h.owner == o {
				h.receiveSpec(h.service, spec)
			}
		})
	}
	if !h.drainedAt.IsZero() {
		o.HandleEvent(n.now, DrainChanged{Drain: true}, nil)
	}
	for _, other := range n.hosts {
		if other != h && other.alive && other.service == h.service {
			n.connect(h, other)
		}
	}
	h.tick(o)
}

// tick sends ticks to an agent until the agent stops.
func (h *simHost) tick(o *Owner) {
	if h.owner != o || !h.alive {
		return
	}
	h.network.applyEffects(h, nil, o.HandleEvent(h.network.now, Tick{}, nil))
	h.network.after(TickInterval, func() { h.tick(o) })
}

// stopAgent stops the agent and leaves the backend server running. A planned stop first
// waits up to 500 ms until the peers have confirmed all reports.
func (h *simHost) stopAgent(planned bool) {
	n := h.network
	if h.owner == nil {
		return
	}
	o := h.owner
	stop := func() {
		if h.owner != o {
			return
		}
		n.log("%s stops its agent, planned %v", h.name, planned)
		h.owner = nil
		for _, other := range n.hosts {
			// A live host may have the address of a failed one.
			if other != h && other.alive && other.service == h.service {
				n.disconnect(h, other)
			}
		}
	}
	if !planned {
		stop()
		return
	}
	n.applyEffects(h, nil, o.HandleEvent(n.now, Stopping{}, nil))
	deadline := n.now.Add(500 * time.Millisecond)
	var wait func()
	wait = func() {
		if o.Flushed() || n.now.After(deadline) {
			stop()
			return
		}
		n.after(5*time.Millisecond, wait)
	}
	wait()
}

// scheduleSuspicion makes the balancers suspect a host, or end the suspicion, as suspected
// reports at that time.
func (n *network) scheduleSuspicion(h *simHost, suspected func() bool) {
	for _, b := range n.balancers {
		n.after(n.between(10*time.Millisecond, 400*time.Millisecond), func() {
			if b.live {
				b.router.SetSuspected(h.address, suspected())
			}
		})
	}
}

// receiveAtBackend processes a packet that reaches a backend server.
func (n *network) receiveAtBackend(h *simHost, p *flow.Packet, _ netip.AddrPort) {
	c := n.callerFlowOf(p)
	if p.Key.Destination().Addr().As4()[3] != byte(h.service.service.GetId()) {
		n.misdelivered = append(n.misdelivered, fmt.Sprintf("%s got %s", h.name, packetName(p)))
	}
	if p.Key.Protocol() == protocolUDP {
		h.runRequest(c)
		return
	}
	id, known := h.connections[p.Key]
	switch {
	case p.SYN:
		if !known || id != c.id {
			h.acceptStream(p, c, known)
		}
		n.send(func() { c.handleReply(h, 0) })
	case known && id == c.id:
		index := int(p.Data[36])
		n.send(func() { c.handleReply(h, index) })
	default:
		n.send(func() { c.handleReset("backend server of " + h.name) })
	}
}

// acceptStream opens a stream. A SYN on the key of a stream that the host still has cannot
// go to another host, so it does not count as new work on a draining host.
func (h *simHost) acceptStream(p *flow.Packet, c *callerFlow, hadStream bool) {
	h.connections[p.Key] = c.id
	c.runCount++
	h.checkRefused(c)
	if !hadStream {
		h.checkDrained(c)
	}
}

// checkDrained records a violation if the agent that gets new work has been ordered to
// drain.
func (h *simHost) checkDrained(c *callerFlow) {
	if !h.drainedAt.IsZero() && h.network.mode == agentPlacement {
		h.network.workAfterDrain = append(h.network.workAfterDrain,
			fmt.Sprintf("%s took flow %d after draining", h.name, c.id))
	}
}

// checkRefused records a violation if the caller was told that the work was not run.
func (h *simHost) checkRefused(c *callerFlow) {
	if c.wasRefused {
		h.network.refusedButRun = append(h.network.refusedButRun,
			fmt.Sprintf("flow %d ran on %s after a refusal", c.id, h.name))
	}
}

// runRequest runs a request and replies to it.
func (h *simHost) runRequest(c *callerFlow) {
	n := h.network
	c.runCount++
	n.log("%s runs request %d", h.name, c.id)
	if c.runCount > 1 {
		n.duplicated = append(n.duplicated, fmt.Sprintf("request %d ran again on %s", c.id, h.name))
	}
	h.checkRefused(c)
	h.checkDrained(c)
	h.runningRequests++
	if h.runningRequests > h.slots && n.mode == agentPlacement && !n.faulty {
		n.overSlots = append(n.overSlots, fmt.Sprintf("%s runs %d requests", h.name, h.runningRequests))
	}
	n.after(n.between(5*time.Millisecond, 300*time.Millisecond), func() {
		h.runningRequests--
		if !h.alive {
			return
		}
		if h.owner != nil {
			n.applyEffects(h, nil, h.owner.HandleEvent(n.now, ReplySeen{Key: c.key}, nil))
		}
		n.send(func() { c.handleReply(h, 0) })
	})
}
