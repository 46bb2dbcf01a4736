package owner

import (
	"sync"

	"agateramp/internal/core/flow"
)

const (
	shardBits  = 6
	shardCount = 1 << shardBits
	chunkBits  = 5
	chunkSize  = 1 << chunkBits
	// numberMask selects the number of an entry in a slot of the index.
	numberMask = 1<<20 - 1
	// maxShardFlows keeps numbers within numberMask.
	maxShardFlows = numberMask - chunkSize
	// minIndex is the first size of the index of a shard.
	minIndex = 16
	// evictionSample is how many entries are looked at to find one to evict.
	evictionSample = 32
)

// flowMap holds the entries of an agent in shards by hash.
type flowMap struct {
	shards [shardCount]shard
}

func (m *flowMap) shard(hash uint64) *shard { return &m.shards[hash>>(64-shardBits)] }

// shard is one part of the flow map. Entries lie in chunks that do not move. The
// index is an open-addressing table of their numbers plus one, each beside a few bits
// of its hash, so that a lookup seldom touches another entry.
type shard struct {
	mu     sync.Mutex
	index  []uint32
	chunks []*[chunkSize]entry
	free   []uint32
	used   int
	hand   uint32
}

func (s *shard) at(n uint32) *entry { return &s.chunks[n>>chunkBits][n&(chunkSize-1)] }

func (s *shard) home(hash uint64) uint32 { return uint32(hash>>32) & uint32(len(s.index)-1) }

func slotOf(n uint32, hash uint64) uint32 { return uint32(hash)&^numberMask | (n + 1) }

// numberOf returns the number of the entry of a slot in use.
func numberOf(slot uint32) uint32 { return slot&numberMask - 1 }

// find returns the entry of a flow, or nil.
func (s *shard) find(hash uint64, key *flow.Key) *entry {
	if len(s.index) == 0 {
		return nil
	}
	mask := uint32(len(s.index) - 1)
	for i := s.home(hash); s.index[i] != 0; i = (i + 1) & mask {
		slot := s.index[i]
		if (slot^uint32(hash))&^numberMask != 0 {
			continue
		}
		if e := s.at(numberOf(slot)); e.hash == hash && e.key == *key {
			return e
		}
	}
	return nil
}

// insert adds an entry for a flow that has none.
func (s *shard) insert(hash uint64, key flow.Key) *entry {
	if (s.used+1)*4 > len(s.index)*3 {
		s.grow()
	}
	if len(s.free) == 0 {
		base := uint32(len(s.chunks)) << chunkBits
		s.chunks = append(s.chunks, new([chunkSize]entry))
		for n := uint32(chunkSize); n > 0; n-- {
			s.free = append(s.free, base+n-1)
		}
	}
	n := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	e := s.at(n)
	*e = entry{key: key, hash: hash}
	s.link(n, hash)
	s.used++
	return e
}

func (s *shard) link(n uint32, hash uint64) {
	mask := uint32(len(s.index) - 1)
	i := s.home(hash)
	for s.index[i] != 0 {
		i = (i + 1) & mask
	}
	s.index[i] = slotOf(n, hash)
}

func (s *shard) grow() {
	old := s.index
	s.index = make([]uint32, max(minIndex, 2*len(old)))
	for _, slot := range old {
		if slot != 0 {
			s.link(numberOf(slot), s.at(numberOf(slot)).hash)
		}
	}
}

// remove deletes an entry and closes the gap it leaves in the index.
func (s *shard) remove(e *entry) {
	mask := uint32(len(s.index) - 1)
	i := s.home(e.hash)
	for s.at(numberOf(s.index[i])) != e {
		i = (i + 1) & mask
	}
	s.free = append(s.free, numberOf(s.index[i]))
	s.used--
	*e = entry{}
	gap := i
	for j := (i + 1) & mask; s.index[j] != 0; j = (j + 1) & mask {
		home := s.home(s.at(numberOf(s.index[j])).hash)
		if (j-home)&mask >= (j-gap)&mask {
			s.index[gap] = s.index[j]
			gap = j
		}
	}
	s.index[gap] = 0
}

// each calls visit for every entry; visit may remove the entry it is given.
func (s *shard) each(visit func(e *entry)) {
	for _, chunk := range s.chunks {
		for i := range chunk {
			if chunk[i].state != stateFree {
				visit(&chunk[i])
			}
		}
	}
}

// victim returns the entry that ends first among a sample of those that may be
// evicted, or nil.
func (s *shard) victim(idempotent bool) *entry {
	var oldest *entry
	size := uint32(len(s.chunks)) << chunkBits
	for range min(evictionSample, size) {
		s.hand = (s.hand + 1) % size
		e := s.at(s.hand)
		if e.state == stateFree || !e.evictable(idempotent) {
			continue
		}
		if oldest == nil || e.expires < oldest.expires {
			oldest = e
		}
	}
	return oldest
}
