// Package relay decides what an agent does with the packets between callers and the host beside the agent.
//
// The host is authoritative on its flows: it bounces packets of flows that it does not hold, that is, it sends them back
// to the agent. A Relay keeps a table of the flows that it has seen. For other flows it probes the host: it delivers a
// packet of the flow and waits for an answer or a bounce. From heartbeats and answers it also derives the state and the
// load of the host.
//
// A Relay does no I/O and reads no clock: package agent passes in packets, heartbeats and the time, and carries out the
// returned decisions.
package relay

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/coldstart"
	"agateramp/internal/segment/packet"
)

const (
	// handshakeWindow is the most bytes by which a caller's acknowledgement may exceed the host's initial sequence
	// number if it acknowledges this host's answer to the first packet. It is the most data that an end has in flight.
	handshakeWindow = 16 * 1200
	// absentTTL is how long after a bounce packets of the flow are returned without another probe of the host.
	absentTTL = 5 * time.Second
	// maxFirstHeartbeatDelay is how long a host may serve flows before its first heartbeat arrives.
	maxFirstHeartbeatDelay = time.Second
	// endedTTL is how long an ended flow stays in the table for late packets.
	endedTTL = 5 * time.Second
)

// Config configures a Relay.
type Config struct {
	// Service is the service of the host. Must be set.
	Service string
	// HeartbeatInterval is how often the host sends heartbeats. Must be set.
	HeartbeatInterval time.Duration
	// FlowLifetime is the longest lifetime of a flow. A host that started before the agent holds no unknown flow once
	// this time has passed. If zero, flows may live without a limit.
	FlowLifetime time.Duration
	// IdleTimeout is how long a flow without packets stays in the table. If zero, it is 60 s.
	IdleTimeout time.Duration
	// MaxFlows is the number of flows in the table at which idle flows are removed before one is added. The table may
	// grow beyond it. If zero, it is 50,000.
	MaxFlows int
	// ColdBounds limit the new flows of the host while it is cold. If nil, they are not limited.
	ColdBounds *coldstart.Bounds
	// StartedAt is when the agent started. If zero, no earlier run of it has just ended.
	StartedAt time.Time
	// ObserveLatency is called with the latency of each response of the host. If nil, it is not called.
	ObserveLatency func(latency time.Duration)
}

// flowState is what is known of whether the host holds a flow.
type flowState uint8

const (
	// stateOffered: the first packet was delivered to the host.
	stateOffered flowState = iota
	// stateAnswered: the host answered the first packet, but the caller may have taken the answer of another host.
	stateAnswered
	// stateProbed: a later packet of an unknown flow was delivered to the host to learn whether the host holds the flow.
	stateProbed
	// stateOpen: the host holds the flow.
	stateOpen
	// stateAbsent: the host does not hold the flow, because it bounced a packet.
	stateAbsent
)

// flowEntry is the entry of a flow in the flow table.
type flowEntry struct {
	state flowState
	// callerISN is the initial sequence number of the caller, which the first packet carries.
	callerISN uint32
	// hostISN is the initial sequence number of the host. It is valid after the host's SYN+ACK.
	hostISN uint32
	// lastAck is the caller's last acknowledgement, which becomes the sequence number of a reset.
	lastAck uint32
	// hostNext is the sequence number after the last packet of the host, or 0 before the first.
	hostNext uint32
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
	// lastHostPacketAt is when the host last sent a packet of the flow.
	lastHostPacketAt time.Time
	offeredAt        time.Time
	expiresAt        time.Time
	// countedUnanswered is set once the first packet was counted as unanswered.
	countedUnanswered bool
	// callerFIN and hostFIN are set once that end has sent a FIN. The flow has ended when both have, or after a reset.
	callerFIN, hostFIN, ended bool
}

// Relay makes the decisions of an agent. It is not safe for concurrent use.
type Relay struct {
	serviceTag        uint32
	heartbeatInterval time.Duration
	flowLifetime      time.Duration
	idleTimeout       time.Duration
	maxFlows          int
	host              host
	flows             map[flow.Key]*flowEntry
	// recentOffers holds the flows whose first packet was delivered to the host within the last answerTimeout.
	recentOffers   []flow.Key
	load           load
	observeLatency func(latency time.Duration)
	stopping       bool
	// evacuated is set while the data centre of the host is evacuated.
	evacuated bool
	// coldLimiter limits the new flows of the host while it is cold. If nil, they are not limited.
	coldLimiter *coldstart.Limiter
	startedAt   time.Time
}

