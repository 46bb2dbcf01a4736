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

// tables is a router that notes every reversion.
type tables struct {
	*router.Router
	mu        sync.Mutex
	newest    map[uint32]*controlpb.TableSpec
	reverted  []string
	suspected map[netip.AddrPort]bool
}

func (t *tables) Update(spec *controlpb.TableSpec) (bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.newest[spec.GetServiceId()]
	if old != nil && (shard.Newest(spec) < shard.Newest(old) || shard.Oldest(spec) < shard.Oldest(old) || spec.GetConfigVersion() < old.GetConfigVersion()) {
		t.reverted = append(t.reverted, fmt.Sprintf("service %d from %d to %d", spec.GetServiceId(), shard.Newest(old), shard.Newest(spec)))
	}
	t.newest[spec.GetServiceId()] = spec
	return t.Router.Update(spec)
}

func (t *tables) SetSuspected(a netip.AddrPort, suspected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspected[a] = suspected
	t.Router.SetSuspected(a, suspected)
}

type balancer struct {
	name    string
	group   *group.Group
	store   *view
	tables  *tables
	service *agents.Service
	metrics metrics.Registry
}

// host is an agent; it confirms every spec at once.
type host struct {
	name        string
	group       *group.Group
	service     *balancers.Service
	ready       chan struct{}
	metrics     metrics.Registry
	mu          sync.Mutex
	version     uint64
	drains      bool
	reverted    bool
	serviceName string
	// config is the newest configuration version of a spec, and at when it came.
	config uint64
	at     time.Time
}

func (h *host) HandleTableSpec(spec *controlpb.TableSpec) {
	<-h.ready
	h.mu.Lock()
	h.reverted = h.reverted || shard.Newest(spec) < h.version
	h.version = shard.Newest(spec)
	if spec.GetConfigVersion() > h.config {
		h.config, h.at = spec.GetConfigVersion(), time.Now()
	}
	h.mu.Unlock()
	h.service.Ack(spec.GetServiceId(), shard.Newest(spec), true)
}

func (h *host) HandleDrainOrder(drain bool, _ string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drains = drain
}

func (h *host) draining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.drains
}

type system struct {
	t        testing.TB
	memory   *memory.Store
	faults   storeFaults
	settings *shard.Settings
	// nextSettings edits the next settings before they are accepted. It may be nil.
	nextSettings func(next *shard.Settings)
	started      time.Time
	balancers    []*balancer
	hosts        []*host
}

func newSystem(t testing.TB) *system {
	m, err := memory.New(memory.Config{})
	is.New(t).NoErr(err)
	s := &system{t: t, memory: m, settings: &shard.Settings{}, started: time.Now()}
	t.Cleanup(func() {
		for _, h := range s.hosts {
			h.group.Stop()
		}
		for _, b := range s.balancers {
			b.group.Stop()
		}
		for _, h := range s.hosts {
			is.New(t).NoErr(h.group.Wait())
		}
		for _, b := range s.balancers {
			is.New(t).NoErr(b.group.Wait())
		}
	})
	return s
}

// configure writes a manifest and hands the settings to every balancer.
func (s *system) configure(services int, hosts map[string]shard.HostSettings) {
	s.t.Helper()
	next := &shard.Settings{Version: s.settings.Version + 1, Hosts: hosts}
	for i := range services {
		next.Services = append(next.Services, shard.ServiceSettings{
			Service: &controlpb.Service{Id: uint32(i + 1), Name: fmt.Sprintf("s%d", i+1)}, ConfigVersion: next.Version,
		})
	}
	if s.nextSettings != nil {
		s.nextSettings(next)
	}
	result, err := s.memory.Txn(context.Background(), nil, []store.Write{{Key: shard.ConfigKey, Value: []byte("{}")}})
	is.New(s.t).NoErr(err)
	next.Revision = result.Revision
	s.settings = next
	for _, b := range s.balancers {
		b.service.Configure(next)
	}
}

