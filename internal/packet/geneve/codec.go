// Package geneve sends and receives callers' IP packets in Geneve frames over UDP (RFC 8926).
//
// A frame holds one IP packet, the inner packet. In frames between balancers and agents, Geneve options also hold a
// flow.Header, encoded as the protobuf message controlpb.PacketHeader. Endpoint receives and sends frames on one UDP
// address; AppendFrame and Decoder encode and decode single frames. The package also builds IP packets with UDP
// datagrams and TCP segments. What happens to a packet is decided by the Handler of an Endpoint.
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
	// OptionClass is the class of the options that hold a flow.Header, from the range for experimental use.
	OptionClass = 0xff01
	// OptionType is the type of the options that hold a flow.Header. Its critical bit is not set, so receivers that do
	// not know the option may skip it.
	OptionType = 1

	baseHeaderSize    = 8
	optionHeaderSize  = 4
	maxOptionDataSize = 31 * 4
	maxOptionsSize    = 63 * 4
	criticalBit       = 0x80
)

// MaxOverhead is the largest number of bytes that AppendFrame adds to an inner packet.
const MaxOverhead = baseHeaderSize + maxOptionsSize

// AppendFrame appends a Geneve frame that holds inner, a whole IP packet, and header. If header is nil, the frame has
// no options.
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
		return dst, errInnerProtocol
	}
	start := len(dst)
	dst = append(dst, 0, 0, byte(protocol>>8), byte(protocol), 0, 0, 0, 0)
	if header != nil {
		if dst, err = appendOptions(dst, header); err != nil {
			return dst[:start], err
		}
		options := len(dst) - start - baseHeaderSize
		if options > maxOptionsSize {
			return dst[:start], errTooLong
		}
		dst[start] = byte(options / 4)
	}
	return append(dst, inner...), nil
}

// appendOptions appends the header in as many options as it needs. Every option but the last is full.
func appendOptions(dst []byte, header *flow.Header) (options []byte, err error) {
	start := len(dst)
	dst, err = appendHeader(append(dst, OptionClass>>8, OptionClass&0xff, OptionType, 0), header)
	if err != nil {
		return dst, err
	}
	// A header with IPv4 addresses fits one option. For each further option of a longer header, the remaining data
	// is moved to insert an option header.
	for len(dst)-start-optionHeaderSize > maxOptionDataSize {
		next := start + optionHeaderSize + maxOptionDataSize
		dst = append(dst, 0, 0, 0, 0)
		copy(dst[next+optionHeaderSize:], dst[next:])
		copy(dst[next:], dst[start:start+optionHeaderSize])
		dst[start+3] = maxOptionDataSize / 4
		start = next
	}
	for (len(dst)-start)%4 != 0 {
		dst = append(dst, 0)
	}
	dst[start+3] = byte((len(dst) - start - optionHeaderSize) / 4)
	return dst, nil
}

// Decoder decodes frames and IP packets without allocating. The zero value is ready to use. It is not safe for
// concurrent use.
type Decoder struct {
	ip4        layers.IPv4
	ip6        layers.IPv6
	tcp        layers.TCP
	udp        layers.UDP
	truncation truncationFlag
	// optionData holds the data of a header that is split over several options.
	optionData [maxOptionsSize]byte
}

// truncationFlag records that gopacket decoded a packet that is shorter than its length fields say.
type truncationFlag struct{ set bool }

// SetTruncated implements gopacket.DecodeFeedback.
func (t *truncationFlag) SetTruncated() { t.set = true }

var _ gopacket.DecodeFeedback = (*truncationFlag)(nil)

// Decode decodes a frame into packet and, if the frame has a header, into header. The packet refers to the memory of
// frame. Errors are of type *Error.
func (d *Decoder) Decode(frame []byte, header *flow.Header, packet *flow.Packet) (hasHeader bool, err error) {
	if len(frame) < baseHeaderSize {
		return false, errShortFrame
	}
	if frame[0]>>6 != 0 {
		return false, errFrameVersion
	}
	if frame[1]&0x80 != 0 {
		return false, errControlFrame
	}
	end := baseHeaderSize + int(frame[0]&0x3f)*4
	if len(frame) < end {
		return false, errShortFrame
	}
	if hasHeader, err = d.decodeOptions(frame[baseHeaderSize:end], header); err != nil {
		return false, err
	}
	inner := frame[end:]
	switch layers.EthernetType(binary.BigEndian.Uint16(frame[2:4])) {
	case layers.EthernetTypeIPv4:
		err = d.decodeIPv4(inner, packet)
	case layers.EthernetTypeIPv6:
		err = d.decodeIPv6(inner, packet)
	default:
		err = errInnerProtocol
	}
	return hasHeader, err
}

// decodeOptions joins the data of the options that hold the header, and decodes it. Other options are skipped unless
// they are critical.
func (d *Decoder) decodeOptions(options []byte, header *flow.Header) (hasHeader bool, err error) {
	var encodedHeader []byte
	optionCount := 0
	for len(options) > 0 {
		if len(options) < optionHeaderSize {
			return false, errOptionLength
		}
		class, optionType := binary.BigEndian.Uint16(options), options[2]
		end := optionHeaderSize + int(options[3]&0x1f)*4
		if len(options) < end {
			return false, errOptionLength
		}
		data := options[optionHeaderSize:end]
		options = options[end:]
		switch {
		case class == OptionClass && optionType == OptionType && optionCount == 0:
			encodedHeader = data
			optionCount++
		case class == OptionClass && optionType == OptionType:
			if optionCount == 1 {
				encodedHeader = append(d.optionData[:0], encodedHeader...)
			}
			encodedHeader = append(encodedHeader, data...)
			optionCount++
		case optionType&criticalBit != 0:
			return false, errCriticalOption
		}
	}
	if optionCount == 0 {
		return false, nil
	}
	return true, parseHeader(encodedHeader, header)
}

// DecodePacket decodes an IP packet. The packet refers to the memory of data. Errors are of type *Error.
func (d *Decoder) DecodePacket(data []byte, packet *flow.Packet) (err error) {
	if len(data) == 0 {
		return errTruncated
	}
	if data[0]>>4 == 6 {
		return d.decodeIPv6(data, packet)
	}
	return d.decodeIPv4(data, packet)
}
