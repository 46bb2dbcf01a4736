package geneve

import (
	"net/netip"

	"github.com/gopacket/gopacket/layers"

	"agateramp/internal/core/flow"
)

// decodeIPv4 decodes an IPv4 packet that may be followed by other bytes. Fragments are rejected.
func (d *Decoder) decodeIPv4(data []byte, packet *flow.Packet) error {
	d.truncation.set = false
	// gopacket accepts a length of 0, which segmentation offload produces. On the wire it is malformed.
	if len(data) < 20 || data[0]>>4 != 4 || data[2] == 0 && data[3] == 0 {
		return errInnerPacket
	}
	if d.ip4.DecodeFromBytes(data, &d.truncation) != nil {
		return errInnerPacket
	}
	if d.truncation.set {
		return errTruncated
	}
	if d.ip4.FragOffset != 0 || d.ip4.Flags&layers.IPv4MoreFragments != 0 {
		return errFragment
	}
	source, destination := netip.AddrFrom4([4]byte(d.ip4.SrcIP)), netip.AddrFrom4([4]byte(d.ip4.DstIP))
	packet.Data = data[:d.ip4.Length]
	return d.decodeTransport(d.ip4.Protocol, d.ip4.Payload, source, destination, packet)
}

// decodeIPv6 decodes an IPv6 packet that may be followed by other bytes. Fragments are rejected.
func (d *Decoder) decodeIPv6(data []byte, packet *flow.Packet) error {
	d.truncation.set = false
	// A payload length of 0 is that of a jumbogram, which is too long for a frame.
	if len(data) < 40 || data[0]>>4 != 6 || data[4] == 0 && data[5] == 0 {
		return errInnerPacket
	}
	if d.ip6.DecodeFromBytes(data, &d.truncation) != nil {
		return errInnerPacket
	}
	if d.truncation.set {
		return errTruncated
	}
	protocol := d.ip6.NextHeader
	if d.ip6.HopByHop != nil {
		protocol = d.ip6.HopByHop.NextHeader
	}
	if protocol == layers.IPProtocolIPv6Fragment {
		return errFragment
	}
	source, destination := netip.AddrFrom16([16]byte(d.ip6.SrcIP)), netip.AddrFrom16([16]byte(d.ip6.DstIP))
	packet.Data = data[:40+int(d.ip6.Length)]
	return d.decodeTransport(protocol, d.ip6.Payload, source, destination, packet)
}

// decodeTransport decodes a TCP segment or UDP datagram and sets all fields of packet except Data.
func (d *Decoder) decodeTransport(protocol layers.IPProtocol, data []byte, source, destination netip.Addr, packet *flow.Packet) error {
	packet.SYN, packet.FIN, packet.RST = false, false, false
	var sourcePort, destinationPort uint16
	switch protocol {
	case layers.IPProtocolTCP:
		if d.tcp.DecodeFromBytes(data, &d.truncation) != nil {
			return errInnerPacket
		}
		sourcePort, destinationPort = uint16(d.tcp.SrcPort), uint16(d.tcp.DstPort)
		packet.SYN, packet.FIN, packet.RST = d.tcp.SYN && !d.tcp.ACK, d.tcp.FIN, d.tcp.RST
		packet.Payload = d.tcp.Payload
	case layers.IPProtocolUDP:
		if d.udp.DecodeFromBytes(data, &d.truncation) != nil || d.udp.Length == 0 {
			return errInnerPacket
		}
		sourcePort, destinationPort = uint16(d.udp.SrcPort), uint16(d.udp.DstPort)
		packet.Payload = d.udp.Payload
	default:
		return errTransportProtocol
	}
	if d.truncation.set {
		return errTruncated
	}
	packet.Key = flow.NewKey(uint8(protocol), netip.AddrPortFrom(source, sourcePort), netip.AddrPortFrom(destination, destinationPort))
	packet.Hash = packet.Key.Hash()
	return nil
}
