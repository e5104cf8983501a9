package experiment

import (
	"math"
	"slices"
	"time"
)

// outcome is the result of one job.
type outcome struct {
	job     *job
	ok      bool
	refused bool
	// The delays are as seen by the caller: until the first token, the mean time
	// between tokens, and until the end of the answer.
	firstTokenDelay, betweenTokens, totalDelay time.Duration
	cached, computed                           int
}

// withinTarget reports whether the answer met the latency target.
func (o *outcome) withinTarget() bool {
	if !o.ok {
		return false
	}
	if o.job.service == plainService {
		return o.totalDelay.Seconds()*1000 <= target.FirstTokenMillis
	}
	return o.firstTokenDelay.Seconds()*1000 <= target.FirstTokenMillis && o.betweenTokens.Seconds()*1000 <= target.BetweenTokensMillis
}

type results struct{ outcomes []outcome }

func (r *results) add(o outcome) {
	if o.job.at >= warmup {
		r.outcomes = append(r.outcomes, o)
	}
}

// Metrics are the measurements of one run after the warm-up. They cover the
// model service only, unless stated otherwise.
type Metrics struct {
	// Requests counts all jobs, Refused those refused by admission or for want of
	// a server, Failed those that ended without an answer for another reason.
	Requests, Refused, Failed int
	// FirstP50, FirstP95 and BetweenP95 are in milliseconds.
	FirstP50, FirstP95, BetweenP95 float64
	// SmallFirstP95 and SmallWithinTarget are FirstP95 and WithinTarget of the
	// small organisations.
	SmallFirstP95, SmallWithinTarget float64
	// WithinTarget is the share of all requests answered within the latency
	// target.
	WithinTarget float64
	// PlainWithinTarget is the same share for the plain service.
	PlainWithinTarget float64
	// ComputedRatio is the number of prompt tokens computed per prompt token of
	// the answered requests, MinComputedRatio its lower bound with an infinite
	// cache shared by all engines.
	ComputedRatio, MinComputedRatio float64
	// Cost is the price of the model VMs per 1,000 requests within the target,
	// MinCost its lower bound with perfect foresight.
	Cost, MinCost float64
	// Goodput is the number of requests within the target per second.
	Goodput float64
}

func (r *results) metrics(cell Cell, jobs []*job, cost float64) Metrics {
	var m Metrics
	var first, between, small []float64
	within, smallWithin, smallCount, plain, plainWithin := 0, 0, 0, 0, 0
	prompt, computed := 0, 0
	for i := range r.outcomes {
		o := &r.outcomes[i]
		met := o.withinTarget()
		if o.job.service == plainService {
			plain++
			plainWithin += boolToInt(met)
			continue
		}
		m.Requests++
		within += boolToInt(met)
		isSmall := o.job.organisation >= firstSmallOrganisation
		smallCount += boolToInt(isSmall)
		smallWithin += boolToInt(isSmall && met)
		switch {
		case o.refused:
			m.Refused++
		case !o.ok:
			m.Failed++
		default:
			first = append(first, millis(o.firstTokenDelay))
			between = append(between, millis(o.betweenTokens))
			if isSmall {
				small = append(small, millis(o.firstTokenDelay))
			}
			prompt += o.job.prompt
			computed += o.computed
		}
	}
	m.FirstP50, m.FirstP95, m.BetweenP95 = quantile(first, 0.5), quantile(first, 0.95), quantile(between, 0.95)
	m.SmallFirstP95, m.SmallWithinTarget = quantile(small, 0.95), ratio(smallWithin, smallCount)
	m.WithinTarget, m.PlainWithinTarget = ratio(within, m.Requests), ratio(plainWithin, plain)
	m.ComputedRatio = ratio(computed, prompt)
	m.MinComputedRatio = minComputedRatio(jobs)
	m.Cost = cost / float64(max(1, within)) * 1000
	m.MinCost = minCost(cell, jobs) / float64(max(1, m.Requests)) * 1000
	m.Goodput = float64(within) / (cell.Scenario.length() - warmup).Seconds()
	return m
}

// minComputedRatio returns the share of prompt tokens that come after the
// longest prefix seen in an earlier request. Even an infinite cache shared by
// all engines must compute these.
func minComputedRatio(jobs []*job) float64 {
	prompt, computed := 0, 0
	forEachUncachedPrompt(jobs, func(j *job, tokens int) {
		if j.at >= warmup {
			prompt += j.prompt
			computed += tokens
		}
	})
	return ratio(computed, prompt)
}

// forEachUncachedPrompt calls f for each job of the model service with the number
// of its prompt tokens that come after the longest prefix seen in earlier jobs.
func forEachUncachedPrompt(jobs []*job, f func(j *job, tokens int)) {
	seen := map[uint64]struct{}{}
	for _, j := range jobs {
		if j.service != modelService {
			continue
		}
		known := 0
		for known < len(j.blocks) {
			if _, ok := seen[j.blocks[known]]; !ok {
				break
			}
			known++
		}
		for _, b := range j.cachedAfter {
			seen[b] = struct{}{}
		}
		f(j, max(1, j.prompt-known*blockTokens))
	}
}

// minCost returns the price of the fewest whole VMs of the cheapest offer that
// could process each minute's work: the prompt tokens that no cache can hold and
// the output tokens at the largest batch, spread perfectly, with VMs started and
// stopped at no cost and no reserve for faults.
func minCost(cell Cell, jobs []*job) float64 {
	const interval = time.Minute
	work := make([]time.Duration, (cell.Scenario.length()+interval-1)/interval)
	perOutput := (modelSpec.baseStep + time.Duration(modelSpec.maxBatch)*modelSpec.perRequest) / time.Duration(modelSpec.maxBatch)
	forEachUncachedPrompt(jobs, func(j *job, tokens int) {
		work[j.at/interval] += time.Duration(tokens)*modelSpec.perToken + time.Duration(j.output)*perOutput
	})
	total := 0.0
	for i, w := range work {
		at := time.Duration(i) * interval
		if at < warmup {
			continue
		}
		// The cheapest offer is zone a's or, once its price has doubled, zone b's.
		price := 1.0
		if cell.Scenario.DoublePriceAt > 0 && at >= cell.Scenario.DoublePriceAt {
			price = 1.1
		}
		total += math.Ceil(float64(w)/float64(interval)) * price * interval.Hours()
	}
	return total
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func ratio(a, b int) float64 { return float64(a) / float64(max(1, b)) }

func millis(d time.Duration) float64 { return d.Seconds() * 1000 }

// quantile returns the q-quantile of values, NaN if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
