package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/upstream"
)

const (
	// maxDetourTries limits the entries that are asked to make a call.
	maxDetourTries = 5
	// detourOpenTimeout limits the time to reach such an entry.
	detourOpenTimeout = 150 * time.Millisecond
	// helperAvoidance is how long an entry that cannot make calls for others is not asked.
	helperAvoidance = time.Second
	// detourChunkBytes is the size of one read of a response's body.
	detourChunkBytes = 16 << 10
)

// detourReply precedes the body of a response, which follows in messages of bytes.
type detourReply struct {
	// CannotHelp is true if the entry makes no calls for others at present, IsUnsent if
	// nothing was sent to this server, and IsExhausted if that is for want of a connection.
	CannotHelp  bool   `msgpack:"n,omitempty"`
	IsUnsent    bool   `msgpack:"u,omitempty"`
	IsExhausted bool   `msgpack:"x,omitempty"`
	Error       string `msgpack:"e,omitempty"`

	Status         int         `msgpack:"s,omitempty"`
	Header         http.Header `msgpack:"h,omitempty"`
	DeclaredLength int64       `msgpack:"l,omitempty"`
	IsFramed       bool        `msgpack:"f,omitempty"`
}

// HandleDetours makes r serve the calls of other entries. It must be called before the
// transport runs.
func (x *Exchange) HandleDetours(r *relay.Relay) {
	x.Transport.Handle(peer.RelayDetour, func(ctx context.Context, from peer.Node, s *peer.Stream) error {
		var call relay.DetourCall
		if err := s.DecodeOpening(&call); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, time.Duration(call.RemainingMillis)*time.Millisecond)
		defer cancel()
		resp, err := r.ServeDetour(ctx, from.ID, &call)
		if err != nil {
			if upstream.MayHaveBeenSent(err) {
				return err
			}
			return s.Send(ctx, detourReply{CannotHelp: errors.Is(err, relay.ErrCannotHelp), IsUnsent: true, IsExhausted: fault.Is(err, fault.Exhausted), Error: err.Error()})
		}
		defer func() { _ = resp.Body.Close() }()
		if err := s.Send(ctx, detourReply{Status: resp.Status, Header: resp.Header, DeclaredLength: resp.DeclaredLength, IsFramed: resp.Framed}); err != nil {
			return err
		}
		return sendBody(ctx, s, resp.Body)
	})
}

// sendBody sends the body until its end.
func sendBody(ctx context.Context, s *peer.Stream, body io.Reader) error {
	chunk := make([]byte, detourChunkBytes)
	for {
		n, err := body.Read(chunk)
		if n > 0 {
			if err := s.Send(ctx, chunk[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.Ambiguous, "detour.body", "", "the response broke off")
		}
	}
}

// Detour implements relay.Peers. It asks entries in random order, so that the calls are
// spread evenly.
func (x *Exchange) Detour(ctx context.Context, call *relay.DetourCall) (*upstream.Response, string, error) {
	others := x.Entries.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	tries := 0
	for _, node := range others {
		if tries == maxDetourTries || ctx.Err() != nil {
			break
		}
		if x.Transport.IsUnreachable(node.ID) || x.isAvoidedHelper(node.ID, call.Service) {
			continue
		}
		tries++
		resp, err := x.detourVia(ctx, node, call)
		if err == nil || !errors.Is(err, relay.ErrCannotHelp) {
			return resp, node.ID, err
		}
		x.avoidHelper(node.ID, call.Service)
	}
	return nil, "", fmt.Errorf("%w: %w", relay.ErrNoDetour, fault.New(fault.Unavailable, "exchange.detour", call.Server, "%d entries were asked", tries))
}

// detourVia makes a call by way of an entry. An error after which the server may have got
// the call is fault.Ambiguous.
func (x *Exchange) detourVia(ctx context.Context, node peer.Node, call *relay.DetourCall) (*upstream.Response, error) {
	const step = "exchange.detour"
	openCtx, cancel := context.WithTimeout(ctx, detourOpenTimeout)
	defer cancel()
	s, err := x.Transport.Open(openCtx, node, peer.RelayDetour, call)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", relay.ErrCannotHelp, fault.Wrap(err, fault.Unavailable, step, node.ID, "cannot be reached"))
	}
	var reply detourReply
	if err := s.Recv(ctx, &reply); err != nil {
		s.Close()
		return nil, fault.Wrap(err, fault.Ambiguous, step, node.ID, "no response")
	}
	if reply.IsUnsent {
		s.Close()
		switch {
		case reply.CannotHelp:
			return nil, fmt.Errorf("%w: %w", relay.ErrCannotHelp, fault.New(fault.Unavailable, step, node.ID, "%s", reply.Error))
		case reply.IsExhausted:
			return nil, fault.New(fault.Exhausted, step, node.ID, "%s", reply.Error)
		}
		return nil, fault.New(fault.Unavailable, step, node.ID, "%s", reply.Error)
	}
	return &upstream.Response{
		Status: reply.Status, Header: reply.Header, DeclaredLength: reply.DeclaredLength, Framed: reply.IsFramed,
		Body: &detourBody{ctx: ctx, stream: s},
	}, nil
}

// detourBody is the body of a response that comes by way of another entry.
type detourBody struct {
	ctx     context.Context
	stream  *peer.Stream
	pending []byte
}

// Read implements io.Reader.
func (b *detourBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if err := b.stream.Recv(b.ctx, &b.pending); err != nil {
			return 0, err
		}
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// Close implements io.Closer. It cancels the call unless it has ended.
func (b *detourBody) Close() error {
	b.stream.Close()
	return nil
}

// helperKey identifies an entry as a helper for calls to a service.
type helperKey struct{ entry, service string }

// isAvoidedHelper reports whether the entry has lately refused to make a call.
func (x *Exchange) isAvoidedHelper(entry, service string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	key := helperKey{entry, service}
	until, ok := x.avoidedHelpers[key]
	if ok && x.Clock() >= until {
		delete(x.avoidedHelpers, key)
		return false
	}
	return ok
}

func (x *Exchange) avoidHelper(entry, service string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.avoidedHelpers[helperKey{entry, service}] = x.Clock() + helperAvoidance
}
