// Package exchange distributes the spending, load and usage of each entry to the
// other entries of its site. Several times a second an entry sends its state: in
// a small site to all other entries, and in a large site to the hubs of its zone,
// which forward sums. All values are totals or states, so the next message makes
// up for a lost one.
package exchange

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"buckthornpick/internal/blame"
	"buckthornpick/internal/capacity"
	"buckthornpick/internal/clock"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/quota"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/rollout"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/usage"
	"buckthornpick/internal/wait"
)

const (
	// reportInterval is the mean time between the messages of an entry. The amount
	// by which an organisation can exceed its quota is what all entries admit in
	// this time.
	reportInterval = 200 * time.Millisecond
	// hubRoundsPerInterval is the number of rounds of a hub per reportInterval. A
	// hub sends its sums to the other hubs in each round, so that forwarding adds
	// little delay.
	hubRoundsPerInterval = 2
	// hubLagIntervals is the assumed maximum age of the spending of others in a large
	// site, in intervals. The maximum waits of the three messages on the way add up
	// to 3.75 intervals, but that is rare.
	hubLagIntervals = 3
	// usageEvery: one in so many messages holds the usage counts and the prefill
	// statistics, which change slowly.
	usageEvery = 2
	// answersEvery: one in so many of a hub's messages to the entries of its zone holds what
	// answers say of servers.
	answersEvery = 2
	// siteSpendingEvery: one in so many messages holds the spending of all entries,
	// which starting entries need.
	siteSpendingEvery = 3
)

// stateMessage is the state of one entry.
type stateMessage struct {
	// Prefill holds the entry's prefill statistics by service.
	Prefill map[string]relay.PrefillStats `msgpack:"k,omitempty"`
	// Run identifies the entry's process; see RunName.
	Run string `msgpack:"r"`
	// Spent is the entry's spending by organisation.
	Spent map[string]quota.SpendingReport `msgpack:"q,omitempty"`
	// Loads are by backend server.
	Loads map[string]relay.Load `msgpack:"l,omitempty"`
	Usage usage.WindowCounts    `msgpack:"w,omitempty"`
	// IsLeaving marks the last message of an entry that stops.
	IsLeaving bool `msgpack:"x,omitempty"`
	// Evidence is the digest of the entry's evidence against content that crashes
	// servers.
	Evidence uint64 `msgpack:"d,omitempty"`
	// Limits holds what the entry knows of limits that servers have named, by server.
	Limits map[string]relay.LimitReport `msgpack:"m,omitempty"`
	// Brittle holds the services whose servers are brittle, for an entry that has just
	// started: how many requests each may turn away in a second.
	Brittle map[string]float64 `msgpack:"t,omitempty"`
	// Answers are what the entry's recent answers say of servers, by server.
	Answers map[string]capacity.Report `msgpack:"c,omitempty"`
	// Rollouts holds the orders of roll-outs as the entry knows them, and what it has counted.
	Rollouts *rollout.Message `msgpack:"v,omitempty"`
}

// Config holds the dependencies and settings of an Exchange.
type Config struct {
	Transport *peer.Transport
	Entries   *follow.Entries
	Size      *follow.SiteSize
	Balancer  *relay.Balancer
	Quotas    *relay.Quotas
	Crashes   *blame.Tracker
	Origins   *relay.Origins
	Archive   Archive
	Counts    *usage.Counts
	// Rollouts and Board are nil if no roll-outs are carried out.
	Rollouts *rollout.Gate
	Board    *rollout.Board
	Clock    clock.Clock
	Log      *telemetry.Logger
	// UnregisteredGrace is how long an entry without a registration counts as part
	// of the site after its last message or registration.
	UnregisteredGrace time.Duration
}

