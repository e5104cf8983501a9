// Package oldersystem is a small fake of the serving system that is being
// replaced. It serves models and plain calls, more slowly than the new
// servers, over the same HTTP API, but does not support attempts: its streams
// carry no event IDs and cannot be resumed, continued or cancelled.
package oldersystem

import (
	"context"
	"net/http"
	"strings"
	"time"

	"buckthornpick/internal/standin/engine"
	"buckthornpick/internal/standin/plainservice"
)

// Settings configures an older system. Zero fields take their defaults.
type Settings struct {
	// Models are the served models; default "m".
	Models []string
	// DecodeTokensPerSecond is the decode rate of one sequence; default 40.
	DecodeTokensPerSecond float64
	// PrefillTokensPerSecond is the prefill rate of the whole batch; default 2000.
	PrefillTokensPerSecond float64
	// ServiceTime is the duration of a plain call; default 60 ms.
	ServiceTime time.Duration
	// MaxBatch is the largest number of sequences in the batch, and of plain
	// calls that run at a time; default 8.
	MaxBatch int
}

// Server is the older system. It implements http.Handler; requests to models make
// progress only while Run is running.
type Server struct {
	// Models and Calls serve the requests to models and the plain calls. They
	// give access to faults, records and counters.
	Models *engine.Server
	Calls  *plainservice.Server
}

// New returns an older system.
func New(s Settings) *Server {
	if s.DecodeTokensPerSecond == 0 {
		s.DecodeTokensPerSecond = 40
	}
	if s.PrefillTokensPerSecond == 0 {
		s.PrefillTokensPerSecond = 2000
	}
	if s.ServiceTime == 0 {
		s.ServiceTime = 60 * time.Millisecond
	}
	if s.MaxBatch == 0 {
		s.MaxBatch = 8
	}
	return &Server{
		Models: engine.New(engine.Settings{
			ID: "older", Models: s.Models, MaxBatch: s.MaxBatch, PlainStreams: true,
			PrefillTokensPerSecond: s.PrefillTokensPerSecond,
			DecodeTokensPerSecond:  func(int) float64 { return s.DecodeTokensPerSecond },
		}),
		Calls: plainservice.New(plainservice.Settings{ServiceTime: s.ServiceTime, MaxConcurrent: s.MaxBatch}),
	}
}

// Run executes the requests to models until ctx ends.
func (s *Server) Run(ctx context.Context) error { return s.Models.Run(ctx) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case strings.HasPrefix(path, "/v1/streams/"), strings.HasPrefix(path, "/v1/kv"),
		path == "/v1/orders", path == "/v1/cache/events":
		http.NotFound(w, r)
	case strings.HasPrefix(path, "/v1/"):
		s.Models.ServeHTTP(w, r)
	default:
		s.Calls.ServeHTTP(w, r)
	}
}

// RunCount returns how often the request with the ID ran, whether it was for a
// model or a plain call.
func (s *Server) RunCount(requestID string) int {
	count := 0
	for _, e := range s.Models.Executions() {
		if e.Request == requestID {
			count++
		}
	}
	for _, r := range s.Calls.Runs() {
		if r.Request == requestID {
			count++
		}
	}
	return count
}
