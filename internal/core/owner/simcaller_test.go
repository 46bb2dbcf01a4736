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

	// retransmitInterval is how long a caller waits for a reply before it sends a packet
	// again.
	retransmitInterval = 500 * time.Millisecond
	// maxAttempts limits the retransmissions of a first packet.
	maxAttempts = 8
	// stallTimeout is how long an established flow may go without a reply before it counts
	// as broken.
	stallTimeout = 8 * time.Second
)

// callerFlow is one flow from the view of its caller: a TCP stream or a UDP request.
type callerFlow struct {
	network     *network
	id          int
	key         flow.Key
	packetCount int

	established, done, wasRefused, wasReset bool
	// host is the host that accepted the stream.
	host                   *simHost
	lastSent, lastAnswered int
	// lastProgress is when a new packet was last sent or answered.
	lastProgress time.Time
	attempts     int
	// runCount is how often a backend server ran the request or accepted the stream.
	runCount int
}

// startFlow starts a flow from a source port. reuses is the number of further flows that
// then use the same port one after the other.
func (n *network) startFlow(s *simService, protocol uint8, port uint16, packets, reuses int) {
	c := &callerFlow{
		network: n, id: len(n.callerFlows), packetCount: packets,
		key: flow.NewKey(protocol,
			netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, 1}), port),
			netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, 0, byte(s.service.GetId())}), 80)),
	}
	n.callerFlows = append(n.callerFlows, c)
	c.sendFirstPacket()
	if reuses > 0 {
		n.after(n.between(time.Second, 10*time.Second), func() { c.reusePort(s, reuses) })
	}
}

// reusePort starts a new flow from the same port when this one is over.
func (c *callerFlow) reusePort(s *simService, reuses int) {
	if !c.done && c.attempts <= maxAttempts {
		c.network.after(c.network.between(100*time.Millisecond, 5*time.Second), func() { c.reusePort(s, reuses) })
		return
	}
	c.done = true
	c.network.startFlow(s, c.key.Protocol(), c.key.Source().Port(), c.packetCount, reuses-1)
}

// sendFirstPacket sends the first packet until it gets a reply, or maxAttempts is reached.
func (c *callerFlow) sendFirstPacket() {
	if c.established || c.done || c.attempts > maxAttempts {
		return
	}
	c.attempts++
	c.network.log("flow %d from port %d, try %d", c.id, c.key.Source().Port(), c.attempts)
	c.network.sendToBalancer(c.packet(0))
	c.network.after(retransmitInterval, c.sendFirstPacket)
}

// packet returns packet number index of the flow. Its data contains the id of the flow,
// the index, and a TCP sequence number of its own.
func (c *callerFlow) packet(index int) *flow.Packet {
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

// packetOf decodes data that callerFlow.packet encoded.
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

func (n *network) callerFlowOf(p *flow.Packet) *callerFlow {
	return n.callerFlows[binary.BigEndian.Uint32(p.Data[32:])]
}

// handleReply processes the reply of a backend server to packet number index.
func (c *callerFlow) handleReply(h *simHost, index int) {
	if c.done {
		return
	}
	if c.key.Protocol() == protocolUDP {
		c.established, c.done = true, true
		return
	}
	if !c.established {
		c.established, c.host, c.lastProgress = true, h, c.network.now
		c.network.log("flow %d is established on %s", c.id, h.name)
		c.sendPacket(1)
		return
	}
	if h == c.host && index == c.lastSent && index > c.lastAnswered {
		c.lastAnswered = index
		c.lastProgress = c.network.now
		if index == c.packetCount {
			c.done = true
			return
		}
		next := index + 1
		c.network.after(c.network.between(5*time.Millisecond, 500*time.Millisecond), func() { c.sendPacket(next) })
	}
}

// sendPacket sends a packet of an established flow until it gets a reply.
func (c *callerFlow) sendPacket(index int) {
	if c.done || index < c.lastSent {
		return
	}
	if index > c.lastSent {
		c.lastSent, c.lastProgress = index, c.network.now
	}
	if c.network.now.Sub(c.lastProgress) > stallTimeout {
		c.markBroken("stalled at packet %d", index)
		return
	}
	c.network.sendToBalancer(c.packet(index))
	c.network.after(retransmitInterval, func() {
		if c.lastSent == index && c.lastAnswered < index {
			c.sendPacket(index)
		}
	})
}

// markBroken ends the flow and counts it as broken, unless its host failed.
func (c *callerFlow) markBroken(format string, args ...any) {
	if c.done {
		return
	}
	c.done = true
	text := fmt.Sprintf("flow %d on %s: ", c.id, c.host.name) + fmt.Sprintf(format, args...)
	c.network.log("broken: %s", text)
	if !c.host.failed {
		c.network.broken = append(c.network.broken, text)
	}
}

// handleReset processes a reset. The work may or may not have run, so a reset breaks only
// an established flow.
func (c *callerFlow) handleReset(sender string) {
	if c.done {
		return
	}
	if !c.established {
		c.done, c.wasReset = true, true
		c.network.reset++
		return
	}
	c.markBroken("reset by %s", sender)
}

// handleRefusal processes a refusal, which guarantees that the work has not run.
func (c *callerFlow) handleRefusal(h *simHost) {
	if c.done {
		return
	}
	c.network.refused++
	c.wasRefused = true
	if c.runCount > 0 {
		c.network.refusedButRun = append(c.network.refusedButRun,
			fmt.Sprintf("request %d ran and was refused by %s", c.id, h.name))
	}
	if c.established {
		c.markBroken("refused by %s", h.name)
	}
	c.done = true
}
