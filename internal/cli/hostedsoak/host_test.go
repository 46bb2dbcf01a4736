package hostedsoak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// hostSlots is how many requests a host runs at once. As many wait in it twice over.
	hostSlots = 2
	hostQueue = 2 * hostSlots
	// coldTime is how long a host is cold after its start, coldRate how many requests a
	// second it bears then, and coldSlowdown how much longer it works on one.
	coldTime     = 4 * time.Second
	coldRate     = 2
	coldSlowdown = 2
	// maxHostAttempts is after how many retransmissions a host gives up a flow.
	maxHostAttempts = 8
	halfOpenTime    = 3 * time.Second
	// drainAckTime is how long a host waits for the acknowledgement that it drains.
	drainAckTime = 5 * time.Second
)

// machine is where a host and the agent beside it run.
type machine struct {
	f     *fleet
	agent *process

	// starting is held while a host starts and while the service changes.
	starting sync.Mutex
	// mu guards the fields below.
	mu      sync.Mutex
	service string
	host    *host
}

// host is one start of a host.
type host struct {
	m *machine
	// record names the start, id the host in its heartbeats.
	record, id, service string
	born                int64
	conn                *net.UDPConn
	listener            net.Listener
	ended               chan struct{}

	// mu guards the fields below.
	mu    sync.Mutex
	flows map[netip.AddrPort]*hostFlow
	// closedFlows ended here; late packets of them are answered.
	closedFlows      map[netip.AddrPort]bool
	running          int
	queue            []job
	coldUntil        time.Time
	sequence         int
	draining, acked  bool
	hung, terminated bool
}

// hostFlow is a flow at a host.
type hostFlow struct {
	stream
	callerISN, isn uint32
	open           bool
	takenAt        time.Time
}

// job is a request that a host runs or queues.
type job struct {
	flow    netip.AddrPort
	request request
}

// startHost starts a host. An id of "" makes a new one; cold is how long it is cold.
func (m *machine) startHost(id string, cold time.Duration) (err error) {
	m.starting.Lock()
	defer m.starting.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.host != nil && !isClosed(m.host.ended) || m.f.tasks.Context().Err() != nil {
		return nil
	}
	if id == "" {
		id = fmt.Sprintf("i-%08x", rand.Uint32())
	}
	now := time.Now()
	h := &host{
		m: m, id: id, service: m.service, record: fmt.Sprintf("%s/%s@%d", m.agent.name, id, now.UnixMilli()), born: now.UnixMilli(), ended: make(chan struct{}),
		flows: make(map[netip.AddrPort]*hostFlow), closedFlows: make(map[netip.AddrPort]bool), coldUntil: now.Add(cold),
	}
	app := netip.AddrPortFrom(m.agent.address, hostPort)
	for deadline := now.Add(time.Second); ; time.Sleep(time.Millisecond) {
		// The socket of the start before may still be closing.
		if h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app)); !isInUse(err) || time.Now().After(deadline) {
			break
		}
	}
	if err != nil {
		return err
	}
	if h.listener, err = net.Listen("tcp4", app.String()); err != nil {
		return err
	}
	m.f.checker.hostStarted(hostRecord{id: h.record, machine: m.agent.name, dataCentre: m.agent.dataCentre, service: m.service, coldUntil: h.coldUntil, coldRate: coldRate})
	m.host = h
	health := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })}
	m.f.tasks.Go("health", func(context.Context) error {
		_ = health.Serve(h.listener)
		return nil
	})
	m.f.tasks.Go("host", func(context.Context) error { return h.serve() })
	m.f.tasks.Go("heartbeats", h.sendHeartbeats)
	return nil
}

// current returns the start of the host that runs, or nil.
func (m *machine) current() *host {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.host == nil || isClosed(m.host.ended) {
		return nil
	}
	return m.host
}

// crash ends the host at once, without a word.
func (h *host) crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.terminated {
		return
	}
	h.terminated = true
	h.m.f.checker.hostGone(h.record)
	_ = h.conn.Close()
	_ = h.listener.Close()
	close(h.ended)
}

// hang makes the host leave everything unanswered, or ends this.
func (h *host) hang(hung bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hung = hung
}

// cool makes the host cold, which it says at once.
func (h *host) cool(until time.Time) {
	h.mu.Lock()
	h.coldUntil = until
	h.mu.Unlock()
	h.sendHeartbeat(http.MethodPut)
}

// drain announces that the host leaves, goes on for as long as it must, and ends.
func (h *host) drain(extra time.Duration) {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	for deadline := time.Now().Add(drainAckTime); time.Now().Before(deadline) && !isClosed(h.ended); time.Sleep(20 * time.Millisecond) {
		h.mu.Lock()
		acked := h.acked
		h.mu.Unlock()
		if acked {
			break
		}
		h.sendHeartbeat(http.MethodPut)
	}
	time.Sleep(drainTime + extra)
	h.sendHeartbeat(http.MethodDelete)
	h.crash()
}

func (h *host) sendHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		h.mu.Lock()
		hung := h.hung
		h.mu.Unlock()
		if !hung {
			h.sendHeartbeat(http.MethodPut)
		}
		select {
		case <-ctx.Done():
			h.crash()
			return nil
		case <-h.ended:
			return nil
		case <-ticker.C:
		}
	}
}

// sendHeartbeat sends a heartbeat, or the notice that the host ends.
func (h *host) sendHeartbeat(method string) {
	h.mu.Lock()
	h.sequence++
	state, draining, coldUntil := "ready", h.draining, h.coldUntil
	if draining {
		state = "draining"
	}
	body := h.heartbeat(state, coldUntil, h.sequence, h.born)
	h.mu.Unlock()
	response, err := h.m.call(method, h.id, body)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		h.m.f.checker.report(time.Now(), "ACK", "agent %s answered %d to a heartbeat of %s", h.m.agent.name, response.StatusCode, h.record)
		return
	}
	h.m.f.checker.hostCold(h.record, coldUntil, coldRate)
	if draining {
		h.m.f.checker.hostDrains(time.Now(), h.record)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.acked = true
	}
}

