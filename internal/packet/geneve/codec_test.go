package geneve_test

import (
	"bytes"
	"net/netip"
	"strconv"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
	"agateramp/internal/packet/geneve"
)

var (
	source4      = netip.MustParseAddrPort("127.0.0.7:4000")
	destination4 = netip.MustParseAddrPort("127.0.0.9:9053")
	source6      = netip.MustParseAddrPort("[2001:db8::7]:4000")
	destination6 = netip.MustParseAddrPort("[2001:db8::9]:9053")
)

// drawAddress returns a random IPv4 or IPv6 address, or the zero value.
func drawAddress(t *rapid.T, label string) netip.AddrPort {
	port := rapid.Uint16().Draw(t, label+" port")
	switch rapid.IntRange(0, 2).Draw(t, label+" family") {
	case 0:
		return netip.AddrPort{}
	case 1:
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label))), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16([16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, label))).Unmap(), port)
}

// drawHeader returns a random header in which every field is in range. LocalPort is always 0.
func drawHeader(t *rapid.T) flow.Header {
	h := flow.Header{
		ServiceID:      rapid.Uint32().Draw(t, "service"),
		Kind:           flow.Kind(rapid.IntRange(0, int(flow.KindHint)).Draw(t, "kind")),
		Stage:          flow.Stage(rapid.IntRange(0, int(flow.StageFinal)).Draw(t, "stage")),
		Version:        rapid.Uint64().Draw(t, "version"),
		PathLen:        rapid.IntRange(0, flow.MaxPathLen).Draw(t, "path"),
		SecondChoice:   drawAddress(t, "second choice"),
		Hop:            rapid.IntRange(0, flow.MaxPathLen).Draw(t, "hop"),
		Passes:         rapid.IntRange(0, flow.MaxPasses).Draw(t, "passes"),
		FirstSuspected: rapid.Bool().Draw(t, "suspected"),
		Hinted:         rapid.Bool().Draw(t, "hinted"),
		Asserted:       rapid.Bool().Draw(t, "asserted"),
		ReturnAddress:  drawAddress(t, "return"),
		OfferLoad:      rapid.Uint32().Draw(t, "load"),
	}
	for i := range h.PathLen {
		h.Path[i] = flow.Hop{Address: drawAddress(t, "hop"), RoleVersion: rapid.Uint64().Draw(t, "role version")}
	}
	return h
}

// headerMessage returns the protobuf message of a header.
func headerMessage(h *flow.Header) *controlpb.PacketHeader {
	m := &controlpb.PacketHeader{
		ServiceId: h.ServiceID, Kind: controlpb.PacketKind(h.Kind), Stage: controlpb.Stage(h.Stage), Version: h.Version,
		SecondChoice: geneve.AppendAddress(nil, h.SecondChoice), Hop: uint32(h.Hop), Passes: uint32(h.Passes),
		FirstSuspected: h.FirstSuspected, Hinted: h.Hinted, Asserted: h.Asserted,
		ReturnAddress: geneve.AppendAddress(nil, h.ReturnAddress), OfferLoad: h.OfferLoad,
	}
	for _, hop := range h.Path[:h.PathLen] {
		m.Path = append(m.Path, &controlpb.Hop{Address: geneve.AppendAddress(nil, hop.Address), RoleVersion: hop.RoleVersion})
	}
	return m
}

// Guards against a hand-written header encoding that differs from that of the protobuf message, and against headers
// that lose data when they are split over several options.
func TestHeaderIsTheProtobufMessage(t *testing.T) {
	inner, err := geneve.AppendUDP(nil, source4, destination4, []byte("payload"))
	is.New(t).NoErr(err)
	rapid.Check(t, func(t *rapid.T) {
		want := drawHeader(t)
		frame, err := geneve.AppendFrame(nil, &want, inner)
		if err != nil {
			t.Fatal(err)
		}
		var outer layers.Geneve
		if err = outer.DecodeFromBytes(frame, gopacket.NilDecodeFeedback); err != nil {
			t.Fatal(err)
		}
		var encoded []byte
		for _, option := range outer.Options {
			if option.Class != geneve.OptionClass || option.Type != geneve.OptionType {
				t.Fatalf("option of class %x and type %d, want %x and %d", option.Class, option.Type, geneve.OptionClass, geneve.OptionType)
			}
			encoded = append(encoded, option.Data...)
		}
		expected, err := proto.MarshalOptions{Deterministic: true}.Marshal(headerMessage(&want))
		if err != nil {
			t.Fatal(err)
		}
		if len(encoded)-len(expected) > 3 || len(encoded) < len(expected) || !proto.Equal(unmarshal(t, encoded[:len(expected)]), headerMessage(&want)) {
			t.Fatalf("encoded header %x, want %x", encoded, expected)
		}
		var d geneve.Decoder
		var got flow.Header
		var packet flow.Packet
		hasHeader, err := d.Decode(frame, &got, &packet)
		if err != nil || !hasHeader || got != want || !bytes.Equal(packet.Data, inner) {
			t.Fatalf("decoded header %+v, error %v; want %+v", got, err, want)
		}
	})
}

