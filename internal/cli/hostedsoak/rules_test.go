package hostedsoak

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
)

// lives reports whether the host of a flow holds it and must keep it.
func (c *checker) lives(now time.Time, f *flowRecord) bool {
	return f != nil && f.host != nil && !f.host.gone && now.Sub(f.openedAt) <= flowLifetime && now.Sub(f.lastUsed) <= idleTimeout && !c.dropped(f.route)
}

// dropped reports whether a configuration has dropped a route.
func (c *checker) dropped(route netip.AddrPort) bool {
	_, ok := c.versions[len(c.versions)-1].routes[route]
	return !ok
}

// reset records that a caller got a reset of the product on an open flow.
func (c *checker) reset(now time.Time, flow netip.AddrPort, sender string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[flow]
	if !c.lives(now, f) {
		c.counts["resets of lost flows"]++
		return
	}
	c.broken(now, f, sender, "flow %s got a reset from %s; its host %s lives and holds it", flow, sender, f.host.id)
}

// broken records a violation of FLOW, unless an unplanned disruption of the balancer, the
// host's machine or the sender of a reset excuses it.
func (c *checker) broken(now time.Time, f *flowRecord, sender, format string, args ...any) {
	if !c.calm(now, true, f.balancer, f.host.machine, sender) {
		c.counts["flows broken, excused"]++
		return
	}
	c.fail(now, "FLOW", format, args...)
}

// atHost records that a packet of a caller after the opening ones reached a host.
func (c *checker) atHost(now time.Time, id string, flow netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[flow]
	if f == nil {
		c.fail(now, "UNASKED", "host %s got a packet of flow %s, which no caller sent", id, flow)
		return
	}
	if !c.lives(now, f) {
		return
	}
	atOwn := c.hosts[id] == f.host
	if !atOwn {
		f.elsewhere = append(f.elsewhere, now)
	}
	strayed := 0
	for _, at := range f.elsewhere {
		if at.Sub(f.elsewhere[0]) <= reorderTime {
			strayed++
		}
	}
	late := strayed > 0 && now.Sub(f.elsewhere[0]) >= reorderTime
	if late && strayed >= maxStrayed {
		c.broken(now, f, f.balancer, "%d packets of flow %s reached other hosts, the last one %s, and none its own", strayed, flow, id)
	}
	if late || atOwn {
		f.elsewhere = nil
	}
}

// taken records that a host took an opening packet.
func (c *checker) taken(now time.Time, id string, flow netip.AddrPort, copyNumber uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, h := c.flows[flow], c.hosts[id]
	if f == nil || f.copies[copyNumber].at.IsZero() {
		c.fail(now, "UNASKED", "host %s got copy %d of the opening packet of flow %s, which no caller sent", id, copyNumber, flow)
		return
	}
	sent := f.copies[copyNumber]
	balancer := c.boots[sent.boot].machine
	inTouch := c.calm(now, false, balancer, h.machine)
	c.counts["taken"]++
	if inTouch {
		c.counts["taken in touch"]++
	}
	if !h.drainAckedAt.IsZero() && now.Sub(h.drainAckedAt) > drainTime && inTouch {
		c.fail(now, "DRAIN", "host %s took flow %s through %s %v after its drain was acknowledged", id, flow, sent.boot, now.Sub(h.drainAckedAt))
	}
	for _, s := range c.evacuated[h.dataCentre] {
		if inTouch && now.Sub(s.from) > evacuationTime && s.to.IsZero() {
			c.fail(now, "EVAC", "host %s took flow %s through %s %v after %s was evacuated", id, flow, sent.boot, now.Sub(s.from), h.dataCentre)
		}
	}
	c.checkConfig(now, h, f, flow, sent, inTouch && c.calm(sent.at, false, balancer))
	c.checkCold(now, h, flow, sent)
}

