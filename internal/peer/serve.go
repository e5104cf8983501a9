package peer

import (
	"context"
	"fmt"
	"io"
	"sync"

	"buckthornpick/internal/fault"
)

// serve runs the handler and reports its result to the opener.
func (s *Stream) serve(ctx context.Context, h Handler) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		select {
		case <-s.sendDone:
			cancel()
		case <-stop:
		}
	})
	err := s.callHandler(ctx, h)
	close(stop)
	wg.Wait()
	s.sendResult(err)
	if s.opening != nil {
		putBuffer(s.opening)
		s.opening = nil
	}
}

func (s *Stream) callHandler(ctx context.Context, h Handler) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.c.t.log.Log(EvHandlerPanic, "peer", s.c.remote.ID, "kind", s.kind.String(), "panic", fmt.Sprint(p))
			err = fault.New(fault.Ambiguous, "peer.serve", "", "handler of %s panicked", s.kind)
		}
	}()
	return h(ctx, s.c.remote, s)
}

func (s *Stream) sendResult(err error) {
	select {
	case <-s.sendDone: // the stream has already ended
	default:
		b := rawFrame(frameDone, s.id)
		if err != nil {
			if e, encodeErr := messageFrame(frameDone, s.id, nil, remoteError("peer.serve", err), s.c.t.options.MaxFrameBytes); encodeErr == nil {
				putBuffer(b)
				b = e
			}
		}
		_ = s.c.enqueue(context.Background(), b) // fails only if the connection has failed
	}
	s.finish(io.EOF)
}
