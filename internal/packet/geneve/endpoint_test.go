package geneve_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/core/flow"
	"agateramp/internal/packet/geneve"
	"agateramp/internal/process/group"
)

// handler adapts a function to geneve.Handler.
type handler func(w *geneve.Writer, from netip.AddrPort, header *flow.Header, packet *flow.Packet)

func (h handler) HandleFrame(w *geneve.Writer, from netip.AddrPort, header *flow.Header, packet *flow.Packet) {
	h(w, from, header, packet)
}

// Guards against an endpoint that loses headers, replies from another address than the one it listens on, or passes
// frames of peers that are not accepted, or malformed frames, to the handler.
func TestEndpoint(t *testing.T) {
	is := is.New(t)
	tasks := group.New(context.Background())
	defer func() { tasks.Stop(); is.NoErr(tasks.Wait()) }()
	payloads := make(chan string, 10)
	var malformed, foreign atomic.Int32
	local := netip.MustParseAddrPort("127.0.0.1:0")
	server, err := geneve.New(geneve.Config{
		Listen: local, Workers: 3, Group: tasks,
		Accept: func(peer netip.AddrPort) bool { return peer.Addr() == local.Addr() },
		OnDrop: func(reason flow.Reason) {
			if reason == flow.ReasonForeignPeer {
				foreign.Add(1)
			} else {
				malformed.Add(1)
			}
		},
		Handler: handler(func(w *geneve.Writer, from netip.AddrPort, header *flow.Header, packet *flow.Packet) {
			header.Hop++
			if err := w.Send(from, header, packet.Data); err != nil {
				t.Error(err)
			}
		}),
	})
	is.NoErr(err)
	client, err := geneve.New(geneve.Config{
		Listen: local, Group: tasks,
		Handler: handler(func(_ *geneve.Writer, from netip.AddrPort, header *flow.Header, packet *flow.Packet) {
			if from != server.Address() || header == nil || header.Hop != 1 {
				t.Errorf("frame from %v with header %+v, want one from %v with hop 1", from, header, server.Address())
			}
			payloads <- string(packet.Payload)
		}),
	})
	is.NoErr(err)
	_, err = geneve.New(geneve.Config{
		Listen: server.Address(), Workers: 2, Group: tasks,
		Handler: handler(func(*geneve.Writer, netip.AddrPort, *flow.Header, *flow.Packet) {}),
	})
	is.True(err != nil) // the address is in use
	server.Start()
	client.Start()
	inner, err := geneve.AppendUDP(nil, source4, destination4, []byte("ping"))
	is.NoErr(err)
	is.NoErr(client.Send(server.Address(), &flow.Header{ServiceID: 1}, inner))
	select {
	case payload := <-payloads:
		is.Equal(payload, "ping")
	case <-time.After(5 * time.Second):
		t.Fatal("no reply within 5 s")
	}
	foreignPeer, err := net.DialUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2)}, net.UDPAddrFromAddrPort(server.Address()))
	is.NoErr(err)
	defer foreignPeer.Close()
	_, err = foreignPeer.Write([]byte("x"))
	is.NoErr(err)
	acceptedPeer, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(server.Address()))
	is.NoErr(err)
	defer acceptedPeer.Close()
	_, err = acceptedPeer.Write([]byte("x"))
	is.NoErr(err)
	deadline := time.Now().Add(5 * time.Second)
	for foreign.Load() != 1 || malformed.Load() != 1 {
		if time.Now().After(deadline) {
			t.Fatalf("dropped %d foreign and %d malformed frames within 5 s, want 1 and 1", foreign.Load(), malformed.Load())
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against an endpoint that works with IPv4 only, and against frames that are lost or reordered when more of
// them wait in the socket than one batch holds.
func TestEndpointIPv6KeepsOrder(t *testing.T) {
	is := is.New(t)
	tasks := group.New(context.Background())
	defer func() { tasks.Stop(); is.NoErr(tasks.Wait()) }()
	local := netip.MustParseAddrPort("[::1]:0")
	const count = 100
	versions := make(chan int, count)
	sink, err := geneve.New(geneve.Config{
		Listen: local, Group: tasks,
		Handler: handler(func(_ *geneve.Writer, _ netip.AddrPort, header *flow.Header, _ *flow.Packet) {
			versions <- int(header.Version)
		}),
	})
	is.NoErr(err)
	relay, err := geneve.New(geneve.Config{
		Listen: local, Group: tasks,
		Handler: handler(func(w *geneve.Writer, from netip.AddrPort, header *flow.Header, packet *flow.Packet) {
			if from != sink.Address() {
				t.Errorf("frame from %v, want it from %v", from, sink.Address())
			}
			if err := w.Send(sink.Address(), header, packet.Data); err != nil {
				t.Error(err)
			}
		}),
	})
	is.NoErr(err)
	inner, err := geneve.AppendUDP(nil, source6, destination6, []byte("ping"))
	is.NoErr(err)
	for i := range count {
		is.NoErr(sink.Send(relay.Address(), &flow.Header{Version: uint64(i)}, inner))
	}
	relay.Start()
	sink.Start()
	for i := range count {
		select {
		case version := <-versions:
			is.Equal(version, i)
		case <-time.After(5 * time.Second):
			t.Fatalf("frame %d did not arrive within 5 s", i)
		}
	}
}