// New returns a relay that refuses new flows until the first heartbeat of its host.
func New(c Config) (r *Relay, err error) {
	if c.Service == "" || c.HeartbeatInterval <= 0 {
		return nil, errors.New("relay: Service and HeartbeatInterval must be set")
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = 60 * time.Second
	}
	if c.ObserveLatency == nil {
		c.ObserveLatency = func(time.Duration) {}
	}
	if c.MaxFlows <= 0 {
		c.MaxFlows = 50_000
	}
	r = &Relay{
		serviceTag: packet.ServiceTag(c.Service), heartbeatInterval: c.HeartbeatInterval, flowLifetime: c.FlowLifetime,
		idleTimeout: c.IdleTimeout, maxFlows: c.MaxFlows, observeLatency: c.ObserveLatency, flows: make(map[flow.Key]*flowEntry),
		startedAt: c.StartedAt,
	}
	if c.ColdBounds != nil {
		r.coldLimiter, err = coldstart.NewLimiter(*c.ColdBounds)
	}
	return r, err
}

// Stop makes the relay refuse new flows, because the agent is about to end. Other flows continue.
func (r *Relay) Stop() { r.stopping = true }

// HandleFromBalancer decides on a packet of a caller that a balancer forwarded with the label l.
func (r *Relay) HandleFromBalancer(now time.Time, balancer netip.Addr, l packet.Label, s *packet.Segment) (decisions []Decision) {
	key := s.KeyFromCaller()
	if s.Flags.Has(packet.SYN | packet.ACK) {
		return []Decision{Drop{Flow: key, Reason: ReasonNotForHost}}
	}
	f := r.flows[key]
	if l.ServiceTag != r.serviceTag && !f.holds(s) {
		return []Decision{Return{Flow: key, Balancer: balancer, Reason: packet.ReturnWrongService, Data: s.Data}}
	}
	if f != nil && l.Probe {
		// The balancer may have restarted, or the notice to it may have been lost.
		f.notifiedBalancer = netip.Addr{}
	}
	if s.IsFirstPacket() {
		return r.handleFirstPacket(now, key, f, balancer, l, s)
	}
	return r.handleLaterPacket(now, key, f, balancer, s)
}

// holds reports whether a packet is of an open flow of the host; f is the entry of its key, or nil. Such a packet is
// delivered whatever its label: a balancer that has just started may not know the service of this agent yet.
func (f *flowEntry) holds(s *packet.Segment) bool {
	return f != nil && f.state == stateOpen && !s.IsFirstPacket() && packet.SameSpace(s.Acknowledgement, f.hostNext)
}

// handleFirstPacket decides on the first packet of a flow, or a retransmission of it.
func (r *Relay) handleFirstPacket(now time.Time, key flow.Key, f *flowEntry, balancer netip.Addr, l packet.Label, s *packet.Segment) (decisions []Decision) {
	if f != nil && f.state != stateAbsent && f.callerISN == s.Sequence && !f.ended && !r.leavesFlow(f) {
		if !r.admitCold(now, key) {
			return []Decision{Return{Flow: key, Balancer: balancer, Reason: packet.ReturnCold, Data: s.Data}}
		}
		f.balancer = balancer
		return []Decision{Deliver{Flow: key, Data: s.Data}}
	}
	if reason, refused := r.refusal(now, l.Late); refused {
		return []Decision{Return{Flow: key, Balancer: balancer, Reason: reason, Data: s.Data}}
	}
	if !r.admitCold(now, key) {
		return []Decision{Return{Flow: key, Balancer: balancer, Reason: packet.ReturnCold, Data: s.Data}}
	}
	r.addFlow(now, key, &flowEntry{state: stateOffered, callerISN: s.Sequence, balancer: balancer, offeredAt: now})
	r.recentOffers = append(r.recentOffers, key)
	return []Decision{Deliver{Flow: key, Data: s.Data}}
}

// handleLaterPacket decides on a packet of a caller after the first.
func (r *Relay) handleLaterPacket(now time.Time, key flow.Key, f *flowEntry, balancer netip.Addr, s *packet.Segment) (decisions []Decision) {
	notHeld := []Decision{Return{Flow: key, Balancer: balancer, Reason: packet.ReturnNotHeld, Data: s.Data}}
	if f == nil {
		if r.host.holdsNoOtherFlows() {
			return notHeld
		}
		f = &flowEntry{state: stateProbed, balancer: balancer}
		r.addFlow(now, key, f)
	}
	switch f.state {
	case stateAbsent, stateOffered:
		return notHeld
	case stateAnswered:
		if s.Acknowledgement-f.hostISN > handshakeWindow {
			// The caller acknowledges the answer of another host.
			return notHeld
		}
	case stateProbed, stateOpen:
	}
	f.balancer, f.lastAck = balancer, s.Acknowledgement
	f.expiresAt = now.Add(r.idleTimeout)
	if f.recordNewData(s) && f.state != stateProbed {
		r.recordRequest(now, f)
	}
	decisions = append(decisions, Deliver{Flow: key, Data: s.Data})
	if f.state == stateOpen {
		decisions = append(decisions, r.announceHeld(key, f)...)
	}
	f.callerFIN = f.callerFIN || s.Flags.Has(packet.FIN)
	r.endIfClosed(now, f, s)
	return decisions
}

