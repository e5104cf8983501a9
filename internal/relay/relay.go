// Package relay serves callers who name each attempt by an ID of its own: a
// request lives and ends at the entry that read it, and at most once is a matter
// of what that entry has sent. Nothing is stored and no request changes hands.
package relay

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/quota"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/upstream"
)

// Bounds that a relay keeps.
type Limits struct {
	// KeyLife is how long a key may be used after the document was last
	// confirmed.
	MaxDocumentAge time.Duration
	// Repeats bound further sends of a service's requests.
	Retries quota.RepeatLimits
	// MaxBodyBytes bounds requests where the document does not.
	DefaultMaxBodyBytes int64
}

// Peers are the other entries of the site.
type Peers interface {
	// Site returns the number of the site's entries and of those heard from,
	// this one included.
	Site() quota.Site
	// NotifyCrash and NotifyCleared spread the marks of contents.
	NotifyCrash(Crash)
	NotifyCleared(content uint64)
}

// Counts takes the requests that began to run.
type UsageRecorder interface {
	RecordStart(organisation string)
}

// Config is what a relay works with.
type Config struct {
	Codec     Codec
	Documents *follow.Documents
	Balancer  *Balancer
	Pool      *upstream.Pool
	Quotas    *Quotas
	Crashes   *CrashTracker
	Peers     Peers
	Usage     UsageRecorder
	Limits    Limits
	Zone      string
	Clock     clock.Clock
	Log       *telemetry.Logger
	Metrics   metrics.Registry
}

// Relay answers callers' requests. It implements http.Handler.
type Relay struct {
	Config
	retries     *retryBudgets
	detector    *crashDetector
	instruments *relayMetrics
	// isDraining asks callers to close their connections.
	isDraining atomic.Bool
	active     atomic.Int64
}

// New returns a relay.
func New(c Config) *Relay {
	r := &Relay{Config: c, retries: newRetryBudgets(c.Limits.Retries, c.Clock), instruments: newRelayMetrics(c.Metrics)}
	r.detector = newCrashDetector(r)
	return r
}

// Active returns the number of requests without a final answer.
func (r *Relay) InFlight() int64 { return r.active.Load() }

// Drain asks callers to close their connections with the next answer.
func (r *Relay) Drain() { r.isDraining.Store(true) }
