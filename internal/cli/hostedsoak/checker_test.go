package hostedsoak

import (
	"fmt"
	"net/netip"
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
