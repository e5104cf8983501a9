package load

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"buckthornpick/internal/request"
)

// Latencies are percentiles in milliseconds.
type Latencies struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Counts are the numbers of calls by result.
type Counts struct {
	Sent      int `json:"sent"`
	Accepted  int `json:"accepted"`
	Completed int `json:"completed"`
	// Refused calls ended with the outcome "not-run".
	Refused int `json:"refused"`
	// Lost calls ended without a complete answer, and their outcome is not
	// "not-run".
	Lost int `json:"lost"`
	// Wrong answers have the outcome "completed" but not the expected text.
	Wrong int `json:"wrong"`
	// CutOff counts connections that ended without an outcome.
	CutOff int `json:"cutOff"`
	// Attached counts connections that attached to the answer of a request that an
	// earlier connection had sent.
	Attached int `json:"attached"`
	Tokens   int `json:"tokens"`
}

// Report summarises a run.
type Report struct {
	Workload string        `json:"workload"`
	Took     time.Duration `json:"took"`
	Counts   Counts        `json:"counts"`
	// FirstToken and BetweenTokens are latencies of completed streams.
	// NonStreamed is the latency of completed answers that are not streamed.
	FirstToken    Latencies `json:"firstToken"`
	BetweenTokens Latencies `json:"betweenTokens"`
	NonStreamed   Latencies `json:"whole"`
	// Problems describes the first calls that did not complete correctly.
	Problems []string `json:"problems,omitempty"`
}

const (
	// maxLatency is the greatest value of a histogram, in microseconds.
	maxLatency  = int64(10 * time.Minute / time.Microsecond)
	maxProblems = 5
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, 3) }

// Summarise returns the report of the results.
func Summarise(workload string, took time.Duration, results []Result) Report {
	r := Report{Workload: workload, Took: took}
	first, between, whole := newHistogram(), newHistogram(), newHistogram()
	for i := range results {
		r.count(&results[i])
		if results[i].Outcome != request.Completed {
			continue
		}
		record(&results[i], first, between, whole)
	}
	r.FirstToken, r.BetweenTokens, r.NonStreamed = percentiles(first), percentiles(between), percentiles(whole)
	return r
}

func record(res *Result, first, between, whole *hdrhistogram.Histogram) {
	if !res.Call.Class.Stream {
		_ = whole.RecordValue(res.Total.Microseconds())
		return
	}
	_ = first.RecordValue(res.FirstToken.Microseconds())
	for _, gap := range res.Gaps {
		_ = between.RecordValue(max(gap.Microseconds(), 1))
	}
}

func (r *Report) count(res *Result) {
	c := &r.Counts
	c.Sent++
	c.CutOff += res.CutOff
	c.Attached += res.Attached
	c.Tokens += res.Tokens
	if res.IsAccepted {
		c.Accepted++
	}
	switch {
	case res.Outcome == request.Completed && res.Problem == "":
		c.Completed++
		return
	case res.Outcome == request.Completed:
		c.Wrong++
	case res.Outcome == request.NotRun:
		c.Refused++
	default:
		c.Lost++
	}
	if len(r.Problems) < maxProblems {
		r.Problems = append(r.Problems, fmt.Sprintf("%s %s: %s: %s", res.Call.Class.Name, res.ID, res.Outcome,
			strings.TrimSpace(res.Problem)))
	}
}

func percentiles(h *hdrhistogram.Histogram) Latencies {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latencies{P50: at(50), P95: at(95), P99: at(99)}
}

// Row is an additional row of the table that WriteTable prints.
type Row struct {
	Name  string
	Value string
}

// WriteTable prints the report as a table, followed by additional rows and the
// problems.
func (r Report) WriteTable(w io.Writer, extra ...Row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	c := r.Counts
	row("workload", "%s, %.1f s", r.Workload, r.Took.Seconds())
	row("sent / accepted / completed", "%d / %d / %d", c.Sent, c.Accepted, c.Completed)
	row("refused (not run)", "%d", c.Refused)
	row("lost", "%d", c.Lost)
	row("wrong answers", "%d", c.Wrong)
	row("cut off", "%d", c.CutOff)
	row("answers followed at another entry", "%d", c.Attached)
	latency := func(name string, l Latencies) {
		row(name, "p50 %.1f ms, p95 %.1f ms, p99 %.1f ms", l.P50, l.P95, l.P99)
	}
	latency("first token", r.FirstToken)
	latency("between tokens", r.BetweenTokens)
	latency("whole answers", r.NonStreamed)
	for _, m := range extra {
		row(m.Name, "%s", m.Value)
	}
	_ = t.Flush()
	for _, p := range r.Problems {
		_, _ = fmt.Fprintln(w, "  problem:", p)
	}
}
