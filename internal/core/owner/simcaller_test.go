package owner

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"agateramp/internal/core/flow"
)

const (
	protocolUDP = 17

	// retransmission is how often a caller repeats what was not answered.
	retransmitInterval = 500 * time.Millisecond
	// maxTries is how often a caller sends a first packet.
	maxAttempts = 8
	// patience is how long an established flow may stall before it is broken.
	stallTimeout = 8 * time.Second
)

// caller is one flow as its caller sees it: a TCP stream, or a request by UDP.
type caller struct {
	n           *network
	id          int
	key         flow.Key
	packetCount int

	established, done, wasRefused, wasReset bool
	// host accepted the stream.
	host               *simHost
	sent, acknowledged int
	// progressed is when the last packet was answered.
	lastProgress time.Time
	attempts     int
	// runs counts how often a backend server got the request or accepted the stream.
	runs int
}

// call starts a flow from a source port, and uses the port again after it.
func (n *network) startFlow(s *simService, protocol uint8, port uint16, packets, reuses int) {
	c := &caller{
		n: n, id: len(n.callers), packetCount: packets,
		key: flow.NewKey(protocol,
			netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, 1}), port),
			netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, 0, byte(s.service.GetId())}), 80)),
	}
	n.callers = append(n.callers, c)
	c.sendFirstPacket()
	if reuses > 0 {
		n.after(n.between(time.Second, 10*time.Second), func() { c.reusePort(s, reuses) })
	}
}

// reuse starts a new flow from the same port once the present one is over.
func (c *caller) reusePort(s *simService, reuses int) {
	if !c.done && c.attempts <= maxAttempts {
		c.n.after(c.n.between(100*time.Millisecond, 5*time.Second), func() { c.reusePort(s, reuses) })
		return
	}
	c.done = true
	c.n.startFlow(s, c.key.Protocol(), c.key.Source().Port(), c.packetCount, reuses-1)
}

// open sends the first packet until it is answered.
func (c *caller) sendFirstPacket() {
	if c.established || c.done || c.attempts > maxAttempts {
		return
	}
	c.attempts++
	c.n.log("flow %d from port %d, try %d", c.id, c.key.Source().Port(), c.attempts)
	c.n.sendToBalancer(c.packet(0))
	c.n.after(retransmitInterval, c.sendFirstPacket)
}

// packet returns packet number index of the flow. The first holds the sequence
// number or request in its payload; all hold the flow and the index.
func (c *caller) packet(index int) *flow.Packet {
	data := make([]byte, 40)
	data[0] = 0x45
	binary.BigEndian.PutUint32(data[24:], uint32(c.id+1)*1000+uint32(index))
	binary.BigEndian.PutUint32(data[32:], uint32(c.id))
	data[36] = byte(index)
	data[37] = 'R'
	if c.key.Protocol() == protocolTCP && index == c.packetCount {
		data[38] = 1
	}
	return packetOf(c.key, data)
}

// packetOf decodes what packet made.
func packetOf(key flow.Key, data []byte) *flow.Packet {
	p := &flow.Packet{Key: key, Hash: key.Hash(), Data: data, Payload: data[32:]}
	if key.Protocol() == protocolUDP {
		p.Payload = append([]byte("R"), data[32:]...)
		return p
	}
	p.SYN = data[36] == 0
	p.FIN = data[38] == 1
	return p
}

func packetName(p *flow.Packet) string {
	return fmt.Sprintf("packet %d of flow %d", p.Data[36], binary.BigEndian.Uint32(p.Data[32:]))
}

func (n *network) callerOf(p *flow.Packet) *caller {
	return n.callers[binary.BigEndian.Uint32(p.Data[32:])]
}

// answered is an answer of a backend server to packet number index.
func (c *caller) handleReply(h *simHost, index int) {
	if c.done {
		return
	}
	if c.key.Protocol() == protocolUDP {
		c.established, c.done = true, true
		return
	}
	if !c.established {
		c.established, c.host, c.lastProgress = true, h, c.n.now
		c.n.log("flow %d is established on %s", c.id, h.name)
		c.sendPacket(1)
		return
	}
	if h == c.host && index == c.sent && index > c.acknowledged {
		c.acknowledged = index
		c.lastProgress = c.n.now
		if index == c.packetCount {
			c.done = true
			return
		}
		next := index + 1
		c.n.after(c.n.between(5*time.Millisecond, 500*time.Millisecond), func() { c.sendPacket(next) })
	}
}

// stream sends a packet of an established flow until it is answered.
func (c *caller) sendPacket(index int) {
	if c.done || index < c.sent {
		return
	}
	if index > c.sent {
		c.sent, c.lastProgress = index, c.n.now
	}
	if c.n.now.Sub(c.lastProgress) > stallTimeout {
		c.markBroken("stalled at packet %d", index)
		return
	}
	c.n.sendToBalancer(c.packet(index))
	c.n.after(retransmitInterval, func() {
		if c.sent == index && c.acknowledged < index {
			c.sendPacket(index)
		}
	})
}

func (c *caller) markBroken(format string, args ...any) {
	if c.done {
		return
	}
	c.done = true
	text := fmt.Sprintf("flow %d on %s: ", c.id, c.host.name) + fmt.Sprintf(format, args...)
	c.n.log("broken: %s", text)
	if !c.host.failed {
		c.n.broken = append(c.n.broken, text)
	}
}

// resetBy is a reset, which says nothing about work done.
func (c *caller) handleReset(who string) {
	if c.done {
		return
	}
	if !c.established {
		c.done, c.wasReset = true, true
		c.n.reset++
		return
	}
	c.markBroken("reset by %s", who)
}

func (c *caller) handleRefusal(h *simHost) {
	if c.done {
		return
	}
	c.n.refused++
	c.wasRefused = true
	if c.runs > 0 {
		c.n.refusedButRun = append(c.n.refusedButRun, fmt.Sprintf("request %d ran and was refused by %s", c.id, h.name))
	}
	if c.established {
		c.markBroken("refused by %s", h.name)
	}
	c.done = true
}
