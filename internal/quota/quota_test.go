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
	// allowedOvershoot, relative to the limit, and allowedSlack, in units of the
	// quota, are what the users allow beyond the limit.
	allowedOvershoot = 0.1
	allowedSlack     = 110_000.0
)

var limits = Limits{PerSecond: 87_000, Burst: 87_000, Window: window}

// maxAllowedPerWindow returns the users' upper bound of the spending in any
// window.
func maxAllowedPerWindow() float64 {
	return (limits.PerSecond*window.Seconds()+limits.Burst)*(1+allowedOvershoot) + allowedSlack
}

// quotaSim simulates entries that share a quota and receive each other's reports
// with a delay.
type quotaSim struct {
	now     time.Duration
	entries []*simEntry
	// spent lists every admitted amount with its time.
	spent []slotSum
	rng   *rand.Rand
	// reportInterval is the time between reports. An entry counts as reachable until
	// silenceTimeout after its latest report.
	reportInterval, silenceTimeout time.Duration
	// maxHubDelay is the maximum time that hubs take to forward a report.
	maxHubDelay time.Duration
	inFlight    []inFlightReport
	// calledEntries is the number of entries that receive requests; 0 is all.
	calledEntries int
	// copied is the last copy of the spending, nil if none is made.
	copied *Recollection
	// isUnregistered reports whether an entry has lost its registration.
	isUnregistered func(i int) bool
}

// inFlightReport is a report that was sent and is to be merged when due.
type inFlightReport struct {
	due    time.Duration
	to     *simEntry
	from   Origin
	report SpendingReport
}

// simEntry is a simulated entry and its present run.
type simEntry struct {
	run     string
	counter *Counter
	site    Site
	// lastReports is the time of the latest report of each other entry.
	lastReports map[int]time.Duration
}

func newQuotaSim(n int) *quotaSim {
	sim := &quotaSim{now: time.Hour, rng: rand.New(rand.NewPCG(1, 2)), reportInterval: 200 * time.Millisecond, isUnregistered: noEntry}
	for i := range n {
		sim.entries = append(sim.entries, &simEntry{})
		sim.restart(i)
	}
	sim.now += window
	sim.exchangeReports(allConnected)
	return sim
}

func (sim *quotaSim) restart(i int) {
	e := sim.entries[i]
	e.run, e.counter = strconv.Itoa(i)+"/"+sim.now.String(), NewCounter(window, sim.now)
	e.lastReports = map[int]time.Duration{}
	e.site = Site{Entries: len(sim.entries), Reachable: 1} // no reports yet
}

// run offers rate units per second to random entries for the time d, in requests
// of the given cost. Connected entries exchange reports every reportInterval.
func (sim *quotaSim) run(d time.Duration, rate, cost float64, isConnected func(a, b int) bool) {
	due := 0.0
	for end := sim.now + d; sim.now < end; sim.now += tick {
		for due += rate * tick.Seconds(); due >= cost; due -= cost {
			sim.offer(cost)
		}
		if sim.now%sim.reportInterval == 0 {
			sim.exchangeReports(isConnected)
		}
		sim.deliver()
		if sim.copied != nil && sim.now%copyInterval == 0 {
			sim.copy()
		}
	}
}

const copyInterval = 300 * time.Millisecond

// copy makes a copy of the spending at the first entry, which has recalled one itself if it
// is new.
func (sim *quotaSim) copy() {
	e := sim.entries[0]
	next := &Recollection{Parts: e.counter.Copy(sim.now), CopiedAt: sim.now - e.site.Lag, UnknownShare: 1 - float64(e.site.Reachable)/float64(e.site.Entries)}
	if e.counter.isNew(sim.now) {
		if e.counter.earlier == nil {
			return
		}
		next.Gaps, next.UnknownShare = e.counter.earlier.gaps, max(next.UnknownShare, e.counter.earlier.unknownShare)
	}
	sim.copied = next
}

// restartAll restarts all entries after the given time, which recall the last copy.
func (sim *quotaSim) restartAll(downtime time.Duration) {
	sim.now += downtime
	for i := range sim.entries {
		sim.restart(i)
		if sim.copied != nil {
			sim.entries[i].counter.Recall(sim.now, *sim.copied)
		}
	}
}

// spentSince returns the sum of what was admitted since a time.
func (sim *quotaSim) spentSince(at time.Duration) float64 {
	sum := 0.0
	for _, s := range sim.spent {
		if s.start >= at {
			sum += s.amount
		}
	}
	return sum
}

