package backend_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/core/flow"
	"agateramp/internal/load/payload"
	"agateramp/internal/packet/geneve"
	"agateramp/internal/process/group"
	"agateramp/internal/standin/backend"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func newServer(t *testing.T, cfg backend.Config) *backend.Server {
	cfg.Group = group.New(context.Background())
	t.Cleanup(func() {
		cfg.Group.Stop()
		is.New(t).NoErr(cfg.Group.Wait())
	})
	cfg.Name, cfg.Service = "host", 1
	server, err := backend.New(cfg)
	is.New(t).NoErr(err)
	return server
}

// Guards against a stand-in that hides doubled work, uses more slots than it has
// or ignores its speed.
func TestServerCountsRunsAndKeepsSlots(t *testing.T) {
	is := is.New(t)
	server := newServer(t, backend.Config{Slots: 2, Speed: 500})
	address, err := server.ServeUDP(loopback)
	is.NoErr(err)
	request := payload.Request{First: true, Service: 1, Flow: 5, ID: 9, WorkMicros: 10000, BodySize: 64}
	buffer := make([]byte, 2000)
	ask := func(conn *net.UDPConn) payload.Answer {
		_, err := conn.Write(request.Append(nil))
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
		n, err := conn.Read(buffer)
		is.NoErr(err)
		answer, err := payload.ParseAnswer(buffer[:n])
		is.NoErr(err)
		is.True(answer.Completes(&request))
		return answer
	}
	var conns []*net.UDPConn
	for range 6 {
		conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(address))
		is.NoErr(err)
		defer conn.Close()
		conns = append(conns, conn)
	}
	first := ask(conns[0])
	is.Equal(first.BusyMicros, uint32(20000)) // half speed
	is.Equal(ask(conns[0]).Run, first.Run)    // retransmission
	is.Equal(server.Runs(9), 1)
	is.True(ask(conns[1]).Run != first.Run) // another connection
	is.Equal(server.Runs(9), 2)
	started := time.Now()
	for i, conn := range conns {
		request.ID = uint64(100 + i)
		request.Flow = uint64(100 + i)
		_, err := conn.Write(request.Append(nil))
		is.NoErr(err)
	}
	for _, conn := range conns {
		_, err := conn.Read(buffer)
		is.NoErr(err)
	}
	is.True(time.Since(started) >= 60*time.Millisecond) // 6 requests of 20 ms on 2 slots
}

type frames chan []byte

func (f frames) HandleFrame(_ *geneve.Writer, _ netip.AddrPort, _ *flow.Header, packet *flow.Packet) {
	f <- append([]byte(nil), packet.Data...)
}

// Guards against a tunnel that answers a connection it does not know, as after a
// restart, or that takes part of another connection for its own.
func TestTunnelTCP(t *testing.T) {
	is := is.New(t)
	tasks := group.New(context.Background())
	defer func() { tasks.Stop(); is.NoErr(tasks.Wait()) }()
	got := make(frames, 10)
	caller, err := geneve.New(geneve.Config{Listen: loopback, Handler: got, Group: tasks})
	is.NoErr(err)
	caller.Start()
	server := newServer(t, backend.Config{})
	tunnel, err := backend.NewTunnel(backend.TunnelConfig{Listen: loopback, Fabric: caller.Address(), Server: server})
	is.NoErr(err)
	source, destination := netip.MustParseAddrPort("[2001:db8::1]:1"), netip.MustParseAddrPort("[2001:db8::2]:2")
	var decoder geneve.Decoder
	exchange := func(segment geneve.Segment, data []byte) (geneve.Segment, []byte) {
		packet, err := geneve.AppendTCP(nil, source, destination, segment, data)
		is.NoErr(err)
		is.NoErr(caller.Send(tunnel.Address(), nil, packet))
		select {
		case data := <-got:
			var p flow.Packet
			is.NoErr(decoder.DecodePacket(data, &p))
			is.Equal(p.Key.Source(), destination) // direct server return
			answer, _ := decoder.Segment(&p)
			return answer, p.Payload
		case <-time.After(5 * time.Second):
			t.Fatal("no answer")
		}
		return geneve.Segment{}, nil
	}
	request := payload.Request{First: true, Service: 1, Flow: 5, ID: 9, BodySize: 10}
	data := request.Append(nil)
	answer, _ := exchange(geneve.Segment{Sequence: 100, Acknowledgement: 50, ACK: true}, data)
	is.Equal(answer, geneve.Segment{Sequence: 50, RST: true}) // unknown connection
	is.Equal(server.Runs(9), 0)
	opened, _ := exchange(geneve.Segment{Sequence: 99, SYN: true}, nil)
	is.True(opened.SYN && opened.ACK && opened.Acknowledgement == 100)
	answer, body := exchange(geneve.Segment{Sequence: 100, Acknowledgement: opened.Sequence + 1, ACK: true}, data)
	is.Equal(answer.Sequence, opened.Sequence+1)
	parsed, err := payload.ParseAnswer(body)
	is.NoErr(err)
	is.True(parsed.Completes(&request))
	again, _ := exchange(geneve.Segment{Sequence: 100, Acknowledgement: opened.Sequence + 1, ACK: true}, data)
	is.Equal(again.Sequence, answer.Sequence) // retransmitted answer
	is.Equal(server.Runs(9), 1)
	end := 100 + uint32(len(data))
	answer, _ = exchange(geneve.Segment{Sequence: end, Acknowledgement: again.NextSequence(len(body)), ACK: true, FIN: true}, nil)
	is.True(answer.FIN && answer.Acknowledgement == end+1)
	answer, _ = exchange(geneve.Segment{Sequence: end, Acknowledgement: 77, ACK: true}, data)
	is.Equal(answer, geneve.Segment{Sequence: 77, RST: true})             // closed connection
	reopened, _ := exchange(geneve.Segment{Sequence: 99, SYN: true}, nil) // late copy of the SYN
	is.True(reopened.Sequence != opened.Sequence)
	late, err := geneve.AppendTCP(nil, source, destination, geneve.Segment{Sequence: 100, Acknowledgement: opened.Sequence + 1, ACK: true}, data)
	is.NoErr(err)
	is.NoErr(caller.Send(tunnel.Address(), nil, late))
	_, _ = exchange(geneve.Segment{Sequence: 99, SYN: true}, nil) // handled after the late copy of the request
	is.Equal(server.Runs(9), 1)
}
