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
	window    time.Duration
	clock     clock.Clock
	startedAt time.Duration

	mu       sync.Mutex
	counters map[string]*quota.Counter
}

// NewQuotas returns counters without spending.
func NewQuotas(window time.Duration, c clock.Clock) *Quotas {
	return &Quotas{window: window, clock: c, startedAt: c(), counters: map[string]*quota.Counter{}}
}

func (q *Quotas) counterLocked(organisation string) *quota.Counter {
	c, ok := q.counters[organisation]
	if !ok {
		c = quota.NewCounter(q.window, q.startedAt)
		q.counters[organisation] = c
	}
	return c
}

// cost returns what a request takes of a quota.
func quotaCost(limit *config.Quota, info *RequestInfo) float64 {
	switch {
	case limit.ByRequest:
		return 1
	case info.HasTokenCounts:
		return float64(info.PromptTokens + info.MaxTokens)
	}
	return limit.PlainTokens
}

// Spend takes an amount from the organisation's quota if it fits.
func (q *Quotas) Spend(o *config.Organisation, site quota.Site, amount float64) quota.Verdict {
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
	return q.collectReports(func(c *quota.Counter, now time.Duration) quota.SpendingReport { return c.Report(now, withKnown) })
}

// Sums returns the spending of this entry and of those that report to it, but
// one; see quota.Counter.
func (q *Quotas) AggregateReports(scope quota.Scope, excluded string, withKnown bool) map[string]quota.SpendingReport {
	return q.collectReports(func(c *quota.Counter, now time.Duration) quota.SpendingReport {
		return c.Sum(now, scope, excluded, withKnown)
	})
}

func (q *Quotas) collectReports(report func(*quota.Counter, time.Duration) quota.SpendingReport) map[string]quota.SpendingReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	reports := make(map[string]quota.SpendingReport, len(q.counters))
	for o, c := range q.counters {
		reports[o] = report(c, now)
	}
	return reports
}

// Merge takes what another process reports, by organisation.
func (q *Quotas) Merge(origin quota.Origin, reports map[string]quota.SpendingReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	for o, t := range reports {
		q.counterLocked(o).Merge(now, origin, t)
	}
}

// repeatBudgets holds the entry's budget of further sends by service.
type retryBudgets struct {
	limits quota.RepeatLimits
	clock  clock.Clock

	mu       sync.Mutex
	services map[string]*quota.Repeats
}

func newRetryBudgets(l quota.RepeatLimits, c clock.Clock) *retryBudgets {
	return &retryBudgets{limits: l, clock: c, services: map[string]*quota.Repeats{}}
}

func (b *retryBudgets) serviceLocked(name string) *quota.Repeats {
	r, ok := b.services[name]
	if !ok {
		r = quota.NewRepeats(b.limits)
		b.services[name] = r
	}
	return r
}

func (b *retryBudgets) recordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceLocked(service).Request(b.clock())
}

func (b *retryBudgets) takeRetry(service string, entryCount int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serviceLocked(service).Take(b.clock(), entryCount)
}
