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

// execution runs one request from its acceptance to its end. Fields above mu
// belong to the goroutine that runs the request; those below are guarded by mu.
type execution struct {
	d   *Dispatcher
	rec *request.Record
	req *request.Request

	plan *plan
	// tried holds the IDs of backend servers that refused or failed the request.
	tried map[string]bool
	// mayHaveRun is true once a backend server may have run the request.
	mayHaveRun bool
	// mayHaveRunEarlier is true if an earlier submission of the request is
	// known here and may have run.
	mayHaveRunEarlier bool
	// needsForwarding is true if another node has become the owner of the
	// request but has not received it.
	needsForwarding bool
	// isOverLimit is true if the node already had Config.MaxRequests requests
	// in flight when this one was submitted.
	isOverLimit bool
	// serverCrashed is true if the server of the last attempt crashed, as
	// opposed to being unreachable.
	serverCrashed bool
	dispatches    int
	startedAt     time.Time
	firstEventAt  time.Time
	// kvSource is the previous attempt of an answer that is being moved, set
	// until the next attempt is about to start.
	kvSource *kvSource

	mu sync.Mutex
	// latestClaim is the last claim known here; its Number is 0 if there is none.
	latestClaim claim.Claim
	current     attempt
	// stop cancels the request. stopAttempt cancels the running attempt; it is
	// nil while none runs.
	stop        context.CancelCauseFunc
	stopAttempt context.CancelCauseFunc
	// isObserver is set once the request was handed over with its attempt
	// running: the execution then only copies the rest of that answer.
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
	// firstEventAt is the time of the first event, zero before it.
	firstEventAt time.Time
	// hasPicker is false for the older system, which is not chosen by a picker.
	hasPicker bool
	// hasNotRun is set if the start failed and the server certainly did not run it.
	hasNotRun bool
	permit    Permit
	usage     backend.Usage
}

// Causes with which an attempt's context is cancelled.
var (
	errServerReclaimed = errors.New("backend server is leaving")
	errHandedOver      = errors.New("request was handed over")
	errStalled         = errors.New("backend server has sent nothing for too long")
)

func newExecution(d *Dispatcher, rec *request.Record, r *request.Request) *execution {
	return &execution{d: d, rec: rec, req: r, tried: map[string]bool{}}
}

// main runs the request and records its end. If another node has become the
// owner, main forwards the request to that node.
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
	e.recordEnd(e.run(ctx))
	if e.needsForwarding && e.d.deps.Forward != nil {
		e.d.deps.Forward(base, Transfer{Request: asResubmission(e.req), Claim: e.exportedClaim()})
	}
}

// run runs the request and returns its end. A nil end means that the request
// was handed over or is owned by another node now.
func (e *execution) run(ctx context.Context) *request.End {
	if e.currentAttempt().id != "" {
		return e.continueAdopted(ctx)
	}
	if end, isResolved := e.resolveClaim(ctx); isResolved {
		return end
	}
	if e.isOverLimit {
		return e.refuse(request.End{Problem: problemOverloaded, Message: "too many requests are running",
			Status: http.StatusServiceUnavailable, RetryAfter: time.Second})
	}
	plan, refusal := e.d.planRequest(e.req, time.Now())
	if refusal != nil {
		return e.refuse(*refusal)
	}
	e.plan = plan
	ticket, refusal, isAdmitted := e.admit(ctx)
	if !isAdmitted {
		return e.refuseOrHandOver(refusal)
	}
	end := e.runAttempts(ctx)
	e.finishTicket(ticket, end)
	return end
}

// runAttempts makes attempts until the request has ended or was handed over.
func (e *execution) runAttempts(ctx context.Context) *request.End {
	for {
		end, isDone := e.runAttempt(ctx)
		if isDone {
			return end
		}
	}
}

// admit waits for admission. If the request is not admitted, ok is false and
// end is the request's end; a nil end then means that the request was handed
// over meanwhile.
func (e *execution) admit(ctx context.Context) (ticket *limit.Ticket, end *request.End, ok bool) {
	if len(e.plan.services) == 0 {
		return nil, &request.End{Problem: problemUnavailable, Status: http.StatusServiceUnavailable,
			Message: "rule " + e.plan.rule + " names no known service"}, false
	}
	ticket, err := e.d.deps.Admitter.Admit(ctx, limit.Request{
		Organisation: e.req.Organisation, Service: e.plan.admissionService(), Context: e.req.Context,
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
	return nil, e.interruptedEnd(ctx), false
}

// finishTicket reports the result of the request to the admitter.
func (e *execution) finishTicket(ticket *limit.Ticket, end *request.End) {
	result := limit.Result{Total: time.Since(e.startedAt)}
	if end != nil {
		result.OK = end.Outcome == request.Completed
	}
	if !e.firstEventAt.IsZero() {
		result.FirstToken = e.firstEventAt.Sub(e.startedAt)
		target := e.plan.services[0].Target.FirstTokenMillis
		result.MissedTarget = target > 0 && result.FirstToken.Seconds()*1000 > target
	}
	ticket.Done(result)
}

// runAttempt makes one attempt. isDone is false if another may follow.
func (e *execution) runAttempt(ctx context.Context) (end *request.End, isDone bool) {
	a, refusal := e.choose(ctx)
	if a == nil {
		return e.giveUpOrHandOver(refusal), true
	}
	if end, ok := e.permit(ctx, a); !ok {
		return end, true
	}
	defer a.permit.Release()
	if !e.req.Repeatable {
		if end, ok := e.claimAttempt(ctx, a); !ok {
			return end, true
		}
	}
	e.moveKV(ctx, a)
	number, err := e.rec.Dispatch()
	if err != nil {
		return e.refusedTransition(err), true
	}
	e.recordDispatch(a)
	err = e.startAttempt(ctx, number, a)
	e.recordFinish(a, err == nil)
	if err == nil {
		a.permit.Succeeded()
		return &request.End{Outcome: request.Completed}, true
	}
	return e.handleLoss(ctx, a, err)
}

// startAttempt dispatches the request to the backend server and copies the
// answer into the record. A nil error means that the answer is complete.
func (e *execution) startAttempt(ctx context.Context, number int, a *attempt) error {
	attemptCtx, cancel := e.newAttemptContext(ctx)
	defer cancel()
	e.d.watchDeadline(e, a.target.ID)
	stall := e.watchStall(a, e.d.cfg.StallTimeout)
	defer stall.stop()
	answer, err := e.d.deps.Backends.Start(attemptCtx, a.target, e.plan.sent, a.id, e.continuation())
	if err != nil {
		progress := attemptError(err, a.target).Progress
		a.hasNotRun = progress == backend.NotSent || progress == backend.Refused
		return interruptionCause(attemptCtx, err)
	}
	return interruptionCause(attemptCtx, e.copyAnswer(number, a, answer, stall))
}

// continuation returns the partial answer that the next attempt must continue,
// nil if there is none.
func (e *execution) continuation() *backend.Continuation {
	events := e.rec.Events()
	if len(events) == 0 {
		return nil
	}
	return &backend.Continuation{Events: events}
}

// copyAnswer appends the events of the answer to the record as they arrive. A
// nil error means that the answer is complete.
func (e *execution) copyAnswer(number int, a *attempt, answer backend.Answer, stall *stallTimer) error {
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
			e.recordUsage(a, answer)
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
			e.recordFirstEvent(a)
		}
	}
}

