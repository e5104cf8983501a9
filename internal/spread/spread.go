// Package spread passes small versioned values (the document, the table of
// members, the view of the site) from node to node.
//
// A node that learns a newer version tells a few random peers at once, and
// each of them does the same; the number of nodes reached grows by the fanout
// with every step. A small value is pushed. Of a larger one of a PullTopic only
// the version is announced, and a peer that lacks it pulls it once, as a delta
// if the topic has one. Once per interval a node also compares versions
// with one random peer, so that a node that missed everything catches up.
// Traffic per node is constant in the number of nodes.
package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/peer"
	"buckthornpick/internal/telemetry"
)

// Topic is one versioned value.
type Topic interface {
	// Version returns the version this node has, 0 for none.
	Version() int64
	// Encode returns the value and its version.
	Encode() (value []byte, version int64, err error)
	// Observe takes a value from a peer; it reports whether it was news.
	Merge(value []byte) (isNews bool, err error)
}

// PullTopic is a topic whose version determines its value, so that a node
// that has the version lacks nothing. Only the versions of its larger values
// are announced.
type PullTopic interface {
	Topic
	// EncodeSince returns what leads from the version, 0 for none, to the
	// present one: the whole value or a delta that Observe takes at a node of
	// that version.
	EncodeSince(version int64) (value []byte, err error)
}

// Config holds peers and intervals.
type Config struct {
	// Fanout is the number of peers a new version is pushed to. Default 4.
	Fanout int
	// Interval is the time between comparisons with a random peer. Default 1 s.
	Interval time.Duration
	// Peers returns the other nodes.
	Peers func() []peer.Node
}

const (
	defaultFanout   = 4
	defaultInterval = time.Second
	callTimeout     = 2 * time.Second
	// pushBytes is the largest value that is pushed and not announced.
	maxPushBytes = 512
)

// Spreader passes topics on. Topics are added before Run.
type Gossiper struct {
	cfg         Config
	transport   *peer.Transport
	log         *telemetry.Logger
	pushed      metrics.Counter
	comparisons metrics.Counter
	sentBytes   metrics.Counter

	names   []string
	topics  map[string]Topic
	changed chan struct{}
	// received holds pushes that wait to be taken in.
	receivedPushes chan receivedPush
	// announced holds announcements that wait for their pull.
	announcements chan receivedPush

	mu         sync.Mutex
	lastPushed map[string]int64
}

// maxReceived bounds the pushes that wait; the regular comparison makes up for
// one that is dropped.
const maxQueuedPushes = 64

type receivedPush struct {
	from peer.Node
	push push
}

// push carries a value to a peer, or announces its version if Value is empty.
type push struct {
	Topic   string `msgpack:"t"`
	Value   []byte `msgpack:"v,omitempty"`
	Version int64  `msgpack:"n,omitempty"`
}

// digest tells the versions that a node has.
type digest struct {
	Versions map[string]int64 `msgpack:"v"`
	// Only asks for this topic alone; empty asks for all.
	Only string `msgpack:"o,omitempty"`
}

// update answers a digest with the values that are newer.
type update struct {
	Values map[string][]byte `msgpack:"v"`
	// Versions are those of the answering node.
	Versions map[string]int64 `msgpack:"r"`
}

// New returns a spreader that uses transport. It must be called before the
// transport runs.
func New(cfg Config, transport *peer.Transport, log *telemetry.Logger, registry metrics.Registry) *Gossiper {
	if cfg.Fanout == 0 {
		cfg.Fanout = defaultFanout
	}
	if cfg.Interval == 0 {
		cfg.Interval = defaultInterval
	}
	g := &Gossiper{
		cfg: cfg, transport: transport, log: log,
		pushed:         metrics.GetOrRegisterCounter("spread_pushes_total", registry),
		comparisons:    metrics.GetOrRegisterCounter("spread_comparisons_total", registry),
		sentBytes:      metrics.GetOrRegisterCounter("spread_sent_bytes_total", registry),
		topics:         map[string]Topic{},
		changed:        make(chan struct{}, 1),
		receivedPushes: make(chan receivedPush, maxQueuedPushes), announcements: make(chan receivedPush, maxQueuedPushes),
		lastPushed: map[string]int64{},
	}
	transport.HandleNotify(peer.Gossip, g.handlePush)
	transport.Handle(peer.GossipCompare, g.handleDigest)
	return g
}

