package backend

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/request"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/telemetry"
)

const chatBody = `{"model":"m","max_tokens":40,"messages":[{"role":"user","content":"hello there"}]}`

func chatRequest(stream bool) *request.Request {
	return &request.Request{
		ID: request.NewID("o", "k"), Kind: request.Chat, Stream: stream, Body: []byte(chatBody),
	}
}

func newClient(t *testing.T) *HTTPClient {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return NewHTTPClient(&http.Client{Transport: transport}, telemetry.Discard())
}

func target(address string, class Class) Target {
	return Target{ID: "b1", Address: address, Class: class}
}

// runEngine runs a simulated engine and serves it over TCP.
func runEngine(t *testing.T, settings engine.Settings) (*engine.Server, Target) {
	t.Helper()
	settings.DecodeTokensPerSecond = func(int) float64 { return 2000 }
	s := engine.New(settings)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	srv := httptest.NewServer(s)
	t.Cleanup(func() { srv.Close(); cancel(); <-done })
	return s, target(srv.Listener.Addr().String(), Engine)
}

// readAll reads all events of an answer. The error is nil if Next returned io.EOF.
func readAll(a Answer) ([]request.Event, error) {
	defer a.Close()
	var events []request.Event
	for {
		e, err := a.Next()
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, e)
	}
}

// requireProgress requires that err is an AttemptError with the given progress.
func requireProgress(t *testing.T, want Progress, err error) *AttemptError {
	t.Helper()
	var e *AttemptError
	require.ErrorAs(t, err, &e)
	require.Equal(t, want.String(), e.Progress.String(), "%v", err)
	return e
}

func TestWholeAnswerFromEngine(t *testing.T) {
	_, tg := runEngine(t, engine.Settings{})
	a, err := newClient(t).Start(t.Context(), tg, chatRequest(false), "r.1", nil)
	require.NoError(t, err)
	events, err := readAll(a)
	require.NoError(t, err)
	require.Equal(t, 40, a.Usage().CompletionTokens)
	_, hasLoad := a.Load()
	require.True(t, hasLoad)

	body, err := Assemble(request.Chat, events)
	require.NoError(t, err)
	var whole struct {
		Object  string
		Choices []struct {
			Message struct{ Role, Content string }
		}
		Usage struct{ CompletionTokens int }
	}
	require.NoError(t, json.Unmarshal(body, &whole))
	require.Equal(t, "chat.completion", whole.Object)
	require.Equal(t, "assistant", whole.Choices[0].Message.Role)
	require.Contains(t, string(body), `"completion_tokens":40`)
	require.NoError(t, engine.VerifyText(engine.PromptOf([]byte(chatBody)), whole.Choices[0].Message.Content, 40))
}

func TestUsageEventIsSentOnlyOnRequest(t *testing.T) {
	_, tg := runEngine(t, engine.Settings{})
	a, err := newClient(t).Start(t.Context(), tg, chatRequest(true), "r.1", nil)
	require.NoError(t, err)
	events, err := readAll(a)
	require.NoError(t, err)
	require.Len(t, events, 41)
	require.NotContains(t, string(events[40].Data), "usage")
	require.Equal(t, 40, a.Usage().CompletionTokens)
}

func TestContinuationAndResumeYieldWholeText(t *testing.T) {
	s, tg := runEngine(t, engine.Settings{})
	c := newClient(t)
	a, err := c.Start(t.Context(), tg, chatRequest(true), "r.1", nil)
	require.NoError(t, err)
	whole, err := readAll(a)
	require.NoError(t, err)

	s.Crash()
	s.Restart()
	a, err = c.Start(t.Context(), tg, chatRequest(true), "r.2", &Continuation{Events: whole[:10]})
	require.NoError(t, err)
	_, err = a.Next()
	require.NoError(t, err)
	require.NoError(t, a.Close())
	a, err = c.Resume(t.Context(), tg, chatRequest(true), "r.2", 20)
	require.NoError(t, err)
	rest, err := readAll(a)
	require.NoError(t, err)
	require.Equal(t, 21, rest[0].Sequence)
	require.Equal(t, 40, a.Usage().CompletionTokens, "the usage must cover the whole answer")
	require.Equal(t, s.Executions()[1].Recomputed, a.Usage().ComputedTokens)
	text, err := TextOf(request.Chat, append(whole[:20:20], rest...))
	require.NoError(t, err)
	require.NoError(t, engine.VerifyText(engine.PromptOf([]byte(chatBody)), text, 40))

	_, err = c.Resume(t.Context(), tg, chatRequest(true), "r.9", 0)
	requireProgress(t, NotFound, err)
	require.NoError(t, c.Cancel(t.Context(), tg, "r.9"))
}

