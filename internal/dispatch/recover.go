package dispatch

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/request"
	"buckthornpick/internal/wait"
)

// handleLoss decides how a request continues after an attempt that ended with
// err before its answer was complete. isDone is false if the request may be
// dispatched again; otherwise end is its end, nil after a handover.
func (e *execution) handleLoss(ctx context.Context, a *attempt, err error) (end *request.End, isDone bool) {
	e.logLoss(a, err)
	if errors.Is(err, errHandedOver) || e.isObserving() {
		return nil, true
	}
	if err := e.rec.MarkLost(); err != nil {
		return e.refusedTransition(err), true
	}
	if errors.Is(err, errServerReclaimed) {
		return e.handleMove(ctx, a)
	}
	attemptErr := attemptError(err, a.target)
	switch attemptErr.Progress {
	case backend.NotSent, backend.Refused:
		return e.handleNotRun(ctx, a, attemptErr)
	case backend.RanAndFailed:
		return e.handleFailure(a, attemptErr)
	default:
		return e.handleDisconnect(ctx, a, attemptErr)
	}
}

func (e *execution) logLoss(a *attempt, err error) {
	e.d.deps.Log.Log(EvAttemptLost, "request", e.req.ID, "attempt", a.id, "server", a.target.ID,
		"events", len(e.rec.Events()), "error", err)
}

// handleNotRun handles an attempt that is known not to have run. A request that
// the older system refused or that did not reach it goes to the planned service,
// which does not count as a retry.
func (e *execution) handleNotRun(ctx context.Context, a *attempt, attemptErr *backend.AttemptError) (*request.End, bool) {
	e.tried[a.target.ID] = true
	if attemptErr.Progress == backend.NotSent {
		e.d.deps.Pools.MarkSuspect(time.Now(), a.target.ID)
	}
	isOlder := e.plan.olderSystem != nil
	e.plan.olderSystem = nil
	if ctx.Err() == nil && (isOlder || e.takeRetry(a)) {
		return nil, false
	}
	return e.giveUp(request.End{Problem: problemUnavailable, Message: attemptErrorMessage(attemptErr),
		Status: http.StatusServiceUnavailable, RetryAfter: max(attemptErr.RetryAfter, time.Second)}), true
}

// handleFailure handles an attempt that the backend server ended with an error.
func (e *execution) handleFailure(a *attempt, attemptErr *backend.AttemptError) (*request.End, bool) {
	e.mayHaveRun = true
	if end := e.forwardClientError(attemptErr); end != nil {
		return end, true
	}
	isServerError := attemptErr.Status >= http.StatusInternalServerError
	if isServerError && e.req.Repeatable && e.takeRetry(a) {
		e.tried[a.target.ID] = true
		return nil, false
	}
	status := attemptErr.Status
	if isServerError || status == 0 {
		status = http.StatusBadGateway
	}
	return &request.End{Outcome: request.Failed, Problem: problemBackend, Message: attemptErrorMessage(attemptErr), Status: status}, true
}

// forwardClientError delivers a 4xx response of a plain service to the caller as
// the answer. It returns nil for other failures.
func (e *execution) forwardClientError(attemptErr *backend.AttemptError) *request.End {
	isClientError := attemptErr.Status >= http.StatusBadRequest && attemptErr.Status < http.StatusInternalServerError
	if e.req.Kind != request.Plain || !isClientError {
		return nil
	}
	number, err := e.rec.Dispatch()
	if err != nil {
		return e.refusedTransition(err)
	}
	head := request.Head{Status: attemptErr.Status, Header: http.Header{"Content-Type": {attemptErr.ContentType}}}
	if err := e.rec.SetHead(number, head); err != nil {
		return e.refusedTransition(err)
	}
	if err := e.rec.Append(number, request.Event{Sequence: 1, Data: attemptErr.Body}); err != nil {
		return e.refusedTransition(err)
	}
	return &request.End{Outcome: request.Completed}
}

// attemptErrorMessage returns the caller's error message: which backend server
// failed and why.
func attemptErrorMessage(attemptErr *backend.AttemptError) string {
	return "backend server " + attemptErr.Target.ID + ": " + fault.Text(attemptErr.Err)
}

