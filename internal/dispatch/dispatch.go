// Package dispatch runs accepted requests at their owner: it decides by the
// rules, admits, claims, chooses a backend server, follows the answer, and
// recovers from the loss of a backend server.
package dispatch

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/claim"
	"buckthornpick/internal/confstore"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/limit"
	"buckthornpick/internal/pool"
	"buckthornpick/internal/request"
	"buckthornpick/internal/telemetry"
)

// Claims is the at-most-once ledger of non-repeatable requests.
type Claims interface {
	Commit(ctx context.Context, c claim.Claim) error
	Amend(ctx context.Context, c claim.Claim) error
	Lookup(ctx context.Context, id request.ID) (claim.Claim, bool, error)
}

// Ownership tells what this node owns by the table of members.
type Ownership interface {
	// Self returns the member ID of this node.
	Self() string
	// Incarnation returns the member's current incarnation.
	Incarnation() int64
	// OwnsPartition reports whether this node owns the partition.
	OwnsPartition(partition int) bool
	// LeaseLapsed returns for how long this node's lease in the store may have
	// lapsed; 0 while it holds.
	LeaseLapsed() time.Duration
	// AcquiredDirty reports when the partition came to this node without a
	// handover from its earlier owner.
	AcquiredDirty(partition int) (since time.Time, dirty bool)
}

// Crash names an attempt by its content and backend server.
type AttemptRef struct {
	Fingerprint uint64
	Server      string
	Attempt     backend.AttemptID
}

// Quarantine stops requests whose content crashes backend servers.
type Quarantine interface {
	// Permit waits until the attempt may be dispatched. A quarantined content
	// is refused with an error of type fault.Exhausted; fault.Unavailable means
	// that a suspect content may not run now. The permit must be released.
	Permit(ctx context.Context, c AttemptRef) (Permit, error)
	// Crashed records that the backend server crashed during the attempt, and
	// returns once the nodes that can be reached know.
	RecordCrash(ctx context.Context, c AttemptRef)
}

// Permit allows one attempt.
type Permit interface {
	// Answered tells that the attempt gave a whole answer.
	Succeeded()
	// Release ends the attempt.
	Release()
}

// Config bounds the work of one owner.
type Config struct {
	// AnswerBytes bounds one answer. Default 8 MiB.
	AnswerBytes int
	// BufferBytes bounds the answers of ended requests kept for callers that
	// attach. Default 64 MiB.
	BufferBytes int
	// MaxRequests bounds the requests that have not ended. Default 4096.
	MaxRequests int
	// Retention is how long an ended request is kept. Default 10 min.
	Retention time.Duration
	// KeyWindow is how long a lost owner's requests may be sent again.
	// Default 10 min.
	KeyWindow time.Duration
	// StartWait bounds the wait of a request that was not dispatched yet for a
	// backend server. Default 3 s.
	StartWait time.Duration
	// RecoverWait bounds the attempts to attach to a lost attempt again.
	// Default 3 s.
	RecoverWait time.Duration
	// StallTimeout is how long an engine may send nothing before the owner
	// attaches again. Default 10 s.
	StallTimeout time.Duration
	// ResumeTimeout bounds the wait for the head of a resumed answer. Default
	// 2 s.
	ResumeTimeout time.Duration
	// ClaimWait bounds the writing of a claim. Default 3 s.
	ClaimWait time.Duration
	// OwnerModeLimit is how long after the end of its lease a node runs
	// non-repeatable requests of services with the outage policy "owner"
	// without a claim. Default 10 min.
	OwnerModeLimit time.Duration
	// MaxUnclaimed bounds the requests that run without a claim. Default 4096.
	MaxUnclaimed int
	// MaxAttempts bounds the dispatches of one request. Default 5.
	MaxAttempts int
	// MigrationMargin is the time before a backend server's end at which a
	// running attempt is moved at the latest. Default 1500 ms.
	MigrationMargin time.Duration
}

