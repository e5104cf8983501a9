package experiment

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/config"
	"buckthornpick/internal/fleet"
	"buckthornpick/internal/limit"
	"buckthornpick/internal/route"
)

const (
	entryCount = 6
	// perServer bounds an entry's requests at one accelerator.
	perServer = 12
	// networkDelay is one way between entry and server.
	networkDelay = 1500 * time.Microsecond
	// lossDelay is the time until an entry sees that a server is dead.
	lossDelay = 100 * time.Millisecond
	// pickRetry is the pause after all servers were full.
	pickRetry = 20 * time.Millisecond
	// eventLag and eventLoss are the delay of cache events and the share of
	// batches that are lost.
	eventLag  = time.Second
	eventLoss = 0.05
)

// target is the latency target of both services.
var target = config.LatencyTarget{FirstTokenMillis: 910, BetweenTokensMillis: 27}

// entry is one entry VM: admission and one policy per service.
type entry struct {
	scheduler *limit.Scheduler
	policies  map[string]policy
}

// run is the life of one job.
type run struct {
	job     *job
	entry   *entry
	waiter  *limit.Waiter
	retries int
	// lost names the servers that died under the request.
	lost     map[string]bool
	prompt   int
	firstAt  time.Duration
	outcome  outcome
	finished bool
}

// site is the model of one user's site.
type site struct {
	loop    *loop
	cell    Cell
	rng     *rand.Rand
	cloud   *cloud
	planner *planner
	entries []*entry
	engines map[string]*engine
	results *results
}

func newSite(cell Cell) *site {
	s := &site{
		loop: &loop{}, cell: cell, rng: rand.New(rand.NewPCG(cell.Seed, 0x517e)),
		engines: map[string]*engine{}, results: &results{},
	}
	s.cloud = newCloud(s.loop, cell.Scenario, cell.Seed, s.changed)
	s.planner = newPlanner(s.cloud, cell.Site)
	s.addEntries()
	s.addFirstServers()
	s.changed()
	s.schedule()
	return s
}

func (s *site) addEntries() {
	services := []config.Service{{Name: modelService, Target: target}, {Name: plainService, Target: target}}
	for i := range entryCount {
		e := &entry{scheduler: limit.NewScheduler(limit.Config{}), policies: map[string]policy{}}
		e.scheduler.Configure(nil, services)
		for _, service := range services {
			e.policies[service.Name] = newPolicy(s.cell.Policy, fmt.Sprintf("entry-%d", i), zones[i%len(zones)],
				perServer, target, s.weights(), s.cell.Seed*31+uint64(i))
		}
		s.entries = append(s.entries, e)
	}
}

// weights are the users' weights: Nilevale weighs cost more, Kierowca
// recomputed tokens.
func (s *site) weights() config.RouteWeights {
	if s.cell.Site.Name == Kierowca.Name {
		return config.RouteWeights{RecomputedTokenMillis: 0.4, PriceMillis: 5}
	}
	return config.RouteWeights{RecomputedTokenMillis: 0.1, PriceMillis: 10}
}

func (s *site) addFirstServers() {
	count := s.cell.Scenario.FixedVMs
	if count == 0 {
		count = overloadVMs
	}
	for i := range count {
		key := s.cloud.offers[i%len(zones)*3]
		v := s.cloud.add(fleet.KeyOf(key), modelService, modelSpec)
		v.live = true
	}
	for i := range plainServers {
		key := s.cloud.offers[i*3+2]
		v := s.cloud.add(fleet.KeyOf(key), plainService, plainSpec)
		v.live = true
	}
}

// schedule plans the periodic work and the scenario's faults.
func (s *site) schedule() {
	scenario := s.cell.Scenario
	const billInterval = time.Second
	reportEvery := scenario.ReportEvery
	if reportEvery == 0 {
		reportEvery = 500 * time.Millisecond
	}
	s.loop.every(billInterval, runLength, func() { s.cloud.bill(billInterval) })
	s.loop.every(reportEvery, runLength, s.measure)
	if scenario.FixedVMs == 0 {
		s.loop.every(planInterval, runLength, s.planner.plan)
	}
	if s.cell.Policy == OursBlocks {
		s.loop.every(eventLag, runLength, s.publish)
	}
	if scenario.WaveAt > 0 {
		s.loop.at(scenario.WaveAt, func() { s.fault(s.cloud.reclaim, true) })
	}
	if scenario.ZoneLossAt > 0 {
		s.loop.at(scenario.ZoneLossAt, func() { s.fault(s.cloud.lose, false) })
	}
	if scenario.DoublePriceAt > 0 {
		s.loop.at(scenario.DoublePriceAt, s.doublePrice)
	}
}

