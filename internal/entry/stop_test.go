package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/load"
	"buckthornpick/internal/standin/site"
)

// Stops two entries, one after the other, while callers send a mixed workload to all
// entries. Every request must complete on its own connection.
func TestPlannedStopsUnderLoadTruncateNoAnswer(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		w := &load.Workload{
			Name: "stop", RequestsPerSecond: 30, DurationSeconds: 12,
			Callers: []load.CallerSpec{{Organisation: "delta", Key: testKey, Weight: 1}},
			Classes: []load.Class{
				{Name: "review", Weight: 2, Model: testModel, PromptWords: 30, MaxTokens: 120, Stream: true},
				{Name: "rewrite", Weight: 1, Model: testModel, PromptWords: 30, MaxTokens: 60, NonRepeatable: true},
				{Name: "export", Weight: 1, Method: "POST", Path: exportPath, PromptWords: 5, NonRepeatable: true},
			},
		}
		first, second := s.Entries()[0], s.Entries()[4]
		time.AfterFunc(3*time.Second, first.Stop)
		time.AfterFunc(6*time.Second, second.Stop)
		client := &load.Client{HTTP: s.client, Balancer: s.anyReady()}
		results, err := load.Run(s.t.Context(), w, 1, client, nil)
		require.NoError(t, err)
		report := load.Summarise("stop", 0, results)
		require.Greater(t, report.Counts.Sent, 250)
		require.Equal(t, report.Counts.Sent, report.Counts.Completed, "%v", report.Problems)
		require.Zero(t, report.Counts.CutOff)
		require.Zero(t, s.requestsRunTwice())
		for _, e := range []*site.Entry{first, second} {
			<-e.Done()
		}
	})
}

// anyReady returns a balancer that distributes connections over the ready entries in
// turn.
func (s *testSite) anyReady() load.Balancer {
	return func(call, attempt int) string {
		entries := s.Entries()
		for i := range entries {
			if e := entries[(call+attempt+i)%len(entries)]; e.Node.Ready() == nil {
				return e.URL
			}
		}
		return entries[0].URL
	}
}
