package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/standin/memnet"
)

// testServer is a server with scripted responses and a pool that connects to it.
type testServer struct {
	t        *testing.T
	net      *memnet.Network
	pool     *Pool
	listener net.Listener
}

// withTestServer calls f with a server that passes each connection to handle.
func withTestServer(t *testing.T, handle func(c net.Conn), f func(*testServer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &testServer{t: t, net: memnet.New(1)}
		s.net.SetLatency(time.Millisecond, 0)
		s.pool = NewPool(s.net.Host("entry", "z"), metrics.NewRegistry())
		var err error
		s.listener, err = s.net.Host("server", "z").Listen("server:1")
		require.NoError(t, err)
		go func() {
			for {
				c, err := s.listener.Accept()
				if err != nil {
					return
				}
				go handle(c)
			}
		}()
		f(s)
		s.pool.Close()
		_ = s.listener.Close()
		time.Sleep(time.Second) // lets the close of each connection arrive
	})
}

var target = Target{ID: "s", Address: "server:1"}

// send sends a request that accepts all responses but those marked as foreign.
func (s *testServer) send(ctx context.Context, body string) (*Response, error) {
	return s.pool.Do(ctx, target, &Request{
		Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, Body: Body{[]byte(body)},
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") != "foreign" },
	})
}

// readRequest reads a short request.
func readRequest(c net.Conn) {
	buf := make([]byte, 4096)
	_, _ = c.Read(buf)
}

func TestConnectionIsReusedOnlyAfterCompleteResponse(t *testing.T) {
	opened := 0
	responses := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
	}
	withTestServer(t, func(c net.Conn) {
		opened++
		for i := 0; ; i++ {
			readRequest(c)
			if _, err := io.WriteString(c, responses[min(i, 1)]); err != nil {
				return
			}
		}
	}, func(s *testServer) {
		for range 4 {
			resp, err := s.send(s.t.Context(), "")
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, "ok", string(body))
		}
		require.Equal(t, 2, opened, "two requests on each connection")
	})
}

func TestForeignResponsesAreSkipped(t *testing.T) {
	withTestServer(t, func(c net.Conn) {
		readRequest(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: foreign\r\nContent-Length: 5\r\n\r\nother"+
			"HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nmine")
	}, func(s *testServer) {
		resp, err := s.send(s.t.Context(), "")
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "mine", string(body))
		require.Equal(t, 201, resp.Status)
	})
}

func TestUnframedResponseEndsWithItsConnection(t *testing.T) {
	withTestServer(t, func(c net.Conn) {
		readRequest(c)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of it")
		_ = c.Close()
	}, func(s *testServer) {
		resp, err := s.send(s.t.Context(), "")
		require.NoError(t, err)
		require.False(t, resp.Framed)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "all of it", string(body))
	})
}

// A server responds before it has read the whole body of a long request, and reads
// the rest later. The connection must not be reused, or the server would take the
// next request for the rest of the body.
func TestEarlyResponseClosesTheConnection(t *testing.T) {
	withTestServer(t, func(c net.Conn) {
		readRequest(c)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Second)
		rest, _ := io.ReadAll(c)
		if strings.Contains(string(rest), "POST") {
			t.Error("another request was sent in place of the rest of the body")
		}
	}, func(s *testServer) {
		resp, err := s.send(s.t.Context(), strings.Repeat("x", 1<<20))
		require.NoError(t, err)
		require.Equal(t, 503, resp.Status)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
	})
}

// A request that was given up behind a partition does not reach its server after it, be it sent
// as the partition begins or on a connection that has long been without an acknowledgement.
func TestRequestGivenUpBehindAPartitionIsNotDelivered(t *testing.T) {
	for _, before := range []time.Duration{0, 2 * time.Second, 2400 * time.Millisecond} {
		t.Run(before.String(), func(t *testing.T) { testRequestGivenUp(t, before) })
	}
}

