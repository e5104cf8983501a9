package limit

import (
	"math"
	"time"
)

const (
	// windowSamples and windowTime are the least size of a measuring window.
	minWindowSamples = 16
	minWindow        = 250 * time.Millisecond
	// missTolerance is the share of misses that a p95 target allows.
	missTolerance = 0.05
	// missDecrease is the factor on the limit after a window with many misses.
	missDecreaseFactor = 0.95
	// latencyTolerance is how far the latency of a window may be above the
	// best one before it counts as queueing.
	latencyTolerance = 1.2
	// bestDrift lets the best latency rise slowly, so that it can be
	// forgotten.
	minLatencyDrift = 1.01
	// floorShare is the least limit as a share of the capacity.
	minLimitShare = 0.3
	// gradientSmoothing is the weight of a window in the gradient limit.
	gradientSmoothing = 0.3
)

// adaptiveLimit is a concurrency limit that follows the measured latency. With
// a latency target it backs off on misses that come with queueing; without one
// it follows the gradient of the latency.
type adaptiveLimit struct {
	limit     float64
	capacity  float64
	hasTarget bool

	windowStart time.Time
	samples     int
	misses      int
	latencySum  time.Duration
	// saturated is true if the limit was reached in the window.
	saturated  bool
	minLatency time.Duration
}

func newAdaptiveLimit(capacity float64) *adaptiveLimit {
	return &adaptiveLimit{limit: capacity, capacity: capacity}
}

// setCapacity scales the limit at once with the capacity.
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

func (a *adaptiveLimit) clamp() {
	floor := min(a.capacity, max(1, minLimitShare*a.capacity))
	a.limit = min(max(a.limit, floor), a.capacity)
}

// observe takes the end of one request and adapts at the end of a window.
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

func (a *adaptiveLimit) adaptToMisses(mean time.Duration) {
	queueing := float64(mean) > latencyTolerance*float64(a.minLatency)
	switch {
	case float64(a.misses) > missTolerance*float64(a.samples) && queueing:
		a.limit *= missDecreaseFactor
	case a.saturated && float64(a.misses) <= missTolerance*float64(a.samples):
		a.limit += math.Sqrt(a.limit) / 2
	}
}

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
