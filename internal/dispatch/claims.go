package dispatch

import (
	"context"
	"net/http"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/claim"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/request"
	"buckthornpick/internal/wait"
)

// resolveClaim looks for a claim of an earlier submission of a non-repeatable
// request, and follows the attempt that it names. isResolved is false if there
// is no unreleased claim, so that the request may run. A nil end with
// isResolved true means that the request was handed over or is owned by another
// node now.
func (e *execution) resolveClaim(ctx context.Context) (end *request.End, isResolved bool) {
	if e.req.Repeatable || e.req.HasGeneratedKey {
		return nil, false
	}
	if unclaimed, ok := e.d.unclaimed.find(e.req.ID); ok {
		e.mayHaveRun = true
		return e.followClaim(ctx, unclaimed), true
	}
	if e.mayHaveRunUnclaimed() {
		return e.unresolvedEnd("an earlier owner of this request was lost and may have run it while the store was away"), true
	}
	lookupCtx, cancel := context.WithTimeout(ctx, e.d.cfg.ClaimWait)
	defer cancel()
	earlier, found, err := e.lookupClaim(lookupCtx)
	if e.isOwnedElsewhere(err) {
		e.needsForwarding = true
		return nil, true
	}
	if err != nil {
		return e.unresolvedEnd("the claims cannot be read now: " + fault.Text(err)), true
	}
	if !found {
		return nil, false
	}
	e.setLastClaim(earlier)
	if earlier.Released {
		return nil, false
	}
	e.mayHaveRun = true
	return e.followClaim(ctx, earlier), true
}

// claimRetryInterval is the wait before the next attempt to read or write a
// claim while the ledger does not have the new table of members yet.
const claimRetryInterval = 20 * time.Millisecond

// lookupClaim reads the request's claim. On a node that has just become the
// owner of the partition, it waits until the ledger has the new table of
// members.
func (e *execution) lookupClaim(ctx context.Context) (claim.Claim, bool, error) {
	for {
		c, found, err := e.d.deps.Claims.Lookup(ctx, e.req.ID)
		if !e.shouldRetryClaim(ctx, err) {
			return c, found, err
		}
		wait.For(ctx, claimRetryInterval)
	}
}

// shouldRetryClaim reports whether the ledger returned a conflict although this
// node owns the request, as it does while the table of members changes.
func (e *execution) shouldRetryClaim(ctx context.Context, err error) bool {
	return fault.Is(err, fault.Conflict) && ctx.Err() == nil &&
		e.d.deps.Ownership.OwnsPartition(e.req.ID.Partition())
}

// followClaim attaches to the attempt that an earlier submission has claimed.
// The request is not dispatched again in any case.
func (e *execution) followClaim(ctx context.Context, c claim.Claim) *request.End {
	if c.Target.Class != backend.Engine {
		return e.unresolvedEnd("an earlier submission was sent to " + c.Target.ID + " and its answer was lost")
	}
	a := &attempt{service: c.Service, target: c.Target, id: c.Attempt, sentAt: time.Now()}
	number, err := e.rec.Dispatch()
	if err != nil {
		return e.refusedTransition(err)
	}
	e.setCurrent(a)
	_, err = e.resumeOnce(ctx, number, a)
	if err == nil {
		return &request.End{Outcome: request.Completed}
	}
	e.logLoss(a, err)
	return e.unresolvedEnd("an earlier submission was sent to " + c.Target.ID + " and its answer is not to be had")
}

// unresolvedEnd returns the end of a request of which this node cannot tell
// whether it ran.
func (e *execution) unresolvedEnd(message string) *request.End {
	return &request.End{Outcome: request.Unknown, Problem: problemUnresolved, Message: message,
		Status: http.StatusServiceUnavailable, RetryAfter: time.Second}
}

