package owner

import (
	"time"

	"agateramp/internal/core/flow"
)

// state says what the agent knows about a flow.
type state uint8

const (
	// stateFree marks an unused slot of a shard.
	stateFree state = iota
	// stateOwned is a flow of this agent's backend server.
	stateOwned
	// statePending is a taken flow whose witness has not confirmed it yet.
	statePending
	// stateQueued is a flow that waits here for a slot.
	stateQueued
	// stateRefused is a flow that was refused as not run.
	stateRefused
	// stateEnded is a flow of this agent that is over; late copies are dropped.
	stateEnded
	// stateClaim is a flow on which another host decides.
	stateDelegated
	// stateRemote is a directory entry: another host confirmed that it has the flow.
	stateRemote
)

const (
	// flagEstablished marks a flow on which both ends have been heard.
	flagEstablished = 1 << iota
	// flagBusy marks a flow that holds a slot.
	flagHoldsSlot
	// flagFinished marks a flow whose caller sent FIN or RST.
	flagCallerClosed
	// flagReset marks a flow whose caller sent RST.
	flagCallerReset
	// flagOver marks a directory entry whose flow ended.
	flagRemoteEnded
	// flagRefused marks a directory entry whose flow was refused.
	flagRemoteRefused
	// flagRecovered marks a flow learned from a peer after a restart.
	flagRecovered
)

// tokens holds the digests of the first packets that used a key, newest first. A
// digest of 0 is unknown.
type digests [3]uint32

// push returns the tokens with a new one in front.
func (t digests) prepend(digest uint32) digests { return digests{digest, t[0], t[1]} }

// earlier reports whether a token belongs to a flow before the present one.
func (t digests) isEarlier(digest uint32) bool { return digest != 0 && (t[1] == digest || t[2] == digest) }

// merge returns the tokens followed by the ones of old that are not among them.
func (t digests) merge(old digests) digests {
	n := 0
	for n < len(t) && t[n] != 0 {
		n++
	}
	for _, digest := range old {
		if n == len(t) {
			break
		}
		if digest != 0 && digest != t[0] && !t.isEarlier(digest) {
			t[n] = digest
			n++
		}
	}
	return t
}

// list returns the known tokens.
func (t digests) list() (known []uint32) {
	for _, digest := range t {
		if digest != 0 {
			known = append(known, digest)
		}
	}
	return known
}

// entry is one flow in the flow map. Its size is part of the bound of 128 bytes
// a flow, so it holds times as nanoseconds and hosts as indices.
type entry struct {
	key   flow.Key
	state state
	flags uint8
	hash  uint64
	// expires is when the entry ends, in nanoseconds since 1970; 0 is never.
	expires int64
	// role is the role version of the next host of a claim. Versions fit 32 bits.
	roleVersion   uint32
	digests digests
	// host is the index of the owner or of the next host, for claims and remotes,
	// and of the agent that offered the flow, when it waits here for its witness or
	// a slot and the stage is that of an offer.
	host uint32
	localPort uint16
	// stage is the stage at which a claim passes first packets on.
	stage flow.Stage
}

func (e *entry) has(flag uint8) bool { return e.flags&flag != 0 }

func (e *entry) expired(now int64) bool { return e.expires != 0 && e.expires <= now }

// own reports whether the entry is a flow of this agent, present or past. A flow
// that waits is not: it can still go to another host.
func (e *entry) ownFlow() bool {
	switch e.state {
	case stateOwned, stateRefused, stateEnded:
		return true
	default:
		return false
	}
}

// evictable reports whether the entry may be evicted when the map is full.
func (e *entry) evictable(idempotent bool) bool {
	switch e.state {
	case stateDelegated, stateRefused, stateEnded:
		return true
	case stateRemote:
		return e.has(flagRemoteEnded | flagRemoteRefused)
	case stateOwned:
		return idempotent && !e.has(flagEstablished)
	default:
		return false
	}
}

const (
	// claimLife is how long a claim lasts, and how long an unestablished flow may idle.
	delegationTTL = 10 * time.Second
	// linger is how long a flow lasts after the last packet that follows a FIN.
	lingerTimeout = 5 * time.Second
	// memoryLife is how long an ended or refused flow is remembered, so that late
	// copies of its first packet are not taken for new work.
	endedFlowTTL = 10 * time.Second
	// directoryLife outlives memoryLife at the owner.
	endedRemoteTTL = 15 * time.Second
	// handoverLife is how long an entry lasts that its owner did not report itself.
	relayedEntryTTL = time.Minute
	// defaultIdle applies to services without idle_timeout_ms.
	defaultIdleTimeout = 5 * time.Minute
	// witnessDeadline is how long a witness may take to confirm a flow.
	witnessTimeout = 200 * time.Millisecond
	// askInterval is how long a witness may take before it is asked again.
	witnessRetryInterval = 50 * time.Millisecond
	// streamGrace is how long a broken stream may stay broken before its peer
	// counts as unreachable.
	reconnectGrace = time.Second
	// adoptionLimit is how long after its start an agent adopts flows that nobody has.
	adoptionWindow = 10 * time.Second
	// settleTime is how long after a table change unknown flows are not reset. It
	// covers a delayed first packet and the report of the flow.
	resetHoldOff = 2 * time.Second
	// ownerLostAfter is how long an owner must be unreachable before its flows are
	// reset. Resetting after streamGrace broke flows of agents that took longer than
	// that to restart.
	ownerLostAfter = 10 * time.Second
	// pauseLimit is how long after the last tick an agent takes itself to have been
	// paused: balancers may have suspected it and sent copies of first packets
	// elsewhere. It leaves room for late ticks of a busy process.
	pauseThreshold = 8 * TickInterval
	// recoveryLimit is how long a started agent waits for the reports of its peers.
	recoveryTimeout = 2 * time.Second
)
