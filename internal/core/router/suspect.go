package router

import (
	"maps"
	"net/netip"

	"agateramp/internal/core/table"
)

// SetSuspected records whether failure detection reports the agent at a data address
// as dead. Decide avoids suspected agents. When more than half of the members of a
// service are suspected, an error of failure detection is more likely than the failure
// of all these hosts, and Decide treats all agents of the service as alive.
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
			r.storeState(s, t)
		}
	}
}

// storeState puts a table into use together with the suspected agents among the
// members of its retained versions, or with none if more than half of the members of
// the newest version are suspected. It needs the lock.
func (r *Router) storeState(s *service, t *table.Table) {
	next := &serviceState{table: t}
	suspectedMembers := 0
	for address := range r.suspected {
		if t.RetainedMember(address) == nil {
			continue
		}
		if t.Member(address) != nil {
			suspectedMembers++
		}
		if next.suspected == nil {
			next.suspected = make(map[netip.AddrPort]struct{})
		}
		next.suspected[address] = struct{}{}
	}
	if 2*suspectedMembers > len(t.Members()) {
		next.suspected = nil
	}
	s.state.Store(next)
}

// clearDepartedSuspects clears the suspicion of the agents that are in current and no
// longer in next, since no further reports come about them.
func (r *Router) clearDepartedSuspects(current, next *table.Table) {
	maps.DeleteFunc(r.suspected, func(address netip.AddrPort, _ struct{}) bool {
		return current.RetainedMember(address) != nil && next.RetainedMember(address) == nil
	})
}
