package member

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/request"
)

const partitions = request.Partitions

// owners caches the owner of every partition of one table, computed on first use.
type owners struct {
	once    sync.Once
	indices [partitions]int32
}

func (o *owners) index(members []Member, partition int) int {
	o.once.Do(func() {
		hashes := idHashes(members)
		for p := range partitions {
			o.indices[p] = int32(ownerIndex(hashes, p))
		}
	})
	return int(o.indices[partition])
}

func idHashes(members []Member) []uint64 {
	hashes := make([]uint64, len(members))
	for i, m := range members {
		hashes[i] = xxhash.Sum64String(m.ID)
	}
	return hashes
}

// ownerIndex selects the owner by rendezvous hashing: the member with the
// highest score owns the partition, so a member that joins or leaves moves only
// its own partitions.
func ownerIndex(hashes []uint64, partition int) int {
	best, bestScore := 0, uint64(0)
	for i, h := range hashes {
		if score := splitMix64(h ^ splitMix64(uint64(partition)+1)); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// splitMix64 is the finalizer of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// PartitionSet is a bitmap of partitions.
type PartitionSet []byte

func newPartitionSet() PartitionSet { return make(PartitionSet, partitions/8) }

// Has reports whether the partition is in the set.
func (s PartitionSet) Has(partition int) bool {
	return partition >= 0 && partition/8 < len(s) && s[partition/8]&(1<<(partition%8)) != 0
}

func (s PartitionSet) add(partition int) { s[partition/8] |= 1 << (partition % 8) }

func (s PartitionSet) union(other PartitionSet) PartitionSet {
	out := newPartitionSet()
	for i := range out {
		if i < len(s) {
			out[i] |= s[i]
		}
		if i < len(other) {
			out[i] |= other[i]
		}
	}
	return out
}
