// Package relay implements an HTTP proxy between callers and backend servers for
// callers that give each attempt its own ID. An entry keeps a request until its
// end, stores nothing and never hands it over to another entry, so at-most-once
// execution depends only on what this entry has sent, itself or by a detour.
package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/blame"
	"buckthornpick/internal/clock"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/membudget"
	"buckthornpick/internal/quota"
	"buckthornpick/internal/rollout"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/upstream"
)

// Limits configures the limits of a relay.
type Limits struct {
	// MaxDocumentAge is how long after the document was last confirmed its keys are
	// accepted.
	MaxDocumentAge time.Duration
	// MaxRefusalAge is how long after the document was last confirmed a request is
	// refused because it has no such rule or key, which a newer version may have.
	MaxRefusalAge time.Duration
	// Retries limits the retries of each service's requests.
	Retries quota.RetryLimits
	// DefaultMaxBodyBytes limits request bodies if the document sets no limit.
	DefaultMaxBodyBytes int64
}

// Peers are the other entries of the site.
type Peers interface {
	// Site returns the number of the site's entries and of the reachable ones, this
	// one included.
	Site() quota.Site
	// NotifyCrash sends a crash to the other entries.
	NotifyCrash(CrashNotice)
	// NotifyCleared tells the other entries which content was cleared.
	NotifyCleared([]blame.Record)
	// NotifyBrittle sends a notice of brittle servers to the other entries.
	NotifyBrittle(BrittleNotice)
	// RequestTrial asks for the permission to try blocked content, of which there is one
	// on the site at a time.
	RequestTrial(context.Context, blame.Key) bool
	// RequestPermit asks for the permission to send one request to a server with a limit
	// or a brittle one. ReturnPlace gives the place at a brittle server back.
	RequestPermit(context.Context, PermitRequest) Permit
	ReturnPlace(server string, incarnation int64)
	// Detour makes a call to a server by way of another entry, whose ID it returns.
	// Errors are those of upstream.Pool.Do, and ErrNoDetour.
	Detour(ctx context.Context, call *DetourCall) (*upstream.Response, string, error)
	// ShareOrigins sends the origins of streams to entries that keep them.
	ShareOrigins([]OriginRecord)
	// FindOrigin asks the entries that keep the origin of the stream which the attempt
	// began under the rule, and what they find in the store if askStore is set. If one of
	// them knows it, its ID is returned too.
	FindOrigin(ctx context.Context, rule, attemptID string, askStore bool) (OriginAnswer, string)
}

// Registry is the view of the registry of backend servers.
type Registry interface {
	// MarkLeaving records that a server has announced its shutdown in a response.
	MarkLeaving(id string, incarnation int64)
}

// UsageRecorder counts requests that started to run.
type UsageRecorder interface {
	// RecordStart counts one request of the organisation.
	RecordStart(organisation string)
}

// Config holds the dependencies and settings of a relay.
type Config struct {
	Codec     Codec
	Documents *follow.Documents
	Balancer  *Balancer
	Servers   Registry
	Pool      *upstream.Pool
	Quotas    *Quotas
	Crashes   *blame.Tracker
	Origins   *Origins
	// OriginStore holds the origins of streams that outlive the entries.
	OriginStore OriginStore
	Peers       Peers
	Usage       UsageRecorder
	// Rollouts limits what is sent to new software versions; nil does not.
	Rollouts *rollout.Recorder
	Limits   Limits
	// Memory bounds what callers' requests and their answers hold; nil is no bound.
	Memory  *membudget.Budget
	Zone    string
	Clock   clock.Clock
	Log     *telemetry.Logger
	Metrics metrics.Registry
}

// Relay forwards callers' requests to backend servers. It implements http.Handler.
type Relay struct {
	Config
	retries     *retryBudgets
	detector    *crashDetector
	instruments *relayMetrics
	durations   *durationEstimates
	// drainPlan is nil unless the relay drains.
	drainPlan atomic.Pointer[DrainPlan]
	// active is the number of requests and of calls for other entries in flight.
	active atomic.Int64
}

// New returns a relay with the given configuration.
func New(c Config) *Relay {
	r := &Relay{
		Config: c, retries: newRetryBudgets(c.Limits.Retries, c.Clock), instruments: newRelayMetrics(c.Metrics), durations: newDurationEstimates(),
	}
	r.detector = newCrashDetector(r)
	c.Pool.OnPathChange(r.recordPathChange)
	c.Balancer.returnPlace = c.Peers.ReturnPlace
	return r
}

// InFlight returns the number of requests that have no final response yet, and of calls for
// other entries.
func (r *Relay) InFlight() int64 { return r.active.Load() }

// DrainPlan holds the times of a planned stop.
type DrainPlan struct {
	// DeregisteredAt is when the load balancer has ceased to send new callers.
	DeregisteredAt time.Time
	// CutAt is when the connections that are left are closed.
	CutAt time.Time
}

// Drain makes every further response ask the caller to close its connection, and
// refuses requests that the stop may cut.
func (r *Relay) Drain(plan DrainPlan) { r.drainPlan.Store(&plan) }

func (r *Relay) isDraining() bool { return r.drainPlan.Load() != nil }

// hasCallerLeft reports whether the caller has closed its connection, as opposed to
// a planned stop that has cut it.
func (q *request) hasCallerLeft() bool {
	plan := q.relay.drainPlan.Load()
	return q.r.Context().Err() != nil && (plan == nil || time.Now().Before(plan.CutAt))
}

// cutMargin is the time for the last bytes of a response before the connection is
// closed.
const cutMargin = 100 * time.Millisecond

// mayBeCut reports whether a planned stop may cut the request. Before the entry is
// deregistered, the usual duration of the rule's requests decides, since a refused
// caller may come to another entry that drains; afterwards the deadline decides.
func (q *request) mayBeCut() bool {
	plan := q.relay.drainPlan.Load()
	if plan == nil {
		return false
	}
	end, now := q.deadline, time.Now()
	if now.Before(plan.DeregisteredAt) {
		if usual, ok := q.relay.durations.upperBound(q.ruleName); ok && now.Add(usual).Before(end) {
			end = now.Add(usual)
		}
	}
	return end.After(plan.CutAt.Add(-cutMargin))
}
