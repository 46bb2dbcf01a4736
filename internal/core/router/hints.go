package router

import (
	"math/bits"
	"net/netip"
	"sync/atomic"
	"time"
)

// hintWays is the number of places where the hint of a flow can be. A set that is
// full loses its oldest hint.
const hintWays = 8

// hint says that the agent at owner has a flow. It does not change.
type hint struct {
	hash  uint64
	owner netip.AddrPort
	at    time.Time
}

// hints is a bounded cache from flow hash to owner. Reads take no lock; of two
// writes to one place at the same time one is lost, which costs a hop.
type hints struct {
	slots []atomic.Pointer[hint]
	sets  uint64
}

func newHints(entries int) *hints {
	sets := max(1, entries/hintWays)
	return &hints{slots: make([]atomic.Pointer[hint], sets*hintWays), sets: uint64(sets)}
}

// set returns the places of a hash. It uses the high bits, since the low ones
// select the bucket.
func (h *hints) set(hash uint64) []atomic.Pointer[hint] {
	i, _ := bits.Mul64(hash, h.sets)
	return h.slots[i*hintWays : (i+1)*hintWays]
}

func (h *hints) get(hash uint64) *hint {
	set := h.set(hash)
	for i := range set {
		if p := set[i].Load(); p != nil && p.hash == hash {
			return p
		}
	}
	return nil
}

func (h *hints) put(now time.Time, hash uint64, owner netip.AddrPort) {
	set := h.set(hash)
	place := 0
	var oldest *hint
	for i := range set {
		p := set[i].Load()
		if p != nil && p.hash == hash {
			place = i
			break
		}
		if i == 0 || oldest != nil && (p == nil || p.at.Before(oldest.at)) {
			place, oldest = i, p
		}
	}
	set[place].Store(&hint{hash: hash, owner: owner, at: now})
}

// count returns the number of hints.
func (h *hints) count() (n int) {
	for i := range h.slots {
		if h.slots[i].Load() != nil {
			n++
		}
	}
	return n
}