// Exchange sends the state of this entry and merges that of the others. It
// implements relay.Peers and duty.Demand, and is safe for concurrent use.
type Exchange struct {
	Config
	run  string
	self peer.Node

	mu      sync.Mutex
	tracker *entryTracker
	site    quota.Site
	// position was last changed at positionedAt.
	position     position
	positionedAt time.Duration
	// hubTerms is how often this entry has become a hub.
	hubTerms int
	// acceptedAt is when the last message of each kind was accepted, and coveredUntil until
	// when messages of other kinds included what those of a kind report, which were not
	// accepted then.
	acceptedAt, coveredUntil [sourceKinds]time.Duration
	// hubHeardAt is when the last sums of the rest of the site arrived, accepted or not.
	hubHeardAt time.Duration
	// hubSums are the sums received from hubs. prefillByRun holds the prefill
	// statistics of entries of other zones by the run of the entry, which only a hub
	// receives.
	hubSums      latestSums
	prefillByRun map[string]receivedPrefill
	// evidence holds the last comparison of the evidence against content with that of
	// each other entry, by its ID.
	evidence map[string]*comparedEvidence
	// avoidedHelpers holds the entries that are not asked to make calls for this one, and
	// until when.
	avoidedHelpers map[helperKey]time.Duration
	// lastReportAt is when the last state or sums were accepted.
	lastReportAt time.Duration
}

// receivedPrefill holds the prefill statistics of an entry by service.
type receivedPrefill struct {
	receivedAt time.Duration
	prefill    map[string]relay.PrefillStats
}

// RunName returns the identifier of a run of an entry: one lifetime of its
// process.
func RunName(entry string, start time.Time) string {
	return entry + "/" + strconv.FormatInt(start.UnixNano(), 36)
}

// New returns an exchange for a run of this entry and registers its handlers with
// the transport.
func New(c Config, run string) *Exchange {
	x := &Exchange{
		Config: c, run: run, self: c.Transport.Self(),
		tracker: newEntryTracker(c.UnregisteredGrace), site: quota.Site{Entries: 1, Reachable: 1},
		hubSums: latestSums{}, prefillByRun: map[string]receivedPrefill{}, evidence: map[string]*comparedEvidence{}, avoidedHelpers: map[helperKey]time.Duration{},
	}
	c.Transport.HandleNotify(peer.RelayState, x.receiveState)
	c.Transport.HandleNotify(peer.RelaySums, x.receiveSums)
	c.Transport.HandleNotify(peer.RelayCrash, x.receiveCrash)
	c.Transport.HandleNotify(peer.RelayCleared, x.receiveCleared)
	c.Transport.HandleNotify(peer.RelayBrittle, x.receiveBrittle)
	c.Transport.HandleNotify(peer.RelayPlace, x.receivePlace)
	c.Transport.HandleNotify(peer.RelayEvidence, x.receiveEvidence)
	c.Transport.Handle(peer.RelayTrial, peer.HandleCall(x.serveTrial))
	c.Transport.Handle(peer.RelayPermit, peer.HandleCall(x.servePermit))
	c.Transport.HandleNotify(peer.RelayOrigins, x.receiveOrigins)
	c.Transport.Handle(peer.RelayOriginQuery, peer.HandleCall(x.serveOriginQuery))
	return x
}

// Run sends messages until ctx is done.
func (x *Exchange) Run(ctx context.Context) error {
	rounds := 1
	for n := 0; ; n++ {
		// Jitter keeps the entries of a site from sending all at once.
		period := reportInterval / time.Duration(rounds)
		if !wait.For(ctx, period/2+rand.N(period)) {
			return nil
		}
		p := x.updateSite()
		rounds = 1
		if p.isHub {
			rounds = hubRoundsPerInterval
			x.sendSums(p, n)
		}
		if n%rounds == 0 {
			x.sendTo(p.uplinks, peer.RelayState, x.buildState(n/rounds))
		}
	}
}

// buildState returns the n-th state message.
func (x *Exchange) buildState(n int) stateMessage {
	message := stateMessage{Run: x.run, Spent: x.Quotas.Reports(n%siteSpendingEvery == 0), Loads: x.Balancer.Loads(), Evidence: x.Crashes.Digest(), Limits: x.Balancer.LimitReports(), Brittle: x.Balancer.BrittleServices(), Answers: x.Balancer.AnswerReports(), Rollouts: x.ownRollouts()}
	if n%usageEvery == 0 {
		message.Usage = x.Counts.Local()
		message.Prefill = x.Balancer.PrefillStats()
	}
	return message
}

func (x *Exchange) sendTo(nodes []peer.Node, kind peer.Kind, message any) {
	for _, node := range nodes {
		x.send(node, kind, message)
	}
}

