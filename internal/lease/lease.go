// Package lease gives one process at a time the right to act: a key of the store
// that is bound to the holder's lease, with a fencing token that rises with every
// holder.
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

// Config parametrises a Lease.
type Config struct {
	// Key is bound to the holder's lease.
	Key string
	// Holder names this process.
	Holder string
	// TTL is the time after the last renewal at which the store frees the key.
	TTL time.Duration
	// Margin is taken off the lease for clock drift.
	ClockMargin time.Duration
	// Standby is the mean time between looks at a key that another one holds.
	StandbyInterval time.Duration
	// IsCandidate reports whether this process may hold the lease; nil is always.
	// In a large site few processes ask the store for it.
	IsCandidate func() bool
}

const (
	renewalsPerTTL = 3
	// retryShare is the part of the lease's time between tries of a renewal.
	retryShare = 10
	// pollStandbys is the number of looks that one poll takes the place of: a poll
	// that is cut off silently is found by its end.
	pollStandbys = 3
	// changeShare of the time between looks is that over which those that stand by
	// spread when the key is free.
	changeShare = 8
	// releaseTimeout bounds the release at a planned stop.
	releaseTimeout = time.Second
)

// Lease is the right to act. It is safe for concurrent use.
//
// The holder counts its lease from before it sent the renewal, less a margin.
// The create revision of the key is the fencing token: it rises with every
// holder.
type Lease struct {
	cfg   Config
	store kv.Store
	log   *telemetry.Logger

	mu         sync.Mutex
	id         kv.LeaseID
	token      int64
	acquiredAt time.Time
	validUntil time.Time
}

// New returns a lease that is not held.
func New(cfg Config, store kv.Store, log *telemetry.Logger) *Lease {
	return &Lease{cfg: cfg, store: store, log: log}
}

// Key returns the key that is bound to the lease.
func (l *Lease) Key() string { return l.cfg.Key }

// Check returns the token and the end of the lease; an error of type
// fault.Conflict means that this process must not act.
func (l *Lease) Check() (token int64, until time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	// Either clock may stand still or step; both must agree.
	if l.token == 0 || !now.Before(l.validUntil) || !now.Round(0).Before(l.validUntil.Round(0)) {
		return 0, time.Time{}, fault.New(fault.Conflict, "lease.check", l.cfg.Key, "the lease is not held")
	}
	return l.token, l.validUntil, nil
}

// AcquiredAt returns when the lease was taken.
func (l *Lease) AcquiredAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acquiredAt
}

// Guard holds in the store while token is the present holder's.
func (l *Lease) Guard(token int64) kv.Compare { return kv.Compare{Key: l.cfg.Key, ModRevision: token} }

// Lose gives up a token that the store or an engine says is not the latest.
func (l *Lease) MarkLost(token int64, cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token != token || token == 0 {
		return
	}
	l.token = 0
	l.log.Log(EvLost, "key", l.cfg.Key, "token", token, "cause", cause)
}

// Run takes and renews the lease until ctx ends. It does not release it.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		seen, held, err := l.campaign(ctx)
		if err != nil && ctx.Err() == nil {
			l.log.Log(EvFailed, "key", l.cfg.Key, "error", err)
		}
		switch {
		case held:
			l.renewUntilLost(ctx)
		case seen != 0:
			l.awaitChange(ctx, seen)
		default:
			l.standBy(ctx)
		}
	}
	return nil
}

func (l *Lease) standBy(ctx context.Context) {
	wait.For(ctx, l.cfg.StandbyInterval/2+rand.N(l.cfg.StandbyInterval))
}

// awaitChange waits until the key changes after a revision of the store, if that
// can be polled: each call to the store has its price.
func (l *Lease) awaitChange(ctx context.Context, revision int64) {
	poller, ok := l.store.(kv.Poller)
	if !ok {
		l.standBy(ctx)
		return
	}
	for ctx.Err() == nil && l.isCandidate() {
		batch, err := poller.Poll(ctx, l.cfg.Key, revision, pollStandbys*l.cfg.StandbyInterval)
		if err != nil || batch.Compacted {
			l.standBy(ctx)
			return
		}
		if len(batch.Events) > 0 {
			wait.For(ctx, rand.N(l.cfg.StandbyInterval/changeShare)) // not all at once
			return
		}
		revision = max(revision, batch.Revision)
	}
}

