package dispatch

import (
	"math"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/hosthealth"
	"agateramp/internal/segment/packet"
)

const (
	// trialInterval is how often an unresponsive host is offered a flow by all balancers
	// together, to see whether it answers again. Its agent accepts no more.
	trialInterval = 300 * time.Millisecond
	// trialPatience is how long a trial waits for a flow whose requests may be repeated.
	trialPatience = time.Second
	// minUnsafeShare is the share from which a host gets flows whose requests may not be
	// repeated.
	minUnsafeShare = 0.75
	// shareSteps is the number of steps of a share that are reported.
	shareSteps = 4
	// usualInterval is how often the usual latency of a service is updated.
	usualInterval = 500 * time.Millisecond
)

// health is the judgement of the hosts of a service.
type health struct {
	bench hosthealth.Bench
	// usual is the result of usualLatency at usualAt.
	usual   time.Duration
	usualAt time.Time
	// anyUnresponsive is set if a host was unresponsive when the hosts were last judged.
	anyUnresponsive bool
}

// UsualLatency returns the usual latency at the hosts of an agent's service, or 0 if it
// is not known or hosts are not judged.
func (d *Dispatcher) UsualLatency(now time.Time, agent netip.Addr) time.Duration {
	a := d.agents[agent]
	if a == nil || !a.statusKnown || !d.judgeHosts {
		return 0
	}
	return d.services[a.serviceTag].usualLatency(now)
}

// usualLatency returns the median latency of the hosts without queueing, or 0 if none is
// known. The result may be up to usualInterval old.
func (s *service) usualLatency(now time.Time) time.Duration {
	h := &s.health
	if now.Sub(h.usualAt) < usualInterval {
		return h.usual
	}
	h.usualAt = now
	var measured []time.Duration
	for _, a := range s.agents {
		if latency := a.status.Load.Health.Latency; latency > 0 {
			measured = append(measured, latency)
		}
	}
	if len(measured) > 0 {
		slices.Sort(measured)
		h.usual = measured[len(measured)/2]
	}
	return h.usual
}

// judge updates the shares of the hosts of a service that accept flows, and whether it
// has unresponsive ones. It does nothing if that was done just before.
func (d *Dispatcher) judge(now time.Time, tag uint32) {
	s := d.services[tag]
	if s == nil || !s.health.bench.IsDue(now) {
		return
	}
	var standings []*hosthealth.Standing
	s.health.anyUnresponsive = false
	for _, a := range s.agents {
		s.health.anyUnresponsive = s.health.anyUnresponsive || a.status.State == packet.HostUnresponsive
		if d.judgeHosts && d.eligible(now, a) {
			a.standing.Report, a.standing.DataCentre = a.status.Load.Health, a.status.DataCentre
			standings = append(standings, &a.standing)
		}
	}
	s.health.bench.Judge(now, standings)
}

// mayRepeat reports whether the requests of a flow may be repeated after a failure.
func (d *Dispatcher) mayRepeat(e *flowEntry) bool {
	route := d.routes.Route(e.key.Destination())
	return route != nil && route.Repeatable
}

// getsFlow reports whether a flow is among the share that the host gets by its health.
func (a *agent) getsFlow(key flow.Key, repeatable bool) bool {
	share := a.standing.Share()
	if share == 1 {
		return true
	}
	if !repeatable && share < minUnsafeShare {
		return false
	}
	// The hash is another one than that of the ranking. The square makes up for the choice between two hosts, which prefers
	// a host that gets few flows.
	return exponentialHash(bits.RotateLeft64(key.Hash(), 32), a.addressHash) < -math.Log1p(-share*share)
}

// trial returns an unresponsive host for which a trial is due, or nil.
func (d *Dispatcher) trial(now time.Time, e *flowEntry, repeatable bool) *agent {
	s := d.services[e.serviceTag]
	if s == nil || !s.health.anyUnresponsive {
		return nil
	}
	for _, a := range s.agents {
		if a.status.State != packet.HostUnresponsive || a.status.Stopping || a.evacuated || d.silent(now, a) || e.wasTried(a) {
			continue
		}
		interval := trialInterval * time.Duration(max(d.balancerCount, 1))
		late := now.Sub(a.nextTrialAt)
		switch {
		case late > interval+trialPatience:
			// The host was not tried lately. Balancers begin at different times.
			a.nextTrialAt = now.Add(time.Duration(e.key.Hash() % uint64(interval)))
		case late >= trialPatience || late >= 0 && repeatable:
			a.nextTrialAt = now.Add(interval)
			return a
		}
	}
	return nil
}

// ShareChange is a change of the share of flows that a host gets by its health, in whole
// steps.
type ShareChange struct {
	Agent           netip.Addr
	Share, Previous float64
	Report          hosthealth.Report
}

// ShareChanges returns the changes of shares since the last call, and the number of hosts
// that get less than their whole share.
func (d *Dispatcher) ShareChanges() (changes []ShareChange, lowered int) {
	for _, a := range d.agentList {
		if a.standing.Share() < 1 {
			lowered++
		}
		share := math.Round(a.standing.Share()*shareSteps) / shareSteps
		if previous := 1 - a.reportedLoss; share != previous {
			changes = append(changes, ShareChange{Agent: a.address, Share: share, Previous: previous, Report: a.standing.Report})
			a.reportedLoss = 1 - share
		}
	}
	return changes, lowered
}
