package dispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"agateramp/internal/segment/hosthealth"
	"agateramp/internal/segment/packet"
)

const (
	// minStatusInterval is the shortest interval at which each agent is asked for its
	// status. The interval grows with the number of agents, so that there are at most
	// maxStatusPerSecond requests a second.
	minStatusInterval  = 200 * time.Millisecond
	maxStatusPerSecond = 100
	// silentIntervals is how many status intervals may pass without a message from an
	// agent before its host gets no new flows: the agent may leave three requests
	// unanswered.
	silentIntervals = 3.5
	// unlistedRetention is how long an agent that the store does not list is kept
	// after its last message. Entries that lapsed while the store was unavailable are
	// back within about 2 s of its return.
	unlistedRetention = 4 * time.Second
	// joinDelay is how long an agent has to be known before its host gets flows, unless
	// no other host can accept them. Other balancers then know the agent too: a flow
	// that they cannot find would be reset. The delay covers a slow response of the
	// store and the pause between two reads of its changes.
	joinDelay = time.Second
	// firstStatusWindow is how long an agent without a status is asked for it at
	// shorter intervals after it was added.
	firstStatusWindow = 2 * time.Second
	// startingTime is how long after its first list of agents a balancer counts as starting.
	// Agents that the store does not list report to it within this time.
	startingTime = 1200 * time.Millisecond
	// maxUnansweredOffers is how many consecutive offers an agent may leave unanswered
	// before it gets no more until its next message.
	maxUnansweredOffers = 2
)

// Status is what an agent reports of itself and its host.
type Status struct {
	// Node is the name of the machine, and Service the service that its host serves.
	Node, Service, DataCentre string
	State                     packet.HostState
	Load                      packet.Load
	// ColdRemaining is for how much longer the host is slower than usual after its
	// start.
	ColdRemaining time.Duration
	// Stopping is set while the agent is about to restart.
	Stopping bool
	// Run names the run of the agent; 0 means that it is not known.
	Run uint64
}

// agent is what the dispatcher knows of an agent and its host.
type agent struct {
	address netip.Addr
	// addressHash is the hash of the address from which the rendezvous order is
	// derived.
	addressHash uint64
	status      Status
	// serviceTag is the tag of status.Service.
	serviceTag uint32
	// listed is set while the store has an entry of the agent.
	listed bool
	// statusKnown is set once the agent has sent a status.
	statusKnown bool
	// lastMessageAt is when the last message of the agent arrived; zero means none.
	lastMessageAt time.Time
	// addedAt is when the agent became known to this balancer.
	addedAt time.Time
	// coldUntil is when the host reaches its usual speed after its start. startSeen is set
	// if a status has shown the host before that.
	coldUntil time.Time
	startSeen bool
	// seenAllRun is the run of the agent that has seen all flows of its host, because
	// everything has started anew; 0 means none.
	seenAllRun uint64
	// offersSinceReport counts the offers since the last load report, and
	// unansweredOffers the consecutive offers without an answer.
	offersSinceReport, unansweredOffers int
	// standing is the health of the host, and reportedLoss the part of its share that the
	// last result of ShareChanges has taken. An unresponsive host is offered a flow at
	// nextTrialAt.
	standing     hosthealth.Standing
	reportedLoss float64
	nextTrialAt  time.Time
	// evacuated is set while status.DataCentre is evacuated.
	evacuated bool
	// Until fullUntil the host is assumed to have no room for any flow, and until
	// fullForLateUntil to have no free slot for a late flow.
	fullUntil, fullForLateUntil time.Time
	// busyReturns counts how often in a row the host has returned a first packet as busy,
	// and busyUntil is until when it was last left without offers for that.
	busyReturns int
	busyUntil   time.Time
}

// eligible reports whether the host may be offered new flows.
func (d *Dispatcher) eligible(now time.Time, a *agent) bool {
	return a.statusKnown && a.status.State == packet.HostReady && !a.status.Stopping && !a.evacuated &&
		!d.unreachable(now, a) && a.unansweredOffers < maxUnansweredOffers
}

// joining reports whether other balancers may not know the agent yet. Agents that a
// balancer finds at its start are known to the others.
func (d *Dispatcher) joining(now time.Time, a *agent) bool {
	return now.Sub(a.addedAt) < joinDelay && a.addedAt.Sub(d.firstListedAt) > joinDelay
}

