package entry

import (
	"context"
	"sync"

	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
)

// source delivers an answer from one node.
type source interface {
	// next waits for the next step of the answer.
	next(ctx context.Context) (request.Part, error)
	// ready reports whether next would return without waiting.
	ready() bool
	// close releases the source; the request goes on.
	close()
}

// localSource reads an answer from a record of this node.
type localSource struct{ cursor *request.Cursor }

func (s localSource) next(ctx context.Context) (request.Part, error) { return s.cursor.Next(ctx) }
func (s localSource) ready() bool                                    { return s.cursor.Ready() }
func (s localSource) close()                                         {}

// remoteSource reads an answer from a peer. One goroutine receives the steps and
// buffers them in a bounded channel, so that none is lost when the context of a call
// to next ends.
type remoteSource struct {
	stream *peer.Stream
	steps  chan stepOrError
	cancel context.CancelFunc
	done   sync.WaitGroup
	// terminal is set after an error or a handover, which are final: next returns
	// it again.
	terminal *stepOrError
}

type stepOrError struct {
	step request.Part
	err  error
}

// remoteBufferSteps bounds the steps that were received but not yet delivered.
const remoteBufferSteps = 64

func newRemoteSource(ctx context.Context, stream *peer.Stream) *remoteSource {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &remoteSource{stream: stream, steps: make(chan stepOrError, remoteBufferSteps), cancel: cancel}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		s.receive(ctx)
	}()
	return s
}

func (s *remoteSource) receive(ctx context.Context) {
	for {
		var m stepMsg
		if err := s.stream.Recv(ctx, &m); err != nil {
			s.put(ctx, stepOrError{err: err})
			return
		}
		for _, step := range stepsOf(m) {
			if !s.put(ctx, stepOrError{step: step}) {
				return
			}
		}
		if m.End != nil || m.HandedOver {
			return
		}
	}
}

func (s *remoteSource) put(ctx context.Context, v stepOrError) bool {
	select {
	case s.steps <- v:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *remoteSource) next(ctx context.Context) (request.Part, error) {
	if s.terminal != nil {
		return s.terminal.step, s.terminal.err
	}
	select {
	case v := <-s.steps:
		if v.err != nil || v.step.HandedOver {
			s.terminal = &v
		}
		return v.step, v.err
	case <-ctx.Done():
		return request.Part{}, ctx.Err()
	}
}

func (s *remoteSource) ready() bool { return len(s.steps) > 0 }

func (s *remoteSource) close() {
	s.cancel()
	s.stream.Close()
	s.done.Wait()
}

// stepsOf returns the steps of a message in order.
func stepsOf(m stepMsg) []request.Part {
	var steps []request.Part
	if m.Head != nil {
		steps = append(steps, request.Part{Head: m.Head})
	}
	for i := range m.Events {
		steps = append(steps, request.Part{Event: &m.Events[i]})
	}
	if m.End != nil {
		steps = append(steps, request.Part{End: m.End})
	}
	if m.HandedOver {
		steps = append(steps, request.Part{HandedOver: true})
	}
	return steps
}
