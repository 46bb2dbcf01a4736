package shard

import (
	"time"

	"agateramp/internal/core/weights"
)

const (
	// weightInterval is the time between two steps of the learner.
	weightInterval = time.Second
	// slowStartAfter is how long a service must have had an active host before hosts that
	// join it start slowly. The hosts of a new service arrive within seconds of each other,
	// and none of them should carry the load of all.
	slowStartAfter = 10 * time.Second
	// defaultWeight is the weight, in thousandths, of a host that announces none.
	defaultWeight = 1000
)

// baseWeight returns the configured weight of a host or, if none is configured, the
// announced one.
func (m *member) baseWeight() uint32 {
	if m.override.HasWeight {
		return m.override.Weight
	}
	if m.announced.GetWeight() == 0 {
		return defaultWeight
	}
	return m.announced.GetWeight()
}

// startsSlowly reports whether a host that joins the service starts at a low weight.
func (s *service) startsSlowly(now time.Time) bool {
	return !s.activeSince.IsZero() && now.Sub(s.activeSince) >= slowStartAfter
}

// stepWeights runs one step of the learner, so that every member that can be listed has a
// weight.
func (s *service) stepWeights(now time.Time) {
	var known []weights.Member
	for _, m := range s.members {
		old := s.listed[m.name]
		if m.gone || (old == nil && !m.hasStream()) {
			continue
		}
		w := weights.Member{Host: m.name, Weight: m.baseWeight(), Draining: m.isDraining()}
		switch base := old.GetBaseWeight(); {
		case old != nil && base != 0:
			// The learned ratio of weight to base weight also applies to a new base weight.
			w.PublishedWeight = uint32(uint64(old.GetWeight()) * uint64(w.Weight) / uint64(base))
		case old != nil:
			w.PublishedWeight = old.GetWeight()
		case !s.startsSlowly(now):
			w.PublishedWeight = w.Weight
		}
		// The incarnation is that of the agent. A restart of the agent does not make its
		// backend server cold, so the learner does not receive it.
		known = append(known, w)
	}
	s.learner.SetMembers(now, known)
	next, _ := s.learner.Step(now)
	for _, w := range next {
		m := s.members[w.Host]
		m.learnedWeight, m.learnedBase = w.Weight, m.baseWeight()
	}
	s.weightsStale = false
}

// effectiveWeight returns the weight of a host in the next version: the learned weight or,
// if it was not derived from the present base weight, the base weight.
func (m *member) effectiveWeight() uint32 {
	if m.learnedWeight == 0 || m.learnedBase != m.baseWeight() {
		return m.baseWeight()
	}
	return m.learnedWeight
}

// reportStoredWeights passes the weights of the stored spec to the learner.
func (s *service) reportStoredWeights(now time.Time) {
	published := make([]weights.HostWeight, 0, len(s.listed))
	for name, l := range s.listed {
		published = append(published, weights.HostWeight{Host: name, Weight: l.GetWeight()})
	}
	s.learner.RecordPublished(now, published)
}
