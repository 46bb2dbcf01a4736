package flow

import "net/netip"

// MaxPathLen is the largest number of hops of a path, one for each retained table version.
const MaxPathLen = 4

// MaxPasses is the largest number of times that agents pass a packet on to another agent. A
// packet that would be passed on once more is dropped with ReasonHopLimit.
const MaxPasses = 8

// Kind is what the receiver of a tunnelled packet has to do with it.
type Kind uint8

// The kinds of tunnelled packets. The values are those of controlpb.PacketKind.
const (
	// KindForward is a packet of a caller on its way to the owner of its flow.
	KindForward Kind = iota
	// KindReply is an answer of a backend server that a balancer sends to the caller.
	KindReply
	// KindRefuse makes a balancer refuse a flow to its caller. No byte of the flow has
	// reached a backend server.
	KindRefuse
	// KindReset makes a balancer reset a flow to its caller. A backend server may have run
	// its work.
	KindReset
	// KindHint informs a balancer that the sender owns the flow.
	KindHint
)

// Stage is how far the placement of the first packet of a flow has come. The agents on the
// path look for an owner; the last of them, the deciding agent, selects the host of a flow
// that has none. A slot is room for one request that the backend server works on.
type Stage uint8

// The stages of a placement. The values are those of controlpb.Stage.
const (
	// StageSearch is a packet whose owner the agents on the path look for.
	StageSearch Stage = iota
	// StageGrant is a packet whose flow the deciding agent gave to the receiver.
	StageGrant
	// StageOffer is a packet whose flow an agent without a free slot offers to the receiver.
	// The receiver takes the flow if it has a free slot, queues it if its own load is below
	// OfferLoad, and otherwise returns the packet.
	StageOffer
	// StageFinal is a packet whose offer was declined and which comes back: the receiver
	// takes, queues or refuses the flow.
	StageFinal
)

// Hop is one agent on a path: the first choice of table version RoleVersion, or of several
// successive versions, of which RoleVersion is the oldest. Address is its data address.
type Hop struct {
	Address     netip.AddrPort
	RoleVersion uint64
}

// Header is the header of a tunnelled packet between balancers and agents. Its encoding is
// the message PacketHeader of package controlpb.
type Header struct {
	ServiceID uint32
	Kind      Kind
	Stage     Stage
	// Version is the newest table version that the path was made with.
	Version uint64
	// Path holds PathLen hops, from the newest to the oldest retained version.
	Path    [MaxPathLen]Hop
	PathLen int
	// SecondChoice is the data address of the second choice in Version. It is the zero
	// value when there is none, as in a service with one host.
	SecondChoice netip.AddrPort
	// Hop is the index of the receiver in Path.
	Hop int
	// Passes is the number of times that agents passed the packet on to another agent.
	Passes int
	// FirstSuspected is set when the second choice replaces the first choice of Version in
	// Path, since the first choice is suspected to be dead.
	FirstSuspected bool
	// Hinted is set when a balancer selected the receiver by its hint cache.
	Hinted bool
	// Asserted is set when the sender has a directory entry that names the receiver as the
	// owner of the flow.
	Asserted bool
	// LocalPort is the port that the owner uses for the flow toward its backend server, or
	// 0 if it is unknown. It is set only with Asserted: an owner that restarted needs the
	// port before its peers have reported the flow.
	LocalPort uint16
	// ReturnAddress is the data address of the balancer that gets replies and hints.
	ReturnAddress netip.AddrPort
	// OfferLoad is set with StageOffer. It is the load of the offering agent: its work in
	// progress and in the queue, including this flow, divided by the effective weight of
	// its host, in thousandths.
	OfferLoad uint32
}

// Reset sets all fields but Path and PathLen to their zero values, so that the header can be
// used again. The path, which is most of the size of a header, is left as it is: the code
// that sets the next path overwrites the hops and clears those beyond its length.
func (h *Header) Reset() {
	h.ServiceID, h.Kind, h.Stage, h.Version = 0, KindForward, StageSearch, 0
	h.SecondChoice, h.ReturnAddress = netip.AddrPort{}, netip.AddrPort{}
	h.Hop, h.Passes, h.LocalPort, h.OfferLoad = 0, 0, 0, 0
	h.FirstSuspected, h.Hinted, h.Asserted = false, false, false
}

// Packet is one decoded packet of a caller.
type Packet struct {
	Key Key
	// Hash is Key.Hash(), computed once when the packet is decoded.
	Hash uint64
	// SYN, FIN and RST are the TCP flags, except that SYN is set only without ACK. They are
	// false for other protocols.
	SYN, FIN, RST bool
	// Payload is the transport payload, a slice of Data.
	Payload []byte
	// Data is the whole IP packet of the caller. A receiver that keeps it makes
	// a copy.
	Data []byte
}
