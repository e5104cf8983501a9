package netx

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeListener returns the connections sent to conns from Accept.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error {
	close(l.conns)
	return nil
}

func TestLimitListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &pipeListener{conns: make(chan net.Conn, 3)}
		for range 3 {
			c, _ := net.Pipe()
			inner.conns <- c
		}
		l := LimitListener(inner, 2)
		accepted := make(chan net.Conn, 3)
		ended := make(chan error, 1)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					ended <- err
					return
				}
				accepted <- c
			}
		}()
		synctest.Wait()
		require.Len(t, accepted, 2)
		first := <-accepted
		require.NoError(t, first.Close())
		require.NoError(t, first.Close(), "closing twice releases one slot")
		synctest.Wait()
		require.Len(t, accepted, 2)
		require.NoError(t, l.Close())
		require.True(t, errors.Is(<-ended, net.ErrClosed))
	})
}

func TestLeastUseful(t *testing.T) {
	now := time.Unix(100, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	busy := connState{address: "a", since: ago(time.Hour)}
	sending := connState{address: "a", isStoppable: true, since: ago(100 * time.Millisecond)}
	stalled := connState{address: "a", isStoppable: true, since: ago(2 * time.Second)}
	idle := func(address string, d time.Duration) connState {
		return connState{address: address, isIdle: true, since: ago(d)}
	}
	require.Equal(t, -1, leastUseful([]connState{busy, sending}, now, time.Second))
	require.Equal(t, 2, leastUseful([]connState{busy, sending, stalled}, now, time.Second))
	require.Equal(t, 1, leastUseful([]connState{idle("b", time.Minute), idle("c", 2*time.Second), idle("c", time.Second)}, now, time.Second),
		"of the address with the most, the longest without progress")
}
