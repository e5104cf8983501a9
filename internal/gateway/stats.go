package gateway

import "github.com/rcrowley/go-metrics"

// stats are the gateway's counters.
type stats struct {
	received metrics.Counter
	aborted  metrics.Counter
}

func newStats(r metrics.Registry) stats {
	return stats{
		received: metrics.GetOrRegisterCounter("gateway_requests_total", r),
		aborted:  metrics.GetOrRegisterCounter("gateway_answers_aborted_total", r),
	}
}
