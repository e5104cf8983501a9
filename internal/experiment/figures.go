package experiment

import (
	"math"
	"slices"
	"time"
)

// outcome is how one job ended.
type outcome struct {
	job     *job
	ok      bool
	refused bool
	// first, between and total are as the caller sees them.
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

// Figures are the measured values of one run after the warm-up. Those of the
// model service leave the plain service out unless they say otherwise.
type Metrics struct {
	// Requests counts jobs of the model service, Refused and Failed those
	// that got no answer.
	Requests, Refused, Failed int
	// FirstP50, FirstP95 and BetweenP95 are in milliseconds.
	FirstP50, FirstP95, BetweenP95 float64
	// SmallFirstP95 is FirstP95 of the small organisations and SmallWithin
	// their share within the target.
	SmallFirstP95, SmallWithinTarget float64
	// Within is the share of all requests answered within the target.
	WithinTarget float64
	// PlainWithin is the same for the plain service.
	PlainWithinTarget float64
	// Computed is the number of prompt tokens computed per prompt token of the
	// answered requests, BoundComputed the least possible with an infinite
	// cache shared by all engines.
	ComputedRatio, MinComputedRatio float64
	// Cost is the price of the model VMs per 1,000 requests within the target,
	// BoundCost the least possible in hindsight.
	Cost, MinCost float64
	// Goodput is the number of requests within the target per second.
	Goodput float64
}

func (r *results) metrics(cell Cell, jobs []*job, cost float64) Metrics {
	var f Metrics
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
		f.Requests++
		within += boolToInt(met)
		isSmall := o.job.organisation >= firstSmallOrganisation
		smallCount += boolToInt(isSmall)
		smallWithin += boolToInt(isSmall && met)
		switch {
		case o.refused:
			f.Refused++
		case !o.ok:
			f.Failed++
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
	f.FirstP50, f.FirstP95, f.BetweenP95 = quantile(first, 0.5), quantile(first, 0.95), quantile(between, 0.95)
	f.SmallFirstP95, f.SmallWithinTarget = quantile(small, 0.95), ratio(smallWithin, smallCount)
	f.WithinTarget, f.PlainWithinTarget = ratio(within, f.Requests), ratio(plainWithin, plain)
	f.ComputedRatio = ratio(computed, prompt)
	f.MinComputedRatio = minComputedRatio(jobs)
	f.Cost = cost / float64(max(1, within)) * 1000
	f.MinCost = minCost(cell, jobs) / float64(max(1, f.Requests)) * 1000
	f.Goodput = float64(within) / (cell.Scenario.length() - warmup).Seconds()
	return f
}

// boundComputed is the share of prompt tokens that no earlier request had, so
// that even an infinite cache shared by all engines must compute them.
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

// eachCompulsory calls f with the tokens of each job's prompt that come after
// the longest prefix seen in earlier jobs.
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

// boundCost is the price of the cheapest whole VMs that could process each
// minute's work: compulsory prompt tokens and output tokens at the largest
// batch, perfectly spread, with VMs started and stopped at no cost and no
// reserve for faults.
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
