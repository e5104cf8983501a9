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
	// Heard is the number of those whose spending is known up to now, this one
	// included.
	Heard int
}

// share is the part of a quota that the entries which hear from each other may
// spend.
func (s Site) share() float64 {
	if s.Entries <= s.Heard || s.Entries < 1 {
		return 1
	}
	return float64(s.Heard) / float64(s.Entries)
}

// Verdict is a decision with its inputs.
type Verdict struct {
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
	evenRate  = 1.1
	evenBurst = 3
	// coldRate is the part of the rate that entries spend in the first window
	// after a start of the whole site, when the spending before it is not known.
	// With the bounds above, the spending around the start stays within what the
	// users allow beyond the limit; the usual load of an organisation fits.
	coldRate = 0.5
)

// Counter is the spending of one organisation over all entries of a site: the
// own amounts, and those of others told as totals since their start. A lost
// message does no harm, since the next one carries the total.
type Counter struct {
	window *Window
	own    *Window
	// totals are the latest by run of an entry.
	totals map[string]float64
	// debt is what was spent beyond the even rate, as of debtAt.
	debt   float64
	debtAt time.Duration
	// coldTo is the end of the first window after a start; 0 once another entry
	// told what was spent.
	coldTo    time.Duration
	isSettled bool
}

// NewCounter returns a counter of an entry that started at the given time.
func NewCounter(span, started time.Duration) *Counter {
	return &Counter{
		window: NewWindow(span), own: NewWindow(span), totals: map[string]float64{},
		debtAt: started, coldTo: started + span,
	}
}

// Warm notes that another entry has run for longer than a window: what it tells
// is all that was spent.
func (c *Counter) Warm() { c.coldTo = 0 }

// Spend takes an own amount if it fits.
func (c *Counter) Spend(now time.Duration, l Limits, s Site, amount float64) Verdict {
	share := s.share()
	isCold := now < c.coldTo
	rate, burst := share*evenRate*l.PerSecond, share*evenBurst*l.Burst
	if isCold {
		rate = share * coldRate * l.PerSecond
	}
	c.settle(now, rate, burst, isCold)
	spent := c.window.Sum(now)
	v := Verdict{Spent: spent, Limit: share * (l.PerSecond*l.Window.Seconds() + l.Burst)}
	excess := max(spent+amount-v.Limit, 0)
	// A request above the whole burst waits until nothing is owed.
	uneven := max(c.debt+amount-max(burst, amount), 0)
	if excess == 0 && uneven == 0 {
		v.Allowed = true
		c.add(now, amount)
		c.own.Add(now, amount)
		return v
	}
	wait := seconds(max(excess, uneven) / max(rate, 1))
	v.RetryAfter = min(max(wait, minRetryAfter), l.Window)
	return v
}

// settle takes off what the even rate has paid since.
func (c *Counter) settle(now time.Duration, rate, burst float64, isCold bool) {
	if !c.isSettled && isCold {
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
	c.add(now, -amount)
	c.own.Add(now, -amount)
}

// Own returns this entry's spending in the window.
func (c *Counter) Own(now time.Duration) float64 { return c.own.Sum(now) }

// Report takes the total of another entry's run, and its spending in the window,
// which counts when the run is heard for the first time.
func (c *Counter) Report(now time.Duration, run string, total, recent float64) {
	known, ok := c.totals[run]
	if !ok {
		known = total - min(recent, total)
	}
	if rise := total - known; rise != 0 {
		c.add(now, rise)
	}
	c.totals[run] = total
}

// Forget drops the totals of runs that are not listed.
func (c *Counter) Forget(isPresent func(run string) bool) {
	for run := range c.totals {
		if !isPresent(run) {
			delete(c.totals, run)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
