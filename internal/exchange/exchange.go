// Package exchange keeps the entries of a site informed of each other: several
// times a second each reports its totals and loads, to the others of a small site
// and to the hubs of its zone in a large one. All values are totals or states, so
// that a lost message is made good by the next one.
package exchange

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/follow"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/quota"
	"buckthornpick/internal/relay"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/usage"
	"buckthornpick/internal/wait"
)

const (
	// interval between messages: what an organisation spends beyond its quota is
	// what all entries take in this time.
	interval = 200 * time.Millisecond
	// hubRounds is the number of rounds of a hub in the time between its messages:
	// each goes to the other hubs, so that the way by hubs takes little longer.
	hubRounds = 2
	// treeLag is how old the spending of others may be, in intervals. The longest
	// waits of the three messages add up to 3.75, which is rare.
	treeLag = 3
	// usageEvery is the number of messages for each one that carries counts of
	// usage, which change slowly.
	usageEvery = 2
	// knownEvery is the number of messages for each one that informs starting
	// entries the spending of all.
	knownEvery = 3
)

// state is one message.
type state struct {
	// Work is the entry's work by service.
	Work  map[string]relay.PrefillStats   `msgpack:"k,omitempty"`
	Run   string                          `msgpack:"r"`
	Spent map[string]quota.SpendingReport `msgpack:"q,omitempty"`
	Loads map[string]relay.Load           `msgpack:"l,omitempty"`
	Usage usage.WindowCounts              `msgpack:"w,omitempty"`
	// IsLeaving marks the last message of an entry that stops.
	IsLeaving bool `msgpack:"x,omitempty"`
}

// cleared reports that a content was answered.
type cleared struct {
	Content uint64 `msgpack:"c"`
}

// Config is what an exchange works with.
type Config struct {
	Transport *peer.Transport
	Entries   *follow.Entries
	Size      *follow.SiteSize
	Balancer  *relay.Balancer
	Quotas    *relay.Quotas
	Crashes   *relay.CrashTracker
	Counts    *usage.Counts
	Clock     clock.Clock
	Log       *telemetry.Logger
	// MayServe is how long the spending of an entry without a registration counts
	// after the entry was last heard.
	UnregisteredGrace time.Duration
}

// Exchange implements relay.Peers. It is safe for concurrent use.
type Exchange struct {
	Config
	run  string
	self peer.Node

	mu     sync.Mutex
	others *attendance
	site   quota.Site
	// place is this entry's since placedAt.
	place    position
	placedAt time.Duration
	// sums are what hubs tell, works the work of entries of other zones by run.
	sums  summary
	works map[string]heardWork
	// heardAt is when a hub or, for a hub, an entry of its zone was last heard.
	heardAt time.Duration
}

// heardWork is an entry's work by service.
type heardWork struct {
	at   time.Duration
	work map[string]relay.PrefillStats
}

// RunName names a run of an entry.
func RunName(entry string, start time.Time) string {
	return entry + "/" + strconv.FormatInt(start.UnixNano(), 36)
}

// New returns an exchange for a run and registers its handlers with the
// transport.
func New(c Config, run string) *Exchange {
	x := &Exchange{
		Config: c, run: run, self: c.Transport.Self(),
		others: newAttendance(c.UnregisteredGrace), site: quota.Site{Entries: 1, Reachable: 1},
		sums: summary{}, works: map[string]heardWork{},
	}
	c.Transport.HandleNotify(peer.RelayState, x.receive)
	c.Transport.HandleNotify(peer.RelaySums, x.receiveSums)
	c.Transport.HandleNotify(peer.RelayCrash, x.receiveCrash)
	c.Transport.HandleNotify(peer.RelayCleared, x.receiveCleared)
	return x
}

