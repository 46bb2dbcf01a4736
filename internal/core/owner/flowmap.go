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
	// numberMask selects the entry number, plus one, in a cell of the index.
	numberMask = 1<<20 - 1
	// shardEntryLimit limits Owner.maxShardEntries, so that entry numbers stay within
	// numberMask.
	shardEntryLimit = numberMask - chunkSize
	// minIndex is the initial size of the index of a shard.
	minIndex = 16
	// evictionSample is how many entries are examined to find one to evict.
	evictionSample = 32
)

// flowMap holds the entries of an agent, in shards by the hash of their keys.
type flowMap struct {
	shards [shardCount]shard
}

func (m *flowMap) shard(hash uint64) *shard { return &m.shards[hash>>(64-shardBits)] }

// shard is one part of the flow map. Entries are numbered and stored in chunks that do
// not move in memory. The index is an open-addressing hash table. A cell is 0 if it is
// empty; otherwise it holds the number of an entry plus one and a few bits of its hash,
// so that a lookup seldom reads the entry of another flow. The methods require that the
// caller holds mu.
type shard struct {
	mu     sync.Mutex
	index  []uint32
	chunks []*[chunkSize]entry
	// free holds the numbers of the unused entries, and count is the number of entries in use.
	free  []uint32
	count int
	// evictionCursor is the number of the entry that victim examined last.
	evictionCursor uint32
}

func (s *shard) entryAt(n uint32) *entry { return &s.chunks[n>>chunkBits][n&(chunkSize-1)] }

// homeCell returns the cell at which the search for a hash begins.
func (s *shard) homeCell(hash uint64) uint32 { return uint32(hash>>32) & uint32(len(s.index)-1) }

// cellOf returns the cell of entry n with a hash.
func cellOf(n uint32, hash uint64) uint32 { return uint32(hash)&^numberMask | (n + 1) }

// numberOf returns the entry number in a cell that is not empty.
func numberOf(cell uint32) uint32 { return cell&numberMask - 1 }

// find returns the entry of a flow, or nil if there is none.
func (s *shard) find(hash uint64, key *flow.Key) *entry {
	if len(s.index) == 0 {
		return nil
	}
	mask := uint32(len(s.index) - 1)
	for i := s.homeCell(hash); s.index[i] != 0; i = (i + 1) & mask {
		cell := s.index[i]
		if (cell^uint32(hash))&^numberMask != 0 {
			continue
		}
		if e := s.entryAt(numberOf(cell)); e.hash == hash && e.key == *key {
			return e
		}
	}
	return nil
}

// insert adds an entry for a flow that has none. The caller must have made room.
func (s *shard) insert(hash uint64, key flow.Key) *entry {
	if (s.count+1)*4 > len(s.index)*3 {
		s.growIndex()
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
	e := s.entryAt(n)
	*e = entry{key: key, hash: hash}
	s.addToIndex(n, hash)
	s.count++
	return e
}

// addToIndex puts entry n into the first empty cell for its hash.
func (s *shard) addToIndex(n uint32, hash uint64) {
	mask := uint32(len(s.index) - 1)
	i := s.homeCell(hash)
	for s.index[i] != 0 {
		i = (i + 1) & mask
	}
	s.index[i] = cellOf(n, hash)
}

// growIndex doubles the index.
func (s *shard) growIndex() {
	old := s.index
	s.index = make([]uint32, max(minIndex, 2*len(old)))
	for _, cell := range old {
		if cell != 0 {
			s.addToIndex(numberOf(cell), s.entryAt(numberOf(cell)).hash)
		}
	}
}

// remove deletes an entry. Later cells of the index move into the gap that it leaves, so
// that lookups still find them.
func (s *shard) remove(e *entry) {
	mask := uint32(len(s.index) - 1)
	i := s.homeCell(e.hash)
	for s.entryAt(numberOf(s.index[i])) != e {
		i = (i + 1) & mask
	}
	s.free = append(s.free, numberOf(s.index[i]))
	s.count--
	*e = entry{}
	gap := i
	for j := (i + 1) & mask; s.index[j] != 0; j = (j + 1) & mask {
		homeCell := s.homeCell(s.entryAt(numberOf(s.index[j])).hash)
		if (j-homeCell)&mask >= (j-gap)&mask {
			s.index[gap] = s.index[j]
			gap = j
		}
	}
	s.index[gap] = 0
}

// forEach calls visit for every entry. visit may remove the entry that it is given.
func (s *shard) forEach(visit func(e *entry)) {
	for _, chunk := range s.chunks {
		for i := range chunk {
			if chunk[i].state != stateFree {
				visit(&chunk[i])
			}
		}
	}
}

// victim returns the evictable entry that expires first among the next evictionSample
// entries, or nil.
func (s *shard) victim(idempotent bool) *entry {
	var soonest *entry
	size := uint32(len(s.chunks)) << chunkBits
	for range min(evictionSample, size) {
		s.evictionCursor = (s.evictionCursor + 1) % size
		e := s.entryAt(s.evictionCursor)
		if e.state == stateFree || !e.evictable(idempotent) {
			continue
		}
		if soonest == nil || e.expires < soonest.expires {
			soonest = e
		}
	}
	return soonest
}
