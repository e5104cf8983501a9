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

// A service with the outage policy "owner" goes on while the store is away: the
// owner of a partition runs non-repeatable requests without a claim and keeps
// that in memory until the claim can be written.
//
// Why a request still runs at most once: partitions change hands only through
// the store. If the owner is merely cut off from the store, others may remove
// it after its lease has lapsed, and then the new owner answers "unknown" to
// every key in the partition for as long as a key of the lost owner may be sent
// again: the owner stops OwnerModeLimit after its lease has lapsed, and callers
// may resend for KeyWindow, so the partition counts as dirty for longer than
// both together.

// unclaimedSet holds the requests that ran without a claim. It is safe for
// concurrent use; mu is a leaf.
type unclaimedSet struct {
	mu     sync.Mutex
	claims map[request.ID]claim.Claim
}

func newUnclaimedSet() *unclaimedSet {
	return &unclaimedSet{claims: map[request.ID]claim.Claim{}}
}

// add reports false if the set is full.
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

// runsUnclaimed reports whether the request runs although its claim could not
// be written, because of err.
func (e *execution) startUnclaimed(a *attempt, err error) bool {
	isStoreUnavailable := fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Ambiguous)
	if !isStoreUnavailable || !e.allowsOwnerMode() || e.mayHaveRun {
		return false
	}
	own := e.d.deps.Ownership
	if own.LeaseLapsed() > e.d.cfg.OwnerModeLimit || !own.OwnsPartition(e.req.ID.Partition()) {
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

// staysUnclaimed notes the next attempt of a request that runs without a claim
// already. It reports false for other requests.
func (e *execution) continueUnclaimed(a *attempt) bool {
	if _, ok := e.d.unclaimed.find(e.req.ID); !ok {
		return false
	}
	c := e.newClaim(a)
	e.setLastClaim(c)
	return e.d.unclaimed.add(c, e.d.cfg.MaxUnclaimed)
}

// allowsOwnerMode reports whether the service goes on without the store.
func (e *execution) allowsOwnerMode() bool {
	snapshot, ok := e.d.deps.Document()
	if !ok {
		return false
	}
	s, ok := findService(snapshot.Document, e.req.Service)
	return ok && s.StoreOutage == config.OutageOwner
}

// mayHideARun reports whether an owner that was lost may have run the request
// without a claim.
func (e *execution) mayHaveRunUnclaimed() bool {
	_, isDirty := e.d.deps.Ownership.AcquiredDirty(e.req.ID.Partition())
	return isDirty && e.allowsOwnerMode()
}

// uploadInterval is the time between tries to write the claims that are owed.
const claimUploadInterval = 2 * time.Second

// uploadClaims writes the claims of requests that ran without one, once the
// store is back.
func (d *Dispatcher) uploadDeferredClaims(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, claimUploadInterval)
		for _, c := range d.unclaimed.all() {
			d.uploadDeferredClaim(ctx, c)
		}
	}
}

func (d *Dispatcher) uploadDeferredClaim(ctx context.Context, c claim.Claim) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.ClaimWait)
	defer cancel()
	err := d.deps.Claims.Commit(ctx, c)
	if fault.Is(err, fault.Conflict) {
		// The claim of an earlier attempt, which did not run, was written.
		err = d.deps.Claims.Amend(ctx, c)
	}
	isPastKeyWindow := time.Since(c.At) > d.cfg.KeyWindow
	if err != nil && !isPastKeyWindow {
		return
	}
	d.unclaimed.remove(c.Request)
	d.deps.Log.Log(EvDeferredClaim, "request", c.Request, "error", err)
}
