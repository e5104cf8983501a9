package gateway

import (
	"context"
	"time"
)

// idleWait bounds waits for the next step by the interval of keep-alive
// comments. One context serves many waits, because streams wait once for each
// token; so a wait may end early, and the next one then has the whole rest of
// the interval.
type keepAliveTimer struct {
	interval time.Duration
	ctx      context.Context
	cancel   context.CancelFunc
}

// begin returns the context of a wait. since is when the stream fell idle.
func (t *keepAliveTimer) waitContext(parent context.Context, idleSince time.Time) context.Context {
	if t.ctx == nil || t.ctx.Err() != nil {
		t.stop()
		t.ctx, t.cancel = context.WithDeadline(parent, idleSince.Add(t.interval))
	}
	return t.ctx
}

// end releases the context.
func (t *keepAliveTimer) stop() {
	if t.cancel != nil {
		t.cancel()
	}
}
