package experiment

import "github.com/hashicorp/golang-lru/v2/simplelru"

// blockCache is an engine's prefix cache: an LRU of prompt blocks.
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

// match returns how many leading blocks are cached.
func (c *blockCache) match(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.lru.Contains(blocks[n]) {
		n++
	}
	return n
}

// insert stores all blocks. The first block becomes the most recent, so that
// prefixes are evicted from their end.
func (c *blockCache) insert(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if !c.lru.Contains(blocks[i]) {
			c.stored = append(c.stored, blocks[i])
		}
		c.lru.Add(blocks[i], struct{}{})
	}
}

// takeEvents returns what changed since the last call.
func (c *blockCache) takeEvents() (stored, evicted []uint64) {
	stored, evicted = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, evicted
}
