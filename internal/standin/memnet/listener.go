package memnet

import (
	"net"
	"sync"
)

// backlog is the largest number of connections that wait to be accepted.
const backlog = 256

type listener struct {
	net     *Network
	address addr
	queue   chan *conn
	done    chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.done:
		return nil, l.closedError()
	default:
	}
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, l.closedError()
	}
}

func (l *listener) closedError() error {
	return &net.OpError{Op: "accept", Net: "mem", Addr: l.address, Err: net.ErrClosed}
}

// Close closes the listener and the connections that were not accepted yet.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.net.dropListener(l)
		close(l.done)
		for {
			select {
			case c := <-l.queue:
				c.Close()
			default:
				return
			}
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }
