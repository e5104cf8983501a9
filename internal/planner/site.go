package planner

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/fleet"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/provider"
)

// site is the state of the site as read in one round. Only ownState is changed
// by the round.
type site struct {
	now      time.Time
	document *config.Document
	vms      map[string]provider.VM
	offers   []provider.Offer
	// actingZones holds the zones that have an acting planner.
	actingZones map[string]bool
	// deadlines holds the reclaim deadlines of VMs under notice, by VM ID.
	deadlines map[string]time.Time
	// demand is the sum of the demand reported by all zones, by service.
	demand map[string]float64
	// hasDemand reports whether any zone has reported its demand within
	// maxDemandAge.
	hasDemand bool

	zoneStates map[string]fleet.ZoneState // all zones, as read from the store
	ownState   fleet.ZoneState            // this zone, with the changes of the round
	// ownRevision and ownEncoded are the revision and the value of this zone's
	// state in the store; 0 and "" if there is none.
	ownRevision int64
	ownEncoded  string
}

// readSite reads the records in the store, the VM list and the offers.
func (p *Planner) readSite(ctx context.Context, doc *config.Document) (*site, error) {
	s := &site{now: time.Now(), document: doc, vms: map[string]provider.VM{}, actingZones: map[string]bool{},
		demand: map[string]float64{}, zoneStates: map[string]fleet.ZoneState{}}
	// The store is read before the VM list, so that a VM whose operation was
	// removed because it was listed is in this list too.
	records, err := p.deps.Store.List(ctx, fleet.RecordPrefix)
	if err != nil {
		return nil, err
	}
	if err := p.readRecords(s, records.Entries); err != nil {
		return nil, err
	}
	holders, err := p.deps.Store.List(ctx, leasePrefix)
	if err != nil {
		return nil, err
	}
	for _, e := range holders.Entries {
		s.actingZones[strings.TrimPrefix(e.Key, leasePrefix)] = true
	}
	return s, p.readPlatform(ctx, s)
}

// readRecords decodes the zones' states and recent demand reports into s.
func (p *Planner) readRecords(s *site, entries []kv.Entry) error {
	for _, e := range entries {
		if zone, ok := strings.CutPrefix(e.Key, fleet.StatePrefix); ok {
			var state fleet.ZoneState
			if err := json.Unmarshal(e.Value, &state); err != nil {
				return fault.Wrap(err, fault.Protocol, "planner.read", e.Key, "decode the state of a zone")
			}
			s.zoneStates[zone] = state
			if zone == p.cfg.Zone {
				s.ownState, s.ownRevision, s.ownEncoded = state, e.ModRevision, string(e.Value)
			}
		}
		if _, ok := strings.CutPrefix(e.Key, fleet.DemandPrefix); ok {
			var d fleet.ZoneDemand
			if json.Unmarshal(e.Value, &d) != nil || s.now.Sub(d.At) > maxDemandAge {
				continue
			}
			s.hasDemand = true
			for service, n := range d.Requests {
				s.demand[service] += n
			}
		}
	}
	return nil
}

// readPlatform reads the VM list and the offers into s, and marks VMs under
// notice as leaving.
func (p *Planner) readPlatform(ctx context.Context, s *site) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ActionTimeout)
	defer cancel()
	list, err := p.deps.Lister.ListVMs(ctx)
	if err != nil {
		return err
	}
	if s.offers, err = p.deps.Cloud.Offers(ctx); err != nil {
		return err
	}
	p.notices.mu.Lock()
	maps.DeleteFunc(p.notices.deadlines, func(_ string, d time.Time) bool {
		return s.now.Sub(d) > operationTimeout+p.cfg.ReclaimBackoff
	})
	s.deadlines = maps.Clone(p.notices.deadlines)
	p.notices.mu.Unlock()
	for _, vm := range list {
		if _, noticed := s.deadlines[vm.ID]; noticed && vm.State != provider.VMTerminated {
			vm.State = provider.VMLeaving
		}
		s.vms[vm.ID] = vm
	}
	return nil
}

// pruneState removes from the zone's state operations whose VMs are listed, under
// notice or overdue, drains of VMs that are terminated or leaving, and refusals that
// expired more than MaxRefusalBackoff ago.
func (p *Planner) pruneState(s *site) {
	s.ownState.Operations = slices.DeleteFunc(slices.Clone(s.ownState.Operations), func(o fleet.StartOperation) bool {
		_, listed := s.vms[o.VM]
		_, noticed := s.deadlines[o.VM]
		return o.VM != "" && (listed || noticed || s.now.Sub(o.Since) > operationTimeout)
	})
	s.ownState.Draining = slices.DeleteFunc(slices.Clone(s.ownState.Draining), func(d fleet.Drain) bool {
		vm, listed := s.vms[d.VM]
		return !listed || vm.State == provider.VMTerminated || vm.State == provider.VMLeaving
	})
	s.ownState.Refused = slices.DeleteFunc(slices.Clone(s.ownState.Refused), func(r fleet.OfferRefusal) bool {
		return s.now.Sub(r.Until) > p.cfg.MaxRefusalBackoff
	})
}

// allStates returns the states of all zones, with the changes of this round to
// this zone's state.
func (p *Planner) allStates(s *site) map[string]fleet.ZoneState {
	all := maps.Clone(s.zoneStates)
	all[p.cfg.Zone] = s.ownState
	return all
}

// saveState writes the zone's state if it has changed. The write succeeds only
// if this planner holds the zone's lease and the state was not changed by
// another writer.
func (p *Planner) saveState(ctx context.Context, s *site) error {
	value, err := json.Marshal(s.ownState)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "planner.save", "", "encode state")
	}
	if string(value) == s.ownEncoded || (s.ownRevision == 0 && string(value) == "{}") {
		return nil
	}
	key := fleet.StatePrefix + p.cfg.Zone
	guards := []kv.Compare{p.lease.Guard(p.token), {Key: key, ModRevision: s.ownRevision}}
	result, err := p.deps.Store.Txn(ctx, guards, []kv.Op{kv.Put(key, value)})
	if err != nil {
		return err // the next round reads the outcome
	}
	if !result.Succeeded {
		return p.classifySaveConflict(ctx)
	}
	s.ownRevision, s.ownEncoded = result.Revision, string(value)
	return nil
}

// classifySaveConflict determines whether the write failed because the lease was
// lost, which it marks, or because a delayed earlier write changed the state.
func (p *Planner) classifySaveConflict(ctx context.Context) error {
	entry, found, err := p.deps.Store.Get(ctx, p.lease.Key())
	if err != nil {
		return err
	}
	if !found || entry.ModRevision != p.lease.Guard(p.token).ModRevision {
		p.lease.MarkLost(p.token, "this planner does not hold the lease in the store")
	}
	return fault.New(fault.Conflict, "planner.save", p.cfg.Zone, "the zone's state was changed concurrently")
}
