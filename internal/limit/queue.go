package limit

import (
	"slices"
	"sort"
	"time"
)

// waiterState is the state of a Waiter.
type waiterState int

const (
	waiting waiterState = iota
	running
	ended
)

// Waiter is a request submitted to a Scheduler. It is queued, running or ended.
type Waiter struct {
	request  Request
	level    level
	deadline time.Time
	// startTag is the start tag of start-time fair queueing, in virtual time.
	startTag float64
	state    waiterState
	// onDecision is called at most once: with nil on admission, otherwise with
	// the refusal.
	onDecision func(*RejectedError)
}

// flow is the queue of one organisation in one level, ordered by start tag.
type flow struct {
	waiters []*Waiter
	// finishTag is the finish tag of the last request queued.
	finishTag float64
}

// waitersAhead returns how many waiters of the flow have a start tag of at most
// start.
func (f *flow) waitersAhead(start float64) int {
	return sort.Search(len(f.waiters), func(i int) bool { return f.waiters[i].startTag > start })
}

// fairQueue implements start-time fair queueing among organisations. The virtual
// time is the start tag of the last request taken from the queue.
type fairQueue struct {
	flows       map[string]*flow
	virtualTime float64
	size        int
}

func newFairQueue() *fairQueue { return &fairQueue{flows: map[string]*flow{}} }

// nextStartTag returns the start tag of the organisation's next request.
func (q *fairQueue) nextStartTag(organisation string) float64 {
	if f, ok := q.flows[organisation]; ok {
		return max(q.virtualTime, f.finishTag)
	}
	return q.virtualTime
}

// charge sets the organisation's finish tag to start + cost/share.
func (q *fairQueue) charge(organisation string, start, cost, share float64) {
	f, ok := q.flows[organisation]
	if !ok {
		f = &flow{}
		q.flows[organisation] = f
	}
	f.finishTag = start + cost/share
}

// push queues w. The start tag of w must be set, and charge must have been called
// for it.
func (q *fairQueue) push(w *Waiter) {
	f := q.flows[w.request.Organisation]
	f.waiters = append(f.waiters, w)
	q.size++
}

// pop removes and returns the waiter with the smallest start tag, nil if there is
// none. Ties go to the organisation whose name sorts first.
func (q *fairQueue) pop() *Waiter {
	var best *flow
	bestName := ""
	for name, f := range q.flows {
		if len(f.waiters) == 0 {
			continue
		}
		if best == nil || f.waiters[0].startTag < best.waiters[0].startTag ||
			f.waiters[0].startTag == best.waiters[0].startTag && name < bestName {
			best, bestName = f, name
		}
	}
	if best == nil {
		return nil
	}
	w := best.waiters[0]
	best.waiters = slices.Delete(best.waiters, 0, 1)
	q.size--
	q.advance(w.startTag)
	return w
}

// advance advances the virtual time and removes idle organisations.
func (q *fairQueue) advance(start float64) {
	q.virtualTime = max(q.virtualTime, start)
	for name, f := range q.flows {
		if len(f.waiters) == 0 && f.finishTag <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}

// remove removes w from the queue and reports whether it was queued.
func (q *fairQueue) remove(w *Waiter) bool {
	f, ok := q.flows[w.request.Organisation]
	if !ok {
		return false
	}
	i := slices.Index(f.waiters, w)
	if i < 0 {
		return false
	}
	f.waiters = slices.Delete(f.waiters, i, i+1)
	q.size--
	return true
}

// waitersAhead returns how many waiters run before one with the given start tag.
func (q *fairQueue) waitersAhead(start float64) int {
	n := 0
	for _, f := range q.flows {
		n += f.waitersAhead(start)
	}
	return n
}

// longestFlow returns the organisation with the most waiters per share, or "" if
// there is none. The organisation joining, unless empty, is counted with one more
// waiter. Ties go to joining, then to the name that sorts first.
func (q *fairQueue) longestFlow(joining string, share func(string) float64) string {
	longest, most := "", 0.0
	if joining != "" {
		longest, most = joining, 1/share(joining)
	}
	if f, ok := q.flows[joining]; ok {
		most = float64(len(f.waiters)+1) / share(joining)
	}
	for name, f := range q.flows {
		length := float64(len(f.waiters)) / share(name)
		tie := length == most && length > 0 && longest != joining && name < longest
		if name != joining && (length > most || tie) {
			longest, most = name, length
		}
	}
	return longest
}

// inOrder returns all waiters in the order in which they would run.
func (q *fairQueue) inOrder() []*Waiter {
	all := make([]*Waiter, 0, q.size)
	for _, f := range q.flows {
		all = append(all, f.waiters...)
	}
	slices.SortStableFunc(all, func(a, b *Waiter) int {
		switch {
		case a.startTag < b.startTag || a.startTag == b.startTag && a.request.Organisation < b.request.Organisation:
			return -1
		case a.startTag == b.startTag && a.request.Organisation == b.request.Organisation:
			return 0
		default:
			return 1
		}
	})
	return all
}