// claimAttempt writes the claim of the attempt. ok is false if the request must
// not be dispatched; a nil end then means that another node owns it now.
func (e *execution) claimAttempt(ctx context.Context, a *attempt) (end *request.End, ok bool) {
	if err := e.rec.Claim(); err != nil {
		return e.refusedTransition(err), false
	}
	if e.continueUnclaimed(a) {
		return nil, true
	}
	claimCtx, cancel := context.WithTimeout(ctx, e.d.cfg.ClaimWait)
	defer cancel()
	err := e.writeClaim(claimCtx, a)
	if err == nil || e.startUnclaimed(a, err) {
		return nil, true
	}
	if loseErr := e.rec.MarkLost(); loseErr != nil {
		return e.refusedTransition(loseErr), false
	}
	if e.isOwnedElsewhere(err) {
		e.needsForwarding = true
		return nil, false
	}
	return e.claimFailedEnd(err), false
}

// isOwnedElsewhere reports whether the ledger returned a conflict because
// another node has become the owner of the request. That node knows its claims.
func (e *execution) isOwnedElsewhere(err error) bool {
	return fault.Is(err, fault.Conflict) && !e.d.deps.Ownership.OwnsPartition(e.req.ID.Partition())
}

// writeClaim writes the attempt's claim: with Commit if the request has no
// unreleased claim, otherwise with Amend.
func (e *execution) writeClaim(ctx context.Context, a *attempt) error {
	c := e.newClaim(a)
	write := e.d.deps.Claims.Commit
	if last := e.lastClaim(); last.Number > 0 && !last.Released {
		write = e.d.deps.Claims.Amend
	}
	err := e.writeClaimWithRetry(ctx, c, write)
	if err == nil || fault.Is(err, fault.Ambiguous) {
		e.setLastClaim(c)
	}
	return err
}

// writeClaimWithRetry writes the claim and repeats a write that was refused only
// because the table of members changed. That is safe because a refused write
// never takes effect. It stops when another submission's claim is found.
func (e *execution) writeClaimWithRetry(ctx context.Context, c claim.Claim, write func(context.Context, claim.Claim) error) error {
	for {
		err := write(ctx, c)
		if !e.shouldRetryClaim(ctx, err) {
			return err
		}
		other, found, lookupErr := e.d.deps.Claims.Lookup(ctx, e.req.ID)
		if lookupErr == nil && found && other.Attempt != e.lastClaim().Attempt {
			return err
		}
		wait.For(ctx, claimRetryInterval)
	}
}

func (e *execution) newClaim(a *attempt) claim.Claim {
	ownership := e.d.deps.Ownership
	return claim.Claim{
		Request: e.req.ID, Organisation: e.req.Organisation, Service: a.service,
		Owner: ownership.Self(), Incarnation: ownership.Incarnation(),
		Target: a.target, Attempt: a.id, Number: e.lastClaim().Number + 1,
		At: time.Now(), Fingerprint: e.req.Fingerprint,
	}
}

// claimReleaseTimeout is the timeout of releasing the claim of a request that
// did not run.
const claimReleaseTimeout = time.Second

// releaseClaim marks the claim of a request that did not run as released, so
// that a later submission can run. If that fails, later submissions are
// answered with the outcome "unknown".
func (e *execution) releaseClaim() {
	c := e.lastClaim()
	if c.Number == 0 || c.Released {
		return
	}
	ctx, cancel := context.WithTimeout(e.d.base, claimReleaseTimeout)
	defer cancel()
	c.Released = true
	if err := e.d.deps.Claims.Amend(ctx, c); err != nil {
		e.d.deps.Log.Log(EvClaimNotReleased, "request", e.req.ID, "error", err)
	}
}

// lastClaim returns the last claim of the request known here. Its Number is 0
// if there is none.
func (e *execution) lastClaim() claim.Claim {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latestClaim
}

func (e *execution) setLastClaim(c claim.Claim) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latestClaim = c
}

// claimFailedEnd returns the end of a request whose claim could not be written.
// The request is not dispatched; its outcome is "not-run" unless an earlier
// attempt may have run.
func (e *execution) claimFailedEnd(err error) *request.End {
	end := request.End{
		Problem:    problemUnavailable,
		Message:    "the at-most-once claim could not be written: " + fault.Text(err),
		Status:     http.StatusServiceUnavailable,
		RetryAfter: time.Second,
	}
	if fault.Is(err, fault.Conflict) {
		// Another submission holds the claim and may run.
		e.mayHaveRun = true
	}
	return e.giveUp(end)
}
