package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fleet"
	"buckthornpick/internal/limit"
	"buckthornpick/internal/route"
)

const (
	entryCount = 6
	// maxConcurrentPerServer limits the running requests of one entry on one
	// server. The capacity for admission counts each accelerator as a server, so
	// that it is higher than this limit on VMs with two accelerators.
	maxConcurrentPerServer = 12
	// networkDelay is the one-way delay between an entry and a server.
	networkDelay = 1500 * time.Microsecond
	// failureDetectionDelay is the time until an entry detects a server's failure.
	failureDetectionDelay = 100 * time.Millisecond
	// pickRetryInterval is the pause before the next pick after all servers were
	// saturated.
	pickRetryInterval = 20 * time.Millisecond
	// cacheEventDelay is the interval and the delivery delay of cache event
	// batches, cacheEventLossRate the share of batches that are lost.
	cacheEventDelay    = time.Second
	cacheEventLossRate = 0.05
)

// target is the latency target of both services.
var target = config.LatencyTarget{FirstTokenMillis: 910, BetweenTokensMillis: 27}

// entry models one entry VM: its admission scheduler and one routing policy per
// service.
type entry struct {
	scheduler *limit.Scheduler
	policies  map[string]policy
}

// site models one user's site during a run.
type site struct {
	loop    *loop
	cell    Cell
	rng     *rand.Rand
	cloud   *cloud
	planner *planner
	entries []*entry
	engines map[string]*engine
	results *results
	length  time.Duration
}

func newSite(cell Cell) *site {
	s := &site{
		loop: &loop{}, cell: cell, rng: rand.New(rand.NewPCG(cell.Seed, 0x517e)),
		engines: map[string]*engine{}, results: &results{}, length: cell.Scenario.length(),
	}
	s.cloud = newCloud(s.loop, cell.Scenario, cell.Seed, s.updateServers)
	s.planner = newPlanner(s.cloud, cell.Site)
	s.addEntries()
	s.addInitialServers()
	s.updateServers()
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
				maxConcurrentPerServer, target, s.weights(), s.cell.Seed*31+uint64(i))
		}
		s.entries = append(s.entries, e)
	}
}

// weights returns the user's cost weights: Nilevale weighs price more, Kierowca
// recomputed tokens.
func (s *site) weights() config.RouteWeights {
	if s.cell.Site.Name == Kierowca.Name {
		return config.RouteWeights{RecomputedTokenMillis: 0.4, PriceMillis: 5}
	}
	return config.RouteWeights{RecomputedTokenMillis: 0.1, PriceMillis: 10}
}

func (s *site) addInitialServers() {
	count := s.cell.Scenario.FixedVMs
	if count == 0 {
		count = overloadVMs
	}
	for i := range count {
		key := s.cloud.offers[i%len(zones)*3]
		v := s.cloud.addVM(fleet.KeyOf(key), modelService, modelSpec)
		v.live = true
	}
	for i := range plainServers {
		key := s.cloud.offers[i*3+2]
		v := s.cloud.addVM(fleet.KeyOf(key), plainService, plainSpec)
		v.live = true
	}
}

// schedule schedules the periodic work and the scenario's faults.
func (s *site) schedule() {
	scenario := s.cell.Scenario
	const billInterval = time.Second
	reportEvery := scenario.ReportEvery
	if reportEvery == 0 {
		reportEvery = 500 * time.Millisecond
	}
	s.loop.every(billInterval, s.length, func() { s.cloud.chargeVMs(billInterval) })
	s.loop.every(reportEvery, s.length, s.updateReports)
	if scenario.FixedVMs == 0 {
		s.loop.every(planInterval, s.length, s.planner.plan)
	}
	if s.cell.Policy == RouteBlocksPolicy {
		s.loop.every(cacheEventDelay, s.length, s.publishCacheEvents)
	}
	if scenario.WaveAt > 0 {
		s.loop.at(scenario.WaveAt, func() { s.removeLargestZone(s.cloud.reclaimVM, true) })
	}
	if scenario.ZoneLossAt > 0 {
		s.loop.at(scenario.ZoneLossAt, func() { s.removeLargestZone(s.cloud.terminateVM, false) })
	}
	if scenario.DoublePriceAt > 0 {
		s.loop.at(scenario.DoublePriceAt, s.doublePrice)
	}
}

// removeLargestZone calls remove for the VMs of the largest zone, or for the
// reclaimable ones only, and has the planner react at once.
func (s *site) removeLargestZone(remove func(*vm), reclaimableOnly bool) {
	zone := s.cloud.largestZone()
	for _, v := range s.cloud.vms {
		if v.key.Zone == zone && !v.gone && (v.key.Reclaimable || !reclaimableOnly) {
			remove(v)
		}
	}
	if s.cell.Scenario.FixedVMs == 0 {
		s.planner.capacityChangingUntil = s.loop.now + 2*time.Minute
		s.loop.after(inventoryLag, s.planner.plan)
	}
}

func (s *site) doublePrice() {
	for i := range s.cloud.offers {
		if s.cloud.offers[i].Zone == zones[0] {
			s.cloud.offers[i].PricePerHour *= 2
		}
	}
	s.updateServers()
}

// updateServers passes the current servers and capacity to all entries.
func (s *site) updateServers() {
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
			e.scheduler.SetCapacity(s.loop.clock(), service, capacity, maxConcurrentPerServer)
		}
	}
}

// updateReports updates the load reports of all live VMs and samples them for
// the planner.
func (s *site) updateReports() {
	for _, v := range s.cloud.vms {
		if v.live {
			v.engine.updateReport()
		}
	}
	s.planner.sample()
}

// publishCacheEvents sends the engines' cache events to all entries after
// cacheEventDelay; a share of the batches is lost.
func (s *site) publishCacheEvents() {
	for _, v := range s.cloud.vms {
		if !v.live || v.service != modelService {
			continue
		}
		e := v.engine
		stored, evicted := e.cache.takeEvents()
		e.eventSequence++
		sequence := e.eventSequence
		if s.rng.Float64() < cacheEventLossRate {
			continue
		}
		s.loop.after(cacheEventDelay, func() {
			for _, entry := range s.entries {
				entry.policies[modelService].CacheEvents(e.server.ID, sequence, sequence, stored, evicted, false)
			}
		})
	}
}

// Run executes one cell and returns its metrics.
func Run(cell Cell) Metrics {
	s := newSite(cell)
	load := cell.Scenario.Load
	if load == 0 {
		load = 1
	}
	jobs := cell.Site.generate(cell.Seed, s.length, load)
	for _, j := range jobs {
		s.loop.at(j.at, func() { s.submit(j) })
	}
	s.loop.run(s.length + time.Minute)
	return s.results.metrics(cell, jobs, s.cloud.cost)
}
