package relay

import (
	"net/http"
	"time"

	"buckthornpick/internal/capacity"
)

// SharedPrompt is the part of a prompt that other requests may share: all its parts but the
// last one, which belongs to this request or its session only.
type SharedPrompt struct {
	// Tokens is the length of the shared parts together.
	Tokens int
	// IDs are those of the shared parts in order, of the first blame.MaxParts of them.
	IDs []string
	// LastID is the ID of the last shared part; empty if there is none.
	LastID string
}

// RequestInfo holds what a caller states about its request.
type RequestInfo struct {
	// AttemptID identifies this attempt of the caller.
	AttemptID string
	// KeyHash is the hex SHA-256 of the caller's key; empty if it sent none.
	KeyHash string
	// Remaining is how long the caller still waits; 0 is unknown.
	Remaining time.Duration
	// PromptTokens is the length of the prompt and MaxTokens the limit of generated
	// tokens; HasTokenCounts is false for requests that state neither.
	PromptTokens, MaxTokens int
	HasTokenCounts          bool
	Shared                  SharedPrompt
	// LastEventID is the ID of the last event that a caller received who resumes a
	// stream.
	LastEventID string
	// ResumedAttempt is the ID of the attempt that brought the first event of that
	// stream; empty if the caller does not name it.
	ResumedAttempt string
}

// SendParams are the parameters of one send of a request to a backend server.
type SendParams struct {
	// Server is the ID of the backend server.
	Server       string
	Organisation string
	// Remaining is the time that the server may take.
	Remaining time.Duration
	// Rank is the request's position in the server's queue, from 0 (first) to 9
	// (last).
	Rank int
	// LastEventID is the ID of the event after which a stream continues; empty for
	// its start.
	LastEventID string
}

// ResponseInfo is what the status and headers of a response state about the run.
type ResponseInfo struct {
	// NotRun is true if the server reports that it did not run the request.
	NotRun bool
	// Signed is true if the response has the server's signature.
	Signed bool
	// Leaving is true if the server announces its shutdown: it gets no new work.
	Leaving bool
	// Pause is how long the server wants no requests from this entry; 0 if it did
	// not say so.
	Pause       time.Duration
	Limit       ServerLimit
	Brittleness ServerBrittleness
	// Load is what the server says of its load, if IsLoadStated.
	Load         capacity.Statement
	IsLoadStated bool
}

// ServerLimit is the number of requests that a server takes from all entries together.
type ServerLimit struct {
	// IsNamed is true if the response names a limit, and IsMalformed if it cannot be
	// read.
	IsNamed, IsMalformed bool
	// PerSecond is the number of requests a second; it may be 0.
	PerSecond float64
}

// Codec reads and writes the headers of a protocol between callers and backend
// servers.
type Codec interface {
	// DecodeRequest reads a caller's request. An error means that the request is
	// invalid.
	DecodeRequest(r *http.Request) (RequestInfo, error)
	// EncodeHeaders returns the headers of the request to a backend server; from are
	// those of the caller's request.
	EncodeHeaders(from http.Header, info *RequestInfo, params SendParams) http.Header
	// MatchesAttempt reports whether a response belongs to the attempt with the ID.
	MatchesAttempt(attemptID string, h http.Header) bool
	// InspectResponse reads the status and headers of a response.
	InspectResponse(status int, h http.Header) ResponseInfo
	// InspectHealth reads the headers of a health response: the ID of the server and, if ok,
	// its load.
	InspectHealth(h http.Header) (server string, load capacity.Statement, ok bool)
}
