package agents_test

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/keyvalue/shard"
	"agateramp/internal/keyvalue/store"
)

// BenchmarkControl reports, per second without changes, the control bytes of each balancer and
// agent, the CPU time of all of them together, and the store calls. docs/CAPACITY.md gives how they
// grow with the numbers of agents and balancers. Run it with -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ balancers, agents int }{{3, 30}, {3, 60}, {3, 120}, {6, 60}, {12, 60}} {
		b.Run(fmt.Sprintf("balancers=%d/agents=%d", size.balancers, size.agents), func(b *testing.B) {
			s := newTestSystem(b)
			s.configure(16, nil)
			for range size.balancers {
				s.startBalancer()
			}
			for i := range size.agents {
				s.startAgentAt(i, fmt.Sprintf("a%d", i), fmt.Sprintf("s%d", 1+i%16))
			}
			s.eventually("all members listed", 20*time.Second, func() bool {
				return s.everywhere(func(b *balancer) bool {
					n := 0
					for id := range uint32(16) {
						n += len(b.members(id + 1))
					}
					return n == size.agents && b.retainsOneVersion()
				})
			})
			// Until then the weights settle and the grace time of the holders ends.
			time.Sleep(time.Until(s.started.Add(15 * time.Second)))
			for range b.N {
				s.reportRates(b, 10*time.Second)
			}
		})
	}
}

