package limit

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"buckthornpick/internal/config"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTestScheduler returns a scheduler whose service "s" has the given number of
// slots and a mean request time of one second.
func newTestScheduler(slots int, cfg Config) *Scheduler {
	s := NewScheduler(cfg)
	s.SetCapacity(start, "s", slots, 1)
	s.service("s").meanTotal = time.Second
	return s
}

// outcomes records decisions in the order in which they were made.
type outcomes struct {
	admitted []string
	refused  map[string]*RejectedError
}

func newOutcomes() *outcomes { return &outcomes{refused: map[string]*RejectedError{}} }

func (o *outcomes) submit(s *Scheduler, now time.Time, name string, req Request) *Waiter {
	req.Service = "s"
	return s.Submit(now, req, func(r *RejectedError) {
		if r != nil {
			o.refused[name] = r
			return
		}
		o.admitted = append(o.admitted, name)
	})
}

func TestOrganisationLimits(t *testing.T) {
	s := newTestScheduler(10, Config{})
	s.Configure([]config.Organisation{
		{Name: "rated", RequestsPerSecond: 2, Burst: 1}, {Name: "bounded", MaxConcurrent: 1},
	}, nil)
	o := newOutcomes()
	o.submit(s, start, "r1", Request{Organisation: "rated"})
	o.submit(s, start, "r2", Request{Organisation: "rated"})
	require.Equal(t, ReasonOrganisationRate, o.refused["r2"].Reason)
	require.InDelta(t, 0.5, o.refused["r2"].RetryAfter.Seconds(), 0.01)
	o.submit(s, start.Add(o.refused["r2"].RetryAfter), "r3", Request{Organisation: "rated"})
	first := o.submit(s, start.Add(time.Second), "b1", Request{Organisation: "bounded"})
	o.submit(s, start.Add(time.Second), "b2", Request{Organisation: "bounded"})
	require.Equal(t, ReasonOrganisationConcurrency, o.refused["b2"].Reason)
	s.Done(start.Add(time.Second), first, Result{OK: true, Total: time.Second})
	o.submit(s, start.Add(time.Second), "b3", Request{Organisation: "bounded"})
	require.Equal(t, []string{"r1", "r3", "b1", "b3"}, o.admitted)
}

func TestPriorityThenFairShare(t *testing.T) {
	s := newTestScheduler(1, Config{})
	o := newOutcomes()
	current := o.submit(s, start, "first", Request{Organisation: "large"})
	var order []*Waiter
	for i := range 4 {
		order = append(order, o.submit(s, start, fmt.Sprintf("large%d", i), Request{Organisation: "large", Cost: 100}))
	}
	order = append(order,
		o.submit(s, start, "small", Request{Organisation: "small", Cost: 100}),
		o.submit(s, start, "low", Request{Organisation: "other", Priority: "low"}),
		o.submit(s, start, "high", Request{Organisation: "large", Priority: "high"}))
	s.Done(start, current, Result{OK: true, Total: time.Second})
	for range 8 {
		for _, w := range order {
			s.Done(start, w, Result{OK: true, Total: time.Second})
		}
	}
	require.Equal(t, []string{"first", "high", "small", "large0", "large1", "large2", "large3", "low"}, o.admitted)
}

func TestUnreachableDeadlineIsRefusedAtOnceWithAccurateRetryAfter(t *testing.T) {
	s := newTestScheduler(2, Config{})
	o := newOutcomes()
	var running []*Waiter
	for i := range 6 {
		running = append(running, o.submit(s, start, fmt.Sprint(i), Request{Deadline: start.Add(10 * time.Second)}))
	}
	o.submit(s, start, "late", Request{Deadline: start.Add(time.Second)})
	require.Equal(t, ReasonDeadlineUnreachable, o.refused["late"].Reason)
	retry := o.refused["late"].RetryAfter
	require.Equal(t, 1500*time.Millisecond, retry, "five wait, two complete per second, one second was allowed")
	o.submit(s, start, "later", Request{Deadline: start.Add(time.Second)})
	require.Equal(t, 2*time.Second, o.refused["later"].RetryAfter, "the next retry time is one completion later")

	now := start
	for i, w := range running {
		if i%2 == 0 {
			now = now.Add(time.Second)
		}
		if !now.After(start.Add(retry)) {
			s.Done(now, w, Result{OK: true, Total: time.Second})
		}
	}
	now = start.Add(retry)
	o.submit(s, now, "again", Request{Deadline: now.Add(2 * time.Second)})
	require.NotContains(t, o.refused, "again")
}

