package oldersystem

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/request"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/plainservice"
	"buckthornpick/internal/telemetry"
)

func readAll(t *testing.T, a backend.Answer) []request.Event {
	t.Helper()
	defer a.Close()
	var events []request.Event
	for {
		e, err := a.Next()
		if err == io.EOF {
			return events
		}
		require.NoError(t, err)
		events = append(events, e)
	}
}

func TestServesBothKindsWithoutResume(t *testing.T) {
	s := New(Settings{DecodeTokensPerSecond: 2000})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	srv := httptest.NewServer(s)
	defer func() { srv.Close(); cancel(); <-done }()
	client := backend.NewHTTPClient(srv.Client(), telemetry.Discard())
	target := backend.Target{ID: "older", Address: srv.Listener.Addr().String(), Class: backend.Older}

	body := []byte(`{"prompt":"some text","max_tokens":20}`)
	model := &request.Request{ID: "r1", Kind: request.Completion, Body: body}
	for range 2 { // a second start with the same attempt ID runs again
		a, err := client.Start(ctx, target, model, "r1.1", nil)
		require.NoError(t, err)
		text, err := backend.TextOf(request.Completion, readAll(t, a))
		require.NoError(t, err)
		require.NoError(t, engine.VerifyText("some text", text, 20))
	}
	require.Equal(t, 2, s.RunCount("r1"))

	plain := &request.Request{ID: "r2", Kind: request.Plain, Method: "GET", Path: "/reports/1"}
	a, err := client.Start(ctx, target, plain, "r2.1", nil)
	require.NoError(t, err)
	require.NoError(t, plainservice.VerifyAnswer("GET", "/reports/1", nil, readAll(t, a)[0].Data))
	require.Equal(t, 1, s.RunCount("r2"))

	resp, err := http.Get(srv.URL + "/v1/streams/r1.1")
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
}
