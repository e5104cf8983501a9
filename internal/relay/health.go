package relay

import "time"

const (
	// failureWeight is the weight of the latest outcome in a server's failure
	// rate, which then covers about the last ten.
	failureWeight = 0.1
	// suspectRate is the failure rate from which a server is avoided. Services
	// may fail one call in seven by themselves.
	suspectRate = 0.3
	// leastOutcomes is the number of outcomes before a rate counts.
	leastOutcomes = 6
	// unreachableFirst and unreachableMost bound the time for which a server
	// that cannot be reached is avoided; a crashed one is back in some seconds.
	unreachableFirst = 500 * time.Millisecond
	unreachableMost  = 4 * time.Second
	// failingFor is the time for which a failing server is avoided.
	failingFor = 2 * time.Second
)

// health judges one backend server by the outcomes of its calls, since a server
// may be ill while its health check is good, or the reverse.
type health struct {
	rate     float64
	outcomes int
	// backoff is the next time of avoidance after a failed connection.
	backoff   time.Duration
	avoidedTo time.Duration
}

// observe takes the outcome of a call that reached the server.
func (h *health) observe(now time.Duration, ok bool) {
	h.outcomes++
	value := 1.0
	if ok {
		value = 0
		h.backoff = 0
	}
	h.rate += failureWeight * (value - h.rate)
	if !ok && h.outcomes >= leastOutcomes && h.rate > suspectRate {
		h.avoidedTo = now + failingFor
		h.rate /= 2 // the next try after the pause decides anew
	}
}

// unreachable notes a failed connection.
func (h *health) unreachable(now time.Duration) {
	h.backoff = min(max(2*h.backoff, unreachableFirst), unreachableMost)
	h.avoidedTo = max(h.avoidedTo, now+h.backoff)
}

// avoid avoids the server until the given time.
func (h *health) avoid(until time.Duration) { h.avoidedTo = max(h.avoidedTo, until) }

// isSuspect reports whether the server is to be avoided.
func (h *health) isSuspect(now time.Duration) bool { return now < h.avoidedTo }
