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

// immediateAnswer always returns the next part at once but reports that it is
// not ready, so that every event is flushed on its own.
type immediateAnswer struct {
	part  request.Part
	count int
}

func (a *immediateAnswer) Info() request.Info             { return request.Info{Kind: request.Chat, Stream: true} }
func (a *immediateAnswer) Ready() bool                    { return false }
func (a *immediateAnswer) Close()                         {}
func (a *immediateAnswer) EnsureHandover(context.Context) {}

func (a *immediateAnswer) Next(ctx context.Context) (request.Part, error) {
	if a.count--; a.count < 0 {
		return request.Part{End: &request.End{Outcome: request.Completed}}, nil
	}
	select {
	case <-ctx.Done():
		return request.Part{}, ctx.Err()
	default:
		return a.part, nil
	}
}

// discardWriter is an http.ResponseWriter that discards the body.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
func (d discardWriter) Flush()                      {}

// permanentNode is a node whose VM never stops. Other methods must not be called.
type permanentNode struct{ Node }

func (permanentNode) Leaving() <-chan struct{} { return nil }

// BenchmarkStream writes streams of 360 events, each of which is flushed on its
// own.
func BenchmarkStream(b *testing.B) {
	const events = 360
	g := New(Config{}, permanentNode{}, telemetry.Discard(), metrics.NewRegistry())
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r = r.WithContext(b.Context())
	part := request.Part{Event: &request.Event{Sequence: 100, Data: make([]byte, 180), Tokens: 1}}
	b.ReportAllocs()
	for b.Loop() {
		g.writeStream(discardWriter{http.Header{}}, r, &immediateAnswer{part: part, count: events})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/events, "ns/event")
}
