package planner

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fleet"
	"buckthornpick/internal/provider"
)

// supply is the present fleet of one service over all zones.
type supply struct {
	// coming counts live VMs and those that start, by offer.
	provisioned map[fleet.OfferKey]int
	// live counts live VMs only.
	live map[fleet.OfferKey]int
}

// supplyOf counts the VMs of a service that are not leaving or draining, and
// the starts that are not listed yet.
func (p *Planner) countSupply(s *site, service string) supply {
	out := supply{provisioned: map[fleet.OfferKey]int{}, live: map[fleet.OfferKey]int{}}
	draining := map[string]bool{}
	for _, state := range p.allStates(s) {
		for _, d := range state.Draining {
			draining[d.VM] = true
		}
		for _, o := range state.Operations {
			_, listed := s.vms[o.VM]
			_, noticed := s.deadlines[o.VM]
			if o.Spec.Service == service && !listed && !noticed {
				out.provisioned[o.Key()]++
			}
		}
	}
	for _, vm := range s.vms {
		if vm.Service != service || draining[vm.ID] {
			continue
		}
		switch vm.State {
		case provider.VMLive:
			out.live[offerKeyOf(vm)]++
			out.provisioned[offerKeyOf(vm)]++
		case provider.VMStarting:
			out.provisioned[offerKeyOf(vm)]++
		}
	}
	return out
}

func offerKeyOf(vm provider.VM) fleet.OfferKey {
	return fleet.OfferKey{Zone: vm.Zone, Class: vm.Class, Reclaimable: vm.Reclaimable}
}

// offersFor returns the offers that can serve the service, in zones where
// somebody can take them up.
func usableOffers(s *site, service *config.Service, present map[fleet.OfferKey]int) []provider.Offer {
	var out []provider.Offer
	for _, o := range s.offers {
		if (o.Accelerators > 0) == isModel(service) && (s.actingZones[o.Zone] || present[fleet.KeyOf(o)] > 0) {
			out = append(out, o)
		}
	}
	return out
}

// demandOf returns the service's demand; ok is false if nothing is known yet.
// While no entry reports, the last demand stands.
func (p *Planner) estimateDemand(s *site, service string) (fleet.Demand, bool) {
	if !s.hasDemand {
		d, ok := p.demands[service]
		return d, ok
	}
	e, ok := p.estimators[service]
	if !ok {
		e = fleet.NewDemandEstimator(p.cfg.Demand)
		p.estimators[service] = e
	}
	d := e.Observe(s.now, fleet.LoadSample{Requests: s.demand[service], ProtectedShare: p.cfg.ProtectedShare})
	d.Total = max(d.Total, p.cfg.MinCapacity)
	d.Protected = max(d.Protected, 1)
	p.demands[service] = d
	return d, true
}

// blocked returns the offers that are not to be asked for: those that refused,
// those whose VMs were just taken back, and those without a planner.
func (p *Planner) blockedOffers(s *site) map[fleet.OfferKey]time.Time {
	out := map[fleet.OfferKey]time.Time{}
	add := func(key fleet.OfferKey, until time.Time) {
		if until.After(out[key]) {
			out[key] = until
		}
	}
	for zone, state := range p.allStates(s) {
		for _, r := range state.Refused {
			add(fleet.OfferKey{Zone: zone, Class: r.Class, Reclaimable: r.Reclaimable}, r.Until)
		}
	}
	for id, deadline := range s.deadlines {
		if vm, ok := s.vms[id]; ok {
			add(offerKeyOf(vm), deadline.Add(p.cfg.ReclaimBackoff))
		}
	}
	for _, o := range s.offers {
		if !s.actingZones[o.Zone] {
			add(fleet.KeyOf(o), s.now.Add(p.cfg.Interval))
		}
	}
	return out
}

// decide compares the wanted fleet of a service with the present one and
// changes the own state towards it.
func (p *Planner) planService(ctx context.Context, s *site, service *config.Service) {
	demand, ok := p.estimateDemand(s, service.Name)
	if !ok {
		return
	}
	current := p.countSupply(s, service.Name)
	offers := usableOffers(s, service, current.provisioned)
	if len(offers) == 0 {
		return
	}
	risk := map[string]float64{}
	for _, o := range offers {
		risk[o.Zone] = p.cfg.WavesPerHour
	}
	plan := fleet.Size(fleet.SizeInput{
		Now: s.now, Demand: demand, Offers: offers, Current: current.provisioned, RefusedUntil: p.blockedOffers(s),
		WavesPerHour: risk, RestartHours: p.cfg.RestartHours,
	})
	missing := shortfall(offers, current.provisioned, demand)
	for _, o := range offers {
		if o.Zone != p.cfg.Zone {
			continue
		}
		c := offerComparison{service: service.Name, offer: o, key: fleet.KeyOf(o), current: current, offers: offers,
			demand: demand, missing: missing, difference: plan.Want[fleet.KeyOf(o)] - current.provisioned[fleet.KeyOf(o)]}
		p.logDifference(c)
		p.scaleUp(s, c)
		p.scaleDown(ctx, s, c)
	}
}

// comparison is the difference between plan and fleet at one offer of the own
// zone.
type offerComparison struct {
	service string
	offer   provider.Offer
	key     fleet.OfferKey
	current supply
	offers  []provider.Offer
	demand  fleet.Demand
	// missing is the capacity short of the demand, in accelerators.
	missing float64
	// difference is wanted less present VMs.
	difference int
}

func (c offerComparison) reason() string {
	switch {
	case c.missing > 0:
		return "capacity is short of the demand"
	case c.difference > 0:
		return "this offer is cheaper"
	default:
		return "not needed, or dearer than another offer"
	}
}