func testRequestGivenUp(t *testing.T, before time.Duration) {
	const patience, partition = 800 * time.Millisecond, 6500 * time.Millisecond
	received := make(chan string, 8)
	withTestServer(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			received <- string(body)
			if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	}, func(s *testServer) {
		resp, err := s.send(s.t.Context(), "first")
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
		s.net.PartitionHost("server")
		time.Sleep(before)
		ctx, cancel := context.WithTimeout(s.t.Context(), patience)
		_, err = s.send(ctx, "given up")
		cancel()
		require.Error(t, err)
		require.True(t, MayHaveBeenSent(err))
		time.Sleep(partition - before - patience)
		s.net.HealHost("server")
		time.Sleep(time.Second)
		require.Equal(t, "first", <-received)
		require.Empty(t, received)
	})
}

func TestErrorsShowWhetherRequestMayHaveBeenSent(t *testing.T) {
	withTestServer(t, func(c net.Conn) {
		readRequest(c)
		_ = c.Close()
	}, func(s *testServer) {
		_, err := s.send(s.t.Context(), "")
		require.True(t, fault.Is(err, fault.Ambiguous))
		require.True(t, MayHaveBeenSent(err))
		ctx, cancel := context.WithTimeout(s.t.Context(), 100*time.Millisecond)
		defer cancel()
		s.net.PartitionHost("server")
		_, err = s.send(ctx, "")
		require.False(t, MayHaveBeenSent(err), "%v", err)
		limited := target
		limited.ID, limited.MaxConnections = "limited", 1
		s.pool.serverLocked(limited).openCount = 1
		_, err = s.pool.get(s.t.Context(), limited, true)
		require.True(t, fault.Is(err, fault.Exhausted))
		require.False(t, MayHaveBeenSent(err))
		s.net.HealHost("server")
	})
}

func TestEndOfContextCancelsRequest(t *testing.T) {
	withTestServer(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, func(s *testServer) {
		ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		_, err := s.send(ctx, "")
		require.Error(t, err)
		require.True(t, MayHaveBeenSent(err))
		require.Equal(t, time.Second, time.Since(start))
	})
}

func TestEndlessHeadEndsTheCall(t *testing.T) {
	for name, start := range map[string]string{"status line": "HTTP/1.1 200 ", "headers": "HTTP/1.1 200 OK\r\nX: "} {
		t.Run(name, func(t *testing.T) {
			written := 0
			withTestServer(t, func(c net.Conn) {
				readRequest(c)
				_, _ = io.WriteString(c, start)
				for written < 4<<20 {
					n, err := io.WriteString(c, strings.Repeat("x", 4<<10))
					if written += n; err != nil {
						return
					}
					time.Sleep(time.Millisecond)
				}
			}, func(s *testServer) {
				ctx, cancel := context.WithTimeout(s.t.Context(), time.Minute)
				defer cancel()
				_, err := s.send(ctx, "")
				assert.True(t, fault.Is(err, fault.Ambiguous), "%v", err)
			})
			require.Less(t, written, 1<<20)
		})
	}
}

func TestBodyInPartsIsSentWhole(t *testing.T) {
	received := make(chan string, 1)
	withTestServer(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		received <- string(body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}, func(s *testServer) {
		body := Body{bytes.Repeat([]byte("a"), 16<<10), bytes.Repeat([]byte("b"), 64<<10), []byte("c")}
		resp, err := s.pool.Do(context.Background(), target, &Request{Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, Body: body})
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, string(body.Join()), <-received)
	})
}

func TestConnectionsToAllServersAreLimited(t *testing.T) {
	withTestServer(t, func(c net.Conn) {
		readRequest(c)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}, func(s *testServer) {
		s.pool.SetMaxOpen(1)
		do := func(id string) (*Response, error) {
			return s.pool.Do(context.Background(), Target{ID: id, Address: target.Address}, &Request{Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{}})
		}
		first, err := do("s")
		require.NoError(t, err)
		_, err = do("other")
		require.True(t, fault.Is(err, fault.Exhausted))
		_, err = io.ReadAll(first.Body)
		require.NoError(t, err)
		second, err := do("other")
		require.NoError(t, err, "an idle connection makes room")
		require.NoError(t, second.Body.Close())
	})
}
