package relay

import (
	"sync"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/config"
	"buckthornpick/internal/quota"
)

// Quotas tracks the spending of each organisation at all entries and enforces
// their quotas. It is safe for concurrent use.
type Quotas struct {
	window    time.Duration
	clock     clock.Clock
	startedAt time.Duration

	mu sync.Mutex
	// counters are keyed by the organisation's name.
	counters map[string]*quota.Counter
}

// NewQuotas returns quotas over the given window, without any spending.
func NewQuotas(window time.Duration, c clock.Clock) *Quotas {
	return &Quotas{window: window, clock: c, startedAt: c(), counters: map[string]*quota.Counter{}}
}

// counterLocked returns the counter of the organisation and creates it if
// necessary.
func (q *Quotas) counterLocked(organisation string) *quota.Counter {
	counter, ok := q.counters[organisation]
	if !ok {
		counter = quota.NewCounter(q.window, q.startedAt)
		q.counters[organisation] = counter
	}
	return counter
}

// quotaCost returns the amount that a request is charged, in units of the quota
// (tokens or requests).
func quotaCost(limit *config.Quota, info *RequestInfo) float64 {
	switch {
	case limit.ByRequest:
		return 1
	case info.HasTokenCounts:
		return float64(info.PromptTokens + info.MaxTokens)
	}
	return limit.PlainTokens
}

// Spend charges an amount to the organisation's quota if the quota allows it.
func (q *Quotas) Spend(organisation *config.Organisation, site quota.Site, amount float64) quota.Decision {
	limits := quota.Limits{PerSecond: organisation.Quota.PerSecond, Burst: organisation.Quota.Burst, Window: q.window}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counterLocked(organisation.Name).Spend(q.clock(), limits, site, amount)
}

// Refund returns the charge of a request that did not run.
func (q *Quotas) Refund(organisation string, amount float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.counterLocked(organisation).Refund(q.clock(), amount)
}

// Reports returns this entry's own spending by organisation. With
// withSiteSpending, the reports include the known spending of all entries, which
// an entry that has just started needs.
func (q *Quotas) Reports(withSiteSpending bool) map[string]quota.SpendingReport {
	return q.collectReports(func(c *quota.Counter, now time.Duration) quota.SpendingReport { return c.Report(now, withSiteSpending) })
}

// AggregateReports returns, by organisation, the total spending of this entry and
// of the entries in the scope that report to it, except the one named excluded;
// see quota.Counter.Aggregate.
func (q *Quotas) AggregateReports(scope quota.Scope, excluded string, withSiteSpending bool) map[string]quota.SpendingReport {
	return q.collectReports(func(c *quota.Counter, now time.Duration) quota.SpendingReport {
		return c.Aggregate(now, scope, excluded, withSiteSpending)
	})
}

// collectReports calls report for the counter of each organisation.
func (q *Quotas) collectReports(report func(*quota.Counter, time.Duration) quota.SpendingReport) map[string]quota.SpendingReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	reports := make(map[string]quota.SpendingReport, len(q.counters))
	for organisation, c := range q.counters {
		reports[organisation] = report(c, now)
	}
	return reports
}

// Merge adds the reports of another process, which are keyed by organisation.
func (q *Quotas) Merge(origin quota.Origin, reports map[string]quota.SpendingReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	for organisation, report := range reports {
		q.counterLocked(organisation).Merge(now, origin, report)
	}
}

// retryBudgets holds this entry's retry budget of each service.
type retryBudgets struct {
	limits quota.RetryLimits
	clock  clock.Clock

	mu sync.Mutex
	// budgets are keyed by service.
	budgets map[string]*quota.RetryBudget
}

// newRetryBudgets returns budgets without requests or retries.
func newRetryBudgets(limits quota.RetryLimits, c clock.Clock) *retryBudgets {
	return &retryBudgets{limits: limits, clock: c, budgets: map[string]*quota.RetryBudget{}}
}

// budgetLocked returns the budget of the service and creates it if necessary.
func (b *retryBudgets) budgetLocked(service string) *quota.RetryBudget {
	budget, ok := b.budgets[service]
	if !ok {
		budget = quota.NewRetryBudget(b.limits)
		b.budgets[service] = budget
	}
	return budget
}

// recordRequest counts a request, which adds to the budget of its service.
func (b *retryBudgets) recordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetLocked(service).RecordRequest(b.clock())
}

// takeRetry reports whether the budget of the service allows a retry, and charges
// it if so. entryCount is the number of the site's entries.
func (b *retryBudgets) takeRetry(service string, entryCount int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetLocked(service).TryRetry(b.clock(), entryCount)
}
