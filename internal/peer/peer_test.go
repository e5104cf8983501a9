package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/fault"
)

func echo(_ context.Context, from Node, req string) (string, error) { return from.ID + ":" + req, nil }

func newPair(o Options) (*pipeNet, *Transport, *Transport) {
	n := newPipeNet()
	a, b := newTransport(nodeA, n, o), newTransport(nodeB, n, o)
	for _, tr := range []*Transport{a, b} {
		tr.Handle(Submit, HandleCall(echo))
	}
	return n, a, b
}

func TestCallAndLoopback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, b := newPair(testOptions())
		start(t, a, b)
		for _, to := range []Node{nodeB, nodeA} {
			for range 3 {
				got, err := Call[string](t.Context(), a, to, Submit, "x")
				require.NoError(t, err)
				require.Equal(t, "a:x", got)
			}
		}
		require.Equal(t, 1, n.dialCount(), "one connection per pair, none for the node itself")
	})
}

func TestHandlerErrorReachesOpener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := newPair(testOptions())
		b.Handle(Attach, func(context.Context, Node, *Stream) error {
			return fault.New(fault.Conflict, "claim.commit", "", "moved")
		})
		start(t, a, b)
		_, err := Call[string](t.Context(), a, nodeB, Attach, 1)
		var remote *RemoteError
		require.ErrorAs(t, err, &remote)
		require.Equal(t, RemoteError{Step: "claim.commit", Peer: "b", Type: "conflict", Message: remote.Message}, *remote)
		require.True(t, fault.Is(err, fault.Conflict))
		_, err = Call[string](t.Context(), a, nodeB, Transfer, 1)
		require.True(t, fault.Is(err, fault.Protocol), "unknown kind: %v", err)
	})
}

// A handler that does not receive must block only the sender on its own stream, once
// the window is full, and no message may be lost.
func TestSlowStreamDoesNotStallOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := newPair(testOptions())
		release := make(chan struct{})
		b.Handle(Attach, func(ctx context.Context, _ Node, s *Stream) error {
			<-release
			for i := 0; ; i++ {
				var got int
				if err := s.Recv(ctx, &got); err != nil {
					if errors.Is(err, io.EOF) && i == 10 {
						return s.Send(ctx, "all")
					}
					return err
				}
				if got != i {
					return fault.New(fault.Protocol, "test", "", "got %d, want %d", got, i)
				}
			}
		})
		start(t, a, b)
		s, err := a.Open(t.Context(), nodeB, Attach, "first")
		require.NoError(t, err)
		sent := 0
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for err == nil {
			if err = s.Send(short, sent); err == nil {
				sent++
			}
		}
		require.Equal(t, 4, sent, "the window is full")
		require.True(t, fault.Is(err, fault.Unavailable))
		_, err = Call[string](t.Context(), a, nodeB, Submit, "x")
		require.NoError(t, err)
		close(release)
		for ; sent < 10; sent++ {
			require.NoError(t, s.Send(t.Context(), sent))
		}
		require.NoError(t, s.CloseSend())
		var got string
		require.NoError(t, s.Recv(t.Context(), &got))
		require.Equal(t, "all", got)
		require.Equal(t, io.EOF, s.Recv(t.Context(), &got))
	})
}

func TestConnectionLossAfterOpenIsAmbiguous(t *testing.T) {
	for name, cut := range map[string]func(*pipeNet, func()){
		"connection cut": func(n *pipeNet, _ func()) { n.breakConnections() },
		"peer stopped":   func(_ *pipeNet, stop func()) { stop() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, a, b := newPair(testOptions())
				ended := make(chan struct{})
				b.Handle(Attach, func(ctx context.Context, _ Node, _ *Stream) error {
					<-ctx.Done()
					close(ended)
					return ctx.Err()
				})
				start(t, a)
				ctx, stop := context.WithCancel(t.Context())
				stopped := make(chan struct{})
				go func() { _ = b.Run(ctx); close(stopped) }()
				<-b.started
				s, err := a.Open(t.Context(), nodeB, Attach, 1)
				require.NoError(t, err)
				synctest.Wait()
				cut(n, stop)
				var got string
				require.True(t, fault.Is(s.Recv(t.Context(), &got), fault.Ambiguous))
				<-ended
				stop()
				<-stopped
				synctest.Wait() // the opener detects the end of the connection
				_, err = a.Open(t.Context(), nodeB, Attach, 1)
				require.True(t, fault.Is(err, fault.Unavailable), "%v", err)
				alive, known := a.Reachable("b")
				require.False(t, alive)
				require.True(t, known)
			})
		})
	}
}

func TestClosedStreamCancelsHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := newPair(testOptions())
		ended := make(chan error, 1)
		b.Handle(Attach, func(ctx context.Context, _ Node, _ *Stream) error {
			<-ctx.Done()
			ended <- ctx.Err()
			return nil
		})
		start(t, a, b)
		s, err := a.Open(t.Context(), nodeB, Attach, 1)
		require.NoError(t, err)
		s.Close()
		require.ErrorIs(t, <-ended, context.Canceled)
		alive, known := a.Reachable("b")
		require.True(t, alive && known)
	})
}

func TestHandshakeAndDialFailures(t *testing.T) {
	tests := map[string]struct {
		change func(a *Transport, to *Node)
		want   string
	}{
		"wrong secret": {func(a *Transport, _ *Node) { a.options.Secret = []byte("other") }, "wrong secret"},
		"other window": {func(a *Transport, _ *Node) { a.options.Window = 5 }, "window is 4 here and 5 there"},
		"other node":   {func(_ *Transport, to *Node) { to.ID = "c" }, "another node answered: b"},
		"no listener":  {func(_ *Transport, to *Node) { to.Address = "c:1" }, "dial c:1"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, a, b := newPair(testOptions())
				to := nodeB
				tc.change(a, &to)
				start(t, a, b)
				_, err := Call[string](t.Context(), a, to, Submit, "x")
				require.True(t, fault.Is(err, fault.Unavailable), "%v", err)
				require.ErrorContains(t, err, tc.want)
				require.Equal(t, to.ID, fault.Peer(err))
			})
		})
	}
}

func TestVersionMismatchIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _, b := newPair(testOptions())
		start(t, b)
		synctest.Wait()
		nc, err := n.Dial(t.Context(), nodeB.Address)
		require.NoError(t, err)
		_, err = nc.Write([]byte(magic + "\x00\x09\x00\x01\xc0"))
		require.NoError(t, err)
		var theirs hello
		require.NoError(t, readHandshake(nc, true, &theirs))
		require.Contains(t, theirs.Refusal, "protocol version 1 here and 9 there")
	})
}

func TestOversizedMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions()
		o.MaxFrameBytes = 100
		n := newPipeNet()
		a, b := newTransport(nodeA, n, testOptions()), newTransport(nodeB, n, o)
		b.Handle(Submit, HandleCall(echo))
		start(t, a, b)
		_, err := Call[string](t.Context(), a, nodeB, Submit, strings.Repeat("x", 200))
		require.True(t, fault.Is(err, fault.Ambiguous), "the receiver closes the connection: %v", err)
		_, err = Call[string](t.Context(), b, nodeA, Submit, strings.Repeat("x", 200))
		require.True(t, fault.Is(err, fault.Invalid), "the sender refuses: %v", err)
	})
}

func TestSimultaneousDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := newPair(testOptions())
		start(t, a, b)
		errs := make(chan error, 40)
		for range 20 {
			go func() { _, err := Call[string](t.Context(), a, nodeB, Submit, "x"); errs <- err }()
			go func() { _, err := Call[string](t.Context(), b, nodeA, Submit, "x"); errs <- err }()
		}
		for range 40 {
			require.NoError(t, <-errs)
		}
		synctest.Wait()
		for _, tr := range []*Transport{a, b} {
			require.EqualValues(t, 1, tr.connections.Count(), "the second connection was drained")
			require.Zero(t, tr.lost.Count())
		}
	})
}

// The peer's goAway may be read after the result of the last stream was sent, and before
// the stream is removed.
func TestConnectionDrainedBeforeItsLastStreamIsRemovedIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		c := newConn(newTransport(nodeA, newPipeNet(), testOptions()), near, nodeB, 1, true)
		go c.run(t.Context())
		c.drain(false)
		synctest.Wait()
		last := newStream(c, 2, Submit, false)
		c.mu.Lock()
		c.streams[last.id] = last
		c.incoming++
		c.mu.Unlock()
		require.NoError(t, c.handleGoAway())
		last.finish(io.EOF)
		synctest.Wait()
		require.Equal(t, errDrained, c.cause())
	})
}

func TestSilentPeerAndIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, b := newPair(testOptions())
		start(t, a, b)
		_, err := Call[string](t.Context(), a, nodeB, Submit, "x")
		require.NoError(t, err)
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, a.connections.Count(), "pings keep the connection open")
		time.Sleep(defaultIdleTimeout)
		require.Zero(t, a.connections.Count(), "closed when idle")
		require.Zero(t, a.lost.Count()+b.lost.Count())

		// A listener that completes the handshake and then sends no frames.
		silent := newTransport(Node{ID: "m", Address: "m:1"}, n, testOptions())
		l, err := n.Listen("m:1")
		require.NoError(t, err)
		go func() {
			if nc, err := l.Accept(); err == nil {
				_, _ = silent.acceptHandshake(nc)
				_, _ = io.Copy(io.Discard, nc)
			}
		}()
		began := time.Now()
		_, err = Call[string](t.Context(), a, silent.self, Submit, "x")
		require.True(t, fault.Is(err, fault.Ambiguous), "%v", err)
		require.LessOrEqual(t, time.Since(began), 2*(defaultPingInterval+defaultPingTimeout))
	})
}

// TestStreamOnIdleConnection opens a stream on an idle connection that has
// received no frame for longer than a connection with streams may. The peer must
// still get PingTimeout to reply, and a dead peer must be detected as fast as on
// a connection with streams.
func TestStreamOnIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, _ := newPair(testOptions())
		start(t, a)
		silent := newTransport(Node{ID: "m", Address: "m:1"}, n, testOptions())
		l, err := n.Listen("m:1")
		require.NoError(t, err)
		go func() {
			if nc, err := l.Accept(); err == nil {
				_, _ = silent.acceptHandshake(nc)
				_, _ = io.Copy(io.Discard, nc)
			}
		}()
		require.NoError(t, a.Notify(silent.self, Gossip, 1))
		time.Sleep(defaultIdlePingInterval - defaultPingInterval)
		alive, _ := a.Reachable("m")
		require.True(t, alive, "no reply is due yet")
		began := time.Now()
		_, err = Call[string](t.Context(), a, silent.self, Submit, "x")
		require.True(t, fault.Is(err, fault.Ambiguous), "%v", err)
		require.GreaterOrEqual(t, time.Since(began), defaultPingTimeout)
		require.LessOrEqual(t, time.Since(began), 2*(defaultPingInterval+defaultPingTimeout))
	})
}

// A stream may be opened while the keep-alive check looks at the connection.
func TestKeepAliveCheckDuringOpenKeepsIdleConnection(t *testing.T) {
	a := newTransport(nodeA, newPipeNet(), testOptions())
	for range 5_000 {
		near, far := net.Pipe()
		c := newConn(a, near, nodeB, 1, true)
		idleSince := time.Now().Add(defaultPingInterval - defaultIdlePingInterval)
		c.lastRead.Store(idleSince.UnixNano())
		var wg sync.WaitGroup
		wg.Go(c.checkSilence)
		wg.Go(func() {
			if !c.alive(time.Now()) {
				t.Error("connection counts as dead")
			}
		})
		_, err := c.addStream(Submit)
		wg.Wait()
		require.NoError(t, err)
		require.NoError(t, c.cause())
		_, _ = near.Close(), far.Close()
	}
}

func TestNotify(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := newPair(testOptions())
		got := make(chan int, 10)
		b.HandleNotify(Gossip, func(_ Node, decode func(any) error) {
			var v int
			if decode(&v) == nil {
				got <- v
			}
		})
		require.True(t, fault.Is(a.Notify(nodeB, Gossip, 0), fault.Unavailable), "not running")
		start(t, a, b)
		synctest.Wait()
		for i := range 4 {
			require.NoError(t, a.Notify(nodeB, Gossip, i))
		}
		for i := range 4 {
			require.Equal(t, i, <-got)
		}
	})
}

func TestNotifyQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, _ := newPair(testOptions())
		start(t, a)
		synctest.Wait()
		_, err := n.Listen(nodeB.Address) // never accepts
		require.NoError(t, err)
		for i := range 4 {
			require.NoError(t, a.Notify(nodeB, Gossip, i))
		}
		require.True(t, fault.Is(a.Notify(nodeB, Gossip, 5), fault.Exhausted))
	})
}
