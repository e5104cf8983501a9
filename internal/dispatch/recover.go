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

// afterLoss decides what follows an attempt without a whole answer. isDone is
// false if the request may be dispatched again.
func (e *execution) afterLoss(ctx context.Context, a *attempt, err error) (end *request.End, isDone bool) {
	e.logLoss(a, err)
	if errors.Is(err, errHandedOver) || e.observes() {
		return nil, true
	}
	if err := e.rec.MarkLost(); err != nil {
		return e.stateRefused(err), true
	}
	if errors.Is(err, errServerLeaving) {
		return e.afterMove(ctx, a)
	}
	lost := attemptError(err, a.target)
	switch lost.Progress {
	case backend.NotSent, backend.Refused:
		return e.afterNotRun(ctx, a, lost)
	case backend.RanAndFailed:
		return e.afterFailure(a, lost)
	default:
		return e.afterDisconnect(ctx, a, lost)
	}
}

func (e *execution) logLoss(a *attempt, err error) {
	e.d.deps.Log.Log(EvAttemptLost, "request", e.req.ID, "attempt", a.id, "server", a.target.ID,
		"events", len(e.rec.Events()), "error", err)
}

// afterNotRun follows an attempt that certainly did not run. A request that the
// older system did not take goes to the planned service.
func (e *execution) afterNotRun(ctx context.Context, a *attempt, lost *backend.AttemptError) (*request.End, bool) {
	e.tried[a.target.ID] = true
	if lost.Progress == backend.NotSent {
		e.d.deps.Pools.MarkSuspect(time.Now(), a.target.ID)
	}
	isOlder := e.plan.older != nil
	e.plan.older = nil
	if ctx.Err() == nil && (isOlder || e.withinBudget(a)) {
		return nil, false
	}
	return e.giveUp(request.End{Problem: problemUnavailable, Message: lostMessage(lost),
		Status: http.StatusServiceUnavailable, RetryAfter: max(lost.RetryAfter, time.Second)}), true
}

// afterFailure follows an attempt that the backend server ended with an error.
func (e *execution) afterFailure(a *attempt, lost *backend.AttemptError) (*request.End, bool) {
	e.mayHaveRun = true
	if end := e.passOn(lost); end != nil {
		return end, true
	}
	isServerError := lost.Status >= http.StatusInternalServerError
	if isServerError && e.req.Repeatable && e.withinBudget(a) {
		e.tried[a.target.ID] = true
		return nil, false
	}
	status := lost.Status
	if isServerError || status == 0 {
		status = http.StatusBadGateway
	}
	return &request.End{Outcome: request.Failed, Problem: problemBackend, Message: lostMessage(lost), Status: status}, true
}

// passOn delivers a plain service's refusal of the call (4xx) as the answer that
// it is. It returns nil for other failures.
func (e *execution) passOn(lost *backend.AttemptError) *request.End {
	isClientError := lost.Status >= http.StatusBadRequest && lost.Status < http.StatusInternalServerError
	if e.req.Kind != request.Plain || !isClientError {
		return nil
	}
	number, err := e.rec.Dispatch()
	if err != nil {
		return e.stateRefused(err)
	}
	head := request.Head{Status: lost.Status, Header: http.Header{"Content-Type": {lost.ContentType}}}
	if err := e.rec.SetHead(number, head); err != nil {
		return e.stateRefused(err)
	}
	if err := e.rec.Append(number, request.Event{Sequence: 1, Data: lost.Body}); err != nil {
		return e.stateRefused(err)
	}
	return &request.End{Outcome: request.Completed}
}

// lostMessage tells the caller where and why the attempt failed.
func lostMessage(lost *backend.AttemptError) string {
	return "backend server " + lost.Target.ID + ": " + fault.Text(lost.Err)
}

// afterDisconnect follows an attempt that may have run or may still run: first
// attach to it again, then continue elsewhere if the request is repeatable.
func (e *execution) afterDisconnect(ctx context.Context, a *attempt, lost error) (*request.End, bool) {
	e.mayHaveRun = true
	e.isCrash = !isTimeout(lost)
	if a.target.Class == backend.Engine {
		end, isDone := e.reattach(ctx, a)
		if isDone {
			return end, true
		}
	}
	if ctx.Err() != nil {
		return e.timedOut(ctx, a), true
	}
	e.tried[a.target.ID] = true
	e.d.deps.Pools.MarkSuspect(time.Now(), a.target.ID)
	if e.isLeaving(a.target.ID) {
		return e.afterReclaim(a)
	}
	if e.isCrash {
		e.d.deps.Quarantine.RecordCrash(ctx, e.crashOf(a))
	}
	if e.req.Repeatable && e.withinBudget(a) {
		return nil, false
	}
	return e.unresolved("the connection to " + a.target.ID + " was lost and the answer is not to be had"), true
}

// afterReclaim follows an attempt that ended with its backend server's VM.
// A terminated VM does not come back, so an engine's answer can go on
// elsewhere from the last event without running anything twice.
func (e *execution) afterReclaim(a *attempt) (*request.End, bool) {
	canContinue := a.target.Class == backend.Engine && len(e.rec.Events()) > 0
	if e.req.Repeatable || canContinue {
		e.d.stats.moves.Inc(1)
		return nil, false
	}
	return e.unresolved("backend server " + a.target.ID + " was taken back before its answer came"), true
}

