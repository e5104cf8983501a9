// Package spread passes small versioned values (the document, the table of
// members, the view of the site) from node to node.
//
// A node that learns a newer version pushes it to a few random peers at once,
// and each of them does the same; the number of nodes reached grows by the
// fanout with every step. Once per interval a node also compares versions with
// one random peer, so that a node that missed every push catches up. Traffic
// per node is constant in the number of nodes.
package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

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
	Observe(value []byte) (isNews bool, err error)
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
)

// Spreader passes topics on. Topics are added before Run.
type Spreader struct {
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

// push carries a value to a peer.
type push struct {
	Topic string `msgpack:"t"`
	Value []byte `msgpack:"v"`
}

// digest tells the versions that a node has.
type digest struct {
	Versions map[string]int64 `msgpack:"v"`
}

// update answers a digest with the values that are newer.
type update struct {
	Values map[string][]byte `msgpack:"v"`
	// Versions are those of the answering node.
	Versions map[string]int64 `msgpack:"r"`
}

// New returns a spreader that uses transport. It must be called before the
// transport runs.
func New(cfg Config, transport *peer.Transport, log *telemetry.Logger, registry metrics.Registry) *Spreader {
	if cfg.Fanout == 0 {
		cfg.Fanout = defaultFanout
	}
	if cfg.Interval == 0 {
		cfg.Interval = defaultInterval
	}
	s := &Spreader{
		cfg: cfg, transport: transport, log: log,
		pushed:   metrics.GetOrRegisterCounter("spread_pushes_total", registry),
		pulled:   metrics.GetOrRegisterCounter("spread_comparisons_total", registry),
		bytes:    metrics.GetOrRegisterCounter("spread_sent_bytes_total", registry),
		topics:   map[string]Topic{},
		wake:     make(chan struct{}, 1),
		received: make(chan receivedPush, maxReceived),
		pushes:   map[string]int64{},
	}
	transport.HandleNotify(peer.Gossip, s.receivePush)
	transport.Handle(peer.GossipCompare, s.answerDigest)
	return s
}

// Add registers a topic under a name that all nodes use.
func (s *Spreader) Add(name string, t Topic) {
	s.names = append(s.names, name)
	s.topics[name] = t
}

// Changed tells the spreader that a topic may have a new version.
func (s *Spreader) Changed() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run pushes new versions and compares with peers until ctx ends.
func (s *Spreader) Run(ctx context.Context) error {
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
func (s *Spreader) pushNews() {
	for _, name := range s.names {
		t := s.topics[name]
		if v := t.Version(); !s.claimPush(name, v) {
			continue
		}
		value, _, err := t.Encode()
		if err != nil {
			s.log.Log(EvEncodeFailed, "topic", name, "error", err)
			continue
		}
		for _, p := range s.randomPeers(s.cfg.Fanout) {
			if err := s.transport.Notify(p, peer.Gossip, push{Topic: name, Value: value}); err != nil {
				s.log.Log(EvPushFailed, "topic", name, "peer", p.ID, "error", err)
				continue
			}
			s.pushed.Inc(1)
			s.bytes.Inc(int64(len(value)))
		}
	}
}

// claimPush reports whether version has not been pushed yet, and marks it.
func (s *Spreader) claimPush(name string, version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.pushes[name] {
		return false
	}
	s.pushes[name] = version
	return true
}

func (s *Spreader) receivePush(from peer.Node, decode func(any) error) {
	var p push
	if err := decode(&p); err != nil {
		s.log.Log(EvBadValue, "peer", from.ID, "error", err)
		return
	}
	select {
	case s.received <- receivedPush{from: from, push: p}:
	default:
		s.log.Log(EvPushDropped, "peer", from.ID, "topic", p.Topic)
	}
}

func (s *Spreader) observe(from peer.Node, name string, value []byte) {
	t, ok := s.topics[name]
	if !ok {
		return
	}
	isNews, err := t.Observe(value)
	if err != nil {
		s.log.Log(EvBadValue, "peer", from.ID, "topic", name, "error", err)
		return
	}
	if isNews {
		s.Changed()
	}
}

// compareWithOne exchanges versions with a random peer and takes what is newer.
func (s *Spreader) compareWithOne(ctx context.Context) {
	for _, p := range s.randomPeers(1) {
		s.CompareWith(ctx, p)
	}
}

// CompareWith exchanges versions with one peer and takes what is newer.
func (s *Spreader) CompareWith(ctx context.Context, p peer.Node) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := peer.Call[update](ctx, s.transport, p, peer.GossipCompare, digest{Versions: s.versions()})
	if err != nil {
		s.log.Log(EvCompareFailed, "peer", p.ID, "error", err)
		return
	}
	s.pulled.Inc(1)
	for name, value := range answer.Values {
		s.observe(p, name, value)
	}
	s.pushOlder(p, answer.Versions)
}

// pushOlder sends a peer the topics of which it has an older version.
func (s *Spreader) pushOlder(p peer.Node, theirs map[string]int64) {
	for _, name := range s.names {
		t := s.topics[name]
		if t.Version() <= theirs[name] {
			continue
		}
		value, _, err := t.Encode()
		if err != nil {
			continue
		}
		if s.transport.Notify(p, peer.Gossip, push{Topic: name, Value: value}) == nil {
			s.bytes.Inc(int64(len(value)))
		}
	}
}

func (s *Spreader) answerDigest(ctx context.Context, _ peer.Node, st *peer.Stream) error {
	var d digest
	if err := st.First(&d); err != nil {
		return err
	}
	answer := update{Values: map[string][]byte{}, Versions: s.versions()}
	for _, name := range s.names {
		value, version, err := s.topics[name].Encode()
		if err == nil && version > d.Versions[name] {
			answer.Values[name] = value
			s.bytes.Inc(int64(len(value)))
		}
	}
	return st.Send(ctx, answer)
}

func (s *Spreader) versions() map[string]int64 {
	out := make(map[string]int64, len(s.names))
	for _, name := range s.names {
		out[name] = s.topics[name].Version()
	}
	return out
}

func (s *Spreader) randomPeers(n int) []peer.Node {
	peers := s.cfg.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

const jitterShare = 0.2

func (s *Spreader) nextInterval() time.Duration {
	spread := jitterShare * float64(s.cfg.Interval)
	return s.cfg.Interval + time.Duration((rand.Float64()-0.5)*spread)
}
