package agents_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"agateramp/internal/control/agents"
	"agateramp/internal/control/balancers"
	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/router"
	"agateramp/internal/keyvalue/memory"
	"agateramp/internal/keyvalue/shard"
	"agateramp/internal/keyvalue/store"
	"agateramp/internal/process/group"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordingTables is a router that records suspicions and reversions. A reversion is an update that
// lowers a table version or the configuration version of a service.
type recordingTables struct {
	*router.Router
	mu sync.Mutex
	// newest holds the last spec by service id.
	newest map[uint32]*controlpb.TableSpec
	// reversions describes each reversion.
	reversions []string
	// suspected holds the last reported state by data address.
	suspected map[netip.AddrPort]bool
}

func (t *recordingTables) Update(spec *controlpb.TableSpec) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.newest[spec.GetServiceId()]
	if old != nil && (shard.NewestVersion(spec) < shard.NewestVersion(old) || shard.OldestVersion(spec) < shard.OldestVersion(old) || spec.GetConfigVersion() < old.GetConfigVersion()) {
		t.reversions = append(t.reversions, fmt.Sprintf("service %d from table version %d to %d", spec.GetServiceId(), shard.NewestVersion(old), shard.NewestVersion(spec)))
	}
	t.newest[spec.GetServiceId()] = spec
	return t.Router.Update(spec)
}

func (t *recordingTables) SetSuspected(a netip.AddrPort, suspected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspected[a] = suspected
	t.Router.SetSuspected(a, suspected)
}

// balancer is the control plane of one balancer.
type balancer struct {
	name    string
	group   *group.Group
	store   *faultyStore
	tables  *recordingTables
	service *agents.Service
	metrics metrics.Registry
}

// testAgent is an agent that acknowledges every spec at once.
type testAgent struct {
	name    string
	group   *group.Group
	service *balancers.Service
	// ready is closed once service is set.
	ready   chan struct{}
	metrics metrics.Registry
	mu      sync.Mutex
	// version is the newest table version of the last spec.
	version      uint64
	drainOrdered bool
	// reverted is set if a spec was older than the one before.
	reverted    bool
	serviceName string
	// configVersion is the newest configuration version of a spec; configReceived is when it came.
	configVersion  uint64
	configReceived time.Time
}

func (a *testAgent) HandleTableSpec(spec *controlpb.TableSpec) {
	<-a.ready
	a.mu.Lock()
	a.reverted = a.reverted || shard.NewestVersion(spec) < a.version
	a.version = shard.NewestVersion(spec)
	if spec.GetConfigVersion() > a.configVersion {
		a.configVersion, a.configReceived = spec.GetConfigVersion(), time.Now()
	}
	a.mu.Unlock()
	a.service.Ack(spec.GetServiceId(), shard.NewestVersion(spec), true)
}

func (a *testAgent) HandleDrainOrder(drain bool, _ string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drainOrdered = drain
}

func (a *testAgent) draining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.drainOrdered
}

// testSystem is a set of balancers and agents that share a store in memory.
type testSystem struct {
	t      testing.TB
	memory *memory.Store
	faults storeFaults
	// settings is the newest configuration.
	settings *shard.Settings
	// editSettings changes the next settings before they are accepted. If nil, they stay as they are.
	editSettings func(next *shard.Settings)
	started      time.Time
	balancers    []*balancer
	agents       []*testAgent
}

func newTestSystem(t testing.TB) *testSystem {
	m, err := memory.New(memory.Config{})
	is.New(t).NoErr(err)
	s := &testSystem{t: t, memory: m, settings: &shard.Settings{}, started: time.Now()}
	t.Cleanup(func() {
		for _, a := range s.agents {
			a.group.Stop()
		}
		for _, b := range s.balancers {
			b.group.Stop()
		}
		for _, a := range s.agents {
			is.New(t).NoErr(a.group.Wait())
		}
		for _, b := range s.balancers {
			is.New(t).NoErr(b.group.Wait())
		}
	})
	return s
}

// configure accepts the next configuration version, in which every service has a new definition:
// it writes a manifest to the store and passes the settings to every balancer.
func (s *testSystem) configure(services int, hosts map[string]shard.HostSettings) {
	s.t.Helper()
	next := &shard.Settings{Version: s.settings.Version + 1, Hosts: hosts}
	for i := range services {
		next.Services = append(next.Services, shard.ServiceSettings{
			Service: &controlpb.Service{Id: uint32(i + 1), Name: fmt.Sprintf("s%d", i+1)}, ConfigVersion: next.Version,
		})
	}
	if s.editSettings != nil {
		s.editSettings(next)
	}
	result, err := s.memory.Txn(context.Background(), nil, []store.Write{{Key: shard.ConfigKey, Value: []byte("{}")}})
	is.New(s.t).NoErr(err)
	next.Revision = result.Revision.Number
	s.settings = next
	for _, b := range s.balancers {
		b.service.Configure(next)
	}
}

