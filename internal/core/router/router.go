// Package router decides for a balancer: which agent each packet goes to.
package router

import (
	"net/netip"
	"time"

	"agateramp/internal/control/controlpb"
	"agateramp/internal/core/flow"
)

// Decision is what becomes of a packet.
type Decision interface{ isDecision() }

type (
	// Forward sends the packet to the agent at To with Header.
	Forward struct {
		To     netip.AddrPort
		Header flow.Header
	}
	// Refuse tells the caller that the work was not run.
	Refuse struct{ Reason flow.Reason }
	// Drop discards the packet.
	Drop struct{ Reason flow.Reason }
)

func (*Forward) isDecision() {}
func (*Refuse) isDecision()  {}
func (*Drop) isDecision()    {}

// Scratch is the memory that a worker lends to Decide, so that a decision costs
// no allocation. A decision is valid until the next call with the same Scratch.
type Scratch struct {
	forward Forward
	refuse  Refuse
	drop    Drop
}

// Config configures a Router.
type Config struct {
	// Self is the data address of this balancer. It must be set.
	Self netip.AddrPort
	// MaxHints bounds the hint cache in entries. Empty means 65,536.
	MaxHints int
}

// Router holds the tables of a balancer. Its methods are safe for concurrent use.
type Router struct{}

// New returns a Router without tables.
func New(_ Config) (r *Router, err error) { return &Router{}, nil }

// Update takes a table spec. A spec older than the one in use is ignored and
// reported as false.
func (r *Router) Update(_ *controlpb.TableSpec) (applied bool, err error) { return false, nil }

// Remove forgets a service that the configuration no longer has.
func (r *Router) Remove(_ uint32) {}

// Suspect marks the agent at an address as dead, or as alive again.
func (r *Router) Suspect(_ netip.AddrPort, _ bool) {}

// Hint records that the agent at owner has the flow of key.
func (r *Router) Hint(_ time.Time, _ flow.Key, _ netip.AddrPort) {}

// Service returns the definition of the service at a caller-facing address, or nil.
func (r *Router) Service(_ uint8, _ netip.AddrPort) *controlpb.Service { return nil }

// Versions returns the newest table version and config version of each service.
func (r *Router) Versions() []*controlpb.Ack { return nil }

// Decide says what becomes of a packet.
func (r *Router) Decide(_ time.Time, _ *flow.Packet, _ *Scratch) Decision { return nil }
