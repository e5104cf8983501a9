package duty

import (
	"cmp"
	"context"
	"slices"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/fleet"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/lease"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

const (
	// scaleInterval is the time between evaluations of the load.
	scaleInterval = 500 * time.Millisecond
	// demandSpan is the time over which the prefill tokens are averaged: shorter
	// than a server takes to boot, longer than a few long prompts take.
	demandSpan = 3 * time.Second
	// scaleDownDelay is how long the load must stay lower before servers are
	// removed.
	scaleDownDelay = 8 * time.Second
)

// Demand provides the measurements of all entries from which the demand for
// servers is computed.
type Demand interface {
	// PrefillStatsByEntry returns the prefill statistics of a service by the ID or
	// the run of the entry.
	PrefillStatsByEntry(service string) map[string]relay.PrefillStats
}

// Scaler orders backend servers while it holds the lease. It also measures the
// load while it does not, so that it can act as soon as it acquires the lease.
type Scaler struct {
	ScalerConfig

	token    int64
	services map[string]*serviceState
}

// ScalerConfig holds the dependencies of a Scaler.
type ScalerConfig struct {
	Lease     *lease.Lease
	Cloud     Cloud
	Documents *follow.Documents
	Balancer  *relay.Balancer
	Demand    Demand
	// AreServersKnown reports whether the registered servers have been read.
	AreServersKnown func() bool
	// IsRollingOut reports whether servers of two versions run for a service, or did until
	// now, because of a roll-out; nil means never.
	IsRollingOut func(service string) bool
	Clock        clock.Clock
	Log          *telemetry.Logger
}

// NewScaler returns a scaler that has not measured any load yet.
func NewScaler(c ScalerConfig) *Scaler {
	return &Scaler{ScalerConfig: c, services: map[string]*serviceState{}}
}

// serviceState is the measured load and the orders of a service.
type serviceState struct {
	// demand is in servers, running in requests.
	demand, running fleet.SlidingMax
	// tokenTotals are the latest token totals by entry, samples the increases over
	// all entries in demandSpan.
	tokenTotals map[string]float64
	samples     []tokenSample
	pools       map[poolKey]*pool
}

// tokenSample is the number of prompt tokens that all entries sent for prefill
// since the sample before.
type tokenSample struct {
	at     time.Duration
	tokens float64
}

// Run measures the load and orders servers until ctx is done.
func (s *Scaler) Run(ctx context.Context) error {
	for wait.For(ctx, scaleInterval) {
		doc, _ := s.Documents.Current()
		if doc == nil {
			continue
		}
		token, _, err := s.Lease.Check()
		holdsLease := err == nil
		if !holdsLease || token != s.token {
			s.resetPools()
		}
		s.token = token
		for i := range doc.Services {
			if doc.Services[i].Scaling != nil {
				s.scale(ctx, &doc.Services[i], holdsLease)
			}
		}
	}
	return nil
}

// resetPools drops the tracked orders, since another holder may have changed them.
func (s *Scaler) resetPools() {
	for _, state := range s.services {
		state.pools = map[poolKey]*pool{}
	}
}

// scale measures the load of a service and, if this process holds the lease,
// orders the servers it needs.
func (s *Scaler) scale(ctx context.Context, service *config.Service, holdsLease bool) {
	state, ok := s.services[service.Name]
	if !ok {
		state = &serviceState{
			demand: fleet.SlidingMax{Window: scaleDownDelay}, running: fleet.SlidingMax{Window: scaleDownDelay},
			tokenTotals: map[string]float64{}, pools: map[poolKey]*pool{},
		}
		s.services[service.Name] = state
	}
	now := s.Clock()
	demand, rate := state.measureDemand(now, s.Demand.PrefillStatsByEntry(service.Name))
	running, ready := s.running(service.Name)
	demand = state.demand.Add(now, demand)
	runningPeak := state.running.Add(now, float64(running))
	if !holdsLease || !s.AreServersKnown() {
		return
	}
	if rate == 0 {
		return // the load is not known yet: keep the present servers
	}
	if len(state.pools) == 0 && s.IsRollingOut != nil && s.IsRollingOut(service.Name) {
		return // the servers that are ready are not those that were ordered
	}
	mayRemove := state.demand.IsFull(now)
	zones := zonesOf(service)
	want := fleet.ServerCounts(fleet.ServerCountInput{
		Demand: demand, Running: int(runningPeak), Zones: zones, Min: service.Scaling.Min, Max: service.Scaling.Max,
		ReclaimablePrice: service.Scaling.ReclaimablePrice, ReadyReclaimable: reclaimableByZone(ready),
	})
	load := loadFigures{demand: demand, running: runningPeak, rate: rate}
	for _, zone := range zones {
		n := want[zone.Name]
		reclaimable, onDemand := state.pool(poolKey{zone.Name, true}, ready), state.pool(poolKey{zone.Name, false}, ready)
		s.adjust(ctx, service, reclaimable, reclaimable.target(n.Reclaimable, mayRemove), ready, load)
		s.adjust(ctx, service, onDemand, onDemand.target(n.OnDemand, mayRemove), ready, load)
	}
}

// pool returns the pool with the given key. A new pool counts the ready servers
// as ordered.
func (s *serviceState) pool(key poolKey, ready map[poolKey]int) *pool {
	p, ok := s.pools[key]
	if !ok {
		p = newPool(key, ready[key])
		s.pools[key] = p
	}
	return p
}

// adjust orders servers of one kind in a zone if an order is due.
func (s *Scaler) adjust(ctx context.Context, service *config.Service, p *pool, want int, ready map[poolKey]int, load loadFigures) {
	now := s.Clock()
	bootTime := time.Duration(service.Scaling.BootSeconds * float64(time.Second))
	n, isDue := p.nextOrder(now, want, ready[p.key], bootTime)
	if !isDue {
		return
	}
	o := ServerOrder{Service: service.Name, Zone: p.key.zone, IsReclaimable: p.key.isReclaimable, Count: n}
	p.recordOrder(now, n, s.placeOrder(ctx, o, ready[p.key], load))
}

// reclaimableByZone returns the number of ready reclaimable servers by zone.
func reclaimableByZone(ready map[poolKey]int) map[string]int {
	byZone := map[string]int{}
	for key, n := range ready {
		if key.isReclaimable {
			byZone[key.zone] += n
		}
	}
	return byZone
}

// zonesOf returns the zones in which servers of the service can be ordered, sorted
// by name.
func zonesOf(service *config.Service) []fleet.ServerZone {
	zones := make([]fleet.ServerZone, 0, len(service.Scaling.ZonePrices))
	for name, price := range service.Scaling.ZonePrices {
		zones = append(zones, fleet.ServerZone{Name: name, Price: price})
	}
	slices.SortFunc(zones, func(a, b fleet.ServerZone) int { return cmp.Compare(a.Name, b.Name) })
	return zones
}

// running returns the number of running requests of all entries for a service,
// and its ready servers by kind and zone.
func (s *Scaler) running(service string) (running int, ready map[poolKey]int) {
	ready = map[poolKey]int{}
	for _, load := range s.Balancer.ServiceLoads() {
		if load.Service == service {
			running += load.Running
			ready[poolKey{load.Zone, true}] += load.ReadyReclaimable
			ready[poolKey{load.Zone, false}] += load.Ready - load.ReadyReclaimable
		}
	}
	return running, ready
}

// measureDemand returns the demand in servers and the processing rate of one
// server in prompt tokens per second. A rate of 0 means that both are unknown.
func (s *serviceState) measureDemand(now time.Duration, statsByEntry map[string]relay.PrefillStats) (demand, rate float64) {
	increase := 0.0
	for entry, stats := range statsByEntry {
		if last, ok := s.tokenTotals[entry]; ok && stats.Tokens > last {
			increase += stats.Tokens - last
		}
		s.tokenTotals[entry] = stats.Tokens
		rate = max(rate, stats.TokensPerSecond)
	}
	s.samples = append(s.samples, tokenSample{now, increase})
	for s.samples[0].at < now-demandSpan {
		s.samples = s.samples[1:]
	}
	if rate == 0 {
		return 0, 0
	}
	sum := 0.0
	for _, sample := range s.samples {
		sum += sample.tokens
	}
	return sum / demandSpan.Seconds() / rate, rate
}

// loadFigures are the load that an order is based on, for its log line: demand in
// servers, running in requests, rate in prompt tokens per second of one server.
type loadFigures struct{ demand, running, rate float64 }

// placeOrder places an order and reports whether it was accepted. A conflict means
// that a later holder has acted, except for reclaimable servers, where it may also
// mean that none are available.
func (s *Scaler) placeOrder(ctx context.Context, o ServerOrder, ready int, load loadFigures) bool {
	if _, _, err := s.Lease.Check(); err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.Cloud.OrderServers(ctx, s.token, o)
	if err != nil {
		s.Log.Log(EvOrderFailed, "service", o.Service, "server_zone", o.Zone, "reclaimable", o.IsReclaimable, "servers", o.Count,
			"token", s.token, "step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
		if fault.Is(err, fault.Conflict) && !o.IsReclaimable {
			s.Lease.MarkLost(s.token, "a later holder has acted")
		}
		return false
	}
	s.Log.Log(EvOrdered, "service", o.Service, "server_zone", o.Zone, "reclaimable", o.IsReclaimable, "servers", o.Count,
		"ready", ready, "token", s.token, "demand", load.demand, "running", load.running, "tokens_per_second", load.rate)
	return true
}
