package geneve

import (
	"encoding/binary"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"agateramp/internal/core/flow"
)

// Field numbers of controlpb.PacketHeader and controlpb.Hop. The header is encoded and decoded by hand, because the
// generated code allocates memory for each message.
const (
	fieldServiceID      = 1
	fieldKind           = 2
	fieldStage          = 3
	fieldVersion        = 4
	fieldPath           = 5
	fieldSecondChoice   = 6
	fieldHop            = 7
	fieldPasses         = 8
	fieldFirstSuspected = 9
	fieldHinted         = 10
	fieldReturnAddress  = 11
	fieldOfferLoad      = 12
	fieldAsserted       = 13
	fieldLocalPort      = 14

	fieldHopAddress     = 1
	fieldHopRoleVersion = 2
)

// maxHop is the largest value of flow.Header.Hop. It allows for a hop after the end of the path, the second choice.
const maxHop = flow.MaxPathLen + 1

// AppendAddress appends an address in the form of the address fields of protobuf messages: 4 or 16 bytes of IP
// address and 2 bytes of port, in network byte order. It appends nothing for the zero value.
func AppendAddress(dst []byte, address netip.AddrPort) []byte {
	ip := address.Addr().Unmap()
	switch {
	case ip.Is4():
		b := ip.As4()
		dst = append(dst, b[:]...)
	case ip.Is6():
		b := ip.As16()
		dst = append(dst, b[:]...)
	default:
		return dst
	}
	return binary.BigEndian.AppendUint16(dst, address.Port())
}

// ParseAddress decodes an address that AppendAddress encoded. It returns the zero value if b is empty.
func ParseAddress(b []byte) (address netip.AddrPort, err error) {
	switch len(b) {
	case 0:
		return netip.AddrPort{}, nil
	case 6:
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:])), nil
	case 18:
		return netip.AddrPortFrom(netip.AddrFrom16([16]byte(b)).Unmap(), binary.BigEndian.Uint16(b[16:])), nil
	}
	return netip.AddrPort{}, errPacketHeader
}

// addressSize returns the number of bytes that AppendAddress appends.
func addressSize(address netip.AddrPort) int {
	switch ip := address.Addr(); {
	case !ip.IsValid():
		return 0
	case ip.Unmap().Is4():
		return 6
	}
	return 18
}

// appendTag appends the tag of a field. The tags of all fields used here fit one byte.
func appendTag(dst []byte, number protowire.Number, wireType protowire.Type) []byte {
	return append(dst, byte(number)<<3|byte(wireType))
}

// appendVarint appends a varint field. As proto3 requires, it appends nothing for 0.
func appendVarint(dst []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return dst
	}
	return binary.AppendUvarint(appendTag(dst, number, protowire.VarintType), value)
}

func appendBool(dst []byte, number protowire.Number, value bool) []byte {
	if !value {
		return dst
	}
	return appendVarint(dst, number, 1)
}

func appendAddressField(dst []byte, number protowire.Number, address netip.AddrPort) []byte {
	size := addressSize(address)
	if size == 0 {
		return dst
	}
	return AppendAddress(append(appendTag(dst, number, protowire.BytesType), byte(size)), address)
}

// appendHop appends an element of the path field.
func appendHop(dst []byte, hop *flow.Hop) []byte {
	dst = append(appendTag(dst, fieldPath, protowire.BytesType), 0)
	start := len(dst)
	dst = appendAddressField(dst, fieldHopAddress, hop.Address)
	dst = appendVarint(dst, fieldHopRoleVersion, hop.RoleVersion)
	// A hop takes at most 31 bytes, so its length fits one byte.
	dst[start-1] = byte(len(dst) - start)
	return dst
}

// appendHeader appends h encoded as controlpb.PacketHeader.
func appendHeader(dst []byte, h *flow.Header) ([]byte, error) {
	if h.PathLen < 0 || h.PathLen > flow.MaxPathLen || h.Hop < 0 || h.Hop > maxHop || h.Passes < 0 {
		return dst, errPacketHeaderValue
	}
	dst = appendVarint(dst, fieldServiceID, uint64(h.ServiceID))
	dst = appendVarint(dst, fieldKind, uint64(h.Kind))
	dst = appendVarint(dst, fieldStage, uint64(h.Stage))
	dst = appendVarint(dst, fieldVersion, h.Version)
	for i := range h.PathLen {
		dst = appendHop(dst, &h.Path[i])
	}
	dst = appendAddressField(dst, fieldSecondChoice, h.SecondChoice)
	dst = appendVarint(dst, fieldHop, uint64(h.Hop))
	dst = appendVarint(dst, fieldPasses, uint64(h.Passes))
	dst = appendBool(dst, fieldFirstSuspected, h.FirstSuspected)
	dst = appendBool(dst, fieldHinted, h.Hinted)
	dst = appendAddressField(dst, fieldReturnAddress, h.ReturnAddress)
	dst = appendVarint(dst, fieldOfferLoad, uint64(h.OfferLoad))
	dst = appendBool(dst, fieldAsserted, h.Asserted)
	return appendVarint(dst, fieldLocalPort, uint64(h.LocalPort)), nil
}

