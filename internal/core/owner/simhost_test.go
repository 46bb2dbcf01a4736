package owner

import (
	"fmt"
	"net/netip"
	"time"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// connectionsPerHost is low enough that some hosts are full.
const connectionsPerHost = 40

// simService is a service with the part of its shard holder that publishes and
// retires table versions.
type simService struct {
	n              *network
	service        *controlpb.Service
	members        []*controlpb.Member
	spec           *controlpb.TableSpec
	publishPending bool
	// losses holds when agents last lost their memory.
	stateLosses []time.Time

	balancerAcks map[*simBalancer]uint64
	agentAcks    map[*simHost]uint64
}

// simHost is a backend server and its agent. The agent is nil while it is down.
type simHost struct {
	n       *network
	name    string
	address netip.AddrPort
	service *simService
	owner   *Owner
	alive   bool
	// incarnation counts the agents that ran beside the backend server.
	incarnation uint64
	// restarting is set from the order to restart the agent until it started.
	restarting bool
	// drained is when the agent was told to drain.
	drainedAt time.Time
	// died is set when the host failed.
	failed bool
	slots  int
	// lastPort is the local port that was opened last.
	lastLocalPort   uint16
	connections     map[flow.Key]int
	runningRequests int
}

func (n *network) addService(id uint32, service *controlpb.Service) *simService {
	service.Id = id
	service.Addresses = []*controlpb.ServiceAddress{
		{Address: fmt.Sprintf("127.8.0.%d:80", id), Protocol: protocolTCP},
		{Address: fmt.Sprintf("127.8.0.%d:80", id), Protocol: protocolUDP},
	}
	s := &simService{
		n: n, service: service,
		balancerAcks: make(map[*simBalancer]uint64),
		agentAcks:    make(map[*simHost]uint64),
	}
	n.services = append(n.services, s)
	return s
}

// publish makes a version of the present members, unless 4 are retained.
func (s *simService) publish() {
	if s.spec != nil && len(s.spec.GetVersions()) == flow.MaxPath {
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

// retire drops the oldest version when the rule of the design allows it.
func (s *simService) retireVersions() {
	versions := s.spec.GetVersions()
	if len(versions) < 2 {
		return
	}
	soonest := versions[len(versions)-1].GetVersion()
	for _, b := range s.n.balancers {
		if b.live && s.balancerAcks[b] <= soonest {
			return
		}
	}
	for _, h := range s.n.hosts {
		if h.alive && h.service == s && s.agentAcks[h] <= soonest {
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

// distribute sends a spec to balancers and agents, some of them late.
func (s *simService) distribute(spec *controlpb.TableSpec) {
	s.spec = spec
	n := s.n
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

func (h *simHost) receiveSpec(s *simService, spec *controlpb.TableSpec) {
	if h.alive && h.service == s && h.owner != nil {
		h.n.log("%s receives version %d of service %d", h.name, spec.GetVersions()[0].GetVersion(), spec.GetServiceId())
		h.n.applyEffects(h, nil, h.owner.HandleEvent(h.n.now, SpecReceived{Spec: spec}, nil))
	}
}

// newHost starts a host of a service without a place in its table.
func (n *network) newHost(s *simService, address netip.AddrPort, slots int) *simHost {
	h := &simHost{
		n: n, name: fmt.Sprintf("host-%d", len(n.hosts)), address: address, service: s, alive: true,
		slots: slots, connections: make(map[flow.Key]int),
	}
	n.hosts = append(n.hosts, h)
	h.startAgent()
	return h
}

func (n *network) freeAddress() netip.AddrPort { return hostAddress(len(n.hosts) + 1) }

// member returns the place of a host in the table of its service.
func (h *simHost) member(weight uint32) *controlpb.Member {
	return &controlpb.Member{
		Host: h.name, Address: h.address.String(), DataCentre: fmt.Sprintf("dc-%d", h.address.Addr().As4()[3]%3),
		Weight: weight, Slots: uint32(h.slots), Incarnation: h.incarnation,
	}
}

func (h *simHost) startAgent() {
	n := h.n
	if n.mode != agentPlacement {
		return
	}
	udp := h.service.service.GetFirstPacket() == controlpb.FirstPacket_FIRST_PACKET_PREFIX
	h.incarnation++
	o, err := New(Config{Self: h.address, Slots: h.slots, Connections: connectionsPerHost, RepliesReported: udp, Started: n.now, Incarnation: h.incarnation})
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

func (h *simHost) tick(o *Owner) {
	if h.owner != o || !h.alive {
		return
	}
	h.n.applyEffects(h, nil, o.HandleEvent(h.n.now, Tick{}, nil))
	h.n.after(TickInterval, func() { h.tick(o) })
}

// stopAgent ends the agent and leaves the backend server running. A planned stop
// sends what is due first.
func (h *simHost) stopAgent(planned bool) {
	n := h.n
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
			// A dead host may have had the address of a live one.
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

// suspect has the balancers suspect a host, or trust it again.
func (n *network) scheduleSuspicion(h *simHost, suspected func() bool) {
	for _, b := range n.balancers {
		n.after(n.between(10*time.Millisecond, 400*time.Millisecond), func() {
			if b.live {
				b.router.Suspect(h.address, suspected())
			}
		})
	}
}

// receive is a packet that reaches a backend server.
func (n *network) receiveAtBackend(h *simHost, p *flow.Packet, _ netip.AddrPort) {
	c := n.callerOf(p)
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

// accept opens a stream. A SYN on the addresses and ports of a stream that the host
// still has does not go to another host, so it is no new work for one that drains.
func (h *simHost) acceptStream(p *flow.Packet, c *caller, reused bool) {
	h.connections[p.Key] = c.id
	c.runs++
	h.checkRefused(c)
	if !reused {
		h.checkDrained(c)
	}
}

// checkDrained notes new work on a host whose agent knows that it is draining.
func (h *simHost) checkDrained(c *caller) {
	if !h.drainedAt.IsZero() && h.n.mode == agentPlacement {
		h.n.workAfterDrain = append(h.n.workAfterDrain, fmt.Sprintf("%s took flow %d after draining", h.name, c.id))
	}
}

// checkRefused notes work of which the caller was told that it was not run.
func (h *simHost) checkRefused(c *caller) {
	if c.wasRefused {
		h.n.refusedButRun = append(h.n.refusedButRun, fmt.Sprintf("flow %d ran on %s after a refusal", c.id, h.name))
	}
}

// run works on a request and answers it.
func (h *simHost) runRequest(c *caller) {
	n := h.n
	c.runs++
	n.log("%s runs request %d", h.name, c.id)
	if c.runs > 1 {
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
