package experiment

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// column is one metric of the table.
type column struct {
	title  string
	metric func(Metrics) float64
}

var columns = []column{
	{"first token p50 ms", func(m Metrics) float64 { return m.FirstP50 }},
	{"first token p95 ms", func(m Metrics) float64 { return m.FirstP95 }},
	{"between tokens p95 ms", func(m Metrics) float64 { return m.BetweenP95 }},
	{"within target", func(m Metrics) float64 { return m.WithinTarget }},
	{"refused", func(m Metrics) float64 { return float64(m.Refused) }},
	{"failed", func(m Metrics) float64 { return float64(m.Failed) }},
	{"computed per prompt token", func(m Metrics) float64 { return m.ComputedRatio }},
	{"cost per 1,000", func(m Metrics) float64 { return m.Cost }},
	{"goodput per s", func(m Metrics) float64 { return m.Goodput }},
	{"small p95 ms", func(m Metrics) float64 { return m.SmallFirstP95 }},
	{"small within", func(m Metrics) float64 { return m.SmallWithinTarget }},
	{"plain within", func(m Metrics) float64 { return m.PlainWithinTarget }},
}

func computedRatioOf(m Metrics) float64 { return m.ComputedRatio }
func costOf(m Metrics) float64          { return m.Cost }

// WriteTable writes one Markdown table per site and scenario with the median,
// least and greatest value over the seeds, followed by the lower bounds.
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
		g.Spread(func(m Metrics) float64 { return m.MinComputedRatio }),
		g.Spread(func(m Metrics) float64 { return m.MinCost }))
}

// WriteComparison writes a Markdown table that compares each policy of package
// route with the best baseline and with the lower bounds: the ratio is computed
// per seed, and the table holds the spread over the seeds.
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
		quickest := bestPerSeed(groups, g, func(m Metrics) float64 { return m.FirstP95 }, isLoadAware)
		fmt.Fprintf(&text, "| %s, %s | %s | %s | %s | %s | %s | %s |\n", g.Site, g.Scenario, g.Policy,
			ratioSpread(g, costOf, func(i int) float64 { return cheapest[i] }),
			ratioSpread(g, costOf, func(i int) float64 { return g.Runs[i].MinCost }),
			ratioSpread(g, computedRatioOf, func(i int) float64 { return fewest[i] }),
			ratioSpread(g, computedRatioOf, func(i int) float64 { return g.Runs[i].MinComputedRatio }),
			ratioSpread(g, func(m Metrics) float64 { return m.FirstP95 }, func(i int) float64 { return quickest[i] }))
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func isLoadAware(policy string) bool { return policy == LeastLoad || policy == TwoChoices }

// bestPerSeed returns, for each seed, the least value among the policies that
// match, for the same site and scenario as of.
func bestPerSeed(groups []Group, of Group, value func(Metrics) float64, match func(string) bool) []float64 {
	least := make([]float64, len(of.Runs))
	for i := range least {
		least[i] = math.Inf(1)
	}
	for _, g := range groups {
		if g.Site != of.Site || g.Scenario != of.Scenario || !match(g.Policy) {
			continue
		}
		for i, m := range g.Runs {
			least[i] = min(least[i], value(m))
		}
	}
	return least
}

func ratioSpread(g Group, value func(Metrics) float64, reference func(i int) float64) Spread {
	quotients := Group{Runs: make([]Metrics, len(g.Runs))}
	for i, m := range g.Runs {
		quotients.Runs[i].Cost = value(m) / reference(i)
	}
	return quotients.Spread(costOf)
}
