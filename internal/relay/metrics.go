package relay

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of values that a histogram keeps.
const sampleSize = 256

// relayMetrics holds the relay's counters and histograms. The histograms are in
// milliseconds.
type relayMetrics struct {
	registry        metrics.Registry
	requests        metrics.Counter
	sendsTotal      metrics.Counter
	timeToFirstByte metrics.Histogram
	totalTime       metrics.Histogram
	timeToRefusal   metrics.Histogram
	// turnedAway counts the requests that servers refused and stated their load with,
	// loadChecks those before which a server was asked for its load, and loadMoves those
	// that another server got instead.
	turnedAway, loadChecks, loadMoves metrics.Counter
}

// newRelayMetrics registers the metrics of a relay.
func newRelayMetrics(r metrics.Registry) *relayMetrics {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, 0.015))
	}
	return &relayMetrics{
		registry:        r,
		requests:        metrics.GetOrRegisterCounter("relay.requests_total", r),
		sendsTotal:      metrics.GetOrRegisterCounter("relay.attempts_total", r),
		timeToFirstByte: histogram("relay.first_byte_milliseconds"),
		totalTime:       histogram("relay.request_milliseconds"),
		timeToRefusal:   histogram("relay.refusal_milliseconds"),
		turnedAway:      metrics.GetOrRegisterCounter("capacity.turned_away_total", r),
		loadChecks:      metrics.GetOrRegisterCounter("capacity.load_checks_total", r),
		loadMoves:       metrics.GetOrRegisterCounter("capacity.load_moves_total", r),
	}
}

// countEnd counts a finished request under the reason of its end.
func (m *relayMetrics) countEnd(reason string) {
	metrics.GetOrRegisterCounter("relay.ended."+reason+"_total", m.registry).Inc(1)
}

// recordMillis adds a duration to a histogram.
func recordMillis(h metrics.Histogram, d time.Duration) { h.Update(d.Milliseconds()) }

// countOriginLookup counts a search for the origin of a stream by how it was found.
func (m *relayMetrics) countOriginLookup(source originSource) {
	metrics.GetOrRegisterCounter("relay.origin_lookups."+string(source)+"_total", m.registry).Inc(1)
}
