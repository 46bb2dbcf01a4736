package generator_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/core/flow"
	"agateramp/internal/load/generator"
	"agateramp/internal/load/history"
	"agateramp/internal/standin/fabric"
)

// Guards against requests that are lost, confused or run twice by the load tool or the
// stand-ins when the fabric loses, duplicates and reorders packets and a balancer is
// removed, and against caller ports that cannot be used again after their flow.
func TestLoadOverDisturbedFabric(t *testing.T) {
	tests := []struct {
		name      string
		transport func(s *system) generator.Transport
	}{
		{"datagram", func(s *system) generator.Transport { return s.datagrams() }},
		{"geneve udp", func(s *system) generator.Transport { return s.geneve(false) }},
		{"geneve tcp", func(s *system) generator.Transport { return s.geneve(true) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSystem(t)
			s.fabric.SetFaults(fabric.Faults{Lost: 30, Duplicated: 100, Delayed: 100, MaxDelayMS: 20})
			var removal sync.Once
			var packets atomic.Int32
			s.route = func(packet *flow.Packet) []int {
				if packets.Add(1) > 200 {
					removal.Do(func() { s.fabric.Remove("1") })
				}
				return []int{int(packet.Hash % 2)}
			}
			summary := s.load(generator.Config{Transport: test.transport(s), Flows: 200, Concurrency: 40, Length: 3, WorkMicros: 1000})
			is.Equal(summary.Violations, []string{})
			is.Equal(summary.FlowsOpened, 200)
			is.Equal(summary.FlowsCompleted, 200)
			is.Equal(summary.Requests, int64(600))
			is.True(summary.Retransmissions > 0) // lost packets
			is.Equal(len(summary.PerHost), 2)
			is.True(summary.LatencyMS.P50 >= 0.01)
			sprayed := s.fabric.Sprayed()
			is.True(sprayed["1"] >= 50 && sprayed["1"] < sprayed["0"]) // both balancers, until one was removed
			for _, server := range s.servers {
				for _, run := range server.Record() {
					is.Equal(server.Runs(run.Request), 1)
				}
			}
		})
	}
}

// Guards against a load tool that does not report the faults of balancers and backend
// servers: each test case causes one kind of fault.
func TestLoadSeesFaults(t *testing.T) {
	refusal := []byte("not run")
	tests := []struct {
		name    string
		disturb func(s *system)
		count   func(s history.Summary) int
	}{
		{"work run on two hosts", func(s *system) {
			s.route = func(*flow.Packet) []int { return []int{0, 1} }
		}, func(s history.Summary) int { return s.RunsDoubled }},
		{"packet for another service", func(s *system) {
			s.servers[0].SetService(serviceID + 1)
		}, func(s history.Summary) int { return s.PacketsMisdelivered }},
		{"refused after delivery", func(s *system) {
			s.replaceAnswer = func([]byte) []byte { return refusal }
		}, func(s history.Summary) int { return s.RefusedButRun }},
		{"answer truncated", func(s *system) {
			s.replaceAnswer = func(payload []byte) []byte { return payload[:len(payload)-1] }
		}, func(s history.Summary) int { return s.AnswersWrong }},
		{"answers of another flow", func(s *system) {
			var mu sync.Mutex
			var last []byte
			s.replaceAnswer = func(payload []byte) []byte {
				mu.Lock()
				defer mu.Unlock()
				other := last
				last = append([]byte(nil), payload...)
				if other == nil {
					return payload
				}
				return other
			}
		}, func(s history.Summary) int { return s.AnswersWrong }},
		{"established flow lost", func(s *system) {
			s.route = func(packet *flow.Packet) []int {
				if r, ok := parseRequest(packet); ok && r.Sequence == 0 {
					return []int{0}
				}
				return nil
			}
		}, func(s history.Summary) int { return s.FlowsBroken }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSystem(t)
			test.disturb(s)
			summary := s.load(generator.Config{
				Transport: s.datagrams(), Flows: 10, Length: 2, Retransmissions: 1, Refusal: refusal,
			})
			// The flows may end before a server has read the last packets.
			eventually(t, "the load tool did not report the fault", func() bool {
				summary = history.Summarize(s.record, nil)
				return test.count(summary) > 0
			})
			is.True(len(summary.Violations) > 0)
		})
	}
}

// Guards against flows that continue after the end of the load run, and against flows
// that are opened faster than the rate.
func TestLoadEndsInTime(t *testing.T) {
	is := is.New(t)
	s := newSystem(t)
	started := time.Now()
	summary := s.load(generator.Config{
		Transport: s.datagrams(), Until: started.Add(500 * time.Millisecond), Rate: 100, Length: 1000, IntervalMS: 100,
	})
	is.True(time.Since(started) < 5*time.Second)
	is.True(summary.FlowsOpened <= 50)
	is.True(summary.FlowsOpened > 0)
	is.Equal(summary.Violations, []string{})
}

// Guards against late answers that are mistaken for answers to other requests, and
// against a request held by its server that runs again when it is retransmitted.
func TestLateAnswers(t *testing.T) {
	is := is.New(t)
	s := newSystem(t)
	for _, server := range s.servers {
		server.Hold(true)
	}
	transport := s.datagrams()
	s.tasks.Go("release", func(ctx context.Context) error {
		eventually(t, "the backend servers did not hold all 10 requests", func() bool {
			return ctx.Err() != nil || len(s.servers[0].Record())+len(s.servers[1].Record()) == 10
		})
		time.Sleep(100 * time.Millisecond) // several retransmissions
		for _, server := range s.servers {
			server.Hold(false)
		}
		return nil
	})
	summary := s.load(generator.Config{Transport: transport, Flows: 10, Length: 2})
	is.Equal(summary.Violations, []string{})
	is.Equal(summary.FlowsCompleted, 10)
	is.True(summary.Retransmissions > 0)
}
