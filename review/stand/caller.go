package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// caller plays the requesters and the router: all packets go to one balancer.
type caller struct {
	f        *fleet
	conn     *net.UDPConn
	balancer netip.AddrPort

	// mu guards the fields below.
	mu       sync.Mutex
	flows    map[uint16]*callerFlow
	nextPort uint16
}

// callerFlow is a flow of a requester.
type callerFlow struct {
	c            *caller
	local        netip.AddrPort
	target       netip.AddrPort
	packets      chan segment
	isn          uint32
	seq, ack     uint32
	requestCount int
}

// The outcomes of a request or of the opening of a flow.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeReset    outcome = "reset"
	outcomeSilent   outcome = "no answer"
)

const (
	// openTimeout is when a requester gives up a flow without an answer.
	openTimeout = 1400 * time.Millisecond
	// timeBudget is the time budget of a request.
	timeBudget = 2500 * time.Millisecond
	// firstRetransmission and maxRetransmission are the first and the longest interval
	// of retransmissions.
	firstRetransmission = 200 * time.Millisecond
	maxRetransmission   = 1600 * time.Millisecond
)

func startCaller(f *fleet, address netip.Addr, balancer netip.AddrPort) (c *caller, err error) {
	c = &caller{f: f, balancer: balancer, flows: make(map[uint16]*callerFlow), nextPort: 1025}
	c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, f.packetPort)))
	if err != nil {
		return nil, err
	}
	go c.receive()
	return c, nil
}

func (c *caller) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		s, ok := decode(append([]byte(nil), buffer[:n]...))
		if !ok {
			continue
		}
		c.mu.Lock()
		fl := c.flows[s.dst.Port()]
		c.mu.Unlock()
		if fl == nil {
			continue
		}
		select {
		case fl.packets <- s:
		default:
		}
	}
}

// newFlow returns a flow from a new port, which is not open yet.
func (c *caller) newFlow(target netip.AddrPort) *callerFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	fl := &callerFlow{
		c: c, local: netip.AddrPortFrom(c.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr(), c.nextPort), target: target,
		packets: make(chan segment, 64), isn: rand.Uint32(),
	}
	c.flows[c.nextPort] = fl
	c.nextPort++
	return fl
}

func (fl *callerFlow) send(s segment) {
	s.src, s.dst = fl.local, fl.target
	_, _ = fl.c.conn.WriteToUDPAddrPort(s.encode(), fl.c.balancer)
}

// open opens the flow: the opening packet is sent at 0, 200 and 600 ms.
func (fl *callerFlow) open() outcome {
	record := fl.c.f.record
	timeout := time.After(openTimeout)
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	start := time.Now()
	next := time.After(0)
	sent := 0
	for {
		select {
		case <-next:
			record.logf("caller sends the opening packet of flow %d to %s, copy %d", fl.local.Port(), fl.target, sent)
			fl.c.f.noteSent(fl.local.Port(), uint32(sent))
			fl.send(segment{flags: flagSYN, seq: fl.isn, ack: uint32(sent)})
			sent++
			next = nil
			if sent < len(copies) {
				next = time.After(time.Until(start.Add(copies[sent])))
			}
		case s := <-fl.packets:
			if s.flags&flagRST != 0 {
				record.logf("flow %d was reset before it opened", fl.local.Port())
				return outcomeReset
			}
			if s.flags&(flagSYN|flagACK) == flagSYN|flagACK && s.ack == fl.isn+1 {
				fl.seq, fl.ack = fl.isn+1, s.seq+1
				fl.send(segment{flags: flagACK, seq: fl.seq, ack: fl.ack})
				record.logf("caller has the answer to flow %d", fl.local.Port())
				return outcomeAnswered
			}
		case <-timeout:
			record.logf("flow %d got no answer in %v", fl.local.Port(), openTimeout)
			return outcomeSilent
		}
	}
}

// request sends one request on the open flow and waits for its answer. id is the id of
// the request.
func (fl *callerFlow) request() (id string, result outcome) {
	record := fl.c.f.record
	fl.requestCount++
	id = fmt.Sprintf("r-%d-%d", fl.local.Port(), fl.requestCount)
	data := []byte("POST /order HTTP/1.1\r\nHost: order\r\nX-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
	s := segment{flags: flagACK, seq: fl.seq, ack: fl.ack, data: data}
	record.logf("caller sends request %s on flow %d", id, fl.local.Port())
	timeout := time.After(timeBudget)
	interval := firstRetransmission
	fl.send(s)
	for {
		select {
		case answer := <-fl.packets:
			switch {
			case answer.flags&flagRST != 0:
				distance := int32(answer.seq - fl.ack)
				valid := distance > -76_800 && distance < 76_800
				record.logf("flow %d got a reset, sum %d, in the window %v", fl.local.Port(), answer.sum, valid)
				if valid {
					return id, outcomeReset
				}
			case len(answer.data) > 0 && answer.seq == fl.ack:
				fl.seq += uint32(len(data))
				fl.ack += uint32(len(answer.data))
				fl.send(segment{flags: flagACK, seq: fl.seq, ack: fl.ack})
				record.logf("caller got the answer to request %s", id)
				return id, outcomeAnswered
			}
		case <-time.After(interval):
			interval = min(2*interval, maxRetransmission)
			fl.send(s)
		case <-timeout:
			record.logf("caller got no answer to request %s in %v", id, timeBudget)
			return id, outcomeSilent
		}
	}
}

// resetReceived reports whether a reset has arrived on the idle flow.
func (fl *callerFlow) resetReceived() bool {
	for {
		select {
		case s := <-fl.packets:
			if s.flags&flagRST != 0 {
				distance := int32(s.seq - fl.ack)
				return distance > -76_800 && distance < 76_800
			}
		default:
			return false
		}
	}
}
