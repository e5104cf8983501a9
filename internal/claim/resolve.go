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

// resolve finds out the fate of b. While a caller waits it sends b again; the
// guard on the operation's key makes that harmless. When nobody waits it
// creates that key empty, which makes every late copy of b fail.
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

// attempt tries once; every result but written and conflict is undecided.
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

func (b *nodeBatch) hasWaiters() bool {
	for _, w := range b.writes {
		if !w.abandoned.Load() {
			return true
		}
	}
	return false
}
