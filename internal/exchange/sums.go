package exchange

import (
	"maps"
	"slices"
	"time"

	"buckthornpick/internal/peer"
	"buckthornpick/internal/quota"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/usage"
)

// sums is what a hub tells of several entries: of its zone to the hubs of other
// zones, and of all entries but one to that one.
type sums struct {
	Run string `msgpack:"r"`
	// Zone is the zone that is summed; empty is the rest of the site.
	Zone  string                          `msgpack:"z,omitempty"`
	Spent map[string]quota.SpendingReport `msgpack:"q,omitempty"`
	// Loads are by backend server.
	Loads map[string]int `msgpack:"l,omitempty"`
	// Entries is the number of the site's entries as the hub knows them. Reachable
	// is that of those that are summed and heard from, the hub included.
	Entries   int `msgpack:"n"`
	Reachable int `msgpack:"h"`
	// Usage and Work are by the run of an entry; for hubs only.
	Usage map[string]usage.Windows         `msgpack:"u,omitempty"`
	Work  map[string]map[string]relay.Work `msgpack:"k,omitempty"`
}

// restName names the rest of the site among those that report.
const restName = "rest-of-site"

func (m *sums) name() string {
	if m.Zone == "" {
		return restName
	}
	return "zone/" + m.Zone
}

// heardSums are the latest sums of one hub.
type heardSums struct {
	at time.Duration
	sums
}

// summary holds the latest sums by what they are of and by hub.
type summary map[string]map[string]*heardSums

// heard takes sums and reports whether the hub's run was known.
func (s summary) heard(hub string, now time.Duration, m *sums) (isKnown bool) {
	name := m.name()
	if s[name] == nil {
		s[name] = map[string]*heardSums{}
	}
	before := s[name][hub]
	s[name][hub] = &heardSums{now, *m}
	return before != nil && before.Run == m.Run
}

// best returns the latest sums of a name from the hub that hears most entries;
// nil without any that are younger than silence.
func (s summary) best(name string, now time.Duration) *heardSums {
	var best *heardSums
	for hub, m := range s[name] {
		if now-m.at >= silence {
			if now-m.at >= sumsMemory {
				delete(s[name], hub)
			}
			continue
		}
		if best == nil || m.Reachable > best.Reachable || m.Reachable == best.Reachable && m.Run < best.Run {
			best = m
		}
	}
	return best
}

// sumsMemory is how long the sums of a silent hub are kept: its run counts as
// known until then.
const sumsMemory = time.Minute

// zones returns the best sums of the other zones.
func (s summary) zones(now time.Duration) []*heardSums {
	var list []*heardSums
	for name := range s {
		if m := s.best(name, now); m != nil && m.Zone != "" {
			list = append(list, m)
		}
	}
	return list
}

// sendSums sends a hub's sums of its n-th round: those of its zone to the other
// hubs, and after hubRounds those of the rest of the site to its zone's entries.
func (x *Exchange) sendSums(p position, n int) {
	x.mu.Lock()
	site := x.site
	withUsage := n%(hubRounds*usageEvery) == 0
	inZone := x.zoneSumsLocked(x.Clock(), withUsage)
	x.mu.Unlock()
	withKnown := n%(hubRounds*knownEvery) == 0
	inZone.Entries = site.Entries
	inZone.Spent = x.Quotas.Sums(quota.ScopeZone, "", withKnown)
	add(inZone.Loads, runningOf(x.Balancer.Loads()))
	if withUsage {
		inZone.Usage[x.run] = x.Counts.Own()
		inZone.Work[x.run] = x.Balancer.Works()
	}
	x.sendTo(p.remoteHubs, peer.RelaySums, inZone)
	if n%hubRounds == 0 {
		x.sendRest(p, site, inZone.Loads, withKnown)
	}
}

// sendRest tells the zone's entries the sums of all but each of them.
func (x *Exchange) sendRest(p position, site quota.Site, loads map[string]int, withKnown bool) {
	members := x.members(p)
	own := map[string]map[string]int{}
	x.mu.Lock()
	loads = maps.Clone(loads)
	for _, zone := range x.sums.zones(x.Clock()) {
		add(loads, zone.Loads)
	}
	for _, m := range members {
		if known := x.others.states[m.ID]; known != nil && known.isInTouch {
			own[m.ID] = runningOf(known.loads)
		}
	}
	x.mu.Unlock()
	for _, m := range members {
		rest := maps.Clone(loads)
		subtract(rest, own[m.ID])
		x.send(m, peer.RelaySums, sums{
			Run: x.run, Spent: x.Quotas.Sums(quota.ScopeRestOfSite, m.ID, withKnown), Loads: rest,
			Entries: site.Entries, Reachable: site.Reachable,
		})
	}
}

