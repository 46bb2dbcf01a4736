package datagram_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/core/flow"
	"agateramp/internal/packet/datagram"
	"agateramp/internal/packet/geneve"
	"agateramp/internal/process/group"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// callerHandler adapts a function to datagram.CallerHandler.
type callerHandler func(packet *flow.Packet)

func (h callerHandler) HandleDatagram(packet *flow.Packet) { h(packet) }

// replyHandler adapts a function to datagram.ReplyHandler.
type replyHandler func(key flow.Key, payload []byte)

func (h replyHandler) HandleReply(key flow.Key, payload []byte) { h(key, payload) }

// newGroup returns a group that stops, and must end without an error, when the test ends.
func newGroup(t *testing.T) *group.Group {
	tasks := group.New(context.Background())
	t.Cleanup(func() {
		tasks.Stop()
		is.New(t).NoErr(tasks.Wait())
	})
	return tasks
}

// Guards against packets whose destination is the local address instead of the service address, replies that leave
// from another socket than the one the caller sent to, and a repeated Bind that replaces the sockets.
func TestServiceSocket(t *testing.T) {
	is := is.New(t)
	service := netip.MustParseAddrPort("192.0.2.1:9000")
	var services *datagram.ServiceSockets
	services, err := datagram.NewServiceSockets(datagram.ServiceSocketsConfig{
		Workers: 2, Group: newGroup(t),
		Handler: callerHandler(func(p *flow.Packet) {
			var d geneve.Decoder
			var inner flow.Packet
			if err := d.DecodePacket(p.Data, &inner); err != nil || inner.Key != p.Key || inner.Hash != p.Hash {
				t.Errorf("packet data decoded as %+v, error %v; want key %v", inner, err, p.Key)
			}
			if p.Key.Destination() != service {
				t.Errorf("packet to %v, want %v", p.Key.Destination(), service)
			}
			if err := services.SendToCaller(service, p.Key.Source(), append([]byte("re:"), p.Payload...)); err != nil {
				t.Error(err)
			}
		}),
	})
	is.NoErr(err)
	local, err := services.Bind(service, loopback)
	is.NoErr(err)
	repeated, err := services.Bind(service, loopback)
	is.NoErr(err)
	is.Equal(repeated, local) // a repeated Bind keeps the socket
	_, err = services.Bind(netip.MustParseAddrPort("192.0.2.2:9000"), local)
	is.True(err != nil) // the local address is in use for another service
	caller, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(local))
	is.NoErr(err)
	defer caller.Close()
	is.NoErr(caller.SetDeadline(time.Now().Add(5 * time.Second)))
	_, err = caller.Write([]byte("hello"))
	is.NoErr(err)
	buffer := make([]byte, 100)
	n, err := caller.Read(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "re:hello")
	services.Unbind(service)
	is.Equal(services.SendToCaller(service, loopback, nil), datagram.ErrNotBound)
}

// Guards against replies that are passed on with the key of another flow, more sockets than MaxFlows, ports that
// change when a flow is recovered, and closed flows that still send.
func TestFlowSockets(t *testing.T) {
	is := is.New(t)
	backend, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	is.NoErr(err)
	defer backend.Close()
	type reply struct {
		key     flow.Key
		payload string
	}
	replies := make(chan reply, 10)
	flows, err := datagram.NewFlowSockets(datagram.FlowSocketsConfig{
		Backend: backend.LocalAddr().(*net.UDPAddr).AddrPort(), MaxFlows: 2, Group: newGroup(t),
		Handler: replyHandler(func(key flow.Key, payload []byte) { replies <- reply{key, string(payload)} }),
	})
	is.NoErr(err)
	keys := make([]flow.Key, 3)
	for i := range keys {
		keys[i] = flow.NewKey(17, netip.AddrPortFrom(loopback.Addr(), uint16(1000+i)), loopback)
	}
	port, err := flows.Open(keys[0], 0)
	is.NoErr(err)
	reopened, err := flows.Open(keys[0], 0)
	is.NoErr(err)
	is.Equal(port, reopened)
	_, err = flows.Open(keys[1], port)
	is.True(err != nil) // the port is taken
	second, err := flows.Open(keys[1], 0)
	is.NoErr(err)
	_, err = flows.Open(keys[2], 0)
	is.Equal(err, datagram.ErrTooManyFlows)
	ports := map[flow.Key]uint16{keys[0]: port, keys[1]: second}
	for i, payload := range []string{"zero", "one"} {
		is.NoErr(flows.Send(keys[i], []byte(payload)))
		buffer := make([]byte, 100)
		n, from, err := backend.ReadFromUDPAddrPort(buffer)
		is.NoErr(err)
		is.Equal(from.Port(), ports[keys[i]])
		_, err = backend.WriteToUDPAddrPort(buffer[:n], from)
		is.NoErr(err)
		is.Equal(<-replies, reply{keys[i], payload})
	}
	flows.Close(keys[0])
	is.Equal(flows.Send(keys[0], nil), datagram.ErrUnknownFlow)
	recovered, err := flows.Open(keys[2], port)
	is.NoErr(err)
	is.Equal(recovered, port)
	is.Equal(flows.Len(), 2)
}