func TestFullQueueProtectsSmallOrganisationsAndPriorities(t *testing.T) {
	s := newTestScheduler(1, Config{MaxQueue: 3, MaxWait: time.Hour})
	o := newOutcomes()
	for i := range 4 {
		o.submit(s, start, fmt.Sprintf("large%d", i), Request{Organisation: "large"})
	}
	o.submit(s, start, "more", Request{Organisation: "large"})
	require.Equal(t, ReasonQueueFull, o.refused["more"].Reason)
	o.submit(s, start, "small", Request{Organisation: "small"})
	require.Equal(t, ReasonDisplaced, o.refused["large3"].Reason)
	o.submit(s, start, "urgent", Request{Organisation: "large", Priority: "high"})
	require.Equal(t, ReasonDisplaced, o.refused["large2"].Reason)
	o.submit(s, start, "low", Request{Organisation: "small", Priority: "low"})
	require.Equal(t, ReasonQueueFull, o.refused["low"].Reason)
	require.Equal(t, 3, s.Queued("s"))
}

func TestZoneLossRefusesWaitersThatCannotMeetTheirDeadline(t *testing.T) {
	s := newTestScheduler(6, Config{})
	o := newOutcomes()
	for i := range 18 {
		o.submit(s, start, fmt.Sprint(i), Request{Deadline: start.Add(4 * time.Second)})
	}
	require.Empty(t, o.refused)
	s.SetCapacity(start, "s", 2, 1)
	require.NotEmpty(t, o.refused)
	require.LessOrEqual(t, s.Queued("s"), 8, "two per second for four seconds")
	s.SetCapacity(start, "s", 0, 1)
	require.Zero(t, s.Queued("s"))
	o.submit(s, start, "none", Request{})
	require.Equal(t, ReasonNoCapacity, o.refused["none"].Reason)
}

func TestRetryBudgetBoundsRetryStorm(t *testing.T) {
	s := newTestScheduler(20, Config{})
	s.Configure(nil, []config.Service{{Name: "s", RetryBudget: 0.1}})
	allowed := 0
	for range 100 {
		if s.AllowRetry("s") {
			allowed++
		}
	}
	require.Equal(t, 20, allowed, "each running request once")
	o := newOutcomes()
	for i := range 20 {
		o.submit(s, start, fmt.Sprint(i), Request{})
	}
	require.True(t, s.AllowRetry("s"))
	require.True(t, s.AllowRetry("s"))
	require.False(t, s.AllowRetry("s"))
}

func TestAdaptiveLimit(t *testing.T) {
	window := func(a *adaptiveLimit, at time.Time, r Result) {
		for range minWindowSamples {
			a.observe(at, r, true)
		}
	}
	for _, target := range []bool{true, false} {
		a := newAdaptiveLimit(100)
		a.hasTarget, a.windowStart = target, start.Add(-minWindow)
		quick := Result{OK: true, FirstToken: 100 * time.Millisecond, Total: time.Second}
		slow := Result{OK: true, FirstToken: time.Second, Total: 10 * time.Second, MissedTarget: true}
		now := start
		step := func(r Result) float64 {
			window(a, now, r)
			now = now.Add(time.Second)
			return a.limit
		}
		require.Equal(t, 100.0, step(quick))
		require.Less(t, step(slow), 100.0)
		low := step(slow)
		require.Greater(t, step(quick), low)
		for range 60 {
			step(slow)
		}
		require.GreaterOrEqual(t, a.limit, minLimitShare*100)
	}
}

func TestAdmitterWaitsExpiresAndCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := NewAdmitter(Config{})
		a.SetCapacity("s", 1, 1)
		first, err := a.Admit(t.Context(), Request{Service: "s"})
		require.NoError(t, err)

		var wg sync.WaitGroup
		started := time.Now()
		wg.Go(func() {
			_, err := a.Admit(t.Context(), Request{Service: "s", Deadline: started.Add(time.Second)})
			var refusal *RejectedError
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, time.Second, time.Since(started))
		})
		ctx, cancel := context.WithCancel(t.Context())
		wg.Go(func() {
			_, err := a.Admit(ctx, Request{Service: "s"})
			require.ErrorIs(t, err, context.Canceled)
		})
		synctest.Wait()
		cancel()
		wg.Go(func() {
			ticket, err := a.Admit(t.Context(), Request{Service: "s"})
			require.NoError(t, err)
			require.Equal(t, 3*time.Second, time.Since(started))
			ticket.Done(Result{OK: true, Total: time.Second})
		})
		time.Sleep(3 * time.Second)
		first.Done(Result{OK: true, Total: 3 * time.Second})
		first.Done(Result{OK: true, Total: 3 * time.Second})
		wg.Wait()
		require.Zero(t, a.scheduler.Running("s"))
		require.Zero(t, a.scheduler.Queued("s"))
	})
}

