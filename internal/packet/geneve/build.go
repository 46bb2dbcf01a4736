package geneve

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"agateramp/internal/core/flow"
)

const (
	ipv4HeaderSize = 20
	ipv6HeaderSize = 40
	udpHeaderSize  = 8
	tcpHeaderSize  = 20

	timeToLive = 64
)

// Segment holds the TCP header fields that this package reads and writes, apart from the ports.
type Segment struct {
	Sequence        uint32
	Acknowledgement uint32

	SYN, ACK, FIN, RST, PSH bool
}

// AppendUDP appends an IP packet with a UDP datagram from source to destination.
func AppendUDP(dst []byte, source, destination netip.AddrPort, payload []byte) (packet []byte, err error) {
	dst, transportOffset, err := appendIP(dst, layers.IPProtocolUDP, source.Addr(), destination.Addr(), udpHeaderSize+len(payload))
	if err != nil {
		return dst, err
	}
	dst = binary.BigEndian.AppendUint16(dst, source.Port())
	dst = binary.BigEndian.AppendUint16(dst, destination.Port())
	dst = binary.BigEndian.AppendUint16(dst, uint16(udpHeaderSize+len(payload)))
	dst = append(dst, 0, 0)
	dst = append(dst, payload...)
	checksum := transportChecksum(dst[transportOffset:], layers.IPProtocolUDP, source.Addr(), destination.Addr())
	if checksum == 0 {
		// In the header, 0 means that there is no checksum (RFC 768).
		checksum = math.MaxUint16
	}
	binary.BigEndian.PutUint16(dst[transportOffset+6:], checksum)
	return dst, nil
}

// AppendTCP appends an IP packet with a TCP segment from source to destination.
func AppendTCP(dst []byte, source, destination netip.AddrPort, segment Segment, payload []byte) (packet []byte, err error) {
	dst, transportOffset, err := appendIP(dst, layers.IPProtocolTCP, source.Addr(), destination.Addr(), tcpHeaderSize+len(payload))
	if err != nil {
		return dst, err
	}
	dst = binary.BigEndian.AppendUint16(dst, source.Port())
	dst = binary.BigEndian.AppendUint16(dst, destination.Port())
	dst = binary.BigEndian.AppendUint32(dst, segment.Sequence)
	dst = binary.BigEndian.AppendUint32(dst, segment.Acknowledgement)
	window := uint16(math.MaxUint16)
	if segment.RST {
		window = 0
	}
	dst = append(dst, tcpHeaderSize/4<<4, segment.flags())
	dst = binary.BigEndian.AppendUint16(dst, window)
	dst = append(dst, 0, 0, 0, 0)
	dst = append(dst, payload...)
	checksum := transportChecksum(dst[transportOffset:], layers.IPProtocolTCP, source.Addr(), destination.Addr())
	binary.BigEndian.PutUint16(dst[transportOffset+16:], checksum)
	return dst, nil
}

// AppendHintPacket appends an IP packet without payload that identifies a flow. Frames of kind flow.KindHint carry it.
func AppendHintPacket(dst []byte, key flow.Key) (packet []byte, err error) {
	if layers.IPProtocol(key.Protocol()) == layers.IPProtocolTCP {
		return AppendTCP(dst, key.Source(), key.Destination(), Segment{ACK: true}, nil)
	}
	return AppendUDP(dst, key.Source(), key.Destination(), nil)
}

// AppendReset appends the IP packet with the TCP reset that answers the IP packet in data, with the sequence numbers
// of RFC 9293 section 3.10.7.1. It fails if data is not a TCP packet or is itself a reset.
func (d *Decoder) AppendReset(dst, data []byte) (packet []byte, err error) {
	var p flow.Packet
	if err = d.DecodePacket(data, &p); err != nil {
		return dst, err
	}
	segment, ok := d.Segment(&p)
	if !ok {
		return dst, errNotTCP
	}
	if segment.RST {
		return dst, errResetOfReset
	}
	reset := Segment{RST: true}
	if segment.ACK {
		reset.Sequence = segment.Acknowledgement
	} else {
		reset.ACK = true
		reset.Acknowledgement = segment.NextSequence(len(p.Payload))
	}
	return AppendTCP(dst, p.Key.Destination(), p.Key.Source(), reset, nil)
}

