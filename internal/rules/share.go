package rules

import "github.com/cespare/xxhash/v2"

// sharePoint places a context in [0, 1). The point depends on the service and
// the context only (the request ID, if there is no context), so contexts below
// a share stay below every greater share.
func sharePoint(in *Input) float64 {
	key := in.Context
	if key == 0 {
		key = xxhash.Sum64String(in.RequestID)
	}
	h := mix(mix(key) ^ xxhash.Sum64String(in.Service))
	const mantissaBits = 53
	return float64(h>>(64-mantissaBits)) / (1 << mantissaBits)
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
