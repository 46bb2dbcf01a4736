// Package routes holds the operator's configuration in the form in which balancers
// look it up: for each address that callers connect to, the services that get its
// new flows, and how long idle flows are kept. Parsing the operator's file and
// distributing it among balancers are left to other packages.
package routes

import (
	"iter"
	"maps"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/segment/packet"
)

// Target is a service that gets a share of the new flows of a route.
type Target struct {
	Service string
	// Weight is the service's share, relative to the sum of the route's weights.
	Weight uint32
}

// Route distributes the new flows of one address among services.
type Route struct {
	Name string
	// Address is the destination that callers send to.
	Address netip.AddrPort
	// Targets are the services. If empty, the route takes no flows.
	Targets []Target
	// LatencyObjective is the time within which a request should be answered. If zero,
	// the route has no objective.
	LatencyObjective time.Duration
	// Timeout is the time after which callers give a request up. If zero, it is not known.
	Timeout time.Duration
	// Repeatable is set if the requests of the route may be repeated after a failure.
	Repeatable bool
	// Priority orders the flows that wait while all hosts are full; 0 is the highest.
	Priority int
}

// Config is the content of a Set.
type Config struct {
	// Version orders configurations: a higher one replaces a lower one. It must be
	// above 0.
	Version uint64
	// Routes are the routes; New keeps references to its elements. If two have the same
	// address, the later one counts. If empty, no address takes flows.
	Routes []Route
	// IdleTimeout is how long a flow without packets is kept. If zero or negative,
	// DefaultIdleTimeout applies.
	IdleTimeout time.Duration
	// UnreadableRoutes is the number of routes that were left out because they could
	// not be parsed.
	UnreadableRoutes int
	// ColdRates holds how many new flows a second a host of a service bears while it is
	// cold. Services that it does not hold have no limit.
	ColdRates map[string]float64
	// Raw is the configuration as the operator wrote it, for passing on to other
	// balancers.
	Raw []byte
}

// DefaultIdleTimeout is the idle timeout of flows when the configuration sets none.
const DefaultIdleTimeout = 60 * time.Second

// Set is one version of the configuration. It is immutable, so it is safe for
// concurrent use. A nil Set stands for no configuration yet: it has version 0 and no
// routes.
type Set struct {
	version          uint64
	routes           map[netip.AddrPort]*Route
	idleTimeout      time.Duration
	unreadableRoutes int
	coldRates        map[string]float64
	raw              []byte
}

// New validates c and returns its Set.
func New(c Config) (s *Set, err error) {
	if c.Version == 0 {
		return nil, errors.New("configuration: version is 0; it must be above 0")
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	s = &Set{
		version: c.Version, routes: make(map[netip.AddrPort]*Route, len(c.Routes)),
		idleTimeout: c.IdleTimeout, raw: c.Raw, unreadableRoutes: c.UnreadableRoutes, coldRates: c.ColdRates,
	}
	for i := range c.Routes {
		s.routes[c.Routes[i].Address] = &c.Routes[i]
	}
	return s, nil
}

// Version returns the version of the configuration, or 0 if s is nil.
func (s *Set) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.version
}

// IdleTimeout returns how long a flow without packets is kept. If s is nil, that is
// DefaultIdleTimeout.
func (s *Set) IdleTimeout() time.Duration {
	if s == nil {
		return DefaultIdleTimeout
	}
	return s.idleTimeout
}

// Raw returns the configuration as the operator wrote it. It must not be modified, and
// s must not be nil.
func (s *Set) Raw() []byte { return s.raw }

// UnreadableRoutes returns the number of routes that were left out because they could
// not be parsed. s must not be nil.
func (s *Set) UnreadableRoutes() int { return s.unreadableRoutes }

// ColdRate returns how many new flows a second a host of a service bears while it is
// cold, or 0 if s is nil or states no limit.
func (s *Set) ColdRate(service string) float64 {
	if s == nil {
		return 0
	}
	return s.coldRates[service]
}

// ColdRateCount returns the number of services with a limit for cold hosts. s must not be
// nil.
func (s *Set) ColdRateCount() int { return len(s.coldRates) }

// Len returns the number of routes, or 0 if s is nil.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.routes)
}

// Route returns the route of an address, or nil if it has none.
func (s *Set) Route(address netip.AddrPort) *Route {
	if s == nil {
		return nil
	}
	return s.routes[address]
}

// RequestClass returns the class of the requests to an address. If the address has no
// route, the class is not known.
func (s *Set) RequestClass(address netip.AddrPort) packet.RequestClass {
	r := s.Route(address)
	if r == nil {
		return packet.RequestClass{}
	}
	return packet.RequestClass{Known: true, Priority: r.Priority, LatencyObjective: r.LatencyObjective, Timeout: r.Timeout}
}

// PickService returns the service for a new flow with the given hash, or "" if the
// route has no targets. The choice depends on the hash alone, so that retransmissions
// of a flow's first packet go to the same service.
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
	offset := hash % total
	for _, t := range r.Targets {
		if offset < uint64(t.Weight) {
			return t.Service
		}
		offset -= uint64(t.Weight)
	}
	return ""
}

// Addresses returns an iterator over the addresses that have a route, in no
// particular order. It is empty if s is nil.
func (s *Set) Addresses() iter.Seq[netip.AddrPort] {
	if s == nil {
		return func(func(netip.AddrPort) bool) {}
	}
	return maps.Keys(s.routes)
}