// report logs a difference when it changes.
func (p *Planner) logDifference(c offerComparison) {
	id := differenceKey{service: c.service, key: c.key}
	if p.loggedDifferences[id] == c.difference {
		return
	}
	p.loggedDifferences[id] = c.difference
	if c.difference == 0 {
		return
	}
	p.log.Log(EvPlanned, "service", c.service, "class", c.key.Class, "reclaimable", c.key.Reclaimable,
		"present", c.current.provisioned[c.key], "wanted", c.current.provisioned[c.key]+c.difference, "price", c.offer.PricePerHour,
		"demand", c.demand.Total, "protected", c.demand.Protected, "missing", c.missing, "reason", c.reason())
}

// held reports whether the difference has lasted for HoldTime.
func (p *Planner) hasPersisted(s *site, id differenceKey, exists bool) bool {
	if !exists {
		delete(p.differenceSince, id)
		return false
	}
	since, ok := p.differenceSince[id]
	if !ok {
		p.differenceSince[id] = s.now
		return false
	}
	return s.now.Sub(since) >= p.cfg.StabilisationTime
}

// grow takes drains back and records new starts: at once if capacity is short,
// a few at a time and after HoldTime if it is only cheaper.
func (p *Planner) scaleUp(s *site, c offerComparison) {
	persisted := p.hasPersisted(s, differenceKey{c.service, c.key, true}, c.difference > 0)
	if c.difference <= 0 {
		return
	}
	n := c.difference
	switch {
	case c.missing > 0:
		n = min(n, int(math.Ceil(c.missing/capacityOf(c.offer))))
	case persisted:
		n = min(n, migrationBatch(c.current.provisioned))
	default:
		return
	}
	n = p.cancelDrains(s, c, n)
	for range min(n, p.cfg.MaxPendingStarts-len(s.ownState.Operations)) {
		p.operationCounter++
		id := fmt.Sprintf("%s-%d-%d", p.cfg.Zone, p.token, p.operationCounter)
		s.ownState.Operations = append(s.ownState.Operations, fleet.StartOperation{Since: s.now, Spec: provider.VMSpec{
			OperationID: id, Zone: c.key.Zone, Class: c.key.Class, Reclaimable: c.key.Reclaimable, Service: c.service,
		}})
		p.unsentOperations[id] = true
		p.log.Log(EvStarting, "operation", id, "service", c.service, "class", c.key.Class, "reason", c.reason())
	}
}

// exchangeStep is how many VMs move to a cheaper offer at a time.
func migrationBatch(present map[fleet.OfferKey]int) int {
	const divisor = 10
	total := 0
	for _, n := range present {
		total += n
	}
	return max(1, total/divisor)
}

// cancelDrains takes back up to n drains of the offer and returns how many VMs
// are still wanted.
func (p *Planner) cancelDrains(s *site, c offerComparison, n int) int {
	s.ownState.Draining = slices.DeleteFunc(s.ownState.Draining, func(d fleet.Drain) bool {
		vm := s.vms[d.VM]
		if n == 0 || d.StopRequested || vm.Service != c.service || offerKeyOf(vm) != c.key {
			return false
		}
		n--
		p.log.Log(EvDrainCancelled, "vm", d.VM, "reason", c.reason())
		return true
	})
	return n
}

// shrink marks VMs that the plan has not wanted for HoldTime as draining, if
// the live ones that are left meet the demand. Zones take turns, so that two do
// not give up the same spare capacity.
func (p *Planner) scaleDown(ctx context.Context, s *site, c offerComparison) {
	if !p.hasPersisted(s, differenceKey{c.service, c.key, false}, c.difference < 0) || !p.isDrainTurn(s) {
		return
	}
	live := maps.Clone(c.current.live)
	for range min(-c.difference, migrationBatch(c.current.provisioned)) {
		live[c.key]--
		if live[c.key] < 0 || shortfall(c.offers, live, c.demand) > 0 {
			return
		}
		id, ok := p.leastLoadedVM(ctx, s, c)
		if !ok {
			return
		}
		s.ownState.Draining = append(s.ownState.Draining, fleet.Drain{VM: id, Since: s.now})
		p.log.Log(EvDrain, "vm", id, "service", c.service, "class", c.key.Class, "reason", c.reason())
	}
}

// turnRounds is the length of a zone's turn in rounds.
const roundsPerTurn = 3

// isTurn reports whether the own zone may mark drains now. Clocks that differ
// cost at worst a drain that is taken back.
func (p *Planner) isDrainTurn(s *site) bool {
	var zones []string
	for zone := range s.actingZones {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	if len(zones) == 0 {
		return false
	}
	turn := s.now.UnixNano() / int64(roundsPerTurn*p.cfg.Interval) % int64(len(zones))
	return zones[turn] == p.cfg.Zone
}

// units is the capacity of one VM of an offer.
func capacityOf(o provider.Offer) float64 { return float64(max(o.Accelerators, 1)) }

// shortfall returns the capacity that count lacks for the demand, with all
// zones up and without the largest one.
func shortfall(offers []provider.Offer, count map[fleet.OfferKey]int, demand fleet.Demand) float64 {
	zones := map[string]float64{}
	total, largest := 0.0, 0.0
	for _, o := range offers {
		n := float64(count[fleet.KeyOf(o)]) * capacityOf(o)
		total += n
		zones[o.Zone] += n
		largest = max(largest, zones[o.Zone])
	}
	const rounding = 1e-9
	missing := max(demand.Total-total, demand.Protected-(total-largest))
	if missing <= rounding {
		return 0
	}
	return missing
}
