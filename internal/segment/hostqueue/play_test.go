package hostqueue

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/segment/packet"
)

const (
	hostSlots = 2
	// maxHostQueue is how many requests the host queues itself. It rejects those beyond.
	maxHostQueue = 8
	// plainOfferLimit is the number of requests at the host at which an agent without a Queue returns opening packets.
	plainOfferLimit = 5
	// windows are of a second each. The requests of the last one are not judged.
	windows = 8
)

var start = time.Unix(1000, 0)

// kind is a kind of request: perSecond requests of some callers, over flows that stay open, or a flow each if flows is
// 0. One in 20 is given up by its caller when its objective has passed.
type kind struct {
	class          packet.RequestClass
	work           time.Duration
	perSecond      float64
	flows, callers int
}

// call is a request. It ends when the host rejects it, or answers it at doneAt, or its caller gives it up.
type call struct {
	Request
	kind                int
	segment             packet.Segment
	givesUpAt, doneAt   time.Time
	delivered, rejected bool
}

// play is one host with the callers of some kinds of requests. queue is nil for an agent without a Queue.
type play struct {
	is                        *is.I
	kinds                     []kind
	queue                     *Queue
	calls, open               []*call // all, and those that have not ended
	opening, running, waiting []*call // at the balancer, in the slots and in the queue of the host
	delivered, rejected       int
}

// run plays the load in steps of a millisecond.
func (p *play) run() {
	random := rand.New(rand.NewPCG(1, 2))
	for now := start; now.Before(start.Add(windows * time.Second)); now = now.Add(time.Millisecond) {
		p.running = slices.DeleteFunc(p.running, func(c *call) bool { return !now.Before(c.doneAt) })
		for len(p.running) < hostSlots && len(p.waiting) > 0 {
			c := p.waiting[0]
			c.doneAt = now.Add(time.Duration((0.5 + random.Float64()) * float64(p.kinds[c.kind].work)))
			p.running, p.waiting = append(p.running, c), p.waiting[1:]
		}
		p.open = slices.DeleteFunc(p.open, func(c *call) bool { return p.ends(now, c) })
		offered := p.opening
		if now.Sub(start)%(20*time.Millisecond) == 0 {
			p.opening = nil
			for _, c := range offered {
				p.offer(now, c)
			}
		}
		for i, k := range p.kinds {
			if random.Float64() < k.perSecond/1000 && (k.flows == 0 || p.openCalls(i) < k.flows) {
				p.send(now, i, random.Float64() < 0.05)
			}
		}
		for ok := p.queue != nil; ok; {
			var r Released
			p.queue.Expire(now)
			if r, ok = p.queue.Next(now, p.host()); ok {
				p.deliver(p.calls[r.Flow.Source().Port()])
			}
		}
	}
}

func (p *play) host() Host {
	return Host{Limit: hostSlots, InProgress: len(p.running) + len(p.waiting), Latency: 35 * time.Millisecond}
}

// openCalls returns the number of requests of a kind that have not ended.
func (p *play) openCalls(i int) (count int) {
	for _, c := range p.open {
		if c.kind == i {
			count++
		}
	}
	return count
}

// send sends a new request.
func (p *play) send(now time.Time, i int, impatient bool) {
	k, n := p.kinds[i], len(p.calls)
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(i), 0, byte(n % k.callers)}), uint16(n))
	service := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(k.class.Priority)}), 443)
	c := &call{Request: Request{Flow: packet.NewKey(source, service), Class: k.class, SentAt: now}, kind: i, givesUpAt: now.Add(k.class.Timeout)}
	c.segment = packet.Segment{Sequence: uint32(n), PayloadLength: 900, Data: make([]byte, 936)}
	if impatient {
		c.givesUpAt = now.Add(k.class.LatencyObjective)
	}
	p.calls, p.open = append(p.calls, c), append(p.open, c)
	if k.flows == 0 {
		p.offer(now, c)
	} else {
		p.receive(now, c)
	}
}

// offer offers an opening packet to the agent. One that the agent returns waits at the balancer.
func (p *play) offer(now time.Time, c *call) {
	accepted := p.host().InProgress < plainOfferLimit
	if p.queue != nil {
		accepted = p.queue.Wait(now, p.host(), c.Request) <= p.host().Latency
	}
	switch {
	case !now.Before(c.givesUpAt):
	case accepted:
		p.receive(now, c)
	default:
		p.opening = append(p.opening, c)
	}
}

// receive passes the packet of a request to the agent.
func (p *play) receive(now time.Time, c *call) (outcome Outcome) {
	if p.queue != nil {
		outcome, _ = p.queue.Add(now, p.host(), c.Request, &c.segment)
	}
	if outcome == OutcomePass {
		p.deliver(c)
	}
	return outcome
}

// deliver passes a request to the host, which rejects it if its queue is full.
func (p *play) deliver(c *call) {
	p.is.True(!c.delivered && slices.Contains(p.open, c)) // once, and not after its caller has given it up
	c.delivered, c.rejected = true, len(p.waiting) == maxHostQueue
	p.delivered++
	if c.rejected {
		p.rejected++
		return
	}
	p.waiting = append(p.waiting, c)
}

// ends reports whether a request ends now. While it is held, its caller sends copies.
func (p *play) ends(now time.Time, c *call) bool {
	held, age := p.queue != nil && p.queue.Holds(c.Flow), now.Sub(c.SentAt)
	switch {
	case c.rejected, !c.doneAt.IsZero() && !now.Before(c.doneAt):
		return true
	case !now.Before(c.givesUpAt):
		if held {
			p.queue.GiveUp(now, c.Flow)
			p.is.Equal(p.receive(now, c), OutcomeGivenUp)
		}
		return true
	case held && (age == 200*time.Millisecond || age == 600*time.Millisecond || age == 1400*time.Millisecond):
		p.is.Equal(p.receive(now, c), OutcomeDuplicate)
	}
	return false
}

// shares returns for each window, and last for all of them, the share of a kind's requests that were answered in time.
func (p *play) shares(i int) (shares [windows]float64) {
	var sent [windows]float64
	for _, c := range p.calls {
		w := int(c.SentAt.Sub(start) / time.Second)
		if c.kind != i || w == windows-1 {
			continue
		}
		for _, j := range []int{w, windows - 1} {
			sent[j]++
			if !c.doneAt.IsZero() && !c.doneAt.After(c.SentAt.Add(c.Class.LatencyObjective)) {
				shares[j]++
			}
		}
	}
	for w := range shares {
		shares[w] /= max(sent[w], 1)
	}
	return shares
}
