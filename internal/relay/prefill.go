package relay

import (
	"slices"
	"time"
)

// PrefillStats holds one entry's measurements of the prefill work for a service.
type PrefillStats struct {
	// Tokens is the total number of prompt tokens sent that were not cached at the
	// server.
	Tokens float64 `msgpack:"t"`
	// TokensPerSecond is the prefill rate of one server; 0 is unknown.
	TokensPerSecond float64 `msgpack:"r"`
}

const (
	// minRateTokens is the prompt size in tokens from which on the prefill rate is
	// measured. For shorter prompts the network latency and the server's batching
	// steps distort it too much.
	minRateTokens = 2000
	// rateSamples is the number of latest samples that the rate is computed from.
	rateSamples = 256
	// rateQuantile is the quantile of the samples that is used as the rate. Most
	// prompts wait for others and appear slower, and a few were cached and appear
	// faster.
	rateQuantile = 0.95
	// minRateSamples is the number of samples from which on a rate is reported.
	minRateSamples = 20
)

// prefillMeter measures the prefill work for one service.
type prefillMeter struct {
	tokens float64
	// samples is a ring buffer of measured rates in tokens per second; nextSample is
	// the index that is overwritten next.
	samples    []float64
	nextSample int
	// reportedRate is the highest rate that was reported. It never decreases, since
	// lower samples come from a busy server and not from a slower one.
	reportedRate float64
}

// addTokens adds the prompt tokens of a call that are not cached at the server.
func (m *prefillMeter) addTokens(tokens int) { m.tokens += float64(max(tokens, 0)) }

// recordFirstToken adds a rate sample from the time to the first token; ownTokens
// is the length of the part of the prompt that no server can have cached.
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

// stats returns the current measurements and updates the reported rate.
func (m *prefillMeter) stats() PrefillStats {
	if len(m.samples) >= minRateSamples {
		sorted := slices.Sorted(slices.Values(m.samples))
		m.reportedRate = max(m.reportedRate, sorted[int(rateQuantile*float64(len(sorted)-1))])
	}
	return PrefillStats{Tokens: m.tokens, TokensPerSecond: m.reportedRate}
}
