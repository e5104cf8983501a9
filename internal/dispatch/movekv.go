package dispatch

import (
	"context"
	"sync"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/route"
)

// KVMover moves KV cache between engines.
type KVMover interface {
	// MoveKV exports the attempt's KV cache from one engine, imports it into
	// the other, and returns the size of the export.
	MoveKV(ctx context.Context, from backend.Target, attempt backend.AttemptID, to backend.Target) (bytes int64, err error)
}

const (
	// The assumed values are the starting points of the averages in kvRates.
	assumedBytesPerToken          = 128 << 10
	assumedBytesPerSecond         = 500e6
	assumedPrefillTokensPerSecond = 8000
	// maxKVMoves is the maximum number of concurrent KV transfers through this
	// node.
	maxKVMoves = 4
	// kvEWMAWeight is the weight of a new sample in the moving averages.
	kvEWMAWeight = 0.3
	// minMeasuredTokens is the smallest number of computed tokens that counts
	// as a sample of the prefill rate.
	minMeasuredTokens = 200
)

// kvRates holds moving averages of the cost of transferring and of computing KV
// cache. It is safe for concurrent use. No other lock is taken while mu is held.
type kvRates struct {
	mu                     sync.Mutex
	bytesPerToken          float64
	bytesPerSecond         float64
	prefillTokensPerSecond float64
	moveSlots              chan struct{} // semaphore of maxKVMoves slots
}

func newKVRates() *kvRates {
	return &kvRates{bytesPerToken: assumedBytesPerToken, bytesPerSecond: assumedBytesPerSecond,
		prefillTokensPerSecond: assumedPrefillTokensPerSecond, moveSlots: make(chan struct{}, maxKVMoves)}
}

func updateEWMA(avg *float64, sample float64) { *avg += kvEWMAWeight * (sample - *avg) }

// recordMove adds a sample: the transfer of the KV cache of that many tokens.
func (k *kvRates) recordMove(bytes int64, tokens int, took time.Duration) {
	if bytes == 0 || tokens == 0 || took <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	updateEWMA(&k.bytesPerToken, float64(bytes)/float64(tokens))
	updateEWMA(&k.bytesPerSecond, float64(bytes)/took.Seconds())
}

// recordPrefill adds a sample: the time to the first token of a prompt of which
// that many tokens were computed.
func (k *kvRates) recordPrefill(tokens int, took time.Duration) {
	if tokens < minMeasuredTokens || took <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	updateEWMA(&k.prefillTokensPerSecond, float64(tokens)/took.Seconds())
}

func (k *kvRates) fillMoveInput(in *route.KVMoveInput) {
	k.mu.Lock()
	defer k.mu.Unlock()
	in.BytesPerToken, in.BytesPerSecond, in.PrefillTokensPerSecond = k.bytesPerToken, k.bytesPerSecond, k.prefillTokensPerSecond
}

// kvSource is an attempt that was cancelled because its server is being
// reclaimed. Its KV cache can be exported until the reclaim deadline.
type kvSource struct {
	attempt  attempt
	deadline time.Time
}

// moveKV transfers the KV cache of the cancelled attempt to the server of the
// next one, if that is cheaper than computing it there.
func (e *execution) moveKV(ctx context.Context, next *attempt) {
	source := e.kvSource
	e.kvSource = nil
	if source == nil || e.d.deps.KV == nil || next.target.Class != backend.Engine {
		return
	}
	in := route.KVMoveInput{
		Tokens:                e.req.PromptTokens + len(e.rec.Events()),
		CachedAtTarget:        knownCachedTokens(next.choice),
		RecomputedTokenMillis: e.plan.services[0].Weights.RecomputedTokenMillis,
		TimeLeft:              time.Until(source.deadline),
	}
	e.d.kv.fillMoveInput(&in)
	decision := route.DecideKVMove(in)
	e.d.deps.Log.Log(EvMoveDecision, "request", e.req.ID, "from", source.attempt.target.ID, "to", next.target.ID,
		"tokens", in.Tokens, "cached", in.CachedAtTarget, "movesKV", decision.MovesKV,
		"transfer", decision.Transfer, "recompute", decision.Recompute, "left", in.TimeLeft)
	if decision.MovesKV {
		e.transferKV(ctx, source, next, in.Tokens)
	}
}

// knownCachedTokens returns the number of tokens that the chosen server is known
// to have in its cache. It ignores the expectation that a context's home server
// has the prompt cached, because this answer was running at another server.
func knownCachedTokens(c route.Choice) int {
	if c.Reason == route.ReasonPrefix || c.Reason == route.ReasonHysteresis {
		return c.ExpectedCachedTokens
	}
	return 0
}

// transferKV transfers the KV cache. It does nothing if maxKVMoves transfers are
// running already, and fails at the source's reclaim deadline. Without the
// transfer the target server computes the KV cache again.
func (e *execution) transferKV(ctx context.Context, source *kvSource, next *attempt, tokens int) {
	select {
	case e.d.kv.moveSlots <- struct{}{}:
		defer func() { <-e.d.kv.moveSlots }()
	default:
		return
	}
	ctx, cancel := context.WithDeadline(ctx, source.deadline)
	defer cancel()
	started := time.Now()
	bytes, err := e.d.deps.KV.MoveKV(ctx, source.attempt.target, source.attempt.id, next.target)
	if err != nil {
		e.d.deps.Log.Log(EvKVNotMoved, "request", e.req.ID, "error", err)
		return
	}
	e.d.stats.kvMoves.Inc(1)
	e.d.stats.kvBytes.Inc(bytes)
	e.d.kv.recordMove(bytes, tokens, time.Since(started))
}
