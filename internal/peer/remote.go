package peer

import (
	"bytes"
	"context"
	"time"

	"buckthornpick/internal/fault"
)

// peerState holds the connections of a transport to one peer. It is guarded by
// Transport.mu.
type peerState struct {
	conns []*conn
	dial  *dial
	// pending holds notifications to send when the dial has succeeded.
	pending []*bytes.Buffer
	// failedAt is when a connection or dial last failed; zero if none has failed
	// since the last connection was opened.
	failedAt time.Time
}

// dial is one connection attempt; done is closed once conn or err is set.
type dial struct {
	done chan struct{}
	conn *conn
	err  error
}

const (
	// failureRetention is how long a peer counts as unreachable after a failure.
	failureRetention = 10 * time.Second
	// maxOpenAttempts bounds how many connections Open tries when each turns
	// out to be closing.
	maxOpenAttempts = 3
)

// Open opens a stream to the handler of kind on node to, which may be this node,
// and sends first as its opening message. It does not wait for the handler. ctx
// bounds only the opening; the caller ends the stream by calling Close or by
// receiving until its end. An error of type fault.Unavailable means that the
// peer has not received the message. If the connection is lost later, Recv and
// Send return fault.Ambiguous.
func (t *Transport) Open(ctx context.Context, to Node, kind Kind, first any) (*Stream, error) {
	var err error
	for range maxOpenAttempts {
		var c *conn
		if c, err = t.connect(ctx, to); err != nil {
			return nil, err
		}
		var s *Stream
		if s, err = c.addStream(kind); err != nil {
			if fault.Is(err, fault.Unavailable) {
				continue
			}
			return nil, err
		}
		b, encodeErr := messageFrame(frameOpen, s.id, kindPrefix(kind), first, t.options.MaxFrameBytes+kindBytes)
		if encodeErr != nil {
			s.finish(encodeErr)
			return nil, encodeErr
		}
		if err = c.enqueue(ctx, b); err == nil {
			return s, nil
		}
		s.finish(err)
		if ctx.Err() != nil {
			return nil, err
		}
	}
	return nil, err
}

// Notify sends a one-way message on a best-effort basis. It does not block.
// fault.Exhausted means that the queue to the peer is full, fault.Unavailable
// that the transport is not running.
func (t *Transport) Notify(to Node, kind Kind, msg any) error {
	b, err := messageFrame(frameNotify, 0, kindPrefix(kind), msg, t.options.MaxFrameBytes+kindBytes)
	if err != nil {
		return err
	}
	if !t.running() {
		putBuffer(b)
		return fault.New(fault.Unavailable, "peer.notify", to.ID, "transport is not running")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		putBuffer(b)
		return fault.New(fault.Unavailable, "peer.notify", to.ID, "transport has stopped")
	}
	r := t.peerState(to.ID)
	if c := r.usableConn(t.self.ID); c != nil {
		return c.tryEnqueue(b)
	}
	if len(r.pending) >= t.options.Window {
		putBuffer(b)
		return fault.New(fault.Exhausted, "peer.notify", to.ID, "queue full")
	}
	r.pending = append(r.pending, b)
	t.startDial(r, to)
	return nil
}

func (c *conn) tryEnqueue(b *bytes.Buffer) error {
	select {
	case c.queue <- b:
		c.lastUsed.Store(time.Now().UnixNano())
		return nil
	default:
		putBuffer(b)
		return fault.New(fault.Exhausted, "peer.notify", c.remote.ID, "queue full")
	}
}

// Reachable reports whether the peer is alive, that is, whether a connection to
// it is open on which a frame arrived recently. known is false if there is
// neither a connection nor a recent failure to decide by.
func (t *Transport) Reachable(id string) (alive, known bool) {
	if id == t.self.ID {
		return true, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.peers[id]
	if !ok {
		return false, false
	}
	now := time.Now()
	for _, c := range r.conns {
		if c.alive(now) {
			return true, true
		}
	}
	return false, len(r.conns) > 0 || now.Sub(r.failedAt) < failureRetention
}

// IsUnreachable reports whether the peer is known not to be alive. It is false
// for a peer about which nothing is known.
func (t *Transport) IsUnreachable(id string) bool {
	isAlive, isKnown := t.Reachable(id)
	return isKnown && !isAlive
}

func (t *Transport) running() bool {
	select {
	case <-t.stopped:
		return false
	default:
	}
	select {
	case <-t.started:
		return true
	default:
		return false
	}
}

// connect returns an open connection to the peer, dialling if there is none. It
// waits for Run to start.
func (t *Transport) connect(ctx context.Context, to Node) (*conn, error) {
	const step = "peer.open"
	select {
	case <-t.started:
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Unavailable, step, to.ID, "transport is not running")
	}
	t.mu.Lock()
	if t.closing {
		t.mu.Unlock()
		return nil, fault.New(fault.Unavailable, step, to.ID, "transport has stopped")
	}
	r := t.peerState(to.ID)
	if c := r.usableConn(t.self.ID); c != nil {
		t.mu.Unlock()
		return c, nil
	}
	d := t.startDial(r, to)
	t.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Unavailable, step, to.ID, "not connected")
	}
}

// peerState returns the state of a peer and creates it if needed; t.mu is held.
func (t *Transport) peerState(id string) *peerState {
	r, ok := t.peers[id]
	if !ok {
		r = &peerState{}
		t.peers[id] = r
	}
	return r
}

// usableConn returns the connection to use for new streams, the preferred one if
// there are several; nil if there is none.
func (r *peerState) usableConn(self string) *conn {
	var best *conn
	for _, c := range r.conns {
		if c.acceptsStreams() && (best == nil || c.isPreferred(self)) {
			best = c
		}
	}
	return best
}

// isPreferred reports whether the node with the lower ID dialled c.
func (c *conn) isPreferred(self string) bool { return c.dialled == (self < c.remote.ID) }

func (t *Transport) register(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registerLocked(c)
}

// registerLocked adds c to the connections of its peer; t.mu is held. It closes
// connections to earlier incarnations of the peer and drains all connections
// but the one that new streams use.
func (t *Transport) registerLocked(c *conn) {
	r := t.peerState(c.remote.ID)
	for _, old := range r.conns {
		if old == c {
			return
		}
	}
	r.failedAt = time.Time{}
	r.conns = append(r.conns, c)
	for _, old := range r.conns {
		if old.incarnation != c.incarnation {
			old.fail(fault.New(fault.Unavailable, "peer.accept", c.remote.ID, "the peer was restarted"))
		}
	}
	best := r.usableConn(t.self.ID)
	for _, other := range r.conns {
		if best != nil && other != best && other.incarnation == best.incarnation {
			other.drain(false)
		}
	}
}

func (t *Transport) unregister(c *conn, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.peerState(c.remote.ID)
	for i, old := range r.conns {
		if old == c {
			r.conns = append(r.conns[:i], r.conns[i+1:]...)
			break
		}
	}
	if lost {
		r.failedAt = time.Now()
	}
	t.removeStalePeers()
}

// removeStalePeers deletes the state of peers without a connection, dial,
// pending notification or recent failure; t.mu is held.
func (t *Transport) removeStalePeers() {
	now := time.Now()
	for id, r := range t.peers {
		if len(r.conns) == 0 && r.dial == nil && len(r.pending) == 0 && now.Sub(r.failedAt) >= failureRetention {
			delete(t.peers, id)
		}
	}
}