// reattach resumes the attempt at its server until the answer is whole, the
// server does not know it any more, or RecoverWait is over.
func (e *execution) reattach(ctx context.Context, a *attempt) (*request.End, bool) {
	giveUpAt := time.Now().Add(e.d.cfg.RecoverWait)
	pause := firstResumePause
	for time.Now().Before(giveUpAt) && ctx.Err() == nil {
		number, err := e.rec.Dispatch()
		if err != nil {
			return e.stateRefused(err), true
		}
		before := len(e.rec.Events())
		isAttached, err := e.resumeOnce(ctx, number, a)
		if err == nil {
			return &request.End{Outcome: request.Completed}, true
		}
		end, isDone := e.afterResume(ctx, a, err)
		if isDone || end != nil {
			return end, isDone
		}
		e.isCrash = !isTimeout(err)
		if e.isFinalForResume(err, a.target) {
			return nil, false
		}
		if isAttached || len(e.rec.Events()) > before {
			giveUpAt = time.Now().Add(e.d.cfg.RecoverWait)
			pause = firstResumePause
		}
		wait.For(ctx, pause)
		pause = min(2*pause, maxResumePause)
	}
	return nil, false
}

const (
	firstResumePause = 20 * time.Millisecond
	maxResumePause   = 500 * time.Millisecond
)

// afterResume handles the interruptions of a resumed attempt.
func (e *execution) afterResume(ctx context.Context, a *attempt, err error) (*request.End, bool) {
	e.logLoss(a, err)
	if errors.Is(err, errHandedOver) || e.observes() {
		return nil, true
	}
	if err := e.rec.MarkLost(); err != nil {
		return e.stateRefused(err), true
	}
	if errors.Is(err, errServerLeaving) {
		e.cancelAttempt(ctx, a)
	}
	return nil, false
}

// isTimeout reports whether the backend server may be well but out of reach.
// A server that closes or refuses connections has crashed.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, errStalled) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}

// isFinalForResume reports whether resuming again is of no use. A repeatable
// request does not wait for a server that refuses connections.
func (e *execution) isFinalForResume(err error, t backend.Target) bool {
	if errors.Is(err, errServerLeaving) {
		return true
	}
	switch attemptError(err, t).Progress {
	case backend.NotFound, backend.RanAndFailed:
		return true
	case backend.NotSent:
		return e.req.Repeatable || e.isLeaving(t.ID)
	}
	return false
}

// resumeOnce attaches to the attempt and follows it from the last event.
// isAttached is true if the server knew the attempt.
func (e *execution) resumeOnce(ctx context.Context, number int, a *attempt) (isAttached bool, err error) {
	return e.attach(ctx, number, a, true)
}

// attach is resumeOnce; mayMove is false for an attempt that was cancelled
// already because its server leaves.
func (e *execution) attach(ctx context.Context, number int, a *attempt, mayMove bool) (isAttached bool, err error) {
	attemptCtx, cancel := e.interruptible(ctx)
	defer cancel()
	if mayMove {
		e.d.watchDeadline(e, a.target.ID)
	}
	stall := e.watchStall(a, e.d.cfg.ResumeTimeout)
	defer stall.stop()
	answer, err := e.d.deps.Backends.Resume(attemptCtx, a.target, e.req, a.id, len(e.rec.Events()))
	if err != nil {
		return false, causeOr(attemptCtx, err)
	}
	e.d.stats.resumes.Inc(1)
	e.d.deps.Log.Log(EvResumed, "request", e.req.ID, "attempt", a.id, "server", a.target.ID,
		"after", len(e.rec.Events()))
	return true, causeOr(attemptCtx, e.follow(number, a, answer, stall))
}

// continueAdopted goes on with a request that another node has handed over.
func (e *execution) continueAdopted(ctx context.Context) *request.End {
	a := e.currentAttempt()
	e.mayHaveRun = true
	e.plan = e.adoptedPlan()
	number, err := e.rec.Dispatch()
	if err != nil {
		return e.stateRefused(err)
	}
	_, err = e.resumeOnce(ctx, number, &a)
	if err == nil {
		return &request.End{Outcome: request.Completed}
	}
	end, isDone := e.afterLoss(ctx, &a, err)
	if isDone {
		return end
	}
	return e.attempts(ctx)
}

// adoptedPlan decides anew for a request that runs already; a refusal comes
// too late, so its own service is used then.
func (e *execution) adoptedPlan() *plan {
	p, refusal := e.d.decide(e.req, time.Now())
	if refusal == nil {
		return p
	}
	p = &plan{sent: e.req, startBy: e.req.Deadline, prefix: prefixHashes(e.req)}
	if snapshot, ok := e.d.deps.Document(); ok {
		if s, ok := findService(snapshot.Document, e.req.Service); ok {
			p.services = append(p.services, s)
		}
	}
	return p
}

// timedOut ends a dispatched request whose time ran out.
func (e *execution) timedOut(ctx context.Context, a *attempt) *request.End {
	end := e.interrupted(ctx)
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

// cancelAttempt stops the attempt at its server and reports whether the server
// has confirmed it.
func (e *execution) cancelAttempt(ctx context.Context, a *attempt) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	return e.d.deps.Backends.Cancel(ctx, a.target, a.id) == nil
}

// withinBudget takes one retry from the service's budget.
func (e *execution) withinBudget(a *attempt) bool {
	if e.dispatches >= e.d.cfg.MaxAttempts || !e.d.deps.Admitter.AllowRetry(a.service) {
		return false
	}
	e.d.stats.retries.Inc(1)
	return true
}

func (e *execution) isLeaving(server string) bool {
	_, isNoticed := e.d.deps.Pools.ReclaimDeadline(server)
	return isNoticed || e.d.deps.Pools.IsTerminated(server)
}

func (e *execution) setCurrent(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current = *a
}

// adoptedAttempt rebuilds the attempt that another node has dispatched.
func adoptedAttempt(t Transfer) attempt {
	return attempt{service: t.Service, target: t.Target, id: t.Attempt, sentAt: time.Now()}
}
