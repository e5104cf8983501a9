package route

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"buckthornpick/internal/telemetry"
)

const (
	// maxQueuedDecisions bounds the decisions that wait to be written.
	maxQueuedDecisions = 256
	// defaultLinesPerSecond is the default rate limit of log lines.
	defaultLinesPerSecond = 200
	// skippedInterval is the interval at which the number of skipped lines is
	// logged.
	skippedInterval = 10 * time.Second
)

// Decision is a routing decision to be logged.
type Decision struct {
	// Request is the ID of the request.
	Request string
	Query   Query
	Choice  Choice
	// Err is the error returned by Pick, nil if a server was selected.
	Err error
}

// DecisionLog logs decisions from the goroutine that calls Run. Decisions beyond
// the rate limit or the queue are dropped and counted, so that Log never blocks.
type DecisionLog struct {
	log     *telemetry.Logger
	queue   chan Decision
	limiter *rate.Limiter
	skipped atomic.Int64
}

// NewDecisionLog returns a log that writes at most linesPerSecond lines per
// second; 0 means the default of 200.
func NewDecisionLog(log *telemetry.Logger, linesPerSecond int) *DecisionLog {
	if linesPerSecond <= 0 {
		linesPerSecond = defaultLinesPerSecond
	}
	return &DecisionLog{
		log:     log,
		queue:   make(chan Decision, maxQueuedDecisions),
		limiter: rate.NewLimiter(rate.Limit(linesPerSecond), linesPerSecond),
	}
}

// Log queues one decision. It never blocks.
func (l *DecisionLog) Log(d Decision) {
	if !l.limiter.Allow() {
		l.skipped.Add(1)
		return
	}
	select {
	case l.queue <- d:
	default:
		l.skipped.Add(1)
	}
}

// Run writes queued decisions until ctx is done, then writes the rest of the
// queue and returns nil.
func (l *DecisionLog) Run(ctx context.Context) error {
	ticker := time.NewTicker(skippedInterval)
	defer ticker.Stop()
	for {
		select {
		case d := <-l.queue:
			l.write(d)
		case <-ticker.C:
			l.writeSkipped()
		case <-ctx.Done():
			l.drain()
			return nil
		}
	}
}

func (l *DecisionLog) drain() {
	for {
		select {
		case d := <-l.queue:
			l.write(d)
		default:
			l.writeSkipped()
			return
		}
	}
}

func (l *DecisionLog) writeSkipped() {
	if n := l.skipped.Swap(0); n > 0 {
		l.log.Log(EvLinesSkipped, "lines", n)
	}
}

func (l *DecisionLog) write(d Decision) {
	var saturated *SaturatedError
	switch {
	case d.Err == nil:
		l.log.Log(EvChosen, "request", d.Request, "service", d.Query.Service,
			"server", d.Choice.Server.ID, "reason", d.Choice.Reason,
			"cachedTokens", d.Choice.ExpectedCachedTokens,
			"predictedFirstToken", d.Choice.PredictedFirstToken, "candidates", d.Choice.Candidates)
	case errors.As(d.Err, &saturated):
		l.log.Log(EvSaturated, "request", d.Request, "service", d.Query.Service, "retryAfter", saturated.RetryAfter)
	default:
		l.log.Log(EvNoServer, "request", d.Request, "service", d.Query.Service, "error", d.Err)
	}
}
