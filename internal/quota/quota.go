// Package quota decides whether an organisation may spend more of its quota,
// which holds over all entries of a site together and over any window.
//
// Each entry knows its own spending exactly and that of the others as of their
// latest message. It is the load of one organisation at many times its quota,
// taken by entries that may be out of touch with each other or may just have
// been started, that this answers: entries that hear from each other share the
// whole quota, a group that is cut off may spend the part that falls to its
// members, and spending is kept even, so that what was spent before a restart of
// all entries and after it stays within the limit.
package quota

import "time"

// Limits of one organisation.
type Limits struct {
	// PerSecond and Burst are in units of the quota (tokens or requests).
	PerSecond, Burst float64
	// Window is the span over which the limit holds.
	Window time.Duration
}

// Site is what is known of the site's entries.
type Site struct {
	// Entries is the number of entries, this one included.
	Entries int
	// Reachable is the number of those whose spending is known up to now, this one
	// included.
	Reachable int
	// Lag is how old the latest message of another entry may be; 0 without others.
	Lag time.Duration
}

// share is the part of a quota that the entries which hear from each other may
// spend.
func (s Site) share() float64 {
	if s.Entries <= s.Reachable || s.Entries < 1 {
		return 1
	}
	return float64(s.Reachable) / float64(s.Entries)
}

// Verdict is a decision with its inputs.
type Decision struct {
	Allowed bool
	// Spent is the known spending in the window, Limit what may be spent.
	Spent, Limit float64
	// RetryAfter is when a request of the same cost may fit; only if refused.
	RetryAfter time.Duration
}

const (
	// minRetryAfter keeps refused callers from returning at once.
	minRetryAfter = 200 * time.Millisecond
	// evenRate and evenBurst bound spending within the window, as parts of the
	// rate and the burst: above them, so that the limit of the window decides
	// under steady load.
	evenRate  = 1.3
	evenBurst = 1.5
	// coldRate is the part of the rate that entries spend in the first window
	// after a start of the whole site, when the spending before it is not known.
	// With the bounds above, the spending around the start stays within what the
	// users allow beyond the limit; the usual load of an organisation fits.
	coldRate = 0.5
	// unheardPart of a limit is what all entries together may spend beyond it
	// before they hear of each other: half of what the users allow beyond it.
	unheardPart = 0.05
	// burstEntries is the number of entries at which callers who come together
	// are provided for: each keeps its connection to one entry, so a burst at many
	// entries is that of many callers, whom the ration answers.
	burstEntries = 4
)

// Counter is the spending of one organisation over all entries of a site: the
// own amounts, and those of others reported as totals since their start. A lost
// message does no harm, since the next one carries the total.
type Counter struct {
	window *Window
	// own is the part of window that this entry spent, ownSpent what it spent since
	// it started.
	own      *Window
	ownSpent float64
	// asked is what all entries were asked to spend of late, refused or not, and
	// ownAsked what this one was asked since it started.
	asked    *Window
	ownAsked float64
	// credit is what this entry may still take of a rationed quota.
	credit float64
	// reporters are those that report the spending of others, by name.
	reporters map[string]*reporter
	// debt is what was spent beyond the even rate, as of debtAt.
	debt   float64
	debtAt time.Duration
	// started is when this entry started.
	started time.Duration
	// isInformed is set once another entry reported what was spent before this one
	// started.
	isInformed bool
	// unknown is the part of the debt that stands for spending before the start.
	unknown   float64
	isSettled bool
}

// Origin says whose spending a report holds and who reports it.
type Origin struct {
	// Name is that of an entry, or of a part of the site that others sum up.
	Name  string
	Scope Scope
	// Run is the process that reports. Several may report one part of the site:
	// the one that knows most counts.
	Run string
	// IsCovered: until now the same spending was reported by another way.
	IsAlreadyCounted bool
	// WasZero: the run has reported before and had nothing of this organisation.
	IsKnownRun bool
}

// Scope is the part of a site whose spending a report holds.
type Scope int

// Scopes.
const (
	// OneEntry is the reporting entry alone.
	ScopeEntry Scope = iota
	// Zone is all entries of another zone.
	ScopeZone
	// Rest is all entries of the site but the one that is told.
	ScopeRestOfSite
)

// reporter is what an origin has reported since it was first heard.
type reporter struct {
	scope        Scope
	spent, asked float64
	// runs hold what to add to the totals of each run to compare them.
	runs map[string]*baseline
}

