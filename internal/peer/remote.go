package peer

import (
	"bytes"
	"context"
	"time"

	"buckthornpick/internal/fault"
)

// remote is what a transport keeps about one peer. Guarded by Transport.mu.
type peerState struct {
	conns []*conn
	dial  *dial
	// pending holds notifications until the dial has ended.
	pending []*bytes.Buffer
	// failedAt is when the last connection or dial failed; zero if none has
	// since a connection was last opened.
	failedAt time.Time
}

// dial is one attempt to connect; done is closed when conn or err is set.
type dial struct {
	done chan struct{}
	conn *conn
	err  error
}

const (
	// failureMemory is how long a failed peer is known as not alive.
	failureRetention = 10 * time.Second
	// openAttempts bounds how often Open moves to another connection when
	// the one it got is closing.
	maxOpenAttempts = 3
)

// Open sends first to a handler of kind at the node to, which may be the node
// itself, and returns the stream. It does not wait for the handler. ctx bounds
// the opening only; the caller ends the stream by Close, or by receiving its
// end. An error of type fault.Unavailable means that the peer has not seen the
// message; losses after that are fault.Ambiguous and come from Recv and Send.
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

// Notify sends msg one way, best effort. fault.Exhausted means that the queue
// to the peer is full, fault.Unavailable that the transport does not run.
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

// Reachable tells whether the peer is alive, by recent frames on an open
// connection. known is false if there is neither a connection nor a recent
// failure.
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

// IsDead reports whether the peer is known not to answer.
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

// connect returns an open connection to the peer; it waits for Run to start.
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

// remote returns the entry of a peer; t.mu is held.
func (t *Transport) peerState(id string) *peerState {
	r, ok := t.peers[id]
	if !ok {
		r = &peerState{}
		t.peers[id] = r
	}
	return r
}

// pick returns the open connection that new streams use, or nil.
func (r *peerState) usableConn(self string) *conn {
	var best *conn
	for _, c := range r.conns {
		if c.acceptsStreams() && (best == nil || c.isPreferred(self)) {
			best = c
		}
	}
	return best
}

// preferred tells whether the node with the lower ID dialled c.
func (c *conn) isPreferred(self string) bool { return c.dialled == (self < c.remote.ID) }

func (t *Transport) register(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registerLocked(c)
}

// registerLocked adds c; connections of an earlier run of the peer end, and
// of two connections the one that is not preferred is drained.
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

// sweep forgets peers without connections, dials and recent failures; t.mu is
// held.
func (t *Transport) removeStalePeers() {
	now := time.Now()
	for id, r := range t.peers {
		if len(r.conns) == 0 && r.dial == nil && len(r.pending) == 0 && now.Sub(r.failedAt) >= failureRetention {
			delete(t.peers, id)
		}
	}
}
