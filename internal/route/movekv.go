package route

import "time"

// MoveInput describes a running answer that must leave its engine.
type KVMoveInput struct {
	// Tokens is the size of its KV cache: prompt and generated tokens.
	Tokens int
	// CachedAtTarget is how many of them the target is expected to hold.
	CachedAtTarget int
	// BytesPerToken is the size of an exported token.
	BytesPerToken float64
	// BytesPerSecond is the rate of an export with its import.
	BytesPerSecond float64
	// PrefillTokensPerSecond is the target's rate of computing a prompt.
	PrefillTokensPerSecond float64
	// RecomputedTokenMillis is the service's weight on a recomputed token; 0 is
	// the default of config.RouteWeights.
	RecomputedTokenMillis float64
	// Left is the time until the source is gone.
	TimeLeft time.Duration
}

// MoveDecision tells how an answer leaves its engine.
type KVMoveDecision struct {
	// MovesKV is true if the KV cache is exported and imported; else the
	// target computes what it does not hold.
	MovesKV bool
	// Transfer and Recompute are the predicted times of both ways.
	Transfer  time.Duration
	Recompute time.Duration
}

// transferMargin is the share of the time left that a transfer may take.
const transferMargin = 0.5

// MoveKV decides whether moving the KV cache costs less than computing it
// again: the time of both ways, and the weight on recomputed tokens.
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
