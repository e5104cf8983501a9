package devsite

import (
	"errors"
	"fmt"

	"buckthornpick/internal/load"
	"buckthornpick/internal/standin/site"
)

// siteCounts holds the totals counted by the stand-ins: requests that ran more
// than once although they must not, tokens, and the cost of the VMs.
type siteCounts struct {
	doubled    int
	prompt     int
	computed   int
	generated  int
	serverCost float64
}

// countExecutions sums up the records of all backend servers. A request counts as
// doubled if it must run at most once and more than one execution started.
func countExecutions(s *site.Site) siteCounts {
	counts := siteCounts{serverCost: s.Cloud.Cost()}
	runs := map[string]int{}
	for _, sv := range s.Servers() {
		if sv.Plain != nil {
			for request, n := range sv.Plain.Exports() {
				runs[request] += n
			}
			continue
		}
		for _, e := range sv.Engine.Executions() {
			counts.prompt += e.Prompt
			counts.computed += e.Recomputed
			counts.generated += e.Generated
			if e.CountsAsRun() {
				runs[e.Request]++
			}
		}
	}
	for _, n := range runs {
		if n > 1 {
			counts.doubled++
		}
	}
	return counts
}

func (c siteCounts) rows(p Profile, r load.Report) []load.Row {
	return []load.Row{
		{Name: "doubled", Value: fmt.Sprint(c.doubled)},
		{Name: "target", Value: fmt.Sprintf("first token p95 %.0f ms, between tokens p95 %.0f ms: %s",
			target.FirstTokenMillis, target.BetweenTokensMillis, targetStatus(r))},
		{Name: "prompt tokens", Value: fmt.Sprintf("%d, of which %d computed (%.0f%% found cached)",
			c.prompt, c.computed, percentage(c.prompt-c.computed, c.prompt))},
		{Name: "generated tokens", Value: fmt.Sprint(c.generated)},
		{Name: "cost of VMs", Value: fmt.Sprintf("%.4f, %.4f per 1,000 completed calls",
			c.serverCost, 1000*c.serverCost/float64(max(r.Counts.Completed, 1)))},
	}
}

// targetStatus reports whether the p95 latencies met the latency target.
func targetStatus(r load.Report) string {
	if r.FirstToken.P95 <= target.FirstTokenMillis && r.BetweenTokens.P95 <= target.BetweenTokensMillis {
		return "held"
	}
	return "missed"
}

func percentage(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

// checkReport returns an error that lists the calls that were lost, answered
// wrongly, cut off or doubled, or nil if there were none.
func checkReport(r load.Report, counts siteCounts) error {
	var errs []error
	check := func(n int, what string) {
		if n > 0 {
			errs = append(errs, fmt.Errorf("%d %s", n, what))
		}
	}
	check(r.Counts.Lost, "calls lost")
	check(r.Counts.Wrong, "calls answered wrongly")
	check(r.Counts.CutOff, "connections cut off")
	check(counts.doubled, "calls doubled")
	return errors.Join(errs...)
}
