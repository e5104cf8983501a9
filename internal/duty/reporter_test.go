package duty

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/blame"
	"buckthornpick/internal/clock"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/lease"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/usage"
)

const (
	testWindow   = 5 * time.Second
	testLeaseTTL = 3 * time.Second
	// testRate is the number of requests a second of each entry.
	testRate = 20
)

// restorableStore is a store that can go away and come back from a copy.
type restorableStore struct {
	mu sync.Mutex
	state
	generation int64
	isAway     bool
	// hang is how long a call takes to fail while the store is away.
	hang time.Duration
	// callsLeft is the number of calls after which the store goes away; negative is never.
	// isAnswerLost is set if it carries out the last of them and doesn't answer.
	callsLeft    int
	isAnswerLost bool
	wentAway     chan struct{}
}

// state is what a copy holds.
type state struct {
	entries   map[string]kv.Entry
	leases    map[kv.LeaseID]time.Time
	revision  int64
	lastLease kv.LeaseID
}

func newRestorableStore() *restorableStore {
	return &restorableStore{state: state{entries: map[string]kv.Entry{}, leases: map[kv.LeaseID]time.Time{}}, generation: 1, callsLeft: -1}
}

func (s *restorableStore) copyState() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	c := s.state
	c.entries, c.leases = maps.Clone(s.entries), maps.Clone(s.leases)
	return c
}

// goAwayAfter makes the store go away after some more calls, and returns a channel that is
// closed then.
func (s *restorableStore) goAwayAfter(calls int, isAnswerLost bool) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callsLeft, s.isAnswerLost, s.wentAway = calls, isAnswerLost, make(chan struct{})
	if calls == 0 {
		s.goAwayLocked()
	}
	return s.wentAway
}

func (s *restorableStore) goAwayLocked() {
	s.isAway, s.callsLeft = true, -1
	close(s.wentAway)
}

// restore brings the store back from a copy. Its leases run on for a whole TTL, or have
// expired.
func (s *restorableStore) restore(c state, haveLeasesExpired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = c
	s.isAway, s.callsLeft = false, -1
	s.generation++
	for id := range s.leases {
		s.leases[id] = time.Now().Add(testLeaseTTL)
		if haveLeasesExpired {
			s.leases[id] = time.Now()
		}
	}
}

// comeBack ends a time away without a loss.
func (s *restorableStore) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = false
}

func (s *restorableStore) expireLocked() {
	for id, end := range s.leases {
		if time.Now().Before(end) {
			continue
		}
		delete(s.leases, id)
		maps.DeleteFunc(s.entries, func(_ string, e kv.Entry) bool { return e.Lease == id })
	}
}

// storeClient is one process's client of a restorableStore.
type storeClient struct {
	kv.Store   // calls that are not implemented panic
	store      *restorableStore
	generation atomic.Int64
}

func (c *storeClient) Generation() int64 { return c.generation.Load() }

// call carries f out unless the store is away.
func (c *storeClient) call(isWrite bool, f func(*restorableStore)) error {
	time.Sleep(2 * time.Millisecond)
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isAway {
		hang := s.hang
		s.mu.Unlock()
		time.Sleep(hang)
		s.mu.Lock()
		return fault.New(fault.Unavailable, "test.call", "store", "away")
	}
	s.expireLocked()
	f(s)
	if s.callsLeft > 0 {
		if s.callsLeft--; s.callsLeft == 0 {
			s.goAwayLocked()
			if s.isAnswerLost {
				kind := fault.Unavailable
				if isWrite {
					kind = fault.Ambiguous
				}
				return fault.New(kind, "test.call", "store", "the answer is lost")
			}
		}
	}
	c.generation.Store(s.generation)
	return nil
}

func (c *storeClient) Get(_ context.Context, key string) (entry kv.Entry, found bool, err error) {
	err = c.call(false, func(s *restorableStore) { entry, found = s.entries[key] })
	return entry, found && err == nil, err
}

func (c *storeClient) List(_ context.Context, prefix string) (snapshot kv.Snapshot, err error) {
	err = c.call(false, func(s *restorableStore) {
		snapshot = kv.Snapshot{Revision: s.revision, Generation: s.generation}
		for key, entry := range s.entries {
			if strings.HasPrefix(key, prefix) {
				snapshot.Entries = append(snapshot.Entries, entry)
			}
		}
	})
	return snapshot, err
}

