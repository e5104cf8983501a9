package gateway

import "github.com/rcrowley/go-metrics"

// counters holds the gateway's metrics.
type counters struct {
	received metrics.Counter
	aborted  metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		received: metrics.GetOrRegisterCounter("gateway_requests_total", r),
		aborted:  metrics.GetOrRegisterCounter("gateway_answers_aborted_total", r),
	}
}