// announceHeld notifies the flow's balancer that the host holds the flow, unless it was notified before.
func (r *Relay) announceHeld(key flow.Key, f *flowEntry) (decisions []Decision) {
	if f.notifiedBalancer == f.balancer || !f.balancer.IsValid() {
		return nil
	}
	f.notifiedBalancer = f.balancer
	return []Decision{Accept{Flow: key, Balancer: f.balancer}}
}

// Holding is what the agent knows of whether its host holds a flow.
type Holding uint8

// The possible answers to whether the host holds a flow.
const (
	// HoldingUnsure means that only a probe, a delivered packet of the flow, shows whether the host holds it.
	HoldingUnsure Holding = iota
	// HoldingYes means that the host holds the flow.
	HoldingYes
	// HoldingNo means that the host does not hold the flow.
	HoldingNo
)

// Locate returns whether the host holds a flow, for a balancer that searches for the host of the flow. If the answer is
// HoldingYes, the balancer counts as notified. acknowledgement is that of a packet of the caller, or 0 if none is known.
// If it is not of the flow that the host held under this key, the caller has used its port again.
func (r *Relay) Locate(balancer netip.Addr, key flow.Key, acknowledgement uint32) Holding {
	f := r.flows[key]
	switch {
	case f == nil && r.host.holdsNoOtherFlows():
		return HoldingNo
	case f == nil:
		return HoldingUnsure
	}
	switch f.state {
	case stateAbsent, stateOffered:
		return HoldingNo
	case stateOpen:
		if acknowledgement != 0 && f.hostNext != 0 && !packet.SameSpace(acknowledgement, f.hostNext) {
			return HoldingNo
		}
		f.notifiedBalancer = balancer
		return HoldingYes
	case stateAnswered, stateProbed:
		// The caller may have taken the answer of another host, or the host has not answered the probe.
	}
	return HoldingUnsure
}

// HandleFromHost decides on a packet of the host: one for a caller, or a bounced packet of a caller.
func (r *Relay) HandleFromHost(now time.Time, s *packet.Segment) (decisions []Decision) {
	if s.Flags.Has(packet.Bounced) {
		return r.handleBounced(now, s)
	}
	r.recordHostPacket(now)
	key := s.KeyFromHost()
	f := r.flows[key]
	if f == nil || f.state == stateAbsent {
		f = &flowEntry{state: stateOpen}
		r.addFlow(now, key, f)
	}
	f.lastHostPacketAt = now
	if next := s.Sequence + uint32(s.PayloadLength); f.hostNext == 0 || int32(next-f.hostNext) > 0 {
		f.hostNext = next
	}
	decisions = []Decision{SendToCaller{Flow: key, Data: s.Data}}
	if s.Flags.Has(packet.SYN | packet.ACK) {
		if f.state == stateOffered {
			f.state = stateAnswered
		}
		f.hostISN = s.Sequence
		if f.balancer.IsValid() {
			f.notifiedBalancer = f.balancer
			decisions = append(decisions, Accept{Flow: key, Balancer: f.balancer, Sequence: s.Sequence, Handshake: true})
		}
		return decisions
	}
	f.state, f.expiresAt = stateOpen, now.Add(r.idleTimeout)
	if s.PayloadLength > 0 {
		r.recordResponse(now, f)
	}
	f.hostFIN = f.hostFIN || s.Flags.Has(packet.FIN)
	r.endIfClosed(now, f, s)
	return append(decisions, r.announceHeld(key, f)...)
}

