package hostedsoak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// openTimeout is when a caller gives up an opening packet without an answer, openCopies
	// when it sends the packet.
	openTimeout = 1400 * time.Millisecond
	maxRetries  = 2
	// idleFlows is how many open flows of a class rest between requests, for at most
	// maxRest.
	idleFlows = 25
	maxRest   = 10 * time.Second
	// finInterval and maxFINs limit the packets with which a caller ends a flow.
	finInterval = 400 * time.Millisecond
	maxFINs     = 4
	tickTime    = 10 * time.Millisecond
)

var openCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// operation is what a caller wants done, in up to three attempts.
type operation struct {
	name      string
	class     *class
	startedAt time.Time
	deadline  time.Time
	attempts  int
}

// result is how an operation ended.
type result struct {
	class     *class
	startedAt time.Time
	served    bool
}

// callerFlow is a flow of a caller.
type callerFlow struct {
	stream
	// class is nil for a flow that only checks a route. direct is the balancer that gets all
	// packets of such a flow.
	class     *class
	direct    *process
	startedAt time.Time
	isn       uint32
	copies    int
	open      bool
	used      int
	lastUsed  time.Time
	operation *operation
	attempt   string
	// fins is the number of packets sent to end the flow.
	fins  int
	finAt time.Time
}

// callers play the callers of all data centres and the routers.
type callers struct {
	f *fleet
	// addresses are the callers' addresses, sockets the sockets that receive there.
	addresses []netip.Addr
	sockets   map[netip.AddrPort]*net.UDPConn

	// mu guards the fields below.
	mu       sync.Mutex
	flows    map[netip.AddrPort]*callerFlow
	idle     map[*class][]*callerFlow
	nextPort uint16
	results  []result
	// factor multiplies the rates. due is when the next operation of a class starts.
	factor  float64
	due     map[*class]time.Time
	stopped bool
}

// listen opens the sockets of a caller in a data centre.
func (c *callers) listen(address netip.Addr, classes uint16) (err error) {
	for class := range classes {
		at := netip.AddrPortFrom(address, firstPacketPort+class)
		if c.sockets[at], err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
			return err
		}
	}
	c.addresses = append(c.addresses, address)
	return nil
}

// start starts the traffic.
func (c *callers) start() {
	for _, conn := range c.sockets {
		c.f.tasks.Go("callers", func(context.Context) error { return c.serve(conn) })
	}
	c.f.tasks.Every("callers tick", tickTime, func() { c.tick(time.Now()) })
}

// serve handles the packets that arrive at a socket.
func (c *callers) serve(conn *net.UDPConn) error {
	buffer := make([]byte, proxyBuffer)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if c.f.tasks.Context().Err() != nil {
			return nil
		}
		if err != nil {
			continue
		}
		sender := c.f.links.names[from.Addr().Unmap()]
		c.f.links.pass(sender, callersName, buffer[:n], func(raw []byte) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.receive(time.Now(), sender, raw)
		})
	}
}

// balancerFor returns the balancer to which the routers send the packets of a flow: a
// steady hash over those in rotation in the caller's data centre. If fewer than half are,
// all of the data centre get packets, and if none is, those of other data centres.
func (c *callers) balancerFor(flow, route netip.AddrPort) (chosen *process) {
	home := c.f.homes[flow.Addr()]
	var local, ready, others []*process
	for _, b := range c.f.balancers {
		switch {
		case b.dataCentre != home && b.inRotation():
			others = append(others, b)
		case b.dataCentre == home:
			local = append(local, b)
			if b.inRotation() {
				ready = append(ready, b)
			}
		}
	}
	candidates := ready
	switch {
	case len(ready) == 0 && len(others) > 0:
		candidates = others
	case 2*len(ready) < len(local) || len(ready) == 0:
		candidates = local
	}
	var best uint64
	for _, b := range candidates {
		h := fnv.New64a()
		fmt.Fprint(h, flow, route, b.name)
		if sum := h.Sum64() * 0x9E3779B97F4A7C15; chosen == nil || sum > best {
			chosen, best = b, sum
		}
	}
	return chosen
}

// transmit sends a packet of a flow. copyNumber is -1 for packets after the opening ones.
// c.mu must be held, as in the functions below.
func (c *callers) transmit(fl *callerFlow, copyNumber int, raw []byte) {
	b := fl.direct
	if b == nil {
		b = c.balancerFor(fl.local, fl.remote)
	}
	c.f.checker.sent(time.Now(), fl.local, fl.remote, copyNumber, b.currentBoot())
	to := netip.AddrPortFrom(b.address, firstPacketPort+c.f.links.classes[b.address])
	conn := c.sockets[netip.AddrPortFrom(fl.local.Addr(), firstPacketPort)]
	c.f.links.pass(callersName, b.name, raw, func(raw []byte) { _, _ = conn.WriteToUDPAddrPort(raw, to) })
}

