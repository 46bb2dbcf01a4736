package hosthealth

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// judgeInterval is the least time between two judgements of a service.
	judgeInterval = 100 * time.Millisecond
	// minFailures is the least number of failures that lowers the share of a host.
	minFailures = 3
	// minReference is the least number of requests of a host whose share of failures counts for the median of the service.
	minReference = 8
	// A host keeps its whole share up to a share of failures that is above the median of its service by toleratedExcess,
	// and gets none from fullExcess on. The share of failures is the lower end of its confidence interval, which is
	// confidence standard deviations wide to each side.
	toleratedExcess = 0.05
	fullExcess      = 0.2
	confidence      = 1.64
	// maxRemoved is the largest part of the hosts of a service, and maxRemovedLocal of those in one data centre, that may be
	// taken out, but always one host.
	maxRemoved      = 1.0 / 3
	maxRemovedLocal = 0.5
	// A host comes back with firstShare of its flows, and its share doubles every doublingTime.
	firstShare   = 1.0 / 16
	doublingTime = 500 * time.Millisecond
)

// Standing is what a balancer makes of the health of a host. The zero value gets the whole share.
type Standing struct {
	// Report is the last report of the host, and DataCentre its data centre.
	Report     Report
	DataCentre string
	// removed is the part of its flows that the host does not get, and removedBefore that of the judgement before.
	removed, removedBefore float64
}

// Share returns the part of its usual new flows that the host should get, from 0 to 1.
func (s *Standing) Share() float64 { return 1 - s.removed }

// Bench is the state of the judgement of one service. The zero value is ready to use.
type Bench struct{ judgedAt time.Time }

// IsDue reports whether the hosts are to be judged again.
func (b *Bench) IsDue(now time.Time) bool { return now.Sub(b.judgedAt) >= judgeInterval }

// Judge sets the shares of the hosts of a service by their reports.
func (b *Bench) Judge(now time.Time, hosts []*Standing) {
	elapsed := now.Sub(b.judgedAt)
	b.judgedAt = now
	reference := medianFailures(hosts)
	for _, s := range hosts {
		s.update(min(elapsed, doublingTime), targetShare(s.Report, reference))
	}
	limitRemoved(hosts)
}

// medianFailures returns the median of the shares of failures of the hosts, the lower one of two.
func medianFailures(hosts []*Standing) float64 {
	var shares []float64
	for _, s := range hosts {
		if s.Report.Requests >= minReference {
			shares = append(shares, float64(s.Report.Failures)/float64(s.Report.Requests))
		}
	}
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}

// targetShare returns the share of its flows that a host should get by its report alone.
func targetShare(r Report, reference float64) float64 {
	if r.Failures < minFailures {
		return 1
	}
	excess := lowerBound(r) - reference
	return 1 - min(max((excess-toleratedExcess)/(fullExcess-toleratedExcess), 0), 1)
}

// lowerBound returns the lower end of Wilson's confidence interval of the share of failures.
func lowerBound(r Report) float64 {
	n := float64(r.Requests)
	p, z := float64(r.Failures)/n, confidence*confidence/n
	return (p + z/2 - math.Sqrt(z*(p*(1-p)+z/4))) / (1 + z)
}

// update moves the share of a host towards its target: down at once, up by degrees.
func (s *Standing) update(elapsed time.Duration, target float64) {
	grown := max(s.Share(), firstShare) * math.Exp2(float64(elapsed)/float64(doublingTime))
	s.removed, s.removedBefore = 1-min(target, grown), s.removed
}

// limitRemoved gives hosts a part of their flows back where too much of the service or of a data centre is taken out. Those
// that are worst stay out.
func limitRemoved(hosts []*Standing) {
	worst := slices.DeleteFunc(slices.Clone(hosts), func(s *Standing) bool { return s.removed == 0 })
	if len(worst) == 0 {
		return
	}
	slices.SortStableFunc(worst, func(a, b *Standing) int { return cmp.Compare(b.rank(), a.rank()) })
	total := allowance(len(hosts), maxRemoved)
	local := make(map[string]float64)
	for _, s := range hosts {
		local[s.DataCentre]++
	}
	for dataCentre, count := range local {
		local[dataCentre] = allowance(int(count), maxRemovedLocal)
	}
	if len(hosts) == 1 {
		total = 0
	}
	for _, s := range worst {
		s.removed = min(s.removed, total, local[s.DataCentre])
		total -= s.removed
		local[s.DataCentre] -= s.removed
	}
}

// rank orders hosts of which not all may be taken out. Of two that are about as bad, the one that is out stays out.
func (s *Standing) rank() float64 { return s.removed + s.removedBefore/2 }

// allowance returns how many of a number of hosts may be taken out.
func allowance(hosts int, part float64) float64 { return max(math.Floor(float64(hosts)*part), 1) }
