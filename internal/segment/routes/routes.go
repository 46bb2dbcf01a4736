// Package routes holds the operator's configuration as balancers use it: which
// services take the new flows of each address.
package routes

import (
	"iter"
	"maps"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Target is a service and its share of the new flows of a route.
type Target struct {
	Service string
	Weight  uint32
}

// Route sends the new flows of one address to services.
type Route struct {
	Name    string
	Address netip.AddrPort
	Targets []Target
	// LatencyObjective is the latency objective of the route's requests. Empty means none.
	LatencyObjective time.Duration
	// Priority orders requests when hosts are full; 0 is the highest.
	Priority int
}

// Config holds the parts of a Set.
type Config struct {
	// Version orders configurations. It must be above 0.
	Version uint64
	// Routes are the routes. Empty means that no address takes flows.
	Routes []Route
	// IdleTimeout is how long a flow without packets is kept. Empty means
	// DefaultIdleTimeout.
	IdleTimeout time.Duration
	// UnreadableRoutes is how many routes were left out because they cannot be read.
	UnreadableRoutes int
	// Raw is the configuration as the operator wrote it, for other balancers.
	Raw []byte
}

// DefaultIdleTimeout applies when the configuration does not bound idle flows.
const DefaultIdleTimeout = 60 * time.Second

// Set is one version of the configuration. It does not change after New.
type Set struct {
	version     uint64
	routes      map[netip.AddrPort]*Route
	idleTimeout time.Duration
	unreadable  int
	raw         []byte
}

// New checks c and returns the set. A route without targets takes no flows.
func New(c Config) (s *Set, err error) {
	if c.Version == 0 {
		return nil, errors.New("configuration: version must be above 0")
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	s = &Set{
		version: c.Version, routes: make(map[netip.AddrPort]*Route, len(c.Routes)),
		idleTimeout: c.IdleTimeout, raw: c.Raw, unreadable: c.UnreadableRoutes,
	}
	for i := range c.Routes {
		s.routes[c.Routes[i].Address] = &c.Routes[i]
	}
	return s, nil
}

// Version returns the version, and 0 for a nil set.
func (s *Set) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.version
}

// IdleTimeout returns how long a flow without packets is kept.
func (s *Set) IdleTimeout() time.Duration {
	if s == nil {
		return DefaultIdleTimeout
	}
	return s.idleTimeout
}

// Raw returns the configuration as the operator wrote it.
func (s *Set) Raw() []byte { return s.raw }

// UnreadableRoutes returns how many routes were left out because they cannot be read.
func (s *Set) UnreadableRoutes() int { return s.unreadable }

// Len returns the number of routes.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.routes)
}

// Route returns the route of an address, or nil.
func (s *Set) Route(address netip.AddrPort) *Route {
	if s == nil {
		return nil
	}
	return s.routes[address]
}

// PickService returns the service for a flow with this hash, or "" without targets.
// Copies of a flow's first packet get the same service.
func (r *Route) PickService(hash uint64) (service string) {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	var total uint64
	for _, t := range r.Targets {
		total += uint64(t.Weight)
	}
	if total == 0 {
		return ""
	}
	point := hash % total
	for _, t := range r.Targets {
		if point < uint64(t.Weight) {
			return t.Service
		}
		point -= uint64(t.Weight)
	}
	return ""
}

// Addresses iterates over the addresses that have a route.
func (s *Set) Addresses() iter.Seq[netip.AddrPort] {
	if s == nil {
		return func(func(netip.AddrPort) bool) {}
	}
	return maps.Keys(s.routes)
}
