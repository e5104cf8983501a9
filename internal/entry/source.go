package entry

import (
	"context"
	"sync"

	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
)

// source delivers an answer from one node.
type source interface {
	// next waits for the next part of the answer.
	next(ctx context.Context) (request.Part, error)
	// ready reports whether next would return without waiting.
	ready() bool
	// close releases the source; the request continues to run.
	close()
}

// localSource reads an answer from a record of this node.
type localSource struct{ cursor *request.Cursor }

func (s localSource) next(ctx context.Context) (request.Part, error) { return s.cursor.Next(ctx) }
func (s localSource) ready() bool                                    { return s.cursor.Ready() }
func (s localSource) close()                                         {}

// remoteSource reads an answer from a peer. One goroutine receives the parts and
// buffers them in a bounded channel, so that none is lost when the context of a call
// to next ends.
type remoteSource struct {
	stream *peer.Stream
	parts  chan partOrError
	cancel context.CancelFunc
	done   sync.WaitGroup
	// terminal is set after an error or a handover, which are final: next returns
	// it again.
	terminal *partOrError
}

type partOrError struct {
	part request.Part
	err  error
}

// remoteBufferParts bounds the parts that were received but not yet delivered.
const remoteBufferParts = 64

func newRemoteSource(ctx context.Context, stream *peer.Stream) *remoteSource {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &remoteSource{stream: stream, parts: make(chan partOrError, remoteBufferParts), cancel: cancel}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		s.receive(ctx)
	}()
	return s
}

func (s *remoteSource) receive(ctx context.Context) {
	for {
		var m answerMsg
		if err := s.stream.Recv(ctx, &m); err != nil {
			s.put(ctx, partOrError{err: err})
			return
		}
		for _, part := range partsOf(m) {
			if !s.put(ctx, partOrError{part: part}) {
				return
			}
		}
		if m.End != nil || m.HandedOver {
			return
		}
	}
}

func (s *remoteSource) put(ctx context.Context, v partOrError) bool {
	select {
	case s.parts <- v:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *remoteSource) next(ctx context.Context) (request.Part, error) {
	if s.terminal != nil {
		return s.terminal.part, s.terminal.err
	}
	select {
	case v := <-s.parts:
		if v.err != nil || v.part.HandedOver {
			s.terminal = &v
		}
		return v.part, v.err
	case <-ctx.Done():
		return request.Part{}, ctx.Err()
	}
}

func (s *remoteSource) ready() bool { return len(s.parts) > 0 }

func (s *remoteSource) close() {
	s.cancel()
	s.stream.Close()
	s.done.Wait()
}

// partsOf returns the parts of the answer in a message, in order.
func partsOf(m answerMsg) []request.Part {
	var parts []request.Part
	if m.Head != nil {
		parts = append(parts, request.Part{Head: m.Head})
	}
	for i := range m.Events {
		parts = append(parts, request.Part{Event: &m.Events[i]})
	}
	if m.End != nil {
		parts = append(parts, request.Part{End: m.End})
	}
	if m.HandedOver {
		parts = append(parts, request.Part{HandedOver: true})
	}
	return parts
}
