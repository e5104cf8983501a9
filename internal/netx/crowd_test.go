package netx_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/netx"
	"buckthornpick/internal/standin/memnet"
)

// crowdedServer is an HTTP server behind a CallerListener.
type crowdedServer struct {
	t       *testing.T
	net     *memnet.Network
	reasons chan netx.TimeoutReason
}

// withCrowdedServer calls f with a server that has places for connections, and whose handler
// answers "ok", or with a very long response at /long.
func withCrowdedServer(t *testing.T, places int, f func(*crowdedServer)) {
	synctest.Test(t, func(t *testing.T) {
		s := &crowdedServer{t: t, net: memnet.New(1), reasons: make(chan netx.TimeoutReason, 1<<10)}
		l, err := s.net.Host("server", "z").Listen("server:1")
		require.NoError(t, err)
		callers := netx.NewCallerListener(l, netx.CallerOptions{
			MaxConnections: places, OnTimeout: func(_ net.Addr, reason netx.TimeoutReason, _ time.Duration) { s.reasons <- reason },
		})
		server := &http.Server{
			ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute, ConnState: callers.TrackState,
			Handler: netx.BoundUnreadBodies(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/body" {
					_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(time.Minute))
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
				}
				if r.URL.Path == "/long" {
					_, err := w.Write(make([]byte, 4<<20))
					require.ErrorIs(t, err, os.ErrDeadlineExceeded)
					return
				}
				_, _ = io.WriteString(w, "ok")
			})),
		}
		done := make(chan error, 1)
		go func() { done <- server.Serve(callers) }()
		f(s)
		require.NoError(t, server.Close())
		<-done
		time.Sleep(time.Minute)
	})
}

func (s *crowdedServer) dial(host, text string) net.Conn {
	conn, err := s.net.Host(host, "z").Dial(s.t.Context(), "server:1")
	require.NoError(s.t, err)
	_, err = io.WriteString(conn, text)
	require.NoError(s.t, err)
	return conn
}

// call sends a request on a new connection and returns how long its response took.
func (s *crowdedServer) call(text string) time.Duration {
	start := time.Now()
	conn := s.dial("ordinary", text)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(s.t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	require.Equal(s.t, "ok", string(body))
	_ = conn.Close()
	return time.Since(start)
}

const simpleRequest = "GET / HTTP/1.1\r\nHost: s\r\n\r\n"

func TestNewCallersGetInBesideCrowdsThatStay(t *testing.T) {
	for name, text := range map[string]string{
		"silent": "", "half a head": "GET / HTTP/1.1\r\nHo", "idle": simpleRequest, "half a body": "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 9\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			withCrowdedServer(t, 20, func(s *crowdedServer) {
				var conns []net.Conn
				for range 60 {
					conns = append(conns, s.dial("crowd", text))
				}
				for range 5 {
					require.LessOrEqual(t, s.call(simpleRequest), 2*time.Second)
				}
				for _, c := range conns {
					_ = c.Close()
				}
			})
		})
	}
}

// sendSteadily sends a body of size bytes at 3 KB a second, and returns whether it was answered.
func (s *crowdedServer) sendSteadily(host string, size int) bool {
	conn := s.dial(host, fmt.Sprintf("POST /body HTTP/1.1\r\nHost: s\r\nContent-Length: %d\r\n\r\n", size))
	defer func() { _ = conn.Close() }()
	const piece = 300
	for sent := 0; sent < size; sent += piece {
		time.Sleep(100 * time.Millisecond)
		if _, err := conn.Write(make([]byte, piece)); err != nil {
			return false
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

func TestNewCallersGetInBesideCrowdsThatSendSteadily(t *testing.T) {
	withCrowdedServer(t, 20, func(s *crowdedServer) {
		var crowd sync.WaitGroup
		for range 60 {
			crowd.Go(func() { s.sendSteadily("crowd", 30_000) })
		}
		time.Sleep(100 * time.Millisecond)
		for range 5 {
			require.LessOrEqual(t, s.call(simpleRequest), 2500*time.Millisecond)
		}
		crowd.Wait()
	})
}

func TestSteadySenderIsServedWhileThereArePlaces(t *testing.T) {
	withCrowdedServer(t, 20, func(s *crowdedServer) {
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() { require.True(t, s.sendSteadily("slow", 30_000)) })
		}
		for range 40 {
			time.Sleep(250 * time.Millisecond)
			require.LessOrEqual(t, s.call(simpleRequest), time.Second)
		}
		wg.Wait()
	})
}

func TestBodyThatNoHandlerReadsDelaysItsAnswerBriefly(t *testing.T) {
	withCrowdedServer(t, 20, func(s *crowdedServer) {
		require.LessOrEqual(t, s.call("POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 60000\r\n\r\nx"), time.Second)
	})
}

func TestCallerThatTakesNothingIsClosed(t *testing.T) {
	withCrowdedServer(t, 20, func(s *crowdedServer) {
		conn := s.dial("crowd", "GET /long HTTP/1.1\r\nHost: s\r\n\r\n")
		time.Sleep(netx.WriteStallTimeout + time.Second)
		require.Equal(t, netx.WriteTimeout, <-s.reasons)
		_ = conn.Close()
	})
}

func TestSlowReaderGetsItsWholeResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(1)
		l, err := n.Host("server", "z").Listen("server:1")
		require.NoError(t, err)
		callers := netx.NewCallerListener(l, netx.CallerOptions{})
		text := strings.Repeat("x", 1<<20)
		go func() {
			conn, err := callers.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, text) // an error makes the response short
			_ = conn.Close()
		}()
		conn, err := n.Host("client", "z").Dial(context.Background(), "server:1")
		require.NoError(t, err)
		received := 0
		for b := make([]byte, 64<<10); ; time.Sleep(10 * time.Second) {
			k, err := io.ReadFull(conn, b)
			received += k
			if err != nil {
				break
			}
		}
		require.Equal(t, len(text), received)
		_ = callers.Close()
	})
}
