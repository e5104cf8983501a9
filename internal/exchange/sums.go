package exchange

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"buckthornpick/internal/capacity"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/quota"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/rollout"
	"buckthornpick/internal/usage"
)

// sumsMessage holds sums that a hub sends: those of its zone to the hubs of other
// zones, and those of the rest of the site to each entry of its zone.
type sumsMessage struct {
	// Run identifies the hub's process and the time since it last became a hub, from
	// which on its totals count; see sumsRun.
	Run string `msgpack:"r"`
	// Zone is the zone that the sums cover; empty for the rest of the site.
	Zone string `msgpack:"z,omitempty"`
	// Spent is by organisation.
	Spent map[string]quota.SpendingReport `msgpack:"q,omitempty"`
	// Loads are by backend server.
	Loads map[string]int `msgpack:"l,omitempty"`
	// Entries is the number of entries of the site as the hub counts them.
	// Reachable is the number of reachable entries that the sums cover, the hub
	// included.
	Entries   int `msgpack:"n"`
	Reachable int `msgpack:"h"`
	// Usage and Prefill are by the run of an entry; sent to hubs only.
	Usage   map[string]usage.WindowCounts            `msgpack:"u,omitempty"`
	Prefill map[string]map[string]relay.PrefillStats `msgpack:"k,omitempty"`
	// Evidence is the digest of the hub's evidence against content that crashes servers.
	Evidence uint64 `msgpack:"d,omitempty"`
	// Limits holds what the hub knows of limits that servers have named, by server.
	Limits map[string]relay.LimitReport `msgpack:"m,omitempty"`
	// Answers are what recent answers say of servers, by server; nil in messages between
	// those that hold them.
	Answers map[string]capacity.Report `msgpack:"c"`
	// Rollouts holds the orders of roll-outs as the hub knows them, and for other hubs what
	// its zone has counted.
	Rollouts *rollout.Message `msgpack:"v,omitempty"`
}

// sumsRunLocked returns the run of this entry's sums. While it is not a hub, an entry learns
// what others spend from other sums, which its totals lack.
func (x *Exchange) sumsRunLocked() string {
	if x.hubTerms <= 1 {
		return x.run
	}
	return x.run + "#" + strconv.Itoa(x.hubTerms)
}

// restOfSiteName is the origin name of sums of the rest of the site.
const restOfSiteName = "rest-of-site"

// originName returns the name of the part of the site that the sums cover, as
// used in quota.Origin.
func (m *sumsMessage) originName() string {
	if m.Zone == "" {
		return restOfSiteName
	}
	return "zone/" + m.Zone
}

// receivedSums are the latest sums of one hub.
type receivedSums struct {
	receivedAt time.Duration
	sumsMessage
}

// latestSums holds the latest sums by origin name and by the ID of the hub.
type latestSums map[string]map[string]*receivedSums

// record stores the sums of a hub. It reports whether the hub has already sent
// such sums in the same run of its process.
func (s latestSums) record(hub string, now time.Duration, m *sumsMessage) (isKnownRun bool) {
	name := m.originName()
	if s[name] == nil {
		s[name] = map[string]*receivedSums{}
	}
	previous := s[name][hub]
	isKnownRun = previous != nil && previous.Run == m.Run
	if isKnownRun && m.Answers == nil {
		m.Answers = previous.Answers
	}
	s[name][hub] = &receivedSums{now, *m}
	return isKnownRun
}

