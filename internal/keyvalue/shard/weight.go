package shard

import (
	"time"

	"agateramp/internal/core/weights"
)

const (
	// weightInterval lies between two steps of the learner.
	weightInterval = time.Second
	// warmAfter is how long a service must have had an active host before one that
	// joins starts slowly. The hosts of a new service arrive within seconds of each
	// other, and none of them should carry the load of all.
	warmAfter = 10 * time.Second
	// defaultWeight stands for a host that announces none, in thousandths.
	defaultWeight = 1000
)

// baseWeight returns the configured weight of a host, or the announced one.
func (m *member) baseWeight() uint32 {
	if m.override.HasWeight {
		return m.override.Weight
	}
	if m.announced.GetWeight() == 0 {
		return defaultWeight
	}
	return m.announced.GetWeight()
}

// warm reports whether a host that joins starts slowly.
func (s *service) warm(now time.Time) bool {
	return !s.activeSince.IsZero() && now.Sub(s.activeSince) >= warmAfter
}

// weigh steps the learner, so that each member that can be listed has a weight.
func (s *service) weigh(now time.Time) {
	var known []weights.Member
	for _, m := range s.members {
		old := s.listed[m.name]
		if m.gone || (old == nil && !m.up()) {
			continue
		}
		w := weights.Member{Host: m.name, Weight: m.baseWeight(), Draining: m.drains()}
		switch base := old.GetBaseWeight(); {
		case old != nil && base != 0:
			// What was learned about an earlier base weight holds for the new one in
			// proportion.
			w.PublishedWeight = uint32(uint64(old.GetWeight()) * uint64(w.Weight) / uint64(base))
		case old != nil:
			w.PublishedWeight = old.GetWeight()
		case !s.warm(now):
			w.PublishedWeight = w.Weight
		}
		// The incarnation is that of the agent. A restarted agent does not make its
		// backend server cold, so the learner is not told of it.
		known = append(known, w)
	}
	s.learner.SetMembers(now, known)
	next, _ := s.learner.Step(now)
	for _, w := range next {
		m := s.members[w.Host]
		m.weight, m.weighed = w.Weight, m.baseWeight()
	}
	s.stale = false
}

// effective returns the weight of a host for the next version.
func (m *member) effective() uint32 {
	if m.weight == 0 || m.weighed != m.baseWeight() {
		return m.baseWeight()
	}
	return m.weight
}

// tellLearner says which weights the store holds now.
func (s *service) tellLearner(now time.Time) {
	published := make([]weights.HostWeight, 0, len(s.listed))
	for name, l := range s.listed {
		published = append(published, weights.HostWeight{Host: name, Weight: l.GetWeight()})
	}
	s.learner.RecordPublished(now, published)
}
