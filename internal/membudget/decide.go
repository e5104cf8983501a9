package membudget

import (
	"slices"
	"time"
)

const (
	// SmallBytes is the size in bytes up to which a request counts as small. The requests
	// of ordinary callers are.
	SmallBytes = 64 << 10
	// smallShare is the share of the budget that only small holders may use.
	smallShare = 0.25
	// LeastRate is the rate in bytes a second below which a holder counts as stalled.
	LeastRate = 2 << 10
	// maxPaid bounds how far the bytes of a moment count for the time after it.
	maxPaid = 250 * time.Millisecond
	// stallPatience is how long a holder may be stalled while others wait for room.
	stallPatience = 500 * time.Millisecond
	// waitPatience is how long a caller waits for room before a holder that makes progress
	// has to yield. One with a large body waits shorter: many of them hold each other up.
	waitPatience      = 250 * time.Millisecond
	largeWaitPatience = 100 * time.Millisecond
	// decisionInterval is the least time between two decisions.
	decisionInterval = 20 * time.Millisecond
	logInterval      = time.Second
)

// limitFor returns how many bytes all may hold when a holder comes to hold bytes.
func limitFor(capacity, bytes int64) int64 {
	if bytes > SmallBytes {
		return capacity - int64(smallShare*float64(capacity))
	}
	return capacity
}

// progress is the time up to which the bytes that moved suffice at LeastRate.
type progress struct{ paidUntil time.Time }

func startProgress(now time.Time) progress { return progress{paidUntil: now} }

// add records that n bytes moved. Single bytes do not end a stall.
func (p *progress) add(n int, now time.Time) {
	p.paidUntil = p.paidUntil.Add(time.Duration(n) * time.Second / LeastRate)
	if latest := now.Add(maxPaid); p.paidUntil.After(latest) {
		p.paidUntil = latest
	}
}

// excuse makes a time not count as one without progress.
func (p *progress) excuse(d time.Duration) { p.paidUntil = p.paidUntil.Add(d) }

// claim is a holder that may be made to yield.
type claim struct {
	group    string
	bytes    int64
	openedAt time.Time
	// stalledSince is since when it has made too little progress; in the future if its
	// progress suffices.
	stalledSince time.Time
	// wants is how many bytes it waits for itself.
	wants int64
}

// want is a caller that waits for room: for bytes more, with which it holds total.
type want struct {
	bytes, total int64
	since        time.Time
}

func (w want) patience() time.Duration {
	if w.total > SmallBytes {
		return largeWaitPatience
	}
	return waitPatience
}

// shortage is the state of a budget without room.
type shortage struct {
	now            time.Time
	capacity, used int64
	// returning is what holders that were made to yield have not given back yet.
	returning int64
	wanted    []want
}

// missing returns how many bytes must be given back so that all waiting callers fit for
// which qualifies is true.
func (s *shortage) missing(qualifies func(want) bool) int64 {
	var small, large, isLarge = int64(0), int64(0), false
	for _, w := range s.wanted {
		if !qualifies(w) {
			continue
		}
		if w.total > SmallBytes {
			large, isLarge = large+w.bytes, true
		} else {
			small += w.bytes
		}
	}
	held := s.used - s.returning
	missing := held + small + large - s.capacity
	if isLarge {
		missing = max(missing, held+large-limitFor(s.capacity, s.capacity))
	}
	return missing
}

// decide returns the indices of the claims that yield. It answers crowds of callers that
// send legal requests and stop short of their end, or send more at once than fits: without
// it, whoever came first keeps all memory.
//
//   - A holder that is stalled yields first, the one with the most bytes times the time of
//     its stall, as soon as anybody waits.
//   - When a caller has waited for its patience, holders that make progress yield: large
//     ones, newest first, so that the oldest are completed and not all stand still half-way;
//     and then small ones of a group that holds more than half of all.
func decide(s shortage, claims []claim) []int {
	var victims []int
	missing := s.missing(func(want) bool { return true })
	order := make([]int, 0, len(claims))
	stalledFor := func(i int) time.Duration { return s.now.Sub(claims[i].stalledSince) }
	for i := range claims {
		if claims[i].bytes > 0 && stalledFor(i) >= stallPatience {
			order = append(order, i)
		}
	}
	weight := func(i int) float64 { return float64(claims[i].bytes) * stalledFor(i).Seconds() }
	slices.SortFunc(order, func(a, b int) int {
		switch wa, wb := weight(a), weight(b); {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return a - b
	})
	taken := make([]bool, len(claims))
	yield := func(i int) {
		taken[i] = true
		victims = append(victims, i)
		missing -= claims[i].bytes + claims[i].wants
		s.returning += claims[i].bytes
	}
	for _, i := range order {
		if missing <= 0 {
			return victims
		}
		yield(i)
	}
	missing = s.missing(func(w want) bool { return s.now.Sub(w.since) >= w.patience() })
	if missing <= 0 {
		return victims
	}
	greediest := greediestGroup(s.used, claims)
	order = order[:0]
	for i, c := range claims {
		if !taken[i] && c.bytes > 0 && (c.bytes > SmallBytes || greediest != "" && c.group == greediest) {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return compareProgressing(claims[a], claims[b], greediest) })
	for _, i := range order {
		if missing <= 0 {
			break
		}
		yield(i)
	}
	return victims
}

// compareProgressing orders holders that make progress: large ones first, of these the ones
// of the greediest group, the newest first; then small ones, the oldest first, since the
// small request of an ordinary caller is complete at once.
func compareProgressing(a, b claim, greediest string) int {
	rank := func(c claim) int {
		switch {
		case c.bytes > SmallBytes && c.group == greediest:
			return 0
		case c.bytes > SmallBytes:
			return 1
		}
		return 2
	}
	if d := rank(a) - rank(b); d != 0 {
		return d
	}
	if rank(a) == 2 {
		return a.openedAt.Compare(b.openedAt)
	}
	return b.openedAt.Compare(a.openedAt)
}

// greediestGroup returns the group whose claims hold more than half of used; empty if there
// is none.
func greediestGroup(used int64, claims []claim) string {
	held := map[string]int64{}
	for _, c := range claims {
		if held[c.group] += c.bytes; 2*held[c.group] > used {
			return c.group
		}
	}
	return ""
}