// field is a decoded field of a protobuf message. Varint fields set varint, length-delimited fields set data.
type field struct {
	number   protowire.Number
	wireType protowire.Type
	varint   uint64
	data     []byte
}

// nextField decodes the field at the start of b into f and returns the bytes after it.
func nextField(b []byte, f *field) (rest []byte, err error) {
	// Fast path: the tags of known fields, most varints and all lengths fit one byte.
	if len(b) >= 2 && b[0] < 0x80 && b[0] >= 8 && b[1] < 0x80 {
		value, end := int(b[1]), 2
		switch f.number, f.wireType = protowire.Number(b[0]>>3), protowire.Type(b[0]&7); f.wireType {
		case protowire.VarintType:
			f.varint = uint64(value)
			return b[end:], nil
		case protowire.BytesType:
			if len(b)-end < value {
				return nil, errPacketHeader
			}
			f.data = b[end : end+value]
			return b[end+value:], nil
		}
	}
	number, wireType, n := protowire.ConsumeTag(b)
	if n < 0 {
		return nil, errPacketHeader
	}
	b = b[n:]
	f.number, f.wireType = number, wireType
	switch wireType {
	case protowire.VarintType:
		f.varint, n = protowire.ConsumeVarint(b)
	case protowire.BytesType:
		f.data, n = protowire.ConsumeBytes(b)
	default:
		n = protowire.ConsumeFieldValue(number, wireType, b)
	}
	if n < 0 {
		return nil, errPacketHeader
	}
	return b[n:], nil
}

// parseHeader decodes a controlpb.PacketHeader followed by at most 3 zero bytes, the padding of the last option. No
// field starts with a zero byte, so a zero byte ends the message.
func parseHeader(b []byte, h *flow.Header) error {
	*h = flow.Header{}
	var f field
	var err error
	for len(b) > 0 && b[0] != 0 {
		if b, err = nextField(b, &f); err != nil {
			return err
		}
		if f.wireType == protowire.VarintType {
			err = setVarintField(h, f.number, f.varint)
		} else if f.wireType == protowire.BytesType {
			err = setBytesField(h, f.number, f.data)
		}
		if err != nil {
			return err
		}
	}
	if len(b) >= 4 {
		return errPacketHeader
	}
	for _, padding := range b {
		if padding != 0 {
			return errPacketHeader
		}
	}
	return nil
}

// setVarintField sets the field of h that has a protobuf field number. Unknown fields are ignored.
func setVarintField(h *flow.Header, number protowire.Number, value uint64) error {
	limit := uint64(1<<64 - 1)
	switch number {
	case fieldServiceID:
		h.ServiceID, limit = uint32(value), 1<<32-1
	case fieldKind:
		h.Kind, limit = flow.Kind(value), uint64(flow.KindHint)
	case fieldStage:
		h.Stage, limit = flow.Stage(value), uint64(flow.StageFinal)
	case fieldVersion:
		h.Version = value
	case fieldHop:
		h.Hop, limit = int(value), maxHop
	case fieldPasses:
		h.Passes, limit = int(value), 1<<16
	case fieldFirstSuspected:
		h.FirstSuspected = value != 0
	case fieldHinted:
		h.Hinted = value != 0
	case fieldOfferLoad:
		h.OfferLoad, limit = uint32(value), 1<<32-1
	case fieldAsserted:
		h.Asserted = value != 0
	case fieldLocalPort:
		h.LocalPort, limit = uint16(value), 1<<16-1
	}
	if value > limit {
		return errPacketHeaderValue
	}
	return nil
}

// setBytesField sets the field of h that has a protobuf field number. Unknown fields are ignored.
func setBytesField(h *flow.Header, number protowire.Number, value []byte) (err error) {
	switch number {
	case fieldPath:
		if h.PathLen == flow.MaxPathLen {
			return errPacketHeaderValue
		}
		if err = parseHop(value, &h.Path[h.PathLen]); err != nil {
			return err
		}
		h.PathLen++
	case fieldSecondChoice:
		h.SecondChoice, err = ParseAddress(value)
	case fieldReturnAddress:
		h.ReturnAddress, err = ParseAddress(value)
	}
	return err
}

// parseHop decodes a controlpb.Hop into hop.
func parseHop(b []byte, hop *flow.Hop) (err error) {
	var f field
	for len(b) > 0 {
		if b, err = nextField(b, &f); err != nil {
			return err
		}
		switch {
		case f.number == fieldHopAddress && f.wireType == protowire.BytesType:
			if hop.Address, err = ParseAddress(f.data); err != nil {
				return err
			}
		case f.number == fieldHopRoleVersion && f.wireType == protowire.VarintType:
			hop.RoleVersion = f.varint
		}
	}
	return nil
}