// handleDisconnect handles an attempt that may have run or may still be running.
// It first tries to reattach to it. If that fails, a repeatable request
// continues at another server.
func (e *execution) handleDisconnect(ctx context.Context, a *attempt, attemptErr error) (*request.End, bool) {
	e.mayHaveRun = true
	e.serverCrashed = !isTimeout(attemptErr)
	lostAt := time.Now()
	if a.target.Class == backend.Engine {
		end, isDone := e.reattach(ctx, a)
		if isDone {
			return end, true
		}
	}
	if ctx.Err() != nil {
		return e.timedOutEnd(ctx, a), true
	}
	e.tried[a.target.ID] = true
	e.d.deps.Pools.MarkSuspect(time.Now(), a.target.ID)
	if e.isBeingReclaimed(a.target.ID) {
		return e.handleReclaim(a)
	}
	if e.serverCrashed {
		ref := e.attemptRef(a)
		ref.LostAt = lostAt
		e.d.deps.Quarantine.RecordCrash(ctx, ref)
	}
	if e.req.Repeatable && e.takeRetry(a) {
		return nil, false
	}
	return e.unresolvedEnd("the connection to " + a.target.ID + " was lost and the answer is not to be had"), true
}

// handleReclaim handles an attempt that was lost to a reclaim: the VM of its
// backend server is terminated, or is under a reclaim notice and the attempt can
// no longer be reached. The VM does not come back, so an engine's answer can
// continue at another server from the last event without running anything twice.
func (e *execution) handleReclaim(a *attempt) (*request.End, bool) {
	canContinue := a.target.Class == backend.Engine && len(e.rec.Events()) > 0
	if e.req.Repeatable || canContinue {
		e.d.stats.moves.Inc(1)
		return nil, false
	}
	return e.unresolvedEnd("backend server " + a.target.ID + " was taken back before its answer came"), true
}

// reattach resumes the attempt at its server, with backoff, until the answer is
// complete, the server no longer knows the attempt, or RecoverWait has passed
// without progress.
func (e *execution) reattach(ctx context.Context, a *attempt) (*request.End, bool) {
	giveUpAt := time.Now().Add(e.d.cfg.RecoverWait)
	backoff := minResumeBackoff
	for time.Now().Before(giveUpAt) && ctx.Err() == nil {
		number, err := e.rec.Dispatch()
		if err != nil {
			return e.refusedTransition(err), true
		}
		eventsBefore := len(e.rec.Events())
		isAttached, err := e.resumeOnce(ctx, number, a)
		if err == nil {
			return &request.End{Outcome: request.Completed}, true
		}
		end, isDone := e.handleResumeError(ctx, a, err)
		if isDone || end != nil {
			return end, isDone
		}
		e.serverCrashed = !isTimeout(err)
		if e.shouldStopResuming(err, a.target) {
			return nil, false
		}
		if isAttached || len(e.rec.Events()) > eventsBefore {
			giveUpAt = time.Now().Add(e.d.cfg.RecoverWait)
			backoff = minResumeBackoff
		}
		wait.For(ctx, backoff)
		backoff = min(2*backoff, maxResumeBackoff)
	}
	return nil, false
}

const (
	minResumeBackoff = 20 * time.Millisecond
	maxResumeBackoff = 500 * time.Millisecond
)

// handleResumeError handles the failure of a resumed attempt. isDone is true if
// no further attempt may follow.
func (e *execution) handleResumeError(ctx context.Context, a *attempt, err error) (*request.End, bool) {
	e.logLoss(a, err)
	if errors.Is(err, errHandedOver) || e.isObserving() {
		return nil, true
	}
	if err := e.rec.MarkLost(); err != nil {
		return e.refusedTransition(err), true
	}
	if errors.Is(err, errServerReclaimed) {
		e.cancelAttempt(ctx, a)
	}
	return nil, false
}

// isTimeout reports whether err is a timeout, after which the backend server may
// be healthy but unreachable. A server that closes or refuses connections counts
// as crashed.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, errStalled) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}

// shouldStopResuming reports whether another resume after err cannot succeed, or
// is not worth the wait: a repeatable request does not wait for a server that
// refuses connections.
func (e *execution) shouldStopResuming(err error, t backend.Target) bool {
	if errors.Is(err, errServerReclaimed) {
		return true
	}
	switch attemptError(err, t).Progress {
	case backend.NotFound, backend.RanAndFailed:
		return true
	case backend.NotSent:
		return e.req.Repeatable || e.isBeingReclaimed(t.ID)
	}
	return false
}

