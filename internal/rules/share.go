package rules

import "github.com/cespare/xxhash/v2"

// sharePoint hashes a context to a number in [0, 1). The result depends only on
// the service and the context (or the request ID, if there is no context), so a
// context that is selected by a share is also selected by every greater share.
func sharePoint(in *Input) float64 {
	key := in.Context
	if key == 0 {
		key = xxhash.Sum64String(in.RequestID)
	}
	h := mix(mix(key) ^ xxhash.Sum64String(in.Service))
	const mantissaBits = 53
	return float64(h>>(64-mantissaBits)) / (1 << mantissaBits)
}

// mix is the finaliser of SplitMix64: every input bit affects all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
