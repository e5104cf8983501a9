package relay

import (
	"slices"
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
	// slackTokens is the slack of quotas in tokens; see quota.Limits.
	slackTokens float64

	mu sync.Mutex
	// counters are keyed by the organisation's name.
	counters map[string]*quota.Counter
	// recalled is the copy of the spending before the start, recalled at recalledAt; nil if
	// there is none.
	recalled   *SpendingCopy
	recalledAt time.Duration
}

// NewQuotas returns quotas over the given window, without any spending.
func NewQuotas(window time.Duration, c clock.Clock) *Quotas {
	return &Quotas{window: window, clock: c, startedAt: c(), counters: map[string]*quota.Counter{}}
}

// AllowSlack sets the slack of quotas in tokens. It is called before the first Spend.
func (q *Quotas) AllowSlack(tokens float64) { q.slackTokens = tokens }

// counterLocked returns the counter of the organisation and creates it if
// necessary.
func (q *Quotas) counterLocked(organisation string) *quota.Counter {
	counter, ok := q.counters[organisation]
	if !ok {
		counter = quota.NewCounter(q.window, q.startedAt)
		q.recallLocked(organisation, counter)
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
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counterLocked(organisation.Name).Spend(q.clock(), q.limits(organisation), site, amount)
}

// limits returns the limits of an organisation that has a quota.
func (q *Quotas) limits(organisation *config.Organisation) quota.Limits {
	limits := quota.Limits{PerSecond: organisation.Quota.PerSecond, Burst: organisation.Quota.Burst, Window: q.window}
	if !organisation.Quota.ByRequest {
		limits.Slack = q.slackTokens
	}
	return limits
}

// PlanReturn returns when the caller of a refused request is to come back; see
// quota.Counter.PlanReturn.
func (q *Quotas) PlanReturn(organisation *config.Organisation, site quota.Site, d quota.Decision, amount float64, patience time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counterLocked(organisation.Name).PlanReturn(q.clock(), q.limits(organisation), site, d, amount, patience)
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

// SpendingCopy is a copy of the spending of all entries. Times are on the clock of this
// process.
type SpendingCopy struct {
	// CopiedAt is when the copy was made, less the age of what the process knew of others.
	CopiedAt time.Duration
	// Parts is the spending in the window before CopiedAt by organisation, in equal parts,
	// oldest first. Organisations that are missing have spent nothing.
	Parts map[string][]float64
	// Gaps are the times of which the spending is not known, UnknownShare the fraction of
	// the entries.
	Gaps         []quota.Gap
	UnknownShare float64
}

// isEmpty reports whether nothing was spent and nothing is unknown.
func (s *SpendingCopy) isEmpty() bool {
	for _, parts := range s.Parts {
		if slices.ContainsFunc(parts, func(amount float64) bool { return amount > 0 }) {
			return false
		}
	}
	return len(s.Gaps) == 0
}

// Recall bounds the spending before the start by a copy.
func (q *Quotas) Recall(spending *SpendingCopy) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recalled, q.recalledAt = spending, q.clock()
	for organisation, counter := range q.counters {
		q.recallLocked(organisation, counter)
	}
	for organisation := range spending.Parts {
		q.counterLocked(organisation) // also for the copies that this process makes
	}
}

// recallLocked bounds the spending of one organisation by the copy, if there is one.
func (q *Quotas) recallLocked(organisation string, counter *quota.Counter) {
	if q.recalled != nil {
		counter.Recall(q.recalledAt, quota.Recollection{
			CopiedAt: q.recalled.CopiedAt, Parts: q.recalled.Parts[organisation], Gaps: q.recalled.Gaps, UnknownShare: q.recalled.UnknownShare,
		})
	}
}

// Copy returns a copy of the spending of all entries of the site; nil if this process does
// not know it, because it has just started without one.
func (q *Quotas) Copy(site quota.Site) *SpendingCopy {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	spending := &SpendingCopy{CopiedAt: now - site.Lag, Parts: make(map[string][]float64, len(q.counters))}
	if site.Entries > site.Reachable {
		spending.UnknownShare = 1 - float64(site.Reachable)/float64(site.Entries)
	}
	if now-q.startedAt < q.window {
		if q.recalled == nil {
			return nil
		}
		spending.Gaps = append(slices.Clone(q.recalled.Gaps), quota.Gap{From: q.recalled.CopiedAt, To: q.recalledAt})
		spending.UnknownShare = max(spending.UnknownShare, q.recalled.UnknownShare)
	}
	for organisation, counter := range q.counters {
		spending.Parts[organisation] = counter.Copy(now)
	}
	return spending
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
