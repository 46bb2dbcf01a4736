package router

import (
	"net/netip"
	"time"

	"agateramp/internal/core/flow"
)

// Decide returns what to do with a packet of a caller: a *Forward, or a *Drop when
// no service has the destination address or the service has no host. It takes no
// lock, does not block and allocates nothing. The decision is stored in scratch and is
// valid until the next call with the same scratch. Its time parameter is unused.
func (r *Router) Decide(_ time.Time, p *flow.Packet, scratch *Scratch) Decision {
	r.hints.prefetch(p.Hash)
	s := r.addresses.Load().get(destinationKey(&p.Key))
	if s == nil {
		return scratch.dropDecision(flow.ReasonUnknownService)
	}
	st := s.state.Load()
	t := st.table
	f := &scratch.forward
	f.Header.Reset()
	f.Header.ServiceID, f.Header.ReturnAddress = t.ServiceID(), r.self
	if !st.setPath(&f.Header, p.Hash) {
		return scratch.dropDecision(flow.ReasonNoHosts)
	}
	f.To = f.Header.Path[0].Address
	// A SYN starts a new flow; a hint for its key belongs to an earlier one.
	if !p.SYN {
		if owner := r.hintedOwner(st, p.Hash); owner.IsValid() {
			f.To, f.Header.Hinted = owner, true
		}
	}
	return f
}

// hintedOwner returns the data address of the owner in the hint cache. It returns the
// zero value when there is no hint, when the owner is suspected, or when the owner is in
// no retained version of the table: a host that left the service would drop the packet.
func (r *Router) hintedOwner(st *serviceState, hash uint64) (owner netip.AddrPort) {
	id, ok := r.hints.get(hash)
	if !ok {
		return owner
	}
	owner = r.agentIDs.address(id, st.table)
	if owner.IsValid() && st.isSuspected(owner) {
		return netip.AddrPort{}
	}
	return owner
}

// isSuspected reports whether the agent at a data address is suspected.
func (st *serviceState) isSuspected(address netip.AddrPort) bool {
	if st.suspected == nil {
		return false
	}
	_, ok := st.suspected[address]
	return ok
}

// setPath sets the table version, path and second choice of h for a flow. It returns
// false when the path is empty.
func (st *serviceState) setPath(h *flow.Header, hash uint64) bool {
	if st.suspected == nil {
		return st.table.SetPath(h, hash)
	}
	return st.table.SetPathAvoiding(h, hash, st.suspected)
}
