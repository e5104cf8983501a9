package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/request"
)

// Names of the server-sent events that the gateway adds to an engine's answer.
const (
	eventError    = "error"
	eventReattach = "reattach"
)

var (
	doneEvent      = []byte("data: [DONE]\n\n")
	keepAliveEvent = []byte(": keep-alive\n\n")
)

// streamWriter writes one answer as server-sent events. Events are buffered
// until flush.
type streamWriter struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	id request.ID
	// suffix is appended to the sequence number in event IDs. It names the
	// answer.
	suffix    string
	started   bool
	buf       bytes.Buffer
	keepAlive keepAliveTimer
}

// writeStream writes an answer as server-sent events. The outcome is sent as a
// trailer and, unless it is "completed", also in a final error event.
func (g *Gateway) writeStream(w http.ResponseWriter, r *http.Request, a Answer) {
	ctx, cancel := g.contextUntilLeaving(r.Context())
	defer cancel()
	s := &streamWriter{w: w, rc: http.NewResponseController(w), id: a.Info().ID, keepAlive: keepAliveTimer{interval: g.cfg.KeepAlive}}
	defer s.keepAlive.stop()
	for {
		part, err := g.nextOrKeepAlive(ctx, a, s)
		if err != nil {
			g.endBrokenStream(ctx, r, a, s, err)
			return
		}
		if part.End != nil {
			s.writeEnd(*part.End)
			return
		}
		if part.Head != nil && part.Head.Answer != "" {
			s.suffix = eventIDSeparator + part.Head.Answer
		}
		if part.Event == nil {
			continue
		}
		s.bufferEvent(*part.Event)
		if !a.Ready() {
			err = s.flush()
		}
		if err != nil {
			g.recordAborted(a, err)
			return
		}
	}
}

// nextOrKeepAlive waits for the next part. While it waits it writes keep-alive
// comments, once the stream has started.
func (g *Gateway) nextOrKeepAlive(ctx context.Context, a Answer, s *streamWriter) (request.Part, error) {
	if a.Ready() {
		return a.Next(ctx)
	}
	idleSince := time.Now()
	for {
		part, err := a.Next(s.keepAlive.waitContext(ctx, idleSince))
		if err == nil || ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return part, err
		}
		if time.Since(idleSince) < g.cfg.KeepAlive {
			continue
		}
		if s.started {
			_, _ = s.w.Write(keepAliveEvent)
			_ = s.rc.Flush()
		}
		idleSince = time.Now()
	}
}

// endBrokenStream ends a stream whose source returned err: because this VM is
// about to stop, because the caller disconnected, or because the answer was lost.
func (g *Gateway) endBrokenStream(ctx context.Context, r *http.Request, a Answer, s *streamWriter, err error) {
	switch {
	case errors.Is(context.Cause(ctx), errLeaving):
		ensureHandover(r, a)
		s.writeReattach()
	default:
		g.recordSourceError(r, a, err)
		var end *EndError
		if errors.As(err, &end) {
			s.writeEnd(end.End)
			return
		}
		s.writeEnd(request.End{Outcome: request.Unknown, Problem: typeInternal, Message: fault.Text(err),
			Status: http.StatusBadGateway, RetryAfter: time.Second})
	}
}

// writeHeader sends status and headers before the first event.
func (s *streamWriter) writeHeader() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", HeaderOutcome)
	s.w.WriteHeader(http.StatusOK)
}

// bufferEvent appends one event to the buffer.
func (s *streamWriter) bufferEvent(ev request.Event) {
	s.writeHeader()
	s.buf.WriteString("id: ")
	s.buf.WriteString(strconv.Itoa(ev.Sequence))
	s.buf.WriteString(s.suffix)
	s.buf.WriteString("\ndata: ")
	s.buf.Write(ev.Data)
	s.buf.WriteString("\n\n")
}

// flush sends the buffered events.
func (s *streamWriter) flush() error {
	if _, err := s.w.Write(s.buf.Bytes()); err != nil {
		return err
	}
	s.buf.Reset()
	return s.rc.Flush()
}

// writeEnd writes the final event and the outcome. If the request failed before
// the first event, the response is an error object instead of a stream.
func (s *streamWriter) writeEnd(e request.End) {
	if !s.started && e.Outcome != request.Completed {
		writeProblem(s.w, problemFromEnd(s.id, e))
		return
	}
	s.writeHeader()
	if e.Outcome == request.Completed {
		s.buf.Write(doneEvent)
	} else {
		s.bufferNamedEvent(eventError, problemFromEnd(s.id, e).body())
	}
	_ = s.flush()
	s.w.Header().Set(HeaderOutcome, string(e.Outcome))
}

type reattachBody struct {
	Location    string `json:"location"`
	LastEventID string `json:"last_event_id,omitempty"`
}

// writeReattach sends the caller the URL where the rest of the answer is served:
// as a redirect before the first event, and as a reattach event after it.
func (s *streamWriter) writeReattach() {
	if !s.started {
		redirect(s.w, s.id)
		return
	}
	body, err := json.Marshal(reattachBody{Location: "/v1/requests/" + string(s.id)})
	if err != nil {
		return
	}
	s.bufferNamedEvent(eventReattach, body)
	_ = s.flush()
}

func (s *streamWriter) bufferNamedEvent(name string, data []byte) {
	s.buf.WriteString("event: ")
	s.buf.WriteString(name)
	s.buf.WriteString("\ndata: ")
	s.buf.Write(data)
	s.buf.WriteString("\n\n")
}

// writeCollected writes a collected answer as a single response.
func (g *Gateway) writeCollected(w http.ResponseWriter, info request.Info, c collectedAnswer) {
	if c.end.Outcome != request.Completed {
		writeProblem(w, problemFromEnd(info.ID, c.end))
		return
	}
	head, body, err := wholeBody(info.Kind, c)
	if err != nil {
		writeProblem(w, problem{status: http.StatusBadGateway, kind: typeInternal, id: info.ID,
			message: "answer could not be assembled: " + fault.Text(err), outcome: request.Unknown})
		return
	}
	h := w.Header()
	for name, values := range head.Header {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(request.Completed))
	w.WriteHeader(head.Status)
	_, _ = w.Write(body)
}

// wholeBody returns the head and body of the single response to a request that
// is not streamed.
func wholeBody(kind request.Kind, c collectedAnswer) (request.Head, []byte, error) {
	if kind != request.Plain {
		body, err := backend.Assemble(kind, c.events)
		head := request.Head{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}}
		return head, body, err
	}
	head := request.Head{Status: http.StatusOK}
	if c.head != nil {
		head = *c.head
	}
	var body []byte
	for _, ev := range c.events {
		body = append(body, ev.Data...)
	}
	return head, body, nil
}
