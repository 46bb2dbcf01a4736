package flow

import "net/netip"

// MaxPathLen is the most hops a path has, one for each retained table version.
const MaxPathLen = 4

// MaxPasses is the most times agents pass one packet on.
const MaxPasses = 8

// Kind says what a tunnelled packet asks of its receiver.
type Kind uint8

// The kinds of tunnelled packets. The values are those of controlpb.PacketKind.
const (
	KindForward Kind = iota
	KindReply
	KindRefuse
	KindReset
	KindHint
)

// Stage says how far the placement of a first packet has come.
type Stage uint8

// The stages of a placement. The values are those of controlpb.Stage.
const (
	StageSearch Stage = iota
	StageGrant
	StageOffer
	StageFinal
)

// Hop is one agent on a path, the first choice of table version RoleVersion.
type Hop struct {
	Address     netip.AddrPort
	RoleVersion uint64
}

// Header travels with each packet between balancers and agents.
type Header struct {
	ServiceID uint32
	Kind      Kind
	Stage     Stage
	// Version is the newest table version of the path.
	Version uint64
	// Path holds PathLen hops from the newest to the oldest retained version.
	Path    [MaxPathLen]Hop
	PathLen int
	// SecondChoice is the zero value when the service has one host.
	SecondChoice netip.AddrPort
	// Hop is the index in Path of the receiver.
	Hop int
	// Passes counts how often agents passed the packet on.
	Passes int
	// FirstSuspected is set when the balancer skipped the first choice.
	FirstSuspected bool
	// Hinted is set when a balancer sent the packet to a cached owner.
	Hinted bool
	// Asserted is set when a directory entry names the receiver as the owner.
	Asserted bool
	// LocalPort is the local port of the flow at an asserted owner, or 0. An owner
	// that restarted needs it before its peers have reported.
	LocalPort uint16
	// ReturnAddress is the data address of the balancer.
	ReturnAddress netip.AddrPort
	// OfferLoad is the load of the offering agent: work in progress and queued,
	// with this flow, in thousandths of its effective weight.
	OfferLoad uint32
}

// Reset clears a header so that it can be used again, but for the hops. They are
// most of its size: whoever sets the path writes them and clears the rest.
func (h *Header) Reset() {
	h.ServiceID, h.Kind, h.Stage, h.Version = 0, KindForward, StageSearch, 0
	h.SecondChoice, h.ReturnAddress = netip.AddrPort{}, netip.AddrPort{}
	h.Hop, h.Passes, h.LocalPort, h.OfferLoad = 0, 0, 0, 0
	h.FirstSuspected, h.Hinted, h.Asserted = false, false, false
}

// Packet is one packet of a caller.
type Packet struct {
	Key Key
	// Hash is Key.Hash(), computed once when the packet is decoded.
	Hash uint64
	// SYN, FIN and RST are TCP flags; SYN is set only without ACK.
	SYN, FIN, RST bool
	// Payload is the transport payload; it lies inside Data.
	Payload []byte
	// Data is the whole inner IP packet. A receiver that keeps it makes a copy.
	Data []byte
}
