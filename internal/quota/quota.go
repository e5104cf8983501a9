// Package quota enforces the quota of an organisation, a rate limit that holds
// over all entries of a site together and over any sliding window.
//
// Each entry counts its own spending exactly and knows that of the others as of
// their latest report. The limit holds even while one organisation sends many
// times its quota to entries that may be partitioned from each other or may just
// have started. Entries that exchange reports share the whole quota. During a
// network partition each group of entries may spend the share of its members. A
// leaky bucket spreads the spending over time, so that the sum of the spending
// before and after a restart of all entries stays within the limit.
package quota

import "time"

// Limits are the quota of one organisation.
type Limits struct {
	// PerSecond and Burst are in units of the quota (tokens or requests).
	PerSecond, Burst float64
	// Window is the length of the sliding window over which the limit holds.
	Window time.Duration
	// Slack is the amount that all entries together may spend in a window beyond the
	// limit and its overshoot, because they know late what others spend.
	Slack float64
}

// perWindow returns the limit of a window.
func (l Limits) perWindow() float64 {
	return l.PerSecond*l.Window.Seconds() + l.Burst + windowSlack*l.usableSlack()
}

// usableSlack returns the part of the slack that is not reserved.
func (l Limits) usableSlack() float64 {
	return max(0, l.Slack-reservedSlack*(l.PerSecond*l.Window.Seconds()+l.Burst))
}

// bucketBurst returns the size of the leaky bucket.
func (l Limits) bucketBurst() float64 { return bucketBurstFactor*l.Burst + bucketSlack*l.usableSlack() }

// Site describes the entries of the site as one of them sees them.
type Site struct {
	// Entries is the number of entries, this one included.
	Entries int
	// Reachable is the number of entries whose reports are recent, this one
	// included.
	Reachable int
	// Lag is the maximum age of the latest report of a reachable entry; 0 if no
	// other entry is reachable.
	Lag time.Duration
}

// share returns the fraction of a quota that the reachable entries may spend
// together.
func (s Site) share() float64 {
	if s.Entries <= s.Reachable || s.Entries < 1 {
		return 1
	}
	return float64(s.Reachable) / float64(s.Entries)
}

// Decision is the result of a quota check and the figures behind it.
type Decision struct {
	Allowed bool
	// Spent is the known spending of all entries in the window, in part that of others if
	// none of them is reachable, Limit the amount that the reachable entries may spend in
	// it.
	Spent, Limit float64
	// RetryAfter is the estimated time until a request of the same cost fits; set
	// only if the request is refused.
	RetryAfter time.Duration
}

const (
	// minRetryAfter keeps refused callers from retrying immediately.
	minRetryAfter = 200 * time.Millisecond
	// bucketRateFactor and bucketBurstFactor scale the rate and the burst of the
	// quota to those of the leaky bucket. Both are above 1 so that under steady
	// load the limit of the window decides.
	bucketRateFactor  = 1.3
	bucketBurstFactor = 1.5
	// coldStartRateFactor scales the rate of the quota in the first window after
	// all entries of the site started, when the earlier spending is unknown. With
	// the factors above, the spending around the start stays within the overshoot
	// that the users allow, and the usual load of an organisation fits.
	coldStartRateFactor = 0.5
	// unreportedOvershoot is the fraction of a limit that all entries together may
	// spend beyond it before their reports arrive: half of the overshoot that the
	// users allow.
	unreportedOvershoot = 0.05
	// unreportedSlack is the fraction of the slack used for the same purpose, windowSlack
	// that added to the limit of the window, and bucketSlack that added to the burst of
	// the leaky bucket.
	unreportedSlack = 0.3
	windowSlack     = 0.3
	bucketSlack     = 0.15
	// reservedSlack is the fraction of the limit of the window for which the slack is
	// kept: for the worst of bursts that meet a partition or a restart.
	reservedSlack = 0.05
	// ownPart is the fraction of the free quota that an entry with all of the spending
	// may use before its reports arrive. Bursts at others may take the rest.
	ownPart = 0.4
	// burstEntries is the number of entries over which a burst at one instant is
	// expected to spread. A caller keeps its connection to one entry, so a burst at
	// more entries comes from many callers, and admissionRatio limits those.
	burstEntries = 8
)