func (c *storeClient) Txn(_ context.Context, guards []kv.Compare, ops []kv.Op) (result kv.TxnResult, err error) {
	err = c.call(true, func(s *restorableStore) {
		for _, g := range guards {
			if s.entries[g.Key].ModRevision != g.ModRevision {
				return
			}
		}
		s.revision++
		for _, op := range ops {
			if op.Delete {
				delete(s.entries, op.Key)
				continue
			}
			s.entries[op.Key] = kv.Entry{Key: op.Key, Value: op.Value, ModRevision: s.revision, Lease: op.Lease}
		}
		result = kv.TxnResult{Succeeded: true, Revision: s.revision}
	})
	return result, err
}

func (c *storeClient) Grant(_ context.Context, ttl time.Duration) (id kv.LeaseID, err error) {
	err = c.call(true, func(s *restorableStore) {
		s.lastLease++
		id = s.lastLease
		s.leases[id] = time.Now().Add(ttl)
	})
	return id, err
}

func (c *storeClient) KeepAlive(_ context.Context, id kv.LeaseID) error {
	isKnown := false
	err := c.call(true, func(s *restorableStore) {
		if _, isKnown = s.leases[id]; isKnown {
			s.leases[id] = time.Now().Add(testLeaseTTL)
		}
	})
	if err == nil && !isKnown {
		err = fault.New(fault.Conflict, "test.keep-alive", "store", "the lease has expired")
	}
	return err
}

func (c *storeClient) Revoke(_ context.Context, id kv.LeaseID) error {
	return c.call(true, func(s *restorableStore) {
		if _, ok := s.leases[id]; ok {
			s.leases[id] = time.Now()
			s.expireLocked()
		}
	})
}

// fencedCloud accepts usage reports whose tokens do not fall.
type fencedCloud struct {
	mu      sync.Mutex
	token   int64
	reports map[int64][]map[string]int
}

func (c *fencedCloud) ReportUsage(_ context.Context, token, window int64, counts map[string]int) error {
	time.Sleep(2 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if token < c.token {
		return fault.New(fault.Conflict, "test.report", "cloud", "a later holder has called")
	}
	c.token = token
	c.reports[window] = append(c.reports[window], counts)
	return nil
}

func (c *fencedCloud) OrderServers(context.Context, int64, ServerOrder) error { return nil }

// requireUnchanged fails unless all reports of a window have the same counts.
func (c *fencedCloud) requireUnchanged(t require.TestingT) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for window, reports := range c.reports {
		for _, counts := range reports[1:] {
			if !reflect.DeepEqual(reports[0], counts) {
				require.Fail(t, "reports of a window differ", "window %d: %v, then %v", window, reports[0], counts)
			}
		}
	}
}

// reporterSite is a site whose entries report usage to one cloud.
type reporterSite struct {
	store   *restorableStore
	cloud   *fencedCloud
	starts  int
	entries map[string]*reporterEntry
}

// reporterEntry is one process.
type reporterEntry struct {
	runID   string
	counts  *usage.Counts
	crashes *blame.Tracker
	lease   *lease.Lease
	kill    func()
}

func withReporterSite(t *testing.T, f func(*testing.T, *reporterSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &reporterSite{
			store: newRestorableStore(), cloud: &fencedCloud{reports: map[int64][]map[string]int{}}, entries: map[string]*reporterEntry{},
		}
		defer s.killAll()
		f(t, s)
	})
}

// start starts an entry, which counts requests and hears of the others' counts.
func (s *reporterSite) start(id string) {
	s.starts++
	ctx, cancel := context.WithCancel(context.Background())
	store := &storeClient{store: s.store}
	e := &reporterEntry{runID: fmt.Sprint(id, "/", s.starts), crashes: blame.New(clock.Virtual, telemetry.Discard())}
	e.counts = usage.NewCounts(e.runID, testWindow, clock.NewWall(clock.Virtual, time.Now))
	e.lease = lease.New(lease.Config{
		Key: "duty", Holder: id, TTL: testLeaseTTL, ClockMargin: 300 * time.Millisecond, StandbyInterval: 300 * time.Millisecond,
	}, store, telemetry.Discard())
	reporter := &Reporter{
		Lease: e.lease, Store: store, Cloud: s.cloud, Counts: e.counts, Size: follow.NewSiteSize(clock.Virtual),
		Crashes: e.crashes, Log: testLog(id),
	}
	var g sync.WaitGroup
	g.Go(func() { _ = e.lease.Run(ctx) })
	g.Go(func() { _ = reporter.Run(ctx) })
	g.Go(func() { _ = e.crashes.LoadStored(ctx, store) })
	g.Go(func() {
		for ctx.Err() == nil {
			e.counts.RecordStart("org")
			time.Sleep(time.Second / testRate)
		}
	})
	e.kill = func() { cancel(); g.Wait() }
	s.entries[id] = e
}

