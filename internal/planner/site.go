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

// site is what one round knows. Own is the part that the round may change.
type site struct {
	now      time.Time
	document *config.Document
	vms      map[string]provider.VM
	offers   []provider.Offer
	// acting holds the zones that have a planner.
	actingZones map[string]bool
	// deadlines of VMs under notice.
	deadlines map[string]time.Time
	demand    map[string]float64
	// hasDemand is false while no zone has reported of late.
	hasDemand bool

	zoneStates  map[string]fleet.ZoneState // as read, all zones
	ownState    fleet.ZoneState
	ownRevision int64
	ownEncoded  string
}

// look reads the store, the VM list and the offers.
func (p *Planner) readSite(ctx context.Context, doc *config.Document) (*site, error) {
	s := &site{now: time.Now(), document: doc, vms: map[string]provider.VM{}, actingZones: map[string]bool{},
		demand: map[string]float64{}, zoneStates: map[string]fleet.ZoneState{}}
	// The store is read before the VM list: a VM that left the operations
	// because it was listed is then in this list too.
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

func (p *Planner) readRecords(s *site, entries []kv.Entry) error {
	for _, e := range entries {
		if zone, ok := strings.CutPrefix(e.Key, fleet.StatePrefix); ok {
			var state fleet.ZoneState
			if err := json.Unmarshal(e.Value, &state); err != nil {
				return fault.Wrap(err, fault.Protocol, "planner.read", e.Key, "state of a zone")
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

// tidy drops what has come to its end from the own state.
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

// states returns the states of all zones, with the own one as it is now.
func (p *Planner) allStates(s *site) map[string]fleet.ZoneState {
	all := maps.Clone(s.zoneStates)
	all[p.cfg.Zone] = s.ownState
	return all
}

// save writes the own state if it has changed. The write holds only while this
// planner is the zone's holder and nobody else has changed the state.
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
		return err // the next round reads what came of it
	}
	if !result.Succeeded {
		return p.classifySaveConflict(ctx)
	}
	s.ownRevision, s.ownEncoded = result.Revision, string(value)
	return nil
}

// explainLostSave finds out whether the lease or an earlier late write was the
// reason.
func (p *Planner) classifySaveConflict(ctx context.Context) error {
	entry, found, err := p.deps.Store.Get(ctx, p.lease.Key())
	if err != nil {
		return err
	}
	if !found || entry.ModRevision != p.token {
		p.lease.MarkLost(p.token, "the store names another holder")
	}
	return fault.New(fault.Conflict, "planner.save", p.cfg.Zone, "the zone's state was changed meanwhile")
}
