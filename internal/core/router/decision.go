package router

import (
	"net/netip"

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
	// Refuse tells the caller that the work was not run. The router itself never
	// refuses: it cannot know that no copy of the flow was ever run. The balancer
	// refuses on the word of an agent.
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
	drop    Drop
}

func (s *Scratch) dropped(reason flow.Reason) Decision {
	s.drop.Reason = reason
	return &s.drop
}