func (s *system) startBalancer(seeds ...string) *balancer {
	s.t.Helper()
	is := is.New(s.t)
	n := len(s.balancers)
	r, err := router.New(router.Config{Self: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 20000+n))})
	is.NoErr(err)
	b := &balancer{
		name: fmt.Sprintf("b%d", n), group: group.New(context.Background()), metrics: metrics.NewRegistry(),
		store:  &view{Store: s.memory, faults: &s.faults},
		tables: &tables{Router: r, newest: map[uint32]*controlpb.TableSpec{}, suspected: map[netip.AddrPort]bool{}},
	}
	b.service, err = agents.New(agents.Config{
		Name: b.name, Listen: "127.0.0.1:0", Seeds: seeds, Store: b.store, Tables: b.tables, Group: b.group, Metrics: b.metrics,
	})
	is.NoErr(err)
	b.service.Configure(s.settings)
	s.balancers = append(s.balancers, b)
	return b
}

// startHost starts an agent of the first three live balancers; a host that has run
// before gets a new incarnation.
func (s *system) startHost(name, service string) *host {
	s.t.Helper()
	return s.startHostAt(0, name, service)
}

func (s *system) startHostAt(first int, name, service string) *host {
	s.t.Helper()
	h := &host{name: name, serviceName: service, group: group.New(context.Background()), ready: make(chan struct{}), metrics: metrics.NewRegistry()}
	var targets []string
	for i := range s.balancers {
		b := s.balancers[(first+i)%len(s.balancers)]
		if len(targets) < 3 && b.group.Context().Err() == nil {
			targets = append(targets, b.service.ControlAddress())
		}
	}
	var err error
	h.service, err = balancers.New(balancers.Config{
		Targets: targets, Service: service, Group: h.group, Handler: h, Metrics: h.metrics,
		Member: &controlpb.Member{
			Host: name, Address: "127.0.0.1:3" + strings.Repeat("0", 4-len(name[1:])) + name[1:], Weight: 1000,
			DataCentre: "sapporo-a", Slots: 5, Connections: 2000,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Load: func() *controlpb.Heartbeat { return &controlpb.Heartbeat{BusyShare: 500} },
	})
	is.New(s.t).NoErr(err)
	close(h.ready)
	s.hosts = append(s.hosts, h)
	return h
}

// kill ends a balancer without a word to the store.
func (b *balancer) kill() {
	b.store.cut.Store(true)
	b.group.Stop()
}

// eventually waits for a condition and fails the test when it does not come.
func (s *system) eventually(what string, within time.Duration, holds func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > within {
			for _, b := range s.balancers {
				s.t.Logf("%s: in force %d, missing %v, holders %v", b.name, b.service.VersionInForce(), b.service.PendingServices(), b.service.Holders())
				for id, spec := range b.service.Specs() {
					s.t.Logf("  service %d: %d..%d members %d", id, shard.Oldest(spec), shard.Newest(spec), len(spec.GetVersions()[0].GetMembers()))
				}
			}
			s.t.Fatalf("%s: not within %s", what, within)
		}
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(start)
	s.t.Logf("%s: after %s", what, took.Round(time.Millisecond))
	return took
}

// everywhere reports whether a condition holds on every live balancer.
func (s *system) everywhere(holds func(b *balancer) bool) bool {
	for _, b := range s.balancers {
		if b.group.Context().Err() == nil && !holds(b) {
			return false
		}
	}
	return true
}

func (b *balancer) members(id uint32) (names map[string]*controlpb.Member) {
	names = map[string]*controlpb.Member{}
	if spec := b.service.Specs()[id]; spec != nil {
		for _, m := range spec.GetVersions()[0].GetMembers() {
			names[m.GetHost()] = m
		}
	}
	return names
}

// settled reports whether only one version of each service is retained.
func (b *balancer) settled() bool {
	for _, spec := range b.service.Specs() {
		if len(spec.GetVersions()) != 1 {
			return false
		}
	}
	return true
}