// offer sends a request of the given cost to a random entry.
func (sim *quotaSim) offer(cost float64) {
	n := len(sim.entries)
	if sim.calledEntries > 0 {
		n = sim.calledEntries
	}
	e := sim.entries[sim.rng.IntN(n)]
	if e.counter.Spend(sim.now, limits, e.site, cost).Allowed {
		sim.spent = append(sim.spent, slotSum{sim.now, cost})
	}
}

// exchangeReports sends the report of each entry to those connected to it, and
// updates what each knows of the site.
func (sim *quotaSim) exchangeReports(isConnected func(a, b int) bool) {
	for i, to := range sim.entries {
		entries, reachable := 1, 1
		for j, from := range sim.entries {
			if i == j || (sim.isUnregistered(j) && !sim.isUnregistered(i)) {
				continue
			}
			entries++
			if last, ok := to.lastReports[j]; isConnected(i, j) || (ok && sim.now-last < sim.silenceTimeout) {
				reachable++
			}
			if isConnected(i, j) {
				to.lastReports[j] = sim.now
				sim.inFlight = append(sim.inFlight, inFlightReport{sim.now + sim.hubDelay(), to, Origin{Name: strconv.Itoa(j), Run: from.run}, from.counter.Report(sim.now, true)})
			}
		}
		to.site = Site{Entries: entries, Reachable: reachable, Lag: sim.reportInterval + sim.maxHubDelay}
	}
	sim.deliver()
}

// hubDelay returns a random delay up to maxHubDelay.
func (sim *quotaSim) hubDelay() time.Duration {
	return time.Duration(sim.rng.Float64() * float64(sim.maxHubDelay))
}

// deliver merges the reports that are due.
func (sim *quotaSim) deliver() {
	sim.inFlight = slices.DeleteFunc(sim.inFlight, func(d inFlightReport) bool {
		if d.due > sim.now {
			return false
		}
		d.to.counter.Merge(sim.now, d.from, d.report)
		return true
	})
}

// maxSpentInWindow returns the highest sum of admitted amounts in any window.
func (sim *quotaSim) maxSpentInWindow() float64 {
	sum, most, first := 0.0, 0.0, 0
	for _, s := range sim.spent {
		sum += s.amount
		for sim.spent[first].start <= s.start-window {
			sum -= sim.spent[first].amount
			first++
		}
		most = max(most, sum)
	}
	return most
}

func allConnected(int, int) bool { return true }

func noEntry(int) bool { return false }

func TestHotOrganisationStaysWithinItsQuota(t *testing.T) {
	sim := newQuotaSim(7)
	sim.run(40*time.Second, 6*limits.PerSecond, 3000, allConnected)
	require.LessOrEqual(t, sim.maxSpentInWindow(), maxAllowedPerWindow())
	require.GreaterOrEqual(t, sim.maxSpentInWindow(), 0.9*(limits.PerSecond*window.Seconds()+limits.Burst), "the quota can be used")
}

func TestQuotaHoldsDuringNetworkPartition(t *testing.T) {
	sim := newQuotaSim(7)
	sim.run(10*time.Second, 6*limits.PerSecond, 3000, allConnected)
	sim.run(20*time.Second, 6*limits.PerSecond, 3000, func(a, b int) bool { return (a < 3) == (b < 3) })
	sim.run(10*time.Second, 6*limits.PerSecond, 3000, allConnected)
	require.LessOrEqual(t, sim.maxSpentInWindow(), maxAllowedPerWindow())
}

// Entries of a large site report less often and notice a network partition only
// after silenceTimeout; until then both sides spend the whole quota.
func TestQuotaHoldsDuringNetworkPartitionOfLargeSite(t *testing.T) {
	previousLimits := limits
	limits = Limits{PerSecond: 455_000, Burst: 455_000, Window: window}
	defer func() { limits = previousLimits }()
	for _, load := range []float64{1.5, 3, 6} {
		sim := newQuotaSim(40)
		sim.reportInterval, sim.silenceTimeout = 400*time.Millisecond, time.Second
		sim.run(10*time.Second, load*limits.PerSecond, 3000, allConnected)
		sim.run(10*time.Second, load*limits.PerSecond, 3000, func(a, b int) bool { return (a < 10) == (b < 10) })
		sim.run(10*time.Second, load*limits.PerSecond, 3000, allConnected)
		require.LessOrEqual(t, sim.maxSpentInWindow(), maxAllowedPerWindow(), "%v times the quota", load)
	}
}

