package gateway

import (
	"context"
	"time"
)

// keepAliveTimer limits the wait for the next part to the keep-alive interval.
// A stream waits once per token, so one context is shared by many waits to avoid
// a new one for each. A wait may therefore end before the interval is over;
// nextOrKeepAlive then waits again, with a new context for the rest of the
// interval.
type keepAliveTimer struct {
	interval time.Duration
	ctx      context.Context
	cancel   context.CancelFunc
}

// waitContext returns the context for a wait. idleSince is the time at which the
// current wait for a part started or the last keep-alive was due.
func (t *keepAliveTimer) waitContext(parent context.Context, idleSince time.Time) context.Context {
	if t.ctx == nil || t.ctx.Err() != nil {
		t.stop()
		t.ctx, t.cancel = context.WithDeadline(parent, idleSince.Add(t.interval))
	}
	return t.ctx
}

// stop cancels the current context.
func (t *keepAliveTimer) stop() {
	if t.cancel != nil {
		t.cancel()
	}
}
