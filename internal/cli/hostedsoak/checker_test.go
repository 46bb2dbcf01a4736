package hostedsoak

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// The bounds of the platform, which the settings of the processes also hold.
const (
	stableTime     = 4 * time.Second
	drainTime      = 3 * time.Second
	configTime     = 3 * time.Second
	rollbackSlack  = 250 * time.Millisecond
	evacuationTime = 5 * time.Second
	recoveryTime   = 12 * time.Second
	reorderTime    = 2 * time.Second
	graceTime      = 6 * time.Second
	flowLifetime   = 60 * time.Second
	idleTimeout    = 15 * time.Second
	coldExcess     = 1.5
	coldSlack      = 5
	// slowedFactor is by how much rollbackSlack grows for a machine that is not in touch.
	slowedFactor = 8
	// maxStrayed is how many packets of a flow break it if they reach other hosts within
	// reorderTime and none reaches its own.
	maxStrayed = 3
)

// checkOverload makes violations of the promises under overload fail the soak. They are
// only counted until agents queue the requests of their hosts.
const checkOverload = false

// storeTarget is the name of the store among the targets of disruptions.
const storeTarget = "store"

// span is a time in which a target was disturbed or an order held. to is zero while it
// lasts.
type span struct {
	from, to time.Time
	planned  bool
}

// touches reports whether the span has a moment in [from, to].
func (s span) touches(from, to time.Time) bool {
	return !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
}

// version is a configuration that the store acknowledged: the service of each route.
type version struct {
	number  int
	ackedAt time.Time
	routes  map[netip.AddrPort]string
}

// bootRecord is one run of a balancer: the configurations whose effect hosts saw through it, and
// when they saw it first.
type bootRecord struct {
	machine string
	seen    map[int]time.Time
}

// synCopy is one copy of an opening packet, sent through one run of a balancer.
type synCopy struct {
	at   time.Time
	boot string
}

// flowRecord is what callers and hosts saw of one flow.
type flowRecord struct {
	route  netip.AddrPort
	copies map[uint32]synCopy
	// balancer took the last packet of the caller, at lastUsed.
	balancer string
	lastUsed time.Time
	// host is the start of a host that holds the flow since openedAt, or nil.
	host     *hostRecord
	openedAt time.Time
	// elsewhere are the packets that reached other hosts since the last one at its own.
	elsewhere []time.Time
}

// hostRecord is what is known of one start of a host.
type hostRecord struct {
	id, machine, dataCentre, service string
	gone                             bool
	// drainAckedAt is when its agent acknowledged that it drains or has ended, or zero.
	drainAckedAt time.Time
	// coldUntil is when it is no longer cold, and coldRate what it bears until then.
	coldUntil time.Time
	coldRate  float64
	taken     []takenSYN
}

// takenSYN is an opening packet that a host took.
type takenSYN struct {
	flow       netip.AddrPort
	sentAt, at time.Time
}

// checker checks the promises of the product in what callers, hosts and the operator
// report. Times are passed in. It is safe for concurrent use.
type checker struct {
	mu         sync.Mutex
	startedAt  time.Time
	violations []string
	// failOverload is checkOverload but in tests of the checker.
	failOverload bool
	counts       map[string]int
	disrupted    map[string][]span
	versions     []version
	evacuated    map[string][]span
	boots        map[string]*bootRecord
	flows        map[netip.AddrPort]*flowRecord
	hosts        map[string]*hostRecord
	// runs counts the runs of each operation and of each attempt of one. refusals are the
	// attempts whose callers got a refusal.
	runs     map[string]int
	refusals map[string]bool
}

func newChecker(now time.Time) *checker {
	return &checker{
		startedAt: now, failOverload: checkOverload, counts: make(map[string]int), disrupted: make(map[string][]span), evacuated: make(map[string][]span), boots: make(map[string]*bootRecord),
		flows: make(map[netip.AddrPort]*flowRecord), hosts: make(map[string]*hostRecord), runs: make(map[string]int), refusals: make(map[string]bool),
	}
}

