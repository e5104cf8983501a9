package relay

import (
	"net/http"
	"time"
)

// Part is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Facts are what a caller's request says of itself.
type RequestInfo struct {
	// ID names this attempt of the caller.
	AttemptID string
	// KeyHash is the hex SHA-256 of the caller's key; empty if it sent none.
	KeyHash string
	// Remaining is how long the caller waits; 0 is unknown.
	Remaining time.Duration
	// Tokens are the prompt's and the most to generate; HasTokens is false for
	// requests that state none.
	PromptTokens, MaxTokens int
	HasTokenCounts          bool
	// Parts are the prompt's parts in their order; the last one is the request's
	// own or its session's.
	Parts []PromptPart
	// LastEvent is the last event that a resuming caller has.
	LastEventID string
}

// SharedTokens is the length of the parts that other requests may share.
func (f *RequestInfo) SharedTokens() int {
	sum := 0
	for i := range len(f.Parts) - 1 {
		sum += f.Parts[i].Tokens
	}
	return sum
}

// Dispatch is one send of a request to a backend server.
type SendParams struct {
	Server       string
	Organisation string
	// Remaining is the time that the server may take.
	Remaining time.Duration
	// Rank orders the server's queue: 0 goes first, 9 last.
	Rank int
	// LastEvent is the event after which a stream goes on; empty is its start.
	LastEventID string
}

// Verdict is what an answer's head says about the run.
type ResponseInfo struct {
	// NotRun: the server says that it did not run the request.
	NotRun bool
	// Genuine: the head bears the server's signature.
	Signed bool
}

// Codec translates between a protocol of callers and backend servers and the
// relay's terms.
type Codec interface {
	// Decode reads a caller's request; an error is the caller's mistake.
	DecodeRequest(r *http.Request) (RequestInfo, error)
	// Encode returns the headers for a backend server.
	EncodeHeaders(from http.Header, f *RequestInfo, d SendParams) http.Header
	// IsAnswer reports whether the head belongs to the attempt id.
	MatchesAttempt(id string, status int, h http.Header) bool
	// Verdict reads an answer's head.
	InspectResponse(status int, h http.Header) ResponseInfo
}