// members returns the entries of the zone that a hub tells the sums of the rest,
// all but its fellow hubs: also those that do not report to it yet, which learn
// in this way that it lives.
func (x *Exchange) members(p position) []peer.Node {
	isHub := map[string]bool{}
	for _, hub := range p.uplinks {
		isHub[hub.ID] = true
	}
	return slices.DeleteFunc(x.Entries.Others(), func(n peer.Node) bool { return n.Zone != x.self.Zone || isHub[n.ID] })
}

// zoneSumsLocked sums the other entries of the zone that are heard from.
func (x *Exchange) zoneSumsLocked(now time.Duration, withUsage bool) sums {
	m := sums{Run: x.run, Zone: x.self.Zone, Reachable: 1, Loads: x.others.loads()}
	if withUsage {
		m.Usage, m.Work = map[string]usage.Windows{}, map[string]map[string]relay.Work{}
	}
	for _, known := range x.others.states {
		if now-known.at >= silence {
			continue
		}
		m.Reachable++
		if withUsage && known.usage != nil {
			m.Usage[known.run], m.Work[known.run] = known.usage, known.work
		}
	}
	return m
}

func runningOf(loads map[string]relay.Load) map[string]int {
	running := make(map[string]int, len(loads))
	for server, load := range loads {
		running[server] = load.Running
	}
	return running
}

func add(sum, more map[string]int) {
	for server, n := range more {
		sum[server] += n
	}
}

func subtract(sum, less map[string]int) {
	for server, n := range less {
		if sum[server] -= n; sum[server] <= 0 {
			delete(sum, server)
		}
	}
}

// receiveSums takes the sums of a hub: a hub those of other zones, and another
// entry those of the rest of the site from the hubs of its zone.
func (x *Exchange) receiveSums(from peer.Node, decode func(any) error) {
	var m sums
	if decode(&m) != nil {
		return // the transport has logged it
	}
	for run, windows := range m.Usage {
		x.Counts.Merge(run, windows)
	}
	x.mu.Lock()
	isForHub, isFromZone := m.Zone != "", from.Zone == x.self.Zone
	if !x.place.isTree || isForHub != x.place.isHub || isForHub == isFromZone {
		x.mu.Unlock()
		return
	}
	now := x.Clock()
	isKnown := x.sums.heard(from.ID, now, &m)
	isCovered := x.noteHeardLocked(now)
	for run, work := range m.Work {
		x.works[run] = heardWork{now, work}
	}
	x.mu.Unlock()
	scope := quota.ScopeZone
	if !isForHub {
		scope = quota.ScopeRestOfSite
	}
	x.Quotas.Merge(quota.Origin{Name: m.name(), Scope: scope, Run: m.Run, IsAlreadyCounted: isCovered, IsKnownRun: isKnown}, m.Spent)
}

// coveredFor is how long after a message the spending of those that it covered
// counts as known: as long as it takes to find another hub.
const coveredFor = 3 * time.Second

// noteHeardLocked notes that this entry hears of the others, and reports whether it
// is one of a large site that has heard of them until now.
func (x *Exchange) noteHeardLocked(now time.Duration) (isCovered bool) {
	isCovered = x.place.isTree && x.heardAt > 0 && now-x.heardAt < coveredFor
	x.heardAt = now
	return isCovered
}

// judgeTreeLocked counts the entries of a large site and sums their loads by what
// hubs tell; direct and loads are of those that report to this entry.
func (x *Exchange) judgeTreeLocked(now time.Duration, direct quota.Site, loads map[string]int) (quota.Site, map[string]int) {
	if x.place.isHub {
		for _, zone := range x.sums.zones(now) {
			direct.Reachable += zone.Reachable
			add(loads, zone.Loads)
		}
		return direct, loads
	}
	rest := x.sums.best(restName, now)
	if rest == nil {
		return quota.Site{Entries: direct.Entries, Reachable: 1}, nil
	}
	return quota.Site{Entries: max(direct.Entries, rest.Entries), Reachable: rest.Reachable}, rest.Loads
}

// regroupTime is how long entries count as heard from after this one got another
// place: those that are to report to it need a message's time to do so.
const regroupTime = 1500 * time.Millisecond
