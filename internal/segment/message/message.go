// Package message encodes and decodes the control messages that balancers and agents exchange in UDP datagrams. The
// packets of flows travel apart from them; only Returned carries such a packet.
//
// Each datagram holds one protobuf message of package datapathpb. Addresses of flows are IPv4 addresses. Sockets and
// the handling of messages are left to other packages.
package message

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"agateramp/internal/core/flow"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/segment/datapathpb"
	"agateramp/internal/segment/evacuation"
	"agateramp/internal/segment/hosthealth"
	"agateramp/internal/segment/packet"
)

// Message is the content of one datagram: a Hello, Status, Accepted, Returned, Lookup, Located or Digest.
type Message interface{ message() }

// Hello is the request of a balancer for an agent's Status.
type Hello struct {
	// ConfigVersion is the version of the configuration that the balancer has in force, or 0 if it does not report one.
	ConfigVersion uint64
	// Unlisted is set if the store has no entry of the agent although the balancer's list of entries is current.
	Unlisted bool
	// Evacuations is the newest state that the balancer has. The zero value means that it does not report one.
	Evacuations evacuation.State
	// ColdRate is how many new flows a second a cold host of the agent's service bears by the configuration; 0 states no
	// limit. It is valid only if ColdRateKnown is set.
	ColdRate      float64
	ColdRateKnown bool
	// UsualLatency is the usual latency at the hosts of the agent's service, or 0 if it is not known.
	UsualLatency time.Duration
}

// Status is an agent's report on itself and its host.
type Status struct {
	Node, Service, DataCentre string
	State                     packet.HostState
	Load                      packet.Load
	// ColdRemaining is how much longer the host is slow after its start.
	ColdRemaining time.Duration
	// Balancers are some of the balancers that sent a Hello to the agent recently.
	Balancers []netip.Addr
	// ConfigVersion is the newest configuration version that the agent has received in a Hello, and ConfigHolder
	// a balancer that has that configuration. Before the first Hello, ConfigHolder is the zero Addr.
	ConfigVersion uint64
	ConfigHolder  netip.Addr
	// Stopping is set while the agent shuts down, usually for a restart.
	Stopping bool
	// Run names the run of the agent; 0 means that it is not known.
	Run uint64
	// Evacuations is the newest state that the agent has. The zero value means that it has none, or that the Hello which
	// this answers had one that is as new.
	Evacuations evacuation.State
}

// Accepted is an agent's notice to a balancer that its host holds a flow.
type Accepted struct {
	Flow flow.Key
	// Sequence is the host's initial sequence number. It is valid only if Handshake is set, that is, if the host has
	// just answered the first packet.
	Sequence  uint32
	Handshake bool
	Load      packet.Load
}

// Returned carries a packet that an agent did not accept back to the balancer that sent it.
type Returned struct {
	Reason packet.ReturnReason
	Packet []byte
	Load   packet.Load
	// Evacuations is the newest state that the agent has. It is set only if Reason is packet.ReturnEvacuated.
	Evacuations evacuation.State
}

// Lookup is the request of a balancer to an agent to say which of the given flows its host holds.
type Lookup struct {
	Flows []flow.Key
	// Acknowledgements holds for each of Flows the acknowledgement of a packet of its caller, or 0 if none is known. If
	// it is shorter than Flows, the others are not known.
	Acknowledgements []uint32
}

// Acknowledgement returns the acknowledgement of the flow with the given index, or 0 if it is not known.
func (l Lookup) Acknowledgement(i int) uint32 {
	if i >= len(l.Acknowledgements) {
		return 0
	}
	return l.Acknowledgements[i]
}

// Located is an agent's answer to a Lookup. Each flow of the Lookup is in one of the lists.
type Located struct {
	// Held are the flows that the host holds, Denied those that it does not hold, and Unsure those for which the
	// agent must send a packet to the host to find out.
	Held, Denied, Unsure []flow.Key
	// Unseen are flows like Unsure that the agent has not seen. The host holds them only if an earlier run of the agent has
	// delivered packets to the present start of the host.
	Unseen []flow.Key
	// Run names the run of the agent; 0 means that it is not known.
	Run  uint64
	Load packet.Load
}

