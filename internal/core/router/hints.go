package router

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// hintWays is the number of entries in a set, which fill a cache line of 64 bytes.
const hintWays = 8

// hintCache is a set-associative cache from the hash of a flow to the agent id of its
// owner. A new hint in a full set replaces the oldest one. Each hint is one word: a
// tag of 32 bits of the hash, the agent id, and the time. Flows with the same tag in
// one set share a hint; a wrong owner costs one more hop. Hints are read and written
// without a lock.
type hintCache struct{ sets [][hintWays]atomic.Uint64 }

// newHintCache returns an empty cache for the given number of hints, rounded down to
// whole sets, but at least one set.
func newHintCache(entries int) *hintCache {
	return &hintCache{sets: make([][hintWays]atomic.Uint64, max(1, entries/hintWays))}
}

// set returns the entries where the hint of a hash can be. The set is selected by the
// high bits of the hash, since the tag consists of the low ones.
func (h *hintCache) set(hash uint64) *[hintWays]atomic.Uint64 {
	i, _ := bits.Mul64(hash, uint64(len(h.sets)))
	return &h.sets[i]
}

// prefetch loads the set of a hash into the CPU cache, so that it arrives while the
// table is looked up.
func (h *hintCache) prefetch(hash uint64) { h.set(hash)[0].Load() }

// get returns the agent id of the owner of the flow with the given hash, and false
// when there is no hint.
func (h *hintCache) get(hash uint64) (agentID uint16, ok bool) {
	set := h.set(hash)
	for i := range set {
		if word := set[i].Load(); word>>32 == hintTag(hash) {
			return uint16(word >> 16), true
		}
	}
	return 0, false
}

// put stores the agent id of the owner of the flow with the given hash.
func (h *hintCache) put(now time.Time, hash uint64, agentID uint16) {
	set := h.set(hash)
	at := hintTime(now)
	way, oldestAge := 0, -1
	for i := range set {
		word := set[i].Load()
		if word == 0 || word>>32 == hintTag(hash) {
			way = i
			break
		}
		if age := int(at - uint16(word)); age > oldestAge {
			way, oldestAge = i, age
		}
	}
	set[way].Store(hintTag(hash)<<32 | uint64(agentID)<<16 | uint64(at))
}

// hintTag returns the part of a hash that a hint holds. Its lowest bit is always set,
// since a word of 0 is an empty entry.
func hintTag(hash uint64) uint64 { return hash&(1<<32-1) | 1 }

// hintTime returns the time of a hint in units of 2^30 ns, about a second. It wraps
// around after about 18 hours; an older hint may then be kept in place of a newer one.
func hintTime(now time.Time) uint16 { return uint16(now.UnixNano() >> 30) }

// count returns the number of hints. Only tests use it.
func (h *hintCache) count() (n int) {
	for i := range h.sets {
		for j := range h.sets[i] {
			if h.sets[i][j].Load() != 0 {
				n++
			}
		}
	}
	return n
}
