// Package weights derives the effective weights of the hosts of a service from
// what they announce and from how busy they are.
package weights

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Member is a host as the shard holder knows it.
type Member struct {
	Host        string
	Incarnation uint64
	// Weight is the announced weight in thousandths. A host with weight 0 gets no
	// new flows and nothing is learned about it.
	Weight uint32
	// PublishedWeight is the effective weight in the table spec of the store, or 0 when
	// the spec does not have the host. A new holder takes over from it.
	PublishedWeight uint32
	Draining        bool
}

// HostWeight is the effective weight of a host in thousandths.
type HostWeight struct {
	Host   string
	Weight uint32
}

// Learner holds what is known about the hosts of one service. It is not safe for
// concurrent use. The shard holder calls SetMembers when hosts come, go or
// change, Observe for each heartbeat, Step once a second, and Published after it
// has written a table version.
type Learner struct {
	rules rules
	hosts map[string]*host
	// order holds the hosts by name, so that the same input gives the same sums.
	order []*host
	// nextStep is when weights are learned next.
	nextStep time.Time
	// level is the mean busy share of the warm hosts.
	level average
	// budget is the number of table versions that learning may still cause, as of
	// budgetAt.
	budget   float64
	budgetAt time.Time
}

// host is the state of one host.
type host struct {
	member Member
	// learned is the weight that the host should have once warm, published the one
	// in the newest table.
	learned, published float64
	// warmAt is when its slow start ends.
	warmAt time.Time
	// share is the busy share of the last heartbeat, which came at sharedAt.
	share    float64
	sharedAt time.Time
	// batch, fast and slow average busy shares relative to the mean of the service,
	// from settledAt on, when heartbeats tell about the present weight. last is the
	// last of batches batches, noise the variance of a batch.
	batch, fast, slow, noise average
	last                     float64
	batches                  int
	settledAt                time.Time
	// run counts the saturated heartbeats up to now, usualRun is the mean length of
	// earlier runs.
	run, usualRun float64
	// cutAt is when its weight was last cut as that of an outlier.
	cutAt time.Time
}

// New returns a Learner without hosts.
func New() *Learner { return newLearner(defaultRules()) }

func newLearner(r rules) *Learner {
	return &Learner{rules: r, hosts: make(map[string]*host), budget: r.burst}
}

// SetMembers replaces the hosts of the service. It returns true when a table
// version should be published at once, because a host came, went, or started or
// ended draining.
func (l *Learner) SetMembers(now time.Time, members []Member) (publish bool) {
	seen := make(map[string]struct{}, len(members))
	for _, m := range members {
		seen[m.Host] = struct{}{}
		h := l.hosts[m.Host]
		if h == nil {
			l.hosts[m.Host] = l.newHost(now, m)
			publish = publish || m.PublishedWeight == 0
			continue
		}
		publish = h.change(now, m, l.rules) || publish
	}
	for name := range l.hosts {
		if _, ok := seen[name]; !ok {
			delete(l.hosts, name)
			publish = true
		}
	}
	l.order = l.order[:0]
	for _, h := range l.hosts {
		l.order = append(l.order, h)
	}
	slices.SortFunc(l.order, func(a, b *host) int { return strings.Compare(a.member.Host, b.member.Host) })
	return publish
}

// newHost returns the state of a host that was not known. A host that the table
// has already is warm, and its published weight is what was learned.
func (l *Learner) newHost(now time.Time, m Member) *host {
	h := &host{member: m, learned: float64(m.Weight), warmAt: now.Add(l.rules.ramp)}
	if m.PublishedWeight > 0 && m.Weight > 0 {
		h.learned, h.published, h.warmAt = float64(m.PublishedWeight), float64(m.PublishedWeight), now
	}
	h.settledAt = now.Add(l.rules.settle)
	return h
}

