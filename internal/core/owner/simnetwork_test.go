package owner

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
	"agateramp/internal/core/router"
)

// placementMode is how the hosts of flows are chosen in a network.
type placementMode int

const (
	// agentPlacement uses the agents under test. The others are baselines without agents.
	agentPlacement placementMode = iota
	// statelessHashing sends each packet to the first choice of the newest table.
	statelessHashing
	// balancerFlowTables keeps a flow table in each balancer.
	balancerFlowTables
)

// network simulates balancers, agents, backend servers and callers in virtual time.
type network struct {
	rng         *rand.Rand
	mode        placementMode
	now         time.Time
	events      eventHeap
	sequence    int
	services    []*simService
	balancers   []*simBalancer
	hosts       []*simHost
	links       map[[2]netip.AddrPort]*link
	callerFlows []*callerFlow
	faulty      bool
	// reliable networks do not lose, duplicate or reorder packets.
	reliable      bool
	hintsDisabled bool
	// maxVersionSkew is the largest difference between the table versions of live balancers.
	maxVersionSkew int
	log            func(format string, args ...any)

	// The following hold descriptions of violations.
	broken, duplicated, misdelivered, refusedButRun, overSlots, workAfterDrain []string

	// neverRan describes the flows that were neither refused, nor reset, nor delivered to a
	// backend server.
	neverRan        []string
	hops, delivered int
	refused, reset  int
}

// simEvent is a function that runs at a virtual time. sequence keeps the order of events at
// the same time.
type simEvent struct {
	at       time.Time
	sequence int
	run      func()
}

// eventHeap orders events by time; it implements heap.Interface.
type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// after schedules run at d from now.
func (n *network) after(d time.Duration, run func()) {
	n.sequence++
	heap.Push(&n.events, simEvent{at: n.now.Add(d), sequence: n.sequence, run: run})
}

// between returns a random duration from low to high.
func (n *network) between(low, high time.Duration) time.Duration {
	return low + time.Duration(n.rng.Int64N(int64(high-low)+1))
}

// percentChance returns true with the given probability in percent.
func (n *network) percentChance(percent int) bool { return n.rng.IntN(100) < percent }

// runFor runs the scheduled events for a virtual time.
func (n *network) runFor(d time.Duration) {
	end := n.now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		e := heap.Pop(&n.events).(simEvent)
		n.now = e.at
		e.run()
	}
	n.now = end
}

// send transports a packet and calls arrive for each copy that arrives. Unless the network
// is reliable, the packet may be lost, duplicated or overtaken by later ones.
func (n *network) send(arrive func()) {
	if n.reliable {
		n.after(n.between(200*time.Microsecond, time.Millisecond), arrive)
		return
	}
	copies := 1
	switch draw := n.rng.IntN(100); {
	case draw < 2:
		copies = 0
	case draw < 8:
		copies = 2
	}
	for range copies {
		delay := n.between(200*time.Microsecond, 4*time.Millisecond)
		if n.percentChance(3) {
			delay += n.between(0, 400*time.Millisecond)
		}
		n.after(delay, arrive)
	}
}

// simBalancer is a balancer with a real router.
type simBalancer struct {
	address netip.AddrPort
	router  *router.Router
	live    bool
	// inRotation is set while the fabric sends packets to the balancer.
	inRotation bool
	// flows is the flow table of the baselines.
	flows   map[flow.Key]*simHost
	scratch router.Scratch
}

// addBalancer starts a balancer that has the tables of all services.
func (n *network) addBalancer() *simBalancer {
	b := &simBalancer{
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(len(n.balancers) + 1)}), 6081),
		live:    true, inRotation: true, flows: make(map[flow.Key]*simHost),
	}
	var err error
	if b.router, err = router.New(router.Config{Self: b.address}); err != nil {
		panic(err)
	}
	n.balancers = append(n.balancers, b)
	for _, s := range n.services {
		if s.spec != nil {
			n.updateBalancer(b, s, s.spec)
		}
	}
	return b
}

