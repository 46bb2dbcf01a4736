package router

import (
	"net/netip"

	"agateramp/internal/core/flow"
)

// Decision is what to do with a packet: a *Forward, *Refuse or *Drop.
type Decision interface{ isDecision() }

type (
	// Forward sends the packet to the agent at the data address To with Header.
	Forward struct {
		To     netip.AddrPort
		Header flow.Header
	}
	// Refuse informs the caller that its work was not run. Decide never returns it,
	// since the router cannot rule out that a host has run the work already. The
	// balancer refuses a flow only when an agent reports the refusal.
	Refuse struct{ Reason flow.Reason }
	// Drop discards the packet.
	Drop struct{ Reason flow.Reason }
)

func (*Forward) isDecision() {}
func (*Refuse) isDecision()  {}
func (*Drop) isDecision()    {}

// Scratch is memory that a worker passes to each of its calls of Decide, so that a
// decision needs no allocation. A decision is valid until the next call with the same
// Scratch. The zero value is ready to use.
type Scratch struct {
	forward Forward
	drop    Drop
}

// dropDecision returns a Drop with the given reason.
func (s *Scratch) dropDecision(reason flow.Reason) Decision {
	s.drop.Reason = reason
	return &s.drop
}