// checkConfig checks a taken opening packet against the configurations.
func (c *checker) checkConfig(now time.Time, h *hostRecord, f *flowRecord, flow netip.AddrPort, sent synCopy, inTouch bool) {
	lowest, highest := -1, -1
	for i, v := range c.versions {
		if v.routes[f.route] == h.service {
			highest = i
			if lowest < 0 {
				lowest = i
			}
		}
	}
	if lowest < 0 {
		c.fail(now, "ROUTE", "host %s of %s took flow %s to %s, which no configuration allows", h.id, h.service, flow, f.route)
		return
	}
	for _, v := range c.versions[highest+1:] {
		if late := sent.at.Sub(v.ackedAt); late > configTime && inTouch {
			c.fail(now, "CONFIG", "host %s took flow %s to %s through %s, sent %v after version %d", h.id, flow, f.route, sent.boot, late, v.number)
			break
		}
	}
	boot := c.boots[sent.boot]
	slack := rollbackSlack
	if !c.calm(now, false, boot.machine) {
		slack *= slowedFactor
	}
	for i, seenAt := range boot.seen {
		if i > highest && sent.at.Sub(seenAt) > slack {
			c.fail(now, "CONFIG", "%s went back: host %s took flow %s to %s, sent %v after version %d was seen", sent.boot, h.id, flow, f.route, sent.at.Sub(seenAt), c.versions[i].number)
		}
	}
	if _, ok := boot.seen[lowest]; !ok {
		boot.seen[lowest] = now
	}
}

// checkCold checks a taken opening packet against the limit of cold hosts.
func (c *checker) checkCold(now time.Time, h *hostRecord, flow netip.AddrPort, sent synCopy) {
	if !now.Before(h.coldUntil) {
		return
	}
	h.taken = append(h.taken, takenSYN{flow, sent.at, now})
	var within []string
	seen := make(map[netip.AddrPort]bool)
	for _, t := range h.taken {
		// A flow is one request, also if its host took two copies of the opening packet.
		if earliest := now.Add(-time.Second); t.at.After(earliest) && t.sentAt.After(earliest) && !seen[t.flow] {
			seen[t.flow] = true
			within = append(within, fmt.Sprintf("%s sent %v, taken %v before", t.flow, now.Sub(t.sentAt), now.Sub(t.at)))
		}
	}
	if limit := int(math.Floor(h.coldRate*coldExcess + coldSlack)); len(within) > limit {
		c.fail(now, "FAILBACK", "cold host %s took %d flows within a second, at most %d allowed: %s", h.id, len(within), limit, strings.Join(within, "; "))
	}
}

// ran records that a host runs an attempt of an operation, whose caller waits until the
// deadline.
func (c *checker) ran(now time.Time, id, operation, attempt string, safe bool, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["runs"]++
	c.runs[operation]++
	c.runs[attempt]++
	if c.runs[operation] > 1 && !safe {
		c.fail(now, "ONCE", "operation %s ran %d times, the last time at %s", operation, c.runs[operation], id)
	}
	if c.refusals[attempt] {
		c.fail(now, "REFUSED", "attempt %s was refused, but runs at %s", attempt, id)
	}
	if now.After(deadline) {
		c.overload(now, "attempt %s runs at %s %v after its deadline", attempt, id, now.Sub(deadline))
	}
}

// refused records that a caller got a refusal of an attempt, which says that it does not
// run.
func (c *checker) refused(now time.Time, attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals[attempt] = true
	if c.runs[attempt] > 0 {
		c.fail(now, "REFUSED", "attempt %s was refused, but ran", attempt)
	}
}

// overload records a violation of a promise under overload. c.mu must be held.
func (c *checker) overload(now time.Time, format string, args ...any) {
	if !c.failOverload {
		c.counts["OVERLOAD, not checked"]++
		return
	}
	c.fail(now, "OVERLOAD", format, args...)
}

// share is the share of the operations of a class, or of all, that were served.
type share struct {
	class  *class
	served float64
	owed   int
}

// prioritised checks that under overload no class is served worse than one of the same
// service with a lower priority.
func (c *checker) prioritised(now time.Time, high, low share) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if high.class.service == low.class.service && min(high.owed, low.owed) >= overloadOwed && high.served < low.served-overloadMargin {
		c.overload(now, "%s got %.2f of %d, %s with a lower priority %.2f of %d", high.class.name, high.served, high.owed, low.class.name, low.served, low.owed)
	}
}

// recovered checks the operations that began after the time for the recovery.
func (c *checker) recovered(now time.Time, s share) {
	if s.owed > 0 && s.served < recoveredShare {
		c.report(now, "RECOVER", "%.2f of %d operations were served after the time for the recovery", s.served, s.owed)
	}
}