// handleBounced decides on a packet of a caller that the host bounced.
func (r *Relay) handleBounced(now time.Time, s *packet.Segment) (decisions []Decision) {
	key := s.KeyFromCaller()
	f := r.flows[key]
	if f == nil || !f.balancer.IsValid() {
		return []Decision{Drop{Flow: key, Reason: ReasonUnknownFlow}}
	}
	balancer := f.balancer
	if s.IsFirstPacket() {
		r.recordHostPacket(now)
		r.removeFlow(now, key, f)
		return []Decision{Return{Flow: key, Balancer: balancer, Reason: packet.ReturnRefused, Data: s.Data}}
	}
	if f.ended {
		return []Decision{Drop{Flow: key, Reason: ReasonUnknownFlow}}
	}
	wasOpen := f.state == stateOpen
	r.endRequest(now, f)
	if wasOpen {
		// The host held the flow before, so no other host holds it. It may have restarted.
		r.host.maybeCold = true
		r.removeFlow(now, key, f)
		return []Decision{Reset{Flow: key, Sequence: f.lastAck, Reason: ReasonHostLostFlow}}
	}
	f.state, f.expiresAt = stateAbsent, now.Add(absentTTL)
	return []Decision{Return{Flow: key, Balancer: balancer, Reason: packet.ReturnNotHeld, Data: s.Data}}
}

// recordHostPacket records that the host has sent a packet, so that it runs.
func (r *Relay) recordHostPacket(now time.Time) {
	h := &r.host
	h.lastPacketAt, h.unansweredCount = now, 0
	if h.absent {
		// A new start of the host, which has had no flows before this one.
		h.absent, h.allFlowsSeen = false, true
	}
}

// resetEarlierFlows removes the flows of an earlier start of the host and resets those that are open. It keeps flows
// with packets of the host from just before the first heartbeat of the new start, because they may belong to the new
// start; if they do not, the host bounces their next packet.
func (r *Relay) resetEarlierFlows(now time.Time) (decisions []Decision) {
	for key, f := range r.flows {
		if now.Sub(f.lastHostPacketAt) < maxFirstHeartbeatDelay {
			continue
		}
		if f.state == stateOpen && !f.ended {
			decisions = append(decisions, Reset{Flow: key, Sequence: f.lastAck, Reason: ReasonHostRestarted})
		}
		r.removeFlow(now, key, f)
	}
	return decisions
}

// addFlow adds a flow to the table in place of an earlier flow with the same key.
func (r *Relay) addFlow(now time.Time, key flow.Key, f *flowEntry) {
	if old := r.flows[key]; old != nil {
		r.endRequest(now, old)
	}
	if len(r.flows) >= r.maxFlows {
		r.Expire(now)
	}
	f.expiresAt = now.Add(r.idleTimeout)
	r.flows[key] = f
}

// removeFlow ends the outstanding request of a flow, if any, and removes the flow from the table.
func (r *Relay) removeFlow(now time.Time, key flow.Key, f *flowEntry) {
	r.endRequest(now, f)
	delete(r.flows, key)
}

// endIfClosed marks a flow as ended if the packet is a reset or both ends have sent a FIN.
func (r *Relay) endIfClosed(now time.Time, f *flowEntry, s *packet.Segment) {
	if !s.Flags.Has(packet.RST) && !(f.callerFIN && f.hostFIN) {
		return
	}
	r.endRequest(now, f)
	f.ended, f.expiresAt = true, now.Add(endedTTL)
}

// Tick counts first packets that the host has not answered in time. It reports whether that changed the state of the
// host.
func (r *Relay) Tick(now time.Time) (changed bool) {
	before := r.State(now)
	r.pendingOffers(now)
	return r.State(now) != before
}

// pendingOffers returns the number of flows that were offered to the host within answerTimeout and have had no request
// yet. It also counts first packets that have become unanswered.
func (r *Relay) pendingOffers(now time.Time) int {
	kept := r.recentOffers[:0]
	for _, key := range r.recentOffers {
		f := r.flows[key]
		switch {
		case f == nil || f.state > stateAnswered || f.hadRequest || f.countedUnanswered:
		case now.Sub(f.offeredAt) < answerTimeout:
			kept = append(kept, key)
		case f.state == stateOffered:
			f.countedUnanswered = true
			if r.host.lastPacketAt.Before(f.offeredAt) {
				r.host.unansweredCount++
			}
		}
	}
	r.recentOffers = kept
	return len(kept)
}

// Expire removes flows that are idle or have ended, and ends requests that their callers have abandoned.
func (r *Relay) Expire(now time.Time) {
	for key, f := range r.flows {
		switch {
		case now.After(f.expiresAt):
			r.removeFlow(now, key, f)
		case f.busy && now.Sub(f.requestedAt) > abandonTimeout:
			r.endRequest(now, f)
		}
	}
	if r.flowLifetime > 0 && now.Sub(r.host.firstHeartbeatAt) > r.flowLifetime {
		// All flows from before the agent's start have exceeded their lifetime.
		r.host.allFlowsSeen = true
	}
}
