package config

import (
	"agateramp/internal/control/controlpb"
)

// IP protocol numbers.
const (
	protocolTCP = 6
	protocolUDP = 17
)

// Definition returns a service as control messages carry it, with the given service
// id, or nil if the document has no service of that name.
func (d *Document) Definition(name string, id uint32) *controlpb.Service {
	s, ok := d.Services[name]
	if !ok {
		return nil
	}
	out := &controlpb.Service{
		Id: id, Name: name, Idempotent: s.Idempotent, FirstPacketPrefix: decodeHex(s.PrefixHex),
		Refusal: decodeHex(s.RefusalHex), QueueDeadlineMs: s.QueueDeadlineMS,
		IdleTimeoutMs: s.IdleTimeoutMS, DrainTimeMs: s.DrainTimeMS,
	}
	switch s.FirstPacket {
	case firstPacketAny:
		out.FirstPacket = controlpb.FirstPacket_FIRST_PACKET_ANY
	case firstPacketPrefix:
		out.FirstPacket = controlpb.FirstPacket_FIRST_PACKET_PREFIX
	}
	for _, a := range s.Addresses {
		// checkSemantics has validated every address.
		address, _ := parseAddress(a.Address)
		protocol := uint32(protocolUDP)
		if a.Protocol == "tcp" {
			protocol = protocolTCP
		}
		out.Addresses = append(out.Addresses, &controlpb.ServiceAddress{Address: address.String(), Protocol: protocol})
	}
	return out
}
