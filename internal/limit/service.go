package limit

import "time"

const (
	// meanWeight is the divisor of one observation in moving means.
	meanWeight = 16
	// quickStep is the relative step of the low quantile of first-token times.
	fastFirstTokenStep = 0.05
	// quickQuantile is the quantile of first-token times below which no
	// request is expected to be.
	fastFirstTokenQuantile = 0.25
	// minRetryAfter and maxRetryAfter bound the advice of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// noCapacityRetryAfter is advised while a service has no server.
	noCapacityRetryAfter = 2 * time.Second
	// sweepInterval is the least time between checks of all waiters.
	sweepInterval = 50 * time.Millisecond
)

// service is the admission state of one service.
type service struct {
	limit   *adaptiveLimit
	budget  retryBudget
	queues  [levels]*fairQueue
	running int
	shed    shedder

	// meanTotal is the mean time of a request from admission to end.
	meanTotal time.Duration
	// quickFirst is a low quantile of first-token times.
	fastFirstToken time.Duration
	// promised is the time of the last place promised by a refusal.
	lastRetryAt time.Time
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

// hasPlace reports whether one more request may run.
func (s *service) hasFreeSlot() bool {
	return float64(s.running) < max(s.limit.limit, min(1, s.limit.capacity))
}

// drainRate returns the requests per second that leave at the current limit;
// 0 is unknown.
func (s *service) drainRate() float64 {
	if s.meanTotal <= 0 {
		return 0
	}
	return s.limit.limit / s.meanTotal.Seconds()
}

// ahead returns the waiters that run before one at level l with tag start.
func (s *service) waitersAhead(l level, start float64) int {
	n := s.queues[l].waitersAhead(start)
	for higher := range l {
		n += s.queues[higher].size
	}
	return n
}

// wait predicts how long a request with n others ahead waits.
func (s *service) predictWait(n int) time.Duration {
	rate := s.drainRate()
	if rate <= 0 || s.hasFreeSlot() && n == 0 {
		return 0
	}
	return time.Duration(float64(n+1) / rate * float64(time.Second))
}

// retryAfter promises the next free place at or after need from now. Promises
// are spaced by the drain rate, so that refused callers do not come back
// together.
func (s *service) retryAfter(now time.Time, minDelay time.Duration) time.Duration {
	s.shed.observe(now, true)
	if s.limit.capacity < 1 {
		return noCapacityRetryAfter
	}
	at := now.Add(max(minDelay, minRetryAfter))
	if s.lastRetryAt.After(at) {
		at = s.lastRetryAt
	}
	if rate := s.drainRate(); rate > 0 {
		s.lastRetryAt = at.Add(time.Duration(float64(time.Second) / rate))
	}
	if latest := now.Add(maxRetryAfter); s.lastRetryAt.After(latest) {
		s.lastRetryAt = latest
	}
	return min(at.Sub(now), maxRetryAfter)
}

// observe takes the end of one request.
func (s *service) observe(now time.Time, r Result) {
	saturated := s.queued() > 0 || !s.hasFreeSlot()
	if r.OK {
		s.updateTimes(r)
	}
	s.limit.observe(now, r, saturated)
	s.shed.observe(now, r.MissedTarget)
}

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
