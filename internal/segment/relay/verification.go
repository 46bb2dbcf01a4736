package relay

import (
	"time"

	"agateramp/internal/segment/packet"
)

const (
	// verificationBatch is how many flows are verified in each call of Verify, so that the packets of callers do not wait.
	verificationBatch = 32
	// maxCopyBytes limits the size of all kept copies. A copy has at most 1,236 bytes and mostly 36.
	maxCopyBytes = 4 << 20
	// minBounceVerification is the least time between two verifications that a bounce starts. A host bounces packets of
	// single flows, too, because it discards those that are idle or old.
	minBounceVerification = 500 * time.Millisecond
)

// Verify returns the next decisions of a verification of the open flows, if one is under way. After a sign that the host may
// have restarted, each open flow is verified by delivering a copy of a packet of its caller again. A host that holds the
// flow ignores the copy or acknowledges it; any other bounces it, which resets the flow.
func (r *Relay) Verify() (decisions []Decision) {
	if len(r.unverified) == 0 && r.verificationDue {
		r.verificationDue = false
		r.listUnverified()
	}
	batch := r.unverified[:min(verificationBatch, len(r.unverified))]
	r.unverified = r.unverified[len(batch):]
	for _, key := range batch {
		if f := r.flows[key]; f != nil && f.verifiable() {
			decisions = append(decisions, Redeliver{Flow: key, Data: f.copy})
		}
	}
	return decisions
}

// verifyAfterBounce starts a verification because the host has bounced a packet of a flow that it held: it may have
// restarted and lost the others too.
func (r *Relay) verifyAfterBounce(now time.Time) {
	if len(r.unverified) > 0 || now.Before(r.nextBounceVerificationAt) {
		return
	}
	r.verificationDue, r.nextBounceVerificationAt = true, now.Add(minBounceVerification)
}

func (r *Relay) listUnverified() {
	r.unverified = nil
	for key, f := range r.flows {
		if f.verifiable() {
			r.unverified = append(r.unverified, key)
		}
	}
}

// verifiable reports whether a copy shows if the host holds the flow. Data on a flow that the host has closed is no
// question: the host answers it with a reset to the caller.
func (f *flowEntry) verifiable() bool {
	return f.state == stateOpen && !f.ended && !f.callerFIN && len(f.copy) > 0 && (f.copyIsBare || !f.hostFIN)
}

// keepCopy keeps a copy of a caller's packet: the last one without data, or if there was none, the smallest.
func (r *Relay) keepCopy(f *flowEntry, s *packet.Segment) {
	if s.Flags&(packet.SYN|packet.FIN|packet.RST) != 0 {
		return
	}
	bare := s.PayloadLength == 0
	current := len(f.copy) > 0 && packet.SameSpace(f.copySequence, s.Sequence)
	if current && !bare && (f.copyIsBare || len(s.Data) >= len(f.copy)) {
		return
	}
	size := r.copyBytes - len(f.copy) + len(s.Data)
	if size > maxCopyBytes {
		return
	}
	if len(f.copy) != len(s.Data) {
		f.copy = make([]byte, len(s.Data))
	}
	copy(f.copy, s.Data)
	f.copySequence, f.copyIsBare, r.copyBytes = s.Sequence, bare, size
}

// dropCopy drops the copy of a flow, if there is one.
func (r *Relay) dropCopy(f *flowEntry) {
	r.copyBytes -= len(f.copy)
	f.copy = nil
}
