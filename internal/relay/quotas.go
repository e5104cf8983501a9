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
	isWarm  bool

	mu       sync.Mutex
	counters map[string]*quota.Counter
	// spent is this entry's total by organisation.
	spent map[string]float64
}

// NewQuotas returns counters without spending.
func NewQuotas(window time.Duration, c clock.Clock) *Quotas {
	return &Quotas{window: window, clock: c, started: c(), counters: map[string]*quota.Counter{}, spent: map[string]float64{}}
}

func (q *Quotas) counterLocked(organisation string) *quota.Counter {
	c, ok := q.counters[organisation]
	if !ok {
		c = quota.NewCounter(q.window, q.started)
		if q.isWarm {
			c.Warm()
		}
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
func (q *Quotas) Spend(o *config.Organisation, site quota.Site, amount float64) quota.Verdict {
	limits := quota.Limits{PerSecond: o.Quota.PerSecond, Burst: o.Quota.Burst, Window: q.window}
	q.mu.Lock()
	defer q.mu.Unlock()
	v := q.counterLocked(o.Name).Spend(q.clock(), limits, site, amount)
	if v.Allowed {
		q.spent[o.Name] += amount
	}
	return v
}

// Refund gives back the amount of a request that did not run.
func (q *Quotas) Refund(organisation string, amount float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.counterLocked(organisation).Refund(q.clock(), amount)
	q.spent[organisation] -= amount
}

// Spending is one entry's spending of one organisation's quota.
type Spending struct {
	// Total since the entry's start, and within the latest window.
	Total  float64 `msgpack:"t"`
	Recent float64 `msgpack:"r"`
}

// Spent returns this entry's spending by organisation.
func (q *Quotas) Spent() map[string]Spending {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	spending := make(map[string]Spending, len(q.spent))
	for o, total := range q.spent {
		spending[o] = Spending{Total: total, Recent: q.counterLocked(o).Own(now)}
	}
	return spending
}

// Uptime is the time since this entry started.
func (q *Quotas) Uptime() time.Duration { return q.clock() - q.started }

// Report takes the spending of another entry's run, and the time since that
// entry started.
func (q *Quotas) Report(run string, uptime time.Duration, spending map[string]Spending) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	if !q.isWarm && uptime >= q.window {
		q.isWarm = true
		for _, c := range q.counters {
			c.Warm()
		}
	}
	for o, s := range spending {
		q.counterLocked(o).Report(now, run, s.Total, s.Recent)
	}
}

// repeatBudgets holds the entry's budget of further sends by service.
type repeatBudgets struct {
	limits quota.RepeatLimits
	clock  clock.Clock

	mu       sync.Mutex
	services map[string]*quota.Repeats
}

func newRepeatBudgets(l quota.RepeatLimits, c clock.Clock) *repeatBudgets {
	return &repeatBudgets{limits: l, clock: c, services: map[string]*quota.Repeats{}}
}

func (b *repeatBudgets) serviceLocked(name string) *quota.Repeats {
	r, ok := b.services[name]
	if !ok {
		r = quota.NewRepeats(b.limits)
		b.services[name] = r
	}
	return r
}

func (b *repeatBudgets) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceLocked(service).Request(b.clock())
}

func (b *repeatBudgets) take(service string, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serviceLocked(service).Take(b.clock(), entries)
}
