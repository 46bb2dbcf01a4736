package relay

import (
	"net/netip"
	"time"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
)

// flowState is what is known of whether the host holds a flow.
type flowState uint8

const (
	// stateOffered: the first packet was delivered to the host.
	stateOffered flowState = iota
	// stateAnswered: the host answered the first packet, but the caller may have taken the answer of another host.
	stateAnswered
	// stateUnsure: the relay has not seen the flow from its first packet on. Packets are delivered to the host to learn
	// whether it holds the flow.
	stateUnsure
	// stateOpen: the host holds the flow.
	stateOpen
	// stateAbsent: the host does not hold the flow, because it bounced a packet.
	stateAbsent
)

// sequenceMark is a sequence number of one end of a flow, if one was seen.
type sequenceMark struct {
	seen   bool
	number uint32
}

func (m *sequenceMark) set(number uint32) { m.seen, m.number = true, number }

// advance sets the mark unless it is further on already.
func (m *sequenceMark) advance(number uint32) {
	if !m.seen || int32(number-m.number) > 0 {
		m.set(number)
	}
}

// excludes reports whether a sequence number cannot be of the same end of the same flow.
func (m sequenceMark) excludes(number uint32) bool {
	return m.seen && !packet.SameSpace(m.number, number)
}

// flowEntry is the entry of a flow in the flow table.
type flowEntry struct {
	state flowState
	// seenFromFirst is set if no packet of the flow can have passed an earlier run of the agent.
	seenFromFirst bool
	// callerISN is the initial sequence number of the caller, which the first packet carries, and callerSequence a recent
	// one, from packets of either end.
	callerISN, callerSequence sequenceMark
	// hostISN is the initial sequence number of the host. It is valid after the host's SYN+ACK.
	hostISN uint32
	// lastAck is the caller's last acknowledgement.
	lastAck sequenceMark
	// hostNext is the sequence number after the last packet of the host.
	hostNext sequenceMark
	// copy is a packet that the caller sent after the first, to be delivered again when the flow is verified. It is empty
	// if none was kept. copySequence is its sequence number, and copyIsBare is set if it carries no data.
	copy         []byte
	copySequence uint32
	copyIsBare   bool
	// balancer is the balancer that sent the last packet. It is invalid if none did.
	balancer netip.Addr
	// notifiedBalancer is the balancer that was last notified that the host holds the flow.
	notifiedBalancer netip.Addr
	// nextSequence is the caller's sequence number after the data that it has sent. It is valid if sentData is set.
	nextSequence uint32
	sentData     bool
	// busy is set while a request of the flow is outstanding, hadRequest once there was one. requestedAt is when the
	// caller last sent new data.
	busy, hadRequest bool
	requestedAt      time.Time
	// class is the class of the flow's requests.
	class uint64
	// begunAt is when the outstanding request began. crowded is set if the host had more to do then than it processes at
	// once, and overdue once the request has counted as failed because the host did not answer it.
	begunAt          time.Time
	crowded, overdue bool
	offeredAt        time.Time
	expiresAt        time.Time
	// countedUnanswered is set once the first packet was counted as unanswered.
	countedUnanswered bool
	// callerFIN and hostFIN are set once that end has sent a FIN. The flow has ended when both have, or after a reset.
	callerFIN, hostFIN, ended bool
}

// inUse reports whether the entry is of a flow that the host may be opening or holds, and not only of one that was asked
// for or has ended.
func (f *flowEntry) inUse() bool {
	return !f.ended && f.state != stateUnsure && f.state != stateAbsent
}

// isOtherFlow reports whether a caller's packet is of another flow with the same key: callers use their ports again.
func (f *flowEntry) isOtherFlow(s *packet.Segment) bool {
	return f.callerSequence.excludes(s.Sequence) || s.Flags.Has(packet.ACK) && f.hostNext.excludes(s.Acknowledgement)
}

// isOtherAnswer reports whether a packet of the host is of another flow with the same key. Resets need not carry an
// acknowledgement.
func (f *flowEntry) isOtherAnswer(s *packet.Segment) bool {
	return s.Flags.Has(packet.ACK) && !s.Flags.Has(packet.RST) && f.callerSequence.excludes(s.Acknowledgement)
}

// holds reports whether a packet is of an open flow of the host; f is the entry of its key, or nil. Such a packet is
// delivered whatever its label: a balancer that has just started may not know the service of this agent yet.
func (f *flowEntry) holds(s *packet.Segment) bool {
	return f != nil && f.state == stateOpen && !s.IsFirstPacket() && !f.hostNext.excludes(s.Acknowledgement)
}