// fault takes the largest zone.
func (s *site) fault(take func(*vm), reclaimableOnly bool) {
	zone := s.cloud.largestZone()
	for _, v := range s.cloud.vms {
		if v.key.Zone == zone && !v.gone && (v.key.Reclaimable || !reclaimableOnly) {
			take(v)
		}
	}
	if s.cell.Scenario.FixedVMs == 0 {
		s.planner.unsettled = s.loop.now + 2*time.Minute
		s.loop.after(inventoryLag, s.planner.plan)
	}
}

func (s *site) doublePrice() {
	for i := range s.cloud.offers {
		if s.cloud.offers[i].Zone == zones[0] {
			s.cloud.offers[i].PricePerHour *= 2
		}
	}
	s.changed()
}

// changed tells all entries the servers.
func (s *site) changed() {
	for _, v := range s.cloud.vms {
		s.engines[v.engine.server.ID] = v.engine
	}
	for _, service := range []string{modelService, plainService} {
		list := s.cloud.servers(service)
		capacity := 0
		for _, server := range list {
			if server.State == route.Live {
				capacity += max(1, server.Accelerators)
			}
		}
		for _, e := range s.entries {
			e.policies[service].SetServers(s.loop.clock(), list)
			e.scheduler.SetCapacity(s.loop.clock(), service, capacity, perServer)
		}
	}
}

// measure renews all load reports.
func (s *site) measure() {
	for _, v := range s.cloud.vms {
		if v.live {
			v.engine.measure()
		}
	}
	s.planner.sample()
}

// publish sends cache events to all entries, some batches of them lost.
func (s *site) publish() {
	for _, v := range s.cloud.vms {
		if !v.live || v.service != modelService {
			continue
		}
		e := v.engine
		stored, evicted := e.cache.takeEvents()
		e.sequence++
		sequence := e.sequence
		if s.rng.Float64() < eventLoss {
			continue
		}
		s.loop.after(eventLag, func() {
			for _, entry := range s.entries {
				entry.policies[modelService].CacheEvents(e.server.ID, sequence, sequence, stored, evicted, false)
			}
		})
	}
}

// submit offers a job to a random entry, as the platform's balancer does.
func (s *site) submit(j *job) {
	e := s.entries[s.rng.IntN(len(s.entries))]
	r := &run{job: j, entry: e, prompt: j.prompt, lost: map[string]bool{}}
	r.outcome = outcome{job: j}
	if s.cell.Scenario.Unlimited {
		s.dispatch(r)
		return
	}
	deadline := s.loop.clock().Add(time.Duration(target.FirstTokenMillis) * time.Millisecond)
	ask := limit.Ask{
		Organisation: fmt.Sprint("org-", j.organisation), Service: j.service, Priority: j.priority, Context: j.context,
		Deadline: deadline, Cost: j.prompt/10 + j.output,
	}
	r.waiter = e.scheduler.Offer(s.loop.clock(), ask, func(refusal *limit.Rejected) {
		if refusal != nil {
			r.outcome.refused = true
			s.end(r)
			return
		}
		s.loop.after(0, func() { s.dispatch(r) })
	})
	s.loop.at(deadline.Sub(epoch), func() { e.scheduler.Expire(s.loop.clock(), r.waiter) })
}

func (s *site) query(r *run) route.Query {
	q := route.Query{
		Now: s.loop.clock(), Service: r.job.service, Context: r.job.context,
		PromptTokens: r.prompt, MaxTokens: r.job.output, Priority: r.job.priority,
	}
	if s.cell.Policy == OursBlocks {
		q.PrefixHashes = r.job.blocks
	}
	if !s.cell.Scenario.Unlimited && r.retries == 0 {
		q.FirstTokenWithin = r.job.at + time.Duration(target.FirstTokenMillis)*time.Millisecond - s.loop.now
	}
	if len(r.lost) > 0 {
		q.Exclude = func(id string) bool { return r.lost[id] }
	}
	return q
}

