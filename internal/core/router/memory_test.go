package router

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// newSizedRouter returns a router with the given number of services of 19 hosts, each
// with the given number of retained versions, and the heap bytes that it uses.
func newSizedRouter(t testing.TB, services, versions int) (r *Router, bytes uint64) {
	t.Helper()
	before := heapBytes()
	r = mustRouter(t)
	for i := range services {
		_, err := r.Update(testSpec(uint32(i+1), uint64(versions), versions, 19))
		is.New(t).NoErr(err)
	}
	return r, heapBytes() - before
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against tables that need more memory than a balancer has for all of its
// control data: 128 MB with all 390 services in 4 versions.
func TestTablesMemory(t *testing.T) {
	const limit = 128 << 20
	r, bytes := newSizedRouter(t, 390, 4)
	t.Logf("390 services of 19 hosts in 4 versions: %.1f MB", float64(bytes)/1e6)
	is.New(t).True(bytes < limit)
	runtime.KeepAlive(r)
}

// BenchmarkTablesMemory reports the heap bytes per service for docs/CAPACITY.md. Run
// it with -benchtime 1x.
func BenchmarkTablesMemory(b *testing.B) {
	for _, versions := range []int{1, 2, 4} {
		for _, services := range []int{98, 195, 390} {
			b.Run(fmt.Sprintf("versions=%d/services=%d", versions, services), func(b *testing.B) {
				r, bytes := newSizedRouter(b, services, versions)
				for b.Loop() {
					runtime.KeepAlive(r)
				}
				b.ReportMetric(float64(bytes)/float64(services), "B/service")
			})
		}
	}
}
