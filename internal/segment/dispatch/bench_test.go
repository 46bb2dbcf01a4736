package dispatch

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/routes"
)

// newDispatcherWithServices returns a dispatcher with a number of services of 19
// hosts each.
func newDispatcherWithServices(b *testing.B, services int) *Dispatcher {
	b.Helper()
	d, err := New(Config{MaxFlows: 1 << 20})
	if err != nil {
		b.Fatal(err)
	}
	var routeList []routes.Route
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		routeList = append(routeList, routes.Route{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i / 250), byte(i % 250)}), 443),
			Targets: []routes.Target{{Service: name, Weight: 1}},
		})
		for j := range 19 {
			d.HandleStatus(startTime, netip.AddrFrom4([4]byte{10, byte(i / 250), byte(i % 250), byte(j)}),
				Status{Service: name, State: packet.HostReady, Load: packet.Load{Slots: 5}})
		}
	}
	set, err := routes.New(routes.Config{Version: 1, Routes: routeList})
	if err != nil {
		b.Fatal(err)
	}
	d.SetRoutes(set)
	return d
}

// benchmarkSegment returns a segment of the i-th caller.
func benchmarkSegment(i int, flags packet.Flags) *packet.Segment {
	return &packet.Segment{
		Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)}), 40000),
		Destination: netip.MustParseAddrPort("198.18.0.1:443"), Flags: flags, Sequence: 100, Data: make([]byte, 36),
	}
}

// BenchmarkFirstPacket measures the placement of a new flow and its acceptance by
// the host.
func BenchmarkFirstPacket(b *testing.B) {
	for _, services := range []int{2, 39, 390} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			d := newDispatcherWithServices(b, services)
			for i := 0; b.Loop(); i++ {
				s := benchmarkSegment(i, packet.SYN)
				f := d.HandlePacket(startTime, s)[0].(Forward)
				d.HandleAccepted(startTime, f.Agent, s.KeyFromCaller(), 1, true, packet.Load{Slots: 5})
				if len(d.deadlines) > 100 {
					d.Tick(startTime)
				}
			}
		})
	}
}

// BenchmarkLaterPacket measures the forwarding of a packet to the owner of its flow.
func BenchmarkLaterPacket(b *testing.B) {
	d := newDispatcherWithServices(b, 390)
	s := benchmarkSegment(1, packet.ACK)
	d.HandlePacket(startTime, s)
	d.HandleAccepted(startTime, d.agentList[0].address, s.KeyFromCaller(), 0, false, packet.Load{})
	b.ReportAllocs()
	for b.Loop() {
		d.HandlePacket(startTime, s)
	}
}

// BenchmarkFlowMemory reports the memory that a flow with a known owner takes.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 100_000
	for b.Loop() {
		d := newDispatcherWithServices(b, 2)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range flows {
			s := benchmarkSegment(i, packet.ACK)
			d.HandlePacket(startTime, s)
			d.HandleAccepted(startTime, d.agentList[0].address, s.KeyFromCaller(), 0, false, packet.Load{})
		}
		d.deadlines = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "bytes/flow")
		runtime.KeepAlive(d)
	}
}