// openFlow sends the first opening packet of a new flow.
func (c *callers) openFlow(now time.Time, address netip.Addr, route netip.AddrPort, k *class, direct *process) (fl *callerFlow) {
	if c.nextPort++; c.nextPort < 1025 {
		c.nextPort = 1025
	}
	fl = &callerFlow{class: k, direct: direct, startedAt: now, lastUsed: now, isn: rand.Uint32()}
	fl.stream = stream{local: netip.AddrPortFrom(address, c.nextPort), remote: route, output: func(raw []byte) { c.transmit(fl, -1, raw) }}
	c.flows[fl.local] = fl
	c.sendOpening(fl)
	return fl
}

func (c *callers) sendOpening(fl *callerFlow) {
	n := fl.copies
	fl.copies++
	c.transmit(fl, n, segment{src: fl.local, dst: fl.remote, flags: flagSYN, seq: fl.isn, ack: uint32(n)}.encode())
}

// begin starts an operation.
func (c *callers) begin(now time.Time, k *class) {
	c.try(now, &operation{name: fmt.Sprintf("%s-%x", k.name, rand.Uint64()), class: k, startedAt: now, deadline: now.Add(k.timeout)})
}

// try makes an attempt on a resting flow, or a new one.
func (c *callers) try(now time.Time, o *operation) {
	o.attempts++
	var fl *callerFlow
	if idle := c.idle[o.class]; len(idle) >= idleFlows && o.attempts == 1 {
		fl = idle[rand.IntN(len(idle))]
		c.removeIdle(fl)
	} else {
		fl = c.openFlow(now, c.addresses[rand.IntN(len(c.addresses))], o.class.route(), o.class, nil)
	}
	fl.operation, fl.attempt = o, fmt.Sprintf("%s.%d", o.name, o.attempts)
	if fl.open {
		c.request(now, fl)
	}
}

// request sends the request of a flow's operation.
func (c *callers) request(now time.Time, fl *callerFlow) {
	fl.used++
	fl.lastUsed = now
	o := fl.operation
	fl.write(now, request{o.name, fl.attempt, o.class, o.deadline}.encode())
}

// end ends an operation, or tries again if that is allowed.
func (c *callers) end(now time.Time, fl *callerFlow, served, mayRetry bool) {
	o := fl.operation
	if o == nil {
		return
	}
	fl.operation = nil
	if !served && mayRetry && o.attempts <= maxRetries && now.Before(o.deadline) {
		c.try(now, o)
		return
	}
	c.results = append(c.results, result{o.class, o.startedAt, served})
}

// forget removes a flow that has ended.
func (c *callers) forget(fl *callerFlow) {
	delete(c.flows, fl.local)
	c.f.checker.closed(fl.local)
	c.removeIdle(fl)
}

// finish starts the end of an open flow.
func (c *callers) finish(now time.Time, fl *callerFlow) {
	fl.fins++
	fl.finAt = now.Add(finInterval)
	fl.send(flagFIN, nil)
	c.f.checker.closed(fl.local)
}

// receive handles a packet for a caller.
func (c *callers) receive(now time.Time, sender string, raw []byte) {
	s, intact := decode(raw)
	fl := c.flows[s.dst]
	switch {
	case !intact && !s.isOwnReset():
		c.f.checker.report(now, "MIXED", "caller %s got a packet from %s that its sender did not write so", s.dst, sender)
		return
	case fl == nil:
		return
	case s.src != fl.remote:
		c.f.checker.report(now, "MIXED", "flow %s to %s got a packet from %s with the source %s", fl.local, fl.remote, sender, s.src)
		return
	case s.flags&flagRST != 0:
		c.receiveReset(now, fl, s, sender, intact)
		return
	case s.flags&(flagSYN|flagACK) == flagSYN|flagACK:
		if !fl.open && s.ack == fl.isn+1 {
			fl.open, fl.unacked, fl.expected = true, fl.isn+1, s.seq+1
			fl.send(0, nil)
			if fl.operation == nil {
				c.finish(now, fl)
				return
			}
			c.request(now, fl)
		}
		return
	case !fl.open:
		return
	}
	if distance := int32(s.seq - fl.expected); distance > 2*maxInFlight || distance < -2*maxInFlight {
		c.f.checker.report(now, "MIXED", "flow %s got a packet from %s of another flow", fl.local, sender)
		return
	}
	fl.receive(now, s)
	c.receiveAnswer(now, fl)
	if s.flags&flagFIN != 0 && s.seq == fl.expected {
		if fl.fins == 0 {
			fl.send(flagFIN, nil)
		}
		c.forget(fl)
		c.end(now, fl, false, fl.class != nil && fl.class.safe)
	}
}

