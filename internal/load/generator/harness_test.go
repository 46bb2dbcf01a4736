package generator_test

import (
	"context"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/core/flow"
	"agateramp/internal/load/generator"
	"agateramp/internal/load/history"
	"agateramp/internal/load/payload"
	"agateramp/internal/packet/datagram"
	"agateramp/internal/packet/geneve"
	"agateramp/internal/process/group"
	"agateramp/internal/standin/backend"
	"agateramp/internal/standin/fabric"
)

const serviceID = 7

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	service  = netip.MustParseAddrPort("192.0.2.1:9000")
)

// system is a fabric, two balancers and two backend servers. The balancers choose the
// server by the hash of the flow, unless route is set.
type system struct {
	t       *testing.T
	tasks   *group.Group
	record  *history.History
	fabric  *fabric.Fabric
	servers []*backend.Server
	// route returns the indexes of the servers to which a packet is forwarded. If nil, it
	// is forwarded to the server chosen by its hash.
	route func(packet *flow.Packet) []int
	// replaceAnswer returns the payload to send instead of an answer. If nil, answers are sent
	// unchanged.
	replaceAnswer func(payload []byte) []byte
}

func newSystem(t *testing.T) *system {
	s := &system{t: t, tasks: group.New(context.Background()), record: history.New()}
	t.Cleanup(func() {
		s.tasks.Stop()
		if err := s.tasks.Wait(); err != nil {
			t.Error(err)
		}
	})
	var err error
	s.fabric, err = fabric.New(fabric.Config{Seed: 1, Group: s.tasks})
	s.check(err)
	for i := range 2 {
		server, err := backend.New(backend.Config{
			Name: "host-" + strconv.Itoa(i), Service: serviceID, Slots: 8, History: s.record, Group: s.tasks,
		})
		s.check(err)
		s.servers = append(s.servers, server)
	}
	return s
}

func (s *system) check(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// serversFor returns the indexes of the servers to which a packet is forwarded.
func (s *system) serversFor(packet *flow.Packet) []int {
	if s.route != nil {
		return s.route(packet)
	}
	return []int{int(packet.Hash % 2)}
}

// answerForwarder forwards the answers of the servers to the callers through a balancer.
type answerForwarder struct {
	system   *system
	services *datagram.ServiceSockets
}

func (a *answerForwarder) HandleReply(key flow.Key, payload []byte) {
	if a.system.replaceAnswer != nil {
		payload = a.system.replaceAnswer(payload)
	}
	_ = a.services.SendToCaller(service, key.Source(), payload)
}

// datagramForwarder forwards datagrams of callers to the servers.
type datagramForwarder struct {
	system *system
	hosts  []*datagram.FlowSockets
}

func (c *datagramForwarder) HandleDatagram(packet *flow.Packet) {
	for _, host := range c.system.serversFor(packet) {
		if _, err := c.hosts[host].Open(packet.Key, 0); err == nil {
			_ = c.hosts[host].Send(packet.Key, packet.Payload)
		}
	}
}

// datagrams starts balancers that use the datagram adapter and returns a transport to them.
func (s *system) datagrams() generator.Transport {
	handler := &datagramForwarder{system: s}
	answer := &answerForwarder{system: s}
	for i := range 2 {
		services, err := datagram.NewServiceSockets(datagram.ServiceSocketsConfig{Handler: handler, Group: s.tasks})
		s.check(err)
		if i == 0 {
			answer.services = services
			for _, server := range s.servers {
				address, err := server.ServeUDP(loopback)
				s.check(err)
				flows, err := datagram.NewFlowSockets(datagram.FlowSocketsConfig{Backend: address, Handler: answer, Group: s.tasks})
				s.check(err)
				handler.hosts = append(handler.hosts, flows)
			}
		}
		bound, err := services.Bind(service, loopback)
		s.check(err)
		s.fabric.Add(fabric.Balancer{Name: strconv.Itoa(i), Services: map[netip.AddrPort]netip.AddrPort{service: bound}})
	}
	target, err := s.fabric.BindService(service, loopback)
	s.check(err)
	transport, err := generator.NewDatagram(target)
	s.check(err)
	return transport
}

// tunnelForwarder forwards Geneve packets of callers to the servers.
type tunnelForwarder struct {
	system  *system
	tunnels []*backend.Tunnel
}

func (f *tunnelForwarder) HandleFrame(w *geneve.Writer, _ netip.AddrPort, _ *flow.Header, packet *flow.Packet) {
	for _, host := range f.system.serversFor(packet) {
		_ = w.Send(f.tunnels[host].Address(), nil, packet.Data)
	}
}

// geneve starts balancers that use the Geneve adapter and returns a transport to them.
func (s *system) geneve(tcp bool) generator.Transport {
	port, err := s.fabric.ListenGeneve(loopback)
	s.check(err)
	port.Route(service)
	handler := &tunnelForwarder{system: s}
	for _, server := range s.servers {
		tunnel, err := backend.NewTunnel(backend.TunnelConfig{Listen: loopback, Fabric: port.Address(), Server: server})
		s.check(err)
		handler.tunnels = append(handler.tunnels, tunnel)
	}
	for i := range 2 {
		balancer, err := geneve.New(geneve.Config{Listen: loopback, Handler: handler, Group: s.tasks})
		s.check(err)
		balancer.Start()
		s.fabric.Add(fabric.Balancer{Name: strconv.Itoa(i), Data: balancer.Address()})
	}
	transport, err := generator.NewGeneve(generator.GeneveConfig{
		Listen: loopback, Fabric: port.Address(), Service: service, TCP: tcp, Ports: 60,
		Caller: netip.MustParseAddr("198.51.100.1"), Group: s.tasks,
	})
	s.check(err)
	return transport
}

// load runs a generator to its end and returns its summary.
func (s *system) load(cfg generator.Config) history.Summary {
	cfg.Service, cfg.History, cfg.Seed = serviceID, s.record, 3
	cfg.RetransmitMS, cfg.BodySize = 30, 300
	g, err := generator.New(cfg)
	s.check(err)
	summary, err := g.Run(context.Background())
	s.check(err)
	return summary
}

// parseRequest returns the request in a packet, and false if the packet holds none.
func parseRequest(packet *flow.Packet) (payload.Request, bool) {
	r, _, err := payload.ParseRequest(packet.Payload)
	return r, err == nil
}

// eventually waits up to 10 s for a condition that other goroutines fulfil, and ends the
// test with the message what if they do not.
func eventually(t *testing.T, what string, condition func() bool) {
	is := is.New(t)
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			is.Fail() // condition was not met
			t.Fatal(what)
		}
	}
}
