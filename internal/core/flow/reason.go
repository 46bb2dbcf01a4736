package flow

// Reason says why a packet was dropped, refused or reset. It is the name of a
// metric and appears in logs.
type Reason string

// The reasons of drops, refusals and resets.
const (
	// ReasonMalformed is a packet that could not be decoded.
	ReasonMalformed Reason = "malformed"
	// ReasonForeignPeer is a frame from an address that is not a known peer.
	ReasonForeignPeer Reason = "foreign_peer"
	// ReasonUnknownService is a packet for an address of no service.
	ReasonUnknownService Reason = "unknown_service"
	// ReasonWrongEntry is a packet from the fabric for an address that this
	// balancer takes as plain datagrams.
	ReasonWrongEntry Reason = "wrong_entry"
	// ReasonWrongService is a packet for another service than the agent serves.
	ReasonWrongService Reason = "wrong_service"
	// ReasonUnknownFlow is a packet that is not the first of a flow nobody owns.
	ReasonUnknownFlow Reason = "unknown_flow"
	// ReasonHopLimit is a packet passed on MaxPasses times.
	ReasonHopLimit Reason = "hop_limit"
	// ReasonNoHosts is a packet for a service without an active host.
	ReasonNoHosts Reason = "no_hosts"
	// ReasonFull is a flow for which no slot or connection became free in time.
	ReasonFull Reason = "full"
	// ReasonDraining is a flow refused because the only host is draining.
	ReasonDraining Reason = "draining"
	// ReasonNoWitness is a non-idempotent flow whose directory entry was not acknowledged in time.
	ReasonNoWitness Reason = "no_witness"
	// ReasonOwnerLost is a flow whose owner died.
	ReasonOwnerLost Reason = "owner_lost"
	// ReasonDuplicate is a copy of a packet whose flow is being decided.
	ReasonDuplicate Reason = "duplicate"
	// ReasonStale is a packet that may have waited while the process was paused.
	ReasonStale Reason = "stale"
	// ReasonTableFull is a flow refused because the flow map reached its bound.
	ReasonTableFull Reason = "table_full"
)
