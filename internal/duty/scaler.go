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
	// fallInterval is the time between the ends of servers in a zone: each one
	// moves prompts to servers that have to read them anew.
	fallInterval = 3 * time.Second
)

// Demand tells the load of a service over all entries.
type Demand interface {
	Works(service string) map[string]relay.Work
}

// Scaler orders backend servers while it holds the lease.
type Scaler struct {
	Lease     *lease.Lease
	Cloud     Cloud
	Documents *follow.Documents
	Balancer  *relay.Balancer
	Demand    Demand
	Clock     clock.Clock
	Log       *telemetry.Logger

	token    int64
	services map[string]*serviceScale
}

// serviceScale is what the scaler remembers of a service.
type serviceScale struct {
	demand, running fleet.Trend
	// totals are the latest of each entry, samples the sums of their rises.
	totals  map[string]float64
	samples []workSample
	// ordered is the number that was ordered by zone.
	ordered map[string]int
	// fellAt is when the number in a zone was last lowered.
	fellAt map[string]time.Duration
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
		if err != nil {
			s.services = nil
			continue
		}
		if token != s.token || s.services == nil {
			s.token, s.services = token, map[string]*serviceScale{}
		}
		for i := range doc.Services {
			if doc.Services[i].Scaling != nil {
				s.scale(ctx, &doc.Services[i])
			}
		}
	}
	return nil
}

func (s *Scaler) scale(ctx context.Context, service *config.Service) {
	state, ok := s.services[service.Name]
	if !ok {
		state = &serviceScale{
			demand: fleet.Trend{Hold: holdFall}, running: fleet.Trend{Hold: holdFall},
			totals: map[string]float64{}, ordered: map[string]int{}, fellAt: map[string]time.Duration{},
		}
		s.services[service.Name] = state
	}
	now := s.Clock()
	demand, rate := state.measure(now, s.Demand.Works(service.Name))
	running, ready := s.running(service.Name)
	demand = state.demand.Add(now, demand)
	busy := state.running.Add(now, float64(running))
	if rate == 0 || !state.demand.IsFull(now) {
		return // the load is not known yet: what was found stays
	}
	want := fleet.Replicas(fleet.ReplicaInput{
		Demand: demand, Running: int(busy), Zones: zonesOf(service), Min: service.Scaling.Min, Max: service.Scaling.Max,
	})
	for _, zone := range zonesOf(service) {
		n, last := want[zone.Name], state.orderedOr(zone.Name, ready[zone.Name])
		if n < last {
			n = last - 1
			if now-state.fellAt[zone.Name] < fallInterval {
				continue
			}
		}
		if n == last {
			continue
		}
		if n < last {
			state.fellAt[zone.Name] = now
		}
		if s.order(ctx, service.Name, zone.Name, n, ready[zone.Name], demand, busy, rate) {
			state.ordered[zone.Name] = n
		}
	}
}

// orderedOr returns the number that was ordered in a zone, or what was found.
func (s *serviceScale) orderedOr(zone string, found int) int {
	if n, ok := s.ordered[zone]; ok {
		return n
	}
	return found
}

// zonesOf returns the zones in which the service can be ordered.
func zonesOf(service *config.Service) []fleet.ReplicaZone {
	zones := make([]fleet.ReplicaZone, 0, len(service.Scaling.ZonePrices))
	for name, price := range service.Scaling.ZonePrices {
		zones = append(zones, fleet.ReplicaZone{Name: name, Price: price})
	}
	slices.SortFunc(zones, func(a, b fleet.ReplicaZone) int { return cmp.Compare(a.Name, b.Name) })
	return zones
}

// running returns the requests of all entries at the service, and its ready
// servers by zone.
func (s *Scaler) running(service string) (running int, ready map[string]int) {
	ready = map[string]int{}
	for _, load := range s.Balancer.ServiceLoads() {
		if load.Service == service {
			running += load.Running
			ready[load.Zone] += load.Ready
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

// order gives one order and reports whether it was taken.
func (s *Scaler) order(ctx context.Context, service, zone string, n, ready int, demand, running, rate float64) bool {
	if _, _, err := s.Lease.Check(); err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.Cloud.OrderServers(ctx, s.token, service, zone, n)
	if err != nil {
		s.Log.Log(EvOrderFailed, "service", service, "server_zone", zone, "servers", n, "token", s.token,
			"step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
		if fault.Is(err, fault.Conflict) {
			s.Lease.Lose(s.token, "a later holder has acted")
		}
		return false
	}
	s.Log.Log(EvOrdered, "service", service, "server_zone", zone, "servers", n, "ready", ready, "token", s.token,
		"demand", demand, "running", running, "tokens_per_second", rate)
	return true
}
