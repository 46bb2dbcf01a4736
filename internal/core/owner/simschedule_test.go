package owner

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"pgregory.net/rapid"

	"agateramp/internal/control/controlpb"
)

const (
	// maxStateLosses is how many agents of a service may lose their state in
	// stateLossWindow, which is longer than an agent takes to restart and recover.
	maxStateLosses  = 2
	stateLossWindow = 3 * time.Second
)

// changeKind is the kind of a change to a network.
type changeKind int

const (
	addHost changeKind = iota
	drainHost
	editWeight
	restartAgent
	addBalancer
	removeBalancer
	// The kinds from here on are faults.
	killHost
	killBalancer
	crashAgent
	cutStream
	reassignHost
)

// step is one change of a schedule, at a time in milliseconds. target selects the service
// and host, and the meaning of amount depends on the kind.
type step struct {
	kind   changeKind
	atMS   int
	target int
	amount int
}

// schedule describes a random run of a network.
type schedule struct {
	seed      int
	hosts     int
	balancers int
	flows     int
	steps     []step
}

// scheduleGenerator returns a generator of schedules of planned changes and, if faulty, faults.
func scheduleGenerator(faulty bool) *rapid.Generator[schedule] {
	lastKind := removeBalancer
	if faulty {
		lastKind = reassignHost
	}
	return rapid.Custom(func(t *rapid.T) schedule {
		stepGenerator := rapid.Custom(func(t *rapid.T) step {
			return step{
				kind:   changeKind(rapid.IntRange(0, int(lastKind)).Draw(t, "change")),
				atMS:   rapid.IntRange(500, 12_000).Draw(t, "at"),
				target: rapid.IntRange(0, 1000).Draw(t, "target"),
				amount: rapid.IntRange(1, 1000).Draw(t, "amount"),
			}
		})
		return schedule{
			hosts:     rapid.IntRange(3, 7).Draw(t, "hosts"),
			balancers: rapid.IntRange(2, 4).Draw(t, "balancers"),
			flows:     rapid.IntRange(20, 60).Draw(t, "flows"),
			steps:     rapid.SliceOfN(stepGenerator, 3, 12).Draw(t, "steps"),
		}
	})
}

// runSchedule runs a schedule and returns the network at its end.
func runSchedule(s schedule, mode placementMode, faulty bool, log func(string, ...any)) *network {
	n := &network{
		rng: rand.New(rand.NewPCG(uint64(s.seed), 1)), mode: mode, now: startTime,
		links: make(map[[2]netip.AddrPort]*link), faulty: faulty, log: func(string, ...any) {},
	}
	if log != nil {
		n.log = func(format string, args ...any) {
			log("%8.3f "+format, append([]any{n.now.Sub(startTime).Seconds()}, args...)...)
		}
	}
	tcpService := n.addService(1, &controlpb.Service{Idempotent: true, IdleTimeoutMs: 60_000})
	udpService := n.addService(2, &controlpb.Service{
		FirstPacket: controlpb.FirstPacket_FIRST_PACKET_PREFIX, FirstPacketPrefix: []byte("R"),
		QueueDeadlineMs: 400,
	})
	for _, service := range n.services {
		for range s.hosts {
			h := n.newHost(service, n.freeAddress(), 2)
			service.members = append(service.members, h.member(1000))
		}
		service.publish()
	}
	for range s.balancers {
		n.addBalancer()
	}
	n.runFor(3 * time.Second)
	for i := range s.flows {
		n.after(n.between(0, 10*time.Second), func() {
			n.startFlow(tcpService, protocolTCP, uint16(1000+i), n.rng.IntN(40)+2, 1)
		})
		n.after(n.between(0, 10*time.Second), func() { n.startFlow(udpService, protocolUDP, uint16(1000+i), 0, 1) })
	}
	for _, step := range s.steps {
		n.after(time.Duration(step.atMS)*time.Millisecond, func() { n.applyStep(step) })
	}
	n.runFor(45 * time.Second)
	for _, c := range n.callerFlows {
		if !c.established && !c.wasRefused && !c.wasReset && c.runCount == 0 {
			n.neverRan = append(n.neverRan, fmt.Sprintf("flow %d from port %d never ran", c.id, c.key.Source().Port()))
		}
	}
	return n
}