func unmarshal(t *rapid.T, b []byte) *controlpb.PacketHeader {
	m := &controlpb.PacketHeader{}
	if err := proto.Unmarshal(b, m); err != nil {
		t.Fatal(err)
	}
	return m
}

// Guards against built packets that other IP stacks reject, because of a wrong header field or checksum.
func TestInnerPacketsAreValid(t *testing.T) {
	tests := []struct {
		name                string
		source, destination netip.AddrPort
		first               gopacket.Decoder
	}{
		{"ipv4", source4, destination4, layers.LayerTypeIPv4},
		{"ipv6", source6, destination6, layers.LayerTypeIPv6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			udp, err := geneve.AppendUDP(nil, test.source, test.destination, []byte("odd"))
			is.NoErr(err)
			tcp, err := geneve.AppendTCP(nil, test.source, test.destination, geneve.Segment{Sequence: 7, SYN: true}, nil)
			is.NoErr(err)
			for _, data := range [][]byte{udp, tcp} {
				parsed := gopacket.NewPacket(data, test.first, gopacket.Default)
				is.Equal(parsed.ErrorLayer(), nil)
				if layer, ok := parsed.TransportLayer().(interface {
					SetNetworkLayerForChecksum(l gopacket.NetworkLayer) error
				}); ok {
					is.NoErr(layer.SetNetworkLayerForChecksum(parsed.NetworkLayer()))
				}
				err, mismatches := parsed.VerifyChecksums()
				is.NoErr(err)
				is.Equal(len(mismatches), 0) // wrong checksums
				var d geneve.Decoder
				var p flow.Packet
				is.NoErr(d.DecodePacket(data, &p))
				is.Equal(p.Key.Source(), test.source)
				is.Equal(p.Key.Destination(), test.destination)
				is.Equal(p.Hash, p.Key.Hash())
			}
			var d geneve.Decoder
			var p flow.Packet
			is.NoErr(d.DecodePacket(tcp, &p))
			is.True(p.SYN)
			is.NoErr(d.DecodePacket(udp, &p))
			is.Equal(string(p.Payload), "odd")
			is.True(!p.SYN) // the decoder must not keep the flags of the TCP packet before
		})
	}
}

// Guards against resets that the caller's TCP stack ignores because of a wrong sequence or acknowledgement number.
func TestResetAnswers(t *testing.T) {
	tests := []struct {
		name    string
		segment geneve.Segment
		payload string
		want    geneve.Segment
		wantErr bool
	}{
		{"syn", geneve.Segment{Sequence: 9, SYN: true}, "", geneve.Segment{Acknowledgement: 10, RST: true, ACK: true}, false},
		{"data with ack", geneve.Segment{Sequence: 9, Acknowledgement: 77, ACK: true}, "abc", geneve.Segment{Sequence: 77, RST: true}, false},
		{"fin without ack", geneve.Segment{Sequence: 9, FIN: true}, "abc", geneve.Segment{Acknowledgement: 13, RST: true, ACK: true}, false},
		{"reset", geneve.Segment{Sequence: 9, RST: true}, "", geneve.Segment{}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var d geneve.Decoder
			data, err := geneve.AppendTCP(nil, source6, destination6, test.segment, []byte(test.payload))
			is.NoErr(err)
			reset, err := d.AppendReset(nil, data)
			is.Equal(err != nil, test.wantErr)
			if err != nil {
				return
			}
			var p flow.Packet
			is.NoErr(d.DecodePacket(reset, &p))
			got, _ := d.Segment(&p)
			is.Equal(got, test.want)
			is.Equal(p.Key.Source(), destination6)
		})
	}
}

