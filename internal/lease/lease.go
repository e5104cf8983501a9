// Package lease elects one process at a time to act. The holder owns a key of the
// store that is bound to its lease, and gets a fencing token that increases with
// every holder.
package lease

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

// Config holds the settings of a Lease.
type Config struct {
	// Key is the key in the store that is bound to the holder's lease.
	Key string
	// Holder identifies this process.
	Holder string
	// TTL is the time after the last renewal at which the store deletes the key.
	TTL time.Duration
	// ClockMargin is subtracted from TTL to allow for clock drift.
	ClockMargin time.Duration
	// StandbyInterval is the mean time between reads of a key that another process
	// holds.
	StandbyInterval time.Duration
	// IsCandidate reports whether this process may hold the lease; nil means
	// always. In a large site it limits the processes that call the store.
	IsCandidate func() bool
}

const (
	renewalsPerTTL = 3
	// renewRetriesPerTTL is the number of retries of a failed renewal per TTL.
	renewRetriesPerTTL = 10
	// pollStandbyIntervals is the timeout of a poll in standby intervals. A poll
	// whose connection breaks silently is noticed only when it times out.
	pollStandbyIntervals = 3
	// acquireJitterDivisor divides the standby interval to get the maximum delay
	// before a standby process tries to acquire a freed key.
	acquireJitterDivisor = 8
	// releaseTimeout bounds the call that revokes a lease.
	releaseTimeout = time.Second
	// tokenRevisionBits is the number of low bits of a fencing token that hold the
	// revision; the bits above hold the generation of the store. Tokens stay within
	// the 53 bits that JSON numbers carry exactly up to generation 8191.
	tokenRevisionBits = 40
)

// Lease is a lease that this process holds or tries to acquire. It is safe for
// concurrent use.
//
// The holder counts the TTL, less ClockMargin, from the time before it sent the
// renewal, so it stops acting before the store deletes the key. The fencing token
// increases with every holder: it consists of the store's generation and the
// revision that wrote the key. In a new generation a holder stops acting and acquires
// the lease again; other processes wait for a TTL, until it must have stopped.
type Lease struct {
	cfg   Config
	store kv.Store
	log   *telemetry.Logger

	// knownGeneration is the store's generation when the key was last read, changedAt
	// the time at which it was seen to change; zero if it was not.
	knownGeneration   int64
	isGenerationKnown bool
	changedAt         time.Time
	// resumeUntil is the time until which this process may take the lease again at
	// once: it held the lease when the generation changed, and would until then.
	resumeUntil time.Time

	mu      sync.Mutex
	leaseID kv.LeaseID
	// generation is the generation of the store that granted leaseID.
	generation int64
	// token is 0 while the lease is not held.
	token      int64
	validUntil time.Time
	// tenure is that of the latest token, also after it was lost.
	tenure Tenure
}

// Tenure is a time in which one process holds a lease without another holder in
// between. It goes on when the store comes back from a copy and the process acquires the
// lease again before it would have expired; each generation of the store has a fencing
// token of its own then.
//
// Invariant: within a generation that Token or an earlier token of the tenure belongs to,
// no other process holds the lease after that token was acquired. One that started just
// after the restore may have held it before.
type Tenure struct {
	// Token is the current fencing token, First that with which the tenure began.
	Token, First int64
	// Since is when First was acquired, AcquiredAt when Token was.
	Since, AcquiredAt time.Time
}

// New returns a lease that is not held.
func New(cfg Config, store kv.Store, log *telemetry.Logger) *Lease {
	return &Lease{cfg: cfg, store: store, log: log}
}

// Key returns the key in the store that is bound to the lease.
func (l *Lease) Key() string { return l.cfg.Key }

// Check returns the fencing token and the time at which the lease expires. An
// error of kind fault.Conflict means that this process does not hold the lease
// and must not act.
func (l *Lease) Check() (token int64, until time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkLocked(); err != nil {
		return 0, time.Time{}, err
	}
	return l.token, l.validUntil, nil
}

// CheckTenure is Check for callers whose state depends on how long the lease has been
// held. It returns the current tenure.
func (l *Lease) CheckTenure() (Tenure, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkLocked(); err != nil {
		return Tenure{}, err
	}
	return l.tenure, nil
}

func (l *Lease) checkLocked() error {
	now := time.Now()
	// The monotonic clock may stop and the wall clock may be stepped, so the lease
	// must be valid by both.
	if l.token == 0 || l.isOutdatedLocked() || !now.Before(l.validUntil) || !now.Round(0).Before(l.validUntil.Round(0)) {
		return fault.New(fault.Conflict, "lease.check", l.cfg.Key, "the lease is not held")
	}
	return nil
}

