package table

import (
	"os"
	"slices"
	"testing"
	"time"

	"agateramp/internal/control/controlpb"
)

// fleetSpecs returns the specs of 390 services with 7,400 hosts in total. The first 11
// services have 200 hosts each, the last one has those that remain, and the others have
// 7 to 20. Each has 4 versions that differ in one host.
func fleetSpecs() []*controlpb.TableSpec {
	specs := make([]*controlpb.TableSpec, 390)
	remaining := 7400
	for i := range specs {
		n := 7 + i%14
		if i < 11 {
			n = 200
		}
		if i == len(specs)-1 {
			n = remaining
		}
		remaining -= n
		members := testMembers(n, 4)
		specs[i] = testSpec(9, members, members[1:], members, members[:n-1])
		specs[i].ServiceId, specs[i].Service = uint32(i+1), nil
	}
	return specs
}

// median returns the median time of a number of runs.
func median(runs int, run func()) time.Duration {
	times := make([]time.Duration, runs)
	for i := range times {
		start := time.Now()
		run()
		times[i] = time.Since(start)
	}
	slices.Sort(times)
	return times[runs/2]
}

// Guards against builds that take so long that a balancer stalls when it applies a spec:
// 5 ms for one service of 200 hosts, and 250 ms for all services (bound 4 of the design).
func TestBoundBuild(t *testing.T) {
	if os.Getenv("AGATERAMP_BOUNDS") != "1" {
		t.Skip("AGATERAMP_BOUNDS is not 1")
	}
	members := testMembers(200, 4)
	large := testSpec(4, members, members[1:], members, members[:199])
	specs := fleetSpecs()
	// Other processes on the machine can only add time, so one attempt within the
	// bounds is enough.
	for attempt := range 5 {
		single := median(21, func() { mustBuild(t, large) })
		all := median(5, func() {
			for _, spec := range specs {
				mustBuild(t, spec)
			}
		})
		t.Logf("attempt %d, 4 versions of 200 hosts: %v; 390 services with 7,400 hosts: %v", attempt, single, all)
		if single < 5*time.Millisecond && all < 250*time.Millisecond {
			return
		}
	}
	t.Error("each of 5 attempts took more than 5 ms for one service or 250 ms for all services")
}

func BenchmarkBuild200(b *testing.B) {
	members := testMembers(200, 4)
	spec := testSpec(4, members, members[1:], members, members[:199])
	b.ReportAllocs()
	for b.Loop() {
		mustBuild(b, spec)
	}
}

func BenchmarkBuildFleet(b *testing.B) {
	specs := fleetSpecs()
	b.ReportAllocs()
	for b.Loop() {
		for _, spec := range specs {
			mustBuild(b, spec)
		}
	}
}

func BenchmarkRoute(b *testing.B) {
	table := mustBuild(b, testSpec(1, testMembers(200, 4)))
	b.ReportAllocs()
	var hash uint64
	for b.Loop() {
		hash += 0x9e3779b97f4a7c15
		if len(table.Route(hash).Hops) == 0 {
			b.Fatal("no hops")
		}
	}
}
