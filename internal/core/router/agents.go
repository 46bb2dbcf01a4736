package router

import (
	"net/netip"
	"sync/atomic"

	"agateramp/internal/core/table"
)

// agentIDs assigns a 16-bit id to each agent that is in a table, so that a hint can
// name the owner of a flow in few bits. The id of an agent that has left all tables is
// assigned again. Hints that still hold it then lead to the wrong agent, which costs
// one more hop. All methods but address need the lock of the Router.
type agentIDs struct {
	// locations holds, by agent id, where the address of the agent is found: the
	// service id of the table applied last that has the agent, shifted left by 16
	// bits, and the index of the address in that table.
	locations atomic.Pointer[[]atomic.Uint64]
	// ids maps the data addresses of the agents that have an id to their ids.
	ids     map[netip.AddrPort]uint16
	freeIDs []uint16
	// nextID is the lowest id that was never assigned.
	nextID uint16
}

// maxAgentIDs is the largest number of agents with an id. Further agents get no hints.
const maxAgentIDs = 1<<16 - 1

func newAgentIDs() *agentIDs {
	a := &agentIDs{ids: make(map[netip.AddrPort]uint16)}
	a.locations.Store(&[]atomic.Uint64{})
	return a
}

// address returns the data address of the agent with the given id, or the zero value
// if the agent is not in t. It takes no lock.
func (a *agentIDs) address(id uint16, t *table.Table) (address netip.AddrPort) {
	locations := *a.locations.Load()
	if int(id) >= len(locations) {
		return address
	}
	location := locations[id].Load()
	if uint32(location>>16) != t.ServiceID() {
		return address
	}
	return t.Address(uint16(location))
}

// replaceTable assigns ids to the agents of next, which replaces current as the table
// of a service, and frees the ids of the agents that are in current only. A nil
// current is a new service, a nil next a removed one.
func (a *agentIDs) replaceTable(current, next *table.Table) {
	if next != nil {
		for i, address := range next.Addresses() {
			if id, ok := a.assign(address); ok {
				(*a.locations.Load())[id].Store(uint64(next.ServiceID())<<16 | uint64(i))
			}
		}
	}
	if current == nil {
		return
	}
	for _, address := range current.Addresses() {
		id, ok := a.ids[address]
		if !ok || next != nil && next.RetainedMember(address) != nil {
			continue
		}
		location := &(*a.locations.Load())[id]
		if uint32(location.Load()>>16) == current.ServiceID() {
			location.Store(0)
			delete(a.ids, address)
			a.freeIDs = append(a.freeIDs, id)
		}
	}
}

// assign returns the id of an agent and assigns one if it has none. It returns false
// when all ids are in use.
func (a *agentIDs) assign(address netip.AddrPort) (id uint16, ok bool) {
	if id, ok = a.ids[address]; ok {
		return id, true
	}
	if n := len(a.freeIDs); n > 0 {
		id, a.freeIDs = a.freeIDs[n-1], a.freeIDs[:n-1]
		a.ids[address] = id
		return id, true
	}
	if a.nextID == maxAgentIDs {
		return 0, false
	}
	id = a.nextID
	a.nextID++
	a.ids[address] = id
	a.grow()
	return id, true
}

// grow extends locations to all ids below nextID.
func (a *agentIDs) grow() {
	locations := *a.locations.Load()
	if len(locations) >= int(a.nextID) {
		return
	}
	grown := make([]atomic.Uint64, 2*len(locations)+64)
	for i := range locations {
		grown[i].Store(locations[i].Load())
	}
	a.locations.Store(&grown)
}
