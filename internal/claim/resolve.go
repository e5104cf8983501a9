package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"buckthornpick/internal/kv"
)

const (
	firstRetry = 20 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// resolve finds out the fate of b. While a caller waits it sends b again; the
// guard on the operation's key makes that harmless. When nobody waits it
// creates that key empty, which makes every late copy of b fail.
func (l *Ledger) resolve(ctx context.Context, b *nodeBatch) fate {
	delay := firstRetry
	for {
		select {
		case <-ctx.Done():
			return fateAmbiguous
		case <-time.After(delay/2 + rand.N(delay)):
		}
		delay = min(2*delay, lastRetry)
		if f := l.attempt(ctx, b); f == fateWritten || f == fateConflict {
			return f
		}
	}
}

// attempt tries once; every result but written and conflict is undecided.
func (l *Ledger) attempt(ctx context.Context, b *nodeBatch) fate {
	ctx, cancel := context.WithTimeout(ctx, l.config.WriteTimeout)
	defer cancel()
	guards, ops := []kv.Compare{b.guard()}, []kv.Op{kv.Put(b.guard().Key, nil)}
	waiting := b.waiting()
	if waiting {
		guards, ops = l.writer.transaction([]batch{b.batch})
	}
	res, err := l.store.Txn(ctx, guards, ops)
	if err != nil {
		return fateAmbiguous
	}
	if res.Succeeded {
		if waiting {
			return fateWritten
		}
		return fateConflict
	}
	return l.writer.explain(ctx, b.batch, false)
}

func (b *nodeBatch) waiting() bool {
	for _, w := range b.writes {
		if !w.abandoned.Load() {
			return true
		}
	}
	return false
}
