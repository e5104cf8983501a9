// Package member maintains a node's lease, the versioned table of members and
// the ownership of partitions. The table is a single key of the store, updated
// by compare-and-swap only: a member joins, leaves, or is removed after its
// lease has lapsed. The table does not change while the store is unavailable.
package member

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"buckthornpick/internal/kv"
	"buckthornpick/internal/telemetry"
)

const (
	tableKey     = "bp/table"
	memberPrefix = "bp/members/"

	defaultLeaseTTL     = 10 * time.Second
	defaultGapWindow    = 11 * time.Minute
	defaultPollInterval = 30 * time.Second
	// maxPrevious is the number of earlier tables kept in memory.
	maxPrevious = 8
)

// Config holds the settings of a node's membership.
type Config struct {
	// Self describes this node; Incarnation is assigned when it joins.
	Self Member
	// LeaseTTL is the time after the last renewal at which the store expires
	// the node's lease, in whole seconds; default 10 s.
	LeaseTTL time.Duration
	// DriftMargin is subtracted from the lease's duration to allow for clock
	// drift; default LeaseTTL/10.
	DriftMargin time.Duration
	// GapWindow is how long a partition that changed owner without a handover
	// counts as dirty: callers may resubmit requests that the earlier owner
	// accepted and the new one does not know. Default 11 min (the key window
	// of 10 min plus one minute for clock skew).
	GapWindow time.Duration
	// IsAlive reports whether a node is currently reachable. It must answer
	// from memory without blocking. If nil, no node counts as reachable.
	IsAlive func(id string) bool
	// PollInterval is how often the table is read when no update arrived, for
	// up to 50 members and proportionally less often for more, and how often
	// a watcher checks its connection; default 30 s.
	PollInterval time.Duration
}

func (c Config) withDefaults() Config {
	c.LeaseTTL = cmp.Or(c.LeaseTTL, defaultLeaseTTL)
	c.DriftMargin = cmp.Or(c.DriftMargin, c.LeaseTTL/10)
	c.GapWindow = cmp.Or(c.GapWindow, defaultGapWindow)
	c.PollInterval = cmp.Or(c.PollInterval, defaultPollInterval)
	return c
}

// Membership holds one node's view of the table and maintains the node's own
// record in it. It is safe for concurrent use.
type Membership struct {
	cfg   Config
	store kv.Store
	log   *telemetry.Logger
	reg   metrics.Registry

	// lifecycle is a mutex, locked by sending, that is held while the node
	// joins or leaves.
	lifecycle chan struct{}
	// rejoin requests that the lease loop check the node's record in the table.
	rejoin chan struct{}

	mu              sync.Mutex
	rng             *rand.Rand
	table           Table
	previous        []Table
	subscribers     map[chan Table]struct{}
	lease           kv.LeaseID
	incarnation     int64
	ownIncarnations map[int64]bool // incarnations of this process
	validUntil      time.Time      // by both the monotonic and the wall clock
	leaving         bool
}

// New returns a membership that is idle until Run is called. Metrics are
// registered in registry as "member.*".
func New(cfg Config, store kv.Store, log *telemetry.Logger, registry metrics.Registry) *Membership {
	return &Membership{
		cfg:             cfg.withDefaults(),
		store:           store,
		log:             log,
		reg:             registry,
		lifecycle:       make(chan struct{}, 1),
		rejoin:          make(chan struct{}, 1),
		rng:             rand.New(rand.NewPCG(xxhash.Sum64String(cfg.Self.ID), 0)),
		subscribers:     map[chan Table]struct{}{},
		ownIncarnations: map[int64]bool{},
	}
}

// Run joins the table, renews the lease and follows the table until ctx ends.
// It does not leave the table: a node that shuts down calls Leave first.
func (m *Membership) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.keepLease(ctx) })
	g.Go(func() error { return m.followTable(ctx) })
	return g.Wait()
}

// Table returns the latest table received; its Revision is 0 before the first.
func (m *Membership) Table() Table {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table
}

// Previous returns up to 8 earlier tables, newest first.
func (m *Membership) Previous() []Table {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Table(nil), m.previous...)
}

// Observe installs a table received from a peer or the store. It returns false
// if the table is not newer than the current one.
func (m *Membership) Observe(t Table) bool {
	t = NewTable(t.Revision, t.Members, t.Gaps).withPrevious(t.Previous)
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.Revision <= m.table.Revision {
		return false
	}
	if m.table.Revision > 0 {
		m.previous = append([]Table{m.table}, m.previous...)
		m.previous = m.previous[:min(len(m.previous), maxPrevious)]
	}
	m.table = t
	m.log.Log(EvTableChanged, "revision", t.Revision, "members", len(t.Members), "gaps", len(t.Gaps))
	metrics.GetOrRegisterGauge("member.table.revision", m.reg).Update(t.Revision)
	metrics.GetOrRegisterGauge("member.table.members", m.reg).Update(int64(len(t.Members)))
	for ch := range m.subscribers {
		sendLatest(ch, t)
	}
	if self, ok := t.Find(m.cfg.Self.ID); !ok || self.Incarnation != m.incarnation {
		m.requestRejoin()
	}
	return true
}

