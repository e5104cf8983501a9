package backend

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"buckthornpick/internal/request"
	"buckthornpick/internal/telemetry"
)

// cannedTokens is the number of tokens in the answer used by the benchmark.
const cannedTokens = 200

// cannedStream returns the answer of an engine as server-sent events.
func cannedStream() string {
	var sb strings.Builder
	for i := 1; i <= cannedTokens; i++ {
		fmt.Fprintf(&sb, `id: %d`+"\n"+`data: {"id":"chatcmpl-r.1","object":"chat.completion.chunk","created":1,"model":"m",`+
			`"choices":[{"index":0,"delta":{"content":" word%d"},"finish_reason":null}]}`+"\n\n", i, i)
	}
	fmt.Fprintf(&sb, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", cannedTokens+1)
	return sb.String()
}

// BenchmarkEngineStream reads complete streamed answers over TCP.
func BenchmarkEngineStream(b *testing.B) {
	stream := cannedStream()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, stream) }))
	defer srv.Close()
	c := NewHTTPClient(srv.Client(), telemetry.Discard())
	r := &request.Request{ID: request.NewID("o", "k"), Kind: request.Chat, Stream: true, Body: []byte(chatBody)}
	tg := target(srv.Listener.Addr().String(), Engine)
	b.ReportAllocs()
	for b.Loop() {
		a, err := c.Start(b.Context(), tg, r, "r.1", nil)
		if err != nil {
			b.Fatal(err)
		}
		events, err := readAll(a)
		if err != nil || len(events) != cannedTokens+1 {
			b.Fatal(len(events), err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/cannedTokens, "ns/token")
}
