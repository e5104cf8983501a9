package relay

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of observations that a histogram keeps.
const sampleSize = 256

// meters are the relay's counters and histograms.
type meters struct {
	registry   metrics.Registry
	requests   metrics.Counter
	attempts   metrics.Counter
	firstByte  metrics.Histogram
	total      metrics.Histogram
	refusalAge metrics.Histogram
}

func newMeters(r metrics.Registry) *meters {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, 0.015))
	}
	return &meters{
		registry:   r,
		requests:   metrics.GetOrRegisterCounter("relay.requests_total", r),
		attempts:   metrics.GetOrRegisterCounter("relay.attempts_total", r),
		firstByte:  histogram("relay.first_byte_milliseconds"),
		total:      histogram("relay.request_milliseconds"),
		refusalAge: histogram("relay.refusal_milliseconds"),
	}
}

// ended counts a request by the reason of its end.
func (m *meters) ended(reason string) {
	metrics.GetOrRegisterCounter("relay.ended."+reason+"_total", m.registry).Inc(1)
}

func observe(h metrics.Histogram, d time.Duration) { h.Update(d.Milliseconds()) }