// Counter counts the spending of one organisation over all entries of a site:
// this entry's own, and that of others as they report it. Reports carry totals
// since the start of a process, so the next report makes up for a lost one. It is
// not safe for concurrent use.
type Counter struct {
	// window is the spending of all entries.
	window *Window
	// own is this entry's spending in the window, ownSpent its spending since it
	// started.
	own      *Window
	ownSpent float64
	// requested is the amount that callers requested of all entries in demandSpan,
	// refused requests included, and ownRequested what they requested of this entry
	// since it started.
	requested    *Window
	ownRequested float64
	// admissionCredit is the amount that admitAtRatio has accrued and not yet used.
	admissionCredit float64
	// returnsUntil is the time up to which PlanReturn has given out this entry's part of the
	// room.
	returnsUntil time.Duration
	// reporters hold the reported spending of other entries, by Origin.Name.
	reporters map[string]*reporter
	// bucketLevel is the level of the leaky bucket as of bucketUpdatedAt: spending
	// fills it, and it drains at the rate of the quota times a factor.
	bucketLevel     float64
	bucketUpdatedAt time.Duration
	// started is when this entry started.
	started time.Duration
	// hasSiteSpending is set once the spending before this entry started is known
	// from a report.
	hasSiteSpending bool
	// provisional is what starting entries had spent before their first reports, recorded at
	// provisionalAt at the latest, until a report has SiteSpending, which includes it.
	provisional   float64
	provisionalAt time.Duration
	// assumedSpending is the part of the initial bucketLevel that stands for the
	// unknown spending before the start.
	assumedSpending float64
	// coldLevel is the level of the bucket that limits a cold start, as of bucketUpdatedAt;
	// it drains at a lower rate.
	coldLevel float64
	// isBucketStarted is set by the first call of drainBuckets.
	isBucketStarted bool
	// earlier holds what is known from a copy of the spending before the start; nil if
	// nothing is.
	earlier *earlierSpending
}

// Origin describes whose spending a report holds and which process sent it.
type Origin struct {
	// Name identifies an entry, or a part of the site whose spending hubs aggregate.
	Name  string
	Scope Scope
	// Run identifies the process that reports, from its start to its stop. Several
	// processes may report the same part of the site; the highest total counts.
	Run string
	// IsAlreadyCounted is set if reports of another origin have included the same
	// spending until now.
	IsAlreadyCounted bool
	// IsKnownRun is set if the process has reported before. If it did not list the
	// organisation then, it had spent nothing of its quota.
	IsKnownRun bool
	// CoveredUntil is the time until which reports of other origins included the spending
	// of this one, whose reports were not merged; 0 if there was no such time.
	CoveredUntil time.Duration
}

// Scope is the part of a site that a report covers.
type Scope int

// Scopes.
const (
	// ScopeEntry is the reporting entry alone.
	ScopeEntry Scope = iota
	// ScopeZone is all entries of another zone.
	ScopeZone
	// ScopeRestOfSite is all entries of the site except the receiver.
	ScopeRestOfSite
)

// reporter holds the amounts that an origin has reported since its first report.
type reporter struct {
	scope            Scope
	spent, requested float64
	// provisional is the part of spent that is in Counter.provisional.
	provisional float64
	// runOffsets are by Origin.Run.
	runOffsets map[string]*runOffset
}

// runOffset is added to the totals of a run, which count from the start of its
// process, to make the totals of all runs of an origin comparable.
type runOffset struct {
	spent, requested float64
	reportedAt       time.Duration
}

// runOffsetTTL is how long the offset of a run is kept after its last report. A
// run that reports again later is treated as a new one.
const runOffsetTTL = 10 * time.Minute

// NewCounter returns a counter with a window of the given span for an entry that
// started at the given time.
func NewCounter(span, started time.Duration) *Counter {
	return &Counter{
		window: NewWindow(span), own: NewWindow(span), requested: NewWindow(demandSpan), reporters: map[string]*reporter{},
		bucketUpdatedAt: started, started: started,
	}
}

