package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"sync"

	"buckthornpick/internal/fault"
)

// Stream carries ordered messages in both directions. At most one goroutine may
// send and one receive at a time; Close may be called from any goroutine.
type Stream struct {
	c       *conn
	id      uint32
	kind    Kind
	opener  bool
	opening *bytes.Buffer // the opening message, on the handler's side

	inbox       chan *bytes.Buffer // received messages; its capacity is the window
	recvDone    chan struct{}      // closed when no more messages arrive
	sendDone    chan struct{}      // closed when no more messages can be sent
	creditAdded chan struct{}      // wakes a Send that waits for credits

	consumed int // messages received since the last credit frame; used by Recv only

	mu              sync.Mutex
	credits         int
	endErr          error // what Recv returns after the last message
	recvEnded       bool
	sendEnded       bool // sendDone is closed
	closeSendCalled bool // CloseSend was called
}

func newStream(c *conn, id uint32, kind Kind, opener bool) *Stream {
	window := c.t.options.Window
	return &Stream{
		c: c, id: id, kind: kind, opener: opener, credits: window,
		inbox:       make(chan *bytes.Buffer, window),
		recvDone:    make(chan struct{}),
		sendDone:    make(chan struct{}),
		creditAdded: make(chan struct{}, 1),
	}
}

// Peer returns the node on the other side.
func (s *Stream) Peer() Node { return s.c.remote }

// DecodeOpening decodes the opening message. Only the handler's side has one,
// and it can be decoded once.
func (s *Stream) DecodeOpening(into any) error {
	if s.opening == nil {
		return fault.New(fault.Invalid, "peer.first", s.c.remote.ID, "no opening message")
	}
	b := s.opening
	s.opening = nil
	defer putBuffer(b)
	return decode(b.Bytes(), into)
}

// Send queues msg for sending; it blocks while the peer's receive window is
// full. An error of type fault.Unavailable means that the peer does not receive
// msg. If the stream has ended, Send returns the handler's error, or
// fault.Ambiguous if it is not known whether the earlier messages arrived.
func (s *Stream) Send(ctx context.Context, msg any) error {
	if err := s.acquireCredit(ctx); err != nil {
		return err
	}
	b, err := messageFrame(frameData, s.id, nil, msg, s.c.t.options.MaxFrameBytes)
	if err != nil {
		s.addCredits(1)
		return err
	}
	return s.c.enqueue(ctx, b)
}

func (s *Stream) acquireCredit(ctx context.Context) error {
	for {
		s.mu.Lock()
		switch {
		case s.sendEnded:
			err := s.endErr
			s.mu.Unlock()
			if err == nil || err == io.EOF {
				err = fault.New(fault.Unavailable, "peer.send", s.c.remote.ID, "stream has ended")
			}
			return err
		case s.closeSendCalled:
			s.mu.Unlock()
			return fault.New(fault.Invalid, "peer.send", s.c.remote.ID, "send after CloseSend")
		case s.credits > 0:
			s.credits--
			s.mu.Unlock()
			return nil
		}
		s.mu.Unlock()
		select {
		case <-s.creditAdded:
		case <-s.sendDone:
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Unavailable, "peer.send", s.c.remote.ID, "window full")
		}
	}
}

func (s *Stream) addCredits(n int) {
	s.mu.Lock()
	s.credits = min(s.credits+n, s.c.t.options.Window)
	s.mu.Unlock()
	select {
	case s.creditAdded <- struct{}{}:
	default:
	}
}

// Recv decodes the next message. It returns io.EOF after the last one, a
// *RemoteError if the handler failed, and fault.Ambiguous if the connection was
// lost or ctx ended.
func (s *Stream) Recv(ctx context.Context, into any) error {
	b, err := s.next(ctx)
	if err != nil {
		return err
	}
	defer putBuffer(b)
	s.consumed++
	if s.consumed >= max(s.c.t.options.Window/2, 1) {
		s.sendCredits()
	}
	if b == nil {
		return fault.New(fault.Protocol, "peer.recv", s.c.remote.ID, "empty message")
	}
	return decode(b.Bytes(), into)
}

