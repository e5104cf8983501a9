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

// MaxValueBytes bounds the document and each history entry, encoded.
const MaxValueBytes = 1_000_000

// Waits between calls to a store that does not answer.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// roleInterval is the time between checks of WatchesStore.
	watchCheckInterval = time.Second
	// refreshInterval is the time between reads of a watching node. They find
	// what a watch that has gone silent did not deliver.
	refreshInterval = 15 * time.Second
)

// Config describes a Store.
type Config struct {
	// Self is the ID of this node.
	Self string
	// Key holds the document; default DefaultKey. It must not be a prefix of
	// HistoryPrefix, since the node watches Key as a prefix.
	Key string
	// HistoryPrefix holds one key for each revision; default
	// DefaultHistoryPrefix.
	HistoryPrefix string
	// HistoryLimit is the number of revisions kept; default DefaultHistoryLimit.
	HistoryLimit int64
	// WatchesStore reports whether this node watches the store now; nil is
	// always. A node that does not watch reads the store once, at start, and
	// after that has the document from its peers.
	WatchesStore func() bool
}

// Snapshot is a document with its compiled rules. It must not be changed.
type Snapshot struct {
	Document *config.Document
	Rules    *rules.Set
	Revision int64
}

// Store is the operators' document as one node sees it.
type Store struct {
	cfg Config
	kv  kv.Store
	log *telemetry.Logger
	// random returns a duration from 0 up to its argument.
	random func(time.Duration) time.Duration

	revision metrics.Gauge
	refused  metrics.Counter
	reads    metrics.Counter

	// mu guards the fields below. No call is made while it is held.
	mu          sync.Mutex
	current     *Snapshot
	subscribers map[chan *Snapshot]struct{}
	// recent are the latest snapshots, oldest first.
	recent []*Snapshot
	// needsWhole is set after a delta that did not fit.
	needsFullDocument bool
	// seen is the highest revision that the store has shown.
	highestStored int64
	// behind is true while the store shows behindAt, which is lower than what
	// it must have.
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

// RolledBackRevision returns the revision that the store shows while that is
// lower than what it had before, as after the restore of a backup; ok is false
// otherwise. Revision 0 is an empty store.
func (s *Store) RolledBackRevision() (revision int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rolledBackRevision, s.rolledBack
}

// Subscribe returns a channel that holds the latest snapshot and a function
// that ends the subscription. A slow reader misses snapshots but never the
// latest.
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

// Observe takes a document from a peer and reports whether it came into force.
// An older document, or one with faults, is not used. The document must not be
// changed afterwards.
func (s *Store) ApplyFromPeer(doc *config.Document) bool { return s.install(doc, "peer") }

// install puts doc in force if its revision is higher than the present one.
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

// newer reports whether doc has a higher revision than the one in force.
func (s *Store) isNewer(doc *config.Document) bool {
	if doc == nil || doc.Revision < 1 {
		return false
	}
	now, ok := s.Current()
	if !ok {
		return true
	}
	if doc.Revision == now.Revision && doc.OperationID != now.Document.OperationID {
		s.log.Log(EvDiverged, "revision", doc.Revision, "operation", doc.OperationID,
			"own", now.Document.OperationID)
	}
	return doc.Revision > now.Revision
}

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
