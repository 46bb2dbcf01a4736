package dispatch

import (
	"slices"
	"time"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
)

// startEvidenceInterval is how often a search looks again whether the start of the
// balancer has been understood.
const startEvidenceInterval = 20 * time.Millisecond

// startState is what the balancer knows of the circumstances of its start. An agent that
// has restarted cannot deny a flow that it has not seen: an earlier run of it may have
// delivered the flow. After a loss of power of everything that holds for all agents and
// all flows from before, and no host would be left to ask.
type startState uint8

const (
	// startPending: it is not known yet whether anything ran before.
	startPending startState = iota
	// startAnew: everything has started anew. No earlier run of an agent has delivered a
	// flow to the present start of its host.
	startAnew
	// startAmongOthers: a host or another balancer ran before.
	startAmongOthers
)

// String returns the name of the state as it is logged.
func (s startState) String() string {
	names := [...]string{"pending", "anew", "among_others"}
	return names[s]
}

// unseenReply is the answer of a run of an agent that it has not seen a flow.
type unseenReply struct {
	agent *agent
	run   uint64
}

// UpdateStart decides on the circumstances of the balancer's start, and returns their name
// for logs. starting is set shortly after the start, and established if another balancer
// ran before.
func (d *Dispatcher) UpdateStart(starting, established bool) (state string) {
	d.updateStart(starting, established)
	return d.start.String()
}

func (d *Dispatcher) updateStart(starting, established bool) {
	switch {
	case d.start == startAmongOthers:
	case slices.ContainsFunc(d.agentList, (*agent).ranBefore), d.start == startPending && (established || !starting):
		d.forgetSeenAll()
	case starting && d.HostsJustStarted():
		d.start = startAnew
		for _, a := range d.agentList {
			if a.startSeen && a.seenAllRun == 0 {
				a.seenAllRun = a.status.Run
			}
		}
	}
}

// forgetSeenAll records that something ran before.
func (d *Dispatcher) forgetSeenAll() {
	d.start = startAmongOthers
	for _, a := range d.agentList {
		a.seenAllRun = 0
	}
}

// ranBefore reports whether the host of an agent had not just started when the agent
// first reported it.
func (a *agent) ranBefore() bool {
	return a.statusKnown && !a.startSeen && a.status.State != packet.HostGone && a.status.State != packet.HostUnknown
}

// lostAtStart reports whether an agent that the first list named has not come back after
// everything has started anew. Its machine has lost power with the others.
func (d *Dispatcher) lostAtStart(now time.Time, a *agent) bool {
	return d.start == startAnew && !a.statusKnown && now.Sub(d.firstListedAt) > joinDelay && a.addedAt.Sub(d.firstListedAt) < joinDelay
}

// judgeUnseen turns the answers of agents that have not seen a flow into denials, if
// those runs of the agents have seen all flows of their hosts, or else into agents that
// have to be probed. It returns false if that is not known yet.
func (d *Dispatcher) judgeUnseen(now time.Time, e *flowEntry) (known bool) {
	if len(e.unseen) > 0 && d.start == startPending {
		d.setDeadline(e, now.Add(startEvidenceInterval))
		return false
	}
	for _, u := range e.unseen {
		switch {
		case u.run != 0 && u.agent.seenAllRun == u.run:
			e.addDenial(now, u.agent)
		case !slices.Contains(e.unsureAgents, u.agent):
			e.unsureAgents = append(e.unsureAgents, u.agent)
		}
	}
	e.unseen = nil
	return true
}

// addUnseen records that an agent has not seen some flows.
func (d *Dispatcher) addUnseen(now time.Time, a *agent, run uint64, keys []flow.Key) (decisions []Decision) {
	for _, key := range keys {
		e := d.flows.byKey[key]
		if e == nil || e.phase != phaseSearching {
			continue
		}
		e.unseen = append(e.unseen, unseenReply{agent: a, run: run})
		decisions = append(decisions, d.recordReply(now, e, a)...)
	}
	return decisions
}
