package route

import "github.com/hashicorp/golang-lru/v2/simplelru"

// maxHolders bounds the servers recorded per context or block.
const maxHolders = 4

// holder is a server that has a context's prompt or a prompt block in its cache.
// In a contextIndex, tokens is the number of cached tokens. In blockIndex.events
// it is the server's event epoch, and in blockIndex.dispatched it is not used.
type holder struct {
	server *serverState
	tokens int
}

// holders lists the servers that have a context's prompt or a prompt block in
// their cache, most recently updated first.
type holders struct {
	list  [maxHolders]holder
	count int
}

func (h *holders) find(s *serverState) int {
	for i := range h.count {
		if h.list[i].server == s {
			return i
		}
	}
	return -1
}

// put moves s to the front with the given tokens and drops the oldest holder if
// the list is full.
func (h *holders) put(s *serverState, tokens int) {
	i := h.find(s)
	if i < 0 {
		if h.count < maxHolders {
			h.count++
		}
		i = h.count - 1
	}
	copy(h.list[1:i+1], h.list[:i])
	h.list[0] = holder{s, tokens}
}

func (h *holders) remove(s *serverState) {
	i := h.find(s)
	if i < 0 {
		return
	}
	copy(h.list[i:], h.list[i+1:h.count])
	h.count--
	h.list[h.count] = holder{}
}

// contextIndex records which servers ran this entry's requests of a context.
type contextIndex struct {
	lru *simplelru.LRU[uint64, *holders]
}

func newContextIndex(size int) contextIndex {
	// NewLRU fails only for a size below 1, which withDefaults excludes.
	lru, _ := simplelru.NewLRU[uint64, *holders](size, nil)
	return contextIndex{lru}
}

func (x contextIndex) get(context uint64) *holders {
	if context == 0 {
		return nil
	}
	h, _ := x.lru.Get(context)
	return h
}

func (x contextIndex) put(context uint64, s *serverState, tokens int) {
	if context == 0 {
		return
	}
	h, ok := x.lru.Get(context)
	if !ok {
		h = &holders{}
		x.lru.Add(context, h)
	}
	h.put(s, tokens)
}

// removeOnFailure removes s from the holders of a context if the request failed,
// that is, if ok is false.
func (x contextIndex) removeOnFailure(context uint64, s *serverState, ok bool) {
	if ok || context == 0 {
		return
	}
	if h, found := x.lru.Peek(context); found {
		h.remove(s)
	}
}

// blockIndex records which servers have which prompt blocks in their cache.
// Blocks learned from this entry's dispatches and from cache events are kept in
// separate indexes, because a gap in the events of a server invalidates only the
// latter.
type blockIndex struct {
	dispatched *simplelru.LRU[uint64, *holders]
	events     *simplelru.LRU[uint64, *holders]
}

func newBlockIndex(size int) blockIndex {
	dispatched, _ := simplelru.NewLRU[uint64, *holders](size, nil)
	events, _ := simplelru.NewLRU[uint64, *holders](size, nil)
	return blockIndex{dispatched, events}
}

func putBlock(lru *simplelru.LRU[uint64, *holders], block uint64, s *serverState, epoch int) {
	h, ok := lru.Get(block)
	if !ok {
		h = &holders{}
		lru.Add(block, h)
	}
	h.put(s, epoch)
}

func removeBlock(lru *simplelru.LRU[uint64, *holders], block uint64, s *serverState) {
	if h, ok := lru.Peek(block); ok {
		h.remove(s)
		if h.count == 0 {
			lru.Remove(block)
		}
	}
}

// holds reports whether either index lists s as a holder of the block. An entry
// of the events index counts only if it is of the server's current event epoch.
func (x blockIndex) holds(block uint64, s *serverState) bool {
	if h, ok := x.dispatched.Peek(block); ok && h.find(s) >= 0 {
		return true
	}
	h, ok := x.events.Peek(block)
	if !ok {
		return false
	}
	i := h.find(s)
	return i >= 0 && h.list[i].tokens == s.eventEpoch
}

// heldByAny reports whether either index has an entry for the block, including
// entries of earlier event epochs.
func (x blockIndex) heldByAny(block uint64) bool {
	return x.dispatched.Contains(block) || x.events.Contains(block)
}

// leadingHeldBy returns how many leading blocks s holds. Binary search is valid
// because the hashes are chained and engines evict the end of a prefix first.
func (x blockIndex) leadingHeldBy(blocks []uint64, s *serverState) int {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high) / 2
		if x.holds(blocks[middle], s) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// leadingHeldByAny returns an upper bound of leadingHeldBy for all servers, by the
// same binary search.
func (x blockIndex) leadingHeldByAny(blocks []uint64) int {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high) / 2
		if x.heldByAny(blocks[middle]) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}