// Run sends messages until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	rounds := 1
	for n := 0; ; n++ {
		// Spread, so that the entries of a site do not all send at once.
		every := interval / time.Duration(rounds)
		if !wait.For(ctx, every/2+rand.N(every)) {
			return nil
		}
		p := x.judge()
		rounds = 1
		if p.isHub {
			rounds = hubRounds
			x.sendSums(p, n)
		}
		if n%rounds == 0 {
			x.sendTo(p.uplinks, peer.RelayState, x.message(n/rounds))
		}
	}
}

// message returns the n-th message.
func (x *Exchange) message(n int) state {
	message := state{Run: x.run, Spent: x.Quotas.Reports(n%knownEvery == 0), Loads: x.Balancer.Loads()}
	if n%usageEvery == 0 {
		message.Usage = x.Counts.Local()
		message.Work = x.Balancer.PrefillStats()
	}
	return message
}

func (x *Exchange) sendTo(nodes []peer.Node, kind peer.Kind, message any) {
	for _, node := range nodes {
		x.send(node, kind, message)
	}
}

// send sends a message. An entry that cannot be reached is seen by its silence,
// so that only the loss of marks is logged.
func (x *Exchange) send(node peer.Node, kind peer.Kind, message any) {
	err := x.Transport.Notify(node, kind, message)
	if err != nil && kind != peer.RelayState && kind != peer.RelaySums {
		x.Log.Log(relay.EvNotifyFailed, "entry", node.ID, "kind", kind.String(), "error", err.Error())
	}
}

func (x *Exchange) receive(from peer.Node, decode func(any) error) {
	var message state
	if decode(&message) != nil {
		return // the transport has logged it
	}
	if message.Usage != nil {
		x.Counts.Merge(message.Run, message.Usage)
	}
	x.mu.Lock()
	if x.place.isTree && (!x.place.isHub || from.Zone != x.self.Zone) {
		x.mu.Unlock() // told by sums
		return
	}
	now := x.Clock()
	isKnown := x.others.heard(from.ID, now, &message)
	isCovered := x.noteHeardLocked(now)
	x.mu.Unlock()
	x.Quotas.Merge(quota.Origin{Name: from.ID, Run: message.Run, IsAlreadyCounted: isCovered, IsKnownRun: isKnown}, message.Spent)
}

// judge places this entry, decides which others are in touch, and sums their
// loads.
func (x *Exchange) judge() position {
	others := x.Entries.Others()
	registered := make([]string, len(others))
	for i, node := range others {
		registered[i] = node.ID
	}
	x.mu.Lock()
	now := x.Clock()
	site, changes := x.others.judge(now, registered, x.place.isTree)
	isMoved := x.moveLocked(now, positionOf(x.self, others, site.Entries, x.Transport.IsUnreachable))
	loads := x.others.loads()
	lag := interval * 3 / 2 // Run spreads the messages by so much
	if x.place.isTree {
		site, loads = x.judgeTreeLocked(now, site, loads)
		lag = treeLag * interval
	}
	if now-x.placedAt < regroupTime {
		site.Reachable = max(site.Reachable, x.site.Reachable)
	}
	site.Entries = x.Size.Estimate(site.Entries)
	site.Reachable = min(site.Reachable, site.Entries)
	if site.Reachable > 1 {
		site.Lag = lag
	}
	isChanged := x.place.isTree && (site.Entries != x.site.Entries || site.Reachable != x.site.Reachable)
	x.site = site
	place := x.place
	x.mu.Unlock()
	x.logJudgement(place, site, isMoved, isChanged, changes)
	x.Balancer.SetPeerCalls(loads)
	x.Balancer.SetEntryCount(1 + len(others))
	return place
}

// moveLocked takes a new place and reports whether it differs.
func (x *Exchange) moveLocked(now time.Duration, p position) bool {
	isMoved := !p.isSame(x.place)
	if isMoved {
		x.placedAt = now
	}
	x.place = p
	return isMoved
}

// IsHub reports whether this entry is a hub of a large site.
func (x *Exchange) IsHub() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.place.isHub
}

// IsLarge reports whether the site has hubs.
func (x *Exchange) HasHubs() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.place.isTree
}