// Guards against memory that is allocated for each packet on the forward path.
func TestCodecDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	inner, err := geneve.AppendUDP(nil, source6, destination6, make([]byte, 100))
	is.NoErr(err)
	h := flow.Header{ServiceID: 1, Version: 9, PathLen: 4, ReturnAddress: source6, SecondChoice: destination6}
	for i := range h.Path {
		h.Path[i] = flow.Hop{Address: source6, RoleVersion: uint64(9 - i)}
	}
	var d geneve.Decoder
	var got flow.Header
	var p flow.Packet
	buffer := make([]byte, 0, 2048)
	allocs := testing.AllocsPerRun(100, func() {
		frame, err := geneve.AppendFrame(buffer, &h, inner)
		if err != nil {
			t.Fatal(err)
		}
		if _, err = d.Decode(frame, &got, &p); err != nil {
			t.Fatal(err)
		}
	})
	is.Equal(allocs, 0.0)
}

// Guards against panics on arbitrary input, and against a decoded header that cannot be encoded and decoded again to
// the same header.
func FuzzDecode(f *testing.F) {
	inner4, _ := geneve.AppendUDP(nil, source4, destination4, []byte("payload"))
	inner6, _ := geneve.AppendTCP(nil, source6, destination6, geneve.Segment{SYN: true}, nil)
	h := flow.Header{ServiceID: 3, Version: 5, PathLen: 4, ReturnAddress: source6}
	for i := range h.Path {
		h.Path[i] = flow.Hop{Address: destination6, RoleVersion: uint64(5 - i)}
	}
	for _, header := range []*flow.Header{nil, &h} {
		for _, inner := range [][]byte{inner4, inner6} {
			frame, _ := geneve.AppendFrame(nil, header, inner)
			f.Add(frame)
			f.Add(frame[:len(frame)-3])
			f.Add(frame[:9])
		}
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		var d geneve.Decoder
		var header, decoded flow.Header
		var p flow.Packet
		hasHeader, err := d.Decode(frame, &header, &p)
		if err != nil {
			if geneve.ReasonOf(err) != flow.ReasonMalformed {
				t.Fatalf("drop reason %q, want %q", geneve.ReasonOf(err), flow.ReasonMalformed)
			}
			return
		}
		_, _ = d.AppendReset(nil, p.Data)
		if !hasHeader {
			return
		}
		encoded, err := geneve.AppendFrame(nil, &header, p.Data)
		if err != nil {
			t.Fatal(err)
		}
		if hasHeader, err = d.Decode(encoded, &decoded, &p); err != nil || !hasHeader || header != decoded {
			t.Fatalf("header %+v decoded as %+v after encoding: %v", header, decoded, err)
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	inner, err := geneve.AppendUDP(nil, source4, destination4, make([]byte, 200))
	is.New(b).NoErr(err)
	for _, header := range []*flow.Header{nil, typicalHeader()} {
		frame, err := geneve.AppendFrame(nil, header, inner)
		is.New(b).NoErr(err)
		b.Run(strconv.Itoa(len(frame)), func(b *testing.B) {
			b.ReportAllocs()
			var d geneve.Decoder
			var h flow.Header
			var p flow.Packet
			for b.Loop() {
				if _, err := d.Decode(frame, &h, &p); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkAppendFrame(b *testing.B) {
	inner, err := geneve.AppendUDP(nil, source4, destination4, make([]byte, 200))
	is.New(b).NoErr(err)
	header := typicalHeader()
	buffer := make([]byte, 0, 2048)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := geneve.AppendFrame(buffer, header, inner); err != nil {
			b.Fatal(err)
		}
	}
}

// typicalHeader returns the header of a packet whose path has two hops with IPv4 addresses.
func typicalHeader() *flow.Header {
	return &flow.Header{
		ServiceID: 300, Version: 500, PathLen: 2, SecondChoice: destination4, ReturnAddress: source4,
		Path: [flow.MaxPathLen]flow.Hop{{Address: source4, RoleVersion: 500}, {Address: destination4, RoleVersion: 499}},
	}
}
