package relay

import "time"

const (
	// failureWeight is the weight of the latest outcome in a server's failure
	// rate, which then covers about the last ten.
	failureRateWeight = 0.1
	// suspectRate is the failure rate from which a server is avoided. Services
	// may fail one call in seven by themselves.
	suspectFailureRate = 0.3
	// leastOutcomes is the number of outcomes before a rate counts.
	minOutcomes = 6
	// unreachableFirst and unreachableMost bound the time for which a server
	// that cannot be reached is avoided; a crashed one is back in some seconds.
	minUnreachableBackoff = 500 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// failingFor is the time for which a failing server is avoided.
	failingAvoidance = 2 * time.Second
)

// health judges one backend server by the outcomes of its calls, since a server
// may be ill while its health check is good, or the reverse.
type health struct {
	failureRate  float64
	outcomeCount int
	// backoff is the next time of avoidance after a failed connection.
	backoff      time.Duration
	avoidedUntil time.Duration
}

// observe takes the outcome of a call that reached the server.
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
		h.failureRate /= 2 // the next try after the pause decides anew
	}
}

// unreachable notes a failed connection.
func (h *health) recordUnreachable(now time.Duration) {
	h.backoff = min(max(2*h.backoff, minUnreachableBackoff), maxUnreachableBackoff)
	h.avoidedUntil = max(h.avoidedUntil, now+h.backoff)
}

// avoid avoids the server until the given time.
func (h *health) avoidUntil(until time.Duration) { h.avoidedUntil = max(h.avoidedUntil, until) }

// isSuspect reports whether the server is to be avoided.
func (h *health) isSuspect(now time.Duration) bool { return now < h.avoidedUntil }
