package engine

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockWords is the number of words in a block of the prefix cache.
const BlockWords = 16

// maxCacheEvents is the largest number of cache events kept for publication.
const maxCacheEvents = 8192

// CacheEvent reports that a block was stored or evicted.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Type     string `json:"type"`
	// Block is the hash of the block and all blocks before it.
	Block uint64    `json:"block,string"`
	At    time.Time `json:"at"`
}

// Types of cache events.
const (
	BlockStored  = "stored"
	BlockEvicted = "evicted"
)

// prefixCache is an LRU set of block hashes.
type prefixCache struct {
	blocks   map[uint64]*list.Element
	order    *list.List // front is the most recently used
	events   []CacheEvent
	sequence int64
}

func newPrefixCache() *prefixCache {
	return &prefixCache{blocks: map[uint64]*list.Element{}, order: list.New()}
}

// BlockHashes returns the chained hashes of the full blocks of words.
func BlockHashes(words []string) []uint64 {
	hashes := make([]uint64, 0, len(words)/BlockWords)
	var previous uint64
	for len(words) >= BlockWords {
		d := xxhash.NewWithSeed(previous)
		for _, w := range words[:BlockWords] {
			_, _ = d.WriteString(w)
			_, _ = d.WriteString(" ")
		}
		previous = d.Sum64()
		hashes = append(hashes, previous)
		words = words[BlockWords:]
	}
	return hashes
}

// match returns how many leading hashes are cached and marks these as used.
func (c *prefixCache) match(hashes []uint64) int {
	for i, h := range hashes {
		e, ok := c.blocks[h]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(hashes)
}

// store adds hashes. The last ones are evicted first when the cache is full, so
// that the beginning of the prefix stays usable.
func (c *prefixCache) store(hashes []uint64, now time.Time) {
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if e, ok := c.blocks[h]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[h] = c.order.PushFront(h)
		c.publish(BlockStored, h, now)
	}
}

// trim evicts blocks until at most limit remain.
func (c *prefixCache) trim(limit int, now time.Time) {
	for c.order.Len() > max(limit, 0) {
		e := c.order.Back()
		h := e.Value.(uint64)
		c.order.Remove(e)
		delete(c.blocks, h)
		c.publish(BlockEvicted, h, now)
	}
}

func (c *prefixCache) tokens() int { return c.order.Len() * BlockWords }

func (c *prefixCache) publish(kind string, h uint64, now time.Time) {
	c.sequence++
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Type: kind, Block: h, At: now})
	if len(c.events) > maxCacheEvents {
		c.events = append(c.events[:0:0], c.events[len(c.events)/2:]...)
	}
}

// eventsAfter returns the events with a sequence number above after that
// happened up to until, without every gapEvery-th event (0 omits none).
func (c *prefixCache) eventsAfter(after int64, until time.Time, gapEvery int) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence <= after || e.At.After(until) {
			continue
		}
		if gapEvery > 0 && e.Sequence%int64(gapEvery) == 0 {
			continue
		}
		out = append(out, e)
	}
	return out
}
