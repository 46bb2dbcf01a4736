package message

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/core/flow"
	"agateramp/internal/segment/packet"
)

var load = packet.Load{Slots: 5, Busy: 3, Flows: 70, Latency: 12 * time.Millisecond, Utilisation: 0.5}

func examples() []Message {
	key := packet.NewKey(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443"))
	other := packet.NewKey(netip.MustParseAddrPort("100.64.0.8:1"), netip.MustParseAddrPort("198.18.0.1:443"))
	return []Message{
		Hello{ConfigVersion: 7, Unlisted: true},
		Status{
			Node: "side-1", Service: "studio", DataCentre: "north", State: packet.HostDraining, Load: load, Cold: 1500 * time.Millisecond,
			Balancers: []netip.Addr{netip.MustParseAddr("10.0.0.1")}, ConfigVersion: 9, ConfigHolder: netip.MustParseAddr("10.0.0.2"), Stopping: true,
		},
		Accepted{Flow: key, Sequence: 0xfffffffe, Handshake: true, Load: load},
		Returned{Reason: packet.ReturnBusy, Packet: []byte{1, 2, 3}, Load: load},
		Digest{ConfigVersion: 3, Agents: 1 << 63},
		Lookup{Flows: []flow.Key{key, other}},
		Located{Held: []flow.Key{key}, Denied: []flow.Key{other, key}, Unsure: []flow.Key{other}, Load: load},
	}
}

// Guards against fields that get lost between processes.
func TestMessages(t *testing.T) {
	for _, m := range examples() {
		is := is.New(t)
		data, err := Encode(m)
		is.NoErr(err)
		again, err := Decode(data)
		is.NoErr(err)
		is.Equal(again, m)
	}
}

// Guards against datagrams that are taken for messages.
func TestBadMessages(t *testing.T) {
	for _, data := range [][]byte{nil, {0xff}, {0x12, 0x05, 1}, {0x12, 0x02, 0x20, 0x63}} {
		_, err := Decode(data)
		is.New(t).True(err != nil)
	}
}

// Guards against datagrams that stop the process.
func FuzzDecode(f *testing.F) {
	for _, m := range examples() {
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
