package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/claim"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/limit"
	"buckthornpick/internal/request"
	"buckthornpick/internal/route"
)

// execution runs one request from its acceptance to its end. Its fields are
// used by its own goroutine only, but for those under mu.
type execution struct {
	d   *Dispatcher
	rec *request.Record
	req *request.Request

	plan *plan
	// tried holds backend servers that refused or failed this request.
	tried map[string]bool
	// mayHaveRun is true once a backend server may have run the request.
	mayHaveRun bool
	// hasEarlier is true if an earlier submission of the request, that may
	// have run, is known here.
	hasEarlier bool
	// isOrphan is true if another node has come to own the request without
	// having been given it.
	isOrphan bool
	// isSurplus is true if the node runs its maximum of requests already.
	isSurplus bool
	// isCrash tells whether the last attempt's server crashed, as opposed to
	// being out of reach.
	isCrash    bool
	dispatches int
	startedAt  time.Time
	firstAt    time.Time
	// movedFrom is set between two attempts of an answer that moves.
	movedFrom *movedFrom

	mu sync.Mutex
	// written is the last claim, with Number 0 before the first.
	written claim.Claim
	current attempt
	// stop ends the request, stopAttempt the attempt that runs, nil for none.
	stop        context.CancelCauseFunc
	stopAttempt context.CancelCauseFunc
	// isObserver is set when another node owns the request now: the execution
	// only follows its running attempt.
	isObserver bool
	moveTimer  *time.Timer
}

// attempt is one dispatch to a backend server.
type attempt struct {
	service string
	target  backend.Target
	id      backend.AttemptID
	choice  route.Choice
	query   route.Query
	sentAt  time.Time
	// firstAt is the time of the first event, zero before it.
	firstAt time.Time
	// hasPicker is false for the older system, which no picker chose.
	hasPicker bool
	permit    Permit
	usage     backend.Usage
}

// Causes that interrupt an attempt.
var (
	errServerLeaving = errors.New("backend server is leaving")
	errHandedOver    = errors.New("request was handed over")
	errStalled       = errors.New("backend server has sent nothing for too long")
)

func newExecution(d *Dispatcher, rec *request.Record, r *request.Request) *execution {
	return &execution{d: d, rec: rec, req: r, tried: map[string]bool{}}
}

// main runs the request to its end and records the end.
func (e *execution) main(base context.Context) {
	ctx, cancel := context.WithDeadline(base, e.req.Deadline)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	e.mu.Lock()
	e.stop = stop
	e.mu.Unlock()
	e.startedAt = time.Now()
	defer e.stopMoveTimer()
	e.end(e.run(ctx))
	if e.isOrphan && e.d.deps.Forward != nil {
		e.d.deps.Forward(base, Transfer{Request: resubmitted(e.req), Claim: e.exportedClaim()})
	}
}

// run returns the request's end; a nil end means that it was handed over.
func (e *execution) run(ctx context.Context) *request.End {
	if e.currentAttempt().id != "" {
		return e.continueAdopted(ctx)
	}
	if end, isResolved := e.resolveClaim(ctx); isResolved {
		return end
	}
	if e.isSurplus {
		return e.notRun(request.End{Problem: problemOverloaded, Message: "too many requests are running",
			Status: http.StatusServiceUnavailable, RetryAfter: time.Second})
	}
	plan, refusal := e.d.decide(e.req, time.Now())
	if refusal != nil {
		return e.notRun(*refusal)
	}
	e.plan = plan
	ticket, refusal, isAdmitted := e.admit(ctx)
	if !isAdmitted {
		return e.notRunOrHandedOver(refusal)
	}
	end := e.attempts(ctx)
	e.finishTicket(ticket, end)
	return end
}

func (e *execution) attempts(ctx context.Context) *request.End {
	for {
		end, isDone := e.attemptOnce(ctx)
		if isDone {
			return end
		}
	}
}

