package router

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// hintWays is the number of places where the hint of a flow can be; together
// they fill a cache line. A set that is full loses its oldest hint.
const hintWays = 8

// hints is a bounded cache from flow hash to the number of the owner. Each hint
// is one word: 32 bits of the hash, then the number, then the time. Two flows
// with the same bits in one set get each other's hints, which costs a hop.
type hints struct{ sets [][hintWays]atomic.Uint64 }

func newHints(entries int) *hints {
	return &hints{sets: make([][hintWays]atomic.Uint64, max(1, entries/hintWays))}
}

// set returns the places of a hash. It uses the high bits; the tag is made of
// the low ones.
func (h *hints) set(hash uint64) *[hintWays]atomic.Uint64 {
	i, _ := bits.Mul64(hash, uint64(len(h.sets)))
	return &h.sets[i]
}

// touch brings the set of a hash into the cache while the table is looked up.
func (h *hints) touch(hash uint64) { h.set(hash)[0].Load() }

// get returns the number of the owner of a flow.
func (h *hints) get(hash uint64) (agent uint16, ok bool) {
	set := h.set(hash)
	for i := range set {
		if word := set[i].Load(); word>>32 == tagOf(hash) {
			return uint16(word >> 16), true
		}
	}
	return 0, false
}

func (h *hints) put(now time.Time, hash uint64, agent uint16) {
	set := h.set(hash)
	at := timeOf(now)
	place, oldest := 0, -1
	for i := range set {
		word := set[i].Load()
		if word == 0 || word>>32 == tagOf(hash) {
			place = i
			break
		}
		if age := int(at - uint16(word)); age > oldest {
			place, oldest = i, age
		}
	}
	set[place].Store(tagOf(hash)<<32 | uint64(agent)<<16 | uint64(at))
}

// tagOf returns the part of a hash that a hint holds. It is never 0, which marks
// an empty place.
func tagOf(hash uint64) uint64 { return hash&(1<<32-1) | 1 }

// timeOf returns the time of a hint in units of about a second. It wraps after
// 18 hours, and a hint that old may outlive a newer one.
func timeOf(now time.Time) uint16 { return uint16(now.UnixNano() >> 30) }

// count returns the number of hints.
func (h *hints) count() (n int) {
	for i := range h.sets {
		for j := range h.sets[i] {
			if h.sets[i][j].Load() != 0 {
				n++
			}
		}
	}
	return n
}