// TestIncompleteStreamIsAnError checks that an answer is accepted as complete only
// with consecutive event IDs, a finish reason and the end marker.
func TestIncompleteStreamIsAnError(t *testing.T) {
	const token = `data: {"choices":[{"index":0,"delta":{"content":"x"}}]}` + "\n\n"
	const finish = `data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	const done = "data: [DONE]\n\n"
	cases := map[string]struct {
		stream string
		whole  bool
	}{
		"whole":            {"id: 1\n" + token + "id: 2\n" + finish + done, true},
		"no finish reason": {"id: 1\n" + token + done, false},
		"no done":          {"id: 1\n" + token + "id: 2\n" + finish, false},
		"truncated event":  {"id: 1\n" + token + "id: 2\ndata: {\"cho", false},
		"truncated done":   {"id: 1\n" + token + "id: 2\n" + finish + "data: [DONE]\n", false},
		"gap":              {"id: 1\n" + token + "id: 3\n" + finish + done, false},
		"repeat":           {"id: 1\n" + token + "id: 1\n" + token + "id: 2\n" + finish + done, false},
		"no id":            {token + finish + done, false},
		"error in stream":  {"id: 1\ndata: {\"error\":{\"message\":\"x\"}}\n\n" + done, false},
		"not json":         {"id: 1\ndata: x\n\n" + done, false},
		"event too long":   {"id: 1\ndata: " + strings.Repeat("x", maxEventBytes+1) + "\n\n", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, tc.stream)
			}))
			defer srv.Close()
			a, err := newClient(t).Start(t.Context(), target(srv.Listener.Addr().String(), Engine), chatRequest(true), "r.1", nil)
			require.NoError(t, err)
			_, err = readAll(a)
			if tc.whole {
				require.NoError(t, err)
				return
			}
			requireProgress(t, MayHaveRun, err)
			_, again := a.Next()
			require.Equal(t, err, again, "Next must keep returning the error")
		})
	}
}

func TestResumedStreamNeedsFinishReason(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "id: 4\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n")
	}))
	defer srv.Close()
	a, err := newClient(t).Resume(t.Context(), target(srv.Listener.Addr().String(), Engine), chatRequest(true), "r.1", 3)
	require.NoError(t, err)
	_, err = readAll(a)
	requireProgress(t, MayHaveRun, err)
}

func TestProgressByStatus(t *testing.T) {
	cases := []struct {
		status int
		notRun string
		want   Progress
	}{
		{http.StatusServiceUnavailable, "true", Refused},
		{http.StatusTooManyRequests, "true", Refused},
		{http.StatusServiceUnavailable, "", RanAndFailed},
		{http.StatusInternalServerError, "true", RanAndFailed},
		{http.StatusBadRequest, "", RanAndFailed},
	}
	for _, tc := range cases {
		for _, r := range []*request.Request{chatRequest(true), plainRequest("POST")} {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Not-Run", tc.notRun)
				w.Header().Set("Retry-After", "2")
				w.WriteHeader(tc.status)
				_, _ = io.WriteString(w, "why")
			}))
			class := Engine
			if r.Kind == request.Plain {
				class = Plain
			}
			_, err := newClient(t).Start(t.Context(), target(srv.Listener.Addr().String(), class), r, "r.1", nil)
			e := requireProgress(t, tc.want, err)
			require.Equal(t, tc.status, e.Status)
			require.Equal(t, "why", string(e.Body))
			require.Equal(t, 2.0, e.RetryAfter.Seconds())
			srv.Close()
		}
	}
}

// TestDuplicateAttemptMayBeRunning checks the error for an attempt ID that the
// engine already knows: the earlier attempt may still be running.
func TestDuplicateAttemptMayBeRunning(t *testing.T) {
	_, tg := runEngine(t, engine.Settings{})
	c := newClient(t)
	a, err := c.Start(t.Context(), tg, chatRequest(true), "r.1", nil)
	require.NoError(t, err)
	require.NoError(t, a.Close())
	_, err = c.Start(t.Context(), tg, chatRequest(true), "r.1", nil)
	requireProgress(t, MayHaveRun, err)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, err = newClient(t).Start(t.Context(), target(l.Addr().String(), Engine), chatRequest(true), "r.1", nil)
	requireProgress(t, NotSent, err)
}

// rawServer answers the first request on each connection with reply and closes
// the connection without an answer when it has read the second one. If reply is
// empty, it closes the connection after the first request. It counts the requests.
func rawServer(t *testing.T, reply string) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	requests = &atomic.Int64{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			serveRaw(conn, reply, requests)
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return l.Addr().String(), requests
}

func serveRaw(conn net.Conn, reply string, requests *atomic.Int64) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for n := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		requests.Add(1)
		if n == 0 && reply != "" {
			_, _ = io.WriteString(conn, reply)
			continue
		}
		return
	}
}

func plainRequest(method string) *request.Request {
	return &request.Request{
		ID: request.NewID("o", "k"), Kind: request.Plain, Method: method, Path: "/exports?x=1",
		Header: http.Header{"Idempotency-Key": {"k"}, "Connection": {"X-Private"}, "X-Private": {"1"}, "X-Kept": {"1"}},
	}
}

func TestConnectionClosedAfterRequestMayHaveRun(t *testing.T) {
	for _, r := range []*request.Request{chatRequest(true), plainRequest("POST")} {
		address, requests := rawServer(t, "")
		_, err := newClient(t).Start(t.Context(), target(address, Older), r, "r.1", nil)
		requireProgress(t, MayHaveRun, err)
		require.EqualValues(t, 1, requests.Load())
	}
}

// TestLibraryNeverSendsTwice guards against the automatic retry of net/http. If a
// reused connection breaks, net/http resends requests that it considers replayable:
// those with an Idempotency-Key header and those without a body.
func TestLibraryNeverSendsTwice(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		address, requests := rawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		c := newClient(t)
		tg := target(address, Plain)
		a, err := c.Start(t.Context(), tg, plainRequest(method), "r.1", nil)
		require.NoError(t, err)
		events, err := readAll(a)
		require.NoError(t, err)
		require.Equal(t, "ok", string(events[0].Data))
		_, err = c.Start(t.Context(), tg, plainRequest(method), "r.2", nil)
		requireProgress(t, MayHaveRun, err)
		require.EqualValues(t, 2, requests.Load(), method)
	}
}

// TestRedirectIsNotFollowed checks that a redirect is returned as the answer.
// Following it would send the request twice.
func TestRedirectIsNotFollowed(t *testing.T) {
	var requests atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) > 1 {
			return
		}
		http.Redirect(w, r, "/elsewhere", http.StatusFound)
	}))
	defer srv.Close()
	a, err := newClient(t).Start(t.Context(), target(srv.Listener.Addr().String(), Plain), plainRequest("POST"), "r.1", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusFound, a.Head().Status)
	require.EqualValues(t, 1, requests.Load())
}

func TestTruncatedPlainBody(t *testing.T) {
	for name, reply := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\nabc",
		"chunked":   "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"undefined": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			srv := rawOnce(t, reply)
			_, err := newClient(t).Start(t.Context(), target(srv, Plain), plainRequest("GET"), "r.1", nil)
			requireProgress(t, MayHaveRun, err)
		})
	}
}

// rawOnce answers one request with reply and closes the connection.
func rawOnce(t *testing.T, reply string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, reply)
		}
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return l.Addr().String()
}

func TestPlainCallHeaders(t *testing.T) {
	var seen http.Header
	var uri string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen, uri = r.Header, r.RequestURI
		w.Header().Set("Keep-Alive", "timeout=5")
		_, _ = io.WriteString(w, strings.Repeat("x", 100))
	}))
	defer srv.Close()
	c := newClient(t)
	tg := target(srv.Listener.Addr().String(), Plain)
	a, err := c.Start(t.Context(), tg, plainRequest("GET"), "r.1", nil)
	require.NoError(t, err)
	require.Equal(t, "/exports?x=1", uri)
	require.Empty(t, seen.Get("X-Private"))
	require.Equal(t, "1", seen.Get("X-Kept"))
	require.Equal(t, "r.1", seen.Get("X-Attempt-Id"))
	require.Empty(t, a.Head().Header.Get("Keep-Alive"))

	c.MaxPlainBody = 99
	_, err = c.Start(t.Context(), tg, plainRequest("GET"), "r.2", nil)
	requireProgress(t, MayHaveRun, err)
}

func TestOlderSystemCannotResume(t *testing.T) {
	_, err := newClient(t).Resume(t.Context(), target("127.0.0.1:1", Older), chatRequest(true), "r.1", 0)
	requireProgress(t, MayHaveRun, err)
}

func TestCanceledCallMayHaveRun(t *testing.T) {
	reached := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(reached)
		<-r.Context().Done()
	}))
	defer srv.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-reached; cancel() }()
	_, err := newClient(t).Start(ctx, target(srv.Listener.Addr().String(), Engine), chatRequest(true), "r.1", nil)
	requireProgress(t, MayHaveRun, err)
	require.True(t, errors.Is(err, context.Canceled))
}
