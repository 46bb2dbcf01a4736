package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// A search asks the agents that the flow was most likely placed at before it asks all. In
// a service of 50 hosts about four of five flows are found by asking six agents. Balancers
// whose flows have moved to others, for a restart, leave them hundreds of searches.
const (
	// likelyCount is how many agents of a service are asked first in rendezvous order, and
	// likelyLocalCount how many of those in the data centre of the balancer. A flow is
	// placed at the first or second of all, or at the first in the data centre; the others
	// are for hosts that were full or whose weights have changed.
	likelyCount, likelyLocalCount = 4, 3
	// maxLikelyFlows is how many flows may be in a round of lookups for it to begin with the
	// likely agents. Those of more flows are most agents of a service, and one lookup asks
	// for many flows.
	maxLikelyFlows = 8
	// minLikelyAgents is the least number of agents of a service for which it saves
	// messages to ask the likely ones first.
	minLikelyAgents = 3 * (likelyCount + likelyLocalCount)
)

// likelyHolders returns the agents of the services of a flow's route that come first in the
// rendezvous order of the flow, answer, and have not denied it. Services with few agents
// are left out.
func (d *Dispatcher) likelyHolders(now time.Time, e *flowEntry) (likely []*agent) {
	for _, tag := range d.routeServiceTags(e) {
		if s := d.services[tag]; s != nil && len(s.agents) >= minLikelyAgents {
			likely = append(likely, d.firstInOrder(now, e, s)...)
		}
	}
	return likely
}

// firstInOrder returns the agents of one service for likelyHolders.
func (d *Dispatcher) firstInOrder(now time.Time, e *flowEntry, s *service) (first []*agent) {
	hash, median := e.key.Hash(), s.medianLatency(now)
	scores := make(map[*agent]float64, len(s.agents))
	var ranked []*agent
	for _, a := range s.agents {
		if !d.unreachable(now, a) && !slices.Contains(e.deniedBy, a) {
			scores[a] = exponentialHash(hash, a.addressHash) / a.weight(now, median)
			ranked = append(ranked, a)
		}
	}
	slices.SortFunc(ranked, func(a, b *agent) int { return cmp.Compare(scores[a], scores[b]) })
	local := 0
	for i, a := range ranked {
		isLocal := d.dataCentre != "" && a.status.DataCentre == d.dataCentre
		if i < likelyCount || isLocal && local < likelyLocalCount {
			first = append(first, a)
		}
		if isLocal {
			local++
		}
	}
	return first
}
