package limit

import (
	"fmt"
	"time"

	"buckthornpick/internal/telemetry"
)

// Ask describes a request that wants to be admitted.
type Request struct {
	Organisation string
	Service      string
	// Context is the hash of the conversation or shared prefix; 0 is none.
	Context uint64
	// Priority is "high", "normal" or "low"; empty is normal.
	Priority string
	// Deadline is the latest time of the first byte; zero bounds the wait by
	// Config.MaxWait alone.
	Deadline time.Time
	// Cost is the expected work in tokens; values below 1 count as 1.
	Cost int
}

// Result tells how an admitted request ended.
type Result struct {
	// FirstToken is the time from admission to the first byte; 0 is unknown.
	FirstToken time.Duration
	// Total is the time from admission to the end.
	Total time.Duration
	OK    bool
	// MissedTarget is true if the request missed the service's target.
	MissedTarget bool
}

// Reason tells why a request was refused.
type Reason string

// Reasons of a refusal.
const (
	// OrganisationRate: the organisation sends faster than its rate.
	ReasonOrganisationRate Reason = "organisation-rate"
	// OrganisationConcurrency: the organisation has its maximum in progress.
	ReasonOrganisationConcurrency Reason = "organisation-concurrency"
	// NoCapacity: the service has no server.
	ReasonNoCapacity Reason = "no-capacity"
	// QueueFull: the queue is full and the request has no claim to a place.
	ReasonQueueFull Reason = "queue-full"
	// DeadlineUnreachable: the request would wait beyond its deadline.
	ReasonDeadlineUnreachable Reason = "deadline-unreachable"
	// Overload: the service is overloaded and the request's context is among
	// those shed.
	ReasonOverload Reason = "overload"
	// Displaced: a request of higher priority or of an organisation below its
	// fair share took the place in the full queue.
	ReasonDisplaced Reason = "displaced"
)

// Rejected is a refusal. The request was not run.
type RejectedError struct {
	Reason Reason
	// RetryAfter is when a place is expected, counted from the refusal.
	RetryAfter time.Duration
}

// Error implements error.
func (r *RejectedError) Error() string {
	return fmt.Sprintf("refused: %s, retry after %s", r.Reason, r.RetryAfter)
}

// Config parametrises admission.
type Config struct {
	// MaxQueue bounds the waiting requests of one service; default 1,024.
	MaxQueue int
	// MaxWait bounds the wait of a request without a deadline; default 10 s.
	MaxWait time.Duration
	// InitialLimit is a service's concurrency limit before SetCapacity;
	// default 64.
	InitialLimit int
	// Log gets refusals; nil logs nothing.
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

// level is the rank of a priority; lower runs first.
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
