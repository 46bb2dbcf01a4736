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
	"agateramp/internal/segment/hosthealth"
	"agateramp/internal/segment/packet"
)

const (
	// handshakeWindow is the most bytes by which a caller's acknowledgement may exceed the host's initial sequence
	// number if it acknowledges this host's answer to the first packet. It is the most data that an end has in flight.
	handshakeWindow = 16 * 1200
	// absentTTL is how long after a bounce packets of the flow are returned without another probe of the host.
	absentTTL = 5 * time.Second
	// openingTime is how old a first packet may be. Callers send copies of it for 1.4 s, and balancers keep it for 1.2 s.
	openingTime = 5 * time.Second
	// endedTTL is how long an ended flow stays in the table for late packets.
	endedTTL = 5 * time.Second
)

// Config configures a Relay.
type Config struct {
	// Service is the service of the host. Must be set.
	Service string
	// HeartbeatInterval is how often the host sends heartbeats. Must be set.
	HeartbeatInterval time.Duration
	// StartedAt is when the agent started. It must have a reading of the steady clock. Must be set.
	StartedAt time.Time
	// FlowLifetime is the longest lifetime of a flow. A host that started before the agent holds no unknown flow once
	// this time has passed since StartedAt. If zero, flows may live without a limit.
	FlowLifetime time.Duration
	// IdleTimeout is how long a flow without packets stays in the table. If zero, it is 60 s.
	IdleTimeout time.Duration
	// MaxFlows is the number of flows in the table at which idle flows are removed before one is added. The table may
	// grow beyond it. If zero, it is 50,000.
	MaxFlows int
	// ColdBounds limit the new flows of the host while it is cold. If nil, they are not limited.
	ColdBounds *coldstart.Bounds
	// JudgeHosts adds the outcomes of the last requests to the load, by which balancers take failing hosts out. If not set,
	// the load has none.
	JudgeHosts bool
	// ObserveLatency is called with the latency of each response of the host. If nil, it is not called.
	ObserveLatency func(latency time.Duration)
}

// Relay makes the decisions of an agent. It is not safe for concurrent use.
type Relay struct {
	serviceTag        uint32
	heartbeatInterval time.Duration
	startedAt         time.Time
	flowLifetime      time.Duration
	idleTimeout       time.Duration
	maxFlows          int
	// seenAll is set once it is certain that the host holds no flow but those in the table: no process of the host ran
	// at some time since the start of the relay, or every flow from before that start has exceeded its lifetime.
	seenAll bool
	host    host
	flows   map[flow.Key]*flowEntry
	// verificationDue is set if the open flows are to be verified, and unverified holds those that are still to be
	// verified. copyBytes is the size of all copies in the table.
	verificationDue bool
	unverified      []flow.Key
	copyBytes       int
	// nextBounceVerificationAt is when a bounce may start a verification again.
	nextBounceVerificationAt time.Time
	// recentOffers holds the flows whose first packet was delivered to the host within the last answerTimeout.
	recentOffers []flow.Key
	load         load
	// monitor records how the requests of the host end, and observed holds those that have not ended.
	monitor        hosthealth.Monitor
	observed       []observedRequest
	judgeHosts     bool
	observeLatency func(latency time.Duration)
	stopping       bool
	// evacuated is set while the data centre of the host is evacuated.
	evacuated bool
	// coldLimiter limits the new flows of the host while it is cold. If nil, they are not limited.
	coldLimiter *coldstart.Limiter
}

