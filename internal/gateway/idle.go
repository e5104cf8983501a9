package gateway

import (
	"context"
	"time"
)

// idleWait bounds waits for the next step by the interval of keep-alive
// comments. One context serves many waits, because streams wait once for each
// token; so a wait may end early, and the next one then has the whole rest of
// the interval.
type idleWait struct {
	interval time.Duration
	ctx      context.Context
	cancel   context.CancelFunc
}

// begin returns the context of a wait. since is when the stream fell idle.
func (i *idleWait) begin(parent context.Context, since time.Time) context.Context {
	if i.ctx == nil || i.ctx.Err() != nil {
		i.end()
		i.ctx, i.cancel = context.WithDeadline(parent, since.Add(i.interval))
	}
	return i.ctx
}

// end releases the context.
func (i *idleWait) end() {
	if i.cancel != nil {
		i.cancel()
	}
}