// silent reports whether the last message of the agent is older than silentIntervals
// status intervals.
func (d *Dispatcher) silent(now time.Time, a *agent) bool {
	return float64(now.Sub(a.lastMessageAt)) > silentIntervals*float64(d.StatusInterval())
}

// unreachable reports whether the agent is silent or its data centre is cut off.
func (d *Dispatcher) unreachable(now time.Time, a *agent) bool {
	return d.silent(now, a) || d.paths.IsCutOff(a.status.DataCentre)
}

// isStarting reports whether the balancer was started and has no list of agents, or has
// read the first one just before: agents may not have reported to it yet.
func (d *Dispatcher) isStarting(now time.Time) bool {
	return !d.startedAt.IsZero() && (d.firstListedAt.IsZero() || now.Sub(d.firstListedAt) < startingTime)
}

// StatusInterval returns the interval at which each agent is to be asked for its
// status.
func (d *Dispatcher) StatusInterval() time.Duration {
	return max(minStatusInterval, time.Duration(len(d.agentList))*time.Second/maxStatusPerSecond)
}

// SetListedAgents sets which agents the store lists, and adds those that are
// unknown. Agents that are no longer listed are kept as long as they send messages.
func (d *Dispatcher) SetListedAgents(now time.Time, addresses []netip.Addr) {
	if d.firstListedAt.IsZero() {
		d.firstListedAt = now
	}
	for _, a := range d.agents {
		a.listed = false
	}
	for _, address := range addresses {
		d.ensureAgent(now, address).listed = true
	}
	d.prune(now)
	d.resumeSearches()
}

// SetAgentListComplete sets whether the listed agents are all that can be reached:
// the store answers, and has done so for as long as lapsed entries take to come
// back. Only then is a flow reset because every agent has denied it.
func (d *Dispatcher) SetAgentListComplete(complete bool) {
	if complete && !d.agentListComplete {
		d.resumeSearches()
	}
	d.agentListComplete = complete
}

// AddAgents adds agents that another balancer knows. Known agents stay as they are.
func (d *Dispatcher) AddAgents(now time.Time, addresses []netip.Addr) {
	for _, address := range addresses {
		d.ensureAgent(now, address)
	}
}

// ensureAgent returns the agent with an address and adds it if it is unknown.
func (d *Dispatcher) ensureAgent(now time.Time, address netip.Addr) *agent {
	a := d.agents[address]
	if a == nil {
		octets := address.As16()
		a = &agent{address: address, addressHash: xxhash.Sum64(octets[:]), addedAt: now}
		d.agents[address] = a
		d.agentList = append(d.agentList, a)
		i, _ := slices.BinarySearchFunc(d.pollOrder, a, compareHash)
		d.pollOrder = slices.Insert(d.pollOrder, i, a)
	}
	return a
}

// compareHash orders agents by the hashes of their addresses.
func compareHash(a, b *agent) int { return cmp.Compare(a.addressHash, b.addressHash) }

// prune removes the agents that the store does not list and that have sent no
// message for a while.
func (d *Dispatcher) prune(now time.Time) {
	d.agentList = slices.DeleteFunc(d.agentList, func(a *agent) bool {
		last := a.lastMessageAt
		if a.addedAt.After(last) {
			last = a.addedAt
		}
		if a.listed || now.Sub(last) <= max(unlistedRetention, 2*d.StatusInterval()) {
			return false
		}
		d.removeFromService(a)
		delete(d.agents, a.address)
		return true
	})
	d.pollOrder = slices.DeleteFunc(d.pollOrder, func(a *agent) bool { return d.agents[a.address] != a })
}

// HandleStatus records the status of an agent and adds the agent if it is unknown.
// changed is true for the first status of the agent and if the state of the host, its
// service or Stopping has changed: these decide which flows the host gets.
func (d *Dispatcher) HandleStatus(now time.Time, address netip.Addr, s Status) (changed bool) {
	a := d.ensureAgent(now, address)
	changed = !a.statusKnown || a.status.State != s.State || a.status.Service != s.Service || a.status.Stopping != s.Stopping
	if !a.statusKnown || a.status.Service != s.Service {
		d.removeFromService(a)
		a.serviceTag = packet.ServiceTag(s.Service)
		if d.services[a.serviceTag] == nil {
			d.services[a.serviceTag] = &service{}
		}
		d.services[a.serviceTag].agents = append(d.services[a.serviceTag].agents, a)
	}
	a.statusKnown, a.lastMessageAt, a.status = true, now, s
	a.coldUntil, a.evacuated = now.Add(s.ColdRemaining), slices.Contains(d.evacuated, s.DataCentre)
	a.startSeen = a.startSeen || s.ColdRemaining > 0
	if d.start == startAnew && a.ranBefore() {
		d.forgetSeenAll()
	}
	a.offersSinceReport, a.unansweredOffers = 0, 0
	d.paths.RecordMessage(now, s.DataCentre)
	return changed
}

