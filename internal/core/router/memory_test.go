package router

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// tablesOf returns a router with services of 19 hosts in a number of retained
// versions, and the heap bytes that it holds.
func tablesOf(t testing.TB, services, versions int) (r *Router, bytes uint64) {
	t.Helper()
	before := heapInUse()
	r = mustRouter(t)
	for i := range services {
		_, err := r.Update(testSpec(uint32(i+1), uint64(versions), versions, 19))
		is.New(t).NoErr(err)
	}
	return r, heapInUse() - before
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against tables that outgrow the memory of a balancer: 128 MB for
// everything that control needs, with all 390 services in 4 versions.
func TestMemory(t *testing.T) {
	const limit = 128 << 20
	r, bytes := tablesOf(t, 390, 4)
	t.Logf("390 services of 19 hosts in 4 versions: %.1f MB", float64(bytes)/1e6)
	is.New(t).True(bytes < limit)
	runtime.KeepAlive(r)
}

// BenchmarkMemory prints the heap bytes of a service for docs/CAPACITY.md. Run
// it with -benchtime 1x.
func BenchmarkMemory(b *testing.B) {
	for _, versions := range []int{1, 2, 4} {
		for _, services := range []int{98, 195, 390} {
			b.Run(fmt.Sprintf("versions=%d/services=%d", versions, services), func(b *testing.B) {
				r, bytes := tablesOf(b, services, versions)
				for b.Loop() {
					runtime.KeepAlive(r)
				}
				b.ReportMetric(float64(bytes)/float64(services), "B/service")
			})
		}
	}
}
