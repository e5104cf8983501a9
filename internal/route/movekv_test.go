package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDecideKVMove(t *testing.T) {
	base := KVMoveInput{Tokens: 4000, BytesPerToken: 100_000, BytesPerSecond: 1e9,
		PrefillTokensPerSecond: 8000, RecomputedTokenMillis: 0.2, TimeLeft: 5 * time.Second}
	cases := map[string]struct {
		change func(*KVMoveInput)
		moves  bool
	}{
		"cheaper than computing again":      {func(*KVMoveInput) {}, true},
		"target holds the prompt":           {func(in *KVMoveInput) { in.CachedAtTarget = 3900 }, false},
		"no time left":                      {func(in *KVMoveInput) { in.TimeLeft = 500 * time.Millisecond }, false},
		"slow network":                      {func(in *KVMoveInput) { in.BytesPerSecond = 1e8 }, false},
		"fast prefill and a low weight":     {func(in *KVMoveInput) { in.PrefillTokensPerSecond = 1e5; in.RecomputedTokenMillis = 0.01 }, false},
		"the default weight":                {func(in *KVMoveInput) { in.RecomputedTokenMillis = 0 }, true},
		"a high weight on recomputed token": {func(in *KVMoveInput) { in.BytesPerSecond = 2e8; in.RecomputedTokenMillis = 1 }, true},
		"nothing to move":                   {func(in *KVMoveInput) { in.Tokens = 0 }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			in := base
			c.change(&in)
			require.Equal(t, c.moves, DecideKVMove(in).MovesKV)
		})
	}
}