const (
	defaultAnswerBytes     = 8 << 20
	defaultBufferBytes     = 64 << 20
	defaultMaxRequests     = 4096
	defaultRetention       = 10 * time.Minute
	defaultKeyWindow       = 10 * time.Minute
	defaultStartWait       = 3 * time.Second
	defaultRecoverWait     = 3 * time.Second
	defaultStallTimeout    = 10 * time.Second
	defaultResumeTimeout   = 2 * time.Second
	defaultClaimWait       = 3 * time.Second
	defaultOwnerModeLimit  = 10 * time.Minute
	defaultMaxUnclaimed    = 4096
	defaultMaxAttempts     = 5
	defaultMigrationMargin = 1500 * time.Millisecond
)

// WithDefaults returns the configuration with defaults for zero fields.
func (c Config) WithDefaults() Config {
	c.AnswerBytes = cmp.Or(c.AnswerBytes, defaultAnswerBytes)
	c.BufferBytes = cmp.Or(c.BufferBytes, defaultBufferBytes)
	c.MaxRequests = cmp.Or(c.MaxRequests, defaultMaxRequests)
	c.Retention = cmp.Or(c.Retention, defaultRetention)
	c.KeyWindow = cmp.Or(c.KeyWindow, defaultKeyWindow)
	c.StartWait = cmp.Or(c.StartWait, defaultStartWait)
	c.RecoverWait = cmp.Or(c.RecoverWait, defaultRecoverWait)
	c.StallTimeout = cmp.Or(c.StallTimeout, defaultStallTimeout)
	c.ResumeTimeout = cmp.Or(c.ResumeTimeout, defaultResumeTimeout)
	c.ClaimWait = cmp.Or(c.ClaimWait, defaultClaimWait)
	c.OwnerModeLimit = cmp.Or(c.OwnerModeLimit, defaultOwnerModeLimit)
	c.MaxUnclaimed = cmp.Or(c.MaxUnclaimed, defaultMaxUnclaimed)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, defaultMaxAttempts)
	c.MigrationMargin = cmp.Or(c.MigrationMargin, defaultMigrationMargin)
	return c
}

// Deps are the components that a dispatcher uses.
type Deps struct {
	Document  func() (*confstore.Snapshot, bool)
	Pools     *pool.Set
	Claims    Claims
	Ownership Ownership
	Backends  backend.Client
	// KV moves KV cache between engines; nil never does.
	KV         KVMover
	Admitter   *limit.Admitter
	Quarantine Quarantine
	// PassOn brings a request to the node that owns it now; nil leaves that to
	// whoever follows the request.
	Forward  func(ctx context.Context, t Transfer)
	Zone     string
	Log      *telemetry.Logger
	Registry metrics.Registry
}

// Dispatcher runs the requests that this node owns. It is safe for concurrent
// use.
//
// Lock order: mu before a record's lock; no I/O under mu.
type Dispatcher struct {
	cfg   Config
	deps  Deps
	stats stats

	unclaimed *unclaimedSet
	kv        *kvRates

	base   context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu         sync.Mutex
	records    map[request.ID]*request.Record
	executions map[request.ID]*execution
	ended      endedQueue
	isClosed   bool
}

// New returns a dispatcher.
func New(cfg Config, deps Deps) *Dispatcher {
	base, cancel := context.WithCancel(context.Background())
	return &Dispatcher{
		cfg: cfg.WithDefaults(), deps: deps, stats: newStats(deps.Registry),
		base: base, cancel: cancel,
		records:    map[request.ID]*request.Record{},
		executions: map[request.ID]*execution{},
		unclaimed:  newUnclaimedSet(),
		kv:         newKVRates(),
	}
}

const housekeepingInterval = 500 * time.Millisecond

