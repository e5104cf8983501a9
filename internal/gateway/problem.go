package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"buckthornpick/internal/request"
)

// Types of error objects in the HTTP API.
const (
	typeInvalidRequest = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typeNotFound       = "not_found_error"
	typeConflict       = "idempotency_error"
	typeUnavailable    = "unavailable_error"
	typeInternal       = "server_error"
)

// problem is an error response. Its body is a JSON error object.
type problem struct {
	status     int    // HTTP status
	kind       string // type of the error object
	message    string
	outcome    request.Outcome
	id         request.ID    // "" if no request ID was assigned
	retryAfter time.Duration // 0 if no retry delay is advised
}

type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Type      string          `json:"type"`
	Message   string          `json:"message"`
	RequestID request.ID      `json:"request_id,omitempty"`
	Outcome   request.Outcome `json:"outcome,omitempty"`
	// RetryAfterSeconds is 0 if no retry delay is advised.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

func (p problem) body() []byte {
	b, err := json.Marshal(errorBody{Error: errorObject{
		Type: p.kind, Message: p.message, RequestID: p.id, Outcome: p.outcome,
		RetryAfterSeconds: ceilSeconds(p.retryAfter),
	}})
	if err != nil {
		return []byte(`{"error":{"type":"server_error"}}`)
	}
	return b
}

// writeProblem writes an error response. A problem without an outcome was
// detected before the request was accepted, so its outcome is "not-run".
func writeProblem(w http.ResponseWriter, p problem) {
	if p.outcome == "" {
		p.outcome = request.NotRun
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(p.outcome))
	if p.id != "" {
		h.Set(HeaderRequestID, string(p.id))
	}
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(p.retryAfter)))
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(p.body())
}

// problemFromEnd returns the error response for a request that ended without an
// answer.
func problemFromEnd(id request.ID, e request.End) problem {
	p := problem{
		status: e.Status, kind: e.Problem, message: e.Message,
		outcome: e.Outcome, id: id, retryAfter: e.RetryAfter,
	}
	if p.status == 0 {
		p.status = http.StatusBadGateway
	}
	if p.kind == "" {
		p.kind = typeInternal
	}
	return p
}

// ceilSeconds rounds d up to whole seconds, so that callers do not retry too
// early.
func ceilSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