// TestSchedulerProperties checks that every request gets exactly one decision,
// that organisations count their active requests correctly, and that no request
// waits while a slot is free.
func TestSchedulerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestScheduler(3, Config{MaxQueue: 5})
		now, capacity := start, 3
		decisions := map[*int]int{}
		var waiters []*Waiter
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				capacity = rapid.IntRange(0, 4).Draw(t, "capacity")
				s.SetCapacity(now, "s", capacity, 1)
			case 1, 2:
				if len(waiters) > 0 {
					w := rapid.SampledFrom(waiters).Draw(t, "waiter")
					s.Done(now, w, Result{OK: true, Total: time.Second, FirstToken: 100 * time.Millisecond})
					s.Expire(now, w)
				}
			default:
				id := new(int)
				waiters = append(waiters, s.Submit(now, Request{
					Service:      "s",
					Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Priority:     rapid.SampledFrom([]string{"high", "normal", "low"}).Draw(t, "priority"),
					Cost:         rapid.IntRange(0, 50).Draw(t, "cost"),
				}, func(*RejectedError) { decisions[id]++ }))
			}
			checkScheduler(t, s, decisions, waiters)
		}
	})
}

func checkScheduler(t *rapid.T, s *Scheduler, decisions map[*int]int, waiters []*Waiter) {
	for _, n := range decisions {
		if n != 1 {
			t.Fatalf("decided %d times", n)
		}
	}
	undecided, active := 0, 0
	for _, w := range waiters {
		if w.state == waiting {
			undecided++
		}
		if w.state != ended {
			active++
		}
	}
	if undecided != s.Queued("s") || len(decisions) != len(waiters)-undecided {
		t.Fatalf("%d undecided, %d queued, %d decided", undecided, s.Queued("s"), len(decisions))
	}
	counted := 0
	for _, o := range s.organisations {
		counted += o.active
	}
	if counted != active {
		t.Fatalf("%d active, %d counted", active, counted)
	}
	if s.Queued("s") > 0 && s.service("s").hasFreeSlot() {
		t.Fatalf("%d wait while a slot is free", s.Queued("s"))
	}
}

func TestSheddersShedTheSameContextsAndRecover(t *testing.T) {
	overload := func(s *shedder, from time.Time, bad bool, windows int) {
		for i := range windows {
			for range minShedSamples {
				s.observe(from.Add(time.Duration(i+1)*minShedWindow), bad)
			}
		}
	}
	a, b := &shedder{}, &shedder{}
	overload(a, start, true, 2)
	overload(b, start, true, 4)
	both, onlyB := 0, 0
	for context := uint64(1); context <= 1000; context++ {
		shedA, after := a.isShed(start.Add(5*minShedWindow), context)
		shedB, _ := b.isShed(start.Add(5*minShedWindow), context)
		if shedA {
			require.True(t, shedB, "a deeper overload sheds more contexts, not others")
			require.Positive(t, after)
			both++
		} else if shedB {
			onlyB++
		}
	}
	require.InDelta(t, 1000*a.share, both, 60)
	require.Positive(t, onlyB)
	shed, _ := a.isShed(start.Add(5*minShedWindow), 0)
	require.False(t, shed, "a request without a context is never shed")
	overload(a, start.Add(time.Hour), false, 40)
	require.Zero(t, a.share)
}

func TestShedContextIsAdmittedAfterRetryAfterWithoutOtherTraffic(t *testing.T) {
	s := &shedder{share: maxShedShare, windowStart: start}
	context := uint64(1)
	for hashPosition(context) < 0.1 || hashPosition(context) > 0.5 {
		context++
	}
	now := start.Add(minShedWindow)
	shed, after := s.isShed(now, context)
	require.True(t, shed)
	for range 50 {
		now = now.Add(after)
		if shed, after = s.isShed(now, context); !shed {
			break
		}
	}
	require.False(t, shed)
	require.Less(t, now.Sub(start), 5*time.Minute)
}
