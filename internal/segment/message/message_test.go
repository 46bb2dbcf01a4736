package message

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/core/flow"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/segment/evacuation"
	"agateramp/internal/segment/hosthealth"
	"agateramp/internal/segment/packet"
)

var load = packet.Load{
	Slots: 5, OutstandingRequests: 3, OpenFlows: 70, Latency: 12 * time.Millisecond, Utilisation: 0.5,
	Limit: 6, HeldRequests: 4, BaseLatency: 11 * time.Millisecond, Rate: 416.5,
}

func exampleMessages() []Message {
	key := packet.NewKey(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))
	evacuations, _ := evacuation.New(store.Revision{Generation: 2, Number: 40}, []string{"north", "south"})
	other := packet.NewKey(netip.MustParseAddrPort("100.64.0.8:1"), netip.MustParseAddrPort("198.18.0.1:443"))
	return []Message{
		Hello{ConfigVersion: 7, Unlisted: true, Evacuations: evacuations},
		Hello{ColdRateKnown: true},
		Hello{ColdRateKnown: true, ColdRate: 12.5},
		Hello{UsualLatency: 21 * time.Millisecond},
		Accepted{Flow: key, Load: packet.Load{Health: hosthealth.Report{Requests: 24, Failures: 3, Latency: 21 * time.Millisecond}}},
		Status{
			Node: "side-1", Service: "studio", DataCentre: "north", State: packet.HostDraining, Load: load, ColdRemaining: 1500 * time.Millisecond,
			Balancers: []netip.Addr{netip.MustParseAddr("10.0.0.1")}, ConfigVersion: 9, ConfigHolder: netip.MustParseAddr("10.0.0.2"), Stopping: true,
			Evacuations: evacuations,
		},
		Accepted{Flow: key, Sequence: 0xfffffffe, Handshake: true, Load: load},
		Returned{Reason: packet.ReturnBusy, Packet: []byte{1, 2, 3}, Load: load},
		Returned{Reason: packet.ReturnEvacuated, Packet: []byte{1}, Load: load, Evacuations: evacuations},
		Returned{Reason: packet.ReturnCold, Packet: []byte{1}, Load: packet.Load{Cold: true}},
		Accepted{Flow: key, Load: packet.Load{Cold: true, ColdRoom: 7}},
		Digest{ConfigVersion: 3, Agents: 1 << 63, Evacuations: evacuations},
		Digest{ListRevision: store.Revision{Generation: 3, Number: 1 << 40}, ListComplete: true, Watching: true, StoreAge: 250 * time.Millisecond, CPUPermille: 88},
		Digest{Watching: true, StoreAge: UnknownAge, Starting: true},
		Digest{DataCentre: "north", ReachedDataCentres: []string{"north", "south"}},
		Lookup{Flows: []flow.Key{key, other}},
		Lookup{Flows: []flow.Key{key, other}, Acknowledgements: []uint32{0, 1 << 31}},
		Located{Held: []flow.Key{key}, Denied: []flow.Key{other, key}, Unsure: []flow.Key{other}, Load: load},
	}
}

// Guards against fields that Encode or Decode omits.
func TestEncodeDecode(t *testing.T) {
	for _, m := range exampleMessages() {
		is := is.New(t)
		data, err := Encode(m)
		is.NoErr(err)
		decoded, err := Decode(data)
		is.NoErr(err)
		is.Equal(decoded, m)
	}
}

// Guards against processes of an earlier version that cannot decode a load report, and against reports of theirs that
// decode as a limit. The data is a Located with slots 5, busy 3, flows 70, latency_us 12000 and utilisation_permille 500.
func TestEarlierLoad(t *testing.T) {
	is := is.New(t)
	earlier := []byte{0x3a, 14, 0x22, 12, 0x08, 5, 0x10, 3, 0x18, 70, 0x20, 0xe0, 0x5d, 0x28, 0xf4, 0x03}
	known := packet.Load{Slots: 5, OutstandingRequests: 3, OpenFlows: 70, Latency: 12 * time.Millisecond, Utilisation: 0.5}
	decoded, err := Decode(earlier)
	is.NoErr(err)
	is.Equal(decoded, Located{Load: known})
	encoded, err := Encode(Located{Load: known})
	is.NoErr(err)
	is.Equal(encoded, earlier) // unknown figures are absent
}

// Guards against empty, truncated or invalid datagrams that decode without an error. The last one is a Status with
// an unknown host state.
func TestDecodeInvalid(t *testing.T) {
	for _, data := range [][]byte{nil, {0xff}, {0x12, 0x05, 1}, {0x12, 0x02, 0x20, 0x63}} {
		_, err := Decode(data)
		is.New(t).True(err != nil)
	}
}

// Guards against datagrams that crash the process, and against decoded messages that cannot be encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range exampleMessages() {
		data, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		_, err = Encode(m)
		is.New(t).NoErr(err)
	})
}
