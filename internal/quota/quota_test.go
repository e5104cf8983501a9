package quota

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	window = 8 * time.Second
	tick   = 10 * time.Millisecond
	// overshoot and slack are what the users allow beyond the limit.
	overshoot = 0.1
	slack     = 110_000.0
)

var limits = Limits{PerSecond: 87_000, Burst: 87_000, Window: window}

// allowed is the bound that the users set for any window.
func allowed() float64 {
	return (limits.PerSecond*window.Seconds()+limits.Burst)*(1+overshoot) + slack
}

// spendRig plays entries that share a quota and hear from each other with a lag.
type spendRig struct {
	now     time.Duration
	entries []*spendEntry
	// spent holds every amount with its time.
	spent []slotSum
	rng   *rand.Rand
	// every is the time between messages; silence is how long an entry may be
	// silent and still counts as reachable.
	every, silence time.Duration
	// delay is the longest time that a message takes by way of hubs.
	delay    time.Duration
	onTheWay []delayedReport
	// asked is the number of entries that callers come to; 0 is all.
	asked int
	// isOut reports whether an entry has lost its registration.
	isOut func(i int) bool
}

type delayedReport struct {
	due    time.Duration
	to     *spendEntry
	from   Origin
	report SpendingReport
}

type spendEntry struct {
	run     string
	counter *Counter
	site    Site
	// heard is when each other entry was last heard.
	heard map[int]time.Duration
}

func newSpendRig(n int) *spendRig {
	r := &spendRig{now: time.Hour, rng: rand.New(rand.NewPCG(1, 2)), every: 200 * time.Millisecond, isOut: none}
	for i := range n {
		r.entries = append(r.entries, &spendEntry{})
		r.restart(i)
	}
	r.now += window
	r.exchange(all)
	return r
}

func (r *spendRig) restart(i int) {
	e := r.entries[i]
	e.run, e.counter = strconv.Itoa(i)+"/"+r.now.String(), NewCounter(window, r.now)
	e.heard = map[int]time.Duration{}
	e.site = Site{Entries: len(r.entries), Reachable: 1} // nobody was heard yet
}

// play offers rate units a second to random entries for d, in requests of cost;
// messages pass every 200 ms between entries that hear each other.
func (r *spendRig) play(d time.Duration, rate, cost float64, hears func(a, b int) bool) {
	due := 0.0
	for end := r.now + d; r.now < end; r.now += tick {
		for due += rate * tick.Seconds(); due >= cost; due -= cost {
			r.offer(cost)
		}
		if r.now%r.every == 0 {
			r.exchange(hears)
		}
		r.deliver()
	}
}

// offer asks a random entry for an amount.
func (r *spendRig) offer(cost float64) {
	n := len(r.entries)
	if r.asked > 0 {
		n = r.asked
	}
	e := r.entries[r.rng.IntN(n)]
	if e.counter.Spend(r.now, limits, e.site, cost).Allowed {
		r.spent = append(r.spent, slotSum{r.now, cost})
	}
}

func (r *spendRig) exchange(hears func(a, b int) bool) {
	for i, to := range r.entries {
		entries, reachable := 1, 1
		for j, from := range r.entries {
			if i == j || (r.isOut(j) && !r.isOut(i)) {
				continue
			}
			entries++
			if last, ok := to.heard[j]; hears(i, j) || (ok && r.now-last < r.silence) {
				reachable++
			}
			if hears(i, j) {
				to.heard[j] = r.now
				r.onTheWay = append(r.onTheWay, delayedReport{r.now + r.hubDelay(), to, Origin{Name: strconv.Itoa(j), Run: from.run}, from.counter.Report(r.now, true)})
			}
		}
		to.site = Site{Entries: entries, Reachable: reachable, Lag: r.every + r.delay}
	}
	r.deliver()
}

func (r *spendRig) hubDelay() time.Duration {
	return time.Duration(r.rng.Float64() * float64(r.delay))
}

// deliver merges the reports that have arrived.
func (r *spendRig) deliver() {
	r.onTheWay = slices.DeleteFunc(r.onTheWay, func(d delayedReport) bool {
		if d.due > r.now {
			return false
		}
		d.to.counter.Merge(r.now, d.from, d.report)
		return true
	})
}