type baseline struct {
	spent, asked float64
	at           time.Duration
}

// runMemory is how long the baseline of a run is kept after its last report: one
// that was silent for that long counts as a new one.
const runMemory = 10 * time.Minute

// NewCounter returns a counter of an entry that started at the given time.
func NewCounter(span, started time.Duration) *Counter {
	return &Counter{
		window: NewWindow(span), own: NewWindow(span), asked: NewWindow(askedSpan), reporters: map[string]*reporter{},
		debtAt: started, started: started,
	}
}

// Spend takes an own amount if it fits.
func (c *Counter) Spend(now time.Duration, l Limits, s Site, amount float64) Decision {
	share := s.share()
	isCold := c.isNew(now) && !c.isInformed
	rate, burst := share*evenRate*l.PerSecond, share*evenBurst*l.Burst
	if isCold {
		rate = share * coldRate * l.PerSecond
	}
	c.settle(now, rate, evenBurst*l.Burst, isCold)
	c.ask(now, amount)
	v := Decision{Spent: c.window.Sum(now), Limit: share * (l.PerSecond*l.Window.Seconds() + l.Burst)}
	excess := max(v.Spent+amount-v.Limit, 0)
	// A request above the whole burst waits until nothing is owed.
	uneven := max(c.debt+amount-max(burst, amount), 0)
	if excess > 0 || uneven > 0 {
		wait := seconds(max(excess, uneven) / max(rate, 1))
		v.RetryAfter = min(max(wait, minRetryAfter), l.Window)
		return v
	}
	if c.exceedsUnheard(now, v, s, amount) {
		v.RetryAfter = max(s.Lag, minRetryAfter)
		return v
	}
	if part := c.ration(now, v, s.Lag); !c.take(part, amount) {
		v.RetryAfter = min(max(seconds(s.Lag.Seconds()/part), minRetryAfter), l.Window)
		return v
	}
	v.Allowed = true
	c.spendOwn(now, amount)
	return v
}

// exceedsUnheard reports whether an amount exceeds the part of the rest that this
// entry may take before the others hear of it. It answers callers who come
// together at several entries, whose demand before says nothing of them. An
// amount larger than the part passes if it is the only one.
func (c *Counter) exceedsUnheard(now time.Duration, v Decision, s Site, amount float64) bool {
	if s.Reachable <= 1 {
		return false
	}
	unheard := c.own.SumLast(now, s.Lag)
	part := (v.Limit - v.Spent + unheard + unheardPart*v.Limit) / float64(min(s.Reachable, burstEntries))
	return unheard > 0 && unheard+amount > part
}

// isNew reports whether this entry has run for less than a window.
func (c *Counter) isNew(now time.Duration) bool { return now < c.started+c.window.span }

// askedSpan is the span over which the demand of all entries is taken: several
// messages of each.
const askedSpan = 2 * time.Second

func (c *Counter) ask(now time.Duration, amount float64) {
	c.asked.Add(now, amount)
	c.ownAsked += amount
}

// rationSpan is the number of lags over which what is free is spent. What was
// spent in the last lag is not known yet: a span of one lag would spend the rest
// anew until it is.
const rationSpan = 2

// ration returns the part of the requests that may be allowed so that all
// entries together take no more than what is free before they hear of each
// other. It answers many callers that wait at all entries when a quota is free
// again.
func (c *Counter) ration(now time.Duration, v Decision, lag time.Duration) float64 {
	demand := c.asked.Sum(now) * rationSpan * lag.Seconds() / askedSpan.Seconds()
	free := v.Limit - v.Spent + unheardPart*v.Limit
	if demand <= free {
		return 1
	}
	return free / demand
}

// take reports whether an amount is among the part that is allowed; what is left
// of the part counts towards the next request.
func (c *Counter) take(part, amount float64) bool {
	if part >= 1 {
		c.credit = 0
		return true
	}
	c.credit += part * amount
	if c.credit < amount {
		return false
	}
	c.credit -= amount
	return true
}

// settle takes off what the even rate has paid since.
func (c *Counter) settle(now time.Duration, rate, burst float64, isCold bool) {
	if !c.isSettled && isCold {
		// The whole burst, whatever part of it is this entry's now: the part grows
		// as other entries are heard.
		c.unknown = burst
		c.debt += burst
	}
	c.isSettled = true
	c.debt = max(0, c.debt-rate*(now-c.debtAt).Seconds())
	c.debtAt = now
}