func (l *Lease) isCandidate() bool { return l.cfg.IsCandidate == nil || l.cfg.IsCandidate() }

// campaign takes the lease if nobody holds it. If another process does, seen is
// the store's revision at which it did.
func (l *Lease) campaign(ctx context.Context) (seen int64, held bool, err error) {
	if !l.isCandidate() {
		return 0, false, nil
	}
	snapshot, err := l.store.List(ctx, l.cfg.Key)
	if err != nil {
		return 0, false, err
	}
	if slices.ContainsFunc(snapshot.Entries, func(e kv.Entry) bool { return e.Key == l.cfg.Key }) {
		return snapshot.Revision, false, nil
	}
	sent := time.Now()
	id, err := l.store.Grant(ctx, l.cfg.TTL)
	if err != nil {
		return 0, false, err
	}
	token, err := l.create(ctx, id)
	if err != nil || token == 0 {
		l.revoke(ctx, id)
		return 0, false, err
	}
	l.mu.Lock()
	l.id, l.token, l.acquiredAt = id, token, time.Now()
	l.validUntil = sent.Add(l.cfg.TTL - l.cfg.ClockMargin)
	l.mu.Unlock()
	l.log.Log(EvAcquired, "key", l.cfg.Key, "token", token)
	return 0, true, nil
}

// create writes the key and returns its create revision, 0 if another
// process was first.
func (l *Lease) create(ctx context.Context, id kv.LeaseID) (int64, error) {
	result, err := l.store.Txn(ctx, []kv.Compare{{Key: l.cfg.Key}}, []kv.Op{kv.PutWithLease(l.cfg.Key, []byte(l.cfg.Holder), id)})
	switch {
	case err == nil && result.Succeeded:
		return result.Revision, nil
	case err == nil:
		return 0, nil
	case !fault.Is(err, fault.Ambiguous):
		return 0, err
	}
	// A write that arrives later is bound to a lease that is then revoked.
	entry, found, err := l.store.Get(ctx, l.cfg.Key)
	if err != nil || !found || entry.Lease != id {
		return 0, err
	}
	return entry.CreateRevision, nil
}

// revoke gives back a lease that is not used; it lapses if the call fails.
func (l *Lease) revoke(ctx context.Context, id kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_ = l.store.Revoke(ctx, id)
}

func (l *Lease) renewUntilLost(ctx context.Context) {
	interval := l.cfg.TTL / renewalsPerTTL
	for wait.For(ctx, interval) {
		l.mu.Lock()
		id, token := l.id, l.token
		l.mu.Unlock()
		if !l.isCandidate() {
			l.MarkLost(token, "other processes are to hold it")
			token = 0
		}
		if token == 0 {
			l.revoke(ctx, id)
			return
		}
		sent := time.Now()
		err := l.store.KeepAlive(ctx, id)
		interval = l.cfg.TTL / renewalsPerTTL
		switch {
		case err == nil:
			l.extend(token, sent)
		case fault.Is(err, fault.Conflict):
			l.MarkLost(token, "lapsed in the store")
			return
		case ctx.Err() == nil:
			l.log.Log(EvFailed, "key", l.cfg.Key, "error", err)
			interval = l.cfg.TTL / retryShare
		}
	}
}

func (l *Lease) extend(token int64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token == token {
		l.validUntil = sent.Add(l.cfg.TTL - l.cfg.ClockMargin)
	}
}

// Release hands the lease over at a planned stop, after the last act.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	id, held := l.id, l.token != 0
	l.token = 0
	l.mu.Unlock()
	if held {
		l.revoke(ctx, id)
	}
}
