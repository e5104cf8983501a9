package experiment

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// column is one figure of the table.
type column struct {
	title  string
	metric func(Metrics) float64
}

var columns = []column{
	{"first token p50 ms", func(f Metrics) float64 { return f.FirstP50 }},
	{"first token p95 ms", func(f Metrics) float64 { return f.FirstP95 }},
	{"between tokens p95 ms", func(f Metrics) float64 { return f.BetweenP95 }},
	{"within target", func(f Metrics) float64 { return f.WithinTarget }},
	{"refused", func(f Metrics) float64 { return float64(f.Refused) }},
	{"failed", func(f Metrics) float64 { return float64(f.Failed) }},
	{"computed per prompt token", func(f Metrics) float64 { return f.ComputedRatio }},
	{"cost per 1,000", func(f Metrics) float64 { return f.Cost }},
	{"goodput per s", func(f Metrics) float64 { return f.Goodput }},
	{"small p95 ms", func(f Metrics) float64 { return f.SmallFirstP95 }},
	{"small within", func(f Metrics) float64 { return f.SmallWithinTarget }},
	{"plain within", func(f Metrics) float64 { return f.PlainWithinTarget }},
}

func computedRatioOf(f Metrics) float64 { return f.ComputedRatio }
func costOf(f Metrics) float64          { return f.Cost }

// WriteTable writes medians with least and greatest value over the seeds in
// Markdown, one table per site and scenario, bounds last.
func WriteTable(w io.Writer, groups []Group) error {
	var text strings.Builder
	heading := ""
	for i, g := range groups {
		if h := g.Site + ", " + g.Scenario; h != heading {
			heading = h
			writeHeading(&text, h)
		}
		text.WriteString("| " + g.Policy)
		for _, c := range columns {
			fmt.Fprintf(&text, " | %s", g.Spread(c.metric))
		}
		text.WriteString(" |\n")
		if i+1 == len(groups) || groups[i+1].Site+", "+groups[i+1].Scenario != heading {
			writeBounds(&text, g)
		}
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func writeHeading(text *strings.Builder, heading string) {
	fmt.Fprintf(text, "\n### %s\n\n| policy", heading)
	for _, c := range columns {
		text.WriteString(" | " + c.title)
	}
	text.WriteString(" |\n|---" + strings.Repeat("|---:", len(columns)) + "|\n")
}

func writeBounds(text *strings.Builder, g Group) {
	fmt.Fprintf(text, "\nBounds: computed per prompt token %s (infinite shared cache), cost per 1,000 %s (hindsight).\n",
		g.Spread(func(f Metrics) float64 { return f.MinComputedRatio }),
		g.Spread(func(f Metrics) float64 { return f.MinCost }))
}

// WriteGoals writes how each of our policies stands to the baselines and the
// bounds: medians over the seeds of the ratio per seed.
func WriteComparison(w io.Writer, groups []Group) error {
	var text strings.Builder
	text.WriteString("\n| site, scenario | policy | cost / best baseline | cost / bound | computed / best load-aware | computed / bound | p95 ours / best load-aware |\n")
	text.WriteString("|---|---|---:|---:|---:|---:|---:|\n")
	for _, g := range groups {
		if IsBaseline(g.Policy) {
			continue
		}
		cheapest := bestPerSeed(groups, g, costOf, IsBaseline)
		fewest := bestPerSeed(groups, g, computedRatioOf, isLoadAware)
		quickest := bestPerSeed(groups, g, func(f Metrics) float64 { return f.FirstP95 }, isLoadAware)
		fmt.Fprintf(&text, "| %s, %s | %s | %s | %s | %s | %s | %s |\n", g.Site, g.Scenario, g.Policy,
			ratioSpread(g, costOf, func(i int) float64 { return cheapest[i] }),
			ratioSpread(g, costOf, func(i int) float64 { return g.Runs[i].MinCost }),
			ratioSpread(g, computedRatioOf, func(i int) float64 { return fewest[i] }),
			ratioSpread(g, computedRatioOf, func(i int) float64 { return g.Runs[i].MinComputedRatio }),
			ratioSpread(g, func(f Metrics) float64 { return f.FirstP95 }, func(i int) float64 { return quickest[i] }))
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func isLoadAware(policy string) bool { return policy == LeastLoad || policy == TwoChoices }

// best returns per seed the least value among the policies of the same site and
// scenario that match.
func bestPerSeed(groups []Group, of Group, value func(Metrics) float64, match func(string) bool) []float64 {
	least := make([]float64, len(of.Runs))
	for i := range least {
		least[i] = math.Inf(1)
	}
	for _, g := range groups {
		if g.Site != of.Site || g.Scenario != of.Scenario || !match(g.Policy) {
			continue
		}
		for i, f := range g.Runs {
			least[i] = min(least[i], value(f))
		}
	}
	return least
}

func ratioSpread(g Group, value func(Metrics) float64, reference func(i int) float64) Spread {
	quotients := Group{Runs: make([]Metrics, len(g.Runs))}
	for i, f := range g.Runs {
		quotients.Runs[i].Cost = value(f) / reference(i)
	}
	return quotients.Spread(costOf)
}
