package geneve_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/ipv4"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
	"agateramp/internal/core/router"
	"agateramp/internal/packet/geneve"
	"agateramp/internal/process/group"
)

const (
	forwardServices  = 390
	forwardHosts     = 19
	socketsPerSender = 32
	measureTime      = 150 * time.Millisecond
)

// counter is one worker's count on a cache line of its own.
type counter struct {
	n atomic.Int64
	_ [56]byte
}

// path is a forward path under load: address takes packets, and each worker
// counts those that it sent on.
type path struct {
	address netip.AddrPort
	sent    []counter
}

func (p *path) total() (n int64) {
	for i := range p.sent {
		n += p.sent[i].n.Load()
	}
	return n
}

// balancerPath is what a balancer does with a frame from the fabric.
type balancerPath struct {
	path
	router  *router.Router
	peers   map[netip.AddrPort]bool
	scratch []router.Scratch
}

func (b *balancerPath) HandleFrame(w *geneve.Writer, _ netip.AddrPort, _ *flow.Header, packet *flow.Packet) {
	worker := w.Worker()
	if forward, ok := b.router.Decide(time.Now(), packet, &b.scratch[worker]).(*router.Forward); ok {
		if w.Send(forward.To, &forward.Header, packet.Data) == nil {
			b.sent[worker].n.Add(1)
		}
	}
}

func newBalancerPath(tb testing.TB, tasks *group.Group, workers int, hosts []netip.AddrPort) *path {
	is := is.New(tb)
	r, err := router.New(router.Config{Self: source4})
	is.NoErr(err)
	for id := range uint32(forwardServices) {
		spec := &controlpb.TableSpec{ServiceId: id + 1, ConfigVersion: 1, Service: &controlpb.Service{
			Id: id + 1, Name: "service-" + strconv.Itoa(int(id)), FirstPacket: controlpb.FirstPacket_FIRST_PACKET_ANY,
			Addresses: []*controlpb.ServiceAddress{{Address: serviceAddress(int(id)).String(), Protocol: 17}},
		}}
		for version := uint64(4); version > 0; version-- {
			members := &controlpb.TableVersion{Version: version}
			for i, host := range hosts {
				members.Members = append(members.Members, &controlpb.Member{
					Host: "host-" + strconv.Itoa(i), Address: host.String(), DataCentre: strconv.Itoa(i % 2),
					Weight: uint32(1000 + 100*(i+int(version))), Slots: 2, Connections: 2000,
				})
			}
			spec.Versions = append(spec.Versions, members)
		}
		applied, err := r.Update(spec)
		is.NoErr(err)
		is.True(applied)
	}
	b := &balancerPath{router: r, scratch: make([]router.Scratch, workers), path: path{sent: make([]counter, workers)}}
	b.peers = map[netip.AddrPort]bool{source4: true}
	port, err := geneve.New(geneve.Config{
		Listen: loopback, Workers: workers, Handler: b, Group: tasks,
		Accept: func(peer netip.AddrPort) bool { return b.peers[peer] || peer.Addr() == loopback.Addr() },
	})
	is.NoErr(err)
	port.Start()
	b.address = port.Address()
	return &b.path
}

// newRelayPath returns a UDP relay that only copies datagrams to the hosts.
func newRelayPath(tb testing.TB, tasks *group.Group, workers int, hosts []netip.AddrPort) *path {
	p := &path{sent: make([]counter, workers), address: loopback}
	for worker := range workers {
		socket, err := geneve.ListenUDP(p.address, true)
		is.New(tb).NoErr(err)
		p.address = socket.LocalAddr().(*net.UDPAddr).AddrPort()
		tasks.Go("close", func(ctx context.Context) error {
			<-ctx.Done()
			return socket.Close()
		})
		tasks.Go("relay", func(context.Context) error {
			relay(socket, hosts, &p.sent[worker].n)
			return nil
		})
	}
	return p
}

// relay copies datagrams in batches of the size that a port uses.
func relay(socket *net.UDPConn, hosts []netip.AddrPort, sent *atomic.Int64) {
	const size = 16
	conn := ipv4.NewPacketConn(socket)
	in, out := make([]ipv4.Message, size), make([]ipv4.Message, size)
	addresses := make([]net.Addr, len(hosts))
	for i, host := range hosts {
		addresses[i] = net.UDPAddrFromAddrPort(host)
	}
	for i := range in {
		in[i].Buffers, out[i].Buffers = [][]byte{make([]byte, 16<<10)}, make([][]byte, 1)
	}
	for next := 0; ; {
		n, err := conn.ReadBatch(in, 0)
		if err != nil {
			return
		}
		for i := range n {
			out[i].Buffers[0], out[i].Addr = in[i].Buffers[0][:in[i].N], addresses[next%len(addresses)]
			next++
		}
		for pending := out[:n]; len(pending) > 0; {
			m, err := conn.WriteBatch(pending, 0)
			if err != nil {
				break
			}
			pending = pending[m:]
		}
		sent.Add(int64(n))
	}
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func serviceAddress(id int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("192.0.%d.%d:443", id>>8, id&255))
}

// sender floods paths with frames of random flows of all services.
type sender struct {
	sockets []*ipv4.PacketConn
	frames  [][]byte
}

