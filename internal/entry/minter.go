package entry

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"sync/atomic"

	"buckthornpick/internal/request"
)

// minter makes fresh request IDs in partitions that this node owns, so that
// requests without a key need no forwarding.
type minter struct {
	partitions atomic.Pointer[[]int]
}

func (m *minter) setPartitions(p []int) { m.partitions.Store(&p) }

// mint returns a fresh ID. A node that owns nothing uses any partition.
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

// withPartition replaces the part of prefix that selects the partition.
func withPartition(prefix uint16, partition int) uint16 {
	return prefix - prefix%request.Partitions + uint16(partition)
}
