package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"buckthornpick/internal/request"
)

// writeAnswer delivers an answer in the form that the caller asked for.
func (g *Gateway) writeAnswer(w http.ResponseWriter, r *http.Request, a Answer) {
	info := a.Info()
	w.Header().Set(HeaderRequestID, string(info.ID))
	if info.Stream {
		g.writeStream(w, r, a)
		return
	}
	g.writeWhole(w, r, a)
}

// errLeaving says that this VM is going away before the answer is complete.
var errLeaving = errors.New("this VM is leaving; attach at another one")

// writeWhole collects the answer and writes it in one piece, so that an
// incomplete answer never looks like a complete one.
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
	case r.Context().Err() != nil:
		g.recordAborted(a, r.Context().Err())
	default:
		g.log.Log(EvAnswerSourceLost, "request", a.Info().ID, "error", err)
		writeNodeError(w, a.Info().ID, err)
	}
}

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

// redirect sends the caller to the answer's own address, which any other entry
// serves.
func redirect(w http.ResponseWriter, id request.ID) {
	h := w.Header()
	h.Set("Location", "/v1/requests/"+string(id))
	h.Set("Retry-After", "1")
	h.Set("Connection", "close")
	w.WriteHeader(http.StatusSeeOther)
}

// settleWait bounds the wait until a node that stays has the request.
const handoverTimeout = time.Second

func ensureHandover(r *http.Request, a Answer) {
	ctx, cancel := context.WithTimeout(r.Context(), handoverTimeout)
	defer cancel()
	a.EnsureHandover(ctx)
}

// untilLeaving returns a context that also ends when this VM must be left; its
// cause is then errLeaving.
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

func (g *Gateway) recordAborted(a Answer, err error) {
	g.counters.aborted.Inc(1)
	g.log.Log(EvAnswerAborted, "request", a.Info().ID, "error", err)
}
