package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Bits of the flags field of a packet.
const (
	flagFIN     = 1
	flagACK     = 4
	flagSYN     = 16
	flagRST     = 32
	flagBounced = 64
)

const headerBytes = 36

// segment is a packet of the platform's wire format.
type segment struct {
	echo     uint32
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	sum      uint32
	data     []byte
}

// encode returns the packet with the checksum of its sender.
func (s segment) encode() (raw []byte) {
	raw = make([]byte, headerBytes, headerBytes+len(s.data))
	src, dst := s.src.Addr().As4(), s.dst.Addr().As4()
	binary.BigEndian.PutUint32(raw, s.echo)
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

// checksum stands for the platform's keyed sum over all fields but echo, pad and
// BOUNCED. It is never 0, the sum of a reset of the system's own.
func checksum(raw []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("key"))
	_, _ = h.Write(raw[4:16])
	_, _ = h.Write([]byte{raw[16] &^ flagBounced})
	_, _ = h.Write(raw[22:30])
	_, _ = h.Write(raw[34:])
	return h.Sum32() | 1
}

// decode returns the packet in raw, which the segment refers to. ok is false for bytes
// that are no packet.
func decode(raw []byte) (s segment, ok bool) {
	if len(raw) < headerBytes || int(binary.BigEndian.Uint16(raw[34:])) != len(raw)-headerBytes {
		return s, false
	}
	return segment{
		echo: binary.BigEndian.Uint32(raw),
		src:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[10:14])), binary.BigEndian.Uint16(raw[8:])),
		dst:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[4:8])), binary.BigEndian.Uint16(raw[14:])), flags: raw[16],
		seq: binary.BigEndian.Uint32(raw[22:]), ack: binary.BigEndian.Uint32(raw[26:]), sum: binary.BigEndian.Uint32(raw[30:]), data: raw[headerBytes:],
	}, true
}

// intact reports whether the packet is as its sender wrote it.
func intact(raw []byte) bool { return checksum(raw) == binary.BigEndian.Uint32(raw[30:]) }
