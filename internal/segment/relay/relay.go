// Package relay decides what an agent does with the packets between callers and
// the host beside it. The host is the record of a flow: it gives back packets of
// flows that it does not hold. The agent remembers what it saw and asks the host
// where it saw nothing. It does no I/O and reads no clock.
package relay

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
)

const (
	// handshakeWindow is how far an acknowledgement may be from the initial sequence
	// number of the host that it is meant for. It is the most that an end has in flight.
	handshakeWindow = 16 * 1200
	// absentTime is how long the host's answer that it does not hold a flow is believed.
	absentTime = 5 * time.Second
	// firstHeartbeatTime is how long a host may serve before its first heartbeat comes.
	firstHeartbeatTime = time.Second
	// endedTime is how long an ended flow is remembered for late packets.
	endedTime = 5 * time.Second
)

// Config configures a Relay.
type Config struct {
	// Service is the service of the host. It must be set.
	Service string
	// Heartbeat is the interval of the host's heartbeats. It must be set.
	Heartbeat time.Duration
	// FlowLifetime is how long a flow lives at most. Empty means that flows are
	// forgotten only when idle.
	FlowLifetime time.Duration
	// IdleTimeout is how long a flow without packets is remembered. Empty means 60 s.
	IdleTimeout time.Duration
	// MaxFlows bounds the remembered flows. Empty means 50,000.
	MaxFlows int
	// Answered is told how long the host took for an answer. Empty means that
	// nobody is.
	Answered func(took time.Duration)
}

// state says what is known of a flow.
type state uint8

const (
	// stateOffered: the first packet went to the host.
	stateOffered state = iota
	// stateAnswered: the host answered the first packet.
	stateAnswered
	// stateAsked: a later packet of an unknown flow went to the host.
	stateAsked
	// stateOpen: the host holds the flow.
	stateOpen
	// stateAbsent: the host does not hold the flow.
	stateAbsent
)

// entry is what the agent remembers of a flow.
type entry struct {
	state state
	// first is the sequence number of the first packet.
	first uint32
	// sequence is the initial sequence number of the host.
	sequence uint32
	// acknowledged is the caller's last acknowledgement, for a reset.
	acknowledged uint32
	balancer     netip.Addr
	// told is the balancer that knows that the host holds the flow.
	told netip.Addr
	// next is the caller's sequence number after the data that it has sent, if sent is
	// set.
	next uint32
	sent bool
	// busy is set while a request waits for its answer, requested once there was one.
	busy, requested bool
	asked           time.Time
	// answered is when the host last sent a packet of the flow.
	answered time.Time
	offered  time.Time
	expires  time.Time
	// missed is set when the offer was counted as unanswered.
	missed bool
	// callerDone and hostDone are set once that end has sent a FIN. The flow has
	// ended when both have, or at a reset.
	callerDone, hostDone, ended bool
}

// Relay is the decision core of an agent. It is not safe for concurrent use.
type Relay struct {
	tag       uint32
	heartbeat time.Duration
	lifetime  time.Duration
	idleTime  time.Duration
	maxFlows  int
	host      host
	flows     map[flow.Key]*entry
	// offers holds the flows that have been offered to the host lately.
	offers   []flow.Key
	load     load
	answered func(took time.Duration)
	stopping bool
}

// New returns a relay without a host.
func New(c Config) (r *Relay, err error) {
	if c.Service == "" || c.Heartbeat <= 0 {
		return nil, errors.New("relay: service and heartbeat interval must be set")
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = 60 * time.Second
	}
	if c.Answered == nil {
		c.Answered = func(time.Duration) {}
	}
	if c.MaxFlows <= 0 {
		c.MaxFlows = 50_000
	}
	return &Relay{
		tag: packet.ServiceTag(c.Service), heartbeat: c.Heartbeat, lifetime: c.FlowLifetime,
		idleTime: c.IdleTimeout, maxFlows: c.MaxFlows, answered: c.Answered, flows: make(map[flow.Key]*entry),
	}, nil
}

// Stop makes the relay refuse new flows, because the agent is about to end.
func (r *Relay) Stop() { r.stopping = true }

// HandleFromBalancer decides on a packet that a balancer sent.
func (r *Relay) HandleFromBalancer(now time.Time, balancer netip.Addr, l packet.Label, s *packet.Segment) (decisions []Decision) {
	key := s.FromCaller()
	if s.Flags.Has(packet.SYN | packet.ACK) {
		return []Decision{Drop{Flow: key, Reason: ReasonNotForHost}}
	}
	if l.Service != r.tag {
		return []Decision{Return{Flow: key, Balancer: balancer, Reason: packet.ReturnWrongService, Data: s.Data}}
	}
	f := r.flows[key]
	if f != nil && l.Ask {
		// The balancer may have restarted, or lost what it was told.
		f.told = netip.Addr{}
	}
	if s.First() {
		return r.handleFirst(now, key, f, balancer, l, s)
	}
	return r.handleLater(now, key, f, balancer, s)
}

