package dispatch

import (
	"net/netip"
	"time"

	"agateramp/internal/core/flow"
)

// Step says why a packet is forwarded to an agent.
type Step string

// The steps of a flow's packets.
const (
	// StepOffer offers the first packet of a flow to the chosen host.
	StepOffer Step = "offer"
	// StepNextOffer offers it to another host after the last one refused it.
	StepNextOffer Step = "next_offer"
	// StepHedge offers it to another host because the last one has not answered.
	StepHedge Step = "hedge"
	// StepQueued offers a first packet that has waited because every host was full.
	StepQueued Step = "queued"
	// StepRepeat sends a copy of a first packet after an earlier one.
	StepRepeat Step = "repeat"
	// StepOwner sends a packet to the host that holds its flow.
	StepOwner Step = "owner"
	// StepSearch shows a packet to an agent that cannot tell whether its host holds
	// the flow.
	StepSearch Step = "search"
)

// Reason says why a packet was dropped or its flow was reset.
type Reason string

// The reasons of drops and resets.
const (
	ReasonNoRoute      Reason = "no_route"
	ReasonRouteRemoved Reason = "route_removed"
	// ReasonNoHost means that no host of the service takes new flows.
	ReasonNoHost Reason = "no_host"
	// ReasonRefused means that every host that was asked refused the flow.
	ReasonRefused Reason = "refused"
	// ReasonHostLost means that the host that held the flow no longer does.
	ReasonHostLost Reason = "host_lost"
	// ReasonHeldNowhere means that every host was asked and none holds the flow.
	ReasonHeldNowhere Reason = "held_nowhere"
	// ReasonQueued is a copy of a first packet that waits for a host with room.
	ReasonQueued Reason = "queued"
	// ReasonOverload means that no host had room in time.
	ReasonOverload Reason = "overload"
	// ReasonNotFound means that no reachable host holds the flow.
	ReasonNotFound Reason = "not_found"
	// ReasonStarting means that hosts or configuration are not known yet.
	ReasonStarting Reason = "starting"
	// ReasonForgotten is a returned packet of a flow that is no longer known.
	ReasonForgotten Reason = "forgotten"
)

// Decision is what the balancer does with a packet.
type Decision interface{ decision() }

// Forward sends a packet to an agent.
type Forward struct {
	Flow       flow.Key
	Agent      netip.Addr
	ServiceTag uint32
	Step       Step
	// Late is set when the flow will miss its latency objective.
	Late bool
	// LastMessageAt is when the agent was last heard of.
	LastMessageAt time.Time
	Data          []byte
}

// Reset ends a flow towards its caller. No host holds the flow.
type Reset struct {
	Flow     flow.Key
	Sequence uint32
	Reason   Reason
}

// Drop discards a packet.
type Drop struct {
	Flow   flow.Key
	Reason Reason
}

// Search starts to ask agents for the host of a flow, or goes on with it.
type Search struct {
	Flow flow.Key
	// Agents is how many agents are asked.
	Agents int
}

// Lookup asks an agent which of some flows its host holds.
type Lookup struct {
	Agent netip.Addr
	Flows []flow.Key
}

func (Forward) decision() {}
func (Reset) decision()   {}
func (Drop) decision()    {}
func (Search) decision()  {}
func (Lookup) decision()  {}

// offers reports whether the step offers a flow to a host of the service that the
// flow is for; other packets go to whatever service the agent's host has.
func (s Step) offers() bool {
	return s == StepOffer || s == StepNextOffer || s == StepHedge || s == StepQueued
}
