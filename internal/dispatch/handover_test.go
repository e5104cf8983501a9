package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/request"
	"buckthornpick/internal/telemetry"
)

// runningRequest returns a dispatcher with one repeatable request that the older
// system runs, of whose answer one event has arrived.
func runningRequest(t *testing.T) (*Dispatcher, *execution) {
	d := New(Config{}, Deps{Log: telemetry.Discard(), Registry: metrics.NewRegistry()})
	r := &request.Request{ID: request.NewID("delta", "key"), Organisation: "delta", Repeatable: true}
	e := newExecution(d, request.NewRecord(r, 1<<20), r)
	number, err := e.rec.Dispatch()
	require.NoError(t, err)
	require.NoError(t, e.rec.Append(number, request.Event{Sequence: 1, Data: []byte("x")}))
	e.setCurrent(&attempt{target: backend.Target{ID: "older-system", Class: backend.Older}})
	d.records[r.ID], d.executions[r.ID] = e.rec, e
	return d, e
}

// A caller that learned of the handover first had the new owner run the request anew.
func TestCallersWaitUntilTheTransferOfAStoppedRequestEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, e := runningRequest(t)
		transfers := d.Export(true)
		require.Len(t, transfers, 1)
		require.Len(t, transfers[0].Events, 1)
		require.Error(t, e.rec.Append(1, request.Event{Sequence: 2}), "events after the export would be lost")
		e.recordEnd(nil)
		d.moveToEnded(e)
		d.evict(time.Now())

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		rec, ok := d.Find(e.req.ID)
		require.True(t, ok, "others must find the request here")
		_, err := rec.Cursor(1).Next(ctx)
		require.ErrorIs(t, err, context.DeadlineExceeded)

		d.EndHandover(transfers)
		part, err := rec.Cursor(1).Next(t.Context())
		require.NoError(t, err)
		require.True(t, part.HandedOver)
		_, ok = d.Find(e.req.ID)
		require.False(t, ok)
	})
}
