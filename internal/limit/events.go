package limit

import (
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"

	"buckthornpick/internal/telemetry"
)

// Log events of admission.
var (
	EvRefused = telemetry.Register(1800, "limit.refused", slog.LevelInfo, "A request was refused before acceptance; skipped counts the refusals that were not logged since the last line.")
)

// refusalLinesPerSecond bounds the log lines about refusals.
const refusalLinesPerSecond = 20

// refusalLog logs refusals at a bounded rate and counts those it skips.
type refusalLog struct {
	log     *telemetry.Logger
	limiter *rate.Limiter
	skipped atomic.Int64
}

func newRefusalLog(log *telemetry.Logger) *refusalLog {
	return &refusalLog{log: log, limiter: rate.NewLimiter(refusalLinesPerSecond, refusalLinesPerSecond)}
}

func (l *refusalLog) write(req Request, r *RejectedError) {
	if !l.limiter.Allow() {
		l.skipped.Add(1)
		return
	}
	l.log.Log(EvRefused, "organisation", req.Organisation, "service", req.Service, "priority", req.Priority,
		"reason", r.Reason, "retryAfter", r.RetryAfter, "skipped", l.skipped.Swap(0))
}
