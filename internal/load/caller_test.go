package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/gateway"
	"buckthornpick/internal/request"
	"buckthornpick/internal/standin/engine"
)

const (
	testID     = "00112233445566778899aabbccddeeff"
	testTokens = 4
)

func streamCall() Call {
	class := &Class{Name: "chat", Model: "m", MaxTokens: testTokens, Stream: true}
	return Call{Class: class, Caller: &CallerSpec{Key: "k"}, Key: "call-1",
		Body: []byte(`{"model":"m","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"check my shop"}]}`)}
}

// script holds the handlers of an entry, one for each connection in turn. The last
// handler answers all further connections.
type script []http.HandlerFunc

// do makes the call against the script.
func (s script) do(t *testing.T, c Call) Result {
	t.Helper()
	next := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := s[min(next, len(s)-1)]
		next++
		h(w, r)
	}))
	defer server.Close()
	client := &Client{HTTP: server.Client(), MaxAttempts: 3, Balancer: func(int, int) string { return server.URL }}
	client.HTTP.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client.Do(context.Background(), c)
}

// answerOf returns the words of a stand-in engine's answer to the body.
func answerOf(t *testing.T, body []byte) []string {
	t.Helper()
	e := engine.New(engine.Settings{Models: []string{"m"}, DecodeTokensPerSecond: func(int) float64 { return 10000 }})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	w := httptest.NewRecorder()
	whole := strings.Replace(string(body), `"stream":true`, `"stream":false`, 1)
	e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(whole)))
	answer := strings.Fields(messageText(w.Body.Bytes()))
	require.Len(t, answer, testTokens)
	return answer
}

// eventsOf returns the server-sent events first to last of the answer.
func eventsOf(answer []string, first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		text := answer[i-1]
		if i > 1 {
			text = " " + text
		}
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", i, text)
	}
	return b.String()
}

// stream answers with server-sent events and an outcome.
func stream(body string, outcome request.Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(gateway.HeaderRequestID, testID)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Trailer", gateway.HeaderOutcome)
		_, _ = w.Write([]byte(body))
		w.Header().Set(gateway.HeaderOutcome, string(outcome))
	}
}

// abortAfter sends the events and aborts the connection.
func abortAfter(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		stream(body, "")(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// refuse answers with the status and the outcome.
func refuse(status int, outcome request.Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(gateway.HeaderOutcome, string(outcome))
		w.WriteHeader(status)
	}
}

// expectAttach checks that the caller attaches after the given event, and answers by
// next.
func expectAttach(t *testing.T, after int, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "GET /v1/requests/"+testID, r.Method+" "+r.URL.Path)
		require.Equal(t, strconv.Itoa(after), r.Header.Get(gateway.HeaderLastEventID))
		next(w, r)
	}
}

func TestCallsAreClassified(t *testing.T) {
	answer := answerOf(t, streamCall().Body)
	events := func(first, last int) string { return eventsOf(answer, first, last) }
	const done = "data: [DONE]\n\n"
	const goAway = "event: reattach\ndata: {\"location\":\"/v1/requests/" + testID + "\"}\n\n"
	whole := events(1, testTokens)
	rest := stream(events(3, testTokens)+done, request.Completed)
	wrongWord := strings.Replace(whole, `"content":"`, `"content":"x`, 1)
	for _, tc := range []struct {
		name   string
		script script
		want   Counts
	}{
		{"whole", script{stream(whole+done, request.Completed)}, Counts{Accepted: 1, Completed: 1, Tokens: 4}},
		{"cut off, then attached", script{abortAfter(events(1, 2)), expectAttach(t, 2, rest)},
			Counts{Accepted: 1, Completed: 1, CutOff: 1, Attached: 1, Tokens: 4}},
		{"told to attach elsewhere", script{stream(events(1, 2)+goAway, ""), expectAttach(t, 2, rest)},
			Counts{Accepted: 1, Completed: 1, Attached: 1, Tokens: 4}},
		{"cut off for good", script{abortAfter(events(1, 2)), abortAfter("")},
			Counts{Accepted: 1, Lost: 1, CutOff: 3, Attached: 2, Tokens: 2}},
		{"ends without the finish", script{stream(whole, request.Completed), stream("", "")},
			Counts{Accepted: 1, Lost: 1, CutOff: 3, Attached: 2, Tokens: 4}},
		{"not run", script{refuse(http.StatusServiceUnavailable, request.NotRun)}, Counts{Refused: 1}},
		{"unknown", script{refuse(http.StatusBadGateway, request.Unknown)}, Counts{Accepted: 1, Lost: 1}},
		{"wrong word", script{stream(wrongWord+done, request.Completed)}, Counts{Accepted: 1, Wrong: 1, Tokens: 4}},
		{"too short", script{stream(events(1, 3)+done, request.Completed)}, Counts{Accepted: 1, Wrong: 1, Tokens: 3}},
		{"doubled event", script{stream(events(1, 2)+events(2, testTokens)+done, request.Completed)},
			Counts{Accepted: 1, Lost: 1, Tokens: 2}},
		{"lost event", script{stream(events(1, 1)+events(3, testTokens)+done, request.Completed)},
			Counts{Accepted: 1, Lost: 1, Tokens: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			report := Summarise("test", 0, []Result{tc.script.do(t, streamCall())})
			tc.want.Sent = 1
			require.Equal(t, tc.want, report.Counts, report.Problems)
		})
	}
}
