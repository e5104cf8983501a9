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

// supply is the current fleet of one service in all zones.
type supply struct {
	// provisioned is the number of live and starting VMs by offer.
	provisioned map[fleet.OfferKey]int
	// live is the number of live VMs by offer.
	live map[fleet.OfferKey]int
}

// countSupply counts the VMs of a service that are not leaving or draining, and
// the recorded starts whose VMs are not listed yet.
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

// usableOffers returns the offers that can serve the service and whose zone has
// an acting planner, or in which the service already has VMs.
func usableOffers(s *site, service *config.Service, present map[fleet.OfferKey]int) []provider.Offer {
	var out []provider.Offer
	for _, o := range s.offers {
		if (o.Accelerators > 0) == isModel(service) && (s.actingZones[o.Zone] || present[fleet.KeyOf(o)] > 0) {
			out = append(out, o)
		}
	}
	return out
}

// estimateDemand returns the service's estimated demand, or false if none is
// known yet. While no entry reports its load, it returns the last estimate.
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

// blockedOffers returns the offers from which no VMs may be started, and until
// when: offers that refused a start, offers with VMs under reclaim notice (until
// ReclaimBackoff after the deadline), and offers of zones without an acting
// planner.
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

// planService compares the planned fleet of a service with the current one, and
// records the starts and drains for this zone in the zone's state.
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
		c := offerComparison{service: service.Name, offer: o, offerKey: fleet.KeyOf(o), current: current, offers: offers,
			demand: demand, missing: missing, difference: plan.Want[fleet.KeyOf(o)] - current.provisioned[fleet.KeyOf(o)]}
		p.logDifference(c)
		p.scaleUp(s, c)
		p.scaleDown(ctx, s, c)
	}
}

// offerComparison is the difference between the planned and the current fleet
// for one offer of this planner's zone.
type offerComparison struct {
	service  string
	offer    provider.Offer
	offerKey fleet.OfferKey
	current  supply
	offers   []provider.Offer
	demand   fleet.Demand
	// missing is the capacity that the fleet lacks for the demand, in
	// accelerators.
	missing float64
	// difference is the number of planned VMs less that of current VMs.
	difference int
}

func (c offerComparison) reason() string {
	switch {
	case c.missing > 0:
		return "capacity is below the demand"
	case c.difference > 0:
		return "this offer is cheaper than another offer"
	default:
		return "not needed, or more expensive than another offer"
	}
}

// logDifference logs the difference when it has changed.
func (p *Planner) logDifference(c offerComparison) {
	key := differenceKey{service: c.service, offer: c.offerKey}
	if p.loggedDifferences[key] == c.difference {
		return
	}
	p.loggedDifferences[key] = c.difference
	if c.difference == 0 {
		return
	}
	p.log.Log(EvPlanned, "service", c.service, "class", c.offerKey.Class, "reclaimable", c.offerKey.Reclaimable,
		"present", c.current.provisioned[c.offerKey], "wanted", c.current.provisioned[c.offerKey]+c.difference, "price", c.offer.PricePerHour,
		"demand", c.demand.Total, "protected", c.demand.Protected, "missing", c.missing, "reason", c.reason())
}

// hasPersisted reports whether the difference has existed for StabilisationTime.
func (p *Planner) hasPersisted(s *site, key differenceKey, exists bool) bool {
	if !exists {
		delete(p.differenceSince, key)
		return false
	}
	since, ok := p.differenceSince[key]
	if !ok {
		p.differenceSince[key] = s.now
		return false
	}
	return s.now.Sub(since) >= p.cfg.StabilisationTime
}

// scaleUp cancels drains and records new starts. If capacity is missing it does
// so immediately; if the offer is only cheaper, it waits for StabilisationTime
// and moves a few VMs at a time.
func (p *Planner) scaleUp(s *site, c offerComparison) {
	persisted := p.hasPersisted(s, differenceKey{c.service, c.offerKey, true}, c.difference > 0)
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
			OperationID: id, Zone: c.offerKey.Zone, Class: c.offerKey.Class, Reclaimable: c.offerKey.Reclaimable, Service: c.service,
		}})
		p.unsentOperations[id] = true
		p.log.Log(EvStarting, "operation", id, "service", c.service, "class", c.offerKey.Class, "reason", c.reason())
	}
}

// migrationBatch returns the number of VMs that are moved between offers at a
// time: a tenth of the fleet, at least one.
func migrationBatch(present map[fleet.OfferKey]int) int {
	const divisor = 10
	total := 0
	for _, n := range present {
		total += n
	}
	return max(1, total/divisor)
}

// cancelDrains cancels up to n drains of the offer and returns the number of VMs
// that are still needed.
func (p *Planner) cancelDrains(s *site, c offerComparison, n int) int {
	s.ownState.Draining = slices.DeleteFunc(s.ownState.Draining, func(d fleet.Drain) bool {
		vm := s.vms[d.VM]
		if n == 0 || d.StopRequested || vm.Service != c.service || offerKeyOf(vm) != c.offerKey {
			return false
		}
		n--
		p.log.Log(EvDrainCancelled, "vm", d.VM, "reason", c.reason())
		return true
	})
	return n
}

// scaleDown marks VMs as draining that the plan has not needed for
// StabilisationTime, as long as the remaining live VMs meet the demand. Zones
// take turns, so that two zones do not both remove the same spare capacity.
func (p *Planner) scaleDown(ctx context.Context, s *site, c offerComparison) {
	if !p.hasPersisted(s, differenceKey{c.service, c.offerKey, false}, c.difference < 0) || !p.isDrainTurn(s) {
		return
	}
	live := maps.Clone(c.current.live)
	for range min(-c.difference, migrationBatch(c.current.provisioned)) {
		live[c.offerKey]--
		if live[c.offerKey] < 0 || shortfall(c.offers, live, c.demand) > 0 {
			return
		}
		id, ok := p.leastLoadedVM(ctx, s, c)
		if !ok {
			return
		}
		s.ownState.Draining = append(s.ownState.Draining, fleet.Drain{VM: id, Since: s.now})
		p.log.Log(EvDrain, "vm", id, "service", c.service, "class", c.offerKey.Class, "reason", c.reason())
	}
}

// roundsPerTurn is the length of a zone's turn in planning rounds.
const roundsPerTurn = 3

// isDrainTurn reports whether it is this zone's turn to mark drains. Clock skew
// between zones causes at worst a drain that is cancelled later.
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

// capacityOf returns the capacity of one VM of the offer, in accelerators; a VM
// without accelerators counts as 1.
func capacityOf(o provider.Offer) float64 { return float64(max(o.Accelerators, 1)) }

// shortfall returns the capacity that the fleet count lacks: for the total
// demand with all zones available, or for the protected demand without the zone
// of the largest capacity, whichever is larger.
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
