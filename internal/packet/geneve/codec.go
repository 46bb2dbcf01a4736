// Package geneve carries callers' IP packets in Geneve over UDP (RFC 8926) and
// with them the header that balancers and agents exchange.
package geneve

import (
	"encoding/binary"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"agateramp/internal/core/flow"
)

const (
	// UDPPort is the port that RFC 8926 assigns to Geneve.
	UDPPort = 6081
	// OptionClass is the class of the option that carries the header; it lies in
	// the range for experiments.
	OptionClass = 0xff01
	// OptionType is the type of the option that carries the header. Its critical
	// bit is not set, so receivers that don't know it may skip it.
	OptionType = 1

	baseSize       = 8
	optionHeadSize = 4
	maxOptionData  = 31 * 4
	maxOptions     = 63 * 4
	criticalType   = 0x80
)

// MaxOverhead is the most bytes that AppendFrame adds to an inner packet.
const MaxOverhead = baseSize + maxOptions

// AppendFrame appends a Geneve frame with inner, a whole IP packet, and with
// header unless it is nil.
func AppendFrame(dst []byte, header *flow.Header, inner []byte) (frame []byte, err error) {
	if len(inner) == 0 {
		return dst, errTruncated
	}
	protocol := layers.EthernetTypeIPv4
	switch inner[0] >> 4 {
	case 4:
	case 6:
		protocol = layers.EthernetTypeIPv6
	default:
		return dst, errProtocol
	}
	start := len(dst)
	dst = append(dst, 0, 0, byte(protocol>>8), byte(protocol), 0, 0, 0, 0)
	if header != nil {
		if dst, err = appendOptions(dst, header); err != nil {
			return dst[:start], err
		}
		options := len(dst) - start - baseSize
		if options > maxOptions {
			return dst[:start], errTooLong
		}
		dst[start] = byte(options / 4)
	}
	return append(dst, inner...), nil
}

// appendOptions appends the header, split so that every option but the last is full.
func appendOptions(dst []byte, header *flow.Header) (options []byte, err error) {
	start := len(dst)
	dst, err = appendHeader(append(dst, OptionClass>>8, OptionClass&0xff, OptionType, 0), header)
	if err != nil {
		return dst, err
	}
	// Headers of IPv4 hosts fit one option; a longer one makes place for each
	// further option head.
	for len(dst)-start-optionHeadSize > maxOptionData {
		next := start + optionHeadSize + maxOptionData
		dst = append(dst, 0, 0, 0, 0)
		copy(dst[next+optionHeadSize:], dst[next:])
		copy(dst[next:], dst[start:start+optionHeadSize])
		dst[start+3] = maxOptionData / 4
		start = next
	}
	for (len(dst)-start)%4 != 0 {
		dst = append(dst, 0)
	}
	dst[start+3] = byte((len(dst) - start - optionHeadSize) / 4)
	return dst, nil
}

// Decoder decodes frames without allocating. It is not safe for concurrent use.
type Decoder struct {
	ip4    layers.IPv4
	ip6    layers.IPv6
	tcp    layers.TCP
	udp    layers.UDP
	cut    truncation
	joined [maxOptions]byte
}

// truncation records that gopacket met a packet shorter than its lengths say.
type truncation struct{ seen bool }

// SetTruncated implements gopacket.DecodeFeedback.
func (t *truncation) SetTruncated() { t.seen = true }

var _ gopacket.DecodeFeedback = (*truncation)(nil)

// Decode reads a frame. It sets header and reports true if the frame carries
// one. The packet refers to the memory of frame.
func (d *Decoder) Decode(frame []byte, header *flow.Header, packet *flow.Packet) (withHeader bool, err error) {
	if len(frame) < baseSize {
		return false, errShortFrame
	}
	if frame[0]>>6 != 0 {
		return false, errFrameVersion
	}
	if frame[1]&0x80 != 0 {
		return false, errControlFrame
	}
	end := baseSize + int(frame[0]&0x3f)*4
	if len(frame) < end {
		return false, errShortFrame
	}
	if withHeader, err = d.decodeOptions(frame[baseSize:end], header); err != nil {
		return false, err
	}
	inner := frame[end:]
	switch layers.EthernetType(binary.BigEndian.Uint16(frame[2:4])) {
	case layers.EthernetTypeIPv4:
		err = d.decodeIPv4(inner, packet)
	case layers.EthernetTypeIPv6:
		err = d.decodeIPv6(inner, packet)
	default:
		err = errProtocol
	}
	return withHeader, err
}

func (d *Decoder) decodeOptions(options []byte, header *flow.Header) (found bool, err error) {
	var message []byte
	parts := 0
	for len(options) > 0 {
		if len(options) < optionHeadSize {
			return false, errOption
		}
		class, kind := binary.BigEndian.Uint16(options), options[2]
		end := optionHeadSize + int(options[3]&0x1f)*4
		if len(options) < end {
			return false, errOption
		}
		data := options[optionHeadSize:end]
		options = options[end:]
		switch {
		case class == OptionClass && kind == OptionType && parts == 0:
			message = data
			parts++
		case class == OptionClass && kind == OptionType:
			if parts == 1 {
				message = append(d.joined[:0], message...)
			}
			message = append(message, data...)
			parts++
		case kind&criticalType != 0:
			return false, errCriticalOption
		}
	}
	if parts == 0 {
		return false, nil
	}
	return true, parseHeader(message, header)
}

// DecodePacket reads an IP packet. The packet refers to the memory of data.
func (d *Decoder) DecodePacket(data []byte, packet *flow.Packet) (err error) {
	if len(data) == 0 {
		return errTruncated
	}
	if data[0]>>4 == 6 {
		return d.decodeIPv6(data, packet)
	}
	return d.decodeIPv4(data, packet)
}
