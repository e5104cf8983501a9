package relay

import "time"

const (
	// failureRateWeight is the weight of the latest outcome in a server's failure
	// rate, a moving average over about the last ten outcomes.
	failureRateWeight = 0.1
	// suspectFailureRate is the failure rate above which a server is avoided. Some
	// services fail one call in seven although their servers are healthy.
	suspectFailureRate = 0.3
	// minOutcomes is the number of outcomes from which on the failure rate is used.
	minOutcomes = 6
	// minUnreachableBackoff and maxUnreachableBackoff limit how long an unreachable
	// server is avoided; a crashed server is restarted within a few seconds.
	minUnreachableBackoff = 500 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// failingAvoidance is how long a failing server is avoided.
	failingAvoidance = 2 * time.Second
)

// health estimates the health of one backend server from the outcomes of its
// calls, since a server may fail calls while it passes its health check, or the
// reverse. Times are those of the balancer's clock.
type health struct {
	failureRate  float64
	outcomeCount int
	// backoff is how long the server was avoided after the latest failed connection;
	// 0 once a call succeeded.
	backoff      time.Duration
	avoidedUntil time.Duration
}

// recordOutcome records the outcome of a call that reached the server.
func (h *health) recordOutcome(now time.Duration, ok bool) {
	h.outcomeCount++
	value := 1.0
	if ok {
		value = 0
		h.backoff = 0
	}
	h.failureRate += failureRateWeight * (value - h.failureRate)
	if !ok && h.outcomeCount >= minOutcomes && h.failureRate > suspectFailureRate {
		h.avoidedUntil = now + failingAvoidance
		h.failureRate /= 2 // the calls after the pause decide again
	}
}

// recordUnreachable records a failed connection and doubles the backoff.
func (h *health) recordUnreachable(now time.Duration) {
	h.backoff = min(max(2*h.backoff, minUnreachableBackoff), maxUnreachableBackoff)
	h.avoidedUntil = max(h.avoidedUntil, now+h.backoff)
}

// avoidUntil marks the server as avoided at least until the given time.
func (h *health) avoidUntil(until time.Duration) { h.avoidedUntil = max(h.avoidedUntil, until) }

// isSuspect reports whether the server is avoided at the given time.
func (h *health) isSuspect(now time.Duration) bool { return now < h.avoidedUntil }