// startBalancer starts a balancer with the control addresses of other balancers as seeds.
func (s *testSystem) startBalancer(seeds ...string) *balancer {
	s.t.Helper()
	is := is.New(s.t)
	n := len(s.balancers)
	r, err := router.New(router.Config{Self: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 20000+n))})
	is.NoErr(err)
	b := &balancer{
		name: fmt.Sprintf("b%d", n), group: group.New(context.Background()), metrics: metrics.NewRegistry(),
		store:  &faultyStore{Store: s.memory, faults: &s.faults},
		tables: &recordingTables{Router: r, newest: map[uint32]*controlpb.TableSpec{}, suspected: map[netip.AddrPort]bool{}},
	}
	b.service, err = agents.New(agents.Config{
		Name: b.name, Listen: "127.0.0.1:0", Seeds: seeds, Store: b.store, Tables: b.tables, Group: b.group, Metrics: b.metrics,
	})
	is.NoErr(err)
	b.service.Configure(s.settings)
	s.balancers = append(s.balancers, b)
	return b
}

// startAgent starts an agent that connects to the first three live balancers. If the host ran
// before, the agent gets a new incarnation.
func (s *testSystem) startAgent(name, service string) *testAgent {
	s.t.Helper()
	return s.startAgentAt(0, name, service)
}

// startAgentAt starts an agent that connects to three live balancers, beginning with the one at an
// index.
func (s *testSystem) startAgentAt(firstBalancer int, name, service string) *testAgent {
	s.t.Helper()
	a := &testAgent{name: name, serviceName: service, group: group.New(context.Background()), ready: make(chan struct{}), metrics: metrics.NewRegistry()}
	var targets []string
	for i := range s.balancers {
		b := s.balancers[(firstBalancer+i)%len(s.balancers)]
		if len(targets) < 3 && b.group.Context().Err() == nil {
			targets = append(targets, b.service.ControlAddress())
		}
	}
	var err error
	a.service, err = balancers.New(balancers.Config{
		Targets: targets, Service: service, Group: a.group, Handler: a, Metrics: a.metrics,
		Member: &controlpb.Member{
			Host: name, Address: "127.0.0.1:3" + strings.Repeat("0", 4-len(name[1:])) + name[1:], Weight: 1000,
			DataCentre: "sapporo-a", Slots: 5, Connections: 2000,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Load: func() *controlpb.Heartbeat { return &controlpb.Heartbeat{BusyShare: 500} },
	})
	is.New(s.t).NoErr(err)
	close(a.ready)
	s.agents = append(s.agents, a)
	return a
}

// kill cuts a balancer off from the store and then stops it, so that it cannot revoke its leases.
func (b *balancer) kill() {
	b.store.cutOff.Store(true)
	b.group.Stop()
}

// eventually waits for a condition, fails the test if it does not hold within a time, and returns
// how long it took.
func (s *testSystem) eventually(what string, within time.Duration, condition func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > within {
			for _, b := range s.balancers {
				s.t.Logf("%s: version in force %d, pending services %v, holders %v", b.name, b.service.VersionInForce(), b.service.PendingServices(), b.service.Holders())
				for id, spec := range b.service.Specs() {
					s.t.Logf("  service %d: table versions %d to %d, %d members", id, shard.OldestVersion(spec), shard.NewestVersion(spec), len(spec.GetVersions()[0].GetMembers()))
				}
			}
			s.t.Fatalf("%s: condition does not hold after %s", what, within)
		}
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(start)
	s.t.Logf("%s: after %s", what, took.Round(time.Millisecond))
	return took
}

// everywhere reports whether a condition holds on every live balancer.
func (s *testSystem) everywhere(condition func(b *balancer) bool) bool {
	for _, b := range s.balancers {
		if b.group.Context().Err() == nil && !condition(b) {
			return false
		}
	}
	return true
}

// members returns the members in the newest table version of a service, by host name.
func (b *balancer) members(id uint32) (members map[string]*controlpb.Member) {
	members = map[string]*controlpb.Member{}
	if spec := b.service.Specs()[id]; spec != nil {
		for _, m := range spec.GetVersions()[0].GetMembers() {
			members[m.GetHost()] = m
		}
	}
	return members
}

// retainsOneVersion reports whether every table spec has a single version.
func (b *balancer) retainsOneVersion() bool {
	for _, spec := range b.service.Specs() {
		if len(spec.GetVersions()) != 1 {
			return false
		}
	}
	return true
}
