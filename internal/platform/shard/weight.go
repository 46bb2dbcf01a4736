package shard

import (
	"time"

	"agateramp/internal/control/controlpb"
)

const (
	// weightInterval lies between two derivations of effective weights.
	weightInterval = 5 * time.Second
	// rampTime is how long a host that joins takes to its full weight, from
	// rampStart thousandths on.
	rampTime  = 30 * time.Second
	rampStart = 100
	// deadBand is the least change of a weight that is published, in thousandths.
	deadBand = 50
	// defaultWeight stands for a host that announces none.
	defaultWeight = 1000
)

// weight is the effective weight of a host, in thousandths.
type weight struct {
	// base is what effective was derived from; 0 when the host is not listed yet.
	base, effective uint32
	// learned is the factor by which the weight was corrected; 0 stands for 1,000.
	learned uint32
	// cold is set while the host has yet to reach its full weight, and since is
	// when the ramp began.
	cold  bool
	since time.Time
}

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

// observe takes a heartbeat.
func (w *weight) observe(*controlpb.Heartbeat) {}

// next returns the weight of a host for the next version. A new base is a new
// claim about the host: what was learned about the old one is dropped.
func (w *weight) next(m *member, old *controlpb.Member, s *service) uint32 {
	base := m.baseWeight()
	switch {
	case old == nil && s.warm():
		return max(base*rampStart/1000, min(base, 1))
	case old == nil || base != w.base:
		return base
	}
	return w.effective
}

// warm reports whether the service has hosts that take flows, so that a new one
// can start slowly.
func (s *service) warm() bool {
	for _, m := range s.listed() {
		if !m.GetDraining() && m.GetWeight() > 0 {
			return true
		}
	}
	return false
}

// adopted takes over the listed weight of a host.
func (w *weight) adopted(m *member, listed *controlpb.Member, now time.Time) {
	if listed == nil {
		*w = weight{}
		return
	}
	base := listed.GetBaseWeight()
	if base == 0 {
		base = listed.GetWeight()
	}
	if w.base == 0 {
		// First listed, or listed by the holder before this one.
		w.cold = m.up() && listed.GetWeight()*4 < base
		w.since = now
		if !w.cold && base > 0 {
			w.learned = uint32(uint64(listed.GetWeight()) * 1000 / uint64(base))
		}
	} else if base != w.base {
		w.learned, w.cold = 0, false
	}
	w.base, w.effective = base, listed.GetWeight()
}

// weigh derives the weights of the members that are due for publication.
func (s *service) weigh(now time.Time) {
	for _, m := range s.members {
		w := &m.weight
		if w.base == 0 {
			continue
		}
		factor := uint64(1000)
		if w.learned != 0 {
			factor = uint64(w.learned)
		}
		if w.cold {
			passed := now.Sub(w.since)
			if passed >= rampTime {
				w.cold = false
			} else {
				factor = factor * uint64(rampStart+(1000-rampStart)*passed/rampTime) / 1000
			}
		}
		next := uint32(max(1, uint64(w.base)*factor/1000))
		if outside(next, w.effective) {
			w.effective = next
		}
	}
}

// outside reports whether next lies outside of the dead band around current.
func outside(next, current uint32) bool {
	distance := uint64(max(next, current) - min(next, current))
	return distance*1000 > uint64(current)*deadBand
}