func (s *Stream) next(ctx context.Context) (*bytes.Buffer, error) {
	select {
	case b := <-s.inbox:
		return b, nil
	default:
	}
	select {
	case b := <-s.inbox:
		return b, nil
	case <-s.recvDone:
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.Ambiguous, "peer.recv", s.c.remote.ID, "%s not answered", s.kind)
	}
	select { // recvDone is closed after the last push
	case b := <-s.inbox:
		return b, nil
	default:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, s.endErr
}

func (s *Stream) sendCredits() {
	b := creditFrame(s.id, s.consumed)
	s.consumed = 0
	select {
	case s.c.ctrl <- b:
	case <-s.c.done:
		putBuffer(b)
	}
}

// CloseSend signals to the peer that no more messages follow.
func (s *Stream) CloseSend() error {
	s.mu.Lock()
	skip := s.closeSendCalled || s.sendEnded
	s.closeSendCalled = true
	s.mu.Unlock()
	if skip {
		return nil
	}
	return s.c.enqueue(context.Background(), rawFrame(frameEnd, s.id))
}

// Close ends the stream early: on the opener's side it cancels the context of
// the peer's handler, on the handler's side it reports an error to the opener.
// It has no effect on a stream that has ended.
func (s *Stream) Close() {
	s.mu.Lock()
	ended := s.sendEnded
	s.mu.Unlock()
	err := fault.New(fault.Ambiguous, "peer.stream", s.c.remote.ID, "stream was closed here")
	switch {
	case ended:
	case s.opener:
		s.finish(err)
		// Uses queue and not ctrl, so that it does not overtake the open frame.
		_ = s.c.enqueue(context.Background(), rawFrame(frameReset, s.id))
	default:
		s.sendResult(fault.New(fault.Ambiguous, "peer.serve", "", "the handler abandoned the stream"))
	}
}

// finish ends both directions locally and removes the stream from its connection. Recv
// returns err after the last message.
func (s *Stream) finish(err error) {
	s.endRecv(err)
	s.mu.Lock()
	if !s.sendEnded {
		s.sendEnded = true
		close(s.sendDone)
	}
	s.mu.Unlock()
	s.c.removeStream(s)
}

func (s *Stream) endRecv(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recvEnded {
		if s.endErr == io.EOF {
			s.endErr = err
		}
		return
	}
	s.recvEnded, s.endErr = true, err
	close(s.recvDone)
}

// push adds a received message to the inbox. It is called by the read loop and
// never blocks.
func (s *Stream) push(b *bytes.Buffer) error {
	select {
	case s.inbox <- b:
		return nil
	default:
		putBuffer(b)
		return fault.New(fault.Protocol, "peer.recv", s.c.remote.ID, "stream %d exceeded its window", s.id)
	}
}

// handleControl applies a frame that changes the stream's state. An error closes
// the connection.
func (s *Stream) handleControl(typ frameType, payload *bytes.Buffer) error {
	switch typ {
	case frameEnd:
		s.endRecv(io.EOF)
	case frameDone:
		s.finish(s.handlerResult(payload))
	case frameReset:
		s.finish(fault.New(fault.Unavailable, "peer.stream", s.c.remote.ID, "the opener abandoned the stream"))
	case frameCredit:
		if payload == nil || payload.Len() != creditBytes {
			return fault.New(fault.Protocol, "peer.read", s.c.remote.ID, "malformed credit")
		}
		s.addCredits(int(binary.BigEndian.Uint32(payload.Bytes())))
	}
	return nil
}

func (s *Stream) handlerResult(payload *bytes.Buffer) error {
	if payload == nil {
		return io.EOF
	}
	e := &RemoteError{Peer: s.c.remote.ID}
	if err := decode(payload.Bytes(), e); err != nil {
		return err
	}
	return e
}
