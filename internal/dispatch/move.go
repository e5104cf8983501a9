package dispatch

import (
	"context"
	"errors"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/request"
	"buckthornpick/internal/wait"
)

// checkReclaimNotices checks, after a change of the inventory, the server of
// every running attempt for a reclaim notice.
func (d *Dispatcher) checkReclaimNotices() {
	for _, e := range d.runningExecutions() {
		d.watchDeadline(e, e.currentAttempt().target.ID)
	}
}

func (d *Dispatcher) runningExecutions() []*execution {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*execution, 0, len(d.executions))
	for _, e := range d.executions {
		out = append(out, e)
	}
	return out
}

// watchDeadline moves the attempt off its backend server if the server has a
// reclaim notice. The attempt is interrupted at once if the answer is not
// expected to be complete by MigrationMargin before the deadline, otherwise at
// that time if it is still running.
func (d *Dispatcher) watchDeadline(e *execution, server string) {
	deadline, hasNotice := d.deps.Pools.ReclaimDeadline(server)
	if !hasNotice || e.currentAttempt().target.Class != backend.Engine {
		return
	}
	latest := deadline.Add(-d.cfg.MigrationMargin)
	if time.Until(latest) <= 0 || time.Until(latest) < e.expectedRemaining(time.Now()) {
		e.interruptAt(server)
		return
	}
	e.scheduleMove(server, time.Until(latest))
}

// interruptAt interrupts the attempt if it is still at the server.
func (e *execution) interruptAt(server string) {
	if e.currentAttempt().target.ID != server || e.isObserving() {
		return
	}
	e.interruptAttempt(errServerReclaimed)
}

// scheduleMove calls interruptAt after the delay.
func (e *execution) scheduleMove(server string, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.moveTimer != nil {
		e.moveTimer.Stop()
	}
	e.moveTimer = time.AfterFunc(delay, func() { e.interruptAt(server) })
}

func (e *execution) stopMoveTimer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.moveTimer != nil {
		e.moveTimer.Stop()
		e.moveTimer = nil
	}
}

// assumedAnswerTokens is the expected length of an answer if the request sets no
// maximum.
const assumedAnswerTokens = 256

// assumedTokenInterval is the expected time between tokens before the first
// event has arrived.
const assumedTokenInterval = 30 * time.Millisecond

// expectedRemaining estimates how long the running attempt will still take.
func (e *execution) expectedRemaining(now time.Time) time.Duration {
	total := e.req.MaxTokens
	if total == 0 {
		total = assumedAnswerTokens
	}
	a := e.currentAttempt()
	generated := len(e.rec.Events())
	remaining := max(total-generated, 1)
	if generated == 0 || a.sentAt.IsZero() {
		return time.Duration(remaining) * assumedTokenInterval
	}
	return time.Duration(remaining) * now.Sub(a.sentAt) / time.Duration(generated)
}

// handleMove handles an attempt that was interrupted because its server is
// being reclaimed. It cancels the attempt there, so that the answer can continue
// at another server from the last event. An attempt that did not reach the server
// is simply made elsewhere.
func (e *execution) handleMove(ctx context.Context, a *attempt) (*request.End, bool) {
	e.tried[a.target.ID] = true
	e.d.stats.moves.Inc(1)
	e.d.deps.Log.Log(EvMoving, "request", e.req.ID, "attempt", a.id, "server", a.target.ID,
		"events", len(e.rec.Events()))
	if a.hasNotRun && ctx.Err() == nil {
		return nil, false
	}
	e.mayHaveRun = true
	isCancelled := e.cancelAttempt(ctx, a)
	if deadline, hasNotice := e.d.deps.Pools.ReclaimDeadline(a.target.ID); isCancelled && hasNotice {
		e.kvSource = &kvSource{attempt: *a, deadline: deadline}
	}
	if ctx.Err() != nil {
		return e.timedOutEnd(ctx, a), true
	}
	if isCancelled {
		return e.drainCancelled(ctx, a)
	}
	if e.req.Repeatable {
		return nil, false
	}
	return e.awaitTermination(ctx, a)
}

// drainCancelled reads the events that a cancelled attempt generated before it
// stopped but that had not arrived. The answer continues after them, so no part
// of it is generated twice.
func (e *execution) drainCancelled(ctx context.Context, a *attempt) (*request.End, bool) {
	number, err := e.rec.Dispatch()
	if err != nil {
		return e.refusedTransition(err), true
	}
	isAttached, err := e.attach(ctx, number, a, false)
	if err == nil {
		return &request.End{Outcome: request.Completed}, true
	}
	if errors.Is(err, errHandedOver) || e.isObserving() {
		return nil, true
	}
	if err := e.rec.MarkLost(); err != nil {
		return e.refusedTransition(err), true
	}
	if isAttached || e.req.Repeatable {
		return nil, false
	}
	return e.awaitTermination(ctx, a)
}

// terminationPollInterval is the interval at which the VM list is checked for
// the termination of a VM.
const terminationPollInterval = 200 * time.Millisecond

// awaitTermination waits until the VM of an attempt that could not be cancelled
// is terminated. Only then may a non-repeatable request continue at another
// server.
func (e *execution) awaitTermination(ctx context.Context, a *attempt) (*request.End, bool) {
	for ctx.Err() == nil {
		deadline, hasNotice := e.d.deps.Pools.ReclaimDeadline(a.target.ID)
		isPastDeadline := hasNotice && time.Now().After(deadline)
		if isPastDeadline && e.d.deps.Pools.IsTerminated(a.target.ID) {
			return e.handleReclaim(a)
		}
		wait.For(ctx, terminationPollInterval)
	}
	return e.timedOutEnd(ctx, a), true
}
