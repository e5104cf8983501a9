package relay

import (
	"sync"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/config"
	"buckthornpick/internal/quota"
)

// Quotas counts the spending of each organisation over all entries. It is safe
// for concurrent use.
type Quotas struct {
	window  time.Duration
	clock   clock.Clock
	started time.Duration

	mu       sync.Mutex
	counters map[string]*quota.Counter
}

// NewQuotas returns counters without spending.
func NewQuotas(window time.Duration, c clock.Clock) *Quotas {
	return &Quotas{window: window, clock: c, started: c(), counters: map[string]*quota.Counter{}}
}

func (q *Quotas) counterLocked(organisation string) *quota.Counter {
	c, ok := q.counters[organisation]
	if !ok {
		c = quota.NewCounter(q.window, q.started)
		q.counters[organisation] = c
	}
	return c
}

// cost returns what a request takes of a quota.
func cost(limit *config.Quota, f *Facts) float64 {
	switch {
	case limit.ByRequest:
		return 1
	case f.HasTokens:
		return float64(f.PromptTokens + f.MaxTokens)
	}
	return limit.PlainTokens
}

// Spend takes an amount from the organisation's quota if it fits.
func (q *Quotas) Spend(o *config.Organisation, site quota.Site, amount float64) quota.Decision {
	limits := quota.Limits{PerSecond: o.Quota.PerSecond, Burst: o.Quota.Burst, Window: q.window}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counterLocked(o.Name).Spend(q.clock(), limits, site, amount)
}

// Refund gives back the amount of a request that did not run.
func (q *Quotas) Refund(organisation string, amount float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.counterLocked(organisation).Refund(q.clock(), amount)
}

// Reports returns this entry's own spending by organisation; withKnown adds what
// starting entries need.
func (q *Quotas) Reports(withKnown bool) map[string]quota.SpendingReport {
	return q.reports(func(c *quota.Counter, now time.Duration) quota.SpendingReport { return c.Report(now, withKnown) })
}

// Sums returns the spending of this entry and of those that report to it, but
// one; see quota.Counter.
func (q *Quotas) Sums(scope quota.Scope, except string, withKnown bool) map[string]quota.SpendingReport {
	return q.reports(func(c *quota.Counter, now time.Duration) quota.SpendingReport {
		return c.Aggregate(now, scope, except, withKnown)
	})
}

func (q *Quotas) reports(of func(*quota.Counter, time.Duration) quota.SpendingReport) map[string]quota.SpendingReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	reports := make(map[string]quota.SpendingReport, len(q.counters))
	for o, c := range q.counters {
		reports[o] = of(c, now)
	}
	return reports
}

// Merge takes what another process reports, by organisation.
func (q *Quotas) Merge(from quota.Origin, reports map[string]quota.SpendingReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	for o, t := range reports {
		q.counterLocked(o).Merge(now, from, t)
	}
}

// repeatBudgets holds the entry's budget of further sends by service.
type repeatBudgets struct {
	limits quota.RetryLimits
	clock  clock.Clock

	mu       sync.Mutex
	services map[string]*quota.RetryBudget
}

func newRepeatBudgets(l quota.RetryLimits, c clock.Clock) *repeatBudgets {
	return &repeatBudgets{limits: l, clock: c, services: map[string]*quota.RetryBudget{}}
}

func (b *repeatBudgets) serviceLocked(name string) *quota.RetryBudget {
	r, ok := b.services[name]
	if !ok {
		r = quota.NewRetryBudget(b.limits)
		b.services[name] = r
	}
	return r
}

func (b *repeatBudgets) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceLocked(service).RecordRequest(b.clock())
}

func (b *repeatBudgets) take(service string, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serviceLocked(service).TryRetry(b.clock(), entries)
}
