package quota

import "time"

// RetryLimits bound the retries to a service in any window of length Span, over
// all entries of the site.
type RetryLimits struct {
	// Ratio is the maximum ratio of retries to requests.
	Ratio float64
	// Slack is the number of retries allowed in addition.
	Slack float64
	Span  time.Duration
}

const (
	// ratioShare is the fraction of the ratio that is used, so that requests
	// counted in one window and retried in the next stay within the limit.
	ratioShare = 0.8
	// slackShare is the fraction of the slack that is divided among the entries.
	slackShare = 0.5
)

// RetryBudget is one entry's budget of retries to one service. It keeps retries
// from multiplying the load of a failing service. Each entry uses only what its
// own requests and its part of the slack allow, so the limits of the site hold
// without messages between entries, also during a network partition.
type RetryBudget struct {
	limits   RetryLimits
	requests *Window
	retries  *Window
}

// NewRetryBudget returns an unused budget.
func NewRetryBudget(l RetryLimits) *RetryBudget {
	return &RetryBudget{limits: l, requests: NewWindow(l.Span), retries: NewWindow(l.Span)}
}

// RecordRequest counts a request of a caller.
func (r *RetryBudget) RecordRequest(now time.Duration) { r.requests.Add(now, 1) }

// TryRetry reports whether a retry may be sent, and counts it if so; entries is
// the number of the site's entries.
func (r *RetryBudget) TryRetry(now time.Duration, entries int) bool {
	budget := ratioShare*r.limits.Ratio*r.requests.Sum(now) + slackShare*r.limits.Slack/float64(max(entries, 1))
	if r.retries.Sum(now)+1 > budget {
		return false
	}
	r.retries.Add(now, 1)
	return true
}