// Digest is a balancer's summary of its knowledge, by which another balancer notices differences.
type Digest struct {
	ConfigVersion uint64
	// Agents is a hash of the addresses of the agents that answer the sender.
	Agents uint64
	// ListRevision is the revision of the sender's copy of the store's list of agents; the zero value means that it has
	// none.
	// ListComplete is set while that list holds every agent that can be reached.
	ListRevision store.Revision
	ListComplete bool
	// Watching is set while the sender watches the store itself. StoreAge is then the time since the last response of
	// the store, or UnknownAge.
	Watching bool
	StoreAge time.Duration
	// CPUPermille is the share of a processor core that the sender may use, in thousandths.
	CPUPermille int
	// Starting is set shortly after the sender's start, while agents that run may not have reported to it yet.
	Starting bool
	// DataCentre is the data centre of the sender, and ReachedDataCentres are those whose agents answer it. They are empty
	// if the sender relays no packets of other balancers.
	DataCentre         string
	ReachedDataCentres []string
	// Evacuations is the newest state that the sender has. The zero value means that it does not report one.
	Evacuations evacuation.State
}

// UnknownAge is the age of data from a source that does not respond.
const UnknownAge = time.Hour

func (Hello) message()    {}
func (Status) message()   {}
func (Accepted) message() {}
func (Returned) message() {}
func (Digest) message()   {}
func (Lookup) message()   {}
func (Located) message()  {}

var errUnknownKind = errors.New("datagram holds no message of a known kind")

// Encode returns the datagram for a message.
func Encode(m Message) (data []byte, err error) {
	defer func() { err = errors.WithMessage(err, "encode message") }()
	pb := &datapathpb.Message{}
	switch m := m.(type) {
	case Hello:
		pb.Body = &datapathpb.Message_Hello{Hello: encodeHello(m)}
	case Status:
		pb.Body = &datapathpb.Message_Status{Status: encodeStatus(m)}
	case Accepted:
		pb.Body = &datapathpb.Message_Accepted{Accepted: &datapathpb.Accepted{
			Flow: encodeFlow(m.Flow), Sequence: m.Sequence, Handshake: m.Handshake, Load: encodeLoad(m.Load),
		}}
	case Returned:
		pb.Body = &datapathpb.Message_Returned{Returned: &datapathpb.Returned{
			Reason: datapathpb.Reason(m.Reason), Packet: m.Packet, Load: encodeLoad(m.Load), Evacuations: m.Evacuations.Encode(),
		}}
	case Lookup:
		pb.Body = &datapathpb.Message_Lookup{Lookup: &datapathpb.Lookup{Flows: encodeFlows(m.Flows), Acknowledgements: m.Acknowledgements}}
	case Located:
		pb.Body = &datapathpb.Message_Located{Located: &datapathpb.Located{
			Held: encodeFlows(m.Held), Denied: encodeFlows(m.Denied), Unsure: encodeFlows(m.Unsure), Unseen: encodeFlows(m.Unseen),
			Run: m.Run, Load: encodeLoad(m.Load),
		}}
	case Digest:
		pb.Body = &datapathpb.Message_Digest{Digest: encodeDigest(m)}
	}
	return proto.Marshal(pb)
}

// Decode returns the message in a datagram. It returns an error if the datagram holds no message of a known kind, or a
// Status with an unknown host state.
func Decode(data []byte) (m Message, err error) {
	defer func() { err = errors.WithMessage(err, "decode message") }()
	pb := &datapathpb.Message{}
	if err = proto.Unmarshal(data, pb); err != nil {
		return nil, err
	}
	switch body := pb.GetBody().(type) {
	case *datapathpb.Message_Hello:
		return decodeHello(body.Hello), nil
	case *datapathpb.Message_Status:
		return decodeStatus(body.Status)
	case *datapathpb.Message_Accepted:
		return decodeAccepted(body.Accepted), nil
	case *datapathpb.Message_Returned:
		r := body.Returned
		return Returned{
			Reason: packet.ReturnReason(r.GetReason()), Packet: r.GetPacket(), Load: decodeLoad(r.GetLoad()), Evacuations: evacuation.Decode(r.GetEvacuations()),
		}, nil
	case *datapathpb.Message_Lookup:
		return Lookup{Flows: decodeFlows(body.Lookup.GetFlows()), Acknowledgements: body.Lookup.GetAcknowledgements()}, nil
	case *datapathpb.Message_Located:
		l := body.Located
		return Located{
			Held: decodeFlows(l.GetHeld()), Denied: decodeFlows(l.GetDenied()), Unsure: decodeFlows(l.GetUnsure()), Unseen: decodeFlows(l.GetUnseen()),
			Run: l.GetRun(), Load: decodeLoad(l.GetLoad()),
		}, nil
	case *datapathpb.Message_Digest:
		return decodeDigest(body.Digest), nil
	}
	return nil, errUnknownKind
}