// send sends a message. Only the loss of a crash notice is logged: an entry that
// cannot be reached is detected by silenceTimeout.
func (x *Exchange) send(node peer.Node, kind peer.Kind, message any) {
	err := x.Transport.Notify(node, kind, message)
	if err != nil && kind != peer.RelayState && kind != peer.RelaySums {
		x.Log.Log(relay.EvNotifyFailed, "entry", node.ID, "kind", kind.String(), "error", err.Error())
	}
}

// receiveState merges the state of another entry.
func (x *Exchange) receiveState(from peer.Node, decode func(any) error) {
	var message stateMessage
	if decode(&message) != nil {
		return // the transport has logged it
	}
	if message.Usage != nil {
		x.Counts.Merge(message.Run, message.Usage)
	}
	x.compareEvidence(from, message.Run, message.Evidence)
	x.mergeLimits(from, message.Limits)
	x.learnBrittle(message.Brittle)
	x.learnRollouts(message.Rollouts)
	kind := sourceOwnZone
	if from.Zone != x.self.Zone {
		kind = sourceOtherZone
	}
	x.mu.Lock()
	if !x.position.accepts(kind) {
		x.mu.Unlock() // included in the sums of hubs
		return
	}
	now := x.Clock()
	isKnownRun := x.tracker.recordState(from.ID, now, &message)
	origin := quota.Origin{Name: from.ID, Run: message.Run, IsAlreadyCounted: x.recordReportLocked(now, kind), IsKnownRun: isKnownRun, CoveredUntil: x.coveredUntil[kind]}
	x.mu.Unlock()
	x.recordEntryEvidence(from.ID, message.Run, message.Rollouts)
	x.Quotas.Merge(origin, message.Spent)
}

// updateSite determines this entry's position, the number of entries and of
// reachable entries, and the loads of the others. It returns the position.
func (x *Exchange) updateSite() position {
	others := x.Entries.Others()
	registered := make([]string, len(others))
	for i, node := range others {
		registered[i] = node.ID
	}
	x.mu.Lock()
	now := x.Clock()
	site, changes := x.tracker.evaluate(now, registered, x.position.usesHubs)
	isPositionChanged := x.setPositionLocked(now, positionOf(x.self, others, x.sizeLocked(now, site.Entries), x.Transport.IsUnreachable))
	loads, answers := x.tracker.reachableLoads(), x.tracker.reachableAnswers()
	lag := reportInterval * 3 / 2 // the maximum wait of Run
	if x.position.usesHubs {
		site, loads = x.addHubSumsLocked(now, site, loads)
		answers = x.addHubAnswersLocked(now, answers)
		lag = hubLagIntervals * reportInterval
	}
	if now-x.positionedAt < positionGrace {
		site.Reachable = max(site.Reachable, x.site.Reachable)
	}
	site.Entries = x.Size.Estimate(site.Entries)
	site.Reachable = min(site.Reachable, site.Entries)
	if site.Reachable > 1 {
		site.Lag = lag
	}
	isSiteChanged := x.position.usesHubs && (site.Entries != x.site.Entries || site.Reachable != x.site.Reachable)
	x.site = site
	p := x.position
	x.forgetEvidenceLocked(others)
	x.mu.Unlock()
	x.logChanges(p, site, isPositionChanged, isSiteChanged, changes)
	x.Balancer.SetPeerCalls(loads)
	for _, change := range x.Balancer.SetAnswers(answers) {
		x.Log.Log(relay.EvCapacityChanged, "server", change.Server, "speed", change.Speed, "limit", change.Limit)
	}
	x.Balancer.SetEntryCount(1 + len(others))
	return p
}

// setPositionLocked sets the position and reports whether it has changed.
func (x *Exchange) setPositionLocked(now time.Duration, p position) bool {
	isChanged := !p.isEquivalent(x.position)
	if isChanged {
		x.positionedAt = now
	}
	if p.isHub && !x.position.isHub {
		x.hubTerms++
	}
	for kind := range sourceKinds {
		if p.accepts(kind) && !x.position.accepts(kind) {
			x.coveredUntil[kind] = x.coveredUntilLocked(now, kind)
		}
	}
	x.position = p
	return isChanged
}