// updateBalancer passes a spec to a balancer, which acknowledges it after a random delay.
func (n *network) updateBalancer(b *simBalancer, s *simService, spec *controlpb.TableSpec) {
	if !b.live {
		return
	}
	if _, err := b.router.Update(spec); err != nil {
		panic(err)
	}
	version := b.router.Table(spec.GetServiceId()).Version()
	for _, other := range n.balancers {
		if other.live && other.router.Table(spec.GetServiceId()) != nil {
			apart := int(version) - int(other.router.Table(spec.GetServiceId()).Version())
			n.maxVersionSkew = max(n.maxVersionSkew, apart, -apart)
		}
	}
	n.log("balancer %v at version %d of service %d", b.address, version, spec.GetServiceId())
	n.after(n.between(time.Millisecond, 50*time.Millisecond), func() {
		s.balancerAcks[b] = max(s.balancerAcks[b], version)
		s.retireVersions()
	})
}

// sendToBalancer sends a packet of a caller to a random balancer.
func (n *network) sendToBalancer(p *flow.Packet) {
	var candidates []*simBalancer
	for _, b := range n.balancers {
		if b.inRotation {
			candidates = append(candidates, b)
		}
	}
	b := candidates[n.rng.IntN(len(candidates))]
	n.send(func() { n.routeAtBalancer(b, p) })
}

// routeAtBalancer processes a packet that reaches a balancer.
func (n *network) routeAtBalancer(b *simBalancer, p *flow.Packet) {
	if !b.live {
		return
	}
	if n.mode != agentPlacement {
		n.routeBaseline(b, p)
		return
	}
	if decision, ok := b.router.Decide(n.now, p, &b.scratch).(*router.Forward); ok {
		n.forward(decision.To, decision.Header, p)
	}
}

// routeBaseline delivers a packet to a backend server without an agent in between.
func (n *network) routeBaseline(b *simBalancer, p *flow.Packet) {
	h := b.flows[p.Key]
	if n.mode == statelessHashing || h == nil || !h.alive {
		decision, ok := b.router.Decide(n.now, p, &b.scratch).(*router.Forward)
		if !ok {
			return
		}
		h = n.hostAt(decision.Header.Path[0].Address)
		b.flows[p.Key] = h
	}
	if h != nil && h.alive {
		n.send(func() { n.receiveAtBackend(h, p, b.address) })
	}
}

// forward sends a packet to the agent of a host.
func (n *network) forward(to netip.AddrPort, header flow.Header, p *flow.Packet) {
	n.send(func() {
		h := n.hostAt(to)
		if h == nil || !h.alive || h.owner == nil {
			return
		}
		n.log("%s handles %s hop %d/%d stage %d asserted %v passes %d version %d path %v suspected %v",
			h.name, packetName(p), header.Hop, header.PathLen, header.Stage, header.Asserted, header.Passes, header.Version,
			header.Path[:header.PathLen], header.FirstSuspected)
		in := header
		n.applyEffects(h, &header, h.owner.HandlePacket(n.now, &in, p, nil))
	})
}

// hostAt returns the live host with an address, or nil.
func (n *network) hostAt(address netip.AddrPort) *simHost {
	for _, h := range n.hosts {
		if h.address == address && h.alive {
			return h
		}
	}
	return nil
}

