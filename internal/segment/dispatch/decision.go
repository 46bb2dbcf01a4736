package dispatch

import (
	"net/netip"
	"time"

	"agateramp/internal/core/flow"
)

// Step is the purpose for which a packet is forwarded to an agent. It is part of the
// names of metrics and log events.
type Step string

// The steps of a flow's packets.
const (
	// StepOffer offers the first packet of a flow to the host that was chosen for it.
	StepOffer Step = "offer"
	// StepNextOffer offers a first packet to another host after the previous one
	// returned it.
	StepNextOffer Step = "next_offer"
	// StepHedge offers a first packet to another host because the previous one has not
	// answered.
	StepHedge Step = "hedge"
	// StepQueued offers a first packet that was queued because no host had room for
	// it.
	StepQueued Step = "queued"
	// StepRepeat sends a retransmission of a first packet to the host that answered an
	// earlier copy.
	StepRepeat Step = "repeat"
	// StepOwner sends a packet to the host that owns its flow.
	StepOwner Step = "owner"
	// StepSearch sends a packet as a probe to an agent that cannot tell whether its
	// host holds the flow.
	StepSearch Step = "search"
)

// Reason is why a packet was dropped or its flow was reset. It is part of the names
// of metrics.
type Reason string

// The reasons of drops and resets.
const (
	// ReasonNoRoute means that no route has the destination address.
	ReasonNoRoute Reason = "no_route"
	// ReasonRouteRemoved means that an earlier configuration had a route for the
	// destination address and the current one has none.
	ReasonRouteRemoved Reason = "route_removed"
	// ReasonNoHost means that no host of the service accepts new flows.
	ReasonNoHost Reason = "no_host"
	// ReasonRefused means that every host that was offered the flow returned it.
	ReasonRefused Reason = "refused"
	// ReasonHostLost means that the host that owned the flow no longer holds it.
	ReasonHostLost Reason = "host_lost"
	// ReasonHeldNowhere means that every agent was asked and no host holds the flow.
	ReasonHeldNowhere Reason = "held_nowhere"
	// ReasonQueued means that a copy of the first packet is queued until a host has
	// room.
	ReasonQueued Reason = "queued"
	// ReasonOverload means that no host had room for the flow in time.
	ReasonOverload Reason = "overload"
	// ReasonEvacuated means that all hosts of the service are in evacuated data centres.
	ReasonEvacuated Reason = "evacuated"
	// ReasonCold means that all hosts of the service are cold and bear too little to serve
	// the flow before it is given up.
	ReasonCold Reason = "cold"
	// ReasonStopping means that the balancer ended while the first packet was queued.
	ReasonStopping Reason = "stopping"
	// ReasonNotFound means that a search has not found the flow, but that a host whose
	// agent was not asked or has not denied the flow may hold it.
	ReasonNotFound Reason = "not_found"
	// ReasonOtherService means that a retransmission of the first packet arrived for a
	// flow whose host is not of the service that the configuration names for the flow now.
	ReasonOtherService Reason = "other_service"
	// ReasonNoStatus means that the agent of the flow's host returned the packet because
	// of its label: it has not sent its status yet, so its service is not known.
	ReasonNoStatus Reason = "no_status"
	// ReasonStarting means that the balancer has started, and that no configuration has come
	// in time or that there is no room to queue the packet until one comes.
	ReasonStarting Reason = "starting"
	// ReasonRelayedOpening means that another balancer relayed a first packet, which only
	// the balancer that received it from the caller may offer to hosts.
	ReasonRelayedOpening Reason = "relayed_opening"
	// ReasonForgotten means that an agent returned a packet of a flow, or of an offer,
	// that is no longer remembered.
	ReasonForgotten Reason = "forgotten"
)

// Decision is an action for the balancer to carry out: a Forward, Relay, Reset, Drop,
// Search or Lookup.
type Decision interface{ decision() }

// Forward sends a packet to an agent.
type Forward struct {
	Flow  flow.Key
	Agent netip.Addr
	// ServiceTag is the tag of the service for the label of the packet.
	ServiceTag uint32
	Step       Step
	// Late is set on an offer whose flow is late.
	Late bool
	// LastMessageAt is when the last message of the agent arrived; zero means none. The
	// balancer logs it.
	LastMessageAt time.Time
	// Data is the packet.
	Data []byte
}

// Relay sends a packet to another balancer, because this one does not reach the data
// centre of the flow's host.
type Relay struct {
	Flow     flow.Key
	Balancer netip.Addr
	// Holder is the agent whose host holds the flow, or the zero Addr if it is not known.
	Holder netip.Addr
	// Data is the packet.
	Data []byte
}

// Reset ends a flow at its caller. Hosts are not notified.
type Reset struct {
	Flow flow.Key
	// Sequence is the sequence number of the reset.
	Sequence uint32
	Reason   Reason
}

// Drop discards a packet.
type Drop struct {
	Flow   flow.Key
	Reason Reason
}

// Search reports, for logs and metrics, that a round of lookups for a flow begins. The
// Lookups of the round follow it.
type Search struct {
	Flow flow.Key
	// Agents is the number of agents that are asked in this round.
	Agents int
}

// Lookup asks an agent which of some flows its host holds.
type Lookup struct {
	Agent netip.Addr
	Flows []flow.Key
	// Acknowledgements holds for each of Flows the acknowledgement of its caller's last
	// packet, or 0 if none is known.
	Acknowledgements []uint32
}

func (Forward) decision() {}
func (Relay) decision()   {}
func (Reset) decision()   {}
func (Drop) decision()    {}
func (Search) decision()  {}
func (Lookup) decision()  {}

// isOffer reports whether the step offers a flow to a host that has not answered it.
func (s Step) isOffer() bool {
	return s == StepOffer || s == StepNextOffer || s == StepHedge || s == StepQueued
}

// sendsFirstPacket reports whether the step sends a first packet. It goes only to hosts
// of the service that the flow is for. Packets of other steps go to the host of the agent
// whichever service it belongs to.
func (s Step) sendsFirstPacket() bool { return s.isOffer() || s == StepRepeat }
