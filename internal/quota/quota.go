// Package quota decides whether an organisation may spend more of its quota,
// which holds over all entries of a site together and over any window.
//
// Each entry knows its own spending exactly and that of the others as of their
// latest message. It is the load of one organisation at many times its quota,
// taken by entries that may be out of touch with each other, that this answers:
// entries that hear from each other share the whole quota, and a group that is
// cut off may spend the part that falls to its members.
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

// startBurst is the share of the burst that may be spent at once after a start,
// while the spending before it is unknown.
const startBurst = 0.5

// Allowance returns how much of the quota the entries that hear from each other
// may spend in a window that ends now. SinceStart is the time since this entry
// started: what was spent before is not known, so the limit grows with it.
func Allowance(l Limits, s Site, sinceStart time.Duration) float64 {
	whole := l.PerSecond*l.Window.Seconds() + l.Burst
	if sinceStart < l.Window {
		whole = min(whole, l.PerSecond*sinceStart.Seconds()+startBurst*l.Burst)
	}
	if s.Entries <= s.Heard || s.Entries < 1 {
		return whole
	}
	return whole * float64(s.Heard) / float64(s.Entries)
}

// Verdict is a decision with its inputs.
type Verdict struct {
	Allowed bool
	// Spent is the known spending in the window, Limit what may be spent.
	Spent, Limit float64
	// RetryAfter is when a request of the same cost may fit; only if refused.
	RetryAfter time.Duration
}

// minRetryAfter keeps refused callers from returning at once.
const minRetryAfter = 200 * time.Millisecond

// Decide tells whether cost may be spent on top of spent.
func Decide(l Limits, allowance, spent, cost float64) Verdict {
	v := Verdict{Allowed: spent+cost <= allowance, Spent: spent, Limit: allowance}
	if !v.Allowed {
		v.RetryAfter = max(minRetryAfter, min(l.Window, seconds((spent+cost-allowance)/max(l.PerSecond, 1))))
	}
	return v
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