// applyStep carries out a step, if that is possible at the time.
func (n *network) applyStep(s step) {
	service := n.services[s.target%len(n.services)]
	var members []*simHost
	for _, h := range n.hosts {
		if h.alive && h.service == service && h.drainedAt.IsZero() {
			members = append(members, h)
		}
	}
	var h *simHost
	if len(members) > 0 {
		h = members[s.target/2%len(members)]
	}
	removable := len(members) > 2
	n.log("step %+v on service %d", s, service.service.GetId())
	switch s.kind {
	case restartAgent, crashAgent, killHost, reassignHost:
		if h == nil || h.restarting || !service.allowStateLoss() {
			return
		}
	}
	switch s.kind {
	case addHost:
		added := n.newHost(service, n.freeAddress(), 2)
		service.members = append(service.members, added.member(1000))
		n.after(n.between(0, 500*time.Millisecond), service.publish)
	case drainHost:
		if removable {
			n.drain(h)
		}
	case editWeight:
		for _, m := range service.members {
			if h != nil && m.GetHost() == h.name {
				m.Weight = uint32(s.amount * 2)
			}
		}
		service.publish()
	case restartAgent, crashAgent:
		n.restart(h, s.kind == restartAgent, time.Duration(s.amount)*time.Millisecond)
	case addBalancer:
		n.addBalancer()
	case removeBalancer, killBalancer:
		n.removeBalancer(s.kind == removeBalancer)
	case killHost:
		if removable {
			n.kill(h)
		}
	case cutStream:
		n.interruptStream(members, time.Duration(s.amount)*3*time.Millisecond)
	case reassignHost:
		if removable {
			n.reassign(h, n.services[1-s.target%2])
		}
	}
}

// drain makes an agent drain. The next table version marks its host as draining, and a
// later one no longer contains it.
func (n *network) drain(h *simHost) {
	service := h.service
	h.drainedAt = n.now
	if h.owner != nil {
		n.applyEffects(h, nil, h.owner.HandleEvent(n.now, DrainChanged{Drain: true}, nil))
	}
	n.after(n.between(0, 500*time.Millisecond), func() {
		for _, m := range service.members {
			if m.GetHost() == h.name {
				m.Draining = true
			}
		}
		service.publish()
	})
	n.after(n.between(time.Second, 4*time.Second), func() { service.removeMember(h) })
}

// removeMember removes a host from the members of the service and publishes a version.
func (s *simService) removeMember(h *simHost) {
	s.members = slices.DeleteFunc(s.members, func(m *controlpb.Member) bool { return m.GetHost() == h.name })
	s.publish()
}

// allowStateLoss reports whether one more agent may lose its state, and counts it. Flows
// are stored only in the memory of the agents, so no design survives the loss of all
// copies at once.
func (s *simService) allowStateLoss() bool {
	now := s.network.now
	s.stateLosses = slices.DeleteFunc(s.stateLosses, func(at time.Time) bool { return now.Sub(at) > stateLossWindow })
	if len(s.stateLosses) >= maxStateLosses {
		return false
	}
	s.stateLosses = append(s.stateLosses, now)
	return true
}

// restart stops an agent and starts it again after the time down.
func (n *network) restart(h *simHost, planned bool, down time.Duration) {
	if h == nil || h.owner == nil || n.mode != agentPlacement {
		return
	}
	h.restarting = true
	h.stopAgent(planned)
	n.scheduleSuspicion(h, func() bool { return h.owner == nil })
	n.after(down, func() { n.finishRestart(h, down) })
}

// finishRestart starts the agent of a host again, once its planned stop is complete.
func (n *network) finishRestart(h *simHost, down time.Duration) {
	if h.alive && h.owner != nil {
		n.after(down, func() { n.finishRestart(h, down) })
		return
	}
	if h.alive {
		h.restarting = false
		h.startAgent()
		n.scheduleSuspicion(h, func() bool { return h.owner == nil })
	}
}

// removeBalancer takes a balancer out of rotation. If planned, the balancer still forwards
// packets for 2 s; otherwise it fails at once.
func (n *network) removeBalancer(planned bool) {
	for i, b := range n.balancers {
		if !b.inRotation || len(n.balancers)-i < 2 {
			continue
		}
		b.inRotation = false
		b.live = planned
		n.after(2*time.Second, func() {
			b.live = false
			for _, s := range n.services {
				s.retireVersions()
			}
		})
		return
	}
}

// kill ends a host. The shard holder removes it from the members after a random delay.
func (n *network) kill(h *simHost) {
	n.log("%s fails", h.name)
	h.stopAgent(false)
	h.alive, h.failed = false, true
	n.scheduleSuspicion(h, func() bool { return true })
	n.after(n.between(500*time.Millisecond, 3*time.Second), func() {
		h.service.removeMember(h)
		h.service.retireVersions()
	})
}

// interruptStream breaks the stream between two of the members for the time d.
func (n *network) interruptStream(members []*simHost, d time.Duration) {
	if len(members) < 2 {
		return
	}
	a, b := members[0], members[len(members)-1]
	n.disconnect(a, b)
	n.after(d, func() { n.connect(a, b) })
}

// reassign kills a host and gives its address to a new host of another service, without
// notice to the agents and balancers that know the old host.
func (n *network) reassign(h *simHost, to *simService) {
	n.kill(h)
	n.after(n.between(50*time.Millisecond, time.Second), func() {
		replacement := n.newHost(to, h.address, 2)
		to.members = slices.DeleteFunc(to.members, func(m *controlpb.Member) bool {
			return m.GetAddress() == h.address.String()
		})
		to.members = append(to.members, replacement.member(1000))
		to.publish()
	})
}
