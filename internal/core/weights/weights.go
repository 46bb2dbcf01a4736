// Package weights derives the effective weights of the hosts of a service from the
// weights that they announce and from how busy they are.
//
// A Learner receives the members of the service and the busy share in their
// heartbeats: the mean share of the slots of a host that were in use since the last
// heartbeat. It lowers the weight of hosts that are busier than the mean and raises
// that of the others until all are equally busy, raises the weight of a new or
// restarted host in steps (slow start), and halves the weight of outliers, hosts that
// stay saturated while the others are not. Since each changed weight moves buckets of
// the table (package table), a weight is published only when it leaves a dead band
// around the published one, and learning has a budget of table versions. Publishing
// the weights is left to the shard holder, the balancer that publishes the table
// versions of the service.
package weights

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Member is a host of the service, with the data that the Learner uses.
type Member struct {
	Host string
	// Incarnation changes when the backend server restarts, unlike the incarnation in a
	// table spec, which is that of the agent. If 0, restarts are not detected.
	Incarnation uint64
	// Weight is the announced weight in thousandths. A host with weight 0 gets no new
	// flows, and its weight is not learned.
	Weight uint32
	// PublishedWeight is the effective weight, in thousandths, in the newest table spec in
	// the store, or 0 if the spec does not have the host. A new shard holder continues
	// from it.
	PublishedWeight uint32
	Draining        bool
}

// HostWeight is the effective weight of a host in thousandths.
type HostWeight struct {
	Host   string
	Weight uint32
}

// Learner learns the effective weights of the hosts of one service. It is not safe for
// concurrent use. The shard holder calls SetMembers when hosts join, leave or change,
// Observe for each heartbeat, Step once a second, and RecordPublished after it has
// written a table version.
type Learner struct {
	params params
	// hosts holds the hosts by name.
	hosts map[string]*host
	// sortedHosts holds the hosts in the order of their names, so that the same input
	// gives the same floating-point sums.
	sortedHosts []*host
	// nextStep is when learnWeights runs next.
	nextStep time.Time
	// smoothedShare is the moving average of the mean busy share of the learnable hosts.
	smoothedShare average
	// versionBudget is the number of table versions that learning may still cause, as of
	// refilledAt.
	versionBudget float64
	refilledAt    time.Time
}

// host is the state of one host.
type host struct {
	member Member
	// learnedWeight is the weight that the host should have after its slow start, and
	// publishedWeight the one in the newest table version, or 0 if it has none.
	learnedWeight, publishedWeight float64
	// warmAt is when the slow start of the host ends.
	warmAt time.Time
	// busyShare is the busy share in the last heartbeat, from 0 to 1, and busyShareAt the
	// time of the heartbeat.
	busyShare   float64
	busyShareAt time.Time
	// A batch is the heartbeats between two calls of learnWeights. batch averages the busy
	// shares of the current one, relative to the mean of the service. fastAverage and
	// slowAverage average the means of the batches over the fast and the slow window.
	// batchVariance estimates the variance of the mean of a batch. Heartbeats count from
	// settledAt on, when they show the effect of the published weight.
	batch, fastAverage, slowAverage, batchVariance average
	// lastBatch is the mean of the last batch, and batchCount the number of batches.
	lastBatch  float64
	batchCount int
	settledAt  time.Time
	// saturatedRun is the number of saturated heartbeats without a break up to the last
	// one, and usualSaturatedRun the moving average of the lengths of earlier runs.
	saturatedRun, usualSaturatedRun float64
	// cutAt is when cutOutliers last cut the weight.
	cutAt time.Time
}

// New returns a Learner without hosts.
func New() *Learner { return newLearner(defaultParams()) }

// newLearner returns a Learner with the given parameters.
func newLearner(p params) *Learner {
	return &Learner{params: p, hosts: make(map[string]*host), versionBudget: p.maxBudget}
}

// SetMembers replaces the hosts of the service. It returns true when a table version
// should be published at once: a host that is not in the published table joined, a host
// left, started or ended draining, or announces another weight.
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
		publish = h.update(now, m, l.params) || publish
	}
	for name := range l.hosts {
		if _, ok := seen[name]; !ok {
			delete(l.hosts, name)
			publish = true
		}
	}
	l.sortedHosts = l.sortedHosts[:0]
	for _, h := range l.hosts {
		l.sortedHosts = append(l.sortedHosts, h)
	}
	slices.SortFunc(l.sortedHosts, func(a, b *host) int { return strings.Compare(a.member.Host, b.member.Host) })
	return publish
}

// newHost returns the state of a host that joins. A host that is already in the
// published table has no slow start, and its published weight is the learned one.
func (l *Learner) newHost(now time.Time, m Member) *host {
	h := &host{member: m, learnedWeight: float64(m.Weight), warmAt: now.Add(l.params.slowStart)}
	if m.PublishedWeight > 0 && m.Weight > 0 {
		h.learnedWeight, h.publishedWeight, h.warmAt = float64(m.PublishedWeight), float64(m.PublishedWeight), now
	}
	h.settledAt = now.Add(l.params.settleTime)
	return h
}

