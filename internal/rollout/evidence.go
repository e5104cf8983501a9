package rollout

import (
	"maps"
	"math"
	"sync"
	"time"
)

// Counts are the answers that a version gave under one rule.
type Counts struct {
	// Answers includes the Failures, which are the answers of servers with a failure status.
	Answers  int64 `msgpack:"n"`
	Failures int64 `msgpack:"f,omitempty"`
	// Times holds the numbers of the other answers by bucket of their time.
	Times map[int]int64 `msgpack:"t,omitempty"`
	// Paces holds the numbers of streams by bucket of the mean time between their events.
	Paces map[int]int64 `msgpack:"p,omitempty"`
}

// OrderEvidence holds the answers since an order, side by side.
type OrderEvidence struct {
	ID int64 `msgpack:"r"`
	// Old is by rule, New by rule and by the ID of the server.
	Old map[string]*Counts            `msgpack:"o,omitempty"`
	New map[string]map[string]*Counts `msgpack:"w,omitempty"`
}

// Evidence holds the answers by service.
type Evidence map[string]*OrderEvidence

// bucketRatio is the ratio of the upper bounds of two successive buckets.
const bucketRatio = 1.25

// bucketOf returns the bucket of a time: bucket k holds times up to bucketRatio^k of a tenth
// of a millisecond.
func bucketOf(d time.Duration) int {
	return max(0, int(math.Ceil(math.Log(max(1, d.Seconds()*10_000))/math.Log(bucketRatio))))
}

func (c *Counts) add(other *Counts) {
	c.Answers += other.Answers
	c.Failures += other.Failures
	c.Times, c.Paces = addBuckets(c.Times, other.Times), addBuckets(c.Paces, other.Paces)
}

// addBuckets returns the sum of two histograms; it may change the first one.
func addBuckets(sum, added map[int]int64) map[int]int64 {
	if sum == nil && len(added) > 0 {
		sum = map[int]int64{}
	}
	for bucket, n := range added {
		sum[bucket] += n
	}
	return sum
}

func (c *Counts) record(took time.Duration, isFailure bool) {
	c.Answers++
	if isFailure {
		c.Failures++
		return
	}
	c.Times = addBuckets(c.Times, map[int]int64{bucketOf(took): 1})
}

func (c *Counts) recordPace(pace time.Duration) {
	c.Paces = addBuckets(c.Paces, map[int]int64{bucketOf(pace): 1})
}

func newOrderEvidence(id int64) *OrderEvidence {
	return &OrderEvidence{ID: id, Old: map[string]*Counts{}, New: map[string]map[string]*Counts{}}
}

// oldCounts and newCounts return the counts of a rule and create them if necessary.
func (e *OrderEvidence) oldCounts(rule string) *Counts { return countsOf(e.Old, rule) }

func (e *OrderEvidence) newCounts(rule, server string) *Counts {
	byServer, ok := e.New[rule]
	if !ok {
		byServer = map[string]*Counts{}
		e.New[rule] = byServer
	}
	return countsOf(byServer, server)
}

func countsOf(m map[string]*Counts, key string) *Counts {
	c, ok := m[key]
	if !ok {
		c = &Counts{}
		m[key] = c
	}
	return c
}

// merge adds other to e.
func (e *OrderEvidence) merge(other *OrderEvidence) {
	for rule, counts := range other.Old {
		e.oldCounts(rule).add(counts)
	}
	for rule, byServer := range other.New {
		for server, counts := range byServer {
			e.newCounts(rule, server).add(counts)
		}
	}
}

// since returns the answers that were added after the earlier evidence about the order.
func (e *OrderEvidence) since(earlier *OrderEvidence) *OrderEvidence {
	added := newOrderEvidence(e.ID)
	added.merge(e)
	for rule, counts := range earlier.Old {
		added.oldCounts(rule).subtract(counts)
	}
	for rule, byServer := range earlier.New {
		for server, counts := range byServer {
			added.newCounts(rule, server).subtract(counts)
		}
	}
	return added
}

// subtract removes earlier counts. The sums may have lost some since, with an entry.
func (c *Counts) subtract(earlier *Counts) {
	c.Answers = max(0, c.Answers-earlier.Answers)
	c.Failures = max(0, c.Failures-earlier.Failures)
	subtractBuckets(c.Times, earlier.Times)
	subtractBuckets(c.Paces, earlier.Paces)
}

func subtractBuckets(sum, earlier map[int]int64) {
	for bucket, n := range earlier {
		if sum[bucket] <= n {
			delete(sum, bucket)
		} else {
			sum[bucket] -= n
		}
	}
}

// answers returns the number of answers of both versions.
func (e *OrderEvidence) answers() (n int64) {
	for _, counts := range e.Old {
		n += counts.Answers
	}
	return n + e.newAnswers()
}

func (e *OrderEvidence) newAnswers() (n int64) {
	for _, byServer := range e.New {
		for _, counts := range byServer {
			n += counts.Answers
		}
	}
	return n
}