func (x *Exchange) logJudgement(p position, site quota.Site, isMoved, isChanged bool, changes []touch) {
	if isMoved {
		x.Log.Log(relay.EvExchangePeersChanged, "large_site", p.isTree, "hub", p.isHub, "uplinks", idsOf(p.uplinks), "entries", site.Entries)
	}
	if isChanged {
		x.Log.Log(relay.EvSiteSizeChanged, "entries", site.Entries, "reachable", site.Reachable)
	}
	for _, t := range changes {
		x.logTouch(t)
	}
}

func idsOf(nodes []peer.Node) []string {
	ids := make([]string, len(nodes))
	for i, n := range nodes {
		ids[i] = n.ID
	}
	return ids
}

func (x *Exchange) logTouch(t touch) {
	if t.inTouch {
		x.Log.Log(relay.EvEntryReachable, "entry", t.id)
		return
	}
	x.Log.Log(relay.EvEntryUnreachable, "entry", t.id, "age_ms", t.age.Milliseconds())
}

// Site implements relay.Peers.
func (x *Exchange) Site() quota.Site {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.site
}

// Works returns the work of all entries for a service, by entry or its run; only
// a hub knows it.
func (x *Exchange) WorkByEntry(service string) map[string]relay.PrefillStats {
	works := map[string]relay.PrefillStats{x.run: x.Balancer.PrefillStats()[service]}
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, known := range x.others.states {
		if w, ok := known.work[service]; ok {
			works[id] = w
		}
	}
	now := x.Clock()
	for run, known := range x.works {
		if now-known.at >= x.UnregisteredGrace {
			delete(x.works, run)
		} else if w, ok := known.work[service]; ok {
			works[run] = w
		}
	}
	return works
}

// NotifyCrash implements relay.Peers.
func (x *Exchange) NotifyCrash(c relay.Crash) { x.spread(peer.RelayCrash, c, peer.Node{}) }

// NotifyCleared implements relay.Peers.
func (x *Exchange) NotifyCleared(content uint64) {
	x.spread(peer.RelayCleared, cleared{content}, peer.Node{})
}

// spread sends a mark to those that this entry exchanges messages with, but not
// back. From is where it came from; an entry's own marks come from nowhere.
func (x *Exchange) spread(kind peer.Kind, mark any, from peer.Node) {
	x.mu.Lock()
	p := x.place
	x.mu.Unlock()
	isOwn := from.ID == ""
	if isOwn {
		x.sendTo(p.uplinks, kind, mark)
	}
	if !p.isHub {
		return
	}
	if isOwn || from.Zone == x.self.Zone {
		x.sendTo(p.remoteHubs, kind, mark)
	}
	for _, member := range x.members(p) {
		if member.ID != from.ID {
			x.send(member, kind, mark)
		}
	}
}

func (x *Exchange) receiveCrash(from peer.Node, decode func(any) error) {
	var c relay.Crash
	if decode(&c) != nil {
		return
	}
	n, isNews := x.Crashes.Record(c)
	if !isNews {
		return
	}
	x.Log.Log(relay.EvContentCrashed, "content", c.Fingerprint, "server", c.Server, "crashes", n, "told_by", from.ID)
	x.spread(peer.RelayCrash, c, from)
}

func (x *Exchange) receiveCleared(from peer.Node, decode func(any) error) {
	var c cleared
	if decode(&c) == nil && x.Crashes.Clear(c.Content) {
		x.spread(peer.RelayCleared, c, from)
	}
}

// flushTime is how long the last message gets to leave the process.
const flushTime = 100 * time.Millisecond

// Flush sends the last totals to the other entries before a stop.
func (x *Exchange) Flush() {
	last := x.message(0)
	last.IsLeaving = true
	x.mu.Lock()
	uplinks := x.place.uplinks
	x.mu.Unlock()
	x.sendTo(uplinks, peer.RelayState, last)
	time.Sleep(flushTime)
}