// testLog returns a logger that writes if the environment variable REPORTER_LOG is set.
func testLog(id string) *telemetry.Logger {
	if os.Getenv("REPORTER_LOG") == "" {
		return telemetry.Discard()
	}
	return telemetry.NewLogger(os.Stderr, -4, id, "z")
}

func (s *reporterSite) kill(id string) {
	s.entries[id].kill()
	delete(s.entries, id)
}

func (s *reporterSite) killAll() {
	for id := range maps.Clone(s.entries) {
		s.kill(id)
	}
}

// exchange passes the counts of all entries on to all.
func (s *reporterSite) exchange() {
	for _, from := range s.entries {
		for _, to := range s.entries {
			to.counts.Merge(from.runID, from.counts.Local())
		}
	}
}

// run lets time pass, with an exchange of counts each 100 ms.
func (s *reporterSite) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		s.exchange()
		time.Sleep(min(100*time.Millisecond, time.Until(end)))
	}
}

// awaitHolder lets time pass until an entry holds the lease, and returns it.
func (s *reporterSite) awaitHolder() *reporterEntry {
	for {
		for _, e := range s.entries {
			if _, _, err := e.lease.Check(); err == nil {
				return e
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// requireReported fails unless the window has been reported.
func (s *reporterSite) requireReported(t require.TestingT, window int64) {
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	require.NotEmpty(t, s.cloud.reports[window], "window %d is not reported; reported are %v", window, slices.Sorted(maps.Keys(s.cloud.reports)))
}

// Guards against a second report of a window with other counts: a holder that took the duty
// over just before the store went away counted windows anew that an earlier one had
// reported. The store goes away after each of the holder's first calls, answered or not, and
// some time after the takeover. What nobody can have reported then is reported all the same.
func TestUsageIsReportedOnceWhenTheStoreGoesAwayAfterATakeover(t *testing.T) {
	const calls, pauses = 14, 8
	for moment := range 2*calls + pauses {
		if testing.Short() && moment%3 > 0 {
			continue
		}
		for variant := range 8 {
			haveLeasesExpired, isRestoredTwice, isTakenOverLater := variant&1 > 0, variant&2 > 0, variant&4 > 0
			t.Run(fmt.Sprint(moment, haveLeasesExpired, isRestoredTwice, isTakenOverLater), func(t *testing.T) {
				t.Parallel()
				withReporterSite(t, func(t *testing.T, s *reporterSite) {
					s.startAll()
					s.run(2*testWindow - time.Second)
					saved := s.store.copyState()
					s.run(3 * time.Second) // the window in which the copy was made has been reported
					if isTakenOverLater {
						s.run(time.Second) // about when the next window ends
					}
					s.killAll()
					time.Sleep(300 * time.Millisecond)
					s.startAll()
					holder := s.awaitHolder()
					unreported, elapsed := holder.counts.CurrentWindow()
					if elapsed < settleTime/2 {
						unreported--
					}
					for restores := 0; restores == 0 || isRestoredTwice && restores == 1; restores++ {
						s.goAway(moment, calls)
						s.run(700 * time.Millisecond)
						s.store.restore(saved.clone(), haveLeasesExpired)
					}
					if isRestoredTwice || !haveLeasesExpired {
						// The holder need not be the first one again, and no other process knows what
						// it has reported. All of them call the store within half a second.
						unreported = max(unreported, windowAt(time.Now().Add(500*time.Millisecond)))
					}
					s.run(4 * testWindow)
					s.cloud.requireUnchanged(t)
					for window := unreported; window < windowAt(time.Now())-1; window++ {
						s.requireReported(t, window)
					}
				})
			})
		}
	}
}

// goAway lets the store go away at the given moment: after a number of calls, the last of which is
// answered or not, or after a pause.
func (s *reporterSite) goAway(moment, calls int) {
	if moment < 2*calls {
		<-s.store.goAwayAfter(moment%calls, moment >= calls)
		return
	}
	time.Sleep(time.Duration(moment-2*calls) * 50 * time.Millisecond)
	<-s.store.goAwayAfter(0, false)
}

func windowAt(at time.Time) int64 { return int64(time.Duration(at.UnixNano()) / testWindow) }

func (s *reporterSite) startAll() {
	for _, id := range []string{"a", "b", "c"} {
		s.start(id)
	}
}

func (c state) clone() state {
	c.entries, c.leases = maps.Clone(c.entries), maps.Clone(c.leases)
	return c
}

// Guards against a window that nobody has reported and that is lost: the store goes away after a
// takeover, at the moments of the test above, and comes back as it was. Then it tells what was
// reported, so that each window is.
func TestUsageOfAllWindowsIsReportedWhenTheStoreComesBackAsItWas(t *testing.T) {
	const calls, pauses = 14, 8
	for moment := range 2*calls + pauses {
		t.Run(strconv.Itoa(moment), func(t *testing.T) {
			t.Parallel()
			withReporterSite(t, func(t *testing.T, s *reporterSite) {
				first := windowAt(time.Now())
				s.startAll()
				s.run(2*testWindow + 2*time.Second)
				s.killAll()
				s.startAll()
				s.awaitHolder()
				s.goAway(moment, calls)
				s.run(700 * time.Millisecond)
				s.store.comeBack()
				s.run(4 * testWindow)
				s.cloud.requireUnchanged(t)
				for window := first; window < windowAt(time.Now())-1; window++ {
					s.requireReported(t, window)
				}
			})
		})
	}
}

// Guards against evidence of blocked content that a new holder replaces before it has read
// it: the entries start again while the store is away, and the first one that reaches it holds
// the lease before it has read the evidence of the one before.
func TestStoredEvidenceIsReadBeforeItIsReplaced(t *testing.T) {
	for pause := range 20 {
		t.Run(strconv.Itoa(pause), func(t *testing.T) {
			withReporterSite(t, func(t *testing.T, s *reporterSite) {
				content := blame.NewContent(2, nil)
				s.startAll()
				for crash := range 4 {
					for _, e := range s.entries {
						e.crashes.RecordCrash(blame.Crash(crash), 0, content.Keys())
					}
					s.run(time.Second)
				}
				s.killAll()
				<-s.store.goAwayAfter(0, false)
				s.startAll()
				s.run(testLeaseTTL + time.Duration(pause)*50*time.Millisecond)
				s.store.comeBack()
				s.run(2 * testWindow)
				for id, e := range s.entries {
					require.True(t, e.crashes.Judge(&content).IsBlocked, "entry %s", id)
				}
			})
		})
	}
}

// Guards against two reports of a window with different counts in histories of kills, starts
// and restores of the store at random moments. REPORTER_SEED and REPORTER_COUNT choose them.
func TestUsageIsReportedOnceInRandomHistories(t *testing.T) {
	histories := 60
	if testing.Short() {
		histories = 15
	}
	first, count := envInt("REPORTER_SEED", 1), envInt("REPORTER_COUNT", histories)
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			withReporterSite(t, func(t *testing.T, s *reporterSite) {
				s.playHistory(rand.New(rand.NewPCG(uint64(seed), 0)))
				s.cloud.requireUnchanged(t)
			})
		})
	}
}

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// playHistory plays a minute. Copies of the store are made each second.
func (s *reporterSite) playHistory(random *rand.Rand) {
	ids := []string{"a", "b", "c"}
	var copies []state
	stepTo := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); {
			s.run(min(time.Second, time.Until(end)))
			copies = append(copies, s.store.copyState())
		}
	}
	duration := func(most time.Duration) time.Duration { return time.Duration(random.Int64N(int64(most))) }
	for _, id := range ids {
		s.start(id)
	}
	stepTo(6 * time.Second)
	for range 8 {
		var killed []string
		for _, id := range ids {
			if random.IntN(3) == 0 {
				s.kill(id)
				killed = append(killed, id)
			}
		}
		if random.IntN(2) == 0 {
			stepTo(duration(500 * time.Millisecond))
		}
		startAll := func() {
			for _, id := range killed {
				s.start(id)
			}
			killed = nil
		}
		if random.IntN(4) > 0 {
			startAll()
		}
		if len(s.entries) > 0 && random.IntN(2) == 0 {
			s.awaitHolder()
		} else {
			stepTo(duration(4 * time.Second))
		}
		for range random.IntN(3) {
			saved := copies[max(0, len(copies)-1-random.IntN(8))].clone()
			s.store.mu.Lock()
			s.store.hang = duration(time.Second)
			s.store.mu.Unlock()
			away := s.store.goAwayAfter(random.IntN(12), random.IntN(2) == 0)
			if len(s.entries) == 0 {
				startAll()
			}
			<-away
			stepTo(100*time.Millisecond + duration(2500*time.Millisecond))
			if random.IntN(2) == 0 {
				startAll()
			}
			s.store.restore(saved, random.IntN(2) == 0)
			copies = append(copies[:0:0], saved.clone())
			stepTo(duration(1500 * time.Millisecond))
		}
		startAll()
		stepTo(duration(7 * time.Second))
	}
	stepTo(3 * testWindow)
}
