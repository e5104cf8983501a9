package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"buckthornpick/internal/fault"
)

// conn is one authenticated connection. Its read loop never blocks on writing
// to the socket: the frames that it sends in reply go to ctrl without blocking.
//
// Lock order: Transport.mu before conn.mu before Stream.mu.
type conn struct {
	t           *Transport
	nc          net.Conn
	remote      Node
	incarnation uint64
	// dialled is true if this node opened the connection.
	dialled bool
	// queue holds outgoing frames that must stay in order; ctrl holds frames
	// that may overtake them.
	queue chan *bytes.Buffer
	ctrl  chan *bytes.Buffer

	done chan struct{} // closed when the connection has failed
	wake chan struct{} // makes keepAlive check the drain state

	lastRead atomic.Int64 // unix nanoseconds
	lastUsed atomic.Int64 // unix nanoseconds of the last open or notify

	mu       sync.Mutex
	err      error
	closed   bool
	streams  map[uint32]*Stream
	incoming int
	nextID   uint32
	// busySince is when a stream was last added to a connection without
	// streams, in unix nanoseconds.
	busySince int64
	// While draining is set, this side opens no new streams. It sends a goAway
	// frame when the last stream has ended; the side that has sent one when it
	// receives one closes the connection. closesWhenIdle is set if it must wait for
	// the removal of a stream whose result it has sent.
	draining, sentGoAway, gotGoAway, closesWhenIdle bool
}

func newConn(t *Transport, nc net.Conn, remote Node, incarnation uint64, dialled bool) *conn {
	c := &conn{
		t: t, nc: nc, remote: remote, incarnation: incarnation, dialled: dialled,
		queue:   make(chan *bytes.Buffer, t.options.QueueFrames),
		ctrl:    make(chan *bytes.Buffer, t.options.QueueFrames),
		done:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
		streams: map[uint32]*Stream{},
		nextID:  2,
	}
	if dialled {
		c.nextID = 1
	}
	now := time.Now().UnixNano()
	c.lastRead.Store(now)
	c.lastUsed.Store(now)
	return c
}

// run serves the connection until it fails or ctx ends.
func (c *conn) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(c.writeLoop)
	wg.Go(func() { c.keepAlive(ctx) })
	c.fail(c.readLoop(ctx, &wg))
	wg.Wait()
}

// fail closes the connection and ends all its streams with an error. Calls
// after the first have no effect.
func (c *conn) fail(err error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed, c.err = true, err
	streams := c.streams
	c.streams = map[uint32]*Stream{}
	close(c.done)
	c.mu.Unlock()
	_ = c.nc.Close()
	for _, s := range streams {
		s.finish(fault.Wrap(err, fault.Ambiguous, "peer.stream", c.remote.ID, "connection lost"))
	}
}

func (c *conn) cause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// enqueue passes a frame to the write loop; it blocks while the queue is full.
// After a nil error the peer may receive the frame; after an error it does not.
func (c *conn) enqueue(ctx context.Context, b *bytes.Buffer) error {
	select {
	case c.queue <- b:
		return nil
	default:
	}
	select {
	case c.queue <- b:
		return nil
	case <-c.done:
		putBuffer(b)
		return fault.Wrap(c.cause(), fault.Unavailable, "peer.send", c.remote.ID, "connection lost")
	case <-ctx.Done():
		putBuffer(b)
		return fault.Wrap(ctx.Err(), fault.Unavailable, "peer.send", c.remote.ID, "queue full")
	}
}

// enqueueControl passes a control frame to the write loop without blocking. If
// the control queue is full, because the peer triggers replies faster than it
// reads them, the connection is closed.
func (c *conn) enqueueControl(b *bytes.Buffer) {
	select {
	case c.ctrl <- b:
	default:
		putBuffer(b)
		c.fail(fault.New(fault.Exhausted, "peer.control", c.remote.ID, "control queue full"))
	}
}

func (c *conn) stream(id uint32) *Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id]
}

// acceptStream starts the handler of a stream that the peer opened. An error
// closes the connection.
func (c *conn) acceptStream(ctx context.Context, wg *sync.WaitGroup, id uint32, payload *bytes.Buffer) error {
	if payload == nil || payload.Len() < kindBytes || (id%2 == 1) == c.dialled {
		putBuffer(payload)
		return fault.New(fault.Protocol, "peer.accept", c.remote.ID, "malformed opening of stream %d", id)
	}
	kind := Kind(binary.BigEndian.Uint16(payload.Next(kindBytes)))
	handler, known := c.t.handlers[kind]
	if !known {
		putBuffer(payload)
		c.rejectStream(id, fault.New(fault.Protocol, "peer.open", "", "unknown kind %s", kind))
		return nil
	}
	s := newStream(c, id, kind, false)
	c.mu.Lock()
	full := c.incoming >= c.t.options.MaxStreams
	_, duplicate := c.streams[id]
	if !full && !duplicate && !c.closed {
		c.markBusy()
		c.streams[id] = s
		c.incoming++
	}
	closed := c.closed
	c.mu.Unlock()
	switch {
	case closed:
		putBuffer(payload)
		return nil
	case duplicate:
		putBuffer(payload)
		return fault.New(fault.Protocol, "peer.accept", c.remote.ID, "stream %d opened twice", id)
	case full:
		putBuffer(payload)
		c.rejectStream(id, fault.New(fault.Exhausted, "peer.open", "", "too many streams"))
		return nil
	}
	s.opening = payload
	wg.Go(func() { s.serve(ctx, handler) })
	return nil
}

func (c *conn) rejectStream(id uint32, err error) {
	b, encodeErr := messageFrame(frameDone, id, nil, remoteError("peer.open", err), c.t.options.MaxFrameBytes)
	if encodeErr != nil {
		b = rawFrame(frameDone, id)
	}
	c.enqueueControl(b)
}

func (c *conn) handleNotify(payload *bytes.Buffer) error {
	if payload == nil || payload.Len() < kindBytes {
		putBuffer(payload)
		return fault.New(fault.Protocol, "peer.notify", c.remote.ID, "malformed notification")
	}
	kind := Kind(binary.BigEndian.Uint16(payload.Next(kindBytes)))
	c.t.dispatchNotify(c.remote, kind, payload)
	return nil
}

// addStream creates and registers a stream that this node opens.
func (c *conn) addStream(kind Kind) (*Stream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.draining {
		return nil, fault.New(fault.Unavailable, "peer.open", c.remote.ID, "connection is closing")
	}
	if len(c.streams)-c.incoming >= c.t.options.MaxStreams {
		return nil, fault.New(fault.Exhausted, "peer.open", c.remote.ID, "too many streams")
	}
	s := newStream(c, c.nextID, kind, true)
	c.nextID += 2
	c.markBusy()
	c.streams[s.id] = s
	c.lastUsed.Store(time.Now().UnixNano())
	return s, nil
}

// markBusy updates busySince before a stream is added; mu is held.
func (c *conn) markBusy() {
	if len(c.streams) == 0 {
		c.busySince = time.Now().UnixNano()
	}
}

func (c *conn) removeStream(s *Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[s.id] != s {
		return
	}
	delete(c.streams, s.id)
	if !s.opener {
		c.incoming--
	}
	if c.draining && len(c.streams) == 0 {
		c.wakeKeepAlive()
	}
}

func (c *conn) wakeKeepAlive() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
