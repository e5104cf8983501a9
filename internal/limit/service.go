package limit

import "time"

const (
	// meanWeight is the divisor of a new observation in moving averages.
	meanWeight = 16
	// fastFirstTokenStep is the relative step by which service.fastFirstToken
	// follows new observations.
	fastFirstTokenStep = 0.05
	// fastFirstTokenQuantile is the quantile of first-token times that is taken
	// as the shortest time that a request can expect.
	fastFirstTokenQuantile = 0.25
	// minRetryAfter and maxRetryAfter bound RejectedError.RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// noCapacityRetryAfter is the RetryAfter while a service has no server.
	noCapacityRetryAfter = 2 * time.Second
	// sweepInterval is the shortest time between two sweeps that are triggered
	// by completions.
	sweepInterval = 50 * time.Millisecond
)

// service is the admission state of one service.
type service struct {
	limit  *adaptiveLimit
	budget retryBudget
	queues [levels]*fairQueue
	// running counts admitted requests that have not ended.
	running int
	shed    shedder

	// meanTotal is the moving average of the time from admission to end.
	meanTotal time.Duration
	// fastFirstToken estimates the fastFirstTokenQuantile of first-token times.
	fastFirstToken time.Duration
	// nextRetryAt is the earliest retry time that the next refusal may return.
	nextRetryAt time.Time
	lastSweep   time.Time
}

func newService(capacity float64) *service {
	s := &service{limit: newAdaptiveLimit(capacity), budget: newRetryBudget(capacity)}
	for i := range s.queues {
		s.queues[i] = newFairQueue()
	}
	return s
}

// queued returns the number of waiting requests.
func (s *service) queued() int {
	n := 0
	for _, q := range s.queues {
		n += q.size
	}
	return n
}

// hasFreeSlot reports whether one more request may run.
func (s *service) hasFreeSlot() bool {
	return float64(s.running) < max(s.limit.limit, min(1, s.limit.capacity))
}

// drainRate returns the expected completions per second at the current limit;
// 0 means unknown.
func (s *service) drainRate() float64 {
	if s.meanTotal <= 0 {
		return 0
	}
	return s.limit.limit / s.meanTotal.Seconds()
}

// waitersAhead returns the number of waiters that run before one at level l with
// the start tag start.
func (s *service) waitersAhead(l level, start float64) int {
	n := s.queues[l].waitersAhead(start)
	for higher := range l {
		n += s.queues[higher].size
	}
	return n
}

// predictWait returns the expected queueing time of a request with n waiters
// ahead; 0 if it could run at once or the drain rate is unknown.
func (s *service) predictWait(n int) time.Duration {
	rate := s.drainRate()
	if rate <= 0 || s.hasFreeSlot() && n == 0 {
		return 0
	}
	return time.Duration(float64(n+1) / rate * float64(time.Second))
}

// retryAfter returns the RetryAfter of a refusal, at least minDelay. Successive
// retry times are spaced by the drain rate, so that refused callers do not all
// retry at the same time. The refusal counts as late for load shedding.
func (s *service) retryAfter(now time.Time, minDelay time.Duration) time.Duration {
	s.shed.observe(now, true)
	if s.limit.capacity < 1 {
		return noCapacityRetryAfter
	}
	at := now.Add(max(minDelay, minRetryAfter))
	if s.nextRetryAt.After(at) {
		at = s.nextRetryAt
	}
	if rate := s.drainRate(); rate > 0 {
		s.nextRetryAt = at.Add(time.Duration(float64(time.Second) / rate))
	}
	if latest := now.Add(maxRetryAfter); s.nextRetryAt.After(latest) {
		s.nextRetryAt = latest
	}
	return min(at.Sub(now), maxRetryAfter)
}

// observe records the result of one request.
func (s *service) observe(now time.Time, r Result) {
	saturated := s.queued() > 0 || !s.hasFreeSlot()
	if r.OK {
		s.updateTimes(r)
	}
	s.limit.observe(now, r, saturated)
	s.shed.observe(now, r.MissedTarget)
}

// updateTimes updates the averages and quantiles with a successful result.
func (s *service) updateTimes(r Result) {
	if s.meanTotal == 0 {
		s.meanTotal = r.Total
	}
	s.meanTotal += (r.Total - s.meanTotal) / meanWeight
	if r.FirstToken <= 0 {
		return
	}
	switch {
	case s.fastFirstToken == 0:
		s.fastFirstToken = r.FirstToken
	case r.FirstToken > s.fastFirstToken:
		s.fastFirstToken += time.Duration(fastFirstTokenStep * fastFirstTokenQuantile * float64(s.fastFirstToken))
	default:
		s.fastFirstToken -= time.Duration(fastFirstTokenStep * (1 - fastFirstTokenQuantile) * float64(s.fastFirstToken))
	}
}