// admit waits for admission. Without a ticket, the end says why; a nil end
// means that the request was handed over meanwhile.
func (e *execution) admit(ctx context.Context) (ticket *limit.Ticket, end *request.End, ok bool) {
	if len(e.plan.services) == 0 {
		return nil, &request.End{Problem: problemUnavailable, Status: http.StatusServiceUnavailable,
			Message: "rule " + e.plan.rule + " names no known service"}, false
	}
	ticket, err := e.d.deps.Admitter.Admit(ctx, limit.Request{
		Organisation: e.req.Organisation, Service: e.plan.admittedAs(), Context: e.req.Context,
		Priority: e.plan.priority, Deadline: e.plan.startBy,
		Cost: e.req.PromptTokens + e.req.MaxTokens,
	})
	if err == nil {
		return ticket, nil, true
	}
	var rejected *limit.RejectedError
	if errors.As(err, &rejected) {
		return nil, &request.End{Problem: problemOverloaded, Message: rejected.Error(),
			Status: http.StatusTooManyRequests, RetryAfter: rejected.RetryAfter}, false
	}
	return nil, e.interrupted(ctx), false
}

func (e *execution) finishTicket(ticket *limit.Ticket, end *request.End) {
	result := limit.Result{Total: time.Since(e.startedAt)}
	if end != nil {
		result.OK = end.Outcome == request.Completed
	}
	if !e.firstAt.IsZero() {
		result.FirstToken = e.firstAt.Sub(e.startedAt)
		target := e.plan.services[0].Target.FirstTokenMillis
		result.MissedTarget = target > 0 && result.FirstToken.Seconds()*1000 > target
	}
	ticket.Done(result)
}

// attemptOnce makes one attempt. isDone is false if another may follow.
func (e *execution) attemptOnce(ctx context.Context) (end *request.End, isDone bool) {
	a, refusal := e.choose(ctx)
	if a == nil {
		return e.giveUpOrHandOver(refusal), true
	}
	if end, ok := e.permit(ctx, a); !ok {
		return end, true
	}
	defer a.permit.Release()
	if !e.req.Repeatable {
		if end, ok := e.claim(ctx, a); !ok {
			return end, true
		}
	}
	e.bringKV(ctx, a)
	number, err := e.rec.Dispatch()
	if err != nil {
		return e.stateRefused(err), true
	}
	e.begin(a)
	err = e.start(ctx, number, a)
	e.release(a, err == nil)
	if err == nil {
		a.permit.Succeeded()
		return &request.End{Outcome: request.Completed}, true
	}
	return e.afterLoss(ctx, a, err)
}

// start dispatches to the backend server and follows the answer to its end.
func (e *execution) start(ctx context.Context, number int, a *attempt) error {
	attemptCtx, cancel := e.interruptible(ctx)
	defer cancel()
	e.d.watchDeadline(e, a.target.ID)
	stall := e.watchStall(a, e.d.cfg.StallTimeout)
	defer stall.stop()
	answer, err := e.d.deps.Backends.Start(attemptCtx, a.target, e.plan.sent, a.id, e.continuation())
	if err != nil {
		return causeOr(attemptCtx, err)
	}
	return causeOr(attemptCtx, e.follow(number, a, answer, stall))
}

// continuation returns the answer so far, nil at the beginning.
func (e *execution) continuation() *backend.Continuation {
	events := e.rec.Events()
	if len(events) == 0 {
		return nil
	}
	return &backend.Continuation{Events: events}
}

// follow copies the answer into the record. A nil error means that it is whole.
func (e *execution) follow(number int, a *attempt, answer backend.Answer, stall *stallTimer) error {
	defer func() { _ = answer.Close() }()
	stall.reset(e.d.cfg.StallTimeout)
	head := answer.Head()
	head.Answer = answerName(a.id)
	if err := e.rec.SetHead(number, head); err != nil {
		return err
	}
	isFirst := true
	for {
		ev, err := answer.Next()
		if errors.Is(err, io.EOF) {
			e.noteUsage(a, answer)
			return nil
		}
		if err != nil {
			return err
		}
		if err := e.rec.Append(number, ev); err != nil {
			e.d.deps.Log.Log(EvLateAnswer, "request", e.req.ID, "attempt", a.id, "error", err)
			return err
		}
		stall.reset(e.d.cfg.StallTimeout)
		if isFirst {
			isFirst = false
			e.noteFirst(a)
		}
	}
}

// answerName names the answer that begins with the attempt.
func answerName(id backend.AttemptID) string {
	return strconv.FormatUint(xxhash.Sum64String(string(id))>>32, 36)
}

// interruptible returns the context of one attempt.
func (e *execution) interruptible(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	e.setStopAttempt(cancel)
	return ctx, func() {
		e.setStopAttempt(nil)
		cancel(nil)
	}
}

func (e *execution) setStopAttempt(stop context.CancelCauseFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopAttempt = stop
}

