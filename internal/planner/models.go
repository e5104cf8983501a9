package planner

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/fleet"
	"buckthornpick/internal/provider"
)

// engineState holds what this planner knows about an engine.
type engineState struct {
	// checkedAt is when the models were last read; zero forces another read.
	checkedAt time.Time
	models    map[string]bool
	// loading is the model that was ordered at orderedAt and is not loaded yet.
	loading   string
	orderedAt time.Time
}

// loadTimeout is the time after which a load that has not finished is ordered
// again.
const loadTimeout = 10 * time.Minute

// adapterSeparator separates the base model from the adapter in a model's name.
const adapterSeparator = "+"

// loadJob is a model to load on an engine that lacks it.
type loadJob struct {
	vm      provider.VM
	model   string
	service string
	// demandPerEngine is the service's demand divided by the number of engines
	// that have all its models, plus one.
	demandPerEngine float64
	// missingCount is the number of models that the engine lacks.
	missingCount int
}

// placeModels orders the engines of this zone to load the models of their
// services, highest demand per engine first, within the limits on concurrent
// loads and on their rate that protect the store of model weights.
func (p *Planner) placeModels(ctx context.Context, s *site) error {
	maps.DeleteFunc(p.engines, func(id string, _ *engineState) bool { return s.vms[id].State != provider.VMLive })
	var jobs []loadJob
	for i := range s.document.Services {
		service := &s.document.Services[i]
		if !isModel(service) || !p.maySendOrders(service) {
			continue
		}
		jobs = append(jobs, p.missingModels(ctx, s, service)...)
	}
	slices.SortStableFunc(jobs, func(a, b loadJob) int {
		return cmp.Or(cmp.Compare(b.demandPerEngine, a.demandPerEngine), cmp.Compare(a.missingCount, b.missingCount), cmp.Compare(a.vm.ID, b.vm.ID))
	})
	for _, j := range jobs {
		if p.loadsInProgress() >= p.cfg.MaxConcurrentLoads || !p.loadLimiter.Allow() {
			return nil
		}
		if err := p.orderLoad(ctx, j); err != nil {
			return err
		}
	}
	return nil
}

// maySendOrders reports whether no order of the previous lease holder can still
// take effect on the engines of the service. Engines that check fencing tokens
// reject such orders themselves; for others the grace period must have passed.
func (p *Planner) maySendOrders(service *config.Service) bool {
	if service.ChecksFencing {
		return true
	}
	settled := time.Since(p.lease.AcquiredAt()) >= p.cfg.UnfencedGracePeriod
	key := differenceKey{service: service.Name}
	if !settled && p.loggedDifferences[key] == 0 {
		p.loggedDifferences[key] = 1
		p.log.Log(EvSettling, "service", service.Name, "wait", p.cfg.UnfencedGracePeriod)
	}
	return settled
}

// wantedModels returns the models of a service, including the model versions
// named in rules that route to it.
func wantedModels(doc *config.Document, service *config.Service) []string {
	out := slices.Clone(service.Models)
	for _, r := range doc.Rules {
		if r.Then.Service == service.Name && r.Then.Model != "" && r.Then.Version != "" {
			out = append(out, r.Then.Model+"@"+r.Then.Version)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// missingModels reads the models of the service's engines that are due for a
// check, and returns the model that each incomplete engine should load next.
func (p *Planner) missingModels(ctx context.Context, s *site, service *config.Service) []loadJob {
	wanted := wantedModels(s.document, service)
	var vms []provider.VM
	for _, vm := range s.vms {
		isDraining := slices.ContainsFunc(s.ownState.Draining, func(d fleet.Drain) bool { return d.VM == vm.ID })
		if vm.Service == service.Name && vm.Zone == p.cfg.Zone && vm.State == provider.VMLive && vm.Address != "" && !isDraining {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(a, b provider.VM) int { return cmp.Compare(a.ID, b.ID) })
	p.readEngines(ctx, s, vms)
	complete := 0
	var jobs []loadJob
	for _, vm := range vms {
		e := p.engines[vm.ID]
		missing := slices.DeleteFunc(slices.Clone(wanted), func(m string) bool { return e.models[m] })
		switch {
		case e.models == nil: // the engine did not respond
		case len(missing) == 0:
			complete++
		case e.loading == "":
			jobs = append(jobs, loadJob{vm: vm, model: missing[0], service: service.Name, missingCount: len(missing)})
		}
	}
	for i := range jobs {
		jobs[i].demandPerEngine = p.demands[service.Name].Total / float64(complete+1)
	}
	return jobs
}

// readEngines reads the models of engines that are new, have a load in progress,
// or were not read for RecheckInterval.
func (p *Planner) readEngines(ctx context.Context, s *site, vms []provider.VM) {
	var g errgroup.Group
	g.SetLimit(maxParallelCalls)
	for _, vm := range vms {
		e, ok := p.engines[vm.ID]
		if !ok {
			e = &engineState{}
			p.engines[vm.ID] = e
		}
		if e.loading == "" && e.models != nil && s.now.Sub(e.checkedAt) < p.cfg.RecheckInterval {
			continue
		}
		g.Go(func() error {
			p.readEngine(ctx, vm, e)
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
}

func (p *Planner) readEngine(ctx context.Context, vm provider.VM, e *engineState) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ActionTimeout)
	defer cancel()
	models, err := p.readModels(ctx, vm.Address)
	if err != nil {
		e.models = nil
		return
	}
	e.models, e.checkedAt = models, time.Now()
	if models[e.loading] || time.Since(e.orderedAt) > loadTimeout {
		e.loading = ""
	}
}

// loadsInProgress returns the number of loads in progress.
func (p *Planner) loadsInProgress() int {
	n := 0
	for _, e := range p.engines {
		if e.loading != "" {
			n++
		}
	}
	return n
}

// orderLoad sends one load order. It returns an error only if the lease was lost;
// the outcome at the engine is read in the next round.
func (p *Planner) orderLoad(ctx context.Context, j loadJob) error {
	o := engineOrder{Action: actionLoadModel, Model: j.model}
	if model, version, ok := strings.Cut(j.model, "@"); ok {
		o.Model, o.Version = model, version
	}
	if strings.Contains(o.Model, adapterSeparator) {
		o.Action = actionLoadAdapter
	}
	e := p.engines[j.vm.ID]
	attempted := false
	err := p.withLease(ctx, func(ctx context.Context, token int64) error {
		attempted = true
		o.FencingNumber = token
		e.loading, e.orderedAt = j.model, time.Now()
		p.log.Log(EvOrder, "vm", j.vm.ID, "service", j.service, "action", o.Action, "model", o.Model, "version", o.Version,
			"token", token, "need", j.demandPerEngine, "reason", "the engine has not loaded the model")
		return p.sendOrder(ctx, j.vm.Address, o)
	})
	switch {
	case err == nil:
		p.incCounter("planner_orders_total")
	case !attempted:
		return err
	case fault.Is(err, fault.Conflict):
		p.log.Log(EvFenced, "vm", j.vm.ID, "token", o.FencingNumber)
		p.lease.MarkLost(p.token, "an engine has seen a higher fencing token")
		return err
	default:
		p.log.Log(EvOrderFailed, "vm", j.vm.ID, "model", j.model, "error", err)
		e.loading, e.checkedAt = "", time.Time{}
		e.models = nil
	}
	return nil
}
