package quota

import "time"

// RepeatLimits bound the further sends of requests that were sent before.
type RetryLimits struct {
	// Ratio of repeats to requests, over all entries.
	Ratio float64
	// Slack is the number of repeats that all entries together may send on top.
	Slack float64
	Span  time.Duration
}

const (
	// ratioShare is the part of the ratio that is used, so that requests counted
	// in one window and repeated in the next stay within the bound.
	ratioShare = 0.8
	// slackShare is the part of the slack that the entries divide.
	slackShare = 0.5
)

// Repeats is one entry's budget for the further sends of one service. Each entry
// spends only what its own requests and its part of the slack allow, so the
// site's bound holds without messages, also between entries out of touch. It
// answers a failing service, whose load must not multiply.
type RetryBudget struct {
	limits   RetryLimits
	requests *Window
	repeats  *Window
}

// NewRepeats returns an unspent budget.
func NewRetryBudget(l RetryLimits) *RetryBudget {
	return &RetryBudget{limits: l, requests: NewWindow(l.Span), repeats: NewWindow(l.Span)}
}

// Request notes a caller's request.
func (r *RetryBudget) RecordRequest(now time.Duration) { r.requests.Add(now, 1) }

// Take reports whether a repeat may be sent, and counts it. Entries is the
// number of the site's entries.
func (r *RetryBudget) TryRetry(now time.Duration, entries int) bool {
	budget := ratioShare*r.limits.Ratio*r.requests.Sum(now) + slackShare*r.limits.Slack/float64(max(entries, 1))
	if r.repeats.Sum(now)+1 > budget {
		return false
	}
	r.repeats.Add(now, 1)
	return true
}