// interruptAttempt ends the attempt that runs, if there is one.
func (e *execution) interruptAttempt(cause error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopAttempt != nil {
		e.stopAttempt(cause)
	}
}

// interruptRequest ends the request wherever it is.
func (e *execution) interruptRequest(cause error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stop != nil {
		e.stop(cause)
	}
}

func (e *execution) currentAttempt() attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// causeOr returns the cause of the context's end, if it has ended by one of
// ours, else err.
func causeOr(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, errServerLeaving) || errors.Is(cause, errHandedOver) || errors.Is(cause, errStalled) {
		return cause
	}
	return err
}

// end records the end, or the handover.
func (e *execution) end(end *request.End) {
	if end == nil {
		if err := e.rec.HandOver(); err != nil {
			e.d.deps.Log.Log(EvStateRefused, "request", e.req.ID, "error", err)
		}
		return
	}
	if end.Outcome == request.NotRun {
		e.releaseClaim()
	}
	if err := e.rec.Finish(*end, time.Now()); err != nil {
		e.d.deps.Log.Log(EvStateRefused, "request", e.req.ID, "outcome", end.Outcome, "error", err)
		return
	}
	e.d.stats.outcomes[end.Outcome].Inc(1)
	e.d.deps.Log.Log(EvEnded, "request", e.req.ID, "outcome", end.Outcome, "problem", end.Problem,
		"reason", end.Message, "took", time.Since(e.startedAt))
}

func (e *execution) stateRefused(err error) *request.End {
	e.d.deps.Log.Log(EvStateRefused, "request", e.req.ID, "error", err)
	return e.giveUp(request.End{Problem: problemBackend, Message: "state change refused",
		Status: http.StatusInternalServerError})
}

// interrupted returns the end after ctx has ended outside an attempt; nil if
// the request was handed over.
func (e *execution) interrupted(ctx context.Context) *request.End {
	switch {
	case errors.Is(context.Cause(ctx), errHandedOver):
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &request.End{Outcome: request.NotRun, Problem: problemTimeout,
			Message: "the request's time ran out", Status: http.StatusGatewayTimeout}
	}
	return &request.End{Outcome: request.NotRun, Problem: problemStopping,
		Message: "the node is stopping", Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
}

// notRun returns a refusal before any dispatch. Where the node cannot know
// whether an earlier submission ran, the outcome is "unknown".
func (e *execution) notRun(end request.End) *request.End {
	e.d.deps.Log.Log(EvRefused, "request", e.req.ID, "problem", end.Problem, "reason", end.Message)
	end.Outcome = request.NotRun
	if e.mayHaveRun || e.hasEarlier || !e.knowsHistory() {
		end.Outcome = request.Unknown
	}
	return &end
}

// notRunOrHandedOver is notRun for an end that is nil after a handover.
func (e *execution) notRunOrHandedOver(end *request.End) *request.End {
	if end == nil {
		return nil
	}
	return e.notRun(*end)
}

// giveUpOrHandOver is giveUp for an end that is nil after a handover.
func (e *execution) giveUpOrHandOver(end *request.End) *request.End {
	if end == nil {
		return nil
	}
	return e.giveUp(*end)
}

// giveUp ends a request that may have been dispatched.
func (e *execution) giveUp(end request.End) *request.End {
	if !e.mayHaveRun {
		return e.notRun(end)
	}
	end.Outcome = request.Unknown
	return &end
}

// knowsHistory reports whether every earlier submission of the request would
// be known here.
func (e *execution) knowsHistory() bool {
	if e.req.HasGeneratedKey || !e.req.Repeatable {
		return true
	}
	since, isDirty := e.d.deps.Ownership.AcquiredDirty(e.req.ID.Partition())
	if !e.d.deps.Ownership.OwnsPartition(e.req.ID.Partition()) {
		return false
	}
	return !isDirty || time.Since(since) > e.d.cfg.KeyWindow
}

// attemptError returns err as a backend.AttemptError. An error of another kind
// counts as one after which the request may have run.
func attemptError(err error, t backend.Target) *backend.AttemptError {
	var attemptErr *backend.AttemptError
	if errors.As(err, &attemptErr) {
		return attemptErr
	}
	return &backend.AttemptError{Progress: backend.MayHaveRun, Target: t,
		Err: fault.Wrap(err, fault.Ambiguous, "dispatch.follow", t.ID, "answer is not whole")}
}