// best returns the latest sums with the given origin name from the hub that
// reaches the most entries, or nil if all are older than silenceTimeout.
func (s latestSums) best(name string, now time.Duration) *receivedSums {
	var best *receivedSums
	for hub, m := range s[name] {
		if now-m.receivedAt >= silenceTimeout {
			if now-m.receivedAt >= sumsTTL {
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

// sumsTTL is how long the sums of a hub are kept after its last message. Until
// then its run counts as known.
const sumsTTL = time.Minute

// zoneSums returns the best sums of each other zone.
func (s latestSums) zoneSums(now time.Duration) []*receivedSums {
	var list []*receivedSums
	for name := range s {
		if m := s.best(name, now); m != nil && m.Zone != "" {
			list = append(list, m)
		}
	}
	return list
}

// sendSums sends the sums of a hub in its n-th round: those of its zone to the
// hubs of other zones, and every hubRoundsPerInterval rounds those of the rest of
// the site to the entries of its zone.
func (x *Exchange) sendSums(p position, n int) {
	x.mu.Lock()
	site := x.site
	withUsage := n%(hubRoundsPerInterval*usageEvery) == 0
	message := x.zoneSumsLocked(x.Clock(), withUsage)
	x.mu.Unlock()
	withSiteSpending := n%(hubRoundsPerInterval*siteSpendingEvery) == 0
	message.Entries, message.Evidence, message.Limits = site.Entries, x.Crashes.Digest(), x.Balancer.LimitReports()
	message.Spent = x.Quotas.AggregateReports(quota.ScopeZone, "", withSiteSpending)
	addLoads(message.Loads, runningByServer(x.Balancer.Loads()))
	capacity.AddReports(message.Answers, x.Balancer.AnswerReports())
	message.Rollouts = x.statedRollouts()
	if n%hubRoundsPerInterval == 0 {
		message.Rollouts = x.zoneRollouts()
	}
	if withUsage {
		message.Usage[x.run] = x.Counts.Local()
		message.Prefill[x.run] = x.Balancer.PrefillStats()
	}
	answers := message.Answers
	if n%hubRoundsPerInterval != 0 {
		message.Answers = nil
	}
	x.sendTo(p.remoteHubs, peer.RelaySums, message)
	if n%hubRoundsPerInterval == 0 {
		if n%(hubRoundsPerInterval*answersEvery) != 0 {
			answers = nil
		}
		x.sendRestOfSite(p, site, message.Loads, answers, withSiteSpending)
	}
}

// sendRestOfSite sends each entry of the zone the sums of all other entries; loads and
// answers are those of the zone, and no answers are sent if these are nil.
func (x *Exchange) sendRestOfSite(p position, site quota.Site, loads map[string]int, answers map[string]capacity.Report, withSiteSpending bool) {
	nodes, evidence, limits, rollouts := x.zoneEntries(p), x.Crashes.Digest(), x.Balancer.LimitReports(), x.statedRollouts()
	ownLoads, ownAnswers := map[string]map[string]int{}, map[string]map[string]capacity.Report{}
	x.mu.Lock()
	run := x.sumsRunLocked()
	loads, answers = maps.Clone(loads), maps.Clone(answers)
	for _, zone := range x.hubSums.zoneSums(x.Clock()) {
		addLoads(loads, zone.Loads)
		if answers != nil {
			capacity.AddReports(answers, zone.Answers)
		}
	}
	for _, node := range nodes {
		if state := x.tracker.states[node.ID]; state != nil && state.isReachable {
			ownLoads[node.ID], ownAnswers[node.ID] = runningByServer(state.loads), state.answers
		}
	}
	x.mu.Unlock()
	for _, node := range nodes {
		rest := maps.Clone(loads)
		subtractLoads(rest, ownLoads[node.ID])
		restAnswers := maps.Clone(answers)
		capacity.SubtractReports(restAnswers, ownAnswers[node.ID])
		x.send(node, peer.RelaySums, sumsMessage{
			Run: run, Spent: x.Quotas.AggregateReports(quota.ScopeRestOfSite, node.ID, withSiteSpending), Loads: rest,
			Entries: site.Entries, Reachable: site.Reachable, Evidence: evidence, Limits: limits, Answers: restAnswers, Rollouts: rollouts,
		})
	}
}

// zoneEntries returns the entries of a hub's zone except the hubs. It includes
// entries that send no state to the hub yet, since they detect a new hub by its
// messages.
func (x *Exchange) zoneEntries(p position) []peer.Node {
	isHub := map[string]bool{}
	for _, hub := range p.uplinks {
		isHub[hub.ID] = true
	}
	return slices.DeleteFunc(x.Entries.Others(), func(n peer.Node) bool { return n.Zone != x.self.Zone || isHub[n.ID] })
}

// zoneSumsLocked returns the loads, usage and prefill statistics of the zone's
// other reachable entries. The caller adds those of this entry, and the spending.
func (x *Exchange) zoneSumsLocked(now time.Duration, withUsage bool) sumsMessage {
	message := sumsMessage{Run: x.sumsRunLocked(), Zone: x.self.Zone, Reachable: 1, Loads: x.tracker.reachableLoads(), Answers: x.tracker.reachableAnswers()}
	if withUsage {
		message.Usage, message.Prefill = map[string]usage.WindowCounts{}, map[string]map[string]relay.PrefillStats{}
	}
	for _, state := range x.tracker.states {
		if now-state.receivedAt >= silenceTimeout {
			continue
		}
		message.Reachable++
		if withUsage && state.usage != nil {
			message.Usage[state.run], message.Prefill[state.run] = state.usage, state.prefill
		}
	}
	return message
}

// runningByServer returns the number of running requests by backend server.
func runningByServer(loads map[string]relay.Load) map[string]int {
	running := make(map[string]int, len(loads))
	for server, load := range loads {
		running[server] = load.Running
	}
	return running
}

// addLoads adds the loads of other to sum.
func addLoads(sum, other map[string]int) {
	for server, n := range other {
		sum[server] += n
	}
}

// subtractLoads subtracts the loads of other from sum and drops servers without
// a remaining load.
func subtractLoads(sum, other map[string]int) {
	for server, n := range other {
		if sum[server] -= n; sum[server] <= 0 {
			delete(sum, server)
		}
	}
}

// receiveSums merges the sums of a hub. A hub accepts those of other zones, any
// other entry those of the rest of the site from the hubs of its zone.
func (x *Exchange) receiveSums(from peer.Node, decode func(any) error) {
	var m sumsMessage
	if decode(&m) != nil {
		return // the transport has logged it
	}
	x.compareEvidence(from, m.Run, m.Evidence)
	x.mergeLimits(from, m.Limits)
	x.learnRollouts(m.Rollouts)
	for run, windows := range m.Usage {
		x.Counts.Merge(run, windows)
	}
	x.mu.Lock()
	kind, scope, isFromOwnZone := sourceZoneSums, quota.ScopeZone, from.Zone == x.self.Zone
	if m.Zone == "" {
		kind, scope = sourceRestOfSite, quota.ScopeRestOfSite
		if isFromOwnZone {
			x.hubHeardAt = x.Clock()
		}
	}
	if !x.position.accepts(kind) || (kind == sourceRestOfSite) != isFromOwnZone {
		x.mu.Unlock()
		return
	}
	now := x.Clock()
	isKnownRun := x.hubSums.record(from.ID, now, &m)
	origin := quota.Origin{Name: m.originName(), Scope: scope, Run: m.Run, IsAlreadyCounted: x.recordReportLocked(now, kind), IsKnownRun: isKnownRun, CoveredUntil: x.coveredUntil[kind]}
	for run, stats := range m.Prefill {
		x.prefillByRun[run] = receivedPrefill{now, stats}
	}
	x.mu.Unlock()
	x.recordZoneEvidence(m.Zone, from.ID, m.Rollouts)
	x.Quotas.Merge(origin, m.Spent)
}

// coverageTTL is the time after a report during which the spending of the entries
// that it covers counts as known: the time that it takes to switch to another
// hub.
const coverageTTL = 3 * time.Second

// recordReportLocked records that a message was accepted. In a large site it reports whether
// the previous one arrived less than coverageTTL ago, so that the spending of the same entries
// has already been counted.
func (x *Exchange) recordReportLocked(now time.Duration, kind sourceKind) (isAlreadyCounted bool) {
	isAlreadyCounted = x.position.usesHubs && x.lastReportAt > 0 && now-x.lastReportAt < coverageTTL
	x.lastReportAt, x.acceptedAt[kind] = now, now
	return isAlreadyCounted
}

// addHubSumsLocked returns the number of entries of a large site and their loads
// from the sums of hubs. On a hub, direct and loads cover the entries that send
// their state to it, and the sums of other zones are added.
func (x *Exchange) addHubSumsLocked(now time.Duration, direct quota.Site, loads map[string]int) (quota.Site, map[string]int) {
	if x.position.isHub {
		for _, zone := range x.hubSums.zoneSums(now) {
			direct.Reachable += zone.Reachable
			addLoads(loads, zone.Loads)
		}
		return direct, loads
	}
	rest := x.hubSums.best(restOfSiteName, now)
	if rest == nil {
		return quota.Site{Entries: direct.Entries, Reachable: 1}, nil
	}
	return quota.Site{Entries: max(direct.Entries, rest.Entries), Reachable: rest.Reachable}, rest.Loads
}

// addHubAnswersLocked returns what the answers of the other entries of a large site say of
// servers; direct are those of the entries that send their state to this one.
func (x *Exchange) addHubAnswersLocked(now time.Duration, direct map[string]capacity.Report) map[string]capacity.Report {
	if x.position.isHub {
		for _, zone := range x.hubSums.zoneSums(now) {
			capacity.AddReports(direct, zone.Answers)
		}
		return direct
	}
	sum := map[string]capacity.Report{}
	if rest := x.hubSums.best(restOfSiteName, now); rest != nil {
		capacity.AddReports(sum, rest.Answers)
	}
	return sum
}

// positionGrace is the time after a change of this entry's position during which
// the number of reachable entries does not fall: the entries that have to report
// to this one from now on need some time until their first message arrives.
const positionGrace = 1500 * time.Millisecond