// sendLatest replaces the pending value in ch, which has capacity 1. It never
// blocks, because Membership.mu ensures that there is no other sender.
func sendLatest(ch chan Table, t Table) {
	select {
	case <-ch:
	default:
	}
	ch <- t
}

// Subscribe returns a channel that holds the latest table not yet received,
// initially the current table if there is one, and a function that ends the
// subscription.
func (m *Membership) Subscribe() (<-chan Table, func()) {
	ch := make(chan Table, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers[ch] = struct{}{}
	if m.table.Revision > 0 {
		ch <- m.table
	}
	return ch, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.subscribers, ch)
	}
}

// LeaseValid reports whether the node's lease is certainly still held. Validity
// is measured from before the renewal was sent, less the drift margin, and
// requires both the monotonic and the wall clock to be before its end, because
// the monotonic clock may stop while a VM is suspended.
func (m *Membership) LeaseValid() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	return now.Before(m.validUntil) && now.Round(0).Before(m.validUntil.Round(0))
}

// Owns reports whether the current incarnation of this node owns the partition
// in the latest table. Another process with the same ID has a different
// incarnation.
func (m *Membership) Owns(partition int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	owner, ok := m.table.Owner(partition)
	return ok && owner.ID == m.cfg.Self.ID && owner.Incarnation == m.incarnation
}

// Incarnation returns the node's current incarnation; 0 before it has joined.
func (m *Membership) Incarnation() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation
}

// LeaseLapsed returns how long ago the lease may have lapsed: 0 while it is
// certainly held, and the largest duration if the node has no lease, because it
// never had one, the store reported it lapsed, or the node has left.
func (m *Membership) LeaseLapsed() time.Duration {
	if m.LeaseValid() {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(time.Since(m.validUntil), time.Nanosecond)
}

// TableKey returns the store key of the table. A transaction guarded by this
// key at revision Table().Revision commits only while that table is current.
func (m *Membership) TableKey() string { return tableKey }

// AcquiredDirty reports whether the node owns the partition and the partition
// changed owner without a handover within the gap window, and when the latest
// such change happened. A gap of this process's own earlier incarnation does
// not count, because the process still holds its requests. Neither does the gap
// of a leaving member that is still reachable, because it can be queried.
func (m *Membership) AcquiredDirty(partition int) (since time.Time, dirty bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	owner, ok := m.table.Owner(partition)
	if !ok || owner.ID != m.cfg.Self.ID {
		return time.Time{}, false
	}
	for _, gap := range m.table.Gaps {
		if gap.Partitions.Has(partition) && m.isLossLocked(gap) && gap.Since.After(since) {
			since, dirty = gap.Since, true
		}
	}
	return since, dirty
}

// MayHaveLost reports whether the requests of this incarnation of a member may have
// been lost with it within the gap window. Its gap holds only the partitions that
// it owned last; it may have had requests of others, which had moved to a joining
// member before.
func (m *Membership) MayHaveLost(earlier Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current, ok := m.table.Find(earlier.ID); ok && current.Incarnation == earlier.Incarnation {
		return false
	}
	for _, gap := range m.table.Gaps {
		if gap.Member.ID == earlier.ID && gap.Member.Incarnation == earlier.Incarnation {
			return m.isLossLocked(gap)
		}
	}
	return len(m.table.Gaps) == maxGaps // its gap may have been merged
}

// isLossLocked reports whether the gap's requests count as lost. The caller holds
// m.mu.
func (m *Membership) isLossLocked(gap Gap) bool {
	return !m.ownIncarnations[gap.Member.Incarnation] && time.Since(gap.Since) < m.cfg.GapWindow &&
		!m.isGapMemberReachableLocked(gap)
}

// isGapMemberReachableLocked reports whether the gap belongs to a leaving
// member that is still reachable and can be queried for its requests. The
// caller holds m.mu.
func (m *Membership) isGapMemberReachableLocked(gap Gap) bool {
	if !gap.IsLeaving || m.cfg.IsAlive == nil {
		return false
	}
	current, isListed := m.table.Find(gap.Member.ID)
	isSameIncarnation := !isListed || current.Incarnation == gap.Member.Incarnation
	return isSameIncarnation && m.cfg.IsAlive(gap.Member.ID)
}

func (m *Membership) requestRejoin() {
	select {
	case m.rejoin <- struct{}{}:
	default:
	}
}

// jitter returns a random duration in [d/2, d].
func (m *Membership) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.rng.Int64N(int64(d/2)+1))
}

func (m *Membership) incCounter(name string) {
	metrics.GetOrRegisterCounter("member."+name, m.reg).Inc(1)
}
