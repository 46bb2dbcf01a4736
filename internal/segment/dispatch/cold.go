package dispatch

import (
	"net/netip"
	"time"

	"agateramp/internal/segment/coldstart"
)

// SetBalancerCount sets how many balancers share the hosts.
func (d *Dispatcher) SetBalancerCount(count int) { d.balancerCount = count }

// Service returns the service of an agent. known is false before its first status.
func (d *Dispatcher) Service(agent netip.Addr) (service string, known bool) {
	a := d.agents[agent]
	if a == nil || !a.statusKnown {
		return "", false
	}
	return a.status.Service, true
}

// coldRoom returns how many new flows a cold host is expected to take. What the agent
// has reported counts for one window; all flows from before the report have left the
// window then.
func (a *agent) coldRoom(now time.Time, full int) int {
	if now.Sub(a.lastMessageAt) >= coldstart.Window {
		return full
	}
	return max(a.status.Load.ColdRoom-a.offersSinceReport, 0)
}

// hasColdRoom reports whether a host is not cold or is expected to take another flow.
func (a *agent) hasColdRoom(now time.Time) bool {
	return !a.status.Load.Cold || a.coldRoom(now, 1) > 0
}

// coldCapacity returns what the hosts of a service take while they are cold. allCold is
// false if the service has a host that accepts flows without such a limit, or none that
// accepts flows.
func (d *Dispatcher) coldCapacity(now time.Time, tag uint32) (c coldstart.Capacity, allCold bool) {
	c.Balancers = d.balancerCount
	for _, a := range d.serviceAgents(tag) {
		if !d.eligible(now, a) {
			continue
		}
		rate := d.routes.ColdRate(a.status.Service)
		if d.coldBounds == nil || !a.status.Load.Cold || rate == 0 {
			return c, false
		}
		c.Add(*d.coldBounds, a.coldRoom(now, d.coldBounds.Limit(rate)), rate)
		allCold = true
	}
	return c, allCold
}