// When entries on one side of a network partition lose their registrations, the
// whole quota becomes available to the others at once. All of these have callers
// waiting for it and could overshoot before their reports arrive.
func TestQuotaHoldsWhenPartitionedEntriesAreDeregistered(t *testing.T) {
	previousLimits := limits
	limits = Limits{PerSecond: 381_000, Burst: 381_000, Window: window}
	defer func() { limits = previousLimits }()
	for _, timing := range []struct{ every, delay time.Duration }{
		{400 * time.Millisecond, 0}, {600 * time.Millisecond, 0}, {200 * time.Millisecond, 400 * time.Millisecond},
	} {
		for _, load := range []float64{1.5, 3, 6, 12} {
			sim := newQuotaSim(90)
			sim.reportInterval, sim.maxHubDelay, sim.silenceTimeout = timing.every, timing.delay, time.Second
			isPartitioned := func(i int) bool { return i < 22 }
			isConnected := func(a, b int) bool { return isPartitioned(a) == isPartitioned(b) }
			sim.run(6*time.Second, load*limits.PerSecond, 5000, allConnected)
			sim.run(3*time.Second, load*limits.PerSecond, 5000, isConnected)
			sim.isUnregistered = isPartitioned
			sim.run(3*time.Second, load*limits.PerSecond, 5000, isConnected)
			sim.isUnregistered = noEntry
			sim.run(10*time.Second, load*limits.PerSecond, 5000, allConnected)
			require.LessOrEqual(t, sim.maxSpentInWindow(), maxAllowedPerWindow(), "%v times the quota, messages every %v with a delay of %v", load, timing.every, timing.delay)
		}
	}
}

func TestQuotaHoldsAcrossRestartOfAllEntries(t *testing.T) {
	for _, at := range []time.Duration{2, 4, 6, 8, 10} {
		sim := newQuotaSim(7)
		sim.run(12*time.Second, 0.2*limits.PerSecond, 3000, allConnected)
		sim.run(at*time.Second, 6*limits.PerSecond, 3000, allConnected)
		sim.now += 500 * time.Millisecond
		for i := range sim.entries {
			sim.restart(i)
		}
		sim.run(12*time.Second, 6*limits.PerSecond, 3000, allConnected)
		require.LessOrEqual(t, sim.maxSpentInWindow(), maxAllowedPerWindow(), "restart after %d s", at)
	}
}

// The load of an organisation within its quota must be served soon after all entries have
// failed. An organisation near its quota gets no less than without a copy.
func TestUsualLoadIsServedAfterRestartOfAllEntries(t *testing.T) {
	for load, least := range map[float64]float64{0.3: 0.85, 0.5: 0.85, 0.7: 0.85, 0.9: coldStartRateFactor / 0.9, 1: coldStartRateFactor} {
		for _, downtime := range []time.Duration{300 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
			sim := newQuotaSim(7)
			sim.copied = &Recollection{}
			sim.run(20*time.Second, load*limits.PerSecond, 3000, allConnected)
			sim.restartAll(downtime)
			start := sim.now
			sim.run(window, load*limits.PerSecond, 3000, allConnected)
			require.GreaterOrEqual(t, sim.spentSince(start), least*load*limits.PerSecond*window.Seconds(), "load %v, down %v", load, downtime)
			require.LessOrEqual(t, sim.maxSpentInWindow(), maxAllowedPerWindow())
		}
	}
}

// With a recent copy, the first requests after a failure of all entries must be served too,
// also before the entries have heard of each other.
func TestUsualLoadIsServedAtOnceAfterRestartOfAllEntries(t *testing.T) {
	for _, entries := range []int{7, 17} {
		for _, load := range []float64{0.3, 0.5} {
			sim := newQuotaSim(entries)
			sim.copied = &Recollection{}
			sim.run(20*time.Second, load*limits.PerSecond, 1000, allConnected)
			sim.restartAll(700 * time.Millisecond)
			start := sim.now
			sim.run(300*time.Millisecond, load*limits.PerSecond, 1000, func(int, int) bool { return false })
			require.GreaterOrEqual(t, sim.spentSince(start), 0.85*load*limits.PerSecond*0.3, "alone, load %v, %d entries", load, entries)
			sim.run(time.Second, load*limits.PerSecond, 1000, allConnected)
			require.GreaterOrEqual(t, sim.spentSince(start), 0.95*load*limits.PerSecond*1.3, "load %v, %d entries", load, entries)
		}
	}
}

