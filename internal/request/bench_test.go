package request

import (
	"testing"
	"time"
)

// BenchmarkFollow appends an answer of 360 events and reads it with a cursor
// that waits for each event.
func BenchmarkFollow(b *testing.B) {
	const events = 360
	data := []byte(`{"id":"chatcmpl-r.1","choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}]}`)
	b.ReportAllocs()
	for b.Loop() {
		rec := NewRecord(&Request{}, 1<<20)
		attempt, err := rec.Dispatch()
		if err != nil {
			b.Fatal(err)
		}
		c := rec.Cursor(0)
		for i := range events {
			_, changed, isReady := c.tryNext()
			if isReady || changed == nil {
				b.Fatal("cursor returned a part before its event was appended")
			}
			if err := rec.Append(attempt, Event{Sequence: i + 1, Data: data, Tokens: 1}); err != nil {
				b.Fatal(err)
			}
			<-changed
			if part, _, isReady := c.tryNext(); !isReady || part.Event == nil {
				b.Fatal("no event")
			}
		}
		if err := rec.Finish(End{Outcome: Completed}, time.Time{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/events, "ns/event")
}
