package route

import "time"

// KVMoveInput describes a running answer that must move to another server.
type KVMoveInput struct {
	// Tokens is the size of its KV cache: prompt and generated tokens.
	Tokens int
	// CachedAtTarget is the number of these tokens that the target is expected
	// to have in its cache.
	CachedAtTarget int
	// BytesPerToken is the exported size of the KV cache per token.
	BytesPerToken float64
	// BytesPerSecond is the combined rate of export and import.
	BytesPerSecond float64
	// PrefillTokensPerSecond is the prompt processing rate of the target.
	PrefillTokensPerSecond float64
	// RecomputedTokenMillis is the service's cost of a recomputed token in
	// milliseconds; 0 means the default of config.RouteWeights.
	RecomputedTokenMillis float64
	// TimeLeft is the time until the source server becomes unavailable.
	TimeLeft time.Duration
}

// KVMoveDecision is the way in which a running answer moves to the target server.
type KVMoveDecision struct {
	// MovesKV is true if the KV cache is exported and imported; otherwise the
	// target recomputes the tokens that it has not cached.
	MovesKV bool
	// Transfer and Recompute are the predicted durations of both options.
	Transfer  time.Duration
	Recompute time.Duration
}

// transferMargin is the share of KVMoveInput.TimeLeft that a transfer may take.
const transferMargin = 0.5

// DecideKVMove decides whether to transfer the KV cache or to recompute it. It
// compares the transfer time with the recompute time plus the weighted cost of
// the recomputed tokens. A transfer that would take more than transferMargin of
// the time left is never chosen.
func DecideKVMove(in KVMoveInput) KVMoveDecision {
	if in.RecomputedTokenMillis <= 0 {
		in.RecomputedTokenMillis = defaultRecomputeMillis
	}
	missing := max(in.Tokens-in.CachedAtTarget, 0)
	transfer := float64(in.Tokens) * in.BytesPerToken / max(in.BytesPerSecond, 1)
	recompute := float64(missing) / max(in.PrefillTokensPerSecond, 1)
	d := KVMoveDecision{Transfer: seconds(transfer), Recompute: seconds(recompute)}
	weighted := recompute + float64(missing)*in.RecomputedTokenMillis/1000
	d.MovesKV = transfer < weighted && d.Transfer < time.Duration(transferMargin*float64(in.TimeLeft))
	return d
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
