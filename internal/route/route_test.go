package route

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/telemetry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testServers(n int) []Server {
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: fmt.Sprintf("engine-%04d", i), Zone: "a", Class: "g1", Price: 2}
	}
	return list
}

func newTestPicker(self string, n int) *Picker {
	p := NewPicker(Config{Self: self, MaxConcurrentPerServer: 8})
	p.SetServers(start, testServers(n))
	return p
}

func TestLeavingAndExcludedServersGetNoWork(t *testing.T) {
	p := newTestPicker("entry", 3)
	list := testServers(3)
	list[0].State = Leaving
	list[1].State = Suspect
	p.SetServers(start, list)
	for range 20 {
		choice, err := p.Pick(Query{Now: start, PromptTokens: 100})
		require.NoError(t, err)
		require.Equal(t, "engine-0002", choice.Server.ID)
	}
	exclude := func(id string) bool { return id == "engine-0002" }
	choice, err := p.Pick(Query{Now: start, Exclude: exclude})
	require.NoError(t, err)
	require.Equal(t, "engine-0001", choice.Server.ID, "a suspect server is selected if no other is left")

	var noServer *NoServerError
	_, err = p.Pick(Query{Now: start, VMClass: "g9"})
	require.ErrorAs(t, err, &noServer)
}

func TestSaturatedWhenAllServersAreFull(t *testing.T) {
	p := newTestPicker("entry", 2)
	for i := range 16 {
		choice, err := p.Pick(Query{Now: start, PromptTokens: 10})
		require.NoError(t, err, "request %d", i)
		p.RecordDispatch(start, choice.Server.ID, Query{PromptTokens: 10})
	}
	var saturated *SaturatedError
	_, err := p.Pick(Query{Now: start, PromptTokens: 10})
	require.ErrorAs(t, err, &saturated)
	require.Positive(t, saturated.RetryAfter)

	p.RecordFinish(start, "engine-0000", Query{}, backend.Usage{}, true)
	choice, err := p.Pick(Query{Now: start, PromptTokens: 10})
	require.NoError(t, err)
	require.Equal(t, "engine-0000", choice.Server.ID)
}

func TestEntriesAgreeOnHomeAndFewContextsMove(t *testing.T) {
	a, b, fewer := newTestPicker("entry-a", 10), newTestPicker("entry-b", 10), newTestPicker("entry-c", 9)
	moved := 0
	const contexts = 500
	for context := uint64(1); context <= contexts; context++ {
		q := Query{Now: start, Context: mix(context), PromptTokens: 2000}
		chosenA, err := a.Pick(q)
		require.NoError(t, err)
		chosenB, err := b.Pick(q)
		require.NoError(t, err)
		require.Equal(t, chosenA.Server.ID, chosenB.Server.ID)
		require.Equal(t, ReasonHome, chosenA.Reason)
		chosenFewer, err := fewer.Pick(q)
		require.NoError(t, err)
		if chosenFewer.Server.ID != chosenA.Server.ID {
			require.Equal(t, "engine-0009", chosenA.Server.ID, "only contexts of the lost server move")
			moved++
		}
	}
	require.Less(t, moved, contexts/4)
}

func TestHotContextSpillsBeyondLoadBound(t *testing.T) {
	p := newTestPicker("entry", 4)
	q := Query{Now: start, Context: 77, PromptTokens: 4000}
	first, err := p.Pick(q)
	require.NoError(t, err)
	load := backend.Load{Running: 60, Waiting: 40, MeasuredAt: start}
	p.ApplyLoadReport(start, first.Server.ID, load)
	second, err := p.Pick(q)
	require.NoError(t, err)
	require.NotEqual(t, first.Server.ID, second.Server.ID)
}

