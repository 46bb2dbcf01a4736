package router

import (
	"maps"
	"net/netip"

	"agateramp/internal/core/table"
)

// SetSuspected marks the agent at an address as dead, or as alive again. Suspicion of
// more than half of the members of a service counts as an observation fault and
// is not acted on.
func (r *Router) SetSuspected(address netip.AddrPort, suspected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	if _, ok := r.suspected[address]; ok == suspected {
		return
	}
	if suspected {
		r.suspected[address] = struct{}{}
	}
	if !suspected {
		delete(r.suspected, address)
	}
	for _, s := range r.services {
		if t := s.state.Load().table; t.RetainedMember(address) != nil {
			r.swap(s, t)
		}
	}
}

// swap puts a table into use together with the suspicion of its members.
func (r *Router) swap(s *service, t *table.Table) {
	next := &state{table: t}
	newest := 0
	for address := range r.suspected {
		if t.RetainedMember(address) == nil {
			continue
		}
		if t.Member(address) != nil {
			newest++
		}
		if next.suspected == nil {
			next.suspected = make(map[netip.AddrPort]struct{})
		}
		next.suspected[address] = struct{}{}
	}
	if 2*newest > len(t.Members()) {
		next.suspected = nil
	}
	s.state.Store(next)
}

// release ends the suspicion of agents that left a service with its last
// retained version, since nobody reports on them any more.
func (r *Router) release(current, next *table.Table) {
	maps.DeleteFunc(r.suspected, func(address netip.AddrPort, _ struct{}) bool {
		return current.RetainedMember(address) != nil && next.RetainedMember(address) == nil
	})
}