func (r *Relay) handleFirst(now time.Time, key flow.Key, f *entry, balancer netip.Addr, l packet.Label, s *packet.Segment) (decisions []Decision) {
	if f != nil && f.state != stateAbsent && f.first == s.Sequence && !f.ended {
		f.balancer = balancer
		return []Decision{Deliver{Flow: key, Data: s.Data}}
	}
	if reason, refused := r.refuses(now, l.Late); refused {
		return []Decision{Return{Flow: key, Balancer: balancer, Reason: reason, Data: s.Data}}
	}
	r.remember(now, key, &entry{state: stateOffered, first: s.Sequence, balancer: balancer, offered: now})
	r.offers = append(r.offers, key)
	return []Decision{Deliver{Flow: key, Data: s.Data}}
}

func (r *Relay) handleLater(now time.Time, key flow.Key, f *entry, balancer netip.Addr, s *packet.Segment) (decisions []Decision) {
	notHeld := []Decision{Return{Flow: key, Balancer: balancer, Reason: packet.ReturnNotHeld, Data: s.Data}}
	if f == nil {
		if r.host.complete || r.host.state == packet.HostGone {
			return notHeld
		}
		f = &entry{state: stateAsked, balancer: balancer}
		r.remember(now, key, f)
	}
	switch f.state {
	case stateAbsent, stateOffered:
		return notHeld
	case stateAnswered:
		if s.Acknowledgement-f.sequence > handshakeWindow {
			// The caller has taken the answer of another host.
			return notHeld
		}
	case stateAsked, stateOpen:
	}
	f.balancer, f.acknowledged = balancer, s.Acknowledgement
	f.expires = now.Add(r.idleTime)
	if f.newData(s) && f.state != stateAsked {
		r.request(now, f)
	}
	decisions = append(decisions, Deliver{Flow: key, Data: s.Data})
	if f.state == stateOpen {
		decisions = append(decisions, r.tell(key, f)...)
	}
	f.callerDone = f.callerDone || s.Flags.Has(packet.FIN)
	r.endIfDone(now, f, s)
	return decisions
}

// newData reports whether a caller's packet has data that it has not sent before. The
// host answers a retransmission with a bare acknowledgement.
func (f *entry) newData(s *packet.Segment) bool {
	end := s.Sequence + uint32(s.Length)
	if s.Length == 0 || f.sent && int32(end-f.next) <= 0 {
		return false
	}
	f.next, f.sent = end, true
	return true
}

// tell lets the balancer know that the host holds the flow, once.
func (r *Relay) tell(key flow.Key, f *entry) (decisions []Decision) {
	if f.told == f.balancer || !f.balancer.IsValid() {
		return nil
	}
	f.told = f.balancer
	return []Decision{Accept{Flow: key, Balancer: f.balancer}}
}

// Holding says what the agent knows of whether its host holds a flow.
type Holding uint8

// What the agent knows.
const (
	// HoldingUnsure: the host has to be shown a packet of the flow.
	HoldingUnsure Holding = iota
	HoldingYes
	HoldingNo
)

// Locate answers a balancer that looks for the host of a flow.
func (r *Relay) Locate(balancer netip.Addr, key flow.Key) Holding {
	f := r.flows[key]
	switch {
	case f == nil && (r.host.complete || r.host.state == packet.HostGone):
		return HoldingNo
	case f == nil:
		return HoldingUnsure
	}
	switch f.state {
	case stateAbsent, stateOffered:
		return HoldingNo
	case stateOpen:
		f.told = balancer
		return HoldingYes
	case stateAnswered, stateAsked:
		// The caller may have taken the answer of another host.
	}
	return HoldingUnsure
}

// HandleFromHost decides on a packet that the host sent.
func (r *Relay) HandleFromHost(now time.Time, s *packet.Segment) (decisions []Decision) {
	if s.Flags.Has(packet.Bounced) {
		return r.handleBounced(now, s)
	}
	r.host.answered, r.host.unanswered = now, 0
	key := s.FromHost()
	f := r.flows[key]
	if f == nil || f.state == stateAbsent {
		f = &entry{state: stateOpen}
		r.remember(now, key, f)
	}
	f.answered = now
	decisions = []Decision{ToCaller{Flow: key, Data: s.Data}}
	if s.Flags.Has(packet.SYN | packet.ACK) {
		if f.state == stateOffered {
			f.state = stateAnswered
		}
		f.sequence = s.Sequence
		if f.balancer.IsValid() {
			f.told = f.balancer
			decisions = append(decisions, Accept{Flow: key, Balancer: f.balancer, Sequence: s.Sequence, Handshake: true})
		}
		return decisions
	}
	f.state, f.expires = stateOpen, now.Add(r.idleTime)
	if s.Length > 0 {
		r.response(now, f)
	}
	f.hostDone = f.hostDone || s.Flags.Has(packet.FIN)
	r.endIfDone(now, f, s)
	return append(decisions, r.tell(key, f)...)
}