// reportRates reports the traffic, CPU time and store calls per second over a period.
func (s *testSystem) reportRates(b *testing.B, period time.Duration) {
	count := func(name string, ofAgents bool) (n int64) {
		if ofAgents {
			for _, a := range s.agents {
				n += metrics.GetOrRegisterCounter(name, a.metrics).Count()
			}
			return n
		}
		for _, b := range s.balancers {
			n += metrics.GetOrRegisterCounter(name, b.metrics).Count()
		}
		return n
	}
	var before, after syscall.Rusage
	is := is.New(b)
	is.NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &before))
	values := map[string]int64{}
	for _, name := range []string{"control_bytes_in", "control_bytes_out"} {
		values["balancer_"+name], values["agent_"+name] = -count(name, false), -count(name, true)
	}
	calls := -s.faults.calls.Load()
	time.Sleep(period)
	is.NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &after))
	for _, name := range []string{"control_bytes_in", "control_bytes_out"} {
		values["balancer_"+name] += count(name, false)
		values["agent_"+name] += count(name, true)
	}
	calls += s.faults.calls.Load()
	seconds := period.Seconds()
	cpu := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(cpu)/1e6/seconds, "cpu-ms/s")
	b.ReportMetric(float64(calls)/seconds, "store-calls/s")
	for _, direction := range []string{"in", "out"} {
		name := "control_bytes_" + direction
		b.ReportMetric(float64(values["balancer_"+name])/seconds/float64(len(s.balancers)), "B/s-balancer-"+direction)
		b.ReportMetric(float64(values["agent_"+name])/seconds/float64(len(s.agents)), "B/s-agent-"+direction)
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPropagation reports how long a configuration takes from its acceptance until it is in
// force on 720 agents behind 10 balancers, with 390 services and 7,400 more members that are not
// attached, while a balancer that holds no shard is killed. Run it with -benchtime 1x.
func BenchmarkPropagation(b *testing.B) {
	for _, test := range []struct {
		name string
		// callDelay and watchDelay are in milliseconds.
		callDelay, watchDelay int64
		allServices           bool
	}{
		{"one service", 0, 0, false},
		{"all services", 0, 0, true},
		{"all services, store calls take 1 s", 1000, 0, true},
		{"all services, store calls and watches take 1 s", 1000, 1000, true},
	} {
		b.Run(test.name, func(b *testing.B) {
			s := newTestSystem(b)
			s.storeUnattachedMembers(390, 19)
			s.configure(390, nil)
			for range 9 {
				s.startBalancer()
			}
			s.eventually("every shard held", 20*time.Second, func() bool {
				return s.everywhere(func(b *balancer) bool { return len(b.service.Holders()) == shard.Count })
			})
			s.startBalancer() // holds no shard; measurePropagation kills it
			for i := range 720 {
				s.startAgentAt(i, fmt.Sprintf("a%d", i), fmt.Sprintf("s%d", 1+i%390))
			}
			s.eventually("agents listed", 120*time.Second, func() bool {
				return s.everywhere(func(b *balancer) bool {
					n := 0
					for id := range uint32(390) {
						n += len(b.members(id + 1))
					}
					return n == 720+390*19 && b.retainsOneVersion()
				})
			})
			// The slow start of the hosts that joined takes 30 s.
			time.Sleep(45 * time.Second)
			s.eventually("settled", 60*time.Second, func() bool { return s.everywhere((*balancer).retainsOneVersion) })
			for range b.N {
				s.faults.callDelayMS.Store(test.callDelay)
				s.faults.watchDelayMS.Store(test.watchDelay)
				s.measurePropagation(b, test.allServices)
			}
		})
	}
}

// storeUnattachedMembers writes table specs with hosts that are not attached to a balancer. The
// shard holders keep these hosts, because more than half of each service is missing.
func (s *testSystem) storeUnattachedMembers(services, membersEach int) {
	for id := range services {
		spec := &controlpb.TableSpec{
			ServiceId: uint32(id + 1), Service: &controlpb.Service{Id: uint32(id + 1), Name: fmt.Sprintf("s%d", id+1)},
			Versions: []*controlpb.TableVersion{{Version: 1}},
		}
		for i := range membersEach {
			spec.Versions[0].Members = append(spec.Versions[0].Members, &controlpb.Member{
				Host: fmt.Sprintf("m%d-%d", id, i), Address: fmt.Sprintf("127.1.%d.%d:4000", id/2, (id%2)*100+i+1),
				ControlAddress: fmt.Sprintf("127.1.%d.%d:4001", id/2, (id%2)*100+i+1), DataCentre: "sapporo-a",
				Incarnation: uint64(time.Now().UnixNano()), Weight: 1000, BaseWeight: 1000, Slots: 5, Connections: 2000,
			})
		}
		raw, err := proto.Marshal(spec)
		is.New(s.t).NoErr(err)
		_, err = s.memory.Txn(context.Background(), nil, []store.Write{{Key: shard.TableKey(spec.GetServiceId()), Value: raw}})
		is.New(s.t).NoErr(err)
	}
}

// measurePropagation changes the definition of one service or of all services and reports after how
// many seconds the agents of these received it.
func (s *testSystem) measurePropagation(b *testing.B, allServices bool) {
	previous := s.settings
	s.editSettings = func(next *shard.Settings) {
		for i := 1; i < len(next.Services) && !allServices; i++ {
			next.Services[i].ConfigVersion = previous.Services[i].ConfigVersion
		}
	}
	s.balancers[9].kill()
	accepted := time.Now()
	s.configure(390, nil)
	wantVersion := func(a *testAgent) uint64 {
		for _, c := range s.settings.Services {
			if c.Service.GetName() == a.serviceName {
				return c.ConfigVersion
			}
		}
		return 0
	}
	var latencies []float64
	s.eventually("in force at every agent", 60*time.Second, func() bool {
		latencies = latencies[:0]
		for _, a := range s.agents {
			a.mu.Lock()
			version, received := a.configVersion, a.configReceived
			a.mu.Unlock()
			if version < wantVersion(a) {
				return false
			}
			if received.After(accepted) {
				latencies = append(latencies, received.Sub(accepted).Seconds())
			}
		}
		return true
	})
	slices.Sort(latencies)
	b.ReportMetric(latencies[len(latencies)/2], "s-p50")
	b.ReportMetric(latencies[len(latencies)*99/100], "s-p99")
	b.ReportMetric(latencies[len(latencies)-1], "s-max")
	b.ReportMetric(float64(len(latencies)), "agents")
	b.ReportMetric(0, "ns/op")
}