func (c *callers) receiveReset(now time.Time, fl *callerFlow, s segment, sender string, intact bool) {
	switch distance := int32(s.seq - fl.expected); {
	case intact:
		c.f.checker.count("resets by hosts")
	case !fl.open:
		c.f.checker.count("refused")
		c.f.checker.refused(now, fl.attempt)
		c.forget(fl)
		c.end(now, fl, false, true)
		return
	case distance > resetWindow || distance < -resetWindow:
		c.f.checker.count("resets out of the window")
		c.f.note("flow %s got a reset %d out of the window from %s, open for %v", fl.local, distance, sender, now.Sub(fl.startedAt))
		return
	case fl.fins == 0:
		c.f.checker.reset(now, fl.local, sender)
	}
	c.forget(fl)
	c.end(now, fl, false, fl.class != nil && fl.class.safe)
}

// receiveAnswer handles a complete answer, if there is one.
func (c *callers) receiveAnswer(now time.Time, fl *callerFlow) {
	if fl.operation == nil && len(fl.received) > 0 {
		c.f.checker.report(now, "MIXED", "flow %s got an answer without a request", fl.local)
		fl.received = nil
		return
	}
	attempt, executed, ok, err := parseAnswer(&fl.received)
	if err != nil || ok && attempt != fl.attempt {
		c.f.checker.report(now, "MIXED", "flow %s got the answer to %s in place of %s: %v", fl.local, attempt, fl.attempt, err)
		c.forget(fl)
		c.end(now, fl, false, false)
		return
	}
	if !ok {
		return
	}
	if !executed {
		c.f.checker.refused(now, attempt)
	}
	c.end(now, fl, executed, true)
	if fl.used >= fl.class.flowRequests {
		c.finish(now, fl)
		return
	}
	fl.lastUsed = now
	c.idle[fl.class] = append(c.idle[fl.class], fl)
}

// tick sends again, gives up and starts operations.
func (c *callers) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, fl := range c.flows {
		c.tickFlow(now, fl)
	}
	for _, k := range classes {
		for due := c.due[k]; !c.stopped && c.factor > 0 && !now.Before(due); due = c.due[k] {
			c.due[k] = due.Add(time.Duration(rand.ExpFloat64() / (k.rate * c.factor) * float64(time.Second)))
			if now.Sub(due) > time.Second {
				c.due[k] = now
			}
			c.begin(now, k)
		}
	}
}

func (c *callers) tickFlow(now time.Time, fl *callerFlow) {
	switch {
	case fl.fins > 0 && !now.Before(fl.finAt):
		if fl.fins >= maxFINs {
			c.forget(fl)
			return
		}
		c.finish(now, fl)
	case fl.operation != nil && now.After(fl.operation.deadline):
		// Some callers say that they go, others do not.
		if fl.open && fl.local.Port()%2 == 0 {
			fl.send(flagRST, nil)
		}
		c.forget(fl)
		c.end(now, fl, false, false)
	case !fl.open && now.Sub(fl.startedAt) > openTimeout:
		c.forget(fl)
		c.end(now, fl, false, true)
	case !fl.open && fl.copies < len(openCopies) && now.Sub(fl.startedAt) >= openCopies[fl.copies]:
		c.sendOpening(fl)
	case fl.open && fl.fins == 0 && fl.operation == nil && now.Sub(fl.lastUsed) > maxRest:
		c.removeIdle(fl)
		c.finish(now, fl)
	case fl.open:
		fl.tick(now)
	}
}

func (c *callers) removeIdle(fl *callerFlow) {
	c.idle[fl.class] = slices.DeleteFunc(c.idle[fl.class], func(other *callerFlow) bool { return other == fl })
}

// check opens a flow to a route at each balancer in rotation and closes it again.
func (c *callers) check(now time.Time, route netip.AddrPort) (flows []*callerFlow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.f.balancers {
		if b.inRotation() {
			flows = append(flows, c.openFlow(now, c.addresses[rand.IntN(len(c.addresses))], route, nil, b))
		}
	}
	return flows
}

// checkAgain opens the flows again that did not open, and names them.
func (c *callers) checkAgain(now time.Time, flows []*callerFlow) (again []*callerFlow, names string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, fl := range flows {
		if !fl.open {
			names += fmt.Sprintf("%s at %s, ", fl.remote, fl.direct.name)
			again = append(again, c.openFlow(now, fl.local.Addr(), fl.remote, nil, fl.direct))
		}
	}
	return again, names
}

// setFactor multiplies the rates from now on.
func (c *callers) setFactor(factor float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.factor = factor
}

// served returns what was served of the operations of a class, or of all, that started
// within a time.
func (c *callers) served(k *class, from, to time.Time) (s share) {
	c.mu.Lock()
	defer c.mu.Unlock()
	good := 0
	for _, r := range c.results {
		if (k == nil || r.class == k) && !r.startedAt.Before(from) && r.startedAt.Before(to) {
			s.owed++
			if r.served {
				good++
			}
		}
	}
	return share{k, float64(good) / float64(max(s.owed, 1)), s.owed}
}
