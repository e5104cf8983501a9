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

// engineState is what this holder knows of an engine.
type engineState struct {
	// checkedAt is when the models were read; zero reads them again.
	checkedAt time.Time
	models    map[string]bool
	// loading is the model ordered and not loaded yet, since orderedAt.
	loading   string
	orderedAt time.Time
}

// loadTimeout is the time after which an ordered load is ordered again.
const loadTimeout = 10 * time.Minute

// adapterMark separates a model from its adapter in a model's name.
const adapterSeparator = "+"

// job is one model that one engine lacks.
type loadJob struct {
	vm      provider.VM
	model   string
	service string
	// need is the service's demand per engine that has all its models.
	demandPerEngine float64
	// missing counts the models that the engine lacks.
	missingCount int
}

// place orders the engines of the own zone to load the models of their
// services, most needed first, at the pace of the weight store.
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

// mayOrder reports whether the last act of the holder before this one is over
// at the engines of the service. Engines that check tokens refuse it.
func (p *Planner) maySendOrders(service *config.Service) bool {
	if service.ChecksFencing {
		return true
	}
	settled := time.Since(p.lease.AcquiredAt()) >= p.cfg.UnfencedGracePeriod
	id := differenceKey{service: service.Name}
	if !settled && p.loggedDifferences[id] == 0 {
		p.loggedDifferences[id] = 1
		p.log.Log(EvSettling, "service", service.Name, "wait", p.cfg.UnfencedGracePeriod)
	}
	return settled
}

// wantedModels returns the models of a service, with the versions that its
// rules name.
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

// missingModels reads the engines of a service that are due and returns what
// each of them should load next.
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
		case e.models == nil: // it did not answer
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

// readEngines reads the models of engines that are new, that load, or that
// were not read for RecheckInterval.
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

// loading counts the loads in progress.
func (p *Planner) loadsInProgress() int {
	n := 0
	for _, e := range p.engines {
		if e.loading != "" {
			n++
		}
	}
	return n
}

// order sends one order. Only a lost lease is an error: what an engine did is
// read again in the next round.
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
			"token", token, "need", j.demandPerEngine, "reason", "the engine lacks it")
		return p.sendOrder(ctx, j.vm.Address, o)
	})
	switch {
	case err == nil:
		p.incCounter("planner_orders_total")
	case !attempted:
		return err
	case fault.Is(err, fault.Conflict):
		p.log.Log(EvFenced, "vm", j.vm.ID, "token", o.FencingNumber)
		p.lease.MarkLost(p.token, "an engine has seen a higher token")
		return err
	default:
		p.log.Log(EvOrderFailed, "vm", j.vm.ID, "model", j.model, "error", err)
		e.loading, e.checkedAt = "", time.Time{}
		e.models = nil
	}
	return nil
}
