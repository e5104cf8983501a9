package relay

import (
	"slices"
	"time"
)

// Work is one entry's work for a service.
type PrefillStats struct {
	// Tokens is the total of prompt tokens that servers had to read.
	Tokens float64 `msgpack:"t"`
	// Rate is the number of prompt tokens that a server reads in a second; 0 is
	// unknown.
	TokensPerSecond float64 `msgpack:"r"`
}

const (
	// leastRateTokens is the size of prompts that tell the rate: below it the
	// way to the server and its steps weigh too much.
	minRateTokens = 2000
	// rateSamples is the number of observations that a rate is taken from.
	rateSamples = 256
	// rateQuantile of the observations is the rate: most prompts wait for others
	// and look slower, and a few were cached and look faster.
	rateQuantile = 0.95
	// leastRates is the number of observations before a rate is reported.
	minRateSamples = 20
)

// workMeter measures the work for one service.
type prefillMeter struct {
	tokens     float64
	samples    []float64
	nextSample int
	// rate is the highest that was reported: a server is no slower for being busy.
	reportedRate float64
}

func (m *prefillMeter) addTokens(tokens int) { m.tokens += float64(max(tokens, 0)) }

// firstToken takes the time that the prompt's own part, which no server holds,
// took to be read.
func (m *prefillMeter) recordFirstToken(ownTokens int, elapsed time.Duration) {
	if ownTokens < minRateTokens || elapsed <= 0 {
		return
	}
	rate := float64(ownTokens) / elapsed.Seconds()
	if len(m.samples) < rateSamples {
		m.samples = append(m.samples, rate)
		return
	}
	m.samples[m.nextSample] = rate
	m.nextSample = (m.nextSample + 1) % rateSamples
}

func (m *prefillMeter) stats() PrefillStats {
	if len(m.samples) >= minRateSamples {
		sorted := slices.Sorted(slices.Values(m.samples))
		m.reportedRate = max(m.reportedRate, sorted[int(rateQuantile*float64(len(sorted)-1))])
	}
	return PrefillStats{Tokens: m.tokens, TokensPerSecond: m.reportedRate}
}
