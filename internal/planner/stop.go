package planner

import (
	"cmp"
	"context"
	"slices"

	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/fleet"
	"buckthornpick/internal/provider"
)

// maxDrainCandidates bounds the VMs whose load is read to select one to drain.
const maxDrainCandidates = 64

// leastLoadedVM returns the VM of the offer whose backend server has the lowest
// cache usage, so that the fewest cached contexts are lost; ties go to the one
// with the fewest requests. It returns false if no server reports its load.
func (p *Planner) leastLoadedVM(ctx context.Context, s *site, c offerComparison) (id string, ok bool) {
	var candidates []provider.VM
	for _, vm := range s.vms {
		isDraining := slices.ContainsFunc(s.ownState.Draining, func(d fleet.Drain) bool { return d.VM == vm.ID })
		if vm.Service == c.service && offerKeyOf(vm) == c.offerKey && vm.State == provider.VMLive && !isDraining {
			candidates = append(candidates, vm)
		}
	}
	slices.SortFunc(candidates, func(a, b provider.VM) int { return cmp.Compare(a.ID, b.ID) })
	candidates = candidates[:min(len(candidates), maxDrainCandidates)]
	loads := p.readLoads(ctx, candidates)
	best := -1
	for i := range candidates {
		if loads[i] != nil && (best < 0 || compareLoads(loads[i], loads[best]) < 0) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return candidates[best].ID, true
}

func compareLoads(a, b *backend.Load) int {
	return cmp.Or(cmp.Compare(a.CacheUsed, b.CacheUsed), cmp.Compare(a.Running+a.Waiting, b.Running+b.Waiting))
}

// readLoads reads the load reports of servers; nil means that a server did not
// respond.
func (p *Planner) readLoads(ctx context.Context, vms []provider.VM) []*backend.Load {
	out := make([]*backend.Load, len(vms))
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for i, vm := range vms {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, p.cfg.ActionTimeout)
			defer cancel()
			if load, err := p.readLoad(ctx, vm.Address); err == nil {
				out[i] = &load
			}
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
	return out
}

// stopDrainedVMs requests the platform to stop draining VMs that are idle or have
// exceeded DrainTimeout. It first records that a stop may have been requested,
// so that no later lease holder cancels the drain and assigns work to the VM.
func (p *Planner) stopDrainedVMs(ctx context.Context, s *site) error {
	var due []provider.VM
	for _, d := range s.ownState.Draining {
		if d.StopRequested || s.now.Sub(d.Since) >= p.cfg.DrainPropagationTime {
			due = append(due, s.vms[d.VM])
		}
	}
	loads := p.readLoads(ctx, due)
	var toStop []string
	for i, vm := range due {
		d := &s.ownState.Draining[slices.IndexFunc(s.ownState.Draining, func(d fleet.Drain) bool { return d.VM == vm.ID })]
		isIdle := loads[i] != nil && loads[i].Running+loads[i].Waiting == 0
		if isIdle || d.StopRequested || s.now.Sub(d.Since) >= p.cfg.DrainTimeout {
			d.StopRequested = true
			toStop = append(toStop, vm.ID)
		}
	}
	if err := p.saveState(ctx, s); err != nil {
		return err
	}
	for _, id := range toStop {
		p.log.Log(EvStopping, "vm", id)
		err := p.withLease(ctx, func(ctx context.Context, _ int64) error { return p.deps.Cloud.StopVM(ctx, id) })
		if err != nil {
			p.log.Log(EvStopFailed, "vm", id, "error", err)
			continue
		}
		p.incCounter("planner_stops_total")
	}
	return nil
}
