package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"buckthornpick/internal/kv"
)

const (
	minResolveBackoff = 20 * time.Millisecond
	maxResolveBackoff = 2 * time.Second
)

// resolve retries with exponential backoff until it knows whether b was written.
// While a caller waits, it sends b again, which is idempotent because of the
// condition on the operation's key. When no caller waits any more, it writes a
// tombstone, the operation's key with an empty value, which makes every delayed
// copy of b fail.
func (l *Ledger) resolve(ctx context.Context, b *nodeBatch) outcome {
	backoff := minResolveBackoff
	for {
		select {
		case <-ctx.Done():
			return outcomeAmbiguous
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxResolveBackoff)
		if o := l.resolveOnce(ctx, b); o == outcomeWritten || o == outcomeConflict {
			return o
		}
	}
}

// resolveOnce makes one attempt. The outcome of b is known only if the result is
// outcomeWritten or outcomeConflict.
func (l *Ledger) resolveOnce(ctx context.Context, b *nodeBatch) outcome {
	ctx, cancel := context.WithTimeout(ctx, l.config.WriteTimeout)
	defer cancel()
	guards, ops := []kv.Compare{b.guard()}, []kv.Op{kv.Put(b.guard().Key, nil)}
	hasWaiters := b.hasWaiters()
	if hasWaiters {
		guards, ops = l.writer.buildTxn([]batch{b.batch})
	}
	res, err := l.store.Txn(ctx, guards, ops)
	if err != nil {
		return outcomeAmbiguous
	}
	if res.Succeeded {
		if hasWaiters {
			return outcomeWritten
		}
		return outcomeConflict
	}
	return l.writer.diagnoseFailure(ctx, b.batch, false)
}

// hasWaiters reports whether the caller of any write in b still waits.
func (b *nodeBatch) hasWaiters() bool {
	for _, w := range b.writes {
		if !w.abandoned.Load() {
			return true
		}
	}
	return false
}
