package experiment

import "github.com/hashicorp/golang-lru/v2/simplelru"

// blockCache models an engine's prefix cache: an LRU cache of prompt blocks. It
// records insertions and evictions until takeEvents.
type blockCache struct {
	lru     *simplelru.LRU[uint64, struct{}]
	stored  []uint64
	evicted []uint64
}

func newBlockCache(blocks int) *blockCache {
	c := &blockCache{}
	c.lru, _ = simplelru.NewLRU(max(1, blocks), func(block uint64, _ struct{}) {
		c.evicted = append(c.evicted, block)
	})
	return c
}

// match returns the number of leading blocks that are cached.
func (c *blockCache) match(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.lru.Contains(blocks[n]) {
		n++
	}
	return n
}

// insert stores blocks from last to first. The first block is thus the most
// recently used, and prefixes are evicted from their end.
func (c *blockCache) insert(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if !c.lru.Contains(blocks[i]) {
			c.stored = append(c.stored, blocks[i])
		}
		c.lru.Add(blocks[i], struct{}{})
	}
}

// takeEvents returns the blocks stored and evicted since the previous call.
func (c *blockCache) takeEvents() (stored, evicted []uint64) {
	stored, evicted = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, evicted
}
