package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"buckthornpick/internal/request"
)

// writeAnswer writes an answer as an event stream or as a single response, as
// the caller requested.
func (g *Gateway) writeAnswer(w http.ResponseWriter, r *http.Request, a Answer) {
	info := a.Info()
	w.Header().Set(HeaderRequestID, string(info.ID))
	if info.Stream {
		g.writeStream(w, r, a)
		return
	}
	g.writeWhole(w, r, a)
}

// errLeaving is the cancellation cause when this VM is about to stop before the
// answer is complete.
var errLeaving = errors.New("this VM is leaving; attach at another one")

// writeWhole collects the answer before it writes anything, so that the caller
// never receives an incomplete answer with a success status.
func (g *Gateway) writeWhole(w http.ResponseWriter, r *http.Request, a Answer) {
	ctx, cancel := g.contextUntilLeaving(r.Context())
	defer cancel()
	collected, err := collect(ctx, a)
	switch {
	case err == nil:
		g.writeCollected(w, a.Info(), collected)
	case errors.Is(context.Cause(ctx), errLeaving):
		ensureHandover(r, a)
		redirect(w, a.Info().ID)
	default:
		g.recordSourceError(r, a, err)
		writeNodeError(w, a.Info().ID, err)
	}
}

// collectedAnswer holds all parts of an answer.
type collectedAnswer struct {
	head   *request.Head
	events []request.Event
	end    request.End
}

func collect(ctx context.Context, a Answer) (collectedAnswer, error) {
	var c collectedAnswer
	for {
		part, err := a.Next(ctx)
		if err != nil {
			return c, err
		}
		switch {
		case part.Head != nil:
			c.head = part.Head
		case part.Event != nil:
			c.events = append(c.events, *part.Event)
		case part.End != nil:
			c.end = *part.End
			return c, nil
		}
	}
}

// redirect redirects the caller to the URL of the answer, which every other
// entry serves. It closes the connection so that the caller connects to another
// entry.
func redirect(w http.ResponseWriter, id request.ID) {
	h := w.Header()
	h.Set("Location", "/v1/requests/"+string(id))
	h.Set("Retry-After", "1")
	h.Set("Connection", "close")
	w.WriteHeader(http.StatusSeeOther)
}

// handoverTimeout bounds the wait in ensureHandover.
const handoverTimeout = time.Second

func ensureHandover(r *http.Request, a Answer) {
	ctx, cancel := context.WithTimeout(r.Context(), handoverTimeout)
	defer cancel()
	a.EnsureHandover(ctx)
}

// contextUntilLeaving returns a context that is also cancelled, with cause
// errLeaving, when the node starts to send its callers to other entries.
func (g *Gateway) contextUntilLeaving(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	go func() {
		select {
		case <-g.node.Leaving():
			cancel(errLeaving)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// recordSourceError records why no further part of an answer came. It does not tell
// whether the caller is gone or has only closed its sending side, since both end the
// context of r, so an error must be written in either case.
func (g *Gateway) recordSourceError(r *http.Request, a Answer, err error) {
	if r.Context().Err() != nil {
		g.recordAborted(a, err)
		return
	}
	g.log.Log(EvAnswerSourceLost, "request", a.Info().ID, "error", err)
}

// recordAborted counts and logs an answer that could not be written to the
// caller.
func (g *Gateway) recordAborted(a Answer, err error) {
	g.counters.aborted.Inc(1)
	g.log.Log(EvAnswerAborted, "request", a.Info().ID, "error", err)
}