// Spend records an amount as spent by this entry if the quota allows it.
func (c *Counter) Spend(now time.Duration, l Limits, s Site, amount float64) Decision {
	share := s.share()
	rate, burst := share*bucketRateFactor*l.PerSecond, share*l.bucketBurst()
	coldRate := share * coldStartRateFactor * l.PerSecond
	lacksReports := c.isNew(now) && !c.hasSiteSpending
	c.drainBuckets(now, rate, coldRate, l.bucketBurst(), lacksReports)
	c.recordRequested(now, amount)
	decision := Decision{Spent: c.countedSpending(now, s, share), Limit: share * l.perWindow()}
	margin := share * (unreportedOvershoot*l.perWindow() + unreportedSlack*l.usableSlack())
	wait := waitFor(&decision, amount, burst, c.bucketLevel, rate)
	if lacksReports {
		// Each of two bounds of the spending around the start is enough: that of a cold
		// start, and that of the spending recalled from a copy.
		wait = waitFor(&decision, amount, burst, c.coldLevel, coldRate)
		if c.earlier != nil {
			recalled := Decision{Spent: decision.Spent + share*c.earlier.sum(now, l), Limit: decision.Limit}
			if w := waitFor(&recalled, amount, burst, c.bucketLevel, rate); w < wait {
				decision, wait = recalled, w
			}
		}
	}
	if wait > 0 {
		decision.RetryAfter = min(max(wait, minRetryAfter), l.Window)
		return decision
	}
	if c.exceedsUnreportedShare(now, decision, margin, s, amount) {
		decision.RetryAfter = max(s.Lag, minRetryAfter)
		return decision
	}
	if ratio := c.admissionRatio(now, decision, margin, s.Lag); !c.admitAtRatio(ratio, amount) {
		decision.RetryAfter = min(max(seconds(s.Lag.Seconds()/ratio), minRetryAfter), l.Window)
		return decision
	}
	decision.Allowed = true
	c.recordOwnSpent(now, amount)
	return decision
}

// countedSpending returns the spending that counts against the limit of the reachable
// entries. An entry that reaches no other may spend its share of what the others are known
// to have left: the sum over all of them stays within the quota.
func (c *Counter) countedSpending(now time.Duration, s Site, share float64) float64 {
	spent := c.window.Sum(now)
	if s.Reachable > 1 {
		return spent
	}
	own := min(c.own.Sum(now), spent)
	return own + share*(spent-own)
}

// waitFor returns the time until an amount fits the limit of the window and the leaky
// bucket, which drains at the given rate; 0 if it does.
func waitFor(d *Decision, amount, burst, level, rate float64) time.Duration {
	windowExcess := max(d.Spent+amount-d.Limit, 0)
	// A request larger than the burst is admitted once the bucket is empty.
	bucketExcess := max(level+amount-max(burst, amount), 0)
	return seconds(max(windowExcess, bucketExcess) / max(rate, 1))
}

// exceedsUnreportedShare reports whether an amount exceeds this entry's share of
// the free quota, counting what it spent in the last lag, which other entries may
// not know yet. It bounds the overshoot when bursts reach several entries at one
// instant, which the earlier demand does not predict. An amount above the share
// passes if nothing else is unreported.
func (c *Counter) exceedsUnreportedShare(now time.Duration, decision Decision, margin float64, s Site, amount float64) bool {
	if s.Reachable <= 1 {
		return false
	}
	unreported := c.own.SumLast(now, s.Lag)
	part := max(1/float64(min(s.Reachable, burstEntries)), ownPart*c.ownShare(now, s.Lag))
	share := (decision.Limit - decision.Spent + unreported + margin) * part
	return unreported > 0 && unreported+amount > share
}

// isNew reports whether this entry has run for less than a window.
func (c *Counter) isNew(now time.Duration) bool { return now < c.started+c.window.span }

// demandSpan is the time over which the demand of all entries is summed. It
// covers several reports of each.
const demandSpan = 2 * time.Second

// recordRequested adds to this entry's demand.
func (c *Counter) recordRequested(now time.Duration, amount float64) {
	c.requested.Add(now, amount)
	c.ownRequested += amount
}

// ownShare returns the fraction of the spending in the window that was at this entry. It
// leaves out the last lag, of which this entry knows its own spending only.
func (c *Counter) ownShare(now, lag time.Duration) float64 {
	unreported := c.own.SumLast(now, lag)
	all := c.window.Sum(now) - unreported
	if all <= 0 {
		return 0
	}
	return min(max((c.own.Sum(now)-unreported)/all, 0), 1)
}

