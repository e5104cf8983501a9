package claim

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
	"buckthornpick/internal/telemetry"
)

// Ledger writes and looks up the claims of the partitions that one node owns.
//
// No other lock is taken while mu is held, and only methods of partition are
// called.
type Ledger struct {
	config    Config
	ownership Ownership
	store     kv.Store
	transport *peer.Transport
	log       *telemetry.Logger
	writer    *writer

	// session makes operation IDs unique across all process runs of all nodes.
	session           string
	operationSequence atomic.Int64
	// relayBackoffUntil is the time from which the zone's writer is called
	// again, in Unix nanoseconds.
	relayBackoffUntil atomic.Int64

	committed, refused, ambiguities metrics.Counter
	loadedBytes, batchClaims        metrics.Histogram

	queue      chan *write
	inFlight   chan struct{} // semaphore of batches in flight
	unresolved chan struct{} // semaphore of batches being resolved
	loadSlots  chan struct{} // semaphore of partitions being read
	stopped    chan struct{} // closed when Run is ending
	runCtx     context.Context

	mu         sync.Mutex
	running    bool
	closing    bool
	partitions map[int]*partition
	wg         sync.WaitGroup // add only under mu while not closing, or from a goroutine that wg counts
}

const (
	// maxConcurrentLoads limits the partitions that are read concurrently.
	maxConcurrentLoads  = 8
	histogramSampleSize = 1028
	sessionBytes        = 8
)

// New returns a ledger. It registers the handler of peer.ClaimCommit, so it
// must be called before the transport runs.
func New(cfg Config, ownership Ownership, store kv.Store, t *peer.Transport, log *telemetry.Logger, registry metrics.Registry) *Ledger {
	cfg = cfg.withDefaults()
	session := make([]byte, sessionBytes)
	_, _ = rand.Read(session) // documented never to return an error
	l := &Ledger{
		config: cfg, ownership: ownership, store: store, transport: t, log: log,
		session:     hex.EncodeToString(session),
		committed:   metrics.GetOrRegisterCounter("claim.committed", registry),
		refused:     metrics.GetOrRegisterCounter("claim.refused", registry),
		ambiguities: metrics.GetOrRegisterCounter("claim.ambiguous", registry),
		loadedBytes: metrics.GetOrRegisterHistogram("claim.loaded_bytes", registry, metrics.NewUniformSample(histogramSampleSize)),
		batchClaims: metrics.GetOrRegisterHistogram("claim.batch_claims", registry, metrics.NewUniformSample(histogramSampleSize)),
		queue:       make(chan *write, cfg.QueueClaims),
		inFlight:    make(chan struct{}, cfg.NodeInFlight),
		unresolved:  make(chan struct{}, cfg.MaxUnresolved),
		loadSlots:   make(chan struct{}, maxConcurrentLoads),
		stopped:     make(chan struct{}),
		partitions:  map[int]*partition{},
	}
	l.writer = newWriter(cfg, store, ownership.TableKey(), registry)
	t.Handle(peer.ClaimCommit, peer.HandleCall(func(ctx context.Context, _ peer.Node, b batch) (commitReply, error) {
		return commitReply{Outcome: l.writer.submit(ctx, b)}, nil
	}))
	return l
}

// Run writes claims until ctx ends. All goroutines have ended when it returns.
func (l *Ledger) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.runCtx, l.running = ctx, true
	l.wg.Go(func() { l.writer.run(ctx) })
	l.wg.Go(func() { l.batchLoop(ctx) })
	l.wg.Go(func() { l.sweepLoop(ctx) })
	l.mu.Unlock()
	<-ctx.Done()
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	close(l.stopped)
	l.wg.Wait()
	return nil
}

// Commit writes the first claim of a request, or a new claim after a released
// one. If it returns nil, the claim was written while this node was the owner
// according to the current table. Errors:
//   - fault.Conflict: certainly not written, because another claim exists or
//     the partition has another owner;
//   - fault.Unavailable: certainly not written;
//   - fault.Ambiguous: this claim or an earlier one of the request may have
//     been written;
//   - fault.Invalid: the claim is malformed.
//
// Commit is idempotent: it returns nil if the same attempt is already claimed.
func (l *Ledger) Commit(ctx context.Context, c Claim) error { return l.write(ctx, c, false) }

// Amend replaces a claim whose attempt is known not to have run, either by a
// claim with the next attempt number and a new target, or by one with the same
// number and Released set. The errors are those of Commit.
func (l *Ledger) Amend(ctx context.Context, c Claim) error { return l.write(ctx, c, true) }

// Lookup returns the latest claim of a request whose partition this node owns,
// including claims of earlier owners. It returns fault.Conflict if the node does
// not own the partition, and fault.Unavailable if the claims cannot be read or
// a write of the request's claim has no known outcome yet.
func (l *Ledger) Lookup(ctx context.Context, id request.ID) (Claim, bool, error) {
	p, err := l.loadedPartition(ctx, id.Partition())
	if err != nil {
		return Claim{}, false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.pending[id] != nil {
		return Claim{}, false, fault.New(fault.Unavailable, "claim.lookup", "", "a claim of %s is being written", id)
	}
	c, ok := p.claims[id]
	return c.Claim, ok, nil
}

func (l *Ledger) write(ctx context.Context, c Claim, amend bool) error {
	if c.At.IsZero() {
		c.At = time.Now()
	}
	c.At = c.At.Truncate(time.Millisecond)
	encoded, err := encodeClaim(c)
	if err != nil {
		return err
	}
	p, err := l.loadedPartition(ctx, c.Request.Partition())
	if err != nil {
		return err
	}
	w := &write{claim: c, encoded: encoded, partition: p, done: make(chan error, 1)}
	isCommitted, err := l.enqueue(w, amend)
	if err != nil || isCommitted {
		return err
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return l.abandon(w, ctx.Err())
	case <-l.stopped:
		return l.abandon(w, context.Canceled)
	}
}

// enqueue checks w against the known claims and queues it. isCommitted is true
// if the claim is already stored.
func (l *Ledger) enqueue(w *write, amend bool) (isCommitted bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isCommitted, err := w.partition.checkWrite(w.claim, amend); isCommitted || err != nil {
		return isCommitted, err
	}
	if len(l.unresolved) == cap(l.unresolved) {
		return false, unavailable("too many writes are undecided")
	}
	select {
	case l.queue <- w:
		w.partition.pending[w.claim.Request] = w
		return false, nil
	default:
		return false, unavailable("the queue of claims is full")
	}
}

// abandon is called when the caller stops waiting for w. It cancels a write that
// was not sent yet. A write that was sent continues without the caller.
func (l *Ledger) abandon(w *write, cause error) error {
	if w.state.CompareAndSwap(writeQueued, writeCancelled) {
		l.complete(w, "", outcomeUnavailable)
		return fault.Wrap(cause, fault.Unavailable, stepCommit, "", "not sent to the store in time")
	}
	w.abandoned.Store(true)
	select {
	case err := <-w.done:
		return err
	default:
		return fault.Wrap(cause, fault.Ambiguous, stepCommit, "store", "no answer in time")
	}
}

// nextOperationID returns an ID that no other operation of any node has.
func (l *Ledger) nextOperationID() string {
	return l.session + strconv.FormatInt(l.operationSequence.Add(1), 36)
}