func newSender(tb testing.TB, tasks *group.Group, number int) *sender {
	s := &sender{}
	for range socketsPerSender {
		socket, err := geneve.ListenUDP(loopback, false)
		is.New(tb).NoErr(err)
		tasks.Go("close", func(ctx context.Context) error {
			<-ctx.Done()
			return socket.Close()
		})
		s.sockets = append(s.sockets, ipv4.NewPacketConn(socket))
	}
	for i := range 4096 {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(number), byte(i)}), uint16(1024+i))
		inner, err := geneve.AppendUDP(nil, caller, serviceAddress((i*7+number)%forwardServices), make([]byte, 200))
		is.New(tb).NoErr(err)
		frame, err := geneve.AppendFrame(nil, nil, inner)
		is.New(tb).NoErr(err)
		s.frames = append(s.frames, frame)
	}
	return s
}

// flood sends batches from one socket after the other. It takes less time for a
// packet than a worker, which receives and sends, so one sender keeps it busy.
func (s *sender) flood(to netip.AddrPort, stop *atomic.Bool) {
	messages := make([]ipv4.Message, 16)
	address := net.UDPAddrFromAddrPort(to)
	next := 0
	for i := 0; !stop.Load(); i++ {
		for m := range messages {
			messages[m].Buffers, messages[m].Addr = s.frames[next%len(s.frames):next%len(s.frames)+1], address
			next++
		}
		// A full socket buffer of the path drops frames, so senders never wait.
		_, _ = s.sockets[i%len(s.sockets)].WriteBatch(messages, 0)
	}
}

// bench holds both paths, their hosts and the senders.
type bench struct {
	balancer, relay *path
	senders         []*sender
}

func newBench(tb testing.TB, workers int) *bench {
	tasks := group.New(context.Background())
	tb.Cleanup(func() {
		tasks.Stop()
		is.New(tb).NoErr(tasks.Wait())
	})
	var hosts []netip.AddrPort
	for range forwardHosts {
		// Nobody reads at the hosts: their sockets fill up and drop packets, which
		// takes less time than keeping them and so favours the relay.
		socket, err := geneve.ListenUDP(loopback, false)
		is.New(tb).NoErr(err)
		tb.Cleanup(func() { _ = socket.Close() })
		hosts = append(hosts, socket.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	b := &bench{balancer: newBalancerPath(tb, tasks, workers, hosts), relay: newRelayPath(tb, tasks, workers, hosts)}
	for i := range workers {
		b.senders = append(b.senders, newSender(tb, tasks, i))
	}
	return b
}

// rate floods a path and returns the packets per second that it sent on.
func (b *bench) rate(p *path) float64 {
	var stop atomic.Bool
	var running sync.WaitGroup
	for _, s := range b.senders {
		running.Go(func() { s.flood(p.address, &stop) })
	}
	time.Sleep(measureTime / 10)
	before, start := p.total(), time.Now()
	time.Sleep(measureTime)
	sent, elapsed := p.total()-before, time.Since(start)
	stop.Store(true)
	running.Wait()
	// What is left in the path's sockets must not take time from the next one.
	for last := int64(-1); last != p.total(); time.Sleep(5 * time.Millisecond) {
		last = p.total()
	}
	return float64(sent) / elapsed.Seconds()
}

// compare returns the median of the ratio of both rates over interleaved runs.
func (b *bench) compare(runs int) (ratio, balancer, relay float64) {
	var ratios, balancers, relays []float64
	for i := range runs {
		var x, y float64
		if i%2 == 0 {
			x, y = b.rate(b.balancer), b.rate(b.relay)
		} else {
			y, x = b.rate(b.relay), b.rate(b.balancer)
		}
		ratios, balancers, relays = append(ratios, x/y), append(balancers, x), append(relays, y)
	}
	median := func(values []float64) float64 {
		slices.Sort(values)
		return values[len(values)/2]
	}
	return median(ratios), median(balancers), median(relays)
}

// Guards against a forward path that is slow next to a relay which only copies
// (bound 5 of the design).
func TestBoundForwardPath(t *testing.T) {
	if os.Getenv("AGATERAMP_BOUNDS") != "1" {
		t.Skip("AGATERAMP_BOUNDS is not 1")
	}
	b := newBench(t, 1)
	const bound = 0.6
	var ratio float64
	// Load by other processes can slow one side of a run, so one attempt within
	// the bound shows that it is held.
	for attempt := range 3 {
		var balancer, relay float64
		ratio, balancer, relay = b.compare(15)
		t.Logf("attempt %d: balancer %.0f packets/s, relay %.0f packets/s, median ratio %.2f", attempt, balancer, relay, ratio)
		if ratio >= bound {
			return
		}
	}
	t.Errorf("forward path at %.2f of the relay's rate, want at least %v", ratio, bound)
}

// BenchmarkForwardPath shows how both paths scale with workers.
func BenchmarkForwardPath(b *testing.B) {
	for _, workers := range []int{1, 2, 4, 8} {
		b.Run(strconv.Itoa(workers), func(b *testing.B) {
			bench := newBench(b, workers)
			for b.Loop() {
				ratio, balancer, relay := bench.compare(5)
				b.ReportMetric(ratio, "ratio")
				b.ReportMetric(balancer, "packets/s")
				b.ReportMetric(relay, "relay_packets/s")
			}
		})
	}
}
