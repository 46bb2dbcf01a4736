package geneve

import (
	"encoding/binary"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"agateramp/internal/core/flow"
)

// Field numbers of controlpb.PacketHeader and controlpb.Hop. The header is
// encoded with protowire because generated code allocates for each message.
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

// maxHop allows for a receiver after the end of the path, which is the second choice.
const maxHop = flow.MaxPathLen + 1

// AppendAddress appends the 4 or 16 address bytes and 2 port bytes that address
// fields of messages hold. It appends nothing for the zero value.
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

// ParseAddress is the reverse of AppendAddress. Empty input gives the zero value.
func ParseAddress(b []byte) (address netip.AddrPort, err error) {
	switch len(b) {
	case 0:
		return netip.AddrPort{}, nil
	case 6:
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:])), nil
	case 18:
		return netip.AddrPortFrom(netip.AddrFrom16([16]byte(b)).Unmap(), binary.BigEndian.Uint16(b[16:])), nil
	}
	return netip.AddrPort{}, errHeader
}

func addressSize(address netip.AddrPort) int {
	switch ip := address.Addr(); {
	case !ip.IsValid():
		return 0
	case ip.Unmap().Is4():
		return 6
	}
	return 18
}

// appendTag appends the tag of a field; those of all fields fit one byte.
func appendTag(dst []byte, field protowire.Number, kind protowire.Type) []byte {
	return append(dst, byte(field)<<3|byte(kind))
}

func appendVarint(dst []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return dst
	}
	return binary.AppendUvarint(appendTag(dst, field, protowire.VarintType), value)
}

func appendBool(dst []byte, field protowire.Number, value bool) []byte {
	if !value {
		return dst
	}
	return appendVarint(dst, field, 1)
}

func appendAddressField(dst []byte, field protowire.Number, address netip.AddrPort) []byte {
	size := addressSize(address)
	if size == 0 {
		return dst
	}
	return AppendAddress(append(appendTag(dst, field, protowire.BytesType), byte(size)), address)
}

func appendHop(dst []byte, hop *flow.Hop) []byte {
	dst = append(appendTag(dst, fieldPath, protowire.BytesType), 0)
	start := len(dst)
	dst = appendAddressField(dst, fieldHopAddress, hop.Address)
	dst = appendVarint(dst, fieldHopRoleVersion, hop.RoleVersion)
	// A hop takes at most 31 bytes, so its length fits one byte.
	dst[start-1] = byte(len(dst) - start)
	return dst
}

// appendHeader appends the PacketHeader message.
func appendHeader(dst []byte, h *flow.Header) ([]byte, error) {
	if h.PathLen < 0 || h.PathLen > flow.MaxPathLen || h.Hop < 0 || h.Hop > maxHop || h.Passes < 0 {
		return dst, errHeaderValue
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

// field is one decoded field; number is set for varint fields, data for bytes.
type field struct {
	id     protowire.Number
	kind   protowire.Type
	number uint64
	data   []byte
}

// nextField reads a field and returns the bytes after it.
func nextField(b []byte, f *field) (rest []byte, err error) {
	// Tags of known fields, most numbers and all lengths fit one byte.
	if len(b) >= 2 && b[0] < 0x80 && b[0] >= 8 && b[1] < 0x80 {
		value, end := int(b[1]), 2
		switch f.id, f.kind = protowire.Number(b[0]>>3), protowire.Type(b[0]&7); f.kind {
		case protowire.VarintType:
			f.number = uint64(value)
			return b[end:], nil
		case protowire.BytesType:
			if len(b)-end < value {
				return nil, errHeader
			}
			f.data = b[end : end+value]
			return b[end+value:], nil
		}
	}
	id, kind, n := protowire.ConsumeTag(b)
	if n < 0 {
		return nil, errHeader
	}
	b = b[n:]
	f.id, f.kind = id, kind
	switch kind {
	case protowire.VarintType:
		f.number, n = protowire.ConsumeVarint(b)
	case protowire.BytesType:
		f.data, n = protowire.ConsumeBytes(b)
	default:
		n = protowire.ConsumeFieldValue(id, kind, b)
	}
	if n < 0 {
		return nil, errHeader
	}
	return b[n:], nil
}

// parseHeader reads a PacketHeader followed by at most 3 zero bytes. No field
// starts with a zero byte, so a zero byte ends the message.
func parseHeader(b []byte, h *flow.Header) error {
	*h = flow.Header{}
	var f field
	var err error
	for len(b) > 0 && b[0] != 0 {
		if b, err = nextField(b, &f); err != nil {
			return err
		}
		if f.kind == protowire.VarintType {
			err = setNumber(h, f.id, f.number)
		} else if f.kind == protowire.BytesType {
			err = setBytes(h, f.id, f.data)
		}
		if err != nil {
			return err
		}
	}
	if len(b) >= 4 {
		return errHeader
	}
	for _, padding := range b {
		if padding != 0 {
			return errHeader
		}
	}
	return nil
}

func setNumber(h *flow.Header, id protowire.Number, value uint64) error {
	limit := uint64(1<<64 - 1)
	switch id {
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
		return errHeaderValue
	}
	return nil
}

func setBytes(h *flow.Header, id protowire.Number, value []byte) (err error) {
	switch id {
	case fieldPath:
		if h.PathLen == flow.MaxPathLen {
			return errHeaderValue
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

func parseHop(b []byte, hop *flow.Hop) (err error) {
	var f field
	for len(b) > 0 {
		if b, err = nextField(b, &f); err != nil {
			return err
		}
		switch {
		case f.id == fieldHopAddress && f.kind == protowire.BytesType:
			if hop.Address, err = ParseAddress(f.data); err != nil {
				return err
			}
		case f.id == fieldHopRoleVersion && f.kind == protowire.VarintType:
			hop.RoleVersion = f.number
		}
	}
	return nil
}