func encodeHello(m Hello) (pb *datapathpb.Hello) {
	pb = &datapathpb.Hello{
		ConfigVersion: m.ConfigVersion, Unlisted: m.Unlisted, Evacuations: m.Evacuations.Encode(), UsualLatencyUs: uint32(m.UsualLatency.Microseconds()),
	}
	if m.ColdRateKnown {
		pb.ColdRate = &m.ColdRate
	}
	return pb
}

func decodeHello(pb *datapathpb.Hello) Hello {
	return Hello{
		ConfigVersion: pb.GetConfigVersion(), Unlisted: pb.GetUnlisted(), Evacuations: evacuation.Decode(pb.GetEvacuations()),
		ColdRate: pb.GetColdRate(), ColdRateKnown: pb.ColdRate != nil, UsualLatency: time.Duration(pb.GetUsualLatencyUs()) * time.Microsecond,
	}
}

func encodeStatus(m Status) (pb *datapathpb.Status) {
	pb = &datapathpb.Status{
		Node: m.Node, Service: m.Service, DataCentre: m.DataCentre, State: datapathpb.HostState(m.State),
		Load: encodeLoad(m.Load), ColdMs: uint32(m.ColdRemaining.Milliseconds()), ConfigVersion: m.ConfigVersion, Stopping: m.Stopping, Run: m.Run,
		Balancers: EncodeAddresses(m.Balancers), Evacuations: m.Evacuations.Encode(),
	}
	if m.ConfigHolder.Is4() {
		pb.ConfigHolder = m.ConfigHolder.AsSlice()
	}
	return pb
}

func decodeStatus(pb *datapathpb.Status) (m Message, err error) {
	if pb.GetState() > datapathpb.HostState(packet.HostUnresponsive) {
		return nil, errors.Errorf("unknown host state %d", pb.GetState())
	}
	configHolder, _ := netip.AddrFromSlice(pb.GetConfigHolder())
	return Status{
		Node: pb.GetNode(), Service: pb.GetService(), DataCentre: pb.GetDataCentre(), State: packet.HostState(pb.GetState()),
		Load: decodeLoad(pb.GetLoad()), ColdRemaining: time.Duration(pb.GetColdMs()) * time.Millisecond,
		Balancers: DecodeAddresses(pb.GetBalancers()), ConfigVersion: pb.GetConfigVersion(), ConfigHolder: configHolder,
		Stopping: pb.GetStopping(), Run: pb.GetRun(), Evacuations: evacuation.Decode(pb.GetEvacuations()),
	}, nil
}

func encodeDigest(m Digest) *datapathpb.Digest {
	return &datapathpb.Digest{
		ConfigVersion: m.ConfigVersion, Agents: m.Agents, ListRevision: uint64(m.ListRevision.Number), ListGeneration: m.ListRevision.Generation, ListComplete: m.ListComplete,
		Watching: m.Watching, StoreAgeMs: uint32(min(m.StoreAge, UnknownAge).Milliseconds()), CpuPermille: uint32(m.CPUPermille),
		Starting: m.Starting, DataCentre: m.DataCentre, ReachedDataCentres: m.ReachedDataCentres,
		Evacuations: m.Evacuations.Encode(),
	}
}

func decodeDigest(pb *datapathpb.Digest) Digest {
	return Digest{
		ConfigVersion: pb.GetConfigVersion(), Agents: pb.GetAgents(), ListComplete: pb.GetListComplete(),
		ListRevision: store.Revision{Generation: pb.GetListGeneration(), Number: int64(pb.GetListRevision())},
		Watching:     pb.GetWatching(), StoreAge: time.Duration(pb.GetStoreAgeMs()) * time.Millisecond, CPUPermille: int(pb.GetCpuPermille()),
		Starting: pb.GetStarting(), DataCentre: pb.GetDataCentre(), ReachedDataCentres: pb.GetReachedDataCentres(),
		Evacuations: evacuation.Decode(pb.GetEvacuations()),
	}
}

