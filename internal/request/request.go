// Package request defines an accepted request and the record of its processing:
// identity, attempts, answer and outcome.
package request

import (
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Outcome is the final result of a request as reported to the caller.
type Outcome string

// Outcomes.
const (
	// Completed means that the complete answer was received.
	Completed Outcome = "completed"
	// NotRun means that no byte of the request reached a backend server, or
	// that the backend server refused it before running it.
	NotRun Outcome = "not-run"
	// Failed means that the request is known to have ended without an answer
	// after it was run.
	Failed Outcome = "failed"
	// Unknown means that the request may have run or may still be running.
	Unknown Outcome = "unknown"
)

// Kind is the kind of API call.
type Kind string

// Kinds of API call. Plain calls go to application services, the others to
// language-model engines.
const (
	Chat       Kind = "chat"
	Completion Kind = "completion"
	Plain      Kind = "plain"
)

// ID identifies a request. It consists of 32 hexadecimal digits, of which the
// first four determine the partition.
type ID string

// Partitions is the number of partitions of the key space.
const Partitions = 1024

const idLength = 32

// NewID returns the ID of the request with the given idempotency key of the
// organisation. It is a hash of both.
func NewID(organisation, key string) ID {
	var buf [16]byte
	input := strconv.Itoa(len(organisation)) + ":" + organisation + ":" + key
	putUint64(buf[:8], xxhash.Sum64String(input))
	putUint64(buf[8:], xxhash.Sum64String("second:"+input))
	return ID(hex.EncodeToString(buf[:]))
}

// Valid reports whether id is well-formed.
func (id ID) Valid() bool {
	if len(id) != idLength {
		return false
	}
	_, err := hex.DecodeString(string(id))
	return err == nil
}

// Partition returns the partition of id, from 0 to Partitions-1. The ID must be
// valid.
func (id ID) Partition() int {
	n, err := strconv.ParseUint(string(id[:4]), 16, 32)
	if err != nil {
		return 0
	}
	return int(n) % Partitions
}

// Request is an accepted submission. It is immutable.
type Request struct {
	ID           ID     `msgpack:"id"`
	Organisation string `msgpack:"o"`
	// HasGeneratedKey is true if the entry generated the idempotency key
	// because the caller sent none. No earlier submission can exist then.
	HasGeneratedKey bool   `msgpack:"mt"`
	Service         string `msgpack:"s"`
	Kind            Kind   `msgpack:"k"`
	Model           string `msgpack:"m,omitempty"`
	// Repeatable is false for requests that must run at most once.
	Repeatable bool `msgpack:"r"`
	// Stream is true if the caller requested server-sent events.
	Stream bool `msgpack:"st"`
	// Context is the hash of the conversation or shared prompt prefix, 0 if
	// there is none.
	Context uint64 `msgpack:"cx,omitempty"`
	// Fingerprint is a hash of organisation, service and content. It tells a
	// resubmission from a key that is reused for another request.
	Fingerprint uint64 `msgpack:"fp"`
	// PromptTokens is an estimate based on the length of the body.
	PromptTokens int `msgpack:"pt,omitempty"`
	// MaxTokens is the maximum length of the answer, 0 if the caller set none.
	MaxTokens int    `msgpack:"mx,omitempty"`
	Priority  string `msgpack:"p,omitempty"`
	// Zone is the availability zone of the entry that accepted the request.
	Zone string `msgpack:"z,omitempty"`

	Method string      `msgpack:"me"`
	Path   string      `msgpack:"pa"`
	Header http.Header `msgpack:"h,omitempty"`
	Body   []byte      `msgpack:"b,omitempty"`

	AcceptedAt time.Time `msgpack:"at"`
	Deadline   time.Time `msgpack:"dl"`
}

// Event is one piece of an answer. Sequence numbers start at 1 and have no
// gaps; they are part of the "id" of server-sent events.
type Event struct {
	Sequence int `msgpack:"q"`
	// Data is the payload of one server-sent event, or the complete body of an
	// answer that is not streamed.
	Data []byte `msgpack:"d"`
	// Tokens is the number of generated tokens in Data.
	Tokens int `msgpack:"t,omitempty"`
}

// Head holds the name, HTTP status and headers of an answer.
type Head struct {
	// Answer identifies the answer. It changes when a request runs again from
	// the start, and stays the same when the answer is resumed, moved or
	// continued.
	Answer string      `msgpack:"a,omitempty"`
	Status int         `msgpack:"s"`
	Header http.Header `msgpack:"h,omitempty"`
}

// End is the last part of an answer: the outcome and, unless the request
// completed, the error.
type End struct {
	Outcome Outcome `msgpack:"o"`
	// Problem is the type of the error object, empty if Outcome is Completed.
	Problem string `msgpack:"p,omitempty"`
	// Message is the message of the error object.
	Message string `msgpack:"m,omitempty"`
	// Status is the HTTP status to use if the response has not begun.
	Status int `msgpack:"st,omitempty"`
	// RetryAfter is the time after which the caller may retry; 0 gives none.
	RetryAfter time.Duration `msgpack:"ra,omitempty"`
}

func putUint64(b []byte, v uint64) {
	for i := range 8 {
		b[i] = byte(v >> (56 - 8*i))
	}
}

// Info holds what an ingress, the node to which the caller is connected, needs
// to know about a request in order to write its answer.
type Info struct {
	ID     ID   `msgpack:"id"`
	Kind   Kind `msgpack:"k"`
	Stream bool `msgpack:"st"`
}

// withoutBody returns a copy of r without body and headers.
func (r *Request) withoutBody() *Request {
	stripped := *r
	stripped.Body, stripped.Header = nil, nil
	return &stripped
}

// Info returns the Info of r.
func (r *Request) Info() Info {
	return Info{ID: r.ID, Kind: r.Kind, Stream: r.Stream}
}

// Position is the point in an answer up to which a caller has received it.
type Position struct {
	// After is the sequence number of the last event received, 0 if none.
	After int
	// Answer is the Head.Answer of that event's answer, empty if unknown.
	Answer string
}

// Received is the part of an answer that an ingress received before the
// request's owner was lost.
type Received struct {
	Head   *Head   `msgpack:"h,omitempty"`
	Events []Event `msgpack:"e,omitempty"`
	// MayHaveRun is true if an earlier submission may have run at a node that
	// is unreachable.
	MayHaveRun bool `msgpack:"r,omitempty"`
}
