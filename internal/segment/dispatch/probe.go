package dispatch

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// probePackets is how many packets a probe sends. It takes two because hosts
	// acknowledge every second packet.
	probePackets = 2
	// maxStrayPackets is how many packets of a flow may be sent to agents that are unsure
	// within strayWindow while another agent of its services has not answered. That agent is
	// restarting, and its host may be the only one to which the packets belong.
	maxStrayPackets = 2
	strayWindow     = 2 * time.Second
)

// strays counts the packets of a flow that were sent to agents as probes since a time.
type strays struct {
	count int
	since time.Time
}

// nextProbe returns the next agent to probe, or nil. Agents early in the rendezvous
// order of the flow come first, because the host that the flow was placed at is
// among them.
func (d *Dispatcher) nextProbe(now time.Time, e *flowEntry) *agent {
	e.unsureAgents = slices.DeleteFunc(e.unsureAgents, func(a *agent) bool { return e.wasTried(a) || slices.Contains(e.deniedBy, a) })
	if len(e.unsureAgents) == 0 || len(e.buffered) == 0 || d.probeAllowance(now, e) == 0 {
		return nil
	}
	isUnsure := func(a *agent) bool { return slices.Contains(e.unsureAgents, a) }
	for _, tag := range d.routeServiceTags(e) {
		if a := d.rank(now, e.key, tag, isUnsure).first; a != nil {
			return a
		}
	}
	return e.unsureAgents[0]
}

// probe sends the first buffered packets of a flow to an agent and waits for its
// answer.
func (d *Dispatcher) probe(now time.Time, e *flowEntry, a *agent) (decisions []Decision) {
	e.triedAgents, e.probing = append(e.triedAgents, a), true
	d.setDeadline(e, now.Add(searchTimeout))
	count := min(len(e.buffered), d.probeAllowance(now, e))
	e.probesSent = append(e.probesSent, count)
	e.strays.count += count
	return d.forward(e, a.address, StepSearch, e.buffered[:count]...)
}

// probeAllowance returns how many packets of a flow may be sent to the next agent.
func (d *Dispatcher) probeAllowance(now time.Time, e *flowEntry) int {
	if now.Sub(e.strays.since) > strayWindow {
		e.strays = strays{since: now}
	}
	if d.isStarting(now) || !d.awaitsAnswer(e) {
		return probePackets
	}
	return min(max(maxStrayPackets-e.strays.count, 0), 1)
}

// awaitsAnswer reports whether an agent of the services of a flow's route has neither
// denied the flow nor answered that it is unsure.
func (d *Dispatcher) awaitsAnswer(e *flowEntry) bool {
	tags := d.routeServiceTags(e)
	return slices.ContainsFunc(d.agentList, func(a *agent) bool {
		answered := slices.Contains(e.deniedBy, a) || slices.Contains(e.unsureAgents, a) || e.wasTried(a)
		return a.statusKnown && slices.Contains(tags, a.serviceTag) && !answered
	})
}

// probesSentTo returns how many of the buffered packets an agent was probed with.
func (e *flowEntry) probesSentTo(agent netip.Addr) int {
	for i, a := range e.triedAgents {
		if a.address == agent && i < len(e.probesSent) {
			return e.probesSent[i]
		}
	}
	return 0
}
