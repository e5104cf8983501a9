// Package dispatch runs accepted requests at their owner, the node that is
// responsible for a request's partition. For each request it evaluates the
// routing rules, waits for admission, writes the at-most-once claim, chooses a
// backend server, copies the answer into the request's record, and recovers
// when the backend server fails or its VM is reclaimed.
package dispatch

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/blame"
	"buckthornpick/internal/claim"
	"buckthornpick/internal/confstore"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/limit"
	"buckthornpick/internal/pool"
	"buckthornpick/internal/request"
	"buckthornpick/internal/telemetry"
)

// Claims is the ledger of at-most-once claims of non-repeatable requests. See
// claim.Ledger for the methods and their errors.
type Claims interface {
	Commit(ctx context.Context, c claim.Claim) error
	Amend(ctx context.Context, c claim.Claim) error
	Lookup(ctx context.Context, id request.ID) (claim.Claim, bool, error)
}

// Ownership reports which partitions this node owns according to the table of
// members.
type Ownership interface {
	// Self returns the member ID of this node.
	Self() string
	// Incarnation returns the member's current incarnation.
	Incarnation() int64
	// OwnsPartition reports whether this node owns the partition.
	OwnsPartition(partition int) bool
	// LeaseLapsed returns how long ago this node's lease in the store may have
	// expired; 0 while the lease is valid.
	LeaseLapsed() time.Duration
	// AcquiredDirty reports whether this node acquired the partition without a
	// handover from the previous owner, and when. Requests of that owner may
	// then be unknown here.
	AcquiredDirty(partition int) (since time.Time, dirty bool)
}

// AttemptRef identifies an attempt together with its backend server and the
// fingerprint of the request's content.
type AttemptRef struct {
	Fingerprint uint64
	// Parts are the parts of the prompt that other requests may share.
	Parts   []blame.Key
	Server  string
	Attempt backend.AttemptID
	// LostAt is when the connection to a crashed server was lost.
	LostAt time.Time
}

// Quarantine blocks requests whose content, or a part of it, crashes backend servers.
type Quarantine interface {
	// Permit waits until the attempt may be dispatched. It returns
	// fault.Exhausted if the content is quarantined and fault.Unavailable if
	// the content is suspect and may not run at present. The caller must
	// release the permit.
	Permit(ctx context.Context, c AttemptRef) (Permit, error)
	// RecordCrash records that the backend server crashed during the attempt.
	// It returns once all reachable nodes have been informed.
	RecordCrash(ctx context.Context, c AttemptRef)
}

// Permit allows one attempt.
type Permit interface {
	// Succeeded records that the attempt returned a complete answer.
	Succeeded()
	// Release records the end of the attempt, whether or not it succeeded.
	Release()
}

// Config holds the limits and timeouts of a Dispatcher. Zero fields take their
// defaults.
type Config struct {
	// AnswerBytes is the maximum size of one answer. Default 8 MiB.
	AnswerBytes int
	// BufferBytes is the maximum total size of the answers of ended requests,
	// which are kept for callers that reattach. Default 64 MiB.
	BufferBytes int
	// MaxRequests is the maximum number of requests in flight. Default 4096.
	MaxRequests int
	// Retention is how long an ended request is kept. Default 10 min.
	Retention time.Duration
	// KeyWindow is how long after the loss of an owner callers may resubmit
	// its requests. Default 10 min.
	KeyWindow time.Duration
	// StartWait is the maximum time that a request waits for a backend server
	// before its first dispatch. Default 3 s.
	StartWait time.Duration
	// RecoverWait is how long the owner tries to reattach to an attempt whose
	// connection was lost. Default 3 s.
	RecoverWait time.Duration
	// StallTimeout is how long an engine may send nothing before the owner
	// reattaches to the attempt. Default 10 s.
	StallTimeout time.Duration
	// ResumeTimeout is the maximum wait for the head of a resumed answer.
	// Default 2 s.
	ResumeTimeout time.Duration
	// ClaimWait is the timeout of looking up or writing a claim. Default 3 s.
	ClaimWait time.Duration
	// OwnerModeLimit is how long after the expiry of its lease a node still
	// runs non-repeatable requests without a claim, for services with the
	// outage policy "owner". Default 10 min.
	OwnerModeLimit time.Duration
	// MaxUnclaimed is the maximum number of requests that run without a claim.
	// Default 4096.
	MaxUnclaimed int
	// MaxAttempts is the maximum number of dispatches of one request. Default 5.
	MaxAttempts int
	// MigrationMargin is how long before the reclaim deadline of its backend
	// server a running attempt is moved at the latest. Default 1500 ms.
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

// WithDefaults returns c with zero fields set to their defaults.
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
	// KV moves KV cache between engines; if nil, KV cache is never moved.
	KV         KVMover
	Admitter   *limit.Admitter
	Quarantine Quarantine
	// Forward sends a request to the node that owns it now. If nil, the entry
	// that follows the answer has to resubmit the request.
	Forward func(ctx context.Context, t Transfer)
	// ConfirmNew waits until this node owns a request that it refused as the
	// successor of a leaving owner, and searches the earlier owners for it. It
	// returns false if one may have it, or the node does not become the owner.
	ConfirmNew func(ctx context.Context, id request.ID) bool
	Zone       string
	Log        *telemetry.Logger
	Registry   metrics.Registry
}

// Dispatcher runs the requests that this node owns. It is safe for concurrent
// use.
//
// Lock order: mu before a record's lock. No I/O is done while mu is held.
type Dispatcher struct {
	cfg   Config
	deps  Deps
	stats stats

	unclaimed *unclaimedSet
	kv        *kvRates
	// attempts counts the attempts of all requests.
	attempts atomic.Int64

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

// Run evicts ended requests, moves attempts off backend servers that are about
// to be reclaimed and writes deferred claims, until ctx ends. It then stops all
// running requests and waits for them.
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

// Submit starts a request, or returns the record of an earlier submission of
// it. received is the part of the answer that the caller already received from
// an owner that was lost.
//
// It returns fault.Invalid if the ID was used with other content, and
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
// earlier record, here or at the node that it was handed over to. For
// non-repeatable requests the claims are authoritative instead.
func mayHaveRun(rec *request.Record) bool {
	end, _, ok := rec.Ended()
	return !ok || end.Outcome != request.NotRun
}

// mayRunAgain reports whether a new submission of the record's request starts a
// new run instead of returning the record.
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

// Find returns the record of a request. ok is false if this node has none or
// has handed the request over.
func (d *Dispatcher) Find(id request.ID) (*request.Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rec, ok := d.records[id]
	if !ok || rec.State() == request.HandedOver {
		return nil, false
	}
	return rec, true
}

// Running returns the number of requests in flight at this node.
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

// evict removes the records of ended requests that exceed the retention time
// or the buffer size, and updates the gauges.
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