// Add registers a topic under a name that all nodes use.
func (g *Gossiper) Add(name string, t Topic) {
	g.names = append(g.names, name)
	g.topics[name] = t
}

// Changed tells the spreader that a topic may have a new version.
func (g *Gossiper) NotifyChanged() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Run tells new versions and compares with peers until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return g.pullAnnounced(ctx) })
	group.Go(func() error { return g.runGossip(ctx) })
	return group.Wait()
}

func (g *Gossiper) runGossip(ctx context.Context) error {
	timer := time.NewTimer(g.nextInterval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.changed:
			g.pushNewVersions()
		case r := <-g.receivedPushes:
			g.merge(r.from, r.push.Topic, r.push.Value)
		case <-timer.C:
			g.pushNewVersions()
			g.compareWithRandomPeer(ctx)
			timer.Reset(g.nextInterval())
		}
	}
}

// pushNews pushes each topic whose version has risen since its last push.
func (g *Gossiper) pushNewVersions() {
	for _, name := range g.names {
		t := g.topics[name]
		if v := t.Version(); !g.markPushed(name, v) {
			continue
		}
		value, version, err := t.Encode()
		if err != nil {
			g.log.Log(EvEncodeFailed, "topic", name, "error", err)
			continue
		}
		p := g.newPush(name, value, version)
		for _, to := range g.randomPeers(g.cfg.Fanout) {
			g.send(to, p)
		}
	}
}

// newPush holds the value, or its version if it is to be pulled.
func (g *Gossiper) newPush(name string, value []byte, version int64) push {
	if _, isPulled := g.topics[name].(PullTopic); isPulled && len(value) > maxPushBytes {
		return push{Topic: name, Version: version}
	}
	return push{Topic: name, Value: value}
}

func (g *Gossiper) send(to peer.Node, p push) {
	if err := g.transport.Notify(to, peer.Gossip, p); err != nil {
		g.log.Log(EvPushFailed, "topic", p.Topic, "peer", to.ID, "error", err)
		return
	}
	g.pushed.Inc(1)
	g.sentBytes.Inc(int64(len(p.Value)))
}

// claimPush reports whether version has not been pushed yet, and marks it.
func (g *Gossiper) markPushed(name string, version int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version <= g.lastPushed[name] {
		return false
	}
	g.lastPushed[name] = version
	return true
}

func (g *Gossiper) handlePush(from peer.Node, decode func(any) error) {
	var p push
	if err := decode(&p); err != nil {
		g.log.Log(EvBadValue, "peer", from.ID, "error", err)
		return
	}
	queue := g.receivedPushes
	if len(p.Value) == 0 {
		queue = g.announcements
	}
	select {
	case queue <- receivedPush{from: from, push: p}:
	default:
		g.log.Log(EvPushDropped, "peer", from.ID, "topic", p.Topic)
	}
}

func (g *Gossiper) merge(from peer.Node, name string, value []byte) {
	t, ok := g.topics[name]
	if !ok {
		return
	}
	isNewer, err := t.Merge(value)
	if err != nil {
		g.log.Log(EvBadValue, "peer", from.ID, "topic", name, "error", err)
		return
	}
	if isNewer {
		g.NotifyChanged()
	}
}

func (g *Gossiper) versions() map[string]int64 {
	out := make(map[string]int64, len(g.names))
	for _, name := range g.names {
		out[name] = g.topics[name].Version()
	}
	return out
}

func (g *Gossiper) randomPeers(n int) []peer.Node {
	peers := g.cfg.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

const jitterFraction = 0.2

func (g *Gossiper) nextInterval() time.Duration {
	jitter := jitterFraction * float64(g.cfg.Interval)
	return g.cfg.Interval + time.Duration((rand.Float64()-0.5)*jitter)
}
