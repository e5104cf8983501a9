package dispatch

import (
	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/request"
)

// stats are the dispatcher's metrics.
type stats struct {
	records  metrics.Gauge
	running  metrics.Gauge
	attempts metrics.Counter
	resumes  metrics.Counter
	moves    metrics.Counter
	retries  metrics.Counter
	kvMoves  metrics.Counter
	kvBytes  metrics.Counter
	outcomes map[request.Outcome]metrics.Counter

	promptTokens     metrics.Counter
	cachedTokens     metrics.Counter
	computedTokens   metrics.Counter
	completionTokens metrics.Counter
}

func newStats(r metrics.Registry) stats {
	s := stats{
		records:          metrics.GetOrRegisterGauge("dispatch_records", r),
		running:          metrics.GetOrRegisterGauge("dispatch_running", r),
		attempts:         metrics.GetOrRegisterCounter("dispatch_attempts_total", r),
		resumes:          metrics.GetOrRegisterCounter("dispatch_resumes_total", r),
		moves:            metrics.GetOrRegisterCounter("dispatch_moves_total", r),
		retries:          metrics.GetOrRegisterCounter("dispatch_retries_total", r),
		promptTokens:     metrics.GetOrRegisterCounter("dispatch_prompt_tokens_total", r),
		cachedTokens:     metrics.GetOrRegisterCounter("dispatch_cached_tokens_total", r),
		computedTokens:   metrics.GetOrRegisterCounter("dispatch_computed_tokens_total", r),
		completionTokens: metrics.GetOrRegisterCounter("dispatch_completion_tokens_total", r),
		kvMoves:          metrics.GetOrRegisterCounter("dispatch_kv_moves_total", r),
		kvBytes:          metrics.GetOrRegisterCounter("dispatch_kv_moved_bytes_total", r),
		outcomes:         map[request.Outcome]metrics.Counter{},
	}
	for _, o := range []request.Outcome{request.Completed, request.NotRun, request.Failed, request.Unknown} {
		s.outcomes[o] = metrics.GetOrRegisterCounter("dispatch_ended_total."+string(o), r)
	}
	return s
}