// heartbeat returns the body of a heartbeat.
func (h *host) heartbeat(state string, coldUntil time.Time, sequence int, born int64) string {
	return fmt.Sprintf(`{"service":%q,"address":"%s:%d","zone":%q,"version":"v1","capacity":%d,"state":%q,"cold_left_ms":%d,"seq":%d,"born":%d}`,
		h.service, h.m.agent.address, hostPort, h.m.agent.dataCentre, hostSlots, state, max(time.Until(coldUntil).Milliseconds(), 0), sequence, born)
}

// call sends a heartbeat to the agent.
func (m *machine) call(method, id, body string) (response *http.Response, err error) {
	url := fmt.Sprintf("http://%s/v1/instances/%s", netip.AddrPortFrom(m.agent.address, controlPort), id)
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	return m.f.client.Do(request)
}

func (h *host) send(raw []byte) {
	_, _ = h.conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(h.m.agent.address, outboundPort))
}

func (h *host) serve() error {
	buffer := make([]byte, proxyBuffer)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buffer)
		if isClosed(h.ended) {
			return nil
		}
		if err != nil {
			continue
		}
		s, intact := decode(buffer[:n])
		if !intact {
			h.m.f.checker.report(time.Now(), "UNASKED", "host %s got a packet that its sender did not write so", h.record)
			continue
		}
		h.mu.Lock()
		if !h.hung {
			h.handle(time.Now(), s, buffer[:n])
		}
		h.mu.Unlock()
	}
}

// handle handles a packet of a caller. h.mu must be held, as in the functions below.
func (h *host) handle(now time.Time, s segment, raw []byte) {
	c := h.m.f.checker
	fl := h.flows[s.src]
	if s.flags&(flagSYN|flagACK) == flagSYN {
		if fl == nil {
			isn := rand.Uint32()
			fl = &hostFlow{callerISN: s.seq, isn: isn, takenAt: now, stream: stream{local: s.dst, remote: s.src, output: h.send, unacked: isn + 1, expected: s.seq + 1}}
			h.flows[s.src] = fl
			c.taken(now, h.record, s.src, s.ack)
		}
		h.send(segment{src: s.dst, dst: s.src, flags: flagSYN | flagACK, seq: fl.isn, ack: fl.callerISN + 1}.encode())
		return
	}
	c.atHost(now, h.record, s.src)
	switch {
	case fl == nil && h.closedFlows[s.src]:
		if s.flags&flagFIN != 0 {
			h.send(segment{src: s.dst, dst: s.src, flags: flagACK, seq: s.ack, ack: s.seq}.encode())
		} else if len(s.data) > 0 {
			h.send(segment{src: s.dst, dst: s.src, flags: flagRST | flagACK, seq: s.ack, ack: s.seq}.encode())
		}
		return
	case fl == nil, !fl.open && s.ack != fl.isn+1:
		bounced := bytes.Clone(raw)
		bounced[16] |= flagBounced
		clear(bounced[17:22])
		h.send(bounced)
		return
	case s.flags&flagRST != 0:
		h.close(s.src)
		return
	}
	if !fl.open {
		fl.open = true
		c.opened(now, h.record, s.src)
	}
	fl.receive(now, s)
	if s.flags&flagFIN != 0 {
		fl.send(flagFIN, nil)
		h.close(s.src)
		return
	}
	r, ok, err := parseRequest(&fl.received)
	switch {
	case err != nil:
		c.report(now, "UNASKED", "host %s got a request that no caller wrote: %v", h.record, err)
		h.close(s.src)
	case ok:
		h.admit(now, job{s.src, r})
	}
}

// close ends a flow.
func (h *host) close(flow netip.AddrPort) {
	delete(h.flows, flow)
	h.closedFlows[flow] = true
	h.m.f.checker.closed(flow)
}

// admit runs, queues or rejects a request.
func (h *host) admit(now time.Time, j job) {
	switch {
	case h.running < hostSlots:
		h.run(now, j)
	case len(h.queue) < hostQueue:
		h.queue = append(h.queue, j)
	default:
		h.m.f.checker.count("rejected by hosts")
		h.answer(now, j, false)
	}
}

// run works on a request.
func (h *host) run(now time.Time, j job) {
	h.running++
	r := j.request
	h.m.f.checker.ran(now, h.record, r.operation, r.attempt, r.class.safe, r.deadline)
	work := r.class.work
	if now.Before(h.coldUntil) {
		work *= coldSlowdown
	}
	time.AfterFunc(work, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		now := time.Now()
		h.running--
		if h.terminated {
			return
		}
		h.answer(now, j, true)
		if len(h.queue) > 0 {
			next := h.queue[0]
			h.queue = h.queue[1:]
			h.run(now, next)
		}
	})
}

// answer answers a request. A draining host closes the flow after that.
func (h *host) answer(now time.Time, j job, executed bool) {
	fl := h.flows[j.flow]
	if fl == nil {
		return
	}
	fl.write(now, j.request.answer(executed))
	if h.draining {
		fl.send(flagFIN, nil)
	}
}

// tick sends again what is not acknowledged and gives up flows.
func (h *host) tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hung || h.terminated {
		return
	}
	for flow, fl := range h.flows {
		switch {
		case !fl.open && now.Sub(fl.takenAt) > halfOpenTime:
			delete(h.flows, flow)
		case fl.attempts >= maxHostAttempts:
			h.close(flow)
		default:
			fl.tick(now)
		}
	}
}
