package relay

import (
	"testing"
	"testing/synctest"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/membudget"
	"buckthornpick/internal/telemetry"
)

// Events that arrive in part take memory of the budget, and end for want of it.
func TestPartialEventsAreInTheMemoryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const capacity = 8 << 20
		budget := membudget.New(capacity, telemetry.Discard(), metrics.NewRegistry())
		chunk := make([]byte, streamReadSize)
		small := eventBuffer{memory: budget.Open(membudget.Answers, "c", nil)}
		require.True(t, small.append(t.Context(), chunk))
		require.Zero(t, budget.Used(), "an event of ordinary size is not counted")

		var buffers []*eventBuffer
		arrived := 0
		for isFull := false; !isFull; {
			b := &eventBuffer{memory: budget.Open(membudget.Answers, "c", nil)}
			buffers = append(buffers, b)
			for len(b.data) < maxEventBytes && !isFull {
				isFull = !b.append(t.Context(), chunk)
			}
			arrived += cap(b.data)
			require.LessOrEqual(t, budget.Used(), int64(capacity))
			require.LessOrEqual(t, arrived, capacity, "what is held is reserved")
		}
		for _, b := range buffers {
			b.memory.Close()
		}
		small.memory.Close()
		require.Zero(t, budget.Used())
	})
}