// Run evicts ended requests and reacts to backend servers that leave, until
// ctx ends. Then running requests are stopped.
func (d *Dispatcher) Run(ctx context.Context) error {
	uploadsDone := make(chan struct{})
	go func() {
		defer close(uploadsDone)
		d.uploadDeferredClaims(ctx)
	}()
	defer func() { <-uploadsDone }()
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		changed := d.deps.Pools.Changed()
		select {
		case <-ctx.Done():
			d.close()
			return nil
		case <-changed:
			d.checkReclaimNotices()
		case <-ticker.C:
			d.deps.Pools.Refresh(time.Now())
			d.evict(time.Now())
		}
	}
}

func (d *Dispatcher) close() {
	d.mu.Lock()
	d.isClosed = true
	d.mu.Unlock()
	d.cancel()
	d.work.Wait()
}

// Submit starts a request, or finds the record of an earlier submission.
// received is what the caller already has from a lost owner.
//
// Errors: fault.Invalid if the ID was used with another content;
// fault.Unavailable if the node is stopping.
func (d *Dispatcher) Submit(r *request.Request, received request.Received) (*request.Record, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isClosed {
		return nil, fault.New(fault.Unavailable, "dispatch.submit", "", "node is stopping")
	}
	mayHaveRunEarlier := r.Repeatable && received.MayHaveRun
	if rec, ok := d.records[r.ID]; ok {
		if rec.Request.Fingerprint != r.Fingerprint {
			return nil, fault.New(fault.Invalid, "dispatch.submit", "",
				"the idempotency key was used with another request")
		}
		if !mayRunAgain(rec) {
			return rec, nil
		}
		mayHaveRunEarlier = mayHaveRunEarlier || r.Repeatable && mayHaveRun(rec)
	}
	rec := request.NewRecord(r, d.cfg.AnswerBytes)
	if err := rec.Restore(0, received.Head, received.Events); err != nil {
		return nil, err
	}
	e := newExecution(d, rec, r)
	e.mayHaveRunEarlier = mayHaveRunEarlier
	e.isOverLimit = len(d.executions) >= d.cfg.MaxRequests
	d.startLocked(e)
	return rec, nil
}

// mayHaveRun reports whether a backend server may have run the request of an
// earlier record, here or at the node that it was handed over to. The claims
// answer that better for non-repeatable requests.
func mayHaveRun(rec *request.Record) bool {
	end, _, ok := rec.Ended()
	return !ok || end.Outcome != request.NotRun
}

// mayRunAgain reports whether a submission after the record's end runs anew.
func mayRunAgain(rec *request.Record) bool {
	if rec.State() == request.HandedOver {
		return true
	}
	end, _, ok := rec.Ended()
	if !ok || end.Outcome == request.Completed {
		return false
	}
	return end.Outcome == request.NotRun || rec.Request.Repeatable
}

// Find returns the record of a request, ok false if there is none here.
func (d *Dispatcher) Find(id request.ID) (*request.Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rec, ok := d.records[id]
	if !ok || rec.State() == request.HandedOver {
		return nil, false
	}
	return rec, true
}

// Running returns the number of requests that have not ended here.
func (d *Dispatcher) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.executions)
}

func (d *Dispatcher) startLocked(e *execution) {
	id := e.req.ID
	d.records[id] = e.rec
	d.executions[id] = e
	d.work.Add(1)
	go func() {
		defer d.work.Done()
		e.main(d.base)
		d.moveToEnded(e)
	}()
}

func (d *Dispatcher) moveToEnded(e *execution) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.executions[e.req.ID] == e {
		delete(d.executions, e.req.ID)
	}
	d.ended.add(e.rec)
}

// evict drops ended requests that are too old or too large to keep.
func (d *Dispatcher) evict(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, rec := range d.ended.expire(now, d.cfg.Retention, d.cfg.BufferBytes) {
		if d.records[rec.Request.ID] == rec {
			delete(d.records, rec.Request.ID)
		}
	}
	d.stats.records.Update(int64(len(d.records)))
	d.stats.running.Update(int64(len(d.executions)))
}