// answerName returns the name of the answer that starts with the attempt, a
// short hash of the attempt ID.
func answerName(id backend.AttemptID) string {
	return strconv.FormatUint(xxhash.Sum64String(string(id))>>32, 36)
}

// newAttemptContext returns the context of one attempt, which interruptAttempt
// can cancel, and the function that releases it.
func (e *execution) newAttemptContext(ctx context.Context) (context.Context, func()) {
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

// interruptAttempt cancels the running attempt, if there is one.
func (e *execution) interruptAttempt(cause error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopAttempt != nil {
		e.stopAttempt(cause)
	}
}

// interruptRequest cancels the request in whatever stage it is.
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

// interruptionCause replaces err by the cause with which ctx was cancelled, if
// that is errServerReclaimed, errHandedOver or errStalled. A nil err stays nil.
func interruptionCause(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, errServerReclaimed) || errors.Is(cause, errHandedOver) || errors.Is(cause, errStalled) {
		return cause
	}
	return err
}

// recordEnd records the end of the request, or its handover if end is nil.
func (e *execution) recordEnd(end *request.End) {
	if end == nil {
		if e.isStoppedForHandover() {
			return
		}
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

// refusedTransition logs that the record's state machine refused a change of
// state, and returns the end of the request.
func (e *execution) refusedTransition(err error) *request.End {
	e.d.deps.Log.Log(EvStateRefused, "request", e.req.ID, "error", err)
	return e.giveUp(request.End{Problem: problemBackend, Message: "state change refused",
		Status: http.StatusInternalServerError})
}

// interruptedEnd returns the end of a request whose ctx ended outside an
// attempt. It returns nil if the request was handed over.
func (e *execution) interruptedEnd(ctx context.Context) *request.End {
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

// refuse returns the end of a request that is refused before any dispatch. Its
// outcome is "unknown" instead of "not-run" if this node cannot rule out that
// an earlier submission ran.
func (e *execution) refuse(end request.End) *request.End {
	e.d.deps.Log.Log(EvRefused, "request", e.req.ID, "problem", end.Problem, "reason", end.Message)
	end.Outcome = request.NotRun
	if e.mayHaveRun || e.mayHaveRunEarlier || !e.knowsEarlierSubmissions() {
		end.Outcome = request.Unknown
	}
	return &end
}

// refuseOrHandOver is refuse for an end that is nil after a handover.
func (e *execution) refuseOrHandOver(end *request.End) *request.End {
	if end == nil {
		return nil
	}
	return e.refuse(*end)
}

// giveUpOrHandOver is giveUp for an end that is nil after a handover.
func (e *execution) giveUpOrHandOver(end *request.End) *request.End {
	if end == nil {
		return nil
	}
	return e.giveUp(*end)
}

// giveUp returns the end of a request that may have been dispatched.
func (e *execution) giveUp(end request.End) *request.End {
	if !e.mayHaveRun {
		return e.refuse(end)
	}
	end.Outcome = request.Unknown
	return &end
}

// knowsEarlierSubmissions reports whether this node would know of any earlier
// submission of the request.
func (e *execution) knowsEarlierSubmissions() bool {
	if e.req.HasGeneratedKey || !e.req.Repeatable {
		return true
	}
	since, isDirty := e.d.deps.Ownership.AcquiredDirty(e.req.ID.Partition())
	if !e.d.deps.Ownership.OwnsPartition(e.req.ID.Partition()) {
		return false
	}
	return !isDirty || time.Since(since) > e.d.cfg.KeyWindow
}

// attemptError returns err as a backend.AttemptError. Errors of other types are
// wrapped in one that says that the request may have run.
func attemptError(err error, t backend.Target) *backend.AttemptError {
	var attemptErr *backend.AttemptError
	if errors.As(err, &attemptErr) {
		return attemptErr
	}
	return &backend.AttemptError{Progress: backend.MayHaveRun, Target: t,
		Err: fault.Wrap(err, fault.Ambiguous, "dispatch.follow", t.ID, "answer is not whole")}
}
