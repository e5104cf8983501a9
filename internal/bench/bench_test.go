package bench

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/request"
)

func TestReadEventsChecksSequenceAndEnd(t *testing.T) {
	const first, second = "id: 1\ndata: {}\n\n", "id: 2\ndata: {}\n\n"
	for _, tc := range []struct {
		name, body string
		events     int
		err        error
	}{
		{"whole", first + second + "data: [DONE]\n\n", 2, nil},
		{"cut off", first + second, 2, io.EOF},
		{"gap", second + "data: [DONE]\n\n", 0, errSequence},
		{"repeat", first + first, 1, errSequence},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s sample
			require.ErrorIs(t, s.readEvents(bufio.NewReader(strings.NewReader(tc.body))), tc.err)
			require.Len(t, s.received, tc.events)
		})
	}
}

func TestSummaryPairsReceiptsWithGeneration(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	rec := newRecorder()
	rec.observe("good", 0, at(3))
	rec.observe("good", 1, at(10))
	rec.observe("good", 2, at(20))
	rec.observe("twice", 0, at(3))
	rec.observe("twice", 0, at(4))
	p := Phase{Seconds: 2}
	p.summarise([]sample{
		{request: "good", sent: at(0), received: []time.Time{at(12), at(26)}},
		{request: "twice", sent: at(0), received: []time.Time{at(12)}},
		{request: "unheard", sent: at(0), received: []time.Time{at(12)}},
		{request: "failed", err: errStatus},
	}, rec)
	require.Equal(t, 1, p.Failed)
	require.Equal(t, 2, p.Unpaired)
	require.InDelta(t, 2, p.Throughput, 1e-9)
	require.InEpsilon(t, 5.0, p.FirstToken.P50, 0.01) // 3 to the engine, 2 back
	require.InEpsilon(t, 2.0, p.Token.P50, 0.01)
	require.InEpsilon(t, 6.0, p.Token.P99, 0.01)
}

func TestRelayKeysBelongToAnotherEntry(t *testing.T) {
	b, err := start(t.Context(), 1)
	require.NoError(t, err)
	defer b.close()
	moved := b.withKeysOwnedElsewhere(calls(1, 37, time.Second))
	require.NotEmpty(t, moved)
	self := b.site.Entries()[0]
	for _, c := range moved {
		owner, ok := self.Node.Members().Table().Owner(request.NewID(organisation, c.Key).Partition())
		require.True(t, ok)
		require.NotEqual(t, self.ID, owner.ID)
	}
	p := runPhase(t.Context(), PhaseRelay, moved[:1], b.toEntry(), b.client, b.rec)
	require.Zero(t, p.Failed, p.Problem)
	require.Zero(t, p.Unpaired)
}
