package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/request"
	"buckthornpick/internal/telemetry"
)

// tickingAnswer is never ready and always has an event at once.
type tickingAnswer struct {
	step  request.Part
	count int
}

func (a *tickingAnswer) Info() request.Info     { return request.Info{Kind: request.Chat, Stream: true} }
func (a *tickingAnswer) Ready() bool            { return false }
func (a *tickingAnswer) Close()                 {}
func (a *tickingAnswer) EnsureHandover(context.Context) {}

func (a *tickingAnswer) Next(ctx context.Context) (request.Part, error) {
	if a.count--; a.count < 0 {
		return request.Part{End: &request.End{Outcome: request.Completed}}, nil
	}
	select {
	case <-ctx.Done():
		return request.Part{}, ctx.Err()
	default:
		return a.step, nil
	}
}

type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}
func (d discard) Flush()                      {}

// leavingNode is a node that does not leave.
type leavingNode struct{ Node }

func (leavingNode) Leaving() <-chan struct{} { return nil }

// BenchmarkStream writes streams of 360 events that arrive one by one.
func BenchmarkStream(b *testing.B) {
	const events = 360
	g := New(Config{}, leavingNode{}, telemetry.Discard(), metrics.NewRegistry())
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r = r.WithContext(b.Context())
	step := request.Part{Event: &request.Event{Sequence: 100, Data: make([]byte, 180), Tokens: 1}}
	b.ReportAllocs()
	for b.Loop() {
		g.writeStream(discard{http.Header{}}, r, &tickingAnswer{step: step, count: events})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/events, "ns/event")
}
