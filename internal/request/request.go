// Package request holds the life of one accepted request: its identity, its
// attempts, its answer and its outcome.
package request

import (
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Outcome is what a caller is told about its request.
type Outcome string

// Outcomes.
const (
	// Completed: the whole answer was delivered.
	Completed Outcome = "completed"
	// NotRun: no byte of the request reached a backend server, or the backend
	// server refused it before running it.
	NotRun Outcome = "not-run"
	// Failed: the request ran and is known to have ended without an answer.
	Failed Outcome = "failed"
	// Unknown: the request may have run or may still be running.
	Unknown Outcome = "unknown"
)

// Kind is the kind of call.
type Kind string

// Kinds of call.
const (
	Chat       Kind = "chat"
	Completion Kind = "completion"
	Plain      Kind = "plain"
)

// ID identifies a request: 32 hexadecimal digits. The first four select its
// partition.
type ID string

// Partitions is the number of partitions of the key space.
const Partitions = 1024

const idLength = 32

// NewID returns the ID of (organisation, idempotency key).
func NewID(organisation, key string) ID {
	var buf [16]byte
	input := strconv.Itoa(len(organisation)) + ":" + organisation + ":" + key
	putUint64(buf[:8], xxhash.Sum64String(input))
	putUint64(buf[8:], xxhash.Sum64String("second:"+input))
	return ID(hex.EncodeToString(buf[:]))
}

// Valid reports whether id has the form of a request ID.
func (id ID) Valid() bool {
	if len(id) != idLength {
		return false
	}
	_, err := hex.DecodeString(string(id))
	return err == nil
}

// Partition returns the partition of id, 0 to Partitions-1. The ID must be
// valid.
func (id ID) Partition() int {
	n, err := strconv.ParseUint(string(id[:4]), 16, 32)
	if err != nil {
		return 0
	}
	return int(n) % Partitions
}

// Request is an accepted submission. It does not change after acceptance.
type Request struct {
	ID           ID     `msgpack:"id"`
	Organisation string `msgpack:"o"`
	// Minted is true if the entry made the key: then no earlier submission
	// of this request can exist.
	HasGeneratedKey bool   `msgpack:"mt"`
	Service         string `msgpack:"s"`
	Kind            Kind   `msgpack:"k"`
	Model           string `msgpack:"m,omitempty"`
	// Repeatable is false for requests that must run at most once.
	Repeatable bool `msgpack:"r"`
	// Stream is true if the caller asked for server-sent events.
	Stream bool `msgpack:"st"`
	// Context is the hash of the conversation or shared prompt prefix; 0 is none.
	Context uint64 `msgpack:"cx,omitempty"`
	// Fingerprint is the hash of organisation, service and content.
	Fingerprint uint64 `msgpack:"fp"`
	// PromptTokens is an estimate from the body's length.
	PromptTokens int    `msgpack:"pt,omitempty"`
	MaxTokens    int    `msgpack:"mx,omitempty"`
	Priority     string `msgpack:"p,omitempty"`
	// Zone is the availability zone of the entry that took the request.
	Zone string `msgpack:"z,omitempty"`

	Method string      `msgpack:"me"`
	Path   string      `msgpack:"pa"`
	Header http.Header `msgpack:"h,omitempty"`
	Body   []byte      `msgpack:"b,omitempty"`

	AcceptedAt time.Time `msgpack:"at"`
	Deadline   time.Time `msgpack:"dl"`
}

// Event is one piece of an answer. Sequence numbers start at 1 and have no
// gaps; they are the "id" of server-sent events.
type Event struct {
	Sequence int `msgpack:"q"`
	// Data is the payload of one server-sent event, or the whole body of an
	// answer that is not streamed.
	Data []byte `msgpack:"d"`
	// Tokens is the number of generated tokens in Data.
	Tokens int `msgpack:"t,omitempty"`
}

// Head is the status line and headers of an answer.
type Head struct {
	// Answer names the answer: it changes when a request runs anew, and stays
	// when the answer is resumed, moved or continued.
	Answer string      `msgpack:"a,omitempty"`
	Status int         `msgpack:"s"`
	Header http.Header `msgpack:"h,omitempty"`
}

// End closes an answer.
type End struct {
	Outcome Outcome `msgpack:"o"`
	// Problem is the type of the error object, empty if Outcome is Completed.
	Problem string `msgpack:"p,omitempty"`
	Message string `msgpack:"m,omitempty"`
	// Status is the HTTP status if the body has not begun.
	Status int `msgpack:"st,omitempty"`
	// RetryAfter tells the caller when to come back; 0 is no advice.
	RetryAfter time.Duration `msgpack:"ra,omitempty"`
}

func putUint64(b []byte, v uint64) {
	for i := range 8 {
		b[i] = byte(v >> (56 - 8*i))
	}
}

// Info is what an ingress must know of a request to write its answer.
type Info struct {
	ID     ID   `msgpack:"id"`
	Kind   Kind `msgpack:"k"`
	Stream bool `msgpack:"st"`
}

// withoutBody returns a copy without body and headers.
func (r *Request) withoutBody() *Request {
	stripped := *r
	stripped.Body, stripped.Header = nil, nil
	return &stripped
}

// Info returns the request's Info.
func (r *Request) Info() Info {
	return Info{ID: r.ID, Kind: r.Kind, Stream: r.Stream}
}

// Position is how far a caller has received an answer.
type Position struct {
	// After is the sequence number of the last event received, 0 for none.
	After int
	// Answer is Head.Answer of that event's answer; empty if not known.
	Answer string
}

// Received is what an ingress has of an answer whose owner was lost.
type Received struct {
	Head   *Head   `msgpack:"h,omitempty"`
	Events []Event `msgpack:"e,omitempty"`
	// MayHaveRun is set if an earlier submission may have run at a node that
	// could not be asked.
	MayHaveRun bool `msgpack:"r,omitempty"`
}
