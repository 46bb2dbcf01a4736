package owner

import (
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// portSize is the number of bytes of a port in an encoded address.
const portSize = 2

// encodeAddress returns the 4 or 16 bytes of the IP address followed by the port.
func encodeAddress(a netip.AddrPort) []byte {
	b := a.Addr().Unmap().AsSlice()
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// decodeAddress decodes the result of encodeAddress.
func decodeAddress(b []byte) (a netip.AddrPort, err error) {
	if len(b) < portSize {
		return a, errors.Errorf("address has %d bytes, want 6 or 18", len(b))
	}
	ip, ok := netip.AddrFromSlice(b[:len(b)-portSize])
	if !ok {
		return a, errors.Errorf("address has %d bytes, want 6 or 18", len(b))
	}
	return netip.AddrPortFrom(ip.Unmap(), binary.BigEndian.Uint16(b[len(b)-portSize:])), nil
}

// encodeKey returns the message for the key of a flow.
func encodeKey(k flow.Key) *controlpb.FlowKey {
	return &controlpb.FlowKey{
		Protocol:    uint32(k.Protocol()),
		Source:      encodeAddress(k.Source()),
		Destination: encodeAddress(k.Destination()),
	}
}

// decodeKey returns the key of a flow in a message, or an error if the message is not valid.
func decodeKey(m *controlpb.FlowKey) (k flow.Key, err error) {
	if m.GetProtocol() > 255 {
		return k, errors.Errorf("protocol is %d, want at most 255", m.GetProtocol())
	}
	source, err := decodeAddress(m.GetSource())
	if err != nil {
		return k, errors.Wrap(err, "source")
	}
	destination, err := decodeAddress(m.GetDestination())
	if err != nil {
		return k, errors.Wrap(err, "destination")
	}
	return flow.NewKey(uint8(m.GetProtocol()), source, destination), nil
}
