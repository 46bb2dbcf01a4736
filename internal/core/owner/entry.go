package owner

import (
	"time"

	"agateramp/internal/core/flow"
)

// state is the state of a flow map entry.
type state uint8

const (
	// stateFree marks an unused entry of a shard.
	stateFree state = iota
	// stateOwned is a flow that this agent's backend server has.
	stateOwned
	// statePending is an accepted flow that its witnesses have not confirmed yet.
	statePending
	// stateQueued is a flow that waits for a slot of this agent.
	stateQueued
	// stateRefused is a flow that this agent refused without running it.
	stateRefused
	// stateEnded is an ended flow of this agent. Late copies of its packets are dropped.
	stateEnded
	// stateDelegated is a flow on which another host decides.
	stateDelegated
	// stateRemote is a directory entry for a flow that another host has.
	stateRemote
)

const (
	// flagEstablished marks a flow on which a later packet or a reply was seen.
	flagEstablished = 1 << iota
	// flagHoldsSlot marks a flow that holds a slot.
	flagHoldsSlot
	// flagCallerClosed marks a flow whose caller sent FIN or RST.
	flagCallerClosed
	// flagCallerReset marks a flow whose caller sent RST.
	flagCallerReset
	// flagRemoteEnded marks a directory entry whose flow ended.
	flagRemoteEnded
	// flagRemoteRefused marks a directory entry whose flow was refused.
	flagRemoteRefused
	// flagRecovered marks an owned flow that a peer reported after a restart.
	flagRecovered
)

// digests holds the digests of the first packets of the last flows that used a key,
// newest first. 0 stands for an unknown digest.
type digests [3]uint32

// prepend returns the digests with a new one in front.
func (d digests) prepend(digest uint32) digests { return digests{digest, d[0], d[1]} }

// isEarlier reports whether a digest belongs to a flow before the latest one.
func (d digests) isEarlier(digest uint32) bool {
	return digest != 0 && (d[1] == digest || d[2] == digest)
}

// merge returns the digests followed by the digests of old that are not among them.
func (d digests) merge(old digests) digests {
	n := 0
	for n < len(d) && d[n] != 0 {
		n++
	}
	for _, digest := range old {
		if n == len(d) {
			break
		}
		if digest != 0 && digest != d[0] && !d.isEarlier(digest) {
			d[n] = digest
			n++
		}
	}
	return d
}

// list returns the known digests.
func (d digests) list() (known []uint32) {
	for _, digest := range d {
		if digest != 0 {
			known = append(known, digest)
		}
	}
	return known
}

// entry is one flow in the flow map. A flow may take 128 bytes of memory in all, so
// an entry stores times as nanoseconds and hosts as indices of Owner.hosts.
type entry struct {
	key   flow.Key
	state state
	flags uint8
	hash  uint64
	// expires is when the entry expires, in nanoseconds since 1970; 0 means never.
	expires int64
	// roleVersion is the role version of the next host of a delegation. Versions fit
	// into 32 bits.
	roleVersion uint32
	digests     digests
	// host is the index of a host: the owner of a directory entry, the next host of a
	// delegation, or, for a pending or queued flow whose stage is StageOffer, the agent
	// that offered the flow.
	host      uint32
	localPort uint16
	// stage is the stage at which a delegation forwards first packets.
	stage flow.Stage
}

// has reports whether at least one of the given flags is set.
func (e *entry) has(flags uint8) bool { return e.flags&flags != 0 }

func (e *entry) expired(now int64) bool { return e.expires != 0 && e.expires <= now }

// ownFlow reports whether the entry is a present or past flow of this agent. Pending
// and queued flows are not: they may still go to another host.
func (e *entry) ownFlow() bool {
	switch e.state {
	case stateOwned, stateRefused, stateEnded:
		return true
	default:
		return false
	}
}

// evictable reports whether the entry may be evicted when the flow map is full. An owned
// flow may be only if it is not established and its work may run again.
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
	// delegationTTL is how long a delegation lasts, and how long a flow that is not
	// established may be idle.
	delegationTTL = 10 * time.Second
	// lingerTimeout is how long a flow lasts after the last packet of a caller that sent
	// FIN, or after the first RST.
	lingerTimeout = 5 * time.Second
	// endedFlowTTL is how long the entry of an ended or refused flow is kept, so that
	// late copies of its first packet are not taken for new work.
	endedFlowTTL = 10 * time.Second
	// endedRemoteTTL is how long the directory entry of an ended or refused flow is
	// kept. It is longer than endedFlowTTL at the owner.
	endedRemoteTTL = 15 * time.Second
	// relayedEntryTTL is how long a directory entry lasts if the owner will not report the
	// end of the flow to this agent.
	relayedEntryTTL = time.Minute
	// defaultIdleTimeout applies to services without idle_timeout_ms.
	defaultIdleTimeout = 5 * time.Minute
	// witnessTimeout is how long a witness may take to confirm a flow.
	witnessTimeout = 200 * time.Millisecond
	// witnessRetryInterval is how long an agent waits for a witness before it repeats
	// its request.
	witnessRetryInterval = 50 * time.Millisecond
	// reconnectGrace is how long a stream may be down before its peer counts as
	// unreachable.
	reconnectGrace = time.Second
	// adoptionWindow is how long after its start an agent adopts flows that no host has.
	adoptionWindow = 10 * time.Second
	// resetHoldOff is how long after a table change unknown flows are not reset. It
	// covers a delayed first packet and the report of its flow.
	resetHoldOff = 2 * time.Second
	// ownerLostAfter is how long an owner must be unreachable before its flows are
	// reset. With reconnectGrace instead, flows broke when their agent took longer than
	// that to restart.
	ownerLostAfter = 10 * time.Second
	// pauseThreshold is the time between two ticks above which the process counts as
	// having been paused: balancers may have suspected its host and sent copies of first
	// packets to other hosts. It allows for late ticks of a busy process.
	pauseThreshold = 8 * TickInterval
	// recoveryTimeout is how long an agent waits for the full reports of its peers after
	// its start.
	recoveryTimeout = 2 * time.Second
)