// fail records a violation of a rule. c.mu must be held.
func (c *checker) fail(now time.Time, rule, format string, args ...any) {
	c.counts["violations "+rule]++
	c.violations = append(c.violations, fmt.Sprintf("%8.3f %s: %s", now.Sub(c.startedAt).Seconds(), rule, fmt.Sprintf(format, args...)))
}

// report records a violation that a stand-in has seen.
func (c *checker) report(now time.Time, rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(now, rule, format, args...)
}

// count counts something for the summary.
func (c *checker) count(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

// disrupt records that targets are disturbed from now on, and returns a function that
// ends this.
func (c *checker) disrupt(now time.Time, planned bool, targets ...string) (end func(now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, target := range targets {
		c.disrupted[target] = append(c.disrupted[target], span{from: now, planned: planned})
	}
	return func(at time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, target := range targets {
			for i, s := range c.disrupted[target] {
				if s.from.Equal(now) && s.to.IsZero() {
					c.disrupted[target][i].to = at
				}
			}
		}
	}
}

// calm reports whether targets and the store were not disturbed for the time before now
// after which a machine is in touch. Planned work counts unless ignorePlanned is set.
func (c *checker) calm(now time.Time, ignorePlanned bool, targets ...string) bool {
	for _, target := range append([]string{storeTarget}, targets...) {
		for _, s := range c.disrupted[target] {
			if s.touches(now.Add(-stableTime), now) && !(ignorePlanned && s.planned) {
				return false
			}
		}
	}
	return true
}

// configAcked records a configuration.
func (c *checker) configAcked(now time.Time, number int, routes map[netip.AddrPort]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions = append(c.versions, version{number, now, routes})
}

// evacuationAcked records that a data centre was evacuated or taken back.
func (c *checker) evacuationAcked(now time.Time, dataCentre string, evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	spans := c.evacuated[dataCentre]
	if evacuated {
		c.evacuated[dataCentre] = append(spans, span{from: now})
		return
	}
	spans[len(spans)-1].to = now
}

// bootStarted records the start of a balancer.
func (c *checker) bootStarted(boot, machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.boots[boot] = &bootRecord{machine: machine, seen: make(map[int]time.Time)}
}

// hostStarted records a start of a host.
func (c *checker) hostStarted(h hostRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[h.id] = &h
}

// hostCold records until when a host is cold.
func (c *checker) hostCold(id string, until time.Time, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[id].coldUntil, c.hosts[id].coldRate = until, rate
}

// hostDrains records that the agent acknowledged that a host drains or has ended.
func (c *checker) hostDrains(now time.Time, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.hosts[id]; h.drainAckedAt.IsZero() {
		h.drainAckedAt = now
	}
}

// hostGone records that a start of a host has ended.
func (c *checker) hostGone(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[id].gone = true
}

// sent records a packet of a caller, to a run of a balancer. copyNumber is -1 for a
// packet after the opening ones.
func (c *checker) sent(now time.Time, flow, route netip.AddrPort, copyNumber int, boot string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[flow]
	if f == nil {
		f = &flowRecord{route: route, copies: make(map[uint32]synCopy)}
		c.flows[flow] = f
	}
	f.lastUsed = now
	if b := c.boots[boot]; b != nil {
		f.balancer = b.machine
	}
	if copyNumber >= 0 {
		f.copies[uint32(copyNumber)] = synCopy{now, boot}
	}
}

// opened records that a host has the end of the handshake of a flow.
func (c *checker) opened(now time.Time, id string, flow netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[flow]
	if f == nil {
		c.fail(now, "UNASKED", "flow %s opened at %s, no caller sent it", flow, id)
		return
	}
	f.host, f.openedAt, f.elsewhere = c.hosts[id], now, nil
}

// closed records that a caller or a host has ended a flow.
func (c *checker) closed(flow netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.flows[flow]; f != nil {
		f.host = nil
	}
}

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
