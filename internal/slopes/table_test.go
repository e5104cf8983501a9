package slopes

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func sampleResults() []Series {
	var r Results
	r.Add("nodes", "traffic", "B/s", "nodes", 1, 5)
	r.Add("nodes", "memory", "B", "nodes", 1, 100)
	r.Add("nodes", "traffic", "B/s", "nodes", 3, 9)
	r.Add("servers", "memory", "B", "servers", 10, 7)
	return r.Series()
}

func TestSeriesKeepOrderAndSeparateScenarios(t *testing.T) {
	series := sampleResults()
	require.Len(t, series, 3)
	require.Equal(t, []Point{{1, 5}, {3, 9}}, series[0].Points)
	require.InDelta(t, 2, series[0].Line.Slope, 1e-9)
	require.Equal(t, "servers", series[2].Scenario)
}

func TestTextShowsCommandOfEachRow(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, WriteText(&out, sampleResults()))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 4)
	require.Regexp(t, `^traffic +B/s +nodes +1:5 3:9 +3 +2 .* buckthornpick-slopes --only nodes$`, lines[1])
	require.Contains(t, lines[3], "--only servers")
}

func TestJSONHoldsTheSeries(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, WriteJSON(&out, sampleResults()))
	var back []Series
	require.NoError(t, json.Unmarshal(out.Bytes(), &back))
	require.Equal(t, sampleResults(), back)
}

func TestUsageIsDifferenceOfSamples(t *testing.T) {
	before := resourceSample{calls: map[string]int64{"txn": 2}, readings: map[string]reading{"entry-a-1": {peer: 10}}}
	after := resourceSample{at: before.at.Add(2e9), cpu: 5, calls: map[string]int64{"txn": 5, "keepalive": 1},
		readings: map[string]reading{"entry-a-1": {peer: 15, store: 3}, "entry-b-1": {peer: 40}}}
	u := before.usageUntil(after)
	require.Equal(t, 2.0, u.seconds)
	require.Equal(t, 4.0, u.writes())
	require.Equal(t, reading{peer: 45, store: 3}, u.total)
	require.Equal(t, 40.0, u.maxPerHost.peer)
	require.Equal(t, 5.0, u.peerBytesAbove(usage{seconds: 1, total: reading{peer: 20}}))
}
