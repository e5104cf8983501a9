package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/request"
	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/telemetry"
)

// pipeListener is a net.Listener whose connections are net.Pipes, which unlike
// TCP connections work in a synctest bubble.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { p.once.Do(func() { close(p.done) }); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestStalledEngineIsResumed checks that after an engine stalled and the attempt
// timed out, Resume returns the remaining events without a gap and the engine runs
// the request only once.
func TestStalledEngineIsResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := engine.New(engine.Settings{})
		p := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		srv := &http.Server{Handler: s}
		running, stop := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = srv.Serve(p) })
		wg.Go(func() { _ = s.Run(running) })
		transport := &http.Transport{DialContext: p.dial}
		c := NewHTTPClient(&http.Client{Transport: transport}, telemetry.Discard())
		tg := Target{ID: "e", Address: "engine:1", Class: Engine}

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		a, err := c.Start(ctx, tg, chatRequest(true), "r.1", nil)
		require.NoError(t, err)
		var events []request.Event
		for len(events) < 5 {
			e, err := a.Next()
			require.NoError(t, err)
			events = append(events, e)
		}
		s.SetFaults(engine.Faults{Stall: true})
		rest, err := readAll(a)
		requireProgress(t, MayHaveRun, err)
		require.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
		events = append(events, rest...)

		s.SetFaults(engine.Faults{})
		a, err = c.Resume(t.Context(), tg, chatRequest(true), "r.1", len(events))
		require.NoError(t, err)
		rest, err = readAll(a)
		require.NoError(t, err)
		text, err := TextOf(request.Chat, append(events, rest...))
		require.NoError(t, err)
		require.NoError(t, engine.VerifyText(engine.PromptOf([]byte(chatBody)), text, 40))
		require.Len(t, s.Executions(), 1)
		_, err = a.Next()
		require.Equal(t, io.EOF, err)

		transport.CloseIdleConnections()
		_ = srv.Close()
		stop()
		wg.Wait()
	})
}