// worst is the most that was spent in any window.
func (r *spendRig) worst() float64 {
	sum, most, first := 0.0, 0.0, 0
	for _, s := range r.spent {
		sum += s.amount
		for r.spent[first].start <= s.start-window {
			sum -= r.spent[first].amount
			first++
		}
		most = max(most, sum)
	}
	return most
}

func all(int, int) bool { return true }

func none(int) bool { return false }

func TestHotOrganisationStaysWithinItsQuota(t *testing.T) {
	r := newSpendRig(7)
	r.play(40*time.Second, 6*limits.PerSecond, 3000, all)
	require.LessOrEqual(t, r.worst(), allowed())
	require.GreaterOrEqual(t, r.worst(), 0.9*(limits.PerSecond*window.Seconds()+limits.Burst), "the quota can be used")
}

func TestQuotaHoldsBetweenEntriesOutOfTouch(t *testing.T) {
	r := newSpendRig(7)
	r.play(10*time.Second, 6*limits.PerSecond, 3000, all)
	r.play(20*time.Second, 6*limits.PerSecond, 3000, func(a, b int) bool { return (a < 3) == (b < 3) })
	r.play(10*time.Second, 6*limits.PerSecond, 3000, all)
	require.LessOrEqual(t, r.worst(), allowed())
}

// On a large site messages are rarer, and a cut is noticed after a while.
func TestQuotaHoldsThroughACutOfALargeSite(t *testing.T) {
	small := limits
	limits = Limits{PerSecond: 455_000, Burst: 455_000, Window: window}
	defer func() { limits = small }()
	for _, load := range []float64{1.5, 3, 6} {
		r := newSpendRig(40)
		r.every, r.silence = 400*time.Millisecond, time.Second
		r.play(10*time.Second, load*limits.PerSecond, 3000, all)
		r.play(10*time.Second, load*limits.PerSecond, 3000, func(a, b int) bool { return (a < 10) == (b < 10) })
		r.play(10*time.Second, load*limits.PerSecond, 3000, all)
		require.LessOrEqual(t, r.worst(), allowed(), "%v times the quota", load)
	}
}

// When the entries beyond a cut lose their registrations, the whole quota falls
// to the others, all of whom have callers waiting for it.
func TestQuotaHoldsWhenManyEntriesMaySpendAgainAtOnce(t *testing.T) {
	small := limits
	limits = Limits{PerSecond: 381_000, Burst: 381_000, Window: window}
	defer func() { limits = small }()
	for _, way := range []struct{ every, delay time.Duration }{
		{400 * time.Millisecond, 0}, {600 * time.Millisecond, 0}, {200 * time.Millisecond, 400 * time.Millisecond},
	} {
		for _, load := range []float64{1.5, 3, 6, 12} {
			r := newSpendRig(90)
			r.every, r.delay, r.silence = way.every, way.delay, time.Second
			beyond := func(i int) bool { return i < 22 }
			cut := func(a, b int) bool { return beyond(a) == beyond(b) }
			r.play(6*time.Second, load*limits.PerSecond, 5000, all)
			r.play(3*time.Second, load*limits.PerSecond, 5000, cut)
			r.isOut = beyond
			r.play(3*time.Second, load*limits.PerSecond, 5000, cut)
			r.isOut = none
			r.play(10*time.Second, load*limits.PerSecond, 5000, all)
			require.LessOrEqual(t, r.worst(), allowed(), "%v times the quota, messages every %v with a delay of %v", load, way.every, way.delay)
		}
	}
}

func TestQuotaHoldsOverARestartOfAllEntries(t *testing.T) {
	for _, at := range []time.Duration{2, 4, 6, 8, 10} {
		r := newSpendRig(7)
		r.play(12*time.Second, 0.2*limits.PerSecond, 3000, all)
		r.play(at*time.Second, 6*limits.PerSecond, 3000, all)
		r.now += 500 * time.Millisecond
		for i := range r.entries {
			r.restart(i)
		}
		r.play(12*time.Second, 6*limits.PerSecond, 3000, all)
		require.LessOrEqual(t, r.worst(), allowed(), "restart after %d s", at)
	}
}