// isCopyOfFirst reports whether a first packet is a copy of the one with which the flow began. If the relay has not seen
// that one, the copy is recognised by the caller's later packets.
func (f *flowEntry) isCopyOfFirst(s *packet.Segment) bool {
	switch {
	case f.state == stateAbsent || f.ended:
		return false
	case f.callerISN.seen:
		return f.callerISN.number == s.Sequence
	}
	return f.callerSequence.seen && !f.callerSequence.excludes(s.Sequence)
}

// deniedFor reports whether the host certainly does not hold the flow of a caller's later packet. If the host may have
// opened the flow before the start of the relay, the flow becomes one that the host is asked for.
func (f *flowEntry) deniedFor(s *packet.Segment) bool {
	switch f.state {
	case stateAbsent:
		return true
	case stateAnswered:
		if s.Acknowledgement-f.hostISN <= handshakeWindow {
			return false
		}
		// The caller acknowledges the answer of another host.
	case stateOffered:
	case stateUnsure, stateOpen:
		return false
	}
	if !f.seenFromFirst {
		f.state = stateUnsure
	}
	return f.seenFromFirst
}

// recordCallerPacket records the numbers of a caller's packet after the first.
func (f *flowEntry) recordCallerPacket(s *packet.Segment) {
	f.callerSequence.set(s.Sequence)
	if s.Flags.Has(packet.ACK) {
		f.lastAck.set(s.Acknowledgement)
	}
}

// recordHostPacket records the numbers of a packet of the host.
func (f *flowEntry) recordHostPacket(s *packet.Segment) {
	f.hostNext.advance(s.Sequence + uint32(s.PayloadLength))
	if s.Flags.Has(packet.ACK) && !s.Flags.Has(packet.RST) {
		f.callerSequence.advance(s.Acknowledgement)
	}
}

// resetSequence returns the sequence number of a reset of an open flow: the caller's last acknowledgement, or if the
// relay has seen none, the host's last sequence number, which is near it.
func (f *flowEntry) resetSequence() uint32 {
	if f.lastAck.seen {
		return f.lastAck.number
	}
	return f.hostNext.number
}

// recordNewData reports whether a caller's packet has data that the caller has not sent before, and records its end.
// Retransmitted data is no request, because the host answers it with an acknowledgement without data.
func (f *flowEntry) recordNewData(s *packet.Segment) bool {
	end := s.Sequence + uint32(s.PayloadLength)
	if s.PayloadLength == 0 || f.sentData && int32(end-f.nextSequence) <= 0 {
		return false
	}
	f.nextSequence, f.sentData = end, true
	return true
}

// Holding is what the agent knows of whether its host holds a flow.
type Holding uint8

// The possible answers to whether the host holds a flow.
const (
	// HoldingUnsure means that only a probe, a delivered packet of the flow, shows whether the host holds it.
	HoldingUnsure Holding = iota
	// HoldingUnseen means the same of a flow that the relay has not seen: the host holds it only if an earlier run of the
	// agent has delivered packets to the present start of the host.
	HoldingUnseen
	// HoldingYes means that the host holds the flow.
	HoldingYes
	// HoldingNo means that the host certainly does not hold the flow.
	HoldingNo
)

// Locate returns whether the host holds a flow, for a balancer that searches for the host of the flow. If the answer is
// HoldingYes, the balancer counts as notified. acknowledgement is that of a packet of the caller, or 0 if none is known.
// If it is not of the flow that the host held under this key, the caller has used its port again.
func (r *Relay) Locate(balancer netip.Addr, key flow.Key, acknowledgement uint32) Holding {
	f := r.flows[key]
	if f == nil || f.state == stateAbsent && acknowledgement != 0 && f.lastAck.excludes(acknowledgement) {
		if r.seenAll {
			return HoldingNo
		}
		return HoldingUnseen
	}
	switch f.state {
	case stateAbsent:
		return HoldingNo
	case stateOffered:
		if f.seenFromFirst {
			return HoldingNo
		}
		return HoldingUnseen
	case stateOpen:
		if acknowledgement != 0 && f.hostNext.excludes(acknowledgement) {
			return HoldingNo
		}
		f.notifiedBalancer = balancer
		return HoldingYes
	case stateAnswered, stateUnsure:
		// The caller may have taken the answer of another host, or the host has not answered the probe.
	}
	return HoldingUnsure
}
