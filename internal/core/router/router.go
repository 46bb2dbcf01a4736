// Package router decides for a balancer: which agent each packet goes to.
package router

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
	"agateramp/internal/core/table"
)

// defaultMaxHints takes 512 KB.
const defaultMaxHints = 65_536

// Config configures a Router.
type Config struct {
	// Self is the data address of this balancer. It must be set.
	Self netip.AddrPort
	// MaxHints bounds the hint cache in entries. Empty means 65,536.
	MaxHints int
}

// Router holds the tables of a balancer. Its methods are safe for concurrent
// use. Decide takes no lock: it reads the address index and then the state of
// one service, each swapped atomically.
type Router struct {
	self  netip.AddrPort
	hints *hints
	// agents is changed under mu.
	agents *agents
	// addresses maps service addresses to services.
	addresses atomic.Pointer[addressIndex]

	// mu guards the fields below and all swaps.
	mu        sync.Mutex
	services  map[uint32]*service
	removed   map[uint32]floor
	suspected map[netip.AddrPort]struct{}
}

// service is one service of the router.
type service struct {
	state atomic.Pointer[state]
}

// state is a table and the agents on it that are suspected. It does not change.
type state struct {
	table *table.Table
	// suspected is nil when no agent is suspected.
	suspected map[netip.AddrPort]struct{}
}

// floor holds the newest numbers that a service has reached; they never fall.
type floor struct{ version, oldest, config uint64 }

// New returns a Router without tables.
func New(c Config) (r *Router, err error) {
	if !c.Self.IsValid() {
		return nil, errors.New("router: Self is not set")
	}
	if c.MaxHints < 0 {
		return nil, errors.Errorf("router: MaxHints is %d", c.MaxHints)
	}
	if c.MaxHints == 0 {
		c.MaxHints = defaultMaxHints
	}
	r = &Router{
		agents:    newAgents(),
		self:      c.Self,
		hints:     newHints(c.MaxHints),
		services:  make(map[uint32]*service),
		removed:   make(map[uint32]floor),
		suspected: make(map[netip.AddrPort]struct{}),
	}
	r.addresses.Store(newAddressIndex(0))
	return r, nil
}

// Update takes a table spec. A spec older than the one in use is ignored and
// reported as false. A newer table version with an older definition, or with
// versions that were retired, is taken without these.
func (r *Router) Update(spec *controlpb.TableSpec) (applied bool, err error) {
	defer func() { err = errors.Wrap(err, "update router") }()
	if spec.GetService() == nil {
		return false, errors.Errorf("the spec of service %d has no definition", spec.GetServiceId())
	}
	next, err := table.Build(spec)
	if err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	id := spec.GetServiceId()
	s := r.services[id]
	if s == nil {
		if next.Version() <= r.removed[id].version {
			return false, nil
		}
		s = &service{}
		r.services[id] = s
		r.agents.replace(nil, next)
		r.swap(s, next)
		r.index()
		return true, nil
	}
	current := s.state.Load().table
	if next.Version() < current.Version() {
		return false, nil
	}
	if next.OldestVersion() < current.OldestVersion() || next.ConfigVersion() < current.ConfigVersion() {
		if next, err = table.Build(raise(spec, current)); err != nil {
			return false, err
		}
	}
	if floorOf(next) == floorOf(current) {
		return false, nil
	}
	r.agents.replace(current, next)
	r.release(current, next)
	r.swap(s, next)
	if next.ConfigVersion() != current.ConfigVersion() {
		r.index()
	}
	return true, nil
}

func floorOf(t *table.Table) floor {
	return floor{version: t.Version(), oldest: t.OldestVersion(), config: t.ConfigVersion()}
}

// raise returns spec without what is older than the table in use.
func raise(spec *controlpb.TableSpec, current *table.Table) *controlpb.TableSpec {
	raised := &controlpb.TableSpec{
		ServiceId:     spec.GetServiceId(),
		ConfigVersion: spec.GetConfigVersion(),
		Fence:         spec.GetFence(),
		Service:       spec.GetService(),
	}
	for _, v := range spec.GetVersions() {
		if v.GetVersion() >= current.OldestVersion() {
			raised.Versions = append(raised.Versions, v)
		}
	}
	if spec.GetConfigVersion() < current.ConfigVersion() {
		raised.ConfigVersion, raised.Service = current.ConfigVersion(), current.Service()
	}
	return raised
}

// Remove forgets a service that the configuration no longer has. A late spec of
// it is ignored.
func (r *Router) Remove(id uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[id]
	if s == nil {
		return
	}
	current := s.state.Load().table
	r.removed[id] = floorOf(current)
	r.agents.replace(current, nil)
	delete(r.services, id)
	r.index()
}

// AddHint records that the agent at owner has the flow of key. An owner that no
// table names is ignored.
func (r *Router) AddHint(now time.Time, key flow.Key, owner netip.AddrPort) {
	r.mu.Lock()
	number, ok := r.agents.numbers[owner]
	r.mu.Unlock()
	if ok {
		r.hints.put(now, key.Hash(), number)
	}
}

// Service returns the definition of the service at a caller-facing address, or nil.
func (r *Router) Service(protocol uint8, address netip.AddrPort) *controlpb.Service {
	s := r.addresses.Load().get(keyOf(protocol, address))
	if s == nil {
		return nil
	}
	return s.state.Load().table.Service()
}

// Table returns the table of a service, or nil.
func (r *Router) Table(id uint32) *table.Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[id]; s != nil {
		return s.state.Load().table
	}
	return nil
}

// Versions returns the newest table version and config version of each service
// in the order of their ids. The caller fills in the name.
func (r *Router) Versions() []*controlpb.Ack {
	r.mu.Lock()
	defer r.mu.Unlock()
	acks := make([]*controlpb.Ack, 0, len(r.services))
	for id, s := range r.services {
		t := s.state.Load().table
		acks = append(acks, &controlpb.Ack{
			ServiceId: id, Version: t.Version(), ConfigVersion: t.ConfigVersion(), Balancer: true,
		})
	}
	slices.SortFunc(acks, func(a, b *controlpb.Ack) int { return cmp.Compare(a.GetServiceId(), b.GetServiceId()) })
	return acks
}
