package dispatch

import (
	"context"
	"sync"
	"time"

	"buckthornpick/internal/claim"
	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/request"
	"buckthornpick/internal/wait"
)

// A service with the outage policy "owner" keeps running while the store is
// unavailable: the owner of a partition runs non-repeatable requests without a
// claim, and keeps the claim in memory until it can be written (a deferred
// claim).
//
// A request still runs at most once, because a partition changes its owner only
// through the store. If only this owner is partitioned from the store, other
// nodes may remove it from the table of members after its lease has expired. The
// new owner then answers "unknown" for every key of the partition for as long as
// callers may resubmit a key of the lost owner. The lost owner stops running
// requests without a claim OwnerModeLimit after the expiry of its lease, and
// callers may resubmit for KeyWindow, so the partition counts as dirty for
// longer than the sum of both.

// unclaimedSet holds the deferred claims of requests that ran without a written
// claim. It is safe for concurrent use. No other lock is taken while mu is held.
type unclaimedSet struct {
	mu     sync.Mutex
	claims map[request.ID]claim.Claim
}

func newUnclaimedSet() *unclaimedSet {
	return &unclaimedSet{claims: map[request.ID]claim.Claim{}}
}

// add stores c, replacing an earlier claim of the same request. It returns false
// if the set already holds limit claims of other requests.
func (s *unclaimedSet) add(c claim.Claim, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.claims[c.Request]; !ok && len(s.claims) >= limit {
		return false
	}
	s.claims[c.Request] = c
	return true
}

func (s *unclaimedSet) find(id request.ID) (claim.Claim, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.claims[id]
	return c, ok
}

func (s *unclaimedSet) remove(id request.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.claims, id)
}

func (s *unclaimedSet) all() []claim.Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]claim.Claim, 0, len(s.claims))
	for _, c := range s.claims {
		out = append(out, c)
	}
	return out
}

// startUnclaimed decides whether the request runs although writing its claim
// failed with err. If so, it stores the deferred claim and returns true.
func (e *execution) startUnclaimed(a *attempt, err error) bool {
	isStoreUnavailable := fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Ambiguous)
	if !isStoreUnavailable || !e.allowsOwnerMode() || e.mayHaveRun {
		return false
	}
	ownership := e.d.deps.Ownership
	if ownership.LeaseLapsed() > e.d.cfg.OwnerModeLimit || !ownership.OwnsPartition(e.req.ID.Partition()) {
		return false
	}
	c := e.newClaim(a)
	if !e.d.unclaimed.add(c, e.d.cfg.MaxUnclaimed) {
		return false
	}
	e.setLastClaim(c)
	e.d.deps.Log.Log(EvRunsWithoutClaim, "request", e.req.ID, "server", a.target.ID, "error", err)
	return true
}

// continueUnclaimed updates the deferred claim for the next attempt of a request
// that already runs without a claim. It returns false for other requests.
func (e *execution) continueUnclaimed(a *attempt) bool {
	if _, ok := e.d.unclaimed.find(e.req.ID); !ok {
		return false
	}
	c := e.newClaim(a)
	e.setLastClaim(c)
	return e.d.unclaimed.add(c, e.d.cfg.MaxUnclaimed)
}

// allowsOwnerMode reports whether the service has the outage policy "owner".
func (e *execution) allowsOwnerMode() bool {
	snapshot, ok := e.d.deps.Document()
	if !ok {
		return false
	}
	s, ok := findService(snapshot.Document, e.req.Service)
	return ok && s.StoreOutage == config.OutageOwner
}

// mayHaveRunUnclaimed reports whether a lost owner of the partition may have run
// the request without a claim.
func (e *execution) mayHaveRunUnclaimed() bool {
	_, isDirty := e.d.deps.Ownership.AcquiredDirty(e.req.ID.Partition())
	return isDirty && e.allowsOwnerMode()
}

// claimUploadInterval is the time between attempts to write the deferred claims.
const claimUploadInterval = 2 * time.Second

// uploadDeferredClaims writes the deferred claims once the store is available
// again. It returns when ctx ends.
func (d *Dispatcher) uploadDeferredClaims(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, claimUploadInterval)
		for _, c := range d.unclaimed.all() {
			d.uploadDeferredClaim(ctx, c)
		}
	}
}

// uploadDeferredClaim tries once to write the claim. The claim leaves the set
// when it is written, or after KeyWindow, when callers no longer resubmit it.
func (d *Dispatcher) uploadDeferredClaim(ctx context.Context, c claim.Claim) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.ClaimWait)
	defer cancel()
	err := d.deps.Claims.Commit(ctx, c)
	if fault.Is(err, fault.Conflict) {
		// A claim of an earlier attempt that did not run was written before.
		err = d.deps.Claims.Amend(ctx, c)
	}
	isPastKeyWindow := time.Since(c.At) > d.cfg.KeyWindow
	if err != nil && !isPastKeyWindow {
		return
	}
	d.unclaimed.remove(c.Request)
	d.deps.Log.Log(EvDeferredClaim, "request", c.Request, "error", err)
}
