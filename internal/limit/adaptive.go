package limit

import (
	"math"
	"time"
)

const (
	// minWindowSamples and minWindow are the smallest sample count and duration
	// of a measurement window.
	minWindowSamples = 16
	minWindow        = 250 * time.Millisecond
	// missTolerance is the share of requests that may miss a p95 target.
	missTolerance = 0.05
	// missDecreaseFactor multiplies the limit after a window with too many
	// misses.
	missDecreaseFactor = 0.95
	// latencyTolerance is the ratio of a window's mean latency to minLatency
	// above which requests are assumed to queue at the servers.
	latencyTolerance = 1.2
	// minLatencyDrift raises minLatency slowly, so that an outdated minimum
	// expires.
	minLatencyDrift = 1.01
	// minLimitShare is the smallest limit as a share of the capacity.
	minLimitShare = 0.3
	// gradientSmoothing is the weight of a new window in the gradient limit.
	gradientSmoothing = 0.3
)

// adaptiveLimit is a concurrency limit that adapts to the measured latency. With
// a latency target it decreases on misses that coincide with queueing; without
// one it follows the latency gradient.
type adaptiveLimit struct {
	limit     float64
	capacity  float64
	hasTarget bool

	// The following fields belong to the current window.
	windowStart time.Time
	samples     int
	misses      int
	latencySum  time.Duration
	// saturated is true if the limit was reached in the window.
	saturated bool
	// minLatency is the lowest mean latency of a window, with a slow upward
	// drift.
	minLatency time.Duration
}

func newAdaptiveLimit(capacity float64) *adaptiveLimit {
	return &adaptiveLimit{limit: capacity, capacity: capacity}
}

// setCapacity sets the capacity and scales the limit by the same factor.
func (a *adaptiveLimit) setCapacity(capacity float64) {
	if capacity == a.capacity {
		return
	}
	if a.capacity > 0 {
		a.limit *= capacity / a.capacity
	} else {
		a.limit = capacity
	}
	a.capacity = capacity
	a.clamp()
}

// clamp keeps the limit between the minimum share and the capacity.
func (a *adaptiveLimit) clamp() {
	floor := min(a.capacity, max(1, minLimitShare*a.capacity))
	a.limit = min(max(a.limit, floor), a.capacity)
}

// observe records the result of one request and adapts the limit at the end of a
// window. saturated is true if the limit was reached.
func (a *adaptiveLimit) observe(now time.Time, r Result, saturated bool) {
	if a.windowStart.IsZero() {
		a.windowStart = now
	}
	a.samples++
	a.saturated = a.saturated || saturated
	if r.MissedTarget || !r.OK {
		a.misses++
	}
	if a.hasTarget && r.FirstToken > 0 {
		a.latencySum += r.FirstToken
	} else {
		a.latencySum += r.Total
	}
	if a.samples < minWindowSamples || now.Sub(a.windowStart) < minWindow {
		return
	}
	mean := a.latencySum / time.Duration(a.samples)
	a.adapt(mean)
	a.windowStart, a.samples, a.misses, a.latencySum, a.saturated = now, 0, 0, 0, false
}

// adapt updates the limit with the mean latency of a window.
func (a *adaptiveLimit) adapt(mean time.Duration) {
	if a.minLatency == 0 || mean < a.minLatency {
		a.minLatency = mean
	} else {
		a.minLatency = time.Duration(float64(a.minLatency) * minLatencyDrift)
	}
	if a.hasTarget {
		a.adaptToMisses(mean)
	} else {
		a.adaptToGradient(mean)
	}
	a.clamp()
}

// adaptToMisses decreases the limit if too many requests missed the target while
// requests queued, and increases it if a saturated window was within tolerance.
func (a *adaptiveLimit) adaptToMisses(mean time.Duration) {
	queueing := float64(mean) > latencyTolerance*float64(a.minLatency)
	switch {
	case float64(a.misses) > missTolerance*float64(a.samples) && queueing:
		a.limit *= missDecreaseFactor
	case a.saturated && float64(a.misses) <= missTolerance*float64(a.samples):
		a.limit += math.Sqrt(a.limit) / 2
	}
}

// adaptToGradient scales the limit by the ratio of minimum to current latency,
// and adds headroom if the window was saturated.
func (a *adaptiveLimit) adaptToGradient(mean time.Duration) {
	if mean <= 0 {
		return
	}
	gradient := min(1, max(0.5, latencyTolerance*float64(a.minLatency)/float64(mean)))
	next := a.limit * gradient
	if a.saturated {
		next += math.Sqrt(a.limit)
	}
	a.limit += gradientSmoothing * (next - a.limit)
}
