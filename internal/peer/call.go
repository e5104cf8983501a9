package peer

import (
	"context"
	"errors"
	"io"

	"buckthornpick/internal/fault"
)

// Call makes a unary call: it opens a stream with req, waits for one response
// and closes the stream. Errors: fault.Unavailable if the peer has not received
// req, *RemoteError if the handler failed, fault.Ambiguous if the response was
// lost.
func Call[Resp any](ctx context.Context, t *Transport, to Node, kind Kind, req any) (Resp, error) {
	var resp Resp
	s, err := t.Open(ctx, to, kind, req)
	if err != nil {
		return resp, err
	}
	defer s.Close()
	err = s.Recv(ctx, &resp)
	if errors.Is(err, io.EOF) {
		err = fault.New(fault.Protocol, "peer.call", to.ID, "%s ended without an answer", kind)
	}
	return resp, err
}

// HandleCall returns the handler of a unary call: it decodes the request, calls
// f and sends the response.
func HandleCall[Req, Resp any](f func(ctx context.Context, from Node, req Req) (Resp, error)) Handler {
	return func(ctx context.Context, from Node, s *Stream) error {
		var req Req
		if err := s.DecodeOpening(&req); err != nil {
			return err
		}
		resp, err := f(ctx, from, req)
		if err != nil {
			return err
		}
		return s.Send(ctx, resp)
	}
}
