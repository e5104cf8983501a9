package route

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// mix is the finaliser of SplitMix64: every input bit affects all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvous returns the weighted rendezvous hashing score of key on a node. The
// node with the highest score is the home of the key, and a node's share of the
// keys is proportional to its weight.
func rendezvous(key, node uint64, weight float64) float64 {
	return -weight / math.Log(hashToUnit(key, node))
}

// hashToUnit hashes key and node to a number between 0 and 1. For nodes of equal
// weight it gives the same order as rendezvous.
func hashToUnit(key, node uint64) float64 {
	return (float64(mix(key^node)>>11) + 0.5) / (1 << 53)
}

// subset returns the size servers with the highest rendezvous scores for the
// entry self, ordered by ID. A size of 0 keeps all servers.
func subset(self string, servers []*serverState, size int) []*serverState {
	if size > 0 && len(servers) > size {
		key := xxhash.Sum64String(self)
		slices.SortFunc(servers, func(a, b *serverState) int {
			if rendezvous(key, a.hash, a.weight()) > rendezvous(key, b.hash, b.weight()) {
				return -1
			}
			return 1
		})
		servers = servers[:size]
	}
	slices.SortFunc(servers, func(a, b *serverState) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return servers
}
