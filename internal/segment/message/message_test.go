package message

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/core/flow"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/segment/packet"
)

var load = packet.Load{Slots: 5, OutstandingRequests: 3, OpenFlows: 70, Latency: 12 * time.Millisecond, Utilisation: 0.5}

func exampleMessages() []Message {
	key := packet.NewKey(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))
	other := packet.NewKey(netip.MustParseAddrPort("100.64.0.8:1"), netip.MustParseAddrPort("198.18.0.1:443"))
	return []Message{
		Hello{ConfigVersion: 7, Unlisted: true},
		Status{
			Node: "side-1", Service: "studio", DataCentre: "north", State: packet.HostDraining, Load: load, ColdRemaining: 1500 * time.Millisecond,
			Balancers: []netip.Addr{netip.MustParseAddr("10.0.0.1")}, ConfigVersion: 9, ConfigHolder: netip.MustParseAddr("10.0.0.2"), Stopping: true,
		},
		Accepted{Flow: key, Sequence: 0xfffffffe, Handshake: true, Load: load},
		Returned{Reason: packet.ReturnBusy, Packet: []byte{1, 2, 3}, Load: load},
		Digest{ConfigVersion: 3, Agents: 1 << 63},
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