// admissionLags is the number of lags over which the free quota is spread. The
// spending of the last lag has not been reported yet, so with one lag the same
// free quota would be spent again until the reports arrive.
const admissionLags = 2

// leavingShare is the fraction of the spending that leaves the window in these lags which
// counts as free already.
const leavingShare = 0.5

// admissionRatio returns the fraction of the requested amounts to admit so that
// all entries together spend no more than the free quota before their reports
// arrive. It limits the overshoot when many callers wait at all entries and the
// quota becomes free again.
func (c *Counter) admissionRatio(now time.Duration, decision Decision, margin float64, lag time.Duration) float64 {
	demand := c.requested.Sum(now) * admissionLags * lag.Seconds() / demandSpan.Seconds()
	free := decision.Limit - decision.Spent + margin + leavingShare*c.window.leavingWithin(now, admissionLags*lag)
	if demand <= free {
		return 1
	}
	return free / demand
}

// admitAtRatio reports whether an amount is admitted if the given fraction of the
// requested amounts may pass. Each request accrues credit; unused credit counts
// towards the next one.
func (c *Counter) admitAtRatio(ratio, amount float64) bool {
	if ratio >= 1 {
		c.admissionCredit = 0
		return true
	}
	c.admissionCredit += ratio * amount
	if c.admissionCredit < amount {
		return false
	}
	c.admissionCredit -= amount
	return true
}

// drainBuckets drains both buckets at their rates since the last call. If no entry has
// reported the spending before the start, the first call adds burst to their levels for it.
func (c *Counter) drainBuckets(now time.Duration, rate, coldRate, burst float64, lacksReports bool) {
	if !c.isBucketStarted && lacksReports {
		// Use the whole burst, not the present share of it: the share grows as
		// reports of other entries arrive.
		c.coldLevel += burst
		if c.earlier == nil {
			c.assumedSpending = burst
			c.bucketLevel += burst
		}
	}
	c.isBucketStarted = true
	elapsed := (now - c.bucketUpdatedAt).Seconds()
	c.bucketLevel = max(0, c.bucketLevel-rate*elapsed)
	c.coldLevel = max(0, c.coldLevel-coldRate*elapsed)
	c.bucketUpdatedAt = now
}

// recordSpent adds spending of any entry to the window and the bucket.
func (c *Counter) recordSpent(now time.Duration, amount float64) {
	c.window.Add(now, amount)
	c.bucketLevel = max(0, c.bucketLevel+amount)
	c.coldLevel = max(0, c.coldLevel+amount)
}

// Refund returns an amount that Spend recorded and the request did not use.
func (c *Counter) Refund(now time.Duration, amount float64) {
	c.recordOwnSpent(now, -amount)
}

// recordOwnSpent adds spending of this entry.
func (c *Counter) recordOwnSpent(now time.Duration, amount float64) {
	c.recordSpent(now, amount)
	c.own.Add(now, amount)
	c.ownSpent += amount
}

// SpendingReport is the spending of one organisation that one process reports to
// another: that of the reporting entry, or an aggregate over several entries.
type SpendingReport struct {
	// Total is the spending since the start of the process, Requested the amount
	// that callers requested since then, refused requests included.
	Total     float64 `msgpack:"t"`
	Requested float64 `msgpack:"a"`
	// InWindow is the spending in the window; in an aggregate that of all entries.
	InWindow float64 `msgpack:"w,omitempty"`
	// SiteSpending is the spending of all entries in the window as known to the
	// reporter, in equal parts of the window, oldest first. Starting entries need
	// it; most reports omit it.
	SiteSpending []float64 `msgpack:"k,omitempty"`
	// Uptime is the time since the start of the process.
	Uptime time.Duration `msgpack:"u"`
}

// Report returns this entry's own spending. If withSiteSpending is set and this
// entry knows the spending of a whole window, the report includes SiteSpending.
func (c *Counter) Report(now time.Duration, withSiteSpending bool) SpendingReport {
	report := SpendingReport{Total: c.ownSpent, Requested: c.ownRequested, InWindow: c.own.Sum(now), Uptime: now - c.started}
	if withSiteSpending && (!c.isNew(now) || c.hasSiteSpending) {
		report.SiteSpending = c.window.Parts(now)
	}
	return report
}

