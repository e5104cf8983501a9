package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/fault"
)

func blockUntilDone(ctx context.Context, _ Node, _ *Stream) error { <-ctx.Done(); return ctx.Err() }

// A connection from a new incarnation of a peer must end the streams to the old one at
// once, not only after PingTimeout.
func TestRestartedPeerReplacesItsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, old := newPair(testOptions())
		old.Handle(Attach, blockUntilDone)
		start(t, a, old)
		s, err := a.Open(t.Context(), nodeB, Attach, 1)
		require.NoError(t, err)
		began := time.Now()
		restarted := newTransport(nodeB, n, testOptions())
		restarted.Handle(Attach, HandleCall(echo))
		start(t, restarted)
		_, err = Call[string](t.Context(), restarted, nodeA, Submit, "x")
		require.NoError(t, err)
		var got string
		require.True(t, fault.Is(s.Recv(t.Context(), &got), fault.Ambiguous))
		require.Zero(t, time.Since(began), "without waiting for a ping")
		got, err = Call[string](t.Context(), a, nodeB, Attach, "new")
		require.NoError(t, err)
		require.Equal(t, "a:new", got)
	})
}

func TestMalformedFramesEndTheConnection(t *testing.T) {
	for name, frame := range map[string][]byte{
		"shorter than a header": {0, 0, 0, 1, byte(framePing), 0, 0, 0, 0},
		"length of 4 GiB":       {0xff, 0xff, 0xff, 0xff, byte(frameData), 0, 0, 0, 1},
		"unknown type":          {0, 0, 0, 5, 99, 0, 0, 0, 0},
		"opening without kind":  {0, 0, 0, 5, byte(frameOpen), 0, 0, 0, 1},
		"wrong parity":          {0, 0, 0, 7, byte(frameOpen), 0, 0, 0, 2, 0, 1},
		"empty notification":    {0, 0, 0, 5, byte(frameNotify), 0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, a, b := newPair(testOptions())
				start(t, b)
				nc, err := n.Dial(t.Context(), nodeB.Address)
				require.NoError(t, err)
				_, err = a.dialHandshake(nc, nodeB)
				require.NoError(t, err)
				_, err = nc.Write(frame)
				require.NoError(t, err)
				synctest.Wait()
				require.EqualValues(t, 1, b.lost.Count())
				require.Zero(t, b.connections.Count())
			})
		})
	}
}

func TestWindowIsEnforced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a, b := newPair(testOptions())
		b.Handle(Attach, blockUntilDone)
		start(t, b)
		nc, err := n.Dial(t.Context(), nodeB.Address)
		require.NoError(t, err)
		_, err = a.dialHandshake(nc, nodeB)
		require.NoError(t, err)
		frames := []byte{0, 0, 0, 8, byte(frameOpen), 0, 0, 0, 1, 0, byte(Attach), 1}
		for range testOptions().Window + 1 {
			frames = append(frames, 0, 0, 0, 6, byte(frameData), 0, 0, 0, 1, 1)
		}
		_, err = nc.Write(frames)
		require.NoError(t, err)
		synctest.Wait()
		require.EqualValues(t, 1, b.lost.Count())
	})
}
