package limit

import (
	"fmt"
	"time"

	"buckthornpick/internal/telemetry"
)

// Request describes a request to be admitted.
type Request struct {
	Organisation string
	Service      string
	// Context is the hash of the conversation or shared prefix; 0 means none.
	Context uint64
	// Priority is "high", "normal" or "low"; empty means "normal".
	Priority string
	// Deadline is the latest time for the first byte; if zero, only
	// Config.MaxWait bounds the wait.
	Deadline time.Time
	// Cost is the expected work in tokens; values below 1 are treated as 1.
	Cost int
}

// Result holds the outcome of an admitted request.
type Result struct {
	// FirstToken is the time from admission to the first byte; 0 means unknown.
	FirstToken time.Duration
	// Total is the time from admission to the end.
	Total time.Duration
	// OK is false if the request failed.
	OK bool
	// MissedTarget is true if the request missed the service's latency target.
	MissedTarget bool
}

// Reason is the cause of a refusal.
type Reason string

// Reasons for a refusal.
const (
	// ReasonOrganisationRate: the organisation exceeds its request rate.
	ReasonOrganisationRate Reason = "organisation-rate"
	// ReasonOrganisationConcurrency: the organisation already has its maximum
	// number of requests waiting or running.
	ReasonOrganisationConcurrency Reason = "organisation-concurrency"
	// ReasonNoCapacity: the service has no server.
	ReasonNoCapacity Reason = "no-capacity"
	// ReasonQueueFull: the queue is full, and the request may not displace any
	// of the waiting ones.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadlineUnreachable: the request would wait beyond its deadline.
	ReasonDeadlineUnreachable Reason = "deadline-unreachable"
	// ReasonOverload: the service is overloaded and the request's context is
	// being shed.
	ReasonOverload Reason = "overload"
	// ReasonDisplaced: the queue was full and a request of higher priority, or
	// of an organisation with fewer waiters per share, took the request's
	// place in it.
	ReasonDisplaced Reason = "displaced"
)

// RejectedError reports that a request was refused. It was not run.
type RejectedError struct {
	Reason Reason
	// RetryAfter is the time from the refusal until a slot is expected to be
	// free.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (r *RejectedError) Error() string {
	return fmt.Sprintf("refused: %s, retry after %s", r.Reason, r.RetryAfter)
}

// Config holds the parameters of admission control.
type Config struct {
	// MaxQueue bounds the waiting requests of each service; default 1,024.
	MaxQueue int
	// MaxWait bounds the wait of a request without a deadline; default 10 s.
	MaxWait time.Duration
	// InitialLimit is a service's concurrency limit before the first
	// SetCapacity; default 64.
	InitialLimit int
	// Log receives refusals; nil disables logging.
	Log *telemetry.Logger
}

const (
	defaultMaxQueue     = 1024
	defaultMaxWait      = 10 * time.Second
	defaultInitialLimit = 64
)

func (c Config) withDefaults() Config {
	if c.MaxQueue <= 0 {
		c.MaxQueue = defaultMaxQueue
	}
	if c.MaxWait <= 0 {
		c.MaxWait = defaultMaxWait
	}
	if c.InitialLimit <= 0 {
		c.InitialLimit = defaultInitialLimit
	}
	if c.Log == nil {
		c.Log = telemetry.Discard()
	}
	return c
}

// level is a priority as a number; lower levels run first.
type level int

const (
	levelHigh level = iota
	levelNormal
	levelLow
	levels
)

func levelOf(priority string) level {
	switch priority {
	case "high":
		return levelHigh
	case "low":
		return levelLow
	default:
		return levelNormal
	}
}
