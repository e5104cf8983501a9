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
	// scaleInterval is the time between looks at the load.
	scaleInterval = 500 * time.Millisecond
	// rateSpan is the span over which the work is averaged: shorter than a
	// server's boot, longer than a few long prompts.
	rateSpan = 3 * time.Second
	// holdFall is how long the load must have fallen before servers are ended.
	holdFall = 8 * time.Second
)

// Demand tells the load of a service over all entries.
type Demand interface {
	Works(service string) map[string]relay.Work
}

// Scaler orders backend servers while it holds the lease. It measures the load
// also without, so that it can act as soon as it takes over.
type Scaler struct {
	ScalerConfig

	token    int64
	services map[string]*serviceScale
}

// ScalerConfig is what a scaler works with.
type ScalerConfig struct {
	Lease     *lease.Lease
	Cloud     Cloud
	Documents *follow.Documents
	Balancer  *relay.Balancer
	Demand    Demand
	Clock     clock.Clock
	Log       *telemetry.Logger
}

// NewScaler returns a scaler that knows no load yet.
func NewScaler(c ScalerConfig) *Scaler {
	return &Scaler{ScalerConfig: c, services: map[string]*serviceScale{}}
}

// serviceScale is what the scaler remembers of a service.
type serviceScale struct {
	demand, running fleet.SlidingMax
	// totals are the latest of each entry, samples the sums of their rises.
	totals  map[string]float64
	samples []workSample
	pools   map[poolKey]*pool
}

type workSample struct {
	at     time.Duration
	tokens float64
}

// Run orders until ctx ends.
func (s *Scaler) Run(ctx context.Context) error {
	for wait.For(ctx, scaleInterval) {
		doc, _ := s.Documents.Current()
		if doc == nil {
			continue
		}
		token, _, err := s.Lease.Check()
		isHolder := err == nil
		if !isHolder || token != s.token {
			s.forgetOrders()
		}
		s.token = token
		for i := range doc.Services {
			if doc.Services[i].Scaling != nil {
				s.scale(ctx, &doc.Services[i], isHolder)
			}
		}
	}
	return nil
}

// forgetOrders ends what is known of orders: another holder may have ordered.
func (s *Scaler) forgetOrders() {
	for _, state := range s.services {
		state.pools = map[poolKey]*pool{}
	}
}

func (s *Scaler) scale(ctx context.Context, service *config.Service, isHolder bool) {
	state, ok := s.services[service.Name]
	if !ok {
		state = &serviceScale{
			demand: fleet.SlidingMax{Window: holdFall}, running: fleet.SlidingMax{Window: holdFall},
			totals: map[string]float64{}, pools: map[poolKey]*pool{},
		}
		s.services[service.Name] = state
	}
	now := s.Clock()
	demand, rate := state.measure(now, s.Demand.Works(service.Name))
	running, ready := s.running(service.Name)
	demand = state.demand.Add(now, demand)
	busy := state.running.Add(now, float64(running))
	if !isHolder {
		return
	}
	if rate == 0 || !state.demand.IsFull(now) {
		return // the load is not known yet: what was found stays
	}
	zones := zonesOf(service)
	want := fleet.ServerCounts(fleet.ServerCountInput{
		Demand: demand, Running: int(busy), Zones: zones, Min: service.Scaling.Min, Max: service.Scaling.Max,
		ReclaimablePrice: service.Scaling.ReclaimablePrice, ReadyReclaimable: reclaimable(ready),
	})
	load := loadFacts{demand: demand, running: busy, rate: rate}
	for _, zone := range zones {
		n := want[zone.Name]
		s.adjust(ctx, service, state.pool(poolKey{zone.Name, true}, ready), n.Reclaimable, ready, load)
		s.adjust(ctx, service, state.pool(poolKey{zone.Name, false}, ready), n.OnDemand, ready, load)
	}
}

// pool returns what is known of the servers of one kind in a zone; those that
// were found count as ordered.
func (s *serviceScale) pool(key poolKey, ready map[poolKey]int) *pool {
	p, ok := s.pools[key]
	if !ok {
		p = newPool(key, ready[key])
		s.pools[key] = p
	}
	return p
}

// adjust orders a number of servers of one kind in a zone if that is due.
func (s *Scaler) adjust(ctx context.Context, service *config.Service, p *pool, want int, ready map[poolKey]int, load loadFacts) {
	now := s.Clock()
	boot := time.Duration(service.Scaling.BootSeconds * float64(time.Second))
	n, isDue := p.next(now, want, ready[p.key], boot)
	if !isDue {
		return
	}
	o := ServerOrder{Service: service.Name, Zone: p.key.zone, IsReclaimable: p.key.isReclaimable, Count: n}
	p.note(now, n, s.order(ctx, o, ready[p.key], load))
}

func reclaimable(ready map[poolKey]int) map[string]int {
	byZone := map[string]int{}
	for key, n := range ready {
		if key.isReclaimable {
			byZone[key.zone] += n
		}
	}
	return byZone
}

// zonesOf returns the zones in which the service can be ordered.
func zonesOf(service *config.Service) []fleet.ServerZone {
	zones := make([]fleet.ServerZone, 0, len(service.Scaling.ZonePrices))
	for name, price := range service.Scaling.ZonePrices {
		zones = append(zones, fleet.ServerZone{Name: name, Price: price})
	}
	slices.SortFunc(zones, func(a, b fleet.ServerZone) int { return cmp.Compare(a.Name, b.Name) })
	return zones
}

// running returns the requests of all entries at the service, and its ready
// servers.
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

// measure returns the demand in servers and the rate of one server; 0 is
// unknown.
func (s *serviceScale) measure(now time.Duration, works map[string]relay.Work) (demand, rate float64) {
	rise := 0.0
	for entry, work := range works {
		if last, ok := s.totals[entry]; ok && work.Tokens > last {
			rise += work.Tokens - last
		}
		s.totals[entry] = work.Tokens
		rate = max(rate, work.Rate)
	}
	s.samples = append(s.samples, workSample{now, rise})
	for s.samples[0].at < now-rateSpan {
		s.samples = s.samples[1:]
	}
	if rate == 0 {
		return 0, 0
	}
	sum := 0.0
	for _, sample := range s.samples {
		sum += sample.tokens
	}
	return sum / rateSpan.Seconds() / rate, rate
}

// loadFacts are what an order was decided by.
type loadFacts struct{ demand, running, rate float64 }

// order gives one order and reports whether it was taken. A refusal of
// reclaimable servers may mean that there are none, and that of others that a
// later holder has acted.
func (s *Scaler) order(ctx context.Context, o ServerOrder, ready int, load loadFacts) bool {
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
			s.Lease.Lose(s.token, "a later holder has acted")
		}
		return false
	}
	s.Log.Log(EvOrdered, "service", o.Service, "server_zone", o.Zone, "reclaimable", o.IsReclaimable, "servers", o.Count,
		"ready", ready, "token", s.token, "demand", load.demand, "running", load.running, "tokens_per_second", load.rate)
	return true
}
