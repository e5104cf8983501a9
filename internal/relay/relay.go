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
type Bounds struct {
	// KeyLife is how long a key may be used after the document was last
	// confirmed.
	KeyLife time.Duration
	// Repeats bound further sends of a service's requests.
	Repeats quota.RetryLimits
	// MaxBodyBytes bounds requests where the document does not.
	MaxBodyBytes int64
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
type Counts interface {
	Began(organisation string)
}

// Config is what a relay works with.
type Config struct {
	Codec     Codec
	Documents *follow.Documents
	Balancer  *Balancer
	Pool      *upstream.Pool
	Quotas    *Quotas
	Crashes   *Crashes
	Peers     Peers
	Counts    Counts
	Bounds    Bounds
	Zone      string
	Clock     clock.Clock
	Log       *telemetry.Logger
	Metrics   metrics.Registry
}

// Relay answers callers' requests. It implements http.Handler.
type Relay struct {
	Config
	repeats  *repeatBudgets
	suspects *crashWatch
	meters   *meters
	// isDraining asks callers to close their connections.
	isDraining atomic.Bool
	active     atomic.Int64
}

// New returns a relay.
func New(c Config) *Relay {
	r := &Relay{Config: c, repeats: newRepeatBudgets(c.Bounds.Repeats, c.Clock), meters: newMeters(c.Metrics)}
	r.suspects = newCrashWatch(r)
	return r
}

// Active returns the number of requests without a final answer.
func (r *Relay) Active() int64 { return r.active.Load() }

// Drain asks callers to close their connections with the next answer.
func (r *Relay) Drain() { r.isDraining.Store(true) }
