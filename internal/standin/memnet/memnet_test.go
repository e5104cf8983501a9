package memnet

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/netx"
)

const testLatency = 2 * time.Millisecond

// connect returns both ends of a connection from host a in zone z1 to host b in
// zone z2.
func connect(t *testing.T, n *Network) (near, far net.Conn) {
	t.Helper()
	n.SetLatency(testLatency, time.Millisecond)
	l, err := n.Host("b", "z2").Listen("b:1")
	require.NoError(t, err)
	near, err = n.Host("a", "z1").Dial(t.Context(), "b:1")
	require.NoError(t, err)
	far, err = l.Accept()
	require.NoError(t, err)
	return near, far
}

func TestBytesArriveInOrderAfterLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := connect(t, New(1))
		start := time.Now()
		go func() {
			for i := range 200 {
				near.Write([]byte{byte(i)})
			}
			near.Close()
		}()
		got, err := io.ReadAll(far)
		require.NoError(t, err)
		require.Len(t, got, 200)
		for i, b := range got {
			require.Equal(t, byte(i), b)
		}
		require.GreaterOrEqual(t, time.Since(start), testLatency)
	})
}

func TestStalledPathsHoldBytesUntilHealed(t *testing.T) {
	cases := map[string]struct{ stall, heal func(*Network) }{
		"zones":   {func(n *Network) { n.PartitionZones("z1", "z2") }, func(n *Network) { n.HealZones("z2", "z1") }},
		"host":    {func(n *Network) { n.PartitionHost("b") }, func(n *Network) { n.HealHost("b") }},
		"isolate": {func(n *Network) { n.IsolateZone("z2") }, func(n *Network) { n.HealAll() }},
		"pause":   {func(n *Network) { n.PauseHost("a") }, func(n *Network) { n.ResumeHost("a") }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New(1)
				near, far := connect(t, n)
				near.Write([]byte("x"))
				c.stall(n)
				far.SetReadDeadline(time.Now().Add(time.Second))
				b := make([]byte, 4)
				_, err := far.Read(b)
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				_, err = n.Host("a", "z1").Dial(t.Context(), "b:1")
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				c.heal(n)
				far.SetReadDeadline(time.Time{})
				count, err := far.Read(b)
				require.NoError(t, err)
				require.Equal(t, "x", string(b[:count]))
			})
		})
	}
}

func TestKillHostResetsAndRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(1)
		near, far := connect(t, n)
		old := n.Host("b", "z2")
		n.KillHost("b")
		for _, end := range []net.Conn{near, far} {
			_, err := end.Read(make([]byte, 1))
			require.ErrorIs(t, err, syscall.ECONNRESET)
		}
		_, err := n.Host("a", "z1").Dial(t.Context(), "b:1")
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		_, err = old.Listen("b:1")
		require.ErrorIs(t, err, net.ErrClosed)
		_, err = n.Host("b", "z2").Listen("b:1")
		require.NoError(t, err)
	})
}

func TestKillIsNotSeenDuringPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(1)
		near, _ := connect(t, n)
		n.PartitionHost("b")
		n.KillHost("b")
		near.SetReadDeadline(time.Now().Add(time.Second))
		_, err := near.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	})
}

func TestWriterBlocksWhenPeerDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, _ := connect(t, New(1))
		near.SetWriteDeadline(time.Now().Add(time.Second))
		count, err := near.Write(make([]byte, 2*pipeBytes))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, pipeBytes, count)
	})
}

func TestHTTPOverMemnet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(1)
		n.SetLatency(testLatency, 0)
		l, err := n.Host("b", "z2").Listen("b:80")
		require.NoError(t, err)
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body) // HTTP/1 servers respond after reading the body
			w.Write(body)
		})}
		go srv.Serve(l)
		client := netx.HTTPClient(n.Host("a", "z1"), netx.HTTPOptions{})
		for range 3 {
			resp, err := client.Post("http://b:80/", "text/plain", io.LimitReader(zeros{}, 1<<20))
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, 1<<20, len(body))
			resp.Body.Close()
		}
		client.CloseIdleConnections()
		require.NoError(t, srv.Shutdown(context.Background()))
	})
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }

func TestPausedHostSeesResetWhenItResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(1)
		near, _ := connect(t, n)
		n.PauseHost("a")
		n.KillHost("b")
		n.ResumeHost("a")
		near.SetReadDeadline(time.Now().Add(time.Second))
		_, err := near.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	})
}
