// Package exchange keeps the entries of a site informed of each other: several
// times a second each reports its totals and loads to the others. All values are
// totals or states, so that a lost message is made good by the next one.
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
	// maxInterval and entriesPerInterval bound the messages of large sites: an
	// entry sends and takes no more than those of so many entries at interval, but
	// quotas do not hold with rarer messages than those of maxInterval.
	maxInterval        = 400 * time.Millisecond
	entriesPerInterval = 16
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
	Work  map[string]relay.Work           `msgpack:"k,omitempty"`
	Run   string                          `msgpack:"r"`
	Spent map[string]quota.SpendingReport `msgpack:"q,omitempty"`
	Loads map[string]relay.Load           `msgpack:"l,omitempty"`
	Usage usage.Windows                   `msgpack:"w,omitempty"`
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
	Crashes   *relay.Crashes
	Counts    *usage.Counts
	Clock     clock.Clock
	Log       *telemetry.Logger
	// MayServe is how long the spending of an entry without a registration counts
	// after the entry was last heard.
	MayServe time.Duration
}

// Exchange implements relay.Peers. It is safe for concurrent use.
type Exchange struct {
	Config
	run string

	mu     sync.Mutex
	others *attendance
	site   quota.Site
}

// RunName names a run of an entry.
func RunName(entry string, start time.Time) string {
	return entry + "/" + strconv.FormatInt(start.UnixNano(), 36)
}

// New returns an exchange for a run and registers its handlers with the
// transport.
func New(c Config, run string) *Exchange {
	x := &Exchange{
		Config: c, run: run,
		others: newAttendance(c.MayServe), site: quota.Site{Entries: 1, Reachable: 1},
	}
	c.Transport.HandleNotify(peer.RelayState, x.receive)
	c.Transport.HandleNotify(peer.RelayCrash, x.receiveCrash)
	c.Transport.HandleNotify(peer.RelayCleared, x.receiveCleared)
	return x
}

// Run sends messages until ctx ends.
func (x *Exchange) Run(ctx context.Context) error {
	for n := 0; ; n++ {
		every := intervalFor(len(x.Entries.Others()))
		// Spread, so that the entries of a large site do not all send at once.
		if !wait.For(ctx, every/2+rand.N(every)) {
			return nil
		}
		x.judge(every)
		x.broadcast(x.message(n))
	}
}

// intervalFor returns the mean time between messages to so many other entries.
func intervalFor(others int) time.Duration {
	return min(max(interval, interval*time.Duration(others)/entriesPerInterval), maxInterval)
}

// message returns the n-th message.
func (x *Exchange) message(n int) state {
	message := state{Run: x.run, Spent: x.Quotas.Reports(n%knownEvery == 0), Loads: x.Balancer.Loads()}
	if n%usageEvery == 0 {
		message.Usage = x.Counts.Own()
		message.Work = x.Balancer.Works()
	}
	return message
}

func (x *Exchange) broadcast(message state) { x.notify(peer.RelayState, message) }

// notify sends a message to every other entry. One that cannot be reached is
// seen by its silence.
func (x *Exchange) notify(kind peer.Kind, message any) {
	for _, node := range x.Entries.Others() {
		if err := x.Transport.Notify(node, kind, message); err != nil && kind != peer.RelayState {
			x.Log.Log(relay.EvNotifyFailed, "entry", node.ID, "kind", kind.String(), "error", err.Error())
		}
	}
}

func (x *Exchange) receive(from peer.Node, decode func(any) error) {
	var message state
	if decode(&message) != nil {
		return // the transport has logged it
	}
	x.Quotas.Merge(message.Run, message.Spent)
	if message.Usage != nil {
		x.Counts.Merge(message.Run, message.Usage)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.others.heard(from.ID, x.Clock(), &message)
}

// judge decides which entries are in touch and sums their loads; every is the
// time between messages.
func (x *Exchange) judge(every time.Duration) {
	others := x.Entries.Others()
	registered := make([]string, len(others))
	for i, node := range others {
		registered[i] = node.ID
	}
	x.mu.Lock()
	site, changes := x.others.judge(x.Clock(), registered)
	site.Entries = x.Size.Count(site.Entries)
	if site.Reachable > 1 {
		site.Lag = every * 3 / 2 // Run spreads the messages by so much
	}
	x.site = site
	loads := x.others.loads()
	x.mu.Unlock()
	for _, t := range changes {
		x.logTouch(t)
	}
	x.Balancer.SetOthers(loads)
	x.Balancer.SetEntries(1 + len(others))
}

func (x *Exchange) logTouch(t touch) {
	if t.inTouch {
		x.Log.Log(relay.EvBackInTouch, "entry", t.id)
		return
	}
	x.Log.Log(relay.EvOutOfTouch, "entry", t.id, "age_ms", t.age.Milliseconds())
}

// Site implements relay.Peers.
func (x *Exchange) Site() quota.Site {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.site
}

// Works returns the work of all entries for a service, by entry.
func (x *Exchange) Works(service string) map[string]relay.Work {
	works := map[string]relay.Work{x.run: x.Balancer.Works()[service]}
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, known := range x.others.states {
		if w, ok := known.work[service]; ok {
			works[id] = w
		}
	}
	return works
}

// NotifyCrash implements relay.Peers.
func (x *Exchange) NotifyCrash(c relay.Crash) { x.notify(peer.RelayCrash, c) }

// NotifyCleared implements relay.Peers.
func (x *Exchange) NotifyCleared(content uint64) { x.notify(peer.RelayCleared, cleared{content}) }

func (x *Exchange) receiveCrash(from peer.Node, decode func(any) error) {
	var c relay.Crash
	if decode(&c) != nil {
		return
	}
	n := x.Crashes.Note(c)
	x.Log.Log(relay.EvCrashed, "content", c.Content, "server", c.Server, "crashes", n, "told_by", from.ID)
}

func (x *Exchange) receiveCleared(_ peer.Node, decode func(any) error) {
	var c cleared
	if decode(&c) == nil {
		x.Crashes.Answered(c.Content)
	}
}

// flushTime is how long the last message gets to leave the process.
const flushTime = 100 * time.Millisecond

// Flush sends the last totals to the other entries before a stop.
func (x *Exchange) Flush() {
	last := x.message(0)
	last.IsLeaving = true
	x.broadcast(last)
	time.Sleep(flushTime)
}