// handleBounced decides on a packet that the host gave back.
func (r *Relay) handleBounced(now time.Time, s *packet.Segment) (decisions []Decision) {
	key := s.FromCaller()
	f := r.flows[key]
	if f == nil || !f.balancer.IsValid() {
		return []Decision{Drop{Flow: key, Reason: ReasonUnknownFlow}}
	}
	balancer := f.balancer
	if s.First() {
		r.host.answered, r.host.unanswered = now, 0
		r.forget(now, key, f)
		return []Decision{Return{Flow: key, Balancer: balancer, Reason: packet.ReturnRefused, Data: s.Data}}
	}
	if f.ended {
		return []Decision{Drop{Flow: key, Reason: ReasonUnknownFlow}}
	}
	wasOpen := f.state == stateOpen
	r.idle(now, f)
	if wasOpen {
		// The host held the flow, so no other host does.
		r.forget(now, key, f)
		return []Decision{Reset{Flow: key, Sequence: f.acknowledged, Reason: ReasonHostLostFlow}}
	}
	f.state, f.expires = stateAbsent, now.Add(absentTime)
	return []Decision{Return{Flow: key, Balancer: balancer, Reason: packet.ReturnNotHeld, Data: s.Data}}
}

// dropFlows forgets the flows of an earlier start of the host and resets the open
// ones. Flows with packets of the host from just before the heartbeat may be flows
// of the new start; if they are not, the host gives back their next packet.
func (r *Relay) dropFlows(now time.Time) (decisions []Decision) {
	for key, f := range r.flows {
		if now.Sub(f.answered) < firstHeartbeatTime {
			continue
		}
		if f.state == stateOpen && !f.ended {
			decisions = append(decisions, Reset{Flow: key, Sequence: f.acknowledged, Reason: ReasonHostRestarted})
		}
		r.forget(now, key, f)
	}
	return decisions
}

func (r *Relay) remember(now time.Time, key flow.Key, f *entry) {
	if old := r.flows[key]; old != nil {
		r.idle(now, old)
	}
	if len(r.flows) >= r.maxFlows {
		r.Expire(now)
	}
	f.expires = now.Add(r.idleTime)
	r.flows[key] = f
}

func (r *Relay) forget(now time.Time, key flow.Key, f *entry) {
	r.idle(now, f)
	delete(r.flows, key)
}

// endIfDone marks a flow as ended after a reset, or when both ends have sent a FIN.
func (r *Relay) endIfDone(now time.Time, f *entry, s *packet.Segment) {
	if !s.Flags.Has(packet.RST) && !(f.callerDone && f.hostDone) {
		return
	}
	r.idle(now, f)
	f.ended, f.expires = true, now.Add(endedTime)
}

// Tick counts first packets that the host has left unanswered. It reports
// whether the state of the host changed.
func (r *Relay) Tick(now time.Time) (changed bool) {
	before := r.State(now)
	r.opening(now)
	return r.State(now) != before
}

// opening returns the number of flows that were offered to the host lately and
// have had no request yet. It counts first packets that went unanswered.
func (r *Relay) opening(now time.Time) int {
	kept := r.offers[:0]
	for _, key := range r.offers {
		f := r.flows[key]
		switch {
		case f == nil || f.state > stateAnswered || f.requested || f.missed:
		case now.Sub(f.offered) < answerTimeout:
			kept = append(kept, key)
		case f.state == stateOffered:
			f.missed = true
			if r.host.answered.Before(f.offered) {
				r.host.unanswered++
			}
		}
	}
	r.offers = kept
	return len(kept)
}

// Expire forgets flows that are idle or have ended, and requests that were abandoned.
func (r *Relay) Expire(now time.Time) {
	for key, f := range r.flows {
		switch {
		case now.After(f.expires):
			r.forget(now, key, f)
		case f.busy && now.Sub(f.asked) > abandonedTime:
			r.idle(now, f)
		}
	}
	if r.lifetime > 0 && now.Sub(r.host.since) > r.lifetime {
		// Flows from before the agent's start are older than flows may be.
		r.host.complete = true
	}
}
