package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/standin/memnet"
)

// rig serves raw answers: script gets each connection.
type rig struct {
	t    *testing.T
	net  *memnet.Network
	pool *Pool
	l    net.Listener
}

func withRig(t *testing.T, script func(c net.Conn), f func(*rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{t: t, net: memnet.New(1)}
		r.net.SetLatency(time.Millisecond, 0)
		r.pool = NewPool(r.net.Host("entry", "z"), metrics.NewRegistry())
		var err error
		r.l, err = r.net.Host("server", "z").Listen("server:1")
		require.NoError(t, err)
		go func() {
			for {
				c, err := r.l.Accept()
				if err != nil {
					return
				}
				go script(c)
			}
		}()
		f(r)
		r.pool.Close()
		_ = r.l.Close()
		time.Sleep(time.Second) // the ends of connections arrive
	})
}

var target = Target{ID: "s", Address: "server:1"}

func (r *rig) call(ctx context.Context, body string) (*Response, error) {
	return r.pool.Do(ctx, target, &Request{
		Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, Body: []byte(body),
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") != "foreign" },
	})
}

func readRequest(c net.Conn) {
	buf := make([]byte, 4096)
	_, _ = c.Read(buf)
}

func TestConnectionIsKeptAfterAWholeAnswerOnly(t *testing.T) {
	opened := 0
	answers := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
	}
	withRig(t, func(c net.Conn) {
		opened++
		for i := 0; ; i++ {
			readRequest(c)
			if _, err := io.WriteString(c, answers[min(i, 1)]); err != nil {
				return
			}
		}
	}, func(r *rig) {
		for range 4 {
			a, err := r.call(r.t.Context(), "")
			require.NoError(t, err)
			body, err := io.ReadAll(a.Body)
			require.NoError(t, err)
			require.Equal(t, "ok", string(body))
		}
		require.Equal(t, 2, opened, "two calls on each connection")
	})
}

func TestForeignAnswersAreSkipped(t *testing.T) {
	withRig(t, func(c net.Conn) {
		readRequest(c)
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: foreign\r\nContent-Length: 5\r\n\r\nother"+
			"HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nmine")
	}, func(r *rig) {
		a, err := r.call(r.t.Context(), "")
		require.NoError(t, err)
		body, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		require.Equal(t, "mine", string(body))
		require.Equal(t, 201, a.Status)
	})
}

func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	withRig(t, func(c net.Conn) {
		readRequest(c)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of it")
		_ = c.Close()
	}, func(r *rig) {
		a, err := r.call(r.t.Context(), "")
		require.NoError(t, err)
		require.False(t, a.Framed)
		body, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		require.Equal(t, "all of it", string(body))
	})
}

// A server answers a long call before it has read it, and reads on later.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	withRig(t, func(c net.Conn) {
		readRequest(c)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Second)
		rest, _ := io.ReadAll(c)
		if strings.Contains(string(rest), "POST") {
			t.Error("another call stands where the rest of the body is due")
		}
	}, func(r *rig) {
		a, err := r.call(r.t.Context(), strings.Repeat("x", 1<<20))
		require.NoError(t, err)
		require.Equal(t, 503, a.Status)
		_, err = io.ReadAll(a.Body)
		require.NoError(t, err)
	})
}

func TestErrorsTellWhetherACallWasSent(t *testing.T) {
	withRig(t, func(c net.Conn) {
		readRequest(c)
		_ = c.Close()
	}, func(r *rig) {
		_, err := r.call(r.t.Context(), "")
		require.True(t, fault.Is(err, fault.Ambiguous))
		require.True(t, MayHaveBeenSent(err))
		ctx, cancel := context.WithTimeout(r.t.Context(), 100*time.Millisecond)
		defer cancel()
		r.net.CutHost("server")
		_, err = r.call(ctx, "")
		require.False(t, MayHaveBeenSent(err), "%v", err)
		limited := target
		limited.ID, limited.MaxConnections = "limited", 1
		r.pool.serverLocked(limited).open = 1
		_, err = r.pool.get(r.t.Context(), limited)
		require.True(t, fault.Is(err, fault.Exhausted))
		require.False(t, MayHaveBeenSent(err))
		r.net.HealHost("server")
	})
}

func TestEndOfTheContextEndsTheCall(t *testing.T) {
	withRig(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, func(r *rig) {
		ctx, cancel := context.WithTimeout(r.t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		_, err := r.call(ctx, "")
		require.Error(t, err)
		require.True(t, MayHaveBeenSent(err))
		require.Equal(t, time.Second, time.Since(start))
	})
}
