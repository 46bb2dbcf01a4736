package dispatch

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"agateramp/internal/segment/packet"
	"agateramp/internal/segment/routes"
)

// fleetOf returns a dispatcher with a number of services of 19 hosts.
func fleetOf(b *testing.B, services int) *Dispatcher {
	b.Helper()
	d, err := New(Config{MaxFlows: 1 << 20})
	if err != nil {
		b.Fatal(err)
	}
	var list []routes.Route
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		list = append(list, routes.Route{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i / 250), byte(i % 250)}), 443),
			Targets: []routes.Target{{Service: name, Weight: 1}},
		})
		for j := range 19 {
			d.HandleStatus(start, netip.AddrFrom4([4]byte{10, byte(i / 250), byte(i % 250), byte(j)}),
				Status{Service: name, State: packet.HostReady, Load: packet.Load{Slots: 5}})
		}
	}
	set, err := routes.New(routes.Config{Version: 1, Routes: list})
	if err != nil {
		b.Fatal(err)
	}
	d.SetRoutes(set)
	return d
}

func packetOf(i int, flags packet.Flags) *packet.Segment {
	return &packet.Segment{
		Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)}), 40000),
		Destination: netip.MustParseAddrPort("198.18.0.1:443"), Flags: flags, Sequence: 100, Data: make([]byte, 36),
	}
}

func BenchmarkFirstPacket(b *testing.B) {
	for _, services := range []int{2, 39, 390} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			d := fleetOf(b, services)
			for i := 0; b.Loop(); i++ {
				s := packetOf(i, packet.SYN)
				f := d.HandlePacket(start, s)[0].(Forward)
				d.HandleAccepted(start, f.Agent, s.KeyFromCaller(), 1, true, packet.Load{Slots: 5})
				if len(d.pending) > 100 {
					d.Tick(start)
				}
			}
		})
	}
}

func BenchmarkLaterPacket(b *testing.B) {
	d := fleetOf(b, 390)
	s := packetOf(1, packet.ACK)
	d.HandlePacket(start, s)
	d.HandleAccepted(start, d.order[0].address, s.KeyFromCaller(), 0, false, packet.Load{})
	b.ReportAllocs()
	for b.Loop() {
		d.HandlePacket(start, s)
	}
}

// BenchmarkFlowMemory reports the memory that a settled flow takes.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 100_000
	for b.Loop() {
		d := fleetOf(b, 2)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range flows {
			s := packetOf(i, packet.ACK)
			d.HandlePacket(start, s)
			d.HandleAccepted(start, d.order[0].address, s.KeyFromCaller(), 0, false, packet.Load{})
		}
		d.pending = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "bytes/flow")
		runtime.KeepAlive(d)
	}
}
