// Package hostedsoak runs the programs of the hosting platform as separate processes,
// disturbs them in series drawn from a seed, and checks what callers, hosts and the
// operator see.
package hostedsoak

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"time"
)

// Bits of the flags field of a packet.
const (
	flagFIN     = 1
	flagACK     = 4
	flagSYN     = 16
	flagRST     = 32
	flagBounced = 64
)

const (
	headerBytes = 36
	maxPayload  = 1200
	// maxInFlight is the most data that an end of a flow has unacknowledged.
	maxInFlight = 16 * maxPayload
	// resetWindow is how far the sequence number of a reset may be from the caller's last
	// acknowledgement.
	resetWindow = 76_800
	// firstRetransmission and maxRetransmission are the shortest and the longest interval.
	firstRetransmission = 200 * time.Millisecond
	maxRetransmission   = 1600 * time.Millisecond
)

// segment is a packet of the platform's wire format.
type segment struct {
	src, dst      netip.AddrPort
	flags         byte
	seq, ack, sum uint32
	data          []byte
}

// encode returns the packet with the checksum of its sender.
func (s segment) encode() (raw []byte) {
	raw = make([]byte, headerBytes, headerBytes+len(s.data))
	src, dst := s.src.Addr().As4(), s.dst.Addr().As4()
	copy(raw[4:], dst[:])
	binary.BigEndian.PutUint16(raw[8:], s.src.Port())
	copy(raw[10:], src[:])
	binary.BigEndian.PutUint16(raw[14:], s.dst.Port())
	raw[16] = s.flags
	binary.BigEndian.PutUint32(raw[22:], s.seq)
	binary.BigEndian.PutUint32(raw[26:], s.ack)
	binary.BigEndian.PutUint16(raw[34:], uint16(len(s.data)))
	raw = append(raw, s.data...)
	binary.BigEndian.PutUint32(raw[30:], checksum(raw))
	return raw
}

// checksum is the sum over all fields that the product may not change. It is never 0, the
// sum of a reset of the product's own.
func checksum(raw []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("soak"))
	_, _ = h.Write(raw[4:16])
	_, _ = h.Write([]byte{raw[16] &^ flagBounced})
	_, _ = h.Write(raw[22:30])
	_, _ = h.Write(raw[34:])
	return h.Sum32() | 1
}

// decode returns the packet in raw, which the segment refers to. intact is false if the
// packet is not as its sender wrote it.
func decode(raw []byte) (s segment, intact bool) {
	if len(raw) < headerBytes || int(binary.BigEndian.Uint16(raw[34:])) != len(raw)-headerBytes {
		return s, false
	}
	s = segment{
		src: netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[10:14])), binary.BigEndian.Uint16(raw[8:])),
		dst: netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[4:8])), binary.BigEndian.Uint16(raw[14:])), flags: raw[16],
		seq: binary.BigEndian.Uint32(raw[22:]), ack: binary.BigEndian.Uint32(raw[26:]), sum: binary.BigEndian.Uint32(raw[30:]), data: raw[headerBytes:],
	}
	return s, s.sum == checksum(raw)
}

// isOwnReset reports whether the packet is a reset that the product itself wrote.
func (s segment) isOwnReset() bool { return s.flags == flagRST && s.sum == 0 && len(s.data) == 0 }

// stream is one end of an open flow. It sends data again until it is acknowledged, all
// that is in flight at once, and accepts data in order only.
type stream struct {
	local, remote netip.AddrPort
	output        func(raw []byte)
	// unacked is the sequence number of the first byte of pending, of which inFlight bytes
	// are sent. expected is the next sequence number of the other end.
	unacked, expected uint32
	pending           []byte
	inFlight          int
	received          []byte
	// unanswered is the number of packets since the last acknowledgement was sent.
	unanswered int
	due        time.Time
	interval   time.Duration
	// attempts is the number of retransmissions since the last progress.
	attempts int
}

func (t *stream) send(flags byte, data []byte) {
	t.unanswered = 0
	t.output(segment{src: t.local, dst: t.remote, flags: flags | flagACK, seq: t.unacked + uint32(t.inFlight), ack: t.expected, data: data}.encode())
}

// write sends data to the other end.
func (t *stream) write(now time.Time, data []byte) {
	t.pending = append(t.pending, data...)
	t.flush(now)
}

// flush sends pending data within the limit of data in flight.
func (t *stream) flush(now time.Time) {
	if t.inFlight == 0 && len(t.pending) > 0 {
		t.interval = max(t.interval, firstRetransmission)
		t.due = now.Add(t.interval)
	}
	for t.inFlight < min(len(t.pending), maxInFlight) {
		end := min(t.inFlight+maxPayload, len(t.pending), maxInFlight)
		data := t.pending[t.inFlight:end]
		t.send(0, data)
		t.inFlight = end
	}
}

// receive handles a packet of the other end.
func (t *stream) receive(now time.Time, s segment) {
	if acked := int(int32(s.ack - t.unacked)); s.flags&flagACK != 0 && acked > 0 && acked <= len(t.pending) {
		t.pending = t.pending[acked:]
		t.unacked += uint32(acked)
		t.inFlight = max(t.inFlight-acked, 0)
		t.attempts, t.interval = 0, firstRetransmission
		t.due = now.Add(t.interval)
	}
	if len(s.data) > 0 {
		inOrder := s.seq == t.expected
		if inOrder {
			t.expected += uint32(len(s.data))
			t.received = append(t.received, s.data...)
		}
		if t.unanswered++; !inOrder || t.unanswered >= 2 {
			t.send(0, nil)
		}
	}
	t.flush(now)
}

// tick sends again what was not acknowledged in time.
func (t *stream) tick(now time.Time) {
	if len(t.pending) == 0 || now.Before(t.due) {
		return
	}
	t.attempts++
	t.interval = min(2*t.interval, maxRetransmission)
	t.inFlight = 0
	t.flush(now)
}
