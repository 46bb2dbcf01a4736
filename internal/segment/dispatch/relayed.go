package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"agateramp/internal/segment/packet"
)

// Packets of an open flow whose host is in a data centre that is cut off from this
// balancer are relayed: another balancer that reaches it forwards them. First packets are
// not, because they can be offered to hosts elsewhere.

// HandleRelayed decides on a packet of a caller that another balancer relayed. holder is
// the agent whose host holds the flow, as far as that balancer knows, or the zero Addr. The
// packet is treated as one of the caller, except that it is not relayed again, and that an
// unknown flow is first searched for at the holder.
func (d *Dispatcher) HandleRelayed(now time.Time, s *packet.Segment, holder netip.Addr) (decisions []Decision) {
	key := s.KeyFromCaller()
	if s.IsFirstPacket() {
		return []Decision{Drop{Flow: key, Reason: ReasonRelayedOpening}}
	}
	e := d.flows.get(now, key)
	if e == nil && d.routeRemoved(s.Destination) {
		return []Decision{Reset{Flow: key, Sequence: s.Acknowledgement, Reason: ReasonRouteRemoved}}
	}
	if e == nil {
		e = &flowEntry{key: key, phase: phaseNotFound}
		d.flows.put(now, e)
	}
	e.relayed = true
	a := d.agents[holder]
	if a == nil || !e.holderUnknown(now, s, holder) {
		return d.handleLaterPacket(now, e, s)
	}
	if reset := d.review(e, s.Acknowledgement); reset != nil {
		return reset
	}
	e.expireDenials(now)
	d.beginSearch(now, e, s, scopeHolder)
	e.unsureAgents = append(e.unsureAgents, a)
	return d.continueSearch(now, e)
}

// holderUnknown reports whether nothing but the report of another balancer says which host
// holds the flow of a packet. An owner under this key counts only if it is that host, or if
// an acknowledgement shows that it is of the same flow.
func (e *flowEntry) holderUnknown(now time.Time, s *packet.Segment, holder netip.Addr) bool {
	switch e.phase {
	case phaseEstablished:
		return e.isOtherFlow(s) || e.owner != holder && e.acknowledgement == 0
	case phaseOpening, phaseQueued:
		_, answered := e.matchAnswer(s.Acknowledgement)
		return !answered
	case phaseNotFound:
		return e.onlyCandidate == nil && !now.Before(e.retryAt)
	case phaseSearching:
	}
	return false
}

// relayToOwner returns the decisions to relay packets of an open flow if the data centre of
// its owner is cut off and another balancer reaches it, and nil otherwise.
func (d *Dispatcher) relayToOwner(e *flowEntry, owner *agent, step Step, packets [][]byte) (decisions []Decision) {
	if step != StepOwner {
		return nil
	}
	balancer, ok := d.chooseRelay(e, owner.status.DataCentre)
	if !ok {
		return nil
	}
	return d.relay(e, balancer, owner.address, packets...)
}

// relayUnknown returns the decisions to relay packets of a flow that was not found, and nil
// if there is no relay for them.
func (d *Dispatcher) relayUnknown(e *flowEntry, packets ...[]byte) (decisions []Decision) {
	balancer, ok := d.chooseUnknownRelay(e)
	if !ok {
		return nil
	}
	return d.relay(e, balancer, netip.Addr{}, packets...)
}

// chooseUnknownRelay returns the balancer that relays the packets of a flow whose host is
// not known. ok is false if no agent in a data centre that is cut off may hold the flow, or
// no balancer reaches that data centre.
func (d *Dispatcher) chooseUnknownRelay(e *flowEntry) (balancer netip.Addr, ok bool) {
	for _, name := range d.paths.CutOff() {
		// The data centre of an agent that has sent no status is not known.
		mayHold := func(a *agent) bool {
			return (!a.statusKnown || a.status.DataCentre == name) && !slices.Contains(e.deniedBy, a)
		}
		if !slices.ContainsFunc(d.agentList, mayHold) {
			continue
		}
		if balancer, ok = d.chooseRelay(e, name); ok {
			return balancer, true
		}
	}
	return netip.Addr{}, false
}

// chooseRelay returns the balancer that relays the packets of a flow to a data centre. ok
// is false if the data centre is not cut off, no balancer reaches it, or the packets were
// relayed before. The choice is by weighted rendezvous hashing, so that a flow keeps its
// relay while other balancers come and go.
func (d *Dispatcher) chooseRelay(e *flowEntry, dataCentre string) (balancer netip.Addr, ok bool) {
	if e.relayed || !d.paths.IsCutOff(dataCentre) {
		return netip.Addr{}, false
	}
	hash := e.key.Hash()
	var best float64
	for _, r := range d.paths.Relays(dataCentre) {
		octets := r.Address.As16()
		score := exponentialHash(hash, xxhash.Sum64(octets[:])) / float64(r.CPUPermille)
		if !ok || score < best {
			balancer, best, ok = r.Address, score, true
		}
	}
	return balancer, ok
}
