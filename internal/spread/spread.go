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
	pushBytes = 512
)

// Spreader passes topics on. Topics are added before Run.
type Gossiper struct {
	cfg       Config
	transport *peer.Transport
	log       *telemetry.Logger
	pushed    metrics.Counter
	pulled    metrics.Counter
	bytes     metrics.Counter

	names  []string
	topics map[string]Topic
	wake   chan struct{}
	// received holds pushes that wait to be taken in.
	received chan receivedPush
	// announced holds announcements that wait for their pull.
	announced chan receivedPush

	mu     sync.Mutex
	pushes map[string]int64
}

// maxReceived bounds the pushes that wait; the regular comparison makes up for
// one that is dropped.
const maxReceived = 64

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
	s := &Gossiper{
		cfg: cfg, transport: transport, log: log,
		pushed:   metrics.GetOrRegisterCounter("spread_pushes_total", registry),
		pulled:   metrics.GetOrRegisterCounter("spread_comparisons_total", registry),
		bytes:    metrics.GetOrRegisterCounter("spread_sent_bytes_total", registry),
		topics:   map[string]Topic{},
		wake:     make(chan struct{}, 1),
		received: make(chan receivedPush, maxReceived), announced: make(chan receivedPush, maxReceived),
		pushes: map[string]int64{},
	}
	transport.HandleNotify(peer.Gossip, s.receivePush)
	transport.Handle(peer.GossipCompare, s.answerDigest)
	return s
}

// Add registers a topic under a name that all nodes use.
func (s *Gossiper) Add(name string, t Topic) {
	s.names = append(s.names, name)
	s.topics[name] = t
}

// Changed tells the spreader that a topic may have a new version.
func (s *Gossiper) NotifyChanged() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run tells new versions and compares with peers until ctx ends.
func (s *Gossiper) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { return s.pullAnnounced(ctx) })
	g.Go(func() error { return s.tell(ctx) })
	return g.Wait()
}

func (s *Gossiper) tell(ctx context.Context) error {
	timer := time.NewTimer(s.nextInterval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
			s.pushNews()
		case r := <-s.received:
			s.observe(r.from, r.push.Topic, r.push.Value)
		case <-timer.C:
			s.pushNews()
			s.compareWithOne(ctx)
			timer.Reset(s.nextInterval())
		}
	}
}

// pushNews pushes each topic whose version has risen since its last push.
func (s *Gossiper) pushNews() {
	for _, name := range s.names {
		t := s.topics[name]
		if v := t.Version(); !s.claimPush(name, v) {
			continue
		}
		value, version, err := t.Encode()
		if err != nil {
			s.log.Log(EvEncodeFailed, "topic", name, "error", err)
			continue
		}
		p := s.newPush(name, value, version)
		for _, to := range s.randomPeers(s.cfg.Fanout) {
			s.send(to, p)
		}
	}
}

// newPush holds the value, or its version if it is to be pulled.
func (s *Gossiper) newPush(name string, value []byte, version int64) push {
	if _, isPulled := s.topics[name].(PullTopic); isPulled && len(value) > pushBytes {
		return push{Topic: name, Version: version}
	}
	return push{Topic: name, Value: value}
}

func (s *Gossiper) send(to peer.Node, p push) {
	if err := s.transport.Notify(to, peer.Gossip, p); err != nil {
		s.log.Log(EvPushFailed, "topic", p.Topic, "peer", to.ID, "error", err)
		return
	}
	s.pushed.Inc(1)
	s.bytes.Inc(int64(len(p.Value)))
}

// claimPush reports whether version has not been pushed yet, and marks it.
func (s *Gossiper) claimPush(name string, version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.pushes[name] {
		return false
	}
	s.pushes[name] = version
	return true
}

func (s *Gossiper) receivePush(from peer.Node, decode func(any) error) {
	var p push
	if err := decode(&p); err != nil {
		s.log.Log(EvBadValue, "peer", from.ID, "error", err)
		return
	}
	queue := s.received
	if len(p.Value) == 0 {
		queue = s.announced
	}
	select {
	case queue <- receivedPush{from: from, push: p}:
	default:
		s.log.Log(EvPushDropped, "peer", from.ID, "topic", p.Topic)
	}
}

func (s *Gossiper) observe(from peer.Node, name string, value []byte) {
	t, ok := s.topics[name]
	if !ok {
		return
	}
	isNews, err := t.Merge(value)
	if err != nil {
		s.log.Log(EvBadValue, "peer", from.ID, "topic", name, "error", err)
		return
	}
	if isNews {
		s.NotifyChanged()
	}
}

func (s *Gossiper) versions() map[string]int64 {
	out := make(map[string]int64, len(s.names))
	for _, name := range s.names {
		out[name] = s.topics[name].Version()
	}
	return out
}

func (s *Gossiper) randomPeers(n int) []peer.Node {
	peers := s.cfg.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

const jitterShare = 0.2

func (s *Gossiper) nextInterval() time.Duration {
	spread := jitterShare * float64(s.cfg.Interval)
	return s.cfg.Interval + time.Duration((rand.Float64()-0.5)*spread)
}