// What entries that a copy lacks may have spent before it leaves the window with time.
func TestUnknownShareOfCopyFades(t *testing.T) {
	sim := newQuotaSim(7)
	sim.run(20*time.Second, 0.55*limits.PerSecond, 1000, allConnected)
	sim.restartAll(time.Second)
	parts := slices.Repeat([]float64{0.55 * limits.PerSecond}, windowParts)
	for _, e := range sim.entries {
		e.counter.Recall(sim.now, Recollection{Parts: parts, CopiedAt: sim.now - 1700*time.Millisecond, UnknownShare: 0.5})
	}
	sim.run(3*time.Second, 0.55*limits.PerSecond, 1000, allConnected)
	start := sim.now
	sim.run(4*time.Second, 0.55*limits.PerSecond, 1000, allConnected)
	require.GreaterOrEqual(t, sim.spentSince(start), 0.95*0.55*limits.PerSecond*4)
}

// A copy that leaves no room, because much is not known of the time before the restart, must
// not refuse more than no copy at all.
func TestRecalledSpendingRefusesNoMoreThanNone(t *testing.T) {
	spent := func(r *Recollection) float64 {
		sim := newQuotaSim(7)
		sim.run(20*time.Second, 0.8*limits.PerSecond, 3000, allConnected)
		sim.restartAll(time.Second)
		start := sim.now
		if r != nil {
			r.CopiedAt = sim.now - 2500*time.Millisecond
			for _, e := range sim.entries {
				e.counter.Recall(sim.now, *r)
			}
		}
		sim.run(window, 0.8*limits.PerSecond, 3000, allConnected)
		require.LessOrEqual(t, sim.maxSpentInWindow(), (1+allowedOvershoot)*(limits.PerSecond*window.Seconds()+limits.Burst))
		return sim.spentSince(start)
	}
	parts := slices.Repeat([]float64{0.8 * limits.PerSecond}, windowParts)
	for _, unknownShare := range []float64{0, 0.3, 1} {
		require.GreaterOrEqual(t, spent(&Recollection{Parts: parts, UnknownShare: unknownShare}), 0.98*spent(nil), "unknown share %v", unknownShare)
	}
}

// Copies of the spending are up to copyInterval old. Whatever was spent since, the quota
// holds, also if all entries fail again and again.
func TestQuotaHoldsAcrossRestartsWithCopies(t *testing.T) {
	for seed := range uint64(150) {
		sim := newQuotaSim(2 + int(seed%8))
		sim.rng = rand.New(rand.NewPCG(seed, 7))
		sim.copied = &Recollection{}
		loads := []float64{0.2, 0.6, 1, 2, 6}
		for range 6 {
			for range 3 {
				load := loads[sim.rng.IntN(len(loads))]
				sim.run(time.Duration(200+sim.rng.IntN(4000))*time.Millisecond/10*10, load*limits.PerSecond, 3000, allConnected)
			}
			sim.restartAll(time.Duration(20+sim.rng.IntN(300)) * tick)
		}
		sim.run(10*time.Second, 2*limits.PerSecond, 3000, allConnected)
		require.LessOrEqual(t, sim.maxSpentInWindow(), (1+allowedOvershoot)*(limits.PerSecond*window.Seconds()+limits.Burst), "seed %d", seed)
	}
}

// The entry that keeps running reports the earlier spending of all entries.
func TestQuotaHoldsAcrossRestartOfAllEntriesButOne(t *testing.T) {
	for _, at := range []time.Duration{2, 4, 6, 8, 10} {
		sim := newQuotaSim(7)
		sim.run(12*time.Second, 0.2*limits.PerSecond, 3000, allConnected)
		sim.run(at*time.Second, 6*limits.PerSecond, 3000, allConnected)
		sim.now += 500 * time.Millisecond
		for i := range len(sim.entries) - 1 {
			sim.restart(i)
		}
		sim.run(12*time.Second, 6*limits.PerSecond, 3000, allConnected)
		require.LessOrEqual(t, sim.maxSpentInWindow(), maxAllowedPerWindow(), "restart after %d s", at)
	}
}

// What others spent before an entry lost its connections, or reports before it counts them as
// reachable, must not use up this entry's share of the quota.
func TestEntryAloneMaySpendItsShare(t *testing.T) {
	for _, load := range []float64{0.3, 0.55} {
		sim := newQuotaSim(7)
		sim.run(20*time.Second, load*limits.PerSecond, 1000, allConnected)
		start := sim.now
		sim.calledEntries = 1
		sim.run(6*time.Second, load*limits.PerSecond/7, 1000, func(a, b int) bool { return a != 0 && b != 0 })
		require.GreaterOrEqual(t, sim.spentSince(start), 0.95*6*load*limits.PerSecond/7, "load %v", load)
	}
}

