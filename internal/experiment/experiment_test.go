package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/route"
)

func TestLoopRunsEventsInTimeOrder(t *testing.T) {
	l := &loop{}
	var order []string
	l.after(2*time.Second, func() { order = append(order, "c") })
	l.after(time.Second, func() {
		order = append(order, "a")
		l.after(0, func() { order = append(order, "b") })
	})
	l.after(time.Hour, func() { order = append(order, "never") })
	l.run(time.Minute)
	require.Equal(t, []string{"a", "b", "c"}, order)
}

func TestEngineSkipsCachedPromptAndReportsLossOnce(t *testing.T) {
	l := &loop{}
	e := newEngine(l, route.Server{ID: "e"}, modelSpec)
	blocks := sharedBlocks(9, 640)
	j := &job{prompt: 640, output: 3, blocks: blocks, cachedAfter: blocks}
	done, lost := 0, 0
	start := func(a *attempt) *attempt {
		a.job, a.prompt = j, j.prompt
		a.onFirstToken, a.onDone, a.onLost = func() {}, func() { done++ }, func() { lost++ }
		e.enqueue(a)
		return a
	}
	cold := start(&attempt{})
	l.run(time.Second)
	warm := start(&attempt{})
	l.run(2 * time.Second)
	require.Equal(t, 2, done)
	require.Equal(t, 640, cold.computed)
	require.Equal(t, 1, warm.computed)
	steps := 4*modelSpec.baseStep + 640*modelSpec.perToken
	require.Equal(t, steps, cold.firstAt, "four chunks of 192 tokens")

	start(&attempt{})
	e.kill()
	start(&attempt{})
	l.run(3 * time.Second)
	require.Equal(t, 2, done)
	require.Equal(t, 2, lost)
}

func TestEveryJobEndsOnceAndRunsAreDeterministic(t *testing.T) {
	cell := Cell{Site: Nilevale, Scenario: Scenario{Name: "zone-loss", ZoneLossAt: warmup + 20*time.Second, Length: warmup + time.Minute}, Policy: RoutePolicy, Seed: 3}
	jobs := cell.Site.generate(cell.Seed, cell.Scenario.Length, 1)
	expected := 0
	for _, j := range jobs {
		if j.at >= warmup && j.service == modelService {
			expected++
		}
	}
	first := Run(cell)
	require.Equal(t, expected, first.Requests)
	require.Equal(t, first, Run(cell), "a run is determined by its cell")
	require.GreaterOrEqual(t, first.ComputedRatio, first.MinComputedRatio)
	require.GreaterOrEqual(t, first.Cost, first.MinCost)
}

func TestReportWritesTableAndPlots(t *testing.T) {
	groups := []Group{
		{Site: "s", Scenario: "calm", Policy: TwoChoices, Runs: []Metrics{{Cost: 2, ComputedRatio: 0.5}, {Cost: 4, ComputedRatio: 0.5}, {Cost: 3, ComputedRatio: 0.5}}},
		{Site: "s", Scenario: "calm", Policy: RoutePolicy, Runs: []Metrics{{Cost: 1, ComputedRatio: 0.1}, {Cost: 1, ComputedRatio: 0.2}, {Cost: 3, ComputedRatio: 0.1}}},
	}
	var out bytes.Buffer
	require.NoError(t, WriteComparison(&out, groups))
	require.Contains(t, out.String(), "0.500 [0.250, 1.000]")
	require.NoError(t, WriteTable(&out, groups))
	require.Contains(t, out.String(), "### s, calm")
	directory := t.TempDir()
	require.NoError(t, WritePlots(directory, groups))
	info, err := os.Stat(filepath.Join(directory, "s-cost.png"))
	require.NoError(t, err)
	require.Positive(t, info.Size())
}