// change takes over what a known host announces now.
func (h *host) change(now time.Time, m Member, r rules) (publish bool) {
	old := h.member
	h.member = m
	if m.Incarnation != old.Incarnation && old.Incarnation != 0 {
		// A restarted backend server is cold, but as fast as before.
		h.warmAt = now.Add(r.ramp)
		h.settle(now, r)
	}
	if m.Weight != old.Weight {
		ratio := 1.0
		if old.Weight > 0 {
			ratio = h.learned / float64(old.Weight)
		}
		h.learned = float64(m.Weight) * ratio
		publish = true
	}
	return publish || m.Draining != old.Draining
}

func (h *host) settle(now time.Time, r rules) {
	h.batch, h.fast, h.slow, h.batches = average{}, average{}, average{}, 0
	h.settledAt = now.Add(r.settle)
}

// Observe takes a heartbeat: the busy share in thousandths since the last one.
func (l *Learner) Observe(now time.Time, name string, busyShare uint32) {
	h := l.hosts[name]
	if h == nil {
		return
	}
	share := min(1, float64(busyShare)/1000)
	h.share, h.sharedAt = share, now
	h.observeSaturation(share, l.rules)
}

// Step learns from the heartbeats and returns the effective weight of each host
// in the order of their names. When publish is set, a weight left the dead band,
// and a table version with these weights should be published. Weights within the
// dead band keep their published value, so that their buckets stay where they are.
func (l *Learner) Step(now time.Time) (weights []HostWeight, publish bool) {
	l.refill(now)
	l.sample(now)
	l.cutOutliers(now)
	if !now.Before(l.nextStep) {
		l.nextStep = now.Add(l.rules.interval)
		l.learn(now)
	}
	weights = make([]HostWeight, 0, len(l.order))
	for _, h := range l.order {
		effective := h.effective(now, l.rules)
		if h.published > 0 && math.Abs(effective/h.published-1) <= l.rules.band {
			effective = h.published
		}
		if effective != h.published && (l.budget >= 1 || h.urgent(now, l.rules)) {
			publish = true
		}
		weights = append(weights, HostWeight{Host: h.member.Host, Weight: toThousandths(effective)})
	}
	return weights, publish
}

// refill adds to the budget what the time since the last call allows.
func (l *Learner) refill(now time.Time) {
	if !l.budgetAt.IsZero() {
		l.budget = min(l.rules.burst, l.budget+float64(now.Sub(l.budgetAt))/float64(l.rules.perVersion))
	}
	l.budgetAt = now
}

// urgent reports whether the weight of a host changes for another reason than
// learning.
func (h *host) urgent(now time.Time, r rules) bool {
	return h.published == 0 || h.member.Weight == 0 || now.Before(h.warmAt.Add(r.rampStep)) || now.Sub(h.cutAt) < r.recent
}

// RecordPublished says that a table version with these weights is in the store.
func (l *Learner) RecordPublished(now time.Time, weights []HostWeight) {
	learned, urgent := false, false
	for _, w := range weights {
		h := l.hosts[w.Host]
		if h == nil || toThousandths(h.published) == w.Weight {
			continue
		}
		learned = true
		urgent = urgent || h.urgent(now, l.rules)
		h.published = float64(w.Weight)
		if !now.Before(h.warmAt) {
			h.learned = h.published
		}
		h.settle(now, l.rules)
	}
	if learned && !urgent {
		l.budget = max(0, l.budget-1)
	}
}

// effective returns the weight of a host with regard to its slow start. The ramp
// rises in few steps, so that it costs few table versions.
func (h *host) effective(now time.Time, r rules) float64 {
	if h.member.Weight == 0 {
		return 0
	}
	left := h.warmAt.Sub(now)
	if left <= 0 {
		return h.learned
	}
	steps := math.Floor(float64(r.ramp-left) / float64(r.rampStep))
	ratio := steps * float64(r.rampStep) / float64(r.ramp)
	return h.learned * (r.rampFrom + (1-r.rampFrom)*ratio)
}

func toThousandths(weight float64) uint32 {
	if weight <= 0 {
		return 0
	}
	return uint32(max(1, math.Round(weight)))
}