// dispatch chooses a server and sends the request.
func (s *site) dispatch(r *run) {
	q := s.query(r)
	p := r.entry.policies[r.job.service]
	choice, err := p.Pick(q)
	if err != nil {
		s.noServer(r, err)
		return
	}
	id := choice.Server.ID
	p.Dispatched(s.loop.clock(), id, q)
	sent := s.loop.now
	a := &attempt{job: r.job, prompt: r.prompt}
	a.onFirst = func() {
		s.loop.after(networkDelay, func() { s.firstToken(r, p, choice, sent) })
	}
	a.onDone = func() {
		report := s.engines[id].report
		s.loop.after(networkDelay, func() {
			p.Report(s.loop.clock(), id, report)
			p.Finished(s.loop.clock(), id, q, backend.Usage{
				PromptTokens: a.prompt, CachedTokens: a.cached, CompletionTokens: r.job.output}, true)
			s.done(r, a)
		})
	}
	a.onLost = func() {
		r.outcome.computed += a.computed
		s.loop.after(lossDelay, func() {
			p.Finished(s.loop.clock(), id, q, backend.Usage{}, false)
			s.retry(r, id, a)
		})
	}
	s.loop.after(networkDelay, func() { s.engines[id].enqueue(a) })
}

// noServer waits for a place until the deadline and gives up then.
func (s *site) noServer(r *run, err error) {
	var saturated *route.ErrSaturated
	waited := s.loop.now - r.job.at
	if errors.As(err, &saturated) && !saturated.Late && waited < time.Duration(target.FirstTokenMillis)*time.Millisecond {
		s.loop.after(pickRetry, func() { s.dispatch(r) })
		return
	}
	r.outcome.refused = r.retries == 0
	s.end(r)
}

func (s *site) firstToken(r *run, p policy, choice route.Choice, sent time.Duration) {
	now := s.loop.clock()
	p.FirstToken(now, choice.Server.ID, s.loop.now-sent, choice)
	p.Report(now, choice.Server.ID, s.engines[choice.Server.ID].report)
	if r.firstAt == 0 {
		r.firstAt = s.loop.now
	}
}

// retry sends a lost request again if the rules allow it.
func (s *site) retry(r *run, id string, a *attempt) {
	r.lost[id] = true
	r.retries++
	started := a.generated > 0 || a.computed > 0
	allowed := s.cell.Scenario.Unlimited || r.entry.scheduler.AllowRetry(r.job.service)
	if !allowed || (started && !r.job.repeatable) {
		s.end(r)
		return
	}
	s.dispatch(r)
}

func (s *site) done(r *run, a *attempt) {
	r.outcome.ok = true
	r.outcome.computed += a.computed
	r.outcome.cached = a.cached
	r.outcome.first = r.firstAt - r.job.at
	r.outcome.total = s.loop.now - r.job.at
	if r.job.output > 1 {
		r.outcome.between = (s.loop.now - r.firstAt) / time.Duration(r.job.output-1)
	}
	s.end(r)
}

// end records the outcome and gives the place back.
func (s *site) end(r *run) {
	if r.finished {
		return
	}
	r.finished = true
	s.results.add(r.outcome)
	if r.job.service == modelService {
		s.planner.finished++
		if !r.outcome.withinTarget() {
			s.planner.missed++
			s.planner.refusals += count(r.outcome.refused)
		}
	}
	if r.waiter != nil {
		r.entry.scheduler.Done(s.loop.clock(), r.waiter, limit.Result{
			FirstToken: r.outcome.first, Total: r.outcome.total,
			OK: r.outcome.ok, MissedTarget: !r.outcome.withinTarget(),
		})
	}
}

// Run runs one cell.
func Run(cell Cell) Figures {
	s := newSite(cell)
	load := cell.Scenario.Load
	if load == 0 {
		load = 1
	}
	jobs := cell.Site.generate(cell.Seed, runLength, load)
	for _, j := range jobs {
		s.loop.at(j.at, func() { s.submit(j) })
	}
	s.loop.run(runLength + time.Minute)
	return s.results.figures(cell, jobs, s.cloud.cost)
}
