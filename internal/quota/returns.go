package quota

import "time"

// PlanReturn returns when a caller whose request of the given amount was refused is to come
// back; d is the decision on it. It answers the load of many callers that are refused at all
// entries within a short time: told the same, they would return together and be refused
// again. This entry gives out the times at which its part of the quota's rate has room, one
// after the other, and supposes that the others do the same. patience is the longest time
// after which the caller comes back, whatever it is told; it takes no room beyond it.
func (c *Counter) PlanReturn(now time.Duration, l Limits, s Site, d Decision, amount float64, patience time.Duration) time.Duration {
	room := now + max(d.RetryAfter, c.window.freedAfter(now, d.Spent+amount-d.Limit))
	at := max(room, c.returnsUntil)
	if at-now > patience {
		return patience
	}
	part := max(c.ownShare(now, s.Lag), 1/float64(max(s.Reachable, 1)))
	c.returnsUntil = at + seconds(amount/max(part*s.share()*l.PerSecond, 1))
	return at - now
}

// freedAfter returns the time until at least the given amount of the present sum has left
// the window; the span if the sum is less.
func (w *Window) freedAfter(now time.Duration, amount float64) time.Duration {
	if amount <= 0 {
		return 0
	}
	for _, s := range w.slots {
		if amount -= s.amount; amount <= 0 {
			return max(s.start+w.slotSpan+w.span-now, 0)
		}
	}
	return w.span
}