func TestQuotaHoldsWhenAllEntriesAreAlone(t *testing.T) {
	for _, load := range []float64{0.5, 1, 6} {
		sim := newQuotaSim(7)
		sim.run(12*time.Second, load*limits.PerSecond, 3000, allConnected)
		for range 4 {
			sim.run(5*time.Second, 6*limits.PerSecond, 3000, func(int, int) bool { return false })
			sim.run(3*time.Second, load*limits.PerSecond, 3000, allConnected)
		}
		require.LessOrEqual(t, sim.maxSpentInWindow(), (1+allowedOvershoot)*(limits.PerSecond*window.Seconds()+limits.Burst), "load %v", load)
	}
}

// Entries that start without a connection to each other count each other's
// earlier spending once they connect.
func TestSpendingBeforeFirstReportIsCounted(t *testing.T) {
	sim := newQuotaSim(3)
	for i := range sim.entries {
		sim.restart(i)
	}
	noneConnected := func(int, int) bool { return false }
	sim.run(20*time.Second, 6*limits.PerSecond, 3000, noneConnected)
	sim.run(10*time.Second, 6*limits.PerSecond, 3000, allConnected)
	require.LessOrEqual(t, sim.maxSpentInWindow(), maxAllowedPerWindow())
}

// An organisation that sends more than its quota for long gets most of it, although reports
// take long: what leaves the window makes room at once.
func TestLastingOverloadGetsMostOfTheQuota(t *testing.T) {
	sim := newQuotaSim(17)
	sim.maxHubDelay, sim.silenceTimeout = 400*time.Millisecond, time.Second
	sim.run(12*time.Second, 2.2*limits.PerSecond, 3000, allConnected)
	start := sim.now
	sim.run(4*window, 2.2*limits.PerSecond, 3000, allConnected)
	limit := limits.PerSecond*window.Seconds() + limits.Burst
	require.GreaterOrEqual(t, sim.spentSince(start), 0.9*4*limit)
	require.LessOrEqual(t, sim.maxSpentInWindow(), (1+allowedOvershoot)*limit)
}

// Bursts that reach several entries at one instant could each spend the same free
// quota, since the reports of the other entries have not arrived.
func TestQuotaHoldsUnderSimultaneousBursts(t *testing.T) {
	previousLimits := limits
	limits = Limits{PerSecond: 1500, Burst: 1500, Window: window}
	defer func() { limits = previousLimits }()
	const calls, cost = 40, 100
	for seed := range uint64(120) {
		sim := newQuotaSim([]int{3, 5, 7, 9}[seed%4])
		sim.rng = rand.New(rand.NewPCG(seed, 3))
		for range 60 {
			sim.run(time.Duration(sim.rng.IntN(2500))*time.Millisecond, 0, cost, allConnected)
			for range calls {
				sim.offer(cost)
			}
		}
		limit := limits.PerSecond*window.Seconds() + limits.Burst
		require.LessOrEqual(t, sim.maxSpentInWindow(), (1+allowedOvershoot)*limit, "seed %d", seed)
		require.GreaterOrEqual(t, sim.maxSpentInWindow(), 0.9*limit, "the quota can be used")
	}
}

// Callers keep their connections, so all requests of an organisation may reach
// one entry. That entry must not be limited to a fraction of the quota.
func TestOneEntryMaySpendWholeQuota(t *testing.T) {
	const load = 0.7
	sim := newQuotaSim(7)
	sim.calledEntries = 1
	sim.run(20*time.Second, load*limits.PerSecond, 3000, allConnected)
	requested := 20 * load * limits.PerSecond / 3000
	require.InDelta(t, requested, len(sim.spent), 0.01*requested)
}

