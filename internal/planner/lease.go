package planner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

// leasePrefix holds one key for each zone, bound to the holder's lease.
const leasePrefix = "bp/planner/"

const (
	renewalsPerTTL = 3
	// retryShare is the part of the lease's time between tries of a renewal.
	retryShare = 10
	// releaseTimeout bounds the release at a planned stop.
	releaseTimeout = time.Second
)

// Lease is the right to act for a zone. It is safe for concurrent use.
//
// The holder counts its lease from before it sent the renewal, less a margin.
// The create revision of the zone's key is the fencing token: it rises with
// every holder.
type Lease struct {
	key     string
	holder  string
	ttl     time.Duration
	margin  time.Duration
	standby time.Duration
	store   kv.Store
	log     *telemetry.Logger

	mu         sync.Mutex
	id         kv.LeaseID
	token      int64
	acquiredAt time.Time
	validUntil time.Time
}

func newLease(cfg Config, store kv.Store, log *telemetry.Logger) *Lease {
	return &Lease{
		key: leasePrefix + cfg.Zone, holder: cfg.ID, ttl: cfg.LeaseTTL, margin: cfg.DriftMargin,
		standby: cfg.StandbyInterval, store: store, log: log,
	}
}

// Check returns the token and the end of the lease; an error of type
// fault.Conflict means that this planner must not act.
func (l *Lease) Check() (token int64, until time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	// Either clock may stand still or step; both must agree.
	if l.token == 0 || !now.Before(l.validUntil) || !now.Round(0).Before(l.validUntil.Round(0)) {
		return 0, time.Time{}, fault.New(fault.Conflict, "planner.lease", l.key, "the zone's lease is not held")
	}
	return l.token, l.validUntil, nil
}

// AcquiredAt returns when the lease was taken.
func (l *Lease) AcquiredAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acquiredAt
}

// guard holds in the store while token is the zone's present holder.
func (l *Lease) guard(token int64) kv.Compare { return kv.Compare{Key: l.key, ModRevision: token} }

// lose gives up a token that the store or an engine says is not the latest.
func (l *Lease) lose(token int64, cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token != token || token == 0 {
		return
	}
	l.token = 0
	l.log.Log(EvLeaseLost, "token", token, "cause", cause)
}

// run takes and renews the lease until ctx ends. It does not release it.
func (l *Lease) run(ctx context.Context) error {
	for ctx.Err() == nil {
		held, err := l.campaign(ctx)
		if err != nil && ctx.Err() == nil {
			l.log.Log(EvLeaseFailed, "error", err)
		}
		if held {
			l.renewUntilLost(ctx)
			continue
		}
		wait.For(ctx, l.standby/2+rand.N(l.standby))
	}
	return nil
}

// campaign takes the lease if nobody holds it.
func (l *Lease) campaign(ctx context.Context) (held bool, err error) {
	if _, found, err := l.store.Get(ctx, l.key); err != nil || found {
		return false, err
	}
	sent := time.Now()
	id, err := l.store.Grant(ctx, l.ttl)
	if err != nil {
		return false, err
	}
	token, err := l.create(ctx, id)
	if err != nil || token == 0 {
		l.revoke(ctx, id)
		return false, err
	}
	l.mu.Lock()
	l.id, l.token, l.acquiredAt = id, token, time.Now()
	l.validUntil = sent.Add(l.ttl - l.margin)
	l.mu.Unlock()
	l.log.Log(EvActing, "token", token)
	return true, nil
}

// create writes the zone's key and returns its create revision, 0 if another
// planner was first.
func (l *Lease) create(ctx context.Context, id kv.LeaseID) (int64, error) {
	result, err := l.store.Txn(ctx, []kv.Compare{{Key: l.key}}, []kv.Op{kv.PutWithLease(l.key, []byte(l.holder), id)})
	switch {
	case err == nil && result.Succeeded:
		return result.Revision, nil
	case err == nil:
		return 0, nil
	case !fault.Is(err, fault.Ambiguous):
		return 0, err
	}
	// A write that arrives later is bound to a lease that is then revoked.
	entry, found, err := l.store.Get(ctx, l.key)
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
	interval := l.ttl / renewalsPerTTL
	for wait.For(ctx, interval) {
		l.mu.Lock()
		id, token := l.id, l.token
		l.mu.Unlock()
		if token == 0 {
			l.revoke(ctx, id)
			return
		}
		sent := time.Now()
		err := l.store.KeepAlive(ctx, id)
		interval = l.ttl / renewalsPerTTL
		switch {
		case err == nil:
			l.extend(token, sent)
		case fault.Is(err, fault.Conflict):
			l.lose(token, "lapsed in the store")
			return
		case ctx.Err() == nil:
			l.log.Log(EvLeaseFailed, "error", err)
			interval = l.ttl / retryShare
		}
	}
}

func (l *Lease) extend(token int64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token == token {
		l.validUntil = sent.Add(l.ttl - l.margin)
	}
}

// release hands the lease over at a planned stop, after the last act.
func (l *Lease) release(ctx context.Context) {
	l.mu.Lock()
	id, held := l.id, l.token != 0
	l.token = 0
	l.mu.Unlock()
	if held {
		l.revoke(ctx, id)
	}
}