func (c *Counter) add(now time.Duration, amount float64) {
	c.window.Add(now, amount)
	c.debt = max(0, c.debt+amount)
}

// Refund gives back an own amount that was not used.
func (c *Counter) Refund(now time.Duration, amount float64) {
	c.spendOwn(now, -amount)
}

func (c *Counter) spendOwn(now time.Duration, amount float64) {
	c.add(now, amount)
	c.own.Add(now, amount)
	c.ownSpent += amount
}

// SpendingReport is what one process reports to another of an organisation's
// spending: its own, or the sum of that of several entries.
type SpendingReport struct {
	// Total since the process's start, and Asked with what was refused.
	Total     float64 `msgpack:"t"`
	Requested float64 `msgpack:"a"`
	// Recent is the spending in the window; of sums it may hold more than Total
	// does.
	InWindow float64 `msgpack:"w,omitempty"`
	// Known is the spending of all entries in the window, as known there, in
	// equal parts of the window from the oldest; nil in most messages.
	SiteSpending []float64 `msgpack:"k,omitempty"`
	// Uptime is the time since the process's start.
	Uptime time.Duration `msgpack:"u"`
}

// Report returns the entry's own spending. WithKnown adds what a starting entry
// needs.
func (c *Counter) Report(now time.Duration, withKnown bool) SpendingReport {
	t := SpendingReport{Total: c.ownSpent, Requested: c.ownAsked, InWindow: c.own.Sum(now), Uptime: now - c.started}
	if withKnown && !c.isNew(now) {
		t.SiteSpending = c.window.Parts(now)
	}
	return t
}

// Sum returns the spending of this entry and of those that report to it: of its
// zone, or of the whole site but one entry.
func (c *Counter) Aggregate(now time.Duration, scope Scope, except string, withKnown bool) SpendingReport {
	t := c.Report(now, withKnown)
	for name, r := range c.reporters {
		if name != except && (r.scope == ScopeEntry || scope == ScopeRestOfSite && r.scope == ScopeZone) {
			t.Total += r.spent
			t.Requested += r.asked
		}
	}
	t.InWindow = c.window.Sum(now)
	return t
}

// Merge takes a report. An entry that has just started learns from one that has
// run for a whole window what all entries spent; later it counts what a run spent
// before it was first heard, unless that was reported by another way.
func (c *Counter) Merge(now time.Duration, from Origin, t SpendingReport) {
	r, isKnown := c.reporters[from.Name]
	if !isKnown {
		r = &reporter{runs: map[string]*baseline{}}
		c.reporters[from.Name] = r
	}
	r.scope = from.Scope
	base, ok := r.runs[from.Run]
	if !ok {
		r.forget(now)
		base = &baseline{}
		if isKnown || !from.IsKnownRun {
			base.spent, base.asked = r.spent-t.Total, r.asked-t.Requested
			c.mergeFirst(now, base, from, t)
		}
		r.runs[from.Run] = base
	}
	base.at = now
	// Of several runs the one that knows most counts: none is counted twice, and
	// the others go on where one falls silent.
	if rise := t.Total + base.spent - r.spent; rise > 0 {
		c.add(now, rise)
		r.spent += rise
	}
	if rise := t.Requested + base.asked - r.asked; rise > 0 {
		c.asked.Add(now, rise)
		r.asked += rise
	}
	if c.isNew(now) && !c.isInformed && t.SiteSpending != nil {
		c.isInformed = true
		c.debt = max(0, c.debt-c.unknown)
		c.window.RaiseTo(now, t.SiteSpending)
	}
}

// mergeFirst takes what a run spent before its first report.
func (c *Counter) mergeFirst(now time.Duration, base *baseline, from Origin, t SpendingReport) {
	isStarting := t.Uptime < c.window.span
	isCovered := from.IsAlreadyCounted && (from.Scope != ScopeEntry || !isStarting)
	switch {
	case isCovered, c.isNew(now) && !isStarting:
	case isStarting:
		base.spent += t.InWindow // rises with the report, and is passed on
	default:
		c.add(now, t.InWindow)
	}
}

// forget drops the baselines of runs that ended long ago.
func (r *reporter) forget(now time.Duration) {
	for run, b := range r.runs {
		if now-b.at > runMemory {
			delete(r.runs, run)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