// isOutdatedLocked reports whether the store has come back from a copy since the
// lease was granted, so that another process may hold the key or the lease ID.
func (l *Lease) isOutdatedLocked() bool { return kv.Generation(l.store) != l.generation }

// AcquiredAt returns the time at which this process last acquired the lease.
func (l *Lease) AcquiredAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tenure.AcquiredAt
}

// Guard returns a condition for a transaction in the store that is true while the
// holder with the given token still owns the key.
func (l *Lease) Guard(token int64) kv.Compare {
	return kv.Compare{Key: l.cfg.Key, ModRevision: token & (1<<tokenRevisionBits - 1)}
}

// Generation returns the generation of the store to which a fencing token belongs.
func Generation(token int64) int64 { return token >> tokenRevisionBits }

// newToken returns the fencing token of a key.
func newToken(generation, revision int64) int64 { return generation<<tokenRevisionBits | revision }

// MarkLost stops this process from acting with a token, for example after the
// store or an engine refused it as outdated. It does nothing if the token is not
// the current one.
func (l *Lease) MarkLost(token int64, cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token != token || token == 0 {
		return
	}
	l.token = 0
	l.log.Log(EvLost, "key", l.cfg.Key, "token", token, "cause", cause)
}

// Run acquires and renews the lease until ctx is done. It does not release it.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		seen, held, err := l.campaign(ctx)
		if err != nil && ctx.Err() == nil {
			l.log.Log(EvFailed, "key", l.cfg.Key, "error", err)
		}
		switch {
		case held:
			l.renewUntilLost(ctx)
		case seen.Revision != 0:
			l.awaitChange(ctx, seen)
		default:
			l.standBy(ctx)
		}
	}
	return nil
}

// standBy waits for one standby interval with jitter.
func (l *Lease) standBy(ctx context.Context) {
	wait.For(ctx, l.cfg.StandbyInterval/2+rand.N(l.cfg.StandbyInterval))
}

// awaitChange waits until the key changes after it was seen, or the store has a new
// generation. It polls the store if the store supports that, to save calls, and otherwise
// waits for one standby interval.
func (l *Lease) awaitChange(ctx context.Context, seen kv.Snapshot) {
	poller, ok := l.store.(kv.Poller)
	if !ok {
		l.standBy(ctx)
		return
	}
	for revision := seen.Revision; ctx.Err() == nil && l.isCandidate(); {
		batch, err := poller.Poll(ctx, l.cfg.Key, revision, pollStandbyIntervals*l.cfg.StandbyInterval)
		if err != nil || batch.Compacted || batch.Generation != seen.Generation {
			l.standBy(ctx)
			return
		}
		if len(batch.Events) > 0 {
			wait.For(ctx, rand.N(l.cfg.StandbyInterval/acquireJitterDivisor)) // standby processes do not all try at once
			return
		}
		revision = max(revision, batch.Revision)
	}
}

func (l *Lease) isCandidate() bool { return l.cfg.IsCandidate == nil || l.cfg.IsCandidate() }

// campaign acquires the lease if no process holds it. If another process does, seen
// is what was read; otherwise it is empty.
func (l *Lease) campaign(ctx context.Context) (seen kv.Snapshot, held bool, err error) {
	if !l.isCandidate() {
		return seen, false, nil
	}
	snapshot, err := l.store.List(ctx, l.cfg.Key)
	if err != nil {
		return seen, false, err
	}
	l.recordGeneration(snapshot.Generation)
	guard := kv.Compare{Key: l.cfg.Key}
	if i := slices.IndexFunc(snapshot.Entries, func(e kv.Entry) bool { return e.Key == l.cfg.Key }); i >= 0 {
		if !l.isOwnEarlierKey(snapshot.Entries[i], snapshot.Generation) {
			l.resumeUntil = time.Time{}
			return snapshot, false, nil
		}
		guard.ModRevision = snapshot.Entries[i].ModRevision
	}
	isResuming := time.Now().Before(l.resumeUntil)
	if !isResuming && !l.changedAt.IsZero() && time.Since(l.changedAt) < l.cfg.TTL {
		return seen, false, nil
	}
	sent := time.Now()
	id, err := l.store.Grant(ctx, l.cfg.TTL)
	if err != nil {
		return seen, false, err
	}
	l.mu.Lock()
	l.leaseID, l.generation = id, snapshot.Generation
	l.mu.Unlock()
	revision, err := l.writeKey(ctx, guard, id)
	l.mu.Lock()
	if err != nil || revision == 0 || l.isOutdatedLocked() {
		l.mu.Unlock()
		l.revoke(ctx, id)
		return seen, false, err
	}
	token := newToken(snapshot.Generation, revision)
	l.token, l.tenure = token, l.tenure.next(token, time.Now(), isResuming)
	l.validUntil = sent.Add(l.cfg.TTL - l.cfg.ClockMargin)
	l.mu.Unlock()
	l.resumeUntil = time.Time{}
	l.log.Log(EvAcquired, "key", l.cfg.Key, "token", token)
	return seen, true, nil
}