// removeFromService removes an agent from the agents of its service.
func (d *Dispatcher) removeFromService(a *agent) {
	if !a.statusKnown {
		return
	}
	s := d.services[a.serviceTag]
	s.agents = slices.DeleteFunc(s.agents, func(other *agent) bool { return other == a })
	if len(s.agents) == 0 {
		delete(d.services, a.serviceTag)
	}
}

// serviceAgents returns the agents of a service whose status is known.
func (d *Dispatcher) serviceAgents(tag uint32) []*agent {
	s := d.services[tag]
	if s == nil {
		return nil
	}
	return s.agents
}

// RecordRequest records that an agent was asked for its status.
func (d *Dispatcher) RecordRequest(now time.Time, address netip.Addr) {
	if a := d.agents[address]; a != nil {
		d.paths.RecordRequest(now, a.status.DataCentre)
	}
}

// recordMessage records that an agent has sent a message, and the load in the message
// unless its number of slots is 0. It returns the agent, or nil if the agent is unknown.
func (d *Dispatcher) recordMessage(now time.Time, address netip.Addr, l packet.Load) *agent {
	a := d.agents[address]
	if a == nil {
		return nil
	}
	a.lastMessageAt, a.unansweredOffers = now, 0
	d.paths.RecordMessage(now, a.status.DataCentre)
	if l.Slots > 0 {
		a.status.Load, a.offersSinceReport = l, 0
	}
	return a
}

// Agents returns the addresses of the known agents in the order of their hashes, so that
// each part of them is spread over the data centres.
func (d *Dispatcher) Agents() (addresses []netip.Addr) {
	for _, a := range d.pollOrder {
		addresses = append(addresses, a.address)
	}
	return addresses
}

// mayLackHosts reports whether hosts may accept flows that this balancer cannot offer them
// to yet: it has just read the store's first list, to which agents that start at the same
// time are still added, or an agent that was added lately has not sent a status.
func (d *Dispatcher) mayLackHosts(now time.Time) bool {
	if now.Sub(d.firstListedAt) < joinDelay {
		return true
	}
	return slices.ContainsFunc(d.agentList, func(a *agent) bool { return !a.statusKnown && now.Sub(a.addedAt) < firstStatusWindow })
}

// AgentsWithoutStatus returns the addresses of at most limit agents that were added
// lately and have not sent a status yet: they are starting, or a message was lost.
func (d *Dispatcher) AgentsWithoutStatus(now time.Time, limit int) (addresses []netip.Addr) {
	for _, a := range d.agentList {
		if len(addresses) < limit && !a.statusKnown && now.Sub(a.addedAt) < firstStatusWindow {
			addresses = append(addresses, a.address)
		}
	}
	return addresses
}

// AnsweringAgents returns the addresses of the agents that answer status requests,
// whether the store lists them or not.
func (d *Dispatcher) AnsweringAgents(now time.Time) (addresses []netip.Addr) {
	for _, a := range d.agentList {
		if a.statusKnown && !d.silent(now, a) {
			addresses = append(addresses, a.address)
		}
	}
	return addresses
}

// HostsJustStarted reports whether all hosts have just started: no known agent has reported
// a host that ran before, and of the agents whose host is not gone at least half first
// reported a host that had just started. The others have not seen their host yet. Right
// after the start of a balancer, no host holds a flow from before then.
func (d *Dispatcher) HostsJustStarted() bool {
	started, notSeen := 0, 0
	for _, a := range d.agentList {
		switch {
		case !a.statusKnown || a.status.State == packet.HostUnknown:
			notSeen++
		case a.startSeen:
			started++
		case a.status.State != packet.HostGone:
			return false
		}
	}
	return started > 0 && started >= notSeen
}

// IsListed reports whether the store lists an agent.
func (d *Dispatcher) IsListed(address netip.Addr) bool {
	a := d.agents[address]
	return a != nil && a.listed
}

// AnsweringCount returns the number of agents that answer status requests.
func (d *Dispatcher) AnsweringCount(now time.Time) (count int) {
	for _, a := range d.agentList {
		if a.statusKnown && !d.silent(now, a) {
			count++
		}
	}
	return count
}
