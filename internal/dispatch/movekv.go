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
	MoveKV(ctx context.Context, from backend.Target, attempt backend.AttemptID, to backend.Target) (bytes int64, err error)
}

// Assumptions before anything was measured.
const (
	assumedBytesPerToken  = 128 << 10
	assumedBytesPerSecond = 500e6
	assumedPrefillRate    = 8000
	// maxKVMoves bounds the transfers that run through this node at once.
	maxKVMoves = 4
	// kvLearning is the weight of one observation.
	kvLearning = 0.3
	// minMeasuredTokens is the smallest prompt from which a rate is learned.
	minMeasuredTokens = 200
)

// kvRates learns what moving and computing KV cache costs. It is safe for
// concurrent use; mu is a leaf.
type kvRates struct {
	mu             sync.Mutex
	bytesPerToken  float64
	bytesPerSecond float64
	prefillRate    float64
	slots          chan struct{}
}

func newKVRates() *kvRates {
	return &kvRates{bytesPerToken: assumedBytesPerToken, bytesPerSecond: assumedBytesPerSecond,
		prefillRate: assumedPrefillRate, slots: make(chan struct{}, maxKVMoves)}
}

func learn(value *float64, seen float64) { *value += kvLearning * (seen - *value) }

// moved records a transfer of the KV cache of tokens.
func (k *kvRates) moved(bytes int64, tokens int, took time.Duration) {
	if bytes == 0 || tokens == 0 || took <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	learn(&k.bytesPerToken, float64(bytes)/float64(tokens))
	learn(&k.bytesPerSecond, float64(bytes)/took.Seconds())
}

// prefilled records the time to the first token after computing tokens.
func (k *kvRates) prefilled(tokens int, took time.Duration) {
	if tokens < minMeasuredTokens || took <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	learn(&k.prefillRate, float64(tokens)/took.Seconds())
}

func (k *kvRates) fill(in *route.KVMoveInput) {
	k.mu.Lock()
	defer k.mu.Unlock()
	in.BytesPerToken, in.BytesPerSecond, in.PrefillTokensPerSecond = k.bytesPerToken, k.bytesPerSecond, k.prefillRate
}

// movedFrom is an attempt that was cancelled because its server leaves; its KV
// cache can be exported until the deadline.
type movedFrom struct {
	attempt  attempt
	deadline time.Time
}

// bringKV moves the KV cache of the cancelled attempt to the server of the next
// one, if that costs less than computing it there.
func (e *execution) bringKV(ctx context.Context, next *attempt) {
	from := e.movedFrom
	e.movedFrom = nil
	if from == nil || e.d.deps.KV == nil || next.target.Class != backend.Engine {
		return
	}
	in := route.KVMoveInput{
		Tokens:                e.req.PromptTokens + len(e.rec.Events()),
		CachedAtTarget:        knownCached(next.choice),
		RecomputedTokenMillis: e.plan.services[0].Weights.RecomputedTokenMillis,
		TimeLeft:              time.Until(from.deadline),
	}
	e.d.kv.fill(&in)
	decision := route.DecideKVMove(in)
	e.d.deps.Log.Log(EvMoveDecision, "request", e.req.ID, "from", from.attempt.target.ID, "to", next.target.ID,
		"tokens", in.Tokens, "cached", in.CachedAtTarget, "movesKV", decision.MovesKV,
		"transfer", decision.Transfer, "recompute", decision.Recompute, "left", in.TimeLeft)
	if decision.MovesKV {
		e.transferKV(ctx, from, next, in.Tokens)
	}
}

// knownCached returns the tokens that the chosen server is known to hold. That a
// context's home often holds its prompt does not count here: the answer was
// running elsewhere.
func knownCached(c route.Choice) int {
	if c.Reason == route.ReasonPrefix || c.Reason == route.ReasonHysteresis {
		return c.ExpectedCachedTokens
	}
	return 0
}

// transferKV gives up when the source is about to go, or if too many transfers
// run already.
func (e *execution) transferKV(ctx context.Context, from *movedFrom, next *attempt, tokens int) {
	select {
	case e.d.kv.slots <- struct{}{}:
		defer func() { <-e.d.kv.slots }()
	default:
		return
	}
	ctx, cancel := context.WithDeadline(ctx, from.deadline)
	defer cancel()
	started := time.Now()
	bytes, err := e.d.deps.KV.MoveKV(ctx, from.attempt.target, from.attempt.id, next.target)
	if err != nil {
		e.d.deps.Log.Log(EvKVNotMoved, "request", e.req.ID, "error", err)
		return
	}
	e.d.stats.kvMoves.Inc(1)
	e.d.stats.kvBytes.Inc(bytes)
	e.d.kv.moved(bytes, tokens, time.Since(started))
}
