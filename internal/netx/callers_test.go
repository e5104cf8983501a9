package netx_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/netx"
	"buckthornpick/internal/standin/memnet"
)

func TestDrainWaitsForBodyUnderHandlersReadDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		l, err := n.Host("server", "z").Listen("server:1")
		require.NoError(t, err)
		callers := netx.NewCallerListener(l, netx.CallerOptions{})
		server := &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(time.Minute))
			body, err := io.ReadAll(r.Body)
			_, _ = fmt.Fprint(w, string(body), err)
		})}
		server.ConnState = callers.TrackState
		go func() { _ = server.Serve(callers) }()
		conn, err := n.Host("client", "z").Dial(t.Context(), "server:1")
		require.NoError(t, err)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 8\r\n\r\nhalf")
		require.NoError(t, err)
		time.Sleep(time.Second)
		drained := make(chan error, 1)
		go func() { drained <- callers.Drain(context.Background()) }()
		time.Sleep(5 * time.Second)
		_, err = io.WriteString(conn, "full")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "halffull<nil>", string(body))
		require.NoError(t, <-drained)
		require.NoError(t, server.Close())
	})
}

func TestDrainEndsIdleConnectionsOverTLS(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		l, err := n.Host("server", "z").Listen("server:1")
		require.NoError(t, err)
		callers := netx.NewCallerListener(l, netx.CallerOptions{})
		server := httptest.NewUnstartedServer(http.NotFoundHandler())
		require.NoError(t, server.Listener.Close())
		server.Listener, server.Config.ConnState = callers, callers.TrackState
		server.Config.ReadHeaderTimeout, server.Config.IdleTimeout = time.Minute, time.Minute
		server.StartTLS()
		defer server.Close()
		dial := func() net.Conn {
			conn, err := n.Host("client", "z").Dial(t.Context(), "server:1")
			require.NoError(t, err)
			c := tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
			require.NoError(t, c.Handshake())
			return c
		}
		unused, kept := dial(), dial()
		defer func() { _, _ = unused.Close(), kept.Close() }()
		_, err = io.WriteString(kept, "GET / HTTP/1.1\r\nHost: s\r\n\r\n")
		require.NoError(t, err)
		time.Sleep(time.Second)
		start := time.Now()
		require.NoError(t, callers.Drain(context.Background()))
		require.LessOrEqual(t, time.Since(start), 1100*time.Millisecond)
	})
}
