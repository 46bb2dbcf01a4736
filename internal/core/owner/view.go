package owner

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
	"agateramp/internal/core/table"
)

const (
	protocolTCP = 6

	ipv4Version       = 4
	ipv6HeaderSize    = 40
	tcpSequenceOffset = 4
)

// view is the compiled form of a table spec. It does not change once it is stored.
type view struct {
	// versions holds a table of each retained version, newest first.
	versions []*table.Table
	// table is compiled from all retained versions.
	table             *table.Table
	idempotent        bool
	firstPacket       controlpb.FirstPacket
	firstPacketPrefix []byte
	// idleTimeoutMS is how long a flow may be idle, in milliseconds. 0 means
	// defaultIdleTimeout.
	idleTimeoutMS uint32
	// resetsAfter is the time from which unknown flows are reset, in nanoseconds since 1970.
	resetsAfter int64
	// queueDeadlineMS is how long a flow may wait for a slot, in milliseconds.
	queueDeadlineMS uint32
}

// idleTimeout returns how long a flow may be idle.
func (v *view) idleTimeout() time.Duration {
	if v.idleTimeoutMS == 0 {
		return defaultIdleTimeout
	}
	return time.Duration(v.idleTimeoutMS) * time.Millisecond
}

// queueDeadline returns how long a flow may wait for a slot. 0 means that flows are not
// queued.
func (v *view) queueDeadline() time.Duration {
	return time.Duration(v.queueDeadlineMS) * time.Millisecond
}

// newView compiles a table spec, or returns an error if the spec is not valid.
func newView(spec *controlpb.TableSpec) (v *view, err error) {
	t, err := table.Build(spec)
	if err != nil {
		return nil, err
	}
	s := t.Service()
	v = &view{
		table:             t,
		idempotent:        s.GetIdempotent(),
		firstPacket:       s.GetFirstPacket(),
		firstPacketPrefix: s.GetFirstPacketPrefix(),
		idleTimeoutMS:     s.GetIdleTimeoutMs(),
		queueDeadlineMS:   s.GetQueueDeadlineMs(),
	}
	for _, version := range spec.GetVersions() {
		single, err := table.Build(&controlpb.TableSpec{
			ServiceId: spec.GetServiceId(), ConfigVersion: spec.GetConfigVersion(),
			Versions: []*controlpb.TableVersion{version},
		})
		if err != nil {
			return nil, err
		}
		v.versions = append(v.versions, single)
	}
	return v, nil
}

// supersedes reports whether v replaces old, which may be nil. When a version is retired,
// the number of the oldest retained version rises and that of the newest stays the same.
func (v *view) supersedes(old *view) bool {
	if old == nil || v.table.ServiceID() != old.table.ServiceID() {
		return true
	}
	if v.table.Version() != old.table.Version() {
		return v.table.Version() > old.table.Version()
	}
	if v.table.OldestVersion() != old.table.OldestVersion() {
		return v.table.OldestVersion() > old.table.OldestVersion()
	}
	return v.table.ConfigVersion() > old.table.ConfigVersion()
}

// canStartFlow reports whether a packet can be the first of a flow.
func (v *view) canStartFlow(p *flow.Packet) bool {
	switch v.firstPacket {
	case controlpb.FirstPacket_FIRST_PACKET_SYN:
		return p.SYN
	case controlpb.FirstPacket_FIRST_PACKET_PREFIX:
		return bytes.HasPrefix(p.Payload, v.firstPacketPrefix)
	default:
		return true
	}
}

// startsNewFlow reports whether a first packet starts a new flow on the key of e rather
// than belonging to the flow of e. A SYN does so only after the caller closed the old
// flow, or if the old flow was adopted, since only established flows are adopted. If any
// packet can be a first packet, one on an owned flow belongs to that flow.
func (v *view) startsNewFlow(e *entry, digest uint32) bool {
	if digest == e.digests[0] {
		return false
	}
	switch v.firstPacket {
	case controlpb.FirstPacket_FIRST_PACKET_SYN:
		return e.state != stateOwned || e.has(flagCallerClosed) || e.digests[0] == 0
	case controlpb.FirstPacket_FIRST_PACKET_PREFIX:
		// The first packet of an adopted flow is unknown, so a copy of it looks like
		// new work.
		return e.digests[0] != 0 || v.idempotent
	default:
		return e.state != stateOwned
	}
}

// digestOf returns a digest of a first packet, which is not 0. Flows that use the same
// key one after the other have different digests.
func digestOf(p *flow.Packet) uint32 {
	digest, ok := uint32(0), false
	if p.Key.Protocol() == protocolTCP {
		digest, ok = tcpSequence(p.Data)
	}
	if !ok {
		digest = uint32(xxhash.Sum64(p.Payload))
	}
	if digest == 0 {
		return 1
	}
	return digest
}

// tcpSequence returns the TCP sequence number of an IP packet, or false if the packet is
// too short.
func tcpSequence(data []byte) (sequence uint32, ok bool) {
	if len(data) == 0 {
		return 0, false
	}
	offset := ipv6HeaderSize
	if data[0]>>4 == ipv4Version {
		offset = int(data[0]&0x0f) * 4
	}
	offset += tcpSequenceOffset
	if len(data) < offset+4 {
		return 0, false
	}
	return binary.BigEndian.Uint32(data[offset:]), true
}