// The one that stays knows what all have spent.
func TestQuotaHoldsOverARestartOfAllEntriesButOne(t *testing.T) {
	for _, at := range []time.Duration{2, 4, 6, 8, 10} {
		r := newSpendRig(7)
		r.play(12*time.Second, 0.2*limits.PerSecond, 3000, all)
		r.play(at*time.Second, 6*limits.PerSecond, 3000, all)
		r.now += 500 * time.Millisecond
		for i := range len(r.entries) - 1 {
			r.restart(i)
		}
		r.play(12*time.Second, 6*limits.PerSecond, 3000, all)
		require.LessOrEqual(t, r.worst(), allowed(), "restart after %d s", at)
	}
}

// Entries that were started out of touch meet after a while.
func TestSpendingBeforeTheFirstMessageCounts(t *testing.T) {
	r := newSpendRig(3)
	for i := range r.entries {
		r.restart(i)
	}
	nobody := func(int, int) bool { return false }
	r.play(20*time.Second, 6*limits.PerSecond, 3000, nobody)
	r.play(10*time.Second, 6*limits.PerSecond, 3000, all)
	require.LessOrEqual(t, r.worst(), allowed())
}

// Callers who come together find the same rest free at every entry.
func TestQuotaHoldsWhenBurstsComeAtOneInstant(t *testing.T) {
	small := limits
	limits = Limits{PerSecond: 1500, Burst: 1500, Window: window}
	defer func() { limits = small }()
	const calls, cost = 40, 100
	for seed := range uint64(40) {
		r := newSpendRig(3)
		r.rng = rand.New(rand.NewPCG(seed, 3))
		for range 60 {
			r.play(time.Duration(r.rng.IntN(2500))*time.Millisecond, 0, cost, all)
			for range calls {
				r.offer(cost)
			}
		}
		limit := limits.PerSecond*window.Seconds() + limits.Burst
		require.LessOrEqual(t, r.worst(), (1+overshoot)*limit, "seed %d", seed)
		require.GreaterOrEqual(t, r.worst(), 0.9*limit, "the quota can be used")
	}
}

// Callers keep their connections, so an organisation may come to one entry only.
func TestQuotaIsNotDividedByWhoIsAsked(t *testing.T) {
	const load = 0.7
	r := newSpendRig(7)
	r.asked = 1
	r.play(20*time.Second, load*limits.PerSecond, 3000, all)
	asked := 20 * load * limits.PerSecond / 3000
	require.InDelta(t, asked, len(r.spent), 0.01*asked)
}

// An entry that starts beside others learns what they spent, and no more.
func TestRestartedEntryDoesNotCountTheOthersTwice(t *testing.T) {
	r := newSpendRig(3)
	r.play(60*time.Second, 0.7*limits.PerSecond, 3000, all)
	before := len(r.spent)
	r.restart(0)
	r.play(10*time.Second, 0.7*limits.PerSecond, 3000, all)
	asked := 10 * 0.7 * limits.PerSecond / 3000
	require.InDelta(t, asked, len(r.spent)-before, 0.02*asked)
}

func TestRequestAboveTheBurstIsServedWhenNothingIsOwed(t *testing.T) {
	c := NewCounter(window, time.Hour)
	l := Limits{PerSecond: 1000, Burst: 1000, Window: window}
	site := Site{Entries: 1, Reachable: 1}
	require.False(t, c.Spend(time.Hour, l, site, 5000).Allowed, "what was spent before the start is not known")
	require.True(t, c.Spend(time.Hour+window, l, site, 5000).Allowed)
	v := c.Spend(time.Hour+window, l, site, 5000)
	require.False(t, v.Allowed)
	require.Greater(t, v.RetryAfter, time.Second)
}

func TestRepeatsStayWithinTheBudgetOfAllEntries(t *testing.T) {
	limits := RetryLimits{Ratio: 0.2, Slack: 54, Span: 10 * time.Second}
	var entries []*RetryBudget
	for range 7 {
		entries = append(entries, NewRetryBudget(limits))
	}
	requests, repeats := 0, 0
	for now := time.Hour; now < time.Hour+10*time.Second; now += tick {
		for i, e := range entries {
			if int(now/tick)%(i+1) == 0 {
				e.RecordRequest(now)
				requests++
				for e.TryRetry(now, len(entries)) {
					repeats++
				}
			}
		}
	}
	require.LessOrEqual(t, float64(repeats), limits.Ratio*float64(requests)+limits.Slack)
	require.Positive(t, repeats)
}
