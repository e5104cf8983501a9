package relay

import (
	"sync"
	"time"
)

const (
	// maxDurationRules limits the number of rules with an estimate; beyond it all
	// estimates start anew.
	maxDurationRules = 4096
	// minDurationSamples is the number of served requests from which on a rule has an
	// estimate.
	minDurationSamples = 10
	// The estimate is the mean plus durationDeviations mean deviations, both moving
	// averages with the given weights, as in TCP's retransmission timeout.
	durationMeanWeight      = 1.0 / 8
	durationDeviationWeight = 1.0 / 4
	durationDeviations      = 4
)

// durationEstimates estimates by rule how long a request takes that is served. It is
// safe for concurrent use.
type durationEstimates struct {
	mu sync.Mutex
	// rules are keyed by the name of the rule.
	rules map[string]*durationEstimate
}

// durationEstimate holds the moving averages of one rule in seconds.
type durationEstimate struct {
	samples         int
	mean, deviation float64
}

func newDurationEstimates() *durationEstimates {
	return &durationEstimates{rules: map[string]*durationEstimate{}}
}

// record adds the duration of a request that was served.
func (e *durationEstimates) record(rule string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.rules[rule]
	if !ok {
		if len(e.rules) >= maxDurationRules {
			clear(e.rules)
		}
		r = &durationEstimate{mean: d.Seconds(), deviation: d.Seconds() / 2}
		e.rules[rule] = r
	}
	r.samples++
	difference := d.Seconds() - r.mean
	r.mean += durationMeanWeight * difference
	r.deviation += durationDeviationWeight * (max(difference, -difference) - r.deviation)
}

// upperBound returns a duration that few requests of the rule exceed; ok is false if
// too few were served.
func (e *durationEstimates) upperBound(rule string) (d time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, found := e.rules[rule]
	if !found || r.samples < minDurationSamples {
		return 0, false
	}
	return time.Duration((r.mean + durationDeviations*r.deviation) * float64(time.Second)), true
}