// Segment returns the TCP fields of packet, which must be the packet that d decoded last. It returns false if packet
// is not a TCP packet.
func (d *Decoder) Segment(packet *flow.Packet) (segment Segment, ok bool) {
	if layers.IPProtocol(packet.Key.Protocol()) != layers.IPProtocolTCP {
		return Segment{}, false
	}
	return Segment{
		Sequence: d.tcp.Seq, Acknowledgement: d.tcp.Ack,
		SYN: d.tcp.SYN, ACK: d.tcp.ACK, FIN: d.tcp.FIN, RST: d.tcp.RST, PSH: d.tcp.PSH,
	}, true
}

// NextSequence returns the sequence number that follows a segment with a payload of size bytes. SYN and FIN count as
// one byte each.
func (s Segment) NextSequence(size int) uint32 {
	next := s.Sequence + uint32(size)
	if s.SYN {
		next++
	}
	if s.FIN {
		next++
	}
	return next
}

// flags returns the flags byte of the TCP header.
func (s Segment) flags() (flags byte) {
	for bit, set := range [...]bool{s.FIN, s.SYN, s.RST, s.PSH, s.ACK} {
		if set {
			flags |= 1 << bit
		}
	}
	return flags
}

// appendIP appends an IP header for a payload of size bytes and returns the offset in packet of that payload.
func appendIP(dst []byte, protocol layers.IPProtocol, source, destination netip.Addr, size int) (packet []byte, transportOffset int, err error) {
	source, destination = source.Unmap(), destination.Unmap()
	start := len(dst)
	switch {
	case !source.IsValid() || source.Is4() != destination.Is4() || !destination.IsValid():
		return dst, start, errAddressFamilies
	case ipv4HeaderSize+size > math.MaxUint16:
		return dst, start, errTooLong
	case source.Is4():
		from, to := source.As4(), destination.As4()
		dst = append(dst, 4<<4|ipv4HeaderSize/4, 0)
		dst = binary.BigEndian.AppendUint16(dst, uint16(ipv4HeaderSize+size))
		dst = append(dst, 0, 0, 0x40, 0, timeToLive, byte(protocol), 0, 0)
		dst = append(dst, from[:]...)
		dst = append(dst, to[:]...)
		checksum := gopacket.FoldChecksum(gopacket.ComputeChecksum(dst[start:], 0))
		binary.BigEndian.PutUint16(dst[start+10:], checksum)
		return dst, start + ipv4HeaderSize, nil
	}
	from, to := source.As16(), destination.As16()
	dst = append(dst, 6<<4, 0, 0, 0)
	dst = binary.BigEndian.AppendUint16(dst, uint16(size))
	dst = append(dst, byte(protocol), timeToLive)
	dst = append(dst, from[:]...)
	dst = append(dst, to[:]...)
	return dst, start + ipv6HeaderSize, nil
}

// transportChecksum returns the checksum of a TCP segment or UDP datagram and its pseudo-header (RFC 768, 9293 and
// 8200). The checksum field in data must be 0.
func transportChecksum(data []byte, protocol layers.IPProtocol, source, destination netip.Addr) uint16 {
	var checksum uint32
	for _, ip := range [2]netip.Addr{source.Unmap(), destination.Unmap()} {
		if ip.Is4() {
			b := ip.As4()
			checksum = gopacket.ComputeChecksum(b[:], checksum)
			continue
		}
		b := ip.As16()
		checksum = gopacket.ComputeChecksum(b[:], checksum)
	}
	checksum += uint32(protocol) + uint32(len(data))
	return gopacket.FoldChecksum(gopacket.ComputeChecksum(data, checksum))
}