// Callers of a large organisation may keep their connections to few entries of a large site,
// whose reports take long. Within its quota it is served, whichever entries they come to.
func TestQuotaIsUsableWhereverRequestsCome(t *testing.T) {
	defer setLimits(Limits{PerSecond: 87_000, Burst: 87_000, Window: window, Slack: allowedSlack})()
	for _, entries := range []int{1, 2, 4, 17} {
		for load, least := range map[float64]float64{0.55: 0.999, 0.8: 0.999, 0.9: 0.99} {
			sim := newQuotaSim(17)
			sim.maxHubDelay, sim.silenceTimeout = 400*time.Millisecond, time.Second
			sim.calledEntries = entries
			start := sim.now
			sim.run(40*time.Second, load*limits.PerSecond, 4000, allConnected)
			requested := 40 * load * limits.PerSecond
			require.GreaterOrEqual(t, sim.spentSince(start), least*requested-4000, "load %v at %d entries", load, entries)
		}
	}
}

// setLimits sets the limits of a test and returns a function that resets them.
func setLimits(l Limits) (reset func()) {
	previous := limits
	limits = l
	return func() { limits = previous }
}

// The slack that the users allow may be used while reports are on their way, and no more of
// it, whatever meets: bursts at all entries beside a steady load at one, a partition whose
// entries are deregistered, failures of all entries.
func TestQuotaHoldsWithSlack(t *testing.T) {
	const cost = 5000
	seeds := uint64(45)
	if testing.Short() {
		seeds = 15
	}
	for seed := range seeds {
		rate := []float64{29_000, 87_000, 455_000}[seed%3]
		reset := setLimits(Limits{PerSecond: rate, Burst: rate, Window: window, Slack: allowedSlack})
		sim := newQuotaSim(17)
		sim.rng = rand.New(rand.NewPCG(seed, 5))
		sim.maxHubDelay, sim.silenceTimeout, sim.copied = 400*time.Millisecond, time.Second, &Recollection{}
		isConnected := allConnected
		for range 12 {
			sim.calledEntries = []int{0, 1}[sim.rng.IntN(2)]
			sim.run(time.Duration(1+sim.rng.IntN(5))*time.Second, []float64{0.5, 0.9, 3}[sim.rng.IntN(3)]*rate, cost, isConnected)
			sim.calledEntries = 0
			switch sim.rng.IntN(4) {
			case 0:
				sim.restartAll(time.Duration(20+sim.rng.IntN(200)) * tick)
			case 1:
				isConnected = func(a, b int) bool { return (a < 5) == (b < 5) }
			case 2:
				isConnected = allConnected
			default:
				for sent := 0.0; sent < 2*rate; sent += cost {
					sim.offer(cost)
				}
			}
		}
		require.LessOrEqual(t, sim.maxSpentInWindow(), maxAllowedPerWindow(), "seed %d, %v a second", seed, rate)
		reset()
	}
}

// An entry that restarts while others run takes over their earlier spending from
// the reports once. Counting it twice would refuse requests within the quota.
func TestRestartedEntryDoesNotDoubleCountOthers(t *testing.T) {
	sim := newQuotaSim(3)
	sim.run(60*time.Second, 0.7*limits.PerSecond, 3000, allConnected)
	before := len(sim.spent)
	sim.restart(0)
	sim.run(10*time.Second, 0.7*limits.PerSecond, 3000, allConnected)
	requested := 10 * 0.7 * limits.PerSecond / 3000
	require.InDelta(t, requested, len(sim.spent)-before, 0.02*requested)
}

func TestRequestAboveBurstPassesWhenBucketIsEmpty(t *testing.T) {
	c := NewCounter(window, time.Hour)
	l := Limits{PerSecond: 1000, Burst: 1000, Window: window}
	site := Site{Entries: 1, Reachable: 1}
	require.False(t, c.Spend(time.Hour, l, site, 5000).Allowed, "the spending before the start is unknown")
	require.True(t, c.Spend(time.Hour+window, l, site, 5000).Allowed)
	decision := c.Spend(time.Hour+window, l, site, 5000)
	require.False(t, decision.Allowed)
	require.Greater(t, decision.RetryAfter, time.Second)
}

func TestRetriesStayWithinSiteBudget(t *testing.T) {
	limits := RetryLimits{Ratio: 0.2, Slack: 54, Span: 10 * time.Second}
	var entries []*RetryBudget
	for range 7 {
		entries = append(entries, NewRetryBudget(limits))
	}
	requests, retries := 0, 0
	for now := time.Hour; now < time.Hour+10*time.Second; now += tick {
		for i, e := range entries {
			if int(now/tick)%(i+1) == 0 {
				e.RecordRequest(now)
				requests++
				for e.TryRetry(now, len(entries)) {
					retries++
				}
			}
		}
	}
	require.LessOrEqual(t, float64(retries), limits.Ratio*float64(requests)+limits.Slack)
	require.Positive(t, retries)
}
