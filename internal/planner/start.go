package planner

import (
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/fleet"
	"buckthornpick/internal/provider"
)

// startResult is the platform's answer to one operation.
type startResult struct {
	vm  provider.VM
	err error
	// skipped is true if the platform was not asked.
	skipped bool
}

// start asks the platform for the recorded operations that have no VM yet, and
// records the answers. Each offer is tried with one operation first, so that
// an offer that refuses is asked once.
func (p *Planner) start(ctx context.Context, s *site) error {
	results := map[string]startResult{}
	first, rest := p.split(s.own.Operations)
	p.ask(ctx, first, results)
	rest = slices.DeleteFunc(rest, func(o fleet.StartOperation) bool {
		return !answered(first, results, o.Key())
	})
	p.ask(ctx, rest, results)
	p.applyStarts(s, results)
	return p.save(ctx, s)
}

// split returns one open operation of each offer, and the others.
func (p *Planner) split(operations []fleet.StartOperation) (first, rest []fleet.StartOperation) {
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

// answered reports whether the offer's first operation got its VM.
func answered(first []fleet.StartOperation, results map[string]startResult, key fleet.OfferKey) bool {
	return slices.ContainsFunc(first, func(o fleet.StartOperation) bool {
		r, ok := results[o.Spec.OperationID]
		return o.Key() == key && ok && r.err == nil && !r.skipped
	})
}

// ask sends operations to the platform, a few at a time.
func (p *Planner) ask(ctx context.Context, operations []fleet.StartOperation, results map[string]startResult) {
	answers := make([]startResult, len(operations))
	var g errgroup.Group
	g.SetLimit(parallelCalls)
	for i, o := range operations {
		g.Go(func() error {
			answers[i].skipped = true
			answers[i].err = p.act(ctx, func(ctx context.Context, _ int64) error {
				answers[i].skipped = false
				var err error
				answers[i].vm, err = p.deps.Cloud.StartVM(ctx, o.Spec)
				return err
			})
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
	for i, o := range operations {
		results[o.Spec.OperationID] = answers[i]
		if !answers[i].skipped {
			delete(p.unasked, o.Spec.OperationID)
		}
	}
}

// applyStarts puts the answers into the own state. An operation whose answer
// was lost stays and is asked again; one that was refused ends, and with it
// those of the same offer that were never asked.
func (p *Planner) applyStarts(s *site, results map[string]startResult) {
	refused := map[fleet.OfferKey]bool{}
	var kept []fleet.StartOperation
	for _, o := range s.own.Operations {
		r, ok := results[o.Spec.OperationID]
		switch {
		case !ok || r.skipped:
		case r.err == nil:
			o.VM = r.vm.ID
			p.count("planner_starts_total")
			p.clearRefusal(s, o.Key())
		case fault.Is(r.err, fault.Exhausted):
			refused[o.Key()] = true
			continue
		case fault.Is(r.err, fault.Invalid), fault.Is(r.err, fault.Conflict):
			p.log.Log(EvOfferRefused, "class", o.Spec.Class, "operation", o.Spec.OperationID, "error", r.err)
			refused[o.Key()] = true
			continue
		default:
			p.count("planner_starts_pending_total")
			p.log.Log(EvStartPending, "operation", o.Spec.OperationID, "error", r.err)
		}
		kept = append(kept, o)
	}
	s.own.Operations = slices.DeleteFunc(kept, func(o fleet.StartOperation) bool {
		drop := refused[o.Key()] && p.unasked[o.Spec.OperationID]
		if drop {
			delete(p.unasked, o.Spec.OperationID)
		}
		return drop
	})
	for key := range refused {
		p.refuse(s, key)
	}
}

func (p *Planner) clearRefusal(s *site, key fleet.OfferKey) {
	s.own.Refused = slices.DeleteFunc(s.own.Refused, func(r fleet.OfferRefusal) bool {
		return r.Class == key.Class && r.Reclaimable == key.Reclaimable
	})
}

// refuse leaves an offer alone for a time that doubles with each refusal.
func (p *Planner) refuse(s *site, key fleet.OfferKey) {
	p.count("planner_refusals_total")
	next := fleet.OfferRefusal{Class: key.Class, Reclaimable: key.Reclaimable}
	for _, r := range s.own.Refused {
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
	s.own.Refused = append(s.own.Refused, next)
	p.log.Log(EvOfferRefused, "class", key.Class, "reclaimable", key.Reclaimable, "until", next.Until, "count", next.Count)
}
