package flow

// Reason is why a packet was dropped, refused or reset. Its value is a part of the name of a
// metric and is written to logs.
type Reason string

// The reasons of drops, refusals and resets.
const (
	// ReasonMalformed is a packet that could not be decoded.
	ReasonMalformed Reason = "malformed"
	// ReasonForeignPeer is a packet from an address that is not a known peer, or of a kind
	// that the peer may not send.
	ReasonForeignPeer Reason = "foreign_peer"
	// ReasonUnknownService is a packet to an address of no service.
	ReasonUnknownService Reason = "unknown_service"
	// ReasonWrongEntry is a packet that came through the fabric, the network that tunnels
	// packets of callers to balancers, to a service address on which this balancer receives
	// plain datagrams.
	ReasonWrongEntry Reason = "wrong_entry"
	// ReasonWrongService is a packet to another service than that of the agent.
	ReasonWrongService Reason = "wrong_service"
	// ReasonUnknownFlow is a packet that is not the first one of its flow, when no agent
	// owns the flow.
	ReasonUnknownFlow Reason = "unknown_flow"
	// ReasonHopLimit is a packet that agents have passed on MaxPasses times.
	ReasonHopLimit Reason = "hop_limit"
	// ReasonNoHosts is a packet for a service without an active host.
	ReasonNoHosts Reason = "no_hosts"
	// ReasonFull is a flow for which no slot or connection became free in time.
	ReasonFull Reason = "full"
	// ReasonDraining is a flow that no other host could take and that was refused because
	// the host that received it last is draining.
	ReasonDraining Reason = "draining"
	// ReasonNoWitness is a flow of a non-idempotent service whose directory entry was not
	// acknowledged in time by its witnesses, the other agents that must hold the entry.
	ReasonNoWitness Reason = "no_witness"
	// ReasonOwnerLost is a flow whose owner is dead or unreachable.
	ReasonOwnerLost Reason = "owner_lost"
	// ReasonDuplicate is a copy of a packet whose flow is being placed or was placed before.
	ReasonDuplicate Reason = "duplicate"
	// ReasonStale is a packet that may have been in a queue while the process was paused,
	// and is too old to act on.
	ReasonStale Reason = "stale"
	// ReasonTableFull is a flow for which the flow map of the agent has no room.
	ReasonTableFull Reason = "table_full"
)
