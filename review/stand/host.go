package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is how often a host sends a check-in (heartbeat_ms).
const heartbeatInterval = 1200 * time.Millisecond

// workTime is how long a host works on a request.
const workTime = 10 * time.Millisecond

// host plays one start of a host: it answers packets, runs requests, serves its health
// path over TCP and sends check-ins to the agent on its machine.
type host struct {
	f       *fleet
	machine *machine
	id      string
	// born is the time of the start by the clock of the machine, in Unix milliseconds.
	born     int64
	conn     *net.UDPConn
	listener net.Listener
	stopped  chan struct{}
	client   *http.Client

	// mu guards the fields below.
	mu    sync.Mutex
	flows map[netip.AddrPort]*hostFlow
	// lastBeat is when the last check-in was acknowledged.
	lastBeat time.Time
	sequence int
	// deaf makes the host drop all packets.
	deaf bool
}

// hostFlow is a flow that a host holds.
type hostFlow struct {
	callerISN, isn uint32
	// open is set once the caller has acknowledged the host's answer.
	open bool
	// received is the caller's next sequence number, and next the host's own.
	received, next uint32
	answer         []byte
}

// startHost starts a host on a machine. clock is how far the machine's time of day is
// from the true time.
func (m *machine) startHost(clock time.Duration) (h *host, err error) {
	h = &host{
		f: m.f, machine: m, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().Add(clock).UnixMilli(),
		stopped: make(chan struct{}), flows: make(map[netip.AddrPort]*hostFlow),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	app := netip.AddrPortFrom(m.address, m.f.appPort)
	if h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app)); err != nil {
		return nil, err
	}
	if h.listener, err = net.Listen("tcp4", app.String()); err != nil {
		return nil, err
	}
	health := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })}
	go func() { _ = health.Serve(h.listener) }()
	go h.serve()
	go h.sendHeartbeats()
	m.f.record.logf("host %s %s starts, born %d", m.name, h.id, h.born)
	return h, nil
}

// crash ends the host at once. Nothing is said to anyone.
func (h *host) crash() {
	h.f.record.logf("host %s %s crashes", h.machine.name, h.id)
	close(h.stopped)
	_ = h.conn.Close()
	_ = h.listener.Close()
}

func (h *host) setDeaf(deaf bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deaf = deaf
}

// sendHeartbeats sends a check-in at once and then one in each interval.
func (h *host) sendHeartbeats() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		h.sendHeartbeat()
		select {
		case <-h.stopped:
			return
		case <-ticker.C:
		}
	}
}

func (h *host) sendHeartbeat() {
	h.mu.Lock()
	h.sequence++
	body := fmt.Sprintf(`{"service":%q,"address":"%s:%d","zone":"z-a","version":"v1","capacity":5,"state":"ready","cold_left_ms":0,"seq":%d,"born":%d}`,
		h.machine.service, h.machine.address, h.f.appPort, h.sequence, h.born)
	h.mu.Unlock()
	url := fmt.Sprintf("http://%s:%d/v1/instances/%s", h.machine.address, h.f.controlPort, h.id)
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.client.Do(request)
	if err != nil {
		h.f.record.logf("host %s %s check-in: no answer", h.machine.name, h.id)
		return
	}
	_ = response.Body.Close()
	h.f.record.logf("host %s %s check-in: %d", h.machine.name, h.id, response.StatusCode)
	if response.StatusCode/100 != 2 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastBeat = time.Now()
}

// awaitHeartbeat waits for the next acknowledged check-in.
func (h *host) awaitHeartbeat() (err error) {
	after := time.Now()
	return await("a check-in of "+h.machine.name+" is acknowledged", 5*time.Second, func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.lastBeat.After(after)
	})
}

// serve handles packets until the host ends.
func (h *host) serve() {
	buffer := make([]byte, 2048)
	outbound := netip.AddrPortFrom(h.machine.address, h.f.outboundPort)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		s, ok := decode(buffer[:n])
		if !ok {
			continue
		}
		if !intact(buffer[:n]) {
			h.f.record.logf("host %s got a packet that its sender did not write so", h.machine.name)
		}
		for _, answer := range h.handle(s, buffer[:n]) {
			_, _ = h.conn.WriteToUDPAddrPort(answer, outbound)
		}
	}
}

// handle returns the packets that the host sends on a packet.
func (h *host) handle(s segment, raw []byte) (answers [][]byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.deaf {
		return nil
	}
	fl := h.flows[s.src]
	if s.flags&(flagSYN|flagACK) == flagSYN {
		if fl == nil || fl.callerISN != s.seq {
			isn := rand.Uint32()
			fl = &hostFlow{callerISN: s.seq, isn: isn, received: s.seq + 1, next: isn + 1}
			h.flows[s.src] = fl
			h.f.record.logf("host %s %s took the opening packet of flow %d, copy %d", h.machine.name, h.id, s.src.Port(), s.ack)
			h.f.noteTaken(taken{machine: h.machine, port: s.src.Port(), copyNumber: s.ack})
		}
		return [][]byte{segment{src: s.dst, dst: s.src, flags: flagSYN | flagACK, seq: fl.isn, ack: fl.received}.encode()}
	}
	if fl == nil {
		h.f.record.logf("host %s %s bounced a packet of flow %d", h.machine.name, h.id, s.src.Port())
		bounced := bytes.Clone(raw)
		bounced[16] |= flagBounced
		copy(bounced[17:22], make([]byte, 5))
		return [][]byte{bounced}
	}
	if s.flags&flagRST != 0 {
		delete(h.flows, s.src)
		return nil
	}
	if !fl.open {
		fl.open = true
		h.f.record.logf("flow %d opened at host %s %s", s.src.Port(), h.machine.name, h.id)
	}
	if len(s.data) == 0 {
		return nil
	}
	if s.seq == fl.received {
		fl.received += uint32(len(s.data))
		fl.answer = nil
		id := requestID(s.data)
		h.f.record.logf("host %s %s ran request %s of flow %d", h.machine.name, h.id, id, s.src.Port())
		body := "done " + id
		data := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, len(body), body)
		answer := segment{src: s.dst, dst: s.src, flags: flagACK, seq: fl.next, ack: fl.received, data: []byte(data)}.encode()
		fl.next += uint32(len(data))
		time.AfterFunc(workTime, func() { h.finish(fl, answer) })
		return nil
	}
	if fl.answer == nil {
		return nil
	}
	return [][]byte{fl.answer}
}

// finish sends the answer to a request after the work on it.
func (h *host) finish(fl *hostFlow, answer []byte) {
	h.mu.Lock()
	fl.answer = answer
	h.mu.Unlock()
	_, _ = h.conn.WriteToUDPAddrPort(answer, netip.AddrPortFrom(h.machine.address, h.f.outboundPort))
}

// holds reports whether the host holds the open flow of a caller's port.
func (h *host) holds(caller netip.AddrPort) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	fl := h.flows[caller]
	return fl != nil && fl.open
}

// requestID returns the id in the header of a request.
func requestID(data []byte) string {
	_, rest, _ := strings.Cut(string(data), "X-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
