// Package spread implements a gossip protocol that replicates small versioned
// values (the document, the table of members, the view of the site) to all
// nodes.
//
// A node that receives a newer version forwards it at once to a few random peers
// (the fanout), each of which does the same, so the number of nodes reached is
// multiplied by the fanout in every round. Small values are pushed. For a larger
// value of a PullTopic only the version is announced; a peer that lacks that
// version pulls it once, as a delta if the topic supports deltas. In addition
// every node periodically compares versions with one random peer
// (anti-entropy), so that a node that missed all pushes catches up. The traffic
// per node does not depend on the number of nodes.
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

// Topic is one versioned value that is replicated to all nodes.
type Topic interface {
	// Version returns this node's version of the value, 0 if it has none.
	Version() int64
	// Encode returns the value and its version.
	Encode() (value []byte, version int64, err error)
	// Merge merges a value received from a peer into this node's value and
	// reports whether that changed it.
	Merge(value []byte) (isNewer bool, err error)
}

// PullTopic is a topic whose version determines its value, so a node that has
// the version also has the complete value. Large values of a PullTopic are
// announced by version and pulled; those of other topics are always pushed.
type PullTopic interface {
	Topic
	// EncodeSince returns the update from the given version (0 for none) to
	// the current one: the whole value, or a delta that Merge accepts at a node
	// that has the given version.
	EncodeSince(version int64) (value []byte, err error)
}

// Config holds the peers and the parameters of the protocol.
type Config struct {
	// Fanout is the number of random peers to which a new version is pushed.
	// Default 4.
	Fanout int
	// Interval is the average time between comparisons with a random peer.
	// Default 1 s.
	Interval time.Duration
	// Peers returns the other nodes. The gossiper shuffles the returned slice,
	// so every call must return a new one.
	Peers func() []peer.Node
}

const (
	defaultFanout   = 4
	defaultInterval = time.Second
	callTimeout     = 2 * time.Second
	// maxPushBytes is the largest value of a PullTopic that is pushed instead
	// of announced.
	maxPushBytes = 512
)

// Gossiper replicates topics. Topics must be added before Run is called.
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
	// receivedPushes queues pushed values to be merged.
	receivedPushes chan receivedPush
	// announcements queues announced versions to be pulled.
	announcements chan receivedPush

	mu sync.Mutex
	// lastPushed holds the last pushed version of each topic.
	lastPushed map[string]int64
}

// maxQueuedPushes is the capacity of each queue of received pushes and
// announcements. The periodic comparison transfers the values of dropped ones.
const maxQueuedPushes = 64

// receivedPush is a push together with its sender.
type receivedPush struct {
	from peer.Node
	push push
}

// push is the message that carries a value or, if Value is empty, announces a
// version.
type push struct {
	Topic   string `msgpack:"t"`
	Value   []byte `msgpack:"v,omitempty"`
	Version int64  `msgpack:"n,omitempty"`
}

// digest is the message that lists the versions a node has.
type digest struct {
	Versions map[string]int64 `msgpack:"v"`
	// Only, if not empty, limits the answer to this topic.
	Only string `msgpack:"o,omitempty"`
}

// update is the answer to a digest: the values that are newer at the answering
// node, by topic.
type update struct {
	Values map[string][]byte `msgpack:"v"`
	// Versions holds the versions at the answering node.
	Versions map[string]int64 `msgpack:"r"`
}

// New returns a gossiper that uses transport. It registers message handlers, so
// it must be called before the transport runs.
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

// Add registers a topic under a name, which must be the same at all nodes.
func (g *Gossiper) Add(name string, t Topic) {
	g.names = append(g.names, name)
	g.topics[name] = t
}

// NotifyChanged tells the gossiper that some topic may have a new version. It
// does not block.
func (g *Gossiper) NotifyChanged() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// Run pushes new versions, merges received ones and compares versions with peers
// until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return g.pullAnnounced(ctx) })
	group.Go(func() error { return g.runGossip(ctx) })
	return group.Wait()
}

// runGossip pushes new versions, merges pushed values and runs the periodic
// comparison.
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

// pushNewVersions pushes each topic whose version has increased since its last
// push to Fanout random peers.
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

// newPush returns a push with the value, or with only the version if peers
// should pull the value.
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

// markPushed records that version is being pushed. It returns false if this or a
// newer version has been pushed already.
func (g *Gossiper) markPushed(name string, version int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if version <= g.lastPushed[name] {
		return false
	}
	g.lastPushed[name] = version
	return true
}

// handlePush queues a received push. It drops the push if the queue is full.
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

// merge merges a value from a peer and, if it was newer, wakes runGossip to
// forward it.
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

// jitterFraction is the width of the random variation of the interval, as a
// fraction of the interval.
const jitterFraction = 0.2

// nextInterval returns the interval with random jitter.
func (g *Gossiper) nextInterval() time.Duration {
	jitter := jitterFraction * float64(g.cfg.Interval)
	return g.cfg.Interval + time.Duration((rand.Float64()-0.5)*jitter)
}