// applyEffects carries out the effects of a host's agent. header is the header of the
// packet that caused them, or nil.
func (n *network) applyEffects(h *simHost, header *flow.Header, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case *Deliver:
			p := packetOf(e.Key, e.Data)
			n.log("%s delivers %s", h.name, packetName(p))
			if header != nil {
				n.hops += header.Passes + 1
				n.delivered++
			}
			n.receiveAtBackend(h, p, e.ReturnAddress)
		case *Forward:
			p := n.callerFlows[binary.BigEndian.Uint32(e.Data[32:])].packet(int(e.Data[36]))
			n.log("%s forwards %s to %v stage %d path %v",
				h.name, packetName(p), e.To, e.Header.Stage, e.Header.Path[:e.Header.PathLen])
			n.forward(e.To, e.Header, p)
		case *Refuse:
			n.log("%s refuses %s: %s", h.name, packetName(packetOf(e.Key, e.Data)), e.Reason)
			p := packetOf(e.Key, e.Data)
			n.send(func() { n.callerFlowOf(p).handleRefusal(h) })
		case *Reset:
			n.log("%s resets %s: %s", h.name, packetName(packetOf(e.Key, e.Data)), e.Reason)
			p := packetOf(e.Key, e.Data)
			n.send(func() { n.callerFlowOf(p).handleReset(fmt.Sprintf("agent of %s: %s", h.name, e.Reason)) })
		case *Hint:
			for _, b := range n.balancers {
				if b.address == e.To && !n.hintsDisabled {
					b.router.AddHint(n.now, e.Key, h.address)
				}
			}
		case *Drop:
			n.log("%s drops: %s", h.name, e.Reason)
		case *Report:
			n.transmit(h, e.To, func(from, to *simHost) {
				n.log("%s receives a report of %s: %v", to.name, from.name, e.Report)
				n.applyEffects(to, nil, to.owner.HandleEvent(n.now, ReportReceived{Peer: from.address, Report: e.Report}, nil))
			})
		case *ReportAck:
			n.transmit(h, e.To, func(from, to *simHost) {
				n.applyEffects(to, nil, to.owner.HandleEvent(n.now, ReportAcked{Peer: from.address, Sequence: e.Sequence}, nil))
			})
		case *BindFlow:
			port := e.LocalPort
			if port == 0 {
				h.lastLocalPort++
				port = h.lastLocalPort
			}
			n.applyEffects(h, nil, h.owner.HandleEvent(n.now, PortBound{Key: e.Key, Port: port}, nil))
		case *TableAck:
			if e.Transferred {
				s, owner := h.service, h.owner
				n.after(n.between(time.Millisecond, 50*time.Millisecond), func() {
					if h.owner == owner && h.service == s {
						s.agentAcks[h] = max(s.agentAcks[h], e.Version)
						s.retireVersions()
					}
				})
			}
		}
	}
}

// link is the control stream between two agents. Its generation counts the breaks.
type link struct {
	up         bool
	generation int
	// lastArrival holds the last arrival time by receiver, so that messages stay in order.
	lastArrival map[*simHost]time.Time
}

// link returns the link of two agents, which it adds if necessary.
func (n *network) link(a, b *simHost) *link {
	key := [2]netip.AddrPort{a.address, b.address}
	if b.address.Compare(a.address) < 0 {
		key = [2]netip.AddrPort{b.address, a.address}
	}
	l := n.links[key]
	if l == nil {
		l = &link{lastArrival: make(map[*simHost]time.Time)}
		n.links[key] = l
	}
	return l
}

// transmit sends a message over the stream of two agents, in order. The message is lost if
// the stream breaks before it arrives.
func (n *network) transmit(from *simHost, address netip.AddrPort, arrive func(from, to *simHost)) {
	to := n.hostAt(address)
	if to == nil {
		return
	}
	l := n.link(from, to)
	if !l.up {
		return
	}
	generation := l.generation
	at := n.now.Add(n.between(200*time.Microsecond, 15*time.Millisecond))
	if at.Before(l.lastArrival[to]) {
		at = l.lastArrival[to]
	}
	l.lastArrival[to] = at
	n.after(at.Sub(n.now), func() {
		if l.up && l.generation == generation && to.alive && to.owner != nil {
			arrive(from, to)
		}
	})
}

// connect opens the stream between two agents after a random delay.
func (n *network) connect(a, b *simHost) {
	n.after(n.between(2*time.Millisecond, 150*time.Millisecond), func() {
		l := n.link(a, b)
		if l.up || a.owner == nil || b.owner == nil || a.service != b.service || !a.alive || !b.alive {
			return
		}
		l.up = true
		n.log("stream of %s and %s is up", a.name, b.name)
		n.applyEffects(a, nil, a.owner.HandleEvent(n.now, PeerConnected{Peer: b.address}, nil))
		n.applyEffects(b, nil, b.owner.HandleEvent(n.now, PeerConnected{Peer: a.address}, nil))
	})
}

// disconnect breaks the stream of two agents. Each end detects this after a random delay.
func (n *network) disconnect(a, b *simHost) {
	l := n.link(a, b)
	if !l.up {
		return
	}
	l.up = false
	l.generation++
	generation := l.generation
	for _, pair := range [2][2]*simHost{{a, b}, {b, a}} {
		owner := pair[0].owner
		n.after(n.between(0, 2*time.Millisecond), func() {
			if owner != nil && pair[0].owner == owner && l.generation == generation && !l.up {
				n.applyEffects(pair[0], nil, owner.HandleEvent(n.now, PeerDisconnected{Peer: pair[1].address}, nil))
			}
		})
	}
}
