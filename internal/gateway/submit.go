package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/membudget"
	"buckthornpick/internal/request"
)

// maxKeyLength is the maximum length of an idempotency key, in bytes.
const maxKeyLength = 256

// readBody reads the whole request body, limited by MaxBodyBytes, BodyTimeout and the
// memory budget. The caller closes the holder of its memory when the request has ended, also
// after a problem.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *membudget.Holder, *problem) {
	parts, memory, err := g.cfg.Memory.ReadBody(r.Context(), membudget.BodySource{
		Reader: http.MaxBytesReader(w, r.Body, g.cfg.MaxBodyBytes), Declared: r.ContentLength, Group: r.RemoteAddr[:max(0, strings.LastIndexByte(r.RemoteAddr, ':'))],
		SetReadDeadline: http.NewResponseController(w).SetReadDeadline, End: time.Now().Add(g.cfg.BodyTimeout),
	})
	if err == nil {
		body, ok := joinParts(r.Context(), memory, parts)
		if ok {
			return body, memory, nil
		}
		err = membudget.ErrShort
	}
	if errors.Is(err, membudget.ErrShort) {
		w.Header().Set("Connection", "close") // else net/http waits for the rest before it responds
		return nil, memory, &problem{status: http.StatusServiceUnavailable, kind: typeUnavailable,
			message: "no memory for the body at present", outcome: refusedOutcome(r), retryAfter: time.Second}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, memory, &problem{status: http.StatusRequestEntityTooLarge, kind: typeInvalidRequest,
			message: "body exceeds " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"}
	}
	return nil, memory, &problem{status: http.StatusBadRequest, kind: typeInvalidRequest,
		message: "body could not be read: " + fault.Text(err)}
}

// joinRoomPatience is how long a body that has arrived waits for room to be joined.
const joinRoomPatience = 250 * time.Millisecond

// joinParts joins the parts of a body, for which the holder needs their size once more for a
// moment. ok is false if there is no room.
func joinParts(ctx context.Context, memory *membudget.Holder, parts [][]byte) (body []byte, ok bool) {
	if len(parts) == 1 {
		return parts[0], true
	}
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	if !memory.Reserve(ctx, int64(size), joinRoomPatience) {
		return nil, false
	}
	body = bytes.Join(parts, nil)
	memory.Return(int64(size))
	return body, true
}

// submit sets the remaining fields of req, submits it to the node and writes the
// answer.
func (g *Gateway) submit(w http.ResponseWriter, r *http.Request, c caller, req *request.Request, s config.Service) {
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyLength {
		writeProblem(w, invalidRequest("Idempotency-Key exceeds "+strconv.Itoa(maxKeyLength)+" bytes"))
		return
	}
	pos, p := parseLastEventID(r)
	if p != nil {
		writeProblem(w, *p)
		return
	}
	if req.Method == "" {
		req.Method, req.Path = r.Method, r.URL.Path
	}
	req.Priority = r.Header.Get(HeaderPriority)
	g.setIdentity(req, c.organisation, key)
	req.AcceptedAt = time.Now()
	req.Deadline = req.AcceptedAt.Add(g.timeout(s))
	g.log.Log(EvRequestReceived, "request", req.ID, "organisation", req.Organisation, "service", req.Service)
	answer, err := g.node.Submit(r.Context(), req, pos)
	if err != nil {
		writeNodeError(w, req.ID, err)
		return
	}
	defer answer.Close()
	g.writeAnswer(w, r, answer)
}

// setIdentity sets the organisation, ID and fingerprint of req. A request
// without an idempotency key gets a generated ID.
func (g *Gateway) setIdentity(req *request.Request, organisation, key string) {
	req.Organisation = organisation
	if key == "" {
		req.HasGeneratedKey = true
		req.ID = g.node.GenerateRequestID()
	} else {
		req.ID = request.NewID(organisation, key)
	}
	req.Fingerprint = fingerprint(req)
}

// fingerprint returns a hash of the organisation, service, method, path and body
// of the request.
func fingerprint(req *request.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{req.Organisation, req.Service, req.Method, req.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.Body)
	return d.Sum64()
}

func (g *Gateway) timeout(s config.Service) time.Duration {
	if s.TimeoutSeconds > 0 {
		return time.Duration(s.TimeoutSeconds * float64(time.Second))
	}
	return g.cfg.RequestTimeout
}

// serveAttach writes the answer of an existing request, beginning after the
// event in Last-Event-ID.
func (g *Gateway) serveAttach(w http.ResponseWriter, r *http.Request, c caller) {
	id := request.ID(r.PathValue("id"))
	if !id.Valid() {
		writeProblem(w, invalidRequest("request ID must be 32 hexadecimal digits"))
		return
	}
	pos, p := parseLastEventID(r)
	if p != nil {
		writeProblem(w, *p)
		return
	}
	answer, err := g.node.Attach(r.Context(), c.organisation, id, pos)
	if err != nil {
		writeNodeError(w, id, err)
		return
	}
	defer answer.Close()
	g.writeAnswer(w, r, answer)
}

// parseLastEventID returns the position after which the caller wants the answer.
// An event ID is the sequence number, a hyphen and the name of the answer; the
// number alone is accepted too.
func parseLastEventID(r *http.Request) (request.Position, *problem) {
	text := r.Header.Get(HeaderLastEventID)
	if text == "" {
		return request.Position{}, nil
	}
	number, answer, _ := strings.Cut(text, eventIDSeparator)
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 {
		p := invalidRequest("Last-Event-ID must be the ID of an event, not " + quote(text))
		return request.Position{}, &p
	}
	return request.Position{After: n, Answer: answer}, nil
}

// eventIDSeparator separates sequence number and answer name in an event ID.
const eventIDSeparator = "-"

// EndError is an error of Node.Submit, Node.Attach or Answer.Next that states how
// the request ended. The gateway returns it to the caller as an error object.
type EndError struct{ End request.End }

// Error implements error.
func (e *EndError) Error() string { return string(e.End.Outcome) + ": " + e.End.Message }

// writeNodeError writes the response for an error of the node. The outcome of an
// error other than EndError is unknown.
func writeNodeError(w http.ResponseWriter, id request.ID, err error) {
	var end *EndError
	if errors.As(err, &end) {
		writeProblem(w, problemFromEnd(id, end.End))
		return
	}
	writeProblem(w, problem{status: http.StatusBadGateway, kind: typeInternal, id: id,
		message: fault.Text(err), outcome: request.Unknown, retryAfter: time.Second})
}

func invalidRequest(message string) problem {
	return problem{status: http.StatusBadRequest, kind: typeInvalidRequest, message: message}
}

func quote(s string) string { return strconv.Quote(s) }