// update applies what a host that is already a member announces. It returns true when a
// table version should be published.
func (h *host) update(now time.Time, m Member, p params) (publish bool) {
	old := h.member
	h.member = m
	if m.Incarnation != old.Incarnation && old.Incarnation != 0 {
		// A restarted backend server has a slow start again, but its learned weight holds.
		h.warmAt = now.Add(p.slowStart)
		h.restartAverages(now, p)
	}
	if m.Weight != old.Weight {
		ratio := 1.0
		if old.Weight > 0 {
			ratio = h.learnedWeight / float64(old.Weight)
		}
		h.learnedWeight = float64(m.Weight) * ratio
		publish = true
	}
	return publish || m.Draining != old.Draining
}

// restartAverages discards the averages, which belong to an earlier weight or to the time
// before a restart. Heartbeats count again after the settle time.
func (h *host) restartAverages(now time.Time, p params) {
	h.batch, h.fastAverage, h.slowAverage, h.batchCount = average{}, average{}, average{}, 0
	h.settledAt = now.Add(p.settleTime)
}

// Observe records a heartbeat of a host: its busy share since the last heartbeat, in
// thousandths. Values above 1000 count as 1000. Heartbeats of unknown hosts are ignored.
func (l *Learner) Observe(now time.Time, name string, busyShare uint32) {
	h := l.hosts[name]
	if h == nil {
		return
	}
	share := min(1, float64(busyShare)/1000)
	h.busyShare, h.busyShareAt = share, now
	h.countSaturated(share, l.params)
}

// Step learns from the heartbeats and returns the effective weight of each host, in the
// order of their names. If publish is true, a table version with these weights should be
// published: at least one weight left the dead band, and the budget allows its change.
// Weights within the dead band keep their published value, so that their buckets do not
// move.
func (l *Learner) Step(now time.Time) (weights []HostWeight, publish bool) {
	l.refillBudget(now)
	l.sampleBusyShares(now)
	l.cutOutliers(now)
	if !now.Before(l.nextStep) {
		l.nextStep = now.Add(l.params.interval)
		l.learnWeights(now)
	}
	weights = make([]HostWeight, 0, len(l.sortedHosts))
	for _, h := range l.sortedHosts {
		effective := h.effectiveWeight(now, l.params)
		if h.publishedWeight > 0 && math.Abs(effective/h.publishedWeight-1) <= l.params.deadBand {
			effective = h.publishedWeight
		}
		if effective != h.publishedWeight && (l.versionBudget >= 1 || h.bypassesBudget(now, l.params)) {
			publish = true
		}
		weights = append(weights, HostWeight{Host: h.member.Host, Weight: roundWeight(effective)})
	}
	return weights, publish
}

// refillBudget adds one table version to the budget for each budgetInterval since the
// last call, up to maxBudget.
func (l *Learner) refillBudget(now time.Time) {
	if !l.refilledAt.IsZero() {
		l.versionBudget = min(l.params.maxBudget, l.versionBudget+float64(now.Sub(l.refilledAt))/float64(l.params.budgetInterval))
	}
	l.refilledAt = now
}

// bypassesBudget reports whether the weight of a host can change for another reason than
// learning, so that the change is published without regard to the budget: the host is
// new, has an announced weight of 0, is in its slow start or was cut as an outlier.
func (h *host) bypassesBudget(now time.Time, p params) bool {
	return h.publishedWeight == 0 || h.member.Weight == 0 || now.Before(h.warmAt.Add(p.slowStartStep)) || now.Sub(h.cutAt) < p.cutHold
}

// RecordPublished records that a table version with these weights is in the store. If
// weights changed by learning only, the version counts against the budget.
func (l *Learner) RecordPublished(now time.Time, weights []HostWeight) {
	changed, bypasses := false, false
	for _, w := range weights {
		h := l.hosts[w.Host]
		if h == nil || roundWeight(h.publishedWeight) == w.Weight {
			continue
		}
		changed = true
		bypasses = bypasses || h.bypassesBudget(now, l.params)
		h.publishedWeight = float64(w.Weight)
		if !now.Before(h.warmAt) {
			h.learnedWeight = h.publishedWeight
		}
		h.restartAverages(now, l.params)
	}
	if changed && !bypasses {
		l.versionBudget = max(0, l.versionBudget-1)
	}
}

// effectiveWeight returns the learned weight of a host, reduced during its slow start.
// The slow start has few steps, so that it causes few table versions.
func (h *host) effectiveWeight(now time.Time, p params) float64 {
	if h.member.Weight == 0 {
		return 0
	}
	remaining := h.warmAt.Sub(now)
	if remaining <= 0 {
		return h.learnedWeight
	}
	steps := math.Floor(float64(p.slowStart-remaining) / float64(p.slowStartStep))
	ratio := steps * float64(p.slowStartStep) / float64(p.slowStart)
	return h.learnedWeight * (p.slowStartShare + (1-p.slowStartShare)*ratio)
}

// roundWeight rounds a weight in thousandths to an integer. A positive weight is at least
// 1 after rounding, since 0 would end the new flows of the host.
func roundWeight(weight float64) uint32 {
	if weight <= 0 {
		return 0
	}
	return uint32(max(1, math.Round(weight)))
}
