package claim

import (
	"context"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/request"
)

// sweepLoop removes expired claims once per BucketLength. It also loads owned
// partitions that no request has used, so that their expired claims are found.
func (l *Ledger) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(l.config.BucketLength)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := l.sweep(ctx, time.Now()); err != nil && ctx.Err() == nil {
				l.log.Log(EvSweepFailed, "error", err.Error())
			}
		}
	}
}

// sweep removes claims older than Retention from the store and from memory. It
// also drops partitions that this node no longer owns from memory.
func (l *Ledger) sweep(ctx context.Context, now time.Time) error {
	for number := range request.Partitions {
		if _, ok := l.ownership.OwnedSince(number); !ok {
			l.mu.Lock()
			delete(l.partitions, number)
			l.mu.Unlock()
			continue
		}
		p, err := l.loadedPartition(ctx, number)
		if fault.Is(err, fault.Conflict) {
			continue
		}
		if err != nil {
			return err
		}
		if err := l.sweepPartition(ctx, p, now.Add(-l.config.Retention)); err != nil {
			return err
		}
	}
	return nil
}

// sweepPartition removes the buckets of p that ended before limit.
func (l *Ledger) sweepPartition(ctx context.Context, p *partition, limit time.Time) error {
	l.mu.Lock()
	expired := p.expiredKeys(limit, l.config.BucketLength)
	l.mu.Unlock()
	for bucket, keys := range expired {
		if err := l.deleteKeys(ctx, keys); err != nil {
			return err
		}
		l.mu.Lock()
		delete(p.keys, bucket)
		for id, c := range p.claims {
			if c.bucket == bucket {
				delete(p.claims, id)
			}
		}
		l.mu.Unlock()
		l.log.Log(EvSwept, "partition", p.number, "keys", len(keys))
	}
	return nil
}

// deleteKeys deletes the keys from the store, several per transaction. It is
// idempotent.
func (l *Ledger) deleteKeys(ctx context.Context, keys []string) error {
	for len(keys) > 0 {
		n := min(len(keys), maxTxnKeys)
		ops := make([]kv.Op, n)
		for i, key := range keys[:n] {
			ops[i] = kv.Delete(key)
		}
		callCtx, cancel := context.WithTimeout(ctx, l.config.WriteTimeout)
		_, err := l.store.Txn(callCtx, nil, ops)
		cancel()
		if err != nil {
			return fault.Wrap(err, fault.Unavailable, "claim.sweep", "store", "delete %d keys", n)
		}
		keys = keys[n:]
	}
	return nil
}