func TestLoadReportIsCorrectedByLaterDispatches(t *testing.T) {
	p := newTestPicker("entry", 1)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	requests := func(now time.Time) float64 {
		n, _ := p.servers["engine-0000"].estimateLoad(now)
		return n
	}
	p.RecordDispatch(at(0), "engine-0000", Query{})
	p.RecordDispatch(at(200), "engine-0000", Query{})
	p.ApplyLoadReport(at(300), "engine-0000", backend.Load{Running: 5, MeasuredAt: at(100)})
	require.Equal(t, 6.0, requests(at(300)), "one dispatch came after the measurement")
	p.ApplyLoadReport(at(350), "engine-0000", backend.Load{Running: 50, MeasuredAt: at(50)})
	require.Equal(t, 6.0, requests(at(350)), "an older report changes nothing")
	p.RecordFinish(at(400), "engine-0000", Query{}, backend.Usage{}, true)
	require.Equal(t, 5.0, requests(at(400)))
	require.Equal(t, 1.0, requests(at(0).Add(maxReportAge*2)), "a stale report is ignored")
}

func TestCacheEventGapInvalidatesEventsButNotDispatches(t *testing.T) {
	p := newTestPicker("entry", 3)
	blocks := []uint64{11, 12, 13, 14}
	q := Query{Now: start, PromptTokens: 4 * defaultBlockTokens, PrefixHashes: blocks}
	expected := func() int {
		choice, err := p.Pick(q)
		require.NoError(t, err)
		return choice.ExpectedCachedTokens
	}
	require.Zero(t, expected())
	p.CacheEvents("engine-0001", 1, 4, blocks, nil, false)
	require.Equal(t, 4*defaultBlockTokens, expected())
	p.CacheEvents("engine-0001", 9, 9, nil, nil, false)
	require.Zero(t, expected(), "events 5 to 8 are missing")

	p.RecordDispatch(start, "engine-0001", q)
	p.CacheEvents("engine-0001", 10, 10, nil, nil, true)
	require.Equal(t, 4*defaultBlockTokens, expected(), "own dispatches are still known")
	p.CacheEvents("engine-0001", 11, 11, nil, blocks[2:], false)
	require.Equal(t, 2*defaultBlockTokens, expected(), "the evicted blocks are gone")
}

func TestLatencyModelLearnsPromptCost(t *testing.T) {
	m := newLatencyModel()
	for i := range 200 {
		f := makeFeatures(float64(i%20)*200, float64(i%7)*300, float64(i%13), 0)
		m.observe(&f, 50+0.4*float64(i%20)*200+0.2*float64(i%7)*300)
	}
	f := makeFeatures(3000, 600, 5, 0)
	require.InDelta(t, 50+1200+120, m.predict(&f), 20)
	require.InDelta(t, 2.5, m.promptRate(), 0.2)
}

// TestPickerProperties checks that, for any order of calls, a picker never
// selects a leaving server and its in-flight counts stay within bounds.
func TestPickerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPicker("entry", 5)
		states := make([]State, 5)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			server := rapid.IntRange(0, 4).Draw(t, "server")
			id := fmt.Sprintf("engine-%04d", server)
			q := Query{Now: now, Context: rapid.Uint64Range(0, 4).Draw(t, "context"), PromptTokens: 500}
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				states[server] = State(rapid.IntRange(0, 2).Draw(t, "state"))
				list := testServers(5)
				for i := range list {
					list[i].State = states[i]
				}
				p.SetServers(now, list)
			case 1:
				p.RecordFinish(now, id, q, backend.Usage{PromptTokens: 500, CachedTokens: 100}, rapid.Bool().Draw(t, "ok"))
			case 2:
				p.ApplyLoadReport(now, id, backend.Load{Running: rapid.IntRange(0, 100).Draw(t, "running"), MeasuredAt: now})
			default:
				checkPick(t, p, q, states)
			}
		}
	})
}

func checkPick(t *rapid.T, p *Picker, q Query, states []State) {
	choice, err := p.Pick(q)
	var noServer *NoServerError
	var saturated *SaturatedError
	if errors.As(err, &noServer) {
		for _, state := range states {
			if state != Leaving {
				t.Fatalf("NoServerError although a server is %s", state)
			}
		}
		return
	}
	if errors.As(err, &saturated) {
		return
	}
	if p.servers[choice.Server.ID].State == Leaving {
		t.Fatalf("chose a leaving server")
	}
	if len(choice.Candidates) == 0 || len(choice.Candidates) > MaxCandidateCosts {
		t.Fatalf("%d candidates", len(choice.Candidates))
	}
	p.RecordDispatch(q.Now, choice.Server.ID, q)
	if own := p.servers[choice.Server.ID].inFlight; own < 1 || own > 8 {
		t.Fatalf("in-flight count %d", own)
	}
}