// New returns a relay that refuses new flows until the first heartbeat of its host.
func New(c Config) (r *Relay, err error) {
	if c.Service == "" || c.HeartbeatInterval <= 0 || c.StartedAt.IsZero() {
		return nil, errors.New("relay: Service, HeartbeatInterval and StartedAt must be set")
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
		serviceTag: packet.ServiceTag(c.Service), heartbeatInterval: c.HeartbeatInterval, startedAt: c.StartedAt, flowLifetime: c.FlowLifetime,
		idleTimeout: c.IdleTimeout, maxFlows: c.MaxFlows, observeLatency: c.ObserveLatency, flows: make(map[flow.Key]*flowEntry),
		host: host{quietSince: c.StartedAt}, judgeHosts: c.JudgeHosts,
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

// handleFirstPacket decides on the first packet of a flow, or a retransmission of it.
func (r *Relay) handleFirstPacket(now time.Time, key flow.Key, f *flowEntry, balancer netip.Addr, l packet.Label, s *packet.Segment) (decisions []Decision) {
	if f != nil && f.isCopyOfFirst(s) && !r.leavesFlow(f) {
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
	f = &flowEntry{state: stateOffered, balancer: balancer, offeredAt: now, seenFromFirst: r.seenAll || now.Sub(r.startedAt) > openingTime}
	f.callerISN.set(s.Sequence)
	f.callerSequence.set(s.Sequence)
	r.addFlow(now, key, f)
	r.recentOffers = append(r.recentOffers, key)
	r.host.recordDelivery(now)
	return []Decision{Deliver{Flow: key, Data: s.Data}}
}

// handleLaterPacket decides on a packet of a caller after the first.
func (r *Relay) handleLaterPacket(now time.Time, key flow.Key, f *flowEntry, balancer netip.Addr, s *packet.Segment) (decisions []Decision) {
	notHeld := []Decision{Return{Flow: key, Balancer: balancer, Reason: packet.ReturnNotHeld, Data: s.Data}}
	if f != nil && f.isOtherFlow(s) {
		if f.inUse() {
			// A late packet of an earlier flow says nothing about the one in the table.
			return []Decision{Deliver{Flow: key, Data: s.Data}}
		}
		f = nil
	}
	if f == nil {
		if r.seenAll {
			return notHeld
		}
		f = &flowEntry{state: stateUnsure}
		r.addFlow(now, key, f)
	}
	if f.deniedFor(s) {
		return notHeld
	}
	f.balancer = balancer
	f.recordCallerPacket(s)
	r.keepCopy(f, s)
	f.expiresAt = now.Add(r.idleTimeout)
	if f.recordNewData(s) && f.state != stateUnsure {
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

// HandleFromHost decides on a packet of the host: one for a caller, or a bounced packet of a caller.
func (r *Relay) HandleFromHost(now time.Time, s *packet.Segment) (decisions []Decision) {
	if s.Flags.Has(packet.Bounced) {
		return r.handleBounced(now, s)
	}
	r.recordHostPacket(now)
	key := s.KeyFromHost()
	decisions = []Decision{SendToCaller{Flow: key, Data: s.Data}}
	f := r.flows[key]
	other := f != nil && f.isOtherAnswer(s)
	if other && f.inUse() {
		// A late packet of an earlier flow says nothing about the one in the table.
		return decisions
	}
	if f == nil || f.state == stateAbsent || other {
		f = &flowEntry{state: stateUnsure}
		r.addFlow(now, key, f)
	}
	f.recordHostPacket(s)
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
	if s.Flags.Has(packet.RST) {
		r.observeReset(now, f)
	}
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
	if f.isOtherFlow(s) {
		// The packet is of an earlier flow with the same key.
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
	if wasOpen {
		r.observeReset(now, f)
	}
	r.endRequest(now, f)
	if wasOpen {
		// The host held the flow before, so no other host holds it. It may have restarted.
		r.host.maybeCold = true
		r.removeFlow(now, key, f)
		r.verifyAfterBounce(now)
		return []Decision{Reset{Flow: key, Sequence: f.resetSequence(), Reason: ReasonHostLostFlow}}
	}
	r.dropCopy(f)
	f.state, f.expiresAt = stateAbsent, now.Add(absentTTL)
	return []Decision{Return{Flow: key, Balancer: balancer, Reason: packet.ReturnNotHeld, Data: s.Data}}
}

// recordHostPacket records that the host has sent a packet, so that it runs.
func (r *Relay) recordHostPacket(now time.Time) {
	h := &r.host
	h.quietSince, h.unansweredCount, h.refused = now, 0, false
	if h.phase == phaseAbsent {
		// A new start of the host, which has sent no heartbeat yet.
		h.phase = phaseUnseen
	}
}

// addFlow adds a flow to the table in place of an earlier flow with the same key.
func (r *Relay) addFlow(now time.Time, key flow.Key, f *flowEntry) {
	if old := r.flows[key]; old != nil {
		r.removeFlow(now, key, old)
	}
	if len(r.flows) >= r.maxFlows {
		r.Expire(now)
	}
	f.expiresAt, f.class = now.Add(r.idleTimeout), classOf(key)
	r.flows[key] = f
}

// removeFlow ends the outstanding request of a flow, if any, and removes the flow from the table.
func (r *Relay) removeFlow(now time.Time, key flow.Key, f *flowEntry) {
	r.endRequest(now, f)
	r.dropCopy(f)
	delete(r.flows, key)
}

// endIfClosed marks a flow as ended if the packet is a reset or both ends have sent a FIN.
func (r *Relay) endIfClosed(now time.Time, f *flowEntry, s *packet.Segment) {
	if !s.Flags.Has(packet.RST) && !(f.callerFIN && f.hostFIN) {
		return
	}
	r.endRequest(now, f)
	r.dropCopy(f)
	f.ended, f.expiresAt = true, now.Add(endedTTL)
}

// Tick counts first packets that the host has not answered in time. It reports whether that changed the state of the
// host.
func (r *Relay) Tick(now time.Time) (changed bool) {
	before := r.State(now)
	r.pendingOffers(now)
	r.expireObserved(now)
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
			if r.host.quietSince.Before(f.offeredAt) {
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
	if r.flowLifetime > 0 && now.Sub(r.startedAt) > r.flowLifetime {
		r.seenAll = true
	}
}
