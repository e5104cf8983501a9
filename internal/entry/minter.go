package entry

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"sync/atomic"

	"buckthornpick/internal/request"
)

// minter generates request IDs in partitions that this node owns, so that requests
// without an idempotency key need no forwarding to another owner.
type minter struct {
	partitions atomic.Pointer[[]int]
}

func (m *minter) setPartitions(p []int) { m.partitions.Store(&p) }

// mint returns a new random ID. If the node owns no partition, the ID falls into an
// arbitrary one.
func (m *minter) mint() request.ID {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], rand.Uint64())
	binary.BigEndian.PutUint64(raw[8:], rand.Uint64())
	if owned := m.partitions.Load(); owned != nil && len(*owned) > 0 {
		p := (*owned)[rand.IntN(len(*owned))]
		binary.BigEndian.PutUint16(raw[:2], withPartition(binary.BigEndian.Uint16(raw[:2]), p))
	}
	return request.ID(hex.EncodeToString(raw[:]))
}

// withPartition returns prefix with the part that selects the partition replaced.
func withPartition(prefix uint16, partition int) uint16 {
	return prefix - prefix%request.Partitions + uint16(partition)
}
