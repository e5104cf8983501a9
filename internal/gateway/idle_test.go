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

// timedAnswer delivers steps at their times after the start.
type timedAnswer struct {
	tickingAnswer
	started time.Time
	at      []time.Duration
	steps   []request.Part
}

func (a *timedAnswer) Next(ctx context.Context) (request.Part, error) {
	select {
	case <-time.After(time.Until(a.started.Add(a.at[0]))):
		step := a.steps[0]
		a.at, a.steps = a.at[1:], a.steps[1:]
		return step, nil
	case <-ctx.Done():
		return request.Part{}, ctx.Err()
	}
}

// timedWriter notes when keep-alive comments are written.
type timedWriter struct {
	discard
	started  time.Time
	comments []time.Duration
}

func (w *timedWriter) Write(p []byte) (int, error) {
	if strings.HasPrefix(string(p), ":") {
		w.comments = append(w.comments, time.Since(w.started))
	}
	return len(p), nil
}

func TestKeepAlivesFollowTheLastByteByTheirInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Config{KeepAlive: 15 * time.Second}, leavingNode{}, telemetry.Discard(), metrics.NewRegistry())
		event := func(n int) request.Part { return request.Part{Event: &request.Event{Sequence: n, Data: []byte("{}")}} }
		w := &timedWriter{discard: discard{http.Header{}}, started: time.Now()}
		a := &timedAnswer{
			started: w.started,
			at:      []time.Duration{20 * time.Second, 24 * time.Second, 60 * time.Second, 61 * time.Second},
			steps:   []request.Part{event(1), event(2), event(3), {End: &request.End{Outcome: request.Completed}}},
		}
		g.writeStream(w, httptest.NewRequest(http.MethodGet, "/", nil), a)
		require.Equal(t, []time.Duration{39 * time.Second, 54 * time.Second}, w.comments)
	})
}
