package owner

import (
	"net/netip"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

const boundFlows = 100_000

func skipUnlessBounds(t *testing.T) {
	if os.Getenv("AGATERAMP_BOUNDS") != "1" {
		t.Skip("AGATERAMP_BOUNDS is not 1")
	}
}

// heapInUse returns the bytes of live heap objects.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// ownerWithFlows returns an Owner that has boundFlows flows, with a packet of each flow.
// The packets are adjacent in memory, because a received packet is in the processor's
// cache.
func ownerWithFlows(t testing.TB) (o *Owner, h *flow.Header, packets []flow.Packet, bytesPerFlow float64) {
	spec := testSpec(&controlpb.Service{Id: 1, Idempotent: true}, 1, []int{1})
	o = newTestOwner(t, Config{Self: hostAddress(1), Connections: boundFlows, MaxFlows: 2 * boundFlows}, spec)
	h = &flow.Header{ServiceID: 1, Version: 1, PathLen: 1}
	h.Path[0] = flow.Hop{Address: hostAddress(1), RoleVersion: 1}
	packets = make([]flow.Packet, boundFlows)
	data := make([]byte, 40)
	data[0] = 0x45
	destination := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, 0, 1}), 80)
	for i := range packets {
		source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(i >> 16), byte(i >> 8)}), uint16(i))
		p := &packets[i]
		p.Key, p.Data = flow.NewKey(protocolTCP, source, destination), data
		p.Hash = p.Key.Hash()
	}
	before := heapInUse()
	var effects []Effect
	for i := range packets {
		p := &packets[i]
		p.SYN = true
		effects = o.HandlePacket(startTime, h, p, effects[:0])
		p.SYN = false
	}
	return o, h, packets, float64(heapInUse()-before) / boundFlows
}

// Guards against lookups above 300 ns and flows above 128 bytes (bound 4 of the design).
func TestBoundLookup(t *testing.T) {
	skipUnlessBounds(t)
	is := is.New(t)
	o, h, packets, bytesPerFlow := ownerWithFlows(t)
	var durations []time.Duration
	effects := make([]Effect, 0, 4)
	for range 21 {
		start := time.Now()
		for i := range packets {
			effects = o.HandlePacket(startTime, h, &packets[i], effects[:0])
		}
		durations = append(durations, time.Since(start)/boundFlows)
	}
	slices.Sort(durations)
	t.Logf("%d flows: lookup median %v, slowest run %v; %.1f bytes a flow", boundFlows, durations[10], durations[20], bytesPerFlow)
	is.True(durations[10] <= 300*time.Nanosecond)
	is.True(bytesPerFlow <= 128)
}

// Guards against broken flows and duplicated work in 1,000 schedules of each kind (bounds
// 1 and 2 of the design). The ordinary run covers a part of them.
func TestBoundSchedules(t *testing.T) {
	skipUnlessBounds(t)
	checkSchedules(t, false, seedsUpTo(boundSchedules))
	checkSchedules(t, true, seedsUpTo(boundSchedules))
	for _, mode := range []placementMode{statelessHashing, balancerFlowTables} {
		if result := runSchedules(t, mode, false, seedsUpTo(boundSchedules), ignoreRun); result.broken == 0 {
			t.Error("no flow broke on a baseline, want at least one")
		}
	}
}

func BenchmarkLookup(b *testing.B) {
	o, h, packets, _ := ownerWithFlows(b)
	b.ReportAllocs()
	effects := make([]Effect, 0, 4)
	i := 0
	for b.Loop() {
		effects = o.HandlePacket(startTime, h, &packets[i], effects[:0])
		i = (i + 1) % len(packets)
	}
}

// Guards against faults that only few schedules show. check.sh --long runs it.
func TestLongSchedules(t *testing.T) {
	if os.Getenv("AGATERAMP_LONG") != "1" {
		t.Skip("AGATERAMP_LONG is not 1")
	}
	seeds := seedsUpTo(longSchedules)[boundSchedules:]
	checkSchedules(t, false, seeds)
	checkSchedules(t, true, seeds)
}