// merge adds other to e. Of two orders of a service, the evidence about the later one is
// kept.
func (e Evidence) merge(other Evidence) {
	for service, added := range other {
		if added == nil {
			continue
		}
		sum, ok := e[service]
		if !ok || sum.ID < added.ID {
			sum = newOrderEvidence(added.ID)
			e[service] = sum
		}
		if sum.ID == added.ID {
			sum.merge(added)
		}
	}
}

// answers returns the number of answers about all services.
func (e Evidence) answers() (n int64) {
	for _, order := range e {
		n += order.answers()
	}
	return n
}

// clone returns a deep copy.
func (e Evidence) clone() Evidence {
	c := Evidence{}
	c.merge(e)
	return c
}

// History keeps the sums of an order at earlier times, so that a version that turns bad late
// is judged by its recent answers.
type History struct{ sums []pastSum }

type pastSum struct {
	at  time.Duration
	sum *OrderEvidence
}

const (
	// historyInterval is the time between two sums of a history.
	historyInterval = 500 * time.Millisecond
	// shortSpan and longSpan are the recent times that are judged by themselves.
	shortSpan = 3 * time.Second
	longSpan  = 8 * time.Second
)

// Add takes the sum at a time in, and returns it and what was added in the recent times.
func (h *History) Add(now time.Duration, sum *OrderEvidence) []*OrderEvidence {
	if sum == nil {
		return nil
	}
	if len(h.sums) > 0 && h.sums[0].sum.ID != sum.ID {
		h.sums = nil
	}
	views := []*OrderEvidence{sum}
	for _, span := range []time.Duration{shortSpan, longSpan} {
		i := len(h.sums) - 1
		for i >= 0 && now-h.sums[i].at < span {
			i--
		}
		if i >= 0 {
			views = append(views, sum.since(h.sums[i].sum))
		}
	}
	if len(h.sums) == 0 || now-h.sums[len(h.sums)-1].at >= historyInterval {
		h.sums = append(h.sums, pastSum{now, sum})
	}
	for len(h.sums) > 1 && now-h.sums[1].at >= longSpan {
		h.sums = h.sums[1:]
	}
	return views
}

// Board sums the evidence of all entries. The counts of an entry that has started again
// are added to those of its former run. It is safe for concurrent use.
type Board struct {
	mu sync.Mutex
	// own is this entry's evidence, direct that of entries which send it to this one.
	own    Evidence
	direct map[string]*runEvidence
	// zones holds the sums of other zones by the ID of the hub that sent them.
	zones map[string]map[string]Evidence
}

// runEvidence is the evidence of an entry: of its present run, and of the runs before.
type runEvidence struct {
	run           string
	latest, ended Evidence
}

// NewBoard returns a board without evidence.
func NewBoard() *Board {
	return &Board{own: Evidence{}, direct: map[string]*runEvidence{}, zones: map[string]map[string]Evidence{}}
}

// RecordEntry replaces what a run of another entry has counted.
func (b *Board) RecordEntry(entry, run string, latest Evidence) {
	if len(latest) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.direct[entry]
	if !ok {
		known = &runEvidence{run: run, ended: Evidence{}}
		b.direct[entry] = known
	}
	if known.run != run {
		known.ended.merge(known.latest)
		known.run = run
	}
	known.latest = latest
}

// RecordZone replaces the sums of another zone that a hub has sent.
func (b *Board) RecordZone(zone, hub string, sum Evidence) {
	if len(sum) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.zones[zone] == nil {
		b.zones[zone] = map[string]Evidence{}
	}
	b.zones[zone][hub] = sum
}

// Own returns what this entry has counted.
func (b *Board) Own() Evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own.clone()
}

// Zone returns the sums of this entry and of those that send theirs to it.
func (b *Board) Zone() Evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.zoneLocked()
}

func (b *Board) zoneLocked() Evidence {
	sum := b.own.clone()
	for _, entry := range b.direct {
		sum.merge(entry.ended)
		sum.merge(entry.latest)
	}
	return sum
}

// Total returns the sums of all entries: of each other zone those of the hub that knows
// most.
func (b *Board) Total() Evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := b.zoneLocked()
	for _, hubs := range b.zones {
		var best Evidence
		for _, hub := range hubs {
			if best == nil || hub.answers() > best.answers() {
				best = hub
			}
		}
		sum.merge(best)
	}
	return sum
}

// record counts an answer of this entry.
func (b *Board) record(order *OrderState, rule, version, server string, count func(*Counts)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	evidence, ok := b.own[order.Service]
	if !ok || evidence.ID != order.ID {
		evidence = newOrderEvidence(order.ID)
		b.own[order.Service] = evidence
	}
	counts := evidence.oldCounts
	if version == order.To {
		counts = func(rule string) *Counts { return evidence.newCounts(rule, server) }
	}
	count(counts(rule))
}

// Forget drops the evidence about services without an order.
func (b *Board) Forget(services map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	drop := func(service string, _ *OrderEvidence) bool { return !services[service] }
	maps.DeleteFunc(b.own, drop)
	for _, entry := range b.direct {
		maps.DeleteFunc(entry.ended, drop)
	}
	for _, hubs := range b.zones {
		for _, hub := range hubs {
			maps.DeleteFunc(hub, drop)
		}
	}
}
