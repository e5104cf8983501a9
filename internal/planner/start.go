package planner

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/fleet"
	"buckthornpick/internal/provider"
)

// startResult is the result of one start request to the platform.
type startResult struct {
	vm  provider.VM
	err error
	// skipped is true if the request was not sent.
	skipped bool
}

// startVMs requests the VMs of recorded operations that have none yet from the
// platform, and records the results. Each offer is tried with one operation
// first, so that an offer that refuses gets a single request.
func (p *Planner) startVMs(ctx context.Context, s *site) error {
	results := map[string]startResult{}
	first, rest := p.firstPerOffer(s.ownState.Operations)
	p.sendStarts(ctx, first, results)
	rest = slices.DeleteFunc(rest, func(o fleet.StartOperation) bool {
		return !firstStartSucceeded(first, results, o.Key())
	})
	p.sendStarts(ctx, rest, results)
	p.applyStartResults(s, results)
	return p.saveState(ctx, s)
}

// firstPerOffer returns one operation without a VM for each offer, and the rest.
func (p *Planner) firstPerOffer(operations []fleet.StartOperation) (first, rest []fleet.StartOperation) {
	seen := map[fleet.OfferKey]bool{}
	for _, o := range operations {
		switch {
		case o.VM != "":
		case !seen[o.Key()]:
			seen[o.Key()] = true
			first = append(first, o)
		default:
			rest = append(rest, o)
		}
	}
	return first, rest
}

// firstStartSucceeded reports whether the first operation of the offer succeeded.
func firstStartSucceeded(first []fleet.StartOperation, results map[string]startResult, key fleet.OfferKey) bool {
	return slices.ContainsFunc(first, func(o fleet.StartOperation) bool {
		r, ok := results[o.Spec.OperationID]
		return o.Key() == key && ok && r.err == nil && !r.skipped
	})
}

// sendStarts sends the operations to the platform, at most maxParallelCalls at a
// time, and adds their results to results.
func (p *Planner) sendStarts(ctx context.Context, operations []fleet.StartOperation, results map[string]startResult) {
	responses := make([]startResult, len(operations))
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for i, o := range operations {
		g.Go(func() error {
			responses[i].skipped = true
			responses[i].err = p.withLease(ctx, func(ctx context.Context, _ int64) error {
				responses[i].skipped = false
				var err error
				responses[i].vm, err = p.deps.Cloud.StartVM(ctx, o.Spec)
				return err
			})
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
	for i, o := range operations {
		results[o.Spec.OperationID] = responses[i]
		if !responses[i].skipped {
			delete(p.unsentOperations, o.Spec.OperationID)
		}
	}
}

// applyStartResults applies the results to the zone's state. An operation whose
// response was lost is kept and retried. A refused operation is removed,
// together with operations of the same offer that were never sent.
func (p *Planner) applyStartResults(s *site, results map[string]startResult) {
	refused := map[fleet.OfferKey]bool{}
	var kept []fleet.StartOperation
	for _, o := range s.ownState.Operations {
		r, ok := results[o.Spec.OperationID]
		switch {
		case !ok || r.skipped:
		case r.err == nil:
			o.VM = r.vm.ID
			p.incCounter("planner_starts_total")
			p.clearRefusal(s, o.Key())
		case fault.Is(r.err, fault.Exhausted):
			refused[o.Key()] = true
			continue
		case fault.Is(r.err, fault.Invalid), fault.Is(r.err, fault.Conflict):
			p.log.Log(EvOfferRefused, "class", o.Spec.Class, "operation", o.Spec.OperationID, "error", r.err)
			refused[o.Key()] = true
			continue
		default:
			p.incCounter("planner_starts_pending_total")
			p.log.Log(EvStartPending, "operation", o.Spec.OperationID, "error", r.err)
		}
		kept = append(kept, o)
	}
	s.ownState.Operations = slices.DeleteFunc(kept, func(o fleet.StartOperation) bool {
		drop := refused[o.Key()] && p.unsentOperations[o.Spec.OperationID]
		if drop {
			delete(p.unsentOperations, o.Spec.OperationID)
		}
		return drop
	})
	for key := range refused {
		p.recordRefusal(s, key)
	}
}

func (p *Planner) clearRefusal(s *site, key fleet.OfferKey) {
	s.ownState.Refused = slices.DeleteFunc(s.ownState.Refused, func(r fleet.OfferRefusal) bool {
		return r.Class == key.Class && r.Reclaimable == key.Reclaimable
	})
}

// recordRefusal blocks an offer for a backoff that doubles with each refusal.
func (p *Planner) recordRefusal(s *site, key fleet.OfferKey) {
	p.incCounter("planner_refusals_total")
	next := fleet.OfferRefusal{Class: key.Class, Reclaimable: key.Reclaimable}
	for _, r := range s.ownState.Refused {
		if r.Class == key.Class && r.Reclaimable == key.Reclaimable {
			next.Count = r.Count
		}
	}
	p.clearRefusal(s, key)
	backoff := p.cfg.MaxRefusalBackoff
	const maxDoublings = 16
	if next.Count < maxDoublings {
		backoff = min(backoff, p.cfg.RefusalBackoff<<next.Count)
	}
	next.Count++
	next.Until = s.now.Add(backoff)
	s.ownState.Refused = append(s.ownState.Refused, next)
	p.log.Log(EvOfferRefused, "class", key.Class, "reclaimable", key.Reclaimable, "until", next.Until, "count", next.Count)
}