func encodeLoad(l packet.Load) (pb *datapathpb.Load) {
	pb = &datapathpb.Load{
		Slots: uint32(l.Slots), Busy: uint32(l.OutstandingRequests), Flows: uint32(l.OpenFlows),
		LatencyUs: uint32(l.Latency.Microseconds()), UtilisationPermille: uint32(l.Utilisation * 1000),
		Limit: uint32(l.Limit), Held: uint32(l.HeldRequests), BaseLatencyUs: uint32(l.BaseLatency.Microseconds()), RatePermille: uint32(math.Round(l.Rate * 1000)),
		Requests: uint32(l.Health.Requests), Failures: uint32(l.Health.Failures), UnqueuedLatencyUs: uint32(l.Health.Latency.Microseconds()),
	}
	if l.Cold {
		pb.ColdRoom = uint32(l.ColdRoom) + 1
	}
	return pb
}

func decodeLoad(pb *datapathpb.Load) (l packet.Load) {
	l = packet.Load{
		Slots: int(pb.GetSlots()), OutstandingRequests: int(pb.GetBusy()), OpenFlows: int(pb.GetFlows()),
		Latency:     time.Duration(pb.GetLatencyUs()) * time.Microsecond,
		Utilisation: float64(pb.GetUtilisationPermille()) / 1000,
		Limit:       int(pb.GetLimit()), HeldRequests: int(pb.GetHeld()),
		BaseLatency: time.Duration(pb.GetBaseLatencyUs()) * time.Microsecond, Rate: float64(pb.GetRatePermille()) / 1000,
		Health: hosthealth.Report{
			Requests: int(pb.GetRequests()), Failures: int(pb.GetFailures()), Latency: time.Duration(pb.GetUnqueuedLatencyUs()) * time.Microsecond,
		},
	}
	if room := pb.GetColdRoom(); room > 0 {
		l.Cold, l.ColdRoom = true, int(room-1)
	}
	return l
}

func encodeFlow(key flow.Key) *datapathpb.FlowKey {
	caller, service := key.Source(), key.Destination()
	return &datapathpb.FlowKey{
		Caller: addressToUint32(caller.Addr()), CallerPort: uint32(caller.Port()),
		Service: addressToUint32(service.Addr()), ServicePort: uint32(service.Port()),
	}
}

func decodeFlow(f *datapathpb.FlowKey) flow.Key {
	return packet.NewKey(
		netip.AddrPortFrom(uint32ToAddress(f.GetCaller()), uint16(f.GetCallerPort())),
		netip.AddrPortFrom(uint32ToAddress(f.GetService()), uint16(f.GetServicePort())))
}

func encodeFlows(keys []flow.Key) (flows []*datapathpb.FlowKey) {
	for _, key := range keys {
		flows = append(flows, encodeFlow(key))
	}
	return flows
}

func decodeFlows(flows []*datapathpb.FlowKey) (keys []flow.Key) {
	for _, f := range flows {
		keys = append(keys, decodeFlow(f))
	}
	return keys
}

func decodeAccepted(pb *datapathpb.Accepted) Accepted {
	return Accepted{Flow: decodeFlow(pb.GetFlow()), Sequence: pb.GetSequence(), Handshake: pb.GetHandshake(), Load: decodeLoad(pb.GetLoad())}
}

// addressToUint32 returns an IPv4 address as a number in network byte order, and 0 for any other address.
func addressToUint32(a netip.Addr) uint32 {
	if !a.Is4() {
		return 0
	}
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

// uint32ToAddress reverses addressToUint32.
func uint32ToAddress(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}

// EncodeAddresses returns each address as its 4 or 16 bytes.
func EncodeAddresses(addresses []netip.Addr) (encoded [][]byte) {
	for _, a := range addresses {
		encoded = append(encoded, a.AsSlice())
	}
	return encoded
}

// DecodeAddresses reverses EncodeAddresses. It skips items that are not 4 or 16 bytes long.
func DecodeAddresses(encoded [][]byte) (addresses []netip.Addr) {
	for _, b := range encoded {
		if a, ok := netip.AddrFromSlice(b); ok {
			addresses = append(addresses, a)
		}
	}
	return addresses
}
