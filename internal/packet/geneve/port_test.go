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

type handler func(w *geneve.Writer, from netip.AddrPort, header *flow.Header, packet *flow.Packet)

func (h handler) HandleFrame(w *geneve.Writer, from netip.AddrPort, header *flow.Header, packet *flow.Packet) {
	h(w, from, header, packet)
}

// Guards against ports that lose headers, answer from another address than the
// one they listen on, or let foreign and malformed frames through.
func TestPort(t *testing.T) {
	is := is.New(t)
	tasks := group.New(context.Background())
	defer func() { tasks.Stop(); is.NoErr(tasks.Wait()) }()
	got := make(chan string, 10)
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
				t.Errorf("from %v header %+v", from, header)
			}
			got <- string(packet.Payload)
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
	case payload := <-got:
		is.Equal(payload, "ping")
	case <-time.After(5 * time.Second):
		t.Fatal("no answer")
	}
	stranger, err := net.DialUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2)}, net.UDPAddrFromAddrPort(server.Address()))
	is.NoErr(err)
	defer stranger.Close()
	_, err = stranger.Write([]byte("x"))
	is.NoErr(err)
	known, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(server.Address()))
	is.NoErr(err)
	defer known.Close()
	_, err = known.Write([]byte("x"))
	is.NoErr(err)
	deadline := time.Now().Add(5 * time.Second)
	for foreign.Load() != 1 || malformed.Load() != 1 {
		if time.Now().After(deadline) {
			t.Fatalf("foreign %d malformed %d", foreign.Load(), malformed.Load())
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a port that works with IPv4 only, and against frames lost or
// reordered when more arrive than one batch holds.
func TestPortIPv6KeepsOrder(t *testing.T) {
	is := is.New(t)
	tasks := group.New(context.Background())
	defer func() { tasks.Stop(); is.NoErr(tasks.Wait()) }()
	local := netip.MustParseAddrPort("[::1]:0")
	const count = 100
	got := make(chan int, count)
	sink, err := geneve.New(geneve.Config{
		Listen: local, Group: tasks,
		Handler: handler(func(_ *geneve.Writer, _ netip.AddrPort, header *flow.Header, _ *flow.Packet) {
			got <- int(header.Version)
		}),
	})
	is.NoErr(err)
	relay, err := geneve.New(geneve.Config{
		Listen: local, Group: tasks,
		Handler: handler(func(w *geneve.Writer, from netip.AddrPort, header *flow.Header, packet *flow.Packet) {
			if from != sink.Address() {
				t.Errorf("from %v", from)
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
		case version := <-got:
			is.Equal(version, i)
		case <-time.After(5 * time.Second):
			t.Fatalf("frame %d did not arrive", i)
		}
	}
}