// next returns the tenure after a token was acquired. It is a new one unless isResuming is
// set and the token belongs to the generation after that of the last one: in a generation
// that was passed over, another process may have held the lease.
func (t Tenure) next(token int64, now time.Time, isResuming bool) Tenure {
	if !isResuming || Generation(token) != Generation(t.Token)+1 {
		return Tenure{Token: token, First: token, Since: now, AcquiredAt: now}
	}
	return Tenure{Token: token, First: t.First, Since: t.Since, AcquiredAt: now}
}

// recordGeneration records the store's generation and the time of its change.
func (l *Lease) recordGeneration(generation int64) {
	if l.isGenerationKnown && generation != l.knownGeneration {
		l.changedAt = time.Now()
	}
	l.knownGeneration, l.isGenerationKnown = generation, true
}

// isOwnEarlierKey reports whether this process wrote the key in an earlier generation
// of the store.
func (l *Lease) isOwnEarlierKey(e kv.Entry, generation int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseID != 0 && l.generation != generation && e.Lease == l.leaseID && string(e.Value) == l.cfg.Holder
}

// writeKey writes the key and returns its revision, or 0 if another process has
// written it first.
func (l *Lease) writeKey(ctx context.Context, guard kv.Compare, id kv.LeaseID) (int64, error) {
	result, err := l.store.Txn(ctx, []kv.Compare{guard}, []kv.Op{kv.PutWithLease(l.cfg.Key, []byte(l.cfg.Holder), id)})
	switch {
	case err == nil && result.Succeeded:
		return result.Revision, nil
	case err == nil:
		return 0, nil
	case !fault.Is(err, fault.Ambiguous):
		return 0, err
	}
	// If the write takes effect after this read, campaign revokes the lease and the
	// store deletes the key with it.
	entry, found, err := l.store.Get(ctx, l.cfg.Key)
	if err != nil || !found || entry.Lease != id {
		return 0, err
	}
	return entry.ModRevision, nil
}

// revoke ends the current lease in the store, but not in a later generation of the
// store, where another process may have its ID. If the call fails, the lease expires
// instead.
func (l *Lease) revoke(ctx context.Context, id kv.LeaseID) {
	l.mu.Lock()
	isOutdated := l.isOutdatedLocked()
	l.mu.Unlock()
	if isOutdated {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_ = l.store.Revoke(ctx, id)
}

// renewUntilLost renews the lease until it is lost or ctx is done.
func (l *Lease) renewUntilLost(ctx context.Context) {
	interval := l.cfg.TTL / renewalsPerTTL
	for wait.For(ctx, interval) {
		l.mu.Lock()
		id, token := l.leaseID, l.token
		l.mu.Unlock()
		if !l.isCandidate() {
			l.MarkLost(token, "this process is no longer a candidate")
			token = 0
		}
		if token == 0 {
			l.revoke(ctx, id)
			return
		}
		if l.stopIfOutdated(token) {
			return
		}
		sent := time.Now()
		err := l.store.KeepAlive(ctx, id)
		interval = l.cfg.TTL / renewalsPerTTL
		switch {
		case l.stopIfOutdated(token):
			return
		case err == nil:
			l.extend(token, sent)
		case fault.Is(err, fault.Conflict):
			l.MarkLost(token, "lapsed in the store")
			return
		case ctx.Err() == nil:
			l.log.Log(EvFailed, "key", l.cfg.Key, "error", err)
			interval = l.cfg.TTL / renewRetriesPerTTL
		}
	}
}

// stopIfOutdated ends the holding if the store has come back from a copy, and reports
// that.
func (l *Lease) stopIfOutdated(token int64) bool {
	l.mu.Lock()
	isOutdated := l.isOutdatedLocked()
	isHeld, validUntil := l.token == token, l.validUntil
	l.mu.Unlock()
	if isOutdated {
		if isHeld {
			l.resumeUntil = validUntil
		}
		l.MarkLost(token, "the store was restored from a copy")
	}
	return isOutdated
}

// extend updates the expiry after a renewal that was sent at the given time.
func (l *Lease) extend(token int64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token == token {
		l.validUntil = sent.Add(l.cfg.TTL - l.cfg.ClockMargin)
	}
}

// Release revokes the lease at a planned stop, so that another process can acquire
// it at once. The caller must not act any more.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	id, held := l.leaseID, l.token != 0
	l.token = 0
	l.mu.Unlock()
	if held {
		l.revoke(ctx, id)
	}
}
