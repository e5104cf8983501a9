package confstore

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"buckthornpick/internal/config"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/rules"
	"buckthornpick/internal/telemetry"
)

// Defaults of Config.
const (
	DefaultKey           = "bp/config/current"
	DefaultHistoryPrefix = "bp/config-history/"
	DefaultHistoryLimit  = 200
)

// MaxValueBytes is the maximum size of the encoded document and of each encoded
// history entry.
const MaxValueBytes = 1_000_000

// Intervals of calls to the store. Failed calls are retried with exponential
// backoff between minBackoff and maxBackoff.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// watchCheckInterval is the time between checks of Config.WatchesStore.
	watchCheckInterval = time.Second
	// refreshInterval is the time between periodic reads of a watching node. They
	// find changes that a watch which hangs without an error did not deliver.
	refreshInterval = 1500 * time.Millisecond
)

// Config holds the settings of a Store.
type Config struct {
	// Self is the ID of this node.
	Self string
	// Key is the store key of the document; default DefaultKey. It must not be a
	// prefix of HistoryPrefix, since the node watches Key as a prefix.
	Key string
	// HistoryPrefix is the prefix of the history entries' keys, one for each
	// revision; default DefaultHistoryPrefix.
	HistoryPrefix string
	// HistoryLimit is the number of history entries kept; default
	// DefaultHistoryLimit.
	HistoryLimit int64
	// WatchesStore reports whether this node should currently watch the store;
	// nil means always. A node that does not watch reads the store once, at start,
	// and then receives the document from its peers.
	WatchesStore func() bool
}

// Snapshot is a document with its compiled rules. It must not be changed.
type Snapshot struct {
	Document *config.Document
	Rules    *rules.Set
	Revision int64
}

// Store holds the operators' document that is in force at one node, and reads and
// writes the copy in the key-value service.
type Store struct {
	cfg Config
	kv  kv.Store
	log *telemetry.Logger
	// random returns a duration from 0 up to its argument.
	random func(time.Duration) time.Duration

	revision metrics.Gauge
	refused  metrics.Counter
	reads    metrics.Counter

	// mu guards the fields below. It is not held during calls to the key-value
	// service.
	mu          sync.Mutex
	current     *Snapshot
	subscribers map[chan *Snapshot]struct{}
	// recent are the latest snapshots, oldest first.
	recent []*Snapshot
	// needsFullDocument is set after a delta that did not apply.
	needsFullDocument bool
	// highestStored is the highest revision that was read from or written to the
	// store.
	highestStored int64
	// rolledBack is true while the store holds rolledBackRevision, which is lower
	// than the revision in force.
	rolledBack         bool
	rolledBackRevision int64
}

// New returns a Store without a document. reg may be nil.
func New(cfg Config, store kv.Store, log *telemetry.Logger, reg metrics.Registry) *Store {
	if cfg.Key == "" {
		cfg.Key = DefaultKey
	}
	if cfg.HistoryPrefix == "" {
		cfg.HistoryPrefix = DefaultHistoryPrefix
	}
	if cfg.HistoryLimit <= 0 {
		cfg.HistoryLimit = DefaultHistoryLimit
	}
	if cfg.WatchesStore == nil {
		cfg.WatchesStore = func() bool { return true }
	}
	if reg == nil {
		reg = metrics.NewRegistry()
	}
	return &Store{
		cfg: cfg, kv: store, log: log, random: rand.N[time.Duration],
		revision:    metrics.GetOrRegisterGauge("config.revision", reg),
		refused:     metrics.GetOrRegisterCounter("config.refused", reg),
		reads:       metrics.GetOrRegisterCounter("config.store.reads", reg),
		subscribers: map[chan *Snapshot]struct{}{},
	}
}

// Current returns the document in force; ok is false before the first one.
func (s *Store) Current() (snapshot *Snapshot, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.current != nil
}

// RolledBackRevision returns the revision in the store if it is lower than the
// one in force at this node, as after the restore of a backup; ok is false
// otherwise. Revision 0 means that the store holds no document.
func (s *Store) RolledBackRevision() (revision int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rolledBackRevision, s.rolledBack
}

// Subscribe returns a channel that delivers the current and each later snapshot,
// and a function that ends the subscription. A slow reader may miss intermediate
// snapshots but always gets the latest one.
func (s *Store) Subscribe() (<-chan *Snapshot, func()) {
	ch := make(chan *Snapshot, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		ch <- s.current
	}
	s.subscribers[ch] = struct{}{}
	return ch, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, ch)
	}
}

// ApplyFromPeer puts a document from a peer in force and reports whether it did.
// A document that is invalid or not newer than the one in force is ignored. The
// caller must not change the document afterwards.
func (s *Store) ApplyFromPeer(doc *config.Document) bool { return s.install(doc, "peer") }

// install puts doc in force if it is valid and has a higher revision than the one
// in force. source is the log attribute: "store", "peer" or "operator".
func (s *Store) install(doc *config.Document, source string) bool {
	if !s.isNewer(doc) {
		return false
	}
	set, err := rules.Compile(doc)
	if err != nil {
		s.refused.Inc(1)
		s.log.Log(EvRefused, "revision", doc.Revision, "source", source, "err", err)
		return false
	}
	if !s.setCurrent(&Snapshot{Document: doc, Rules: set, Revision: doc.Revision}) {
		return false
	}
	s.log.Log(EvInForce, "revision", doc.Revision, "operation", doc.OperationID, "source", source)
	return true
}

// isNewer reports whether doc has a higher revision than the one in force. It
// logs EvDiverged if both have the same revision but different operation IDs.
func (s *Store) isNewer(doc *config.Document) bool {
	if doc == nil || doc.Revision < 1 {
		return false
	}
	current, ok := s.Current()
	if !ok {
		return true
	}
	if doc.Revision == current.Revision && doc.OperationID != current.Document.OperationID {
		s.log.Log(EvDiverged, "revision", doc.Revision, "operation", doc.OperationID,
			"own", current.Document.OperationID)
	}
	return doc.Revision > current.Revision
}

// setCurrent puts next in force and sends it to all subscribers. It reports false
// if the revision in force is not lower, as after a concurrent install.
func (s *Store) setCurrent(next *Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && s.current.Revision >= next.Revision {
		return false
	}
	s.current = next
	s.needsFullDocument = false
	s.recent = append(s.recent, next)
	s.recent = s.recent[max(0, len(s.recent)-maxRecentSnapshots):]
	s.revision.Update(next.Revision)
	for ch := range s.subscribers {
		select {
		case <-ch:
		default:
		}
		ch <- next
	}
	return true
}