// coveredUntilLocked returns when messages that cover those of a kind arrived last; 0 if they
// did not arrive less than coverageTTL ago.
func (x *Exchange) coveredUntilLocked(now time.Duration, kind sourceKind) time.Duration {
	latest := time.Duration(0)
	for _, other := range covering[kind] {
		latest = max(latest, x.acceptedAt[other])
	}
	if now-latest >= coverageTTL {
		return 0
	}
	return latest
}

// sizeLocked returns the number of entries that decides whether hubs are used: all that have
// been registered lately, which all entries of a site count alike while some of them restart.
// An entry that has just started goes by its hubs.
func (x *Exchange) sizeLocked(now time.Duration, entries int) int {
	entries = max(entries, 1+len(x.tracker.registered))
	if x.hubHeardAt > 0 && now-x.hubHeardAt < silenceTimeout {
		entries = max(entries, maxMeshEntries+1)
	}
	return entries
}

// IsHub reports whether this entry is a hub of a large site.
func (x *Exchange) IsHub() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.position.isHub
}

// HasHubs reports whether the site is large enough to use hubs.
func (x *Exchange) HasHubs() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.position.usesHubs
}

// KeepsSpending reports whether this entry copies the spending of the site to the store: the
// first of the reachable entries, or of the hubs, which know of each other soonest.
func (x *Exchange) KeepsSpending() bool {
	x.mu.Lock()
	p := x.position
	x.mu.Unlock()
	if p.usesHubs && !p.isHub {
		return false
	}
	for _, node := range slices.Concat(p.uplinks, p.remoteHubs) {
		if node.ID < x.self.ID && !x.Transport.IsUnreachable(node.ID) {
			return false
		}
	}
	return true
}

func (x *Exchange) logChanges(p position, site quota.Site, isPositionChanged, isSiteChanged bool, changes []reachabilityChange) {
	if isPositionChanged {
		x.Log.Log(relay.EvExchangePeersChanged, "large_site", p.usesHubs, "hub", p.isHub, "uplinks", idsOf(p.uplinks), "entries", site.Entries)
	}
	if isSiteChanged {
		x.Log.Log(relay.EvSiteSizeChanged, "entries", site.Entries, "reachable", site.Reachable)
	}
	for _, change := range changes {
		x.logReachability(change)
	}
}

func idsOf(nodes []peer.Node) []string {
	ids := make([]string, len(nodes))
	for i, n := range nodes {
		ids[i] = n.ID
	}
	return ids
}

func (x *Exchange) logReachability(change reachabilityChange) {
	if change.isReachable {
		x.Log.Log(relay.EvEntryReachable, "entry", change.id)
		return
	}
	x.Log.Log(relay.EvEntryUnreachable, "entry", change.id, "age_ms", change.age.Milliseconds())
}

// Site implements relay.Peers.
func (x *Exchange) Site() quota.Site {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.site
}

// PrefillStatsByEntry returns the prefill statistics of all entries for a service,
// by the ID or the run of the entry. In a large site it is complete only on a hub.
func (x *Exchange) PrefillStatsByEntry(service string) map[string]relay.PrefillStats {
	statsByEntry := map[string]relay.PrefillStats{x.run: x.Balancer.PrefillStats()[service]}
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, received := range x.tracker.states {
		if stats, ok := received.prefill[service]; ok {
			statsByEntry[id] = stats
		}
	}
	now := x.Clock()
	for run, received := range x.prefillByRun {
		if now-received.receivedAt >= x.UnregisteredGrace {
			delete(x.prefillByRun, run)
		} else if stats, ok := received.prefill[service]; ok {
			statsByEntry[run] = stats
		}
	}
	return statsByEntry
}

// flushDelay is how long Flush waits for the last message to be sent.
const flushDelay = 100 * time.Millisecond

// Flush sends the final state of this entry, marked as leaving, before a stop.
func (x *Exchange) Flush() {
	last := x.buildState(0)
	last.IsLeaving = true
	x.mu.Lock()
	uplinks := x.position.uplinks
	x.mu.Unlock()
	x.sendTo(uplinks, peer.RelayState, last)
	time.Sleep(flushDelay)
}
