package dispatch

import (
	"context"
	"errors"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/request"
	"buckthornpick/internal/wait"
)

// noticeLeavingServers looks at every running attempt after a change of the
// inventory.
func (d *Dispatcher) noticeLeavingServers() {
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

// watchDeadline moves the execution's attempt off a backend server that is
// taken back, if the answer cannot be complete by then.
func (d *Dispatcher) watchDeadline(e *execution, server string) {
	deadline, isNoticed := d.deps.Pools.ReclaimDeadline(server)
	if !isNoticed || e.currentAttempt().target.Class != backend.Engine {
		return
	}
	latest := deadline.Add(-d.cfg.MigrationMargin)
	if time.Until(latest) <= 0 || time.Until(latest) < e.expectedRest(time.Now()) {
		e.moveOff(server)
		return
	}
	e.moveLater(server, time.Until(latest))
}

// moveOff interrupts the attempt if it is still at the server.
func (e *execution) moveOff(server string) {
	if e.currentAttempt().target.ID != server || e.observes() {
		return
	}
	e.interruptAttempt(errServerLeaving)
}

// moveLater checks again shortly before the server goes.
func (e *execution) moveLater(server string, wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.moveTimer != nil {
		e.moveTimer.Stop()
	}
	e.moveTimer = time.AfterFunc(wait, func() { e.moveOff(server) })
}

func (e *execution) stopMoveTimer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.moveTimer != nil {
		e.moveTimer.Stop()
		e.moveTimer = nil
	}
}

// assumedAnswerTokens is the length of an answer that names no maximum.
const assumedAnswerTokens = 256

// assumedPace is the time between tokens before any was measured.
const assumedPace = 30 * time.Millisecond

// expectedRest predicts how long the running attempt still takes.
func (e *execution) expectedRest(now time.Time) time.Duration {
	total := e.req.MaxTokens
	if total == 0 {
		total = assumedAnswerTokens
	}
	a := e.currentAttempt()
	done := len(e.rec.Events())
	rest := max(total-done, 1)
	if done == 0 || a.sentAt.IsZero() {
		return time.Duration(rest) * assumedPace
	}
	return time.Duration(rest) * now.Sub(a.sentAt) / time.Duration(done)
}

// afterMove follows an attempt that was interrupted because its server leaves:
// the attempt is cancelled there and goes on elsewhere from the last event.
func (e *execution) afterMove(ctx context.Context, a *attempt) (*request.End, bool) {
	e.mayHaveRun = true
	e.tried[a.target.ID] = true
	e.d.stats.moves.Inc(1)
	e.d.deps.Log.Log(EvMoving, "request", e.req.ID, "attempt", a.id, "server", a.target.ID,
		"events", len(e.rec.Events()))
	isStopped := e.cancelAttempt(ctx, a)
	if deadline, isNoticed := e.d.deps.Pools.ReclaimDeadline(a.target.ID); isStopped && isNoticed {
		e.movedFrom = &movedFrom{attempt: *a, deadline: deadline}
	}
	if ctx.Err() != nil {
		return e.timedOut(ctx, a), true
	}
	if isStopped {
		return e.drainCancelled(ctx, a)
	}
	if e.req.Repeatable {
		return nil, false
	}
	return e.awaitTermination(ctx, a)
}

// drainCancelled reads the events that a cancelled attempt generated before it
// stopped and that were still on their way, so that the answer goes on from them
// and nothing runs a second time.
func (e *execution) drainCancelled(ctx context.Context, a *attempt) (*request.End, bool) {
	number, err := e.rec.Dispatch()
	if err != nil {
		return e.stateRefused(err), true
	}
	isAttached, err := e.attach(ctx, number, a, false)
	if err == nil {
		return &request.End{Outcome: request.Completed}, true
	}
	if errors.Is(err, errHandedOver) || e.observes() {
		return nil, true
	}
	if err := e.rec.Lose(); err != nil {
		return e.stateRefused(err), true
	}
	if isAttached || e.req.Repeatable {
		return nil, false
	}
	return e.awaitTermination(ctx, a)
}

// terminationPause is the time between looks at the VM list.
const terminationPause = 200 * time.Millisecond

// awaitTermination waits until the VM of an attempt that could not be
// cancelled is gone; only then may a non-repeatable answer go on elsewhere.
func (e *execution) awaitTermination(ctx context.Context, a *attempt) (*request.End, bool) {
	for ctx.Err() == nil {
		deadline, isNoticed := e.d.deps.Pools.ReclaimDeadline(a.target.ID)
		isOver := isNoticed && time.Now().After(deadline)
		if isOver && e.d.deps.Pools.IsTerminated(a.target.ID) {
			return e.afterReclaim(a)
		}
		wait.For(ctx, terminationPause)
	}
	return e.timedOut(ctx, a), true
}
