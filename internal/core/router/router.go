// Package router selects, on a balancer, the agent that each packet of a caller
// is forwarded to.
//
// A Router receives the table specs of the services that the balancer serves
// (Update, Remove), the agents that failure detection reports as dead
// (SetSuspected) and hints, the owners of flows that agents report (AddHint). For
// each packet, Decide looks up the service by destination address, takes the path
// of the flow from the service's table, and prefers the owner in the hint cache to
// the first hop of the path. Sending the packet, and receiving specs and reports,
// is left to package balancer.
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

// defaultMaxHints is the default of Config.MaxHints. At 8 bytes a hint, the cache
// takes 512 KB.
const defaultMaxHints = 65_536

// Config configures a Router.
type Config struct {
	// Self is the data address of this balancer. It must be set.
	Self netip.AddrPort
	// MaxHints is the capacity of the hint cache in hints. If 0, it is 65,536. It must
	// not be negative.
	MaxHints int
}

// Router holds the tables of all services that a balancer serves. Its methods are
// safe for concurrent use. Decide takes no lock: it reads the address index and
// then the state of one service, and both are replaced atomically.
type Router struct {
	self  netip.AddrPort
	hints *hintCache
	// agentIDs is changed under mu only; Decide reads it without a lock.
	agentIDs *agentIDs
	// addresses maps service addresses to services.
	addresses atomic.Pointer[addressIndex]

	// mu guards the fields below and is held while addresses or the state of a
	// service is replaced.
	mu sync.Mutex
	// services holds the services in use by id.
	services map[uint32]*service
	// removedVersions holds, by id, the versions of services that were removed, so
	// that a spec that arrives late does not bring one back.
	removedVersions map[uint32]versions
	// suspected holds the data addresses of the suspected agents.
	suspected map[netip.AddrPort]struct{}
}

// service is one service of the router.
type service struct {
	state atomic.Pointer[serviceState]
}

// serviceState is the table of a service and the suspected agents in it. It is
// immutable.
type serviceState struct {
	table *table.Table
	// suspected holds the data addresses of the suspected agents that Decide avoids.
	// It is nil when there are none.
	suspected map[netip.AddrPort]struct{}
}

// versions identifies the content of a table: its newest and oldest retained table
// version and the configuration version of its service definition. Update lowers
// none of them.
type versions struct{ newest, oldest, config uint64 }

// New returns a Router without tables, which drops every packet.
func New(c Config) (r *Router, err error) {
	if !c.Self.IsValid() {
		return nil, errors.New("router: Self is not set, want the data address of the balancer")
	}
	if c.MaxHints < 0 {
		return nil, errors.Errorf("router: MaxHints is %d, want at least 0", c.MaxHints)
	}
	if c.MaxHints == 0 {
		c.MaxHints = defaultMaxHints
	}
	r = &Router{
		agentIDs:        newAgentIDs(),
		self:            c.Self,
		hints:           newHintCache(c.MaxHints),
		services:        make(map[uint32]*service),
		removedVersions: make(map[uint32]versions),
		suspected:       make(map[netip.AddrPort]struct{}),
	}
	r.addresses.Store(newAddressIndex(0))
	return r, nil
}

// Update applies a table spec. If the spec is not newer than the one in use, Update
// returns false and changes nothing. If a spec with a newer table version still has
// an older service definition or lists versions that were retired, it is applied
// with the definition in use and without those versions. The Router keeps a
// reference to the service definition in spec, which must not be changed afterwards.
func (r *Router) Update(spec *controlpb.TableSpec) (applied bool, err error) {
	defer func() { err = errors.Wrap(err, "update router") }()
	if spec.GetService() == nil {
		return false, errors.Errorf("the table spec of service %d has no service definition", spec.GetServiceId())
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
		if next.Version() <= r.removedVersions[id].newest {
			return false, nil
		}
		s = &service{}
		r.services[id] = s
		r.agentIDs.replaceTable(nil, next)
		r.storeState(s, next)
		r.rebuildAddressIndex()
		return true, nil
	}
	current := s.state.Load().table
	if next.Version() < current.Version() {
		return false, nil
	}
	if next.OldestVersion() < current.OldestVersion() || next.ConfigVersion() < current.ConfigVersion() {
		if next, err = table.Build(reconcile(spec, current)); err != nil {
			return false, err
		}
	}
	if versionsOf(next) == versionsOf(current) {
		return false, nil
	}
	r.agentIDs.replaceTable(current, next)
	r.clearDepartedSuspects(current, next)
	r.storeState(s, next)
	if next.ConfigVersion() != current.ConfigVersion() {
		r.rebuildAddressIndex()
	}
	return true, nil
}

// versionsOf returns the versions of a table.
func versionsOf(t *table.Table) versions {
	return versions{newest: t.Version(), oldest: t.OldestVersion(), config: t.ConfigVersion()}
}

// reconcile returns a copy of spec without the versions that the table in use has
// retired, and with the service definition of that table if it is newer.
func reconcile(spec *controlpb.TableSpec, current *table.Table) *controlpb.TableSpec {
	reconciled := &controlpb.TableSpec{
		ServiceId:     spec.GetServiceId(),
		ConfigVersion: spec.GetConfigVersion(),
		Fence:         spec.GetFence(),
		Service:       spec.GetService(),
	}
	for _, v := range spec.GetVersions() {
		if v.GetVersion() >= current.OldestVersion() {
			reconciled.Versions = append(reconciled.Versions, v)
		}
	}
	if spec.GetConfigVersion() < current.ConfigVersion() {
		reconciled.ConfigVersion, reconciled.Service = current.ConfigVersion(), current.Service()
	}
	return reconciled
}

// Remove removes a service that is no longer in the configuration. Update ignores
// specs of it that are not newer than its last table. An unknown id has no effect.
func (r *Router) Remove(id uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[id]
	if s == nil {
		return
	}
	current := s.state.Load().table
	r.removedVersions[id] = versionsOf(current)
	r.agentIDs.replaceTable(current, nil)
	delete(r.services, id)
	r.rebuildAddressIndex()
}

// AddHint caches the owner of the flow of key, given by its data address, for the
// later packets of the flow. An owner that is in no table is ignored.
func (r *Router) AddHint(now time.Time, key flow.Key, owner netip.AddrPort) {
	r.mu.Lock()
	id, ok := r.agentIDs.ids[owner]
	r.mu.Unlock()
	if ok {
		r.hints.put(now, key.Hash(), id)
	}
}

// Service returns the definition of the service that callers reach at the given IP
// protocol number and address, or nil when there is none.
func (r *Router) Service(protocol uint8, address netip.AddrPort) *controlpb.Service {
	s := r.addresses.Load().get(addressKeyOf(protocol, address))
	if s == nil {
		return nil
	}
	return s.state.Load().table.Service()
}

// Table returns the table of the service with the given id, or nil when there is none.
func (r *Router) Table(id uint32) *table.Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[id]; s != nil {
		return s.state.Load().table
	}
	return nil
}

// Versions returns the newest table version and the configuration version of each
// service, in the order of the service ids. The name of the acknowledging balancer
// is left empty; the caller of Versions sets it.
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
