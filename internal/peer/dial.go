package peer

import (
	"context"
	"net"
	"time"

	"buckthornpick/internal/fault"
)

// startDial returns the dial in progress or starts one. t.mu must be held and
// the transport must not be closing.
func (t *Transport) startDial(r *peerState, to Node) *dial {
	if r.dial != nil {
		return r.dial
	}
	d := &dial{done: make(chan struct{})}
	r.dial = d
	t.wg.Go(func() { t.runDial(t.runCtx, d, to) })
	return d
}

// runDial connects, performs the handshake and serves the connection until it
// ends.
func (t *Transport) runDial(ctx context.Context, d *dial, to Node) {
	if to.ID == t.self.ID {
		t.serveLoopback(ctx, d)
		return
	}
	nc, err := t.dialTCP(ctx, to)
	var theirs hello
	if err == nil {
		theirs, err = t.handshake(ctx, nc, func(nc net.Conn) (hello, error) { return t.dialHandshake(nc, to) })
	}
	if err != nil {
		t.endDial(d, to.ID, nil, err)
		return
	}
	c := newConn(t, nc, theirs.node(), theirs.Incarnation, true)
	t.endDial(d, to.ID, c, nil)
	t.serveConn(ctx, c)
}

func (t *Transport) dialTCP(ctx context.Context, to Node) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.DialTimeout)
	defer cancel()
	nc, err := t.network.Dial(ctx, to.Address)
	return nc, fault.Wrap(err, fault.Unavailable, "peer.dial", to.ID, "dial %s", to.Address)
}

// serveLoopback connects the node to itself through an in-memory pipe.
func (t *Transport) serveLoopback(ctx context.Context, d *dial) {
	near, far := net.Pipe()
	c := newConn(t, near, t.self, t.incarnation, true)
	other := newConn(t, far, t.self, t.incarnation, false)
	if !t.spawn(other.run) {
		_ = near.Close()
		_ = far.Close()
		t.endDial(d, t.self.ID, nil, fault.New(fault.Unavailable, "peer.open", t.self.ID, "transport has stopped"))
		return
	}
	t.endDial(d, t.self.ID, c, nil)
	t.serveConn(ctx, c)
}

// endDial publishes the result of a dial, and sends the pending notifications or
// drops them if the dial failed.
func (t *Transport) endDial(d *dial, id string, c *conn, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.peerState(id)
	r.dial = nil
	d.conn, d.err = c, err
	if err != nil {
		r.failedAt = time.Now()
	}
	for _, b := range r.pending {
		if c == nil {
			t.notifyDropped.Inc(1)
			putBuffer(b)
		} else if c.tryEnqueue(b) != nil {
			t.notifyDropped.Inc(1)
		}
	}
	r.pending = nil
	if c != nil {
		t.registerLocked(c)
	}
	t.removeStalePeers()
	close(d.done)
}
