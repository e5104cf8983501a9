package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/request"
	"buckthornpick/internal/telemetry"
)

// timedAnswer returns each part at a given time after the start.
type timedAnswer struct {
	immediateAnswer
	started time.Time
	times   []time.Duration
	parts   []request.Part
}

func (a *timedAnswer) Next(ctx context.Context) (request.Part, error) {
	select {
	case <-time.After(time.Until(a.started.Add(a.times[0]))):
		part := a.parts[0]
		a.times, a.parts = a.times[1:], a.parts[1:]
		return part, nil
	case <-ctx.Done():
		return request.Part{}, ctx.Err()
	}
}

// timedWriter records when keep-alive comments are written.
type timedWriter struct {
	discardWriter
	started  time.Time
	comments []time.Duration
}

func (w *timedWriter) Write(p []byte) (int, error) {
	if strings.HasPrefix(string(p), ":") {
		w.comments = append(w.comments, time.Since(w.started))
	}
	return len(p), nil
}

// TestKeepAliveIntervalRestartsAfterEachWrite checks that a keep-alive comment is
// written one full interval after the previous event or comment, although waits
// share a context.
func TestKeepAliveIntervalRestartsAfterEachWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{KeepAlive: 15 * time.Second}, permanentNode{}, telemetry.Discard(), metrics.NewRegistry())
		event := func(n int) request.Part { return request.Part{Event: &request.Event{Sequence: n, Data: []byte("{}")}} }
		w := &timedWriter{discardWriter: discardWriter{http.Header{}}, started: time.Now()}
		a := &timedAnswer{
			started: w.started,
			times:   []time.Duration{20 * time.Second, 24 * time.Second, 60 * time.Second, 61 * time.Second},
			parts:   []request.Part{event(1), event(2), event(3), {End: &request.End{Outcome: request.Completed}}},
		}
		g.writeStream(w, httptest.NewRequest(http.MethodGet, "/", nil), a)
		require.Equal(t, []time.Duration{39 * time.Second, 54 * time.Second}, w.comments)
	})
}
