package router

import (
	"net/netip"
	"sync/atomic"

	"agateramp/internal/core/table"
)

// agents numbers the agents of all tables, so that a hint can refer to its owner
// in few bits. A number is used again once its agent has left all tables; hints
// that still hold it are wrong, which costs a hop. The methods need the lock of
// the Router, except for get.
type agents struct {
	// places holds, by number, the service of the newest table that names the
	// agent and the index of its address there.
	places  atomic.Pointer[[]atomic.Uint64]
	numbers map[netip.AddrPort]uint16
	free    []uint16
	next    uint16
}

// maxAgents is the most agents that have a number. More agents get no hints.
const maxAgents = 1<<16 - 1

func newAgents() *agents {
	a := &agents{numbers: make(map[netip.AddrPort]uint16)}
	a.places.Store(&[]atomic.Uint64{})
	return a
}

// get returns the address of the agent with the given number, if t names it.
func (a *agents) get(number uint16, t *table.Table) (address netip.AddrPort) {
	places := *a.places.Load()
	if int(number) >= len(places) {
		return address
	}
	place := places[number].Load()
	if uint32(place>>16) != t.ServiceID() {
		return address
	}
	return t.Address(uint16(place))
}

// replace takes account of a table that replaces another one of its service.
// Each of them can be nil.
func (a *agents) replace(current, next *table.Table) {
	if next != nil {
		for i, address := range next.Addresses() {
			if number, ok := a.number(address); ok {
				(*a.places.Load())[number].Store(uint64(next.ServiceID())<<16 | uint64(i))
			}
		}
	}
	if current == nil {
		return
	}
	for _, address := range current.Addresses() {
		number, ok := a.numbers[address]
		if !ok || next != nil && next.RetainedMember(address) != nil {
			continue
		}
		place := &(*a.places.Load())[number]
		if uint32(place.Load()>>16) == current.ServiceID() {
			place.Store(0)
			delete(a.numbers, address)
			a.free = append(a.free, number)
		}
	}
}

// number returns the number of an agent and gives it one when it has none.
func (a *agents) number(address netip.AddrPort) (number uint16, ok bool) {
	if number, ok = a.numbers[address]; ok {
		return number, true
	}
	if n := len(a.free); n > 0 {
		number, a.free = a.free[n-1], a.free[:n-1]
		a.numbers[address] = number
		return number, true
	}
	if a.next == maxAgents {
		return 0, false
	}
	number = a.next
	a.next++
	a.numbers[address] = number
	a.grow()
	return number, true
}

// grow makes room for the numbers below next.
func (a *agents) grow() {
	places := *a.places.Load()
	if len(places) >= int(a.next) {
		return
	}
	grown := make([]atomic.Uint64, 2*len(places)+64)
	for i := range places {
		grown[i].Store(places[i].Load())
	}
	a.places.Store(&grown)
}
