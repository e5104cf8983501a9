package relay

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"buckthornpick/internal/upstream"
)

// contest decides once whether a silent response goes on or another server takes its
// stream over. A nil contest, without such a response, is won by the other server.
type contest struct {
	silent io.Closer
	// cancel cancels the requests to other servers.
	cancel   context.CancelFunc
	decision atomic.Int32
}

// The decisions of a contest; 0 is none.
const (
	decidedForOld = iota + 1
	decidedForNew
)

// takeOver is called when another server has responded. It closes the silent response,
// or returns false if that one has gone on.
func (c *contest) takeOver() bool {
	if c == nil {
		return true
	}
	if !c.decision.CompareAndSwap(0, decidedForNew) {
		return false
	}
	_ = c.silent.Close()
	return true
}

// goOn is called when the silent response has gone on or ended regularly. It cancels
// the requests to other servers unless one of them has taken the stream over.
func (c *contest) goOn() {
	if c.decision.CompareAndSwap(0, decidedForOld) {
		c.cancel()
	}
}

func (c *contest) hasGoneOn() bool { return c != nil && c.decision.Load() == decidedForOld }

// stallTimer requests the rest of a stream from another server when a read takes
// longer than a timeout. The read goes on until that server has responded, and for
// good if none does.
type stallTimer struct {
	// newContest returns the contest of the next silence, and the timer that starts it
	// after timeout. It is nil for streams that cannot be resumed on another server.
	newContest func(timeout time.Duration) (*contest, *time.Timer)
	contest    *contest
	timer      *time.Timer
	// nextTimeout is the timeout of the next read, and timeout that of the others.
	nextTimeout, timeout time.Duration
	// next is the result of resume, after whose end ended receives.
	next  continuation
	ended chan struct{}
}

// newStallTimer returns the timer for the reads of a response.
func (s *eventStream) newStallTimer(ctx context.Context, c *choice, resp *upstream.Response) *stallTimer {
	t := &stallTimer{}
	q := s.request
	if q.policy.Repetition != resumable || q.sends >= q.policy.Attempts {
		return t
	}
	t.timeout = stallTimeout(q.policy)
	// The first event may take longer, since the request may be queued at the server.
	t.nextTimeout = max(t.timeout, callerStreamTimeout(q.policy)/2)
	t.ended = make(chan struct{}, 1)
	t.newContest = func(timeout time.Duration) (*contest, *time.Timer) {
		ctx, cancel := context.WithCancel(ctx)
		contest := &contest{silent: resp.Body, cancel: cancel}
		return contest, time.AfterFunc(timeout, func() {
			t.next.choice, t.next.resp = s.resume(ctx, c, contest)
			t.ended <- struct{}{}
		})
	}
	return t
}

// start starts the timeout of a read.
func (t *stallTimer) start() {
	switch {
	case t.newContest == nil:
		return
	case t.contest == nil:
		t.contest, t.timer = t.newContest(t.nextTimeout)
	default:
		t.timer.Reset(t.nextTimeout)
	}
	t.nextTimeout = t.timeout
}

// stop ends the timeout after a read, whose response goes on or has ended regularly,
// or has broken. If the rest of the stream was requested elsewhere, it returns the
// response of the server that has taken the stream over, if there is one; a broken
// response waits for it.
func (t *stallTimer) stop(goesOn bool) continuation {
	if t.timer == nil || t.timer.Stop() {
		return continuation{}
	}
	if goesOn {
		t.contest.goOn()
	}
	<-t.ended
	t.contest = nil
	return t.next
}