// resumeOnce reattaches to the attempt and copies its answer from the last event
// on. isAttached is true if the server knew the attempt.
func (e *execution) resumeOnce(ctx context.Context, number int, a *attempt) (isAttached bool, err error) {
	return e.attach(ctx, number, a, true)
}

// attach implements resumeOnce. mayMove is false for an attempt that was already
// cancelled because its server is being reclaimed.
func (e *execution) attach(ctx context.Context, number int, a *attempt, mayMove bool) (isAttached bool, err error) {
	attemptCtx, cancel := e.newAttemptContext(ctx)
	defer cancel()
	if mayMove {
		e.d.watchDeadline(e, a.target.ID)
	}
	stall := e.watchStall(a, e.d.cfg.ResumeTimeout)
	defer stall.stop()
	answer, err := e.d.deps.Backends.Resume(attemptCtx, a.target, e.req, a.id, len(e.rec.Events()))
	if err != nil {
		return false, interruptionCause(attemptCtx, err)
	}
	e.d.stats.resumes.Inc(1)
	e.d.deps.Log.Log(EvResumed, "request", e.req.ID, "attempt", a.id, "server", a.target.ID,
		"after", len(e.rec.Events()))
	return true, interruptionCause(attemptCtx, e.copyAnswer(number, a, answer, stall))
}

// continueAdopted runs a request whose running attempt another node has handed
// over: it reattaches to that attempt.
func (e *execution) continueAdopted(ctx context.Context) *request.End {
	a := e.currentAttempt()
	e.mayHaveRun = true
	e.plan = e.adoptedPlan()
	number, err := e.rec.Dispatch()
	if err != nil {
		return e.refusedTransition(err)
	}
	_, err = e.resumeOnce(ctx, number, &a)
	if err == nil {
		return &request.End{Outcome: request.Completed}
	}
	end, isDone := e.handleLoss(ctx, &a, err)
	if isDone {
		return end
	}
	return e.runAttempts(ctx)
}

// adoptedPlan evaluates the rules again for a request that is already running.
// If they refuse it now, the refusal is ignored because the request has been
// dispatched, and the plan uses the service that the request names.
func (e *execution) adoptedPlan() *plan {
	p, refusal := e.d.planRequest(e.req, time.Now())
	if refusal == nil {
		return p
	}
	p = &plan{sent: e.req, startBy: e.req.Deadline, prefixHashes: prefixHashes(e.req), sharedParts: sharedParts(e.req)}
	if snapshot, ok := e.d.deps.Document(); ok {
		if s, ok := findService(snapshot.Document, e.req.Service); ok {
			p.services = append(p.services, s)
		}
	}
	return p
}

// timedOutEnd cancels the attempt and returns the end of a dispatched request
// whose ctx ended; nil after a handover. The outcome is "failed" only if the
// server confirms a cancellation at the deadline, otherwise "unknown".
func (e *execution) timedOutEnd(ctx context.Context, a *attempt) *request.End {
	end := e.interruptedEnd(ctx)
	if end == nil {
		return nil
	}
	end.Outcome = request.Unknown
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && e.cancelAttempt(ctx, a) {
		end.Outcome = request.Failed
	}
	return end
}

const cancelTimeout = time.Second

// cancelAttempt cancels the attempt at its server and reports whether the server
// has confirmed that. It works also after ctx has ended.
func (e *execution) cancelAttempt(ctx context.Context, a *attempt) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	return e.d.deps.Backends.Cancel(ctx, a.target, a.id) == nil
}

// takeRetry takes one retry from the service's retry budget. It returns false if
// the budget is exhausted or the request has had MaxAttempts dispatches.
func (e *execution) takeRetry(a *attempt) bool {
	if e.dispatches >= e.d.cfg.MaxAttempts || !e.d.deps.Admitter.AllowRetry(a.service) {
		return false
	}
	e.d.stats.retries.Inc(1)
	return true
}

// isBeingReclaimed reports whether the server has a reclaim notice or is already
// gone.
func (e *execution) isBeingReclaimed(server string) bool {
	_, hasNotice := e.d.deps.Pools.ReclaimDeadline(server)
	return hasNotice || e.d.deps.Pools.IsTerminated(server)
}

func (e *execution) setCurrent(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current = *a
}

// adoptedAttempt returns the attempt that the node which handed the request over
// had dispatched.
func adoptedAttempt(t Transfer) attempt {
	return attempt{service: t.Service, target: t.Target, id: t.Attempt, sentAt: time.Now()}
}