// Aggregate returns the spending of this entry and of the origins that report to
// it, except the one named excluded. With ScopeZone it covers the entries of this
// entry's zone, with ScopeRestOfSite also those of other zones.
func (c *Counter) Aggregate(now time.Duration, scope Scope, excluded string, withSiteSpending bool) SpendingReport {
	report := c.Report(now, withSiteSpending)
	for name, r := range c.reporters {
		if name != excluded && (r.scope == ScopeEntry || scope == ScopeRestOfSite && r.scope == ScopeZone) {
			report.Total += r.spent
			if !c.countsProvisional(now) {
				report.Total -= r.provisional
			}
			report.Requested += r.requested
		}
	}
	report.InWindow = c.window.Sum(now)
	return report
}

// Merge adds the spending of a report to the counter. An entry that has run for
// less than a window takes over SiteSpending from the first report that has it.
// The spending of a run before its first report is counted too, unless it is
// already counted or arrives as SiteSpending; so is what an origin has spent while
// others covered it.
func (c *Counter) Merge(now time.Duration, from Origin, report SpendingReport) {
	r, isKnownReporter := c.reporters[from.Name]
	if !isKnownReporter {
		r = &reporter{runOffsets: map[string]*runOffset{}}
		c.reporters[from.Name] = r
	}
	r.scope = from.Scope
	offset, hasOffset := r.runOffsets[from.Run]
	if !hasOffset {
		r.expireRunOffsets(now)
		offset = &runOffset{}
		if isKnownReporter || !from.IsKnownRun {
			offset.spent, offset.requested = r.spent-report.Total, r.requested-report.Requested
			c.mergeEarlierSpending(now, r, offset, from, report)
		}
		r.runOffsets[from.Run] = offset
	}
	if hasOffset && offset.reportedAt < from.CoveredUntil {
		offset.spent, offset.requested = r.spent-report.Total, r.requested-report.Requested
	}
	offset.reportedAt = now
	// The highest total of several runs counts, so no spending is counted twice and
	// the other runs carry on if one stops reporting.
	if increase := report.Total + offset.spent - r.spent; increase > 0 {
		c.recordSpent(now, increase)
		r.spent += increase
	}
	if increase := report.Requested + offset.requested - r.requested; increase > 0 {
		c.requested.Add(now, increase)
		r.requested += increase
	}
	if c.isNew(now) && !c.hasSiteSpending && report.SiteSpending != nil {
		c.hasSiteSpending = true
		c.bucketLevel = max(0, c.bucketLevel-c.assumedSpending-c.provisional)
		c.window.Add(c.provisionalAt, -c.provisional)
		c.window.RaiseTo(now, report.SiteSpending)
	}
}

// mergeEarlierSpending counts what a run spent in the window before its first
// report, unless that is already counted or arrives as SiteSpending.
func (c *Counter) mergeEarlierSpending(now time.Duration, r *reporter, offset *runOffset, from Origin, report SpendingReport) {
	isStarting := report.Uptime < c.window.span
	isAlreadyCounted := from.IsAlreadyCounted && (from.Scope != ScopeEntry || !isStarting)
	switch {
	case isAlreadyCounted, c.isNew(now) && !isStarting:
	case isStarting:
		// Merge records it, so aggregates include it. What an aggregate knows of the time
		// before its process is not in its total.
		amount := min(report.InWindow, report.Total)
		offset.spent += amount
		if c.isNew(now) && !c.hasSiteSpending {
			r.provisional += amount
			c.provisional += amount
			c.provisionalAt = now
		}
	case from.Scope == ScopeEntry:
		c.recordSpent(now, report.InWindow)
	default:
		c.recordSpent(now, max(0, report.InWindow-c.window.Sum(now)))
	}
}

// provisionalGrace is the time after the start within which a report with SiteSpending
// arrives if any entry knows it.
const provisionalGrace = 1500 * time.Millisecond

// countsProvisional reports whether aggregates include the provisional amounts. If some
// entries have run on, the receivers have counted these amounts.
func (c *Counter) countsProvisional(now time.Duration) bool {
	return !c.hasSiteSpending && now >= c.started+provisionalGrace
}

// expireRunOffsets drops the offsets of runs that have not reported for
// runOffsetTTL.
func (r *reporter) expireRunOffsets(now time.Duration) {
	for run, offset := range r.runOffsets {
		if now-offset.reportedAt > runOffsetTTL {
			delete(r.runOffsets, run)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