func TestDecisionLogIsBoundedAndCountsSkippedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := NewDecisionLog(telemetry.NewLogger(&out, slog.LevelInfo, "entry", "a"), 10)
		for range 50 {
			l.Log(Decision{Request: "r", Choice: Choice{Server: Server{ID: "engine-0000"}, Reason: ReasonCost}})
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.NoError(t, l.Run(ctx))
		require.Equal(t, 10, strings.Count(out.String(), EvChosen.Name))
		require.Contains(t, out.String(), `"lines":40`)
	})
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newTestPicker("entry", n)
			for i, s := range testServers(n) {
				p.ApplyLoadReport(start, s.ID, backend.Load{Running: i % 7, Waiting: i % 2, TokensPerSecond: 400, MeasuredAt: start})
			}
			b.ReportAllocs()
			context := uint64(0)
			for b.Loop() {
				context++
				if _, err := p.Pick(Query{Now: start, Context: mix(context % 512), PromptTokens: 1500, MaxTokens: 200}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestLateFirstTokenIsRefusedUnlessServerIsIdle(t *testing.T) {
	p := newTestPicker("entry", 1)
	model := p.servers["engine-0000"].model
	for range 2 * minTrainingObservations {
		f := makeFeatures(1000, 0, 1, 0)
		model.observe(&f, 2000)
	}
	q := Query{Now: start, PromptTokens: 1000, MaxFirstTokenDelay: time.Second}
	_, err := p.Pick(q)
	require.NoError(t, err, "an idle server takes the request and corrects the prediction")
	p.ApplyLoadReport(start, "engine-0000", backend.Load{Running: 10, MeasuredAt: start})
	var saturated *SaturatedError
	_, err = p.Pick(q)
	require.ErrorAs(t, err, &saturated)
	require.True(t, saturated.FirstTokenLate)
	require.Positive(t, saturated.RetryAfter)
	q.MaxFirstTokenDelay = 0
	_, err = p.Pick(q)
	require.NoError(t, err)
}

func TestCapacityOfServersDecidesPlacement(t *testing.T) {
	now := time.Now()
	p := NewPicker(Config{Self: "n1"})
	p.SetServers(now, []Server{{ID: "a"}, {ID: "b"}})
	share := func() (n int) {
		for range 100 {
			c, err := p.Pick(Query{Now: now})
			require.NoError(t, err)
			if c.Server.ID == "a" {
				n++
			}
		}
		return n
	}
	p.ApplyCapacity("a", 3, 0)
	require.Zero(t, share(), "a is slow")
	p.ApplyLoadReport(now, "b", backend.Load{Running: 90, MeasuredAt: now})
	require.Equal(t, 100, share(), "a is slow and less loaded")
	p.ApplyCapacity("a", 0, 0)
	p.ApplyLoadReport(now, "a", backend.Load{Running: 12, MeasuredAt: now})
	p.ApplyLoadReport(now, "b", backend.Load{Running: 16, MeasuredAt: now})
	require.Equal(t, 100, share(), "alike, and a is less loaded")
	p.ApplyCapacity("a", 0, 8)
	require.Zero(t, share(), "a has more than it takes well")
}

func TestCancelledDispatchLeavesNoLoadAndKeepsCachedPrompt(t *testing.T) {
	now := time.Now()
	p := NewPicker(Config{Self: "n1"})
	p.SetServers(now, []Server{{ID: "a"}, {ID: "b"}})
	q := Query{Now: now, Context: 7, PromptTokens: 1000}
	dispatch := func() Choice {
		c, err := p.Pick(q)
		require.NoError(t, err)
		p.RecordDispatch(now, c.Server.ID, q)
		return c
	}
	first := dispatch()
	p.RecordFinish(now, first.Server.ID, q, backend.Usage{PromptTokens: 1000}, true)
	second := dispatch()
	require.Equal(t, first.Server.ID, second.Server.ID)
	p.CancelDispatch(now, q, second)
	third := dispatch()
	require.Equal(t, first.Server.ID, third.Server.ID)
	require.Equal(t, 1000, third.ExpectedCachedTokens)
	require.Zero(t, third.Candidates[0].Requests)
}
