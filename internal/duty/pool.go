package duty

import "time"

const (
	// scaleDownInterval is the minimum time between removals of servers in a zone.
	// Each removal moves prompts to servers that have to process them again.
	scaleDownInterval = 3 * time.Second
	// maxRemovedShare is the share of a zone's servers of one kind that is removed at
	// a time, but at least one server: the share of prompts that move at once is then
	// bounded, and the time until a surplus is gone grows with its logarithm only.
	maxRemovedShare = 0.25
	// refusalBackoff is the time until the next order after an order of reclaimable
	// servers in a zone was refused: a shortage lasts for seconds.
	refusalBackoff = 4 * time.Second
	// overdueBootTimes is the number of boot times after which reclaimable servers
	// that were ordered but are not ready are ordered again.
	overdueBootTimes = 2
)

// poolKey identifies the servers of one kind (on reclaimable or on-demand VMs) in
// a zone.
type poolKey struct {
	zone          string
	isReclaimable bool
}

// pool tracks the orders of servers of one kind in a zone.
type pool struct {
	key poolKey
	// ordered is the number of servers in the last accepted order.
	ordered   int
	orderedAt time.Duration
	// scaledDownAt is when the number was last lowered, refusedAt when an order was
	// last refused.
	scaledDownAt, refusedAt time.Duration
}

// newPool returns a pool that counts the ready servers as ordered.
func newPool(key poolKey, ready int) *pool {
	return &pool{key: key, ordered: ready, scaledDownAt: -scaleDownInterval, refusedAt: -refusalBackoff}
}

// target returns the number of servers to aim for, given the number that the load needs. It
// answers a burst just after a start or a change of the holder: more servers are ordered as
// soon as the load is known at all, and servers are removed only once it has been known for
// long enough (mayRemove).
func (p *pool) target(needed int, mayRemove bool) int {
	if mayRemove {
		return needed
	}
	return max(needed, p.ordered)
}

// nextOrder returns the number of servers to order and whether to order now.
// A surplus after a peak of load, or of the servers that a site starts with, is
// removed in steps of maxRemovedShare. Reclaimable servers may be refused in a
// shortage or reclaimed at any time: a refused order is repeated after
// refusalBackoff, and servers that are overdue are ordered again.
func (p *pool) nextOrder(now time.Duration, want, ready int, bootTime time.Duration) (n int, isDue bool) {
	if p.key.isReclaimable && now-p.refusedAt < refusalBackoff {
		return 0, false
	}
	if want < p.ordered {
		step := max(1, int(maxRemovedShare*float64(p.ordered)))
		return max(want, p.ordered-step), now-p.scaledDownAt >= scaleDownInterval
	}
	isOverdue := p.key.isReclaimable && ready < want && now-p.orderedAt >= overdueBootTimes*bootTime
	return want, want > p.ordered || isOverdue
}

// recordOrder records an order of n servers and whether it was accepted.
func (p *pool) recordOrder(now time.Duration, n int, isAccepted bool) {
	if !isAccepted {
		p.refusedAt = now
		return
	}
	if n < p.ordered {
		p.scaledDownAt = now
	}
	p.ordered, p.orderedAt = n, now
}
