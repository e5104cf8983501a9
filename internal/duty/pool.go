package duty

import "time"

const (
	// fallInterval is the time between the ends of servers in a zone: each one
	// moves prompts to servers that have to read them anew.
	fallInterval = 3 * time.Second
	// refusedPause is the time to the next order after reclaimable servers were
	// refused in a zone: a shortage lasts for seconds.
	refusedPause = 4 * time.Second
	// bootsUntilLost is the number of boot times after which an order for
	// reclaimable servers that did not come is given again.
	bootsUntilLost = 2
)

// poolKey names the servers of one kind in a zone.
type poolKey struct {
	zone          string
	isReclaimable bool
}

// pool is what was ordered of one kind in a zone.
type pool struct {
	key       poolKey
	ordered   int
	orderedAt time.Duration
	// fellAt is when the number was last lowered, refusedAt when an order was
	// last refused.
	fellAt, refusedAt time.Duration
}

func newPool(key poolKey, found int) *pool {
	return &pool{key: key, ordered: found, fellAt: -fallInterval, refusedAt: -refusedPause}
}

// next returns the number to order now. It answers shortages and reclaims: servers
// end one at a time, an order for reclaimable ones that did not come is given
// again, and one that was refused after a pause.
func (p *pool) next(now time.Duration, want, ready int, boot time.Duration) (n int, isDue bool) {
	if p.key.isReclaimable && now-p.refusedAt < refusedPause {
		return 0, false
	}
	if want < p.ordered {
		return p.ordered - 1, now-p.fellAt >= fallInterval
	}
	isLost := p.key.isReclaimable && ready < want && now-p.orderedAt >= bootsUntilLost*boot
	return want, want > p.ordered || isLost
}

// note takes the result of an order.
func (p *pool) note(now time.Duration, n int, isTaken bool) {
	if !isTaken {
		p.refusedAt = now
		return
	}
	if n < p.ordered {
		p.fellAt = now
	}
	p.ordered, p.orderedAt = n, now
}
