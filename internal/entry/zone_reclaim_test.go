package entry_test

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/load"
	"buckthornpick/internal/request"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/site"
)

const (
	defaultRunningRequests = 40
	shortRunningRequests   = 10
)

// runningRequests returns the number of requests to run in the zone; the environment
// variable REQUESTS sets it for measurements.
func runningRequests(t *testing.T) int {
	text := os.Getenv("REQUESTS")
	switch {
	case text == "" && testing.Short():
		return shortRunningRequests
	case text == "":
		return defaultRunningRequests
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

// Reclaims zone c with its entries and engines while its entries hold many running
// requests. Each request must complete, and none may run twice.
func TestReclaimedZoneCompletesItsRunningRequests(t *testing.T) {
	n := runningRequests(t)
	wide := func(o *site.Options) {
		o.Servers[0].Engine.MaxBatch = 2 * n
		o.Servers[0].Engine.MaxWaiting = 2 * n
		o.Servers[0].Engine.KVTokens = 4000 * n
		o.Servers[0].Engine.DecodeTokensPerSecond = func(int) float64 { return 60 }
	}
	withSite(t, wide, func(s *testSite) {
		doc := testDocument()
		doc.Services[0].MaxConcurrentPerServer = n
		_, err := s.Propose(s.t.Context(), s.Entries()[0], doc, 1, "wide")
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		results := s.reclaimZoneUnderLoad(n)
		report := load.Summarise("wave", 0, results)
		t.Logf("requests %d: completed %d, lost %d, wrong %d, truncated %d, attached at another entry %d",
			n, report.Counts.Completed, report.Counts.Lost, report.Counts.Wrong, report.Counts.CutOff, report.Counts.Attached)
		t.Logf("moves %d, resumes %d, computed prompt tokens %d of %d, between tokens p99 %.0f ms",
			s.counter("dispatch_moves_total"), s.counter("dispatch_resumes_total"), s.computedPromptTokens(), s.promptTokens(), report.BetweenTokens.P99)
		require.Equal(t, n, report.Counts.Completed, "%v", report.Problems)
		require.Zero(t, report.Counts.CutOff)
		require.Zero(t, s.requestsRunTwice())
	})
}

// reclaimZoneUnderLoad starts n requests at the entries of zone c, reclaims the zone and
// returns the results of the requests.
func (s *testSite) reclaimZoneUnderLoad(n int) []load.Result {
	const answerTokens = 500
	class := &load.Class{Name: "review", Model: testModel, MaxTokens: answerTokens, Stream: true}
	caller := &load.CallerSpec{Organisation: "delta", Key: testKey}
	client := &load.Client{HTTP: s.client, Balancer: s.zoneFirst("c")}
	results := make([]load.Result, n)
	var work sync.WaitGroup
	for i := range n {
		work.Go(func() {
			body := chatBody(fmt.Sprintf("check shop %d", i), answerTokens, true)
			results[i] = client.Do(s.t.Context(), load.Call{Number: i, Class: class, Caller: caller,
				Key: fmt.Sprintf("wave-%d", i), Body: body})
		})
	}
	time.Sleep(3 * time.Second)
	s.Cloud.ReclaimZone("c", 5*time.Second)
	work.Wait()
	return results
}

// zoneFirst returns a balancer that sends the first attempt of a call to an entry of the
// zone and later attempts to any ready entry.
func (s *testSite) zoneFirst(zone string) load.Balancer {
	var inZone []*site.Entry
	for _, e := range s.Entries() {
		if e.Zone == zone {
			inZone = append(inZone, e)
		}
	}
	elsewhere := s.anyReady()
	return func(call, attempt int) string {
		if attempt == 0 {
			return inZone[call%len(inZone)].URL
		}
		return elsewhere(call, attempt)
	}
}

// counter returns the sum of a counter metric over all entries.
func (s *testSite) counter(name string) int64 {
	var sum int64
	for _, e := range s.Entries() {
		if c, ok := e.Registry.Get(name).(metrics.Counter); ok {
			sum += c.Count()
		}
	}
	return sum
}

// executions returns the executions of all engines.
func (s *testSite) executions() []engine.Execution {
	var out []engine.Execution
	for _, sv := range s.Servers() {
		if sv.Engine != nil {
			out = append(out, sv.Engine.Executions()...)
		}
	}
	return out
}

// computedPromptTokens returns the prompt tokens computed by all executions.
func (s *testSite) computedPromptTokens() int {
	n := 0
	for _, e := range s.executions() {
		n += e.Recomputed
	}
	return n
}

// promptTokens returns the prompt tokens of all executions.
func (s *testSite) promptTokens() int {
	n := 0
	for _, e := range s.executions() {
		n += e.Prompt
	}
	return n
}

// requestsRunTwice counts the requests with more than one run.
func (s *testSite) requestsRunTwice() int {
	runs := map[request.ID]int{}
	for _, e := range s.executions() {
		if e.CountsAsRun() {
			runs[request.ID(e.Request)]++
		}
	}
	n := 0
	for _, r := range runs {
		if r > 1 {
			n++
		}
	}
	return n
}
