// Package backend holds the clients of model engines, plain services and the
// older system.
package backend

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"buckthornpick/internal/request"
)

// Class tells the kind of a backend server.
type Class string

// Classes of backend servers.
const (
	Engine Class = "engine"
	Plain  Class = "plain"
	Older  Class = "older"
)

// Target is the backend server of one attempt.
type Target struct {
	ID      string `msgpack:"i"`
	Address string `msgpack:"a"`
	Class   Class  `msgpack:"c"`
}

// AttemptID names one attempt at one backend server: "{request}.{number}".
type AttemptID string

// Load is a backend server's load report. It lags behind the server.
type Load struct {
	// Running and Waiting count requests.
	Running int `json:"running" msgpack:"r"`
	Waiting int `json:"waiting" msgpack:"w"`
	// CacheUsed is the used share of the KV cache, 0 to 1.
	CacheUsed float64 `json:"cacheUsed" msgpack:"c"`
	// TokensPerSecond is the recent generation rate.
	TokensPerSecond float64 `json:"tokensPerSecond" msgpack:"t"`
	// MeasuredAt is the time at the server.
	MeasuredAt time.Time `json:"measuredAt" msgpack:"m"`
}

// Usage is reported by an engine at the end of an answer. It counts the whole
// answer, also after a continuation.
type Usage struct {
	PromptTokens     int `msgpack:"p"`
	CachedTokens     int `msgpack:"c"`
	CompletionTokens int `msgpack:"g"`
	// ComputedTokens were prefilled by this attempt: prompt and continued
	// text, less what was cached.
	ComputedTokens int `msgpack:"k,omitempty"`
}

// Continuation asks an engine to go on from text that another one generated.
type Continuation struct {
	// Events are the answer's events so far, in order.
	Events []request.Event
}

// Answer is the stream of one attempt. Next returns events in order until
// io.EOF, which is returned only after the engine's finish marker (or, for a
// plain answer, after the whole body by its declared length). Every other
// error means that the answer is not whole.
type Answer interface {
	Head() request.Head
	Next() (request.Event, error)
	// Usage is valid after io.EOF.
	Usage() Usage
	// Load returns the load report that came with the answer, if any.
	Load() (Load, bool)
	// Close releases the connection; it does not cancel the attempt.
	Close() error
}

// Client calls backend servers.
//
// Errors of Start and Resume are *AttemptError.
type Client interface {
	// Start dispatches the request as attempt. A non-nil continuation goes on
	// after its last event: the new events are numbered from the one after it,
	// also in a later Resume. The context bounds the whole answer.
	Start(ctx context.Context, t Target, r *request.Request, attempt AttemptID, c *Continuation) (Answer, error)
	// Resume attaches to an attempt that is running or has finished and
	// delivers the events after sequence number after.
	Resume(ctx context.Context, t Target, r *request.Request, attempt AttemptID, after int) (Answer, error)
	// Cancel stops an attempt. Cancelling an unknown attempt is no error.
	Cancel(ctx context.Context, t Target, attempt AttemptID) error
}

// Reached tells how far an attempt got before it failed.
type Progress int

// Progress of a failed attempt.
const (
	// NotSent: no byte of the request was sent.
	NotSent Progress = iota
	// Refused: the backend server said that it did not run the request.
	Refused
	// MayHaveRun: the request was sent and its fate is unknown.
	MayHaveRun
	// Ran: the backend server said that the request ran and failed.
	RanAndFailed
	// NotFound: Resume named an attempt that the server does not know.
	NotFound
)

// AttemptError is a failed attempt.
type AttemptError struct {
	Progress Progress
	Target   Target
	// Status is the HTTP status, 0 if none was received.
	Status int
	// ContentType and Body are the server's error answer, at most
	// MaxErrorBody bytes; Body is nil if none was received whole.
	ContentType string
	Body        []byte
	// RetryAfter is the server's advice, 0 if none.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *AttemptError) Error() string {
	return "attempt at " + e.Target.ID + ": " + e.Err.Error()
}

// Unwrap returns the error and its cause. An errorx error hides its cause from
// errors.Is and errors.As, so it is listed beside it.
func (e *AttemptError) Unwrap() []error {
	wrapped := errorx.Cast(e.Err)
	if wrapped == nil || wrapped.Cause() == nil {
		return []error{e.Err}
	}
	return []error{e.Err, wrapped.Cause()}
}
