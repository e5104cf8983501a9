package member

import (
	"context"
	"slices"
	"strings"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/wait"
)

const (
	// watchersPerZone is the number of members of each zone that watch the
	// store.
	watchersPerZone = 2
	// removalDelay batches members whose leases lapse together into one table
	// update.
	removalDelay = 100 * time.Millisecond
	// removalStagger is the additional delay per watcher that precedes this
	// one in the removal order.
	removalStagger = 300 * time.Millisecond
	// pollScaleMembers is the table size up to which the table is read every
	// PollInterval; the interval grows in proportion above it.
	pollScaleMembers = 50
	// watchBackoff is the initial wait before an interrupted watch is reopened.
	watchBackoff = 250 * time.Millisecond
	// maxWatchBackoff is the maximum of that wait.
	maxWatchBackoff = 5 * time.Second
)

// followTable keeps the table up to date: by a watch if the node is one of its
// zone's watchers, otherwise by tables received from peers and infrequent reads.
func (m *Membership) followTable(ctx context.Context) error {
	tables, cancel := m.Subscribe()
	defer cancel()
	backoff := watchBackoff
	for ctx.Err() == nil {
		if !m.isWatcher() {
			m.awaitTableOrRead(ctx, tables)
			continue
		}
		opened := time.Now()
		err := m.watch(ctx, tables)
		if err == nil || ctx.Err() != nil {
			continue
		}
		m.log.Log(EvWatchBroken, "error", err)
		if time.Since(opened) > maxWatchBackoff {
			backoff = watchBackoff
		}
		wait.For(ctx, m.jitter(backoff))
		backoff = min(2*backoff, maxWatchBackoff)
	}
	return ctx.Err()
}

// awaitTableOrRead waits for a newer table, and reads the table from the store
// if none arrived within the read interval.
func (m *Membership) awaitTableOrRead(ctx context.Context, tables <-chan Table) {
	timer := time.NewTimer(m.jitter(2 * m.readInterval())) // between 1 and 2 read intervals
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-tables:
	case <-timer.C:
		_, _ = m.readTable(ctx) // a failed read is retried in the next iteration
	}
}

// readInterval returns PollInterval, scaled up in proportion for large tables so
// that the bytes read per unit of time do not grow with the table. Peers forward
// new tables immediately; the reads serve a node that can reach the store but no
// peer.
func (m *Membership) readInterval() time.Duration {
	return m.cfg.PollInterval * time.Duration(max(1, len(m.Table().Members)/pollScaleMembers))
}

func (m *Membership) isWatcher() bool {
	return slices.ContainsFunc(watchers(m.Table()), func(w Member) bool { return w.ID == m.cfg.Self.ID })
}

// watchers returns the members that watch the store: in each zone the
// watchersPerZone ones with the lowest IDs.
func watchers(t Table) []Member {
	var out []Member
	perZone := map[string]int{}
	for _, member := range t.Members {
		if perZone[member.Zone] < watchersPerZone {
			perZone[member.Zone]++
			out = append(out, member)
		}
	}
	return out
}

// removalOrder returns the position of self among the watchers that may remove
// the lapsed member, or 0 if self is not one of them. Watchers of the lapsed
// member's zone come first; the lapsed member itself is excluded.
func removalOrder(t Table, lapsed Member, self string) int {
	candidates := slices.DeleteFunc(watchers(t), func(w Member) bool { return w.ID == lapsed.ID })
	slices.SortStableFunc(candidates, func(a, b Member) int {
		if (a.Zone == lapsed.Zone) != (b.Zone == lapsed.Zone) {
			if a.Zone == lapsed.Zone {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return max(0, slices.IndexFunc(candidates, func(w Member) bool { return w.ID == self }))
}

// lapsedMember is a member of the table without a lease key, and the time at
// which this node removes it.
type lapsedMember struct {
	member   Member
	removeAt time.Time
}

// watchSession is one open watch of the table and the lease keys.
type watchSession struct {
	m *Membership
	// removalsAllowedFrom is the time before which no member is removed, so
	// that members that lost their leases in an outage have one LeaseTTL to
	// rejoin.
	removalsAllowedFrom time.Time
	leaseKeys           map[string]bool // lease keys present in the store
	lapsed              map[string]lapsedMember
}

// watch follows the store until the stream is interrupted, which is an error, or
// the node is no longer a watcher, which is not.
func (m *Membership) watch(ctx context.Context, tables <-chan Table) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	snap, err := m.store.List(ctx, memberPrefix)
	if err != nil {
		return err
	}
	if _, err := m.readTable(ctx); err != nil {
		return err
	}
	tableWatch, err := m.store.Watch(ctx, tableKey, snap.Revision)
	if err != nil {
		return err
	}
	defer drainWatch(tableWatch)
	memberWatch, err := m.store.Watch(ctx, memberPrefix, snap.Revision)
	if err != nil {
		cancel()
		return err
	}
	defer drainWatch(memberWatch)
	defer cancel() // runs before the deferred drains, which wait for the watches to end
	s := &watchSession{m: m, removalsAllowedFrom: time.Now().Add(m.cfg.LeaseTTL), leaseKeys: map[string]bool{}, lapsed: map[string]lapsedMember{}}
	for _, e := range snap.Entries {
		s.leaseKeys[e.Key] = true
	}
	return s.run(ctx, tables, tableWatch, memberWatch)
}

// drainWatch discards batches until a watch whose context has ended closes its
// channel.
func drainWatch(batches <-chan kv.WatchBatch) {
	for range batches {
	}
}

func (s *watchSession) run(ctx context.Context, tables <-chan Table, tableWatch, memberWatch <-chan kv.WatchBatch) error {
	poll := time.NewTicker(s.m.cfg.PollInterval)
	defer poll.Stop()
	for s.m.isWatcher() {
		s.reconcile(s.m.Table())
		due := time.NewTimer(s.untilNextRemoval())
		var err error
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-tables:
		case batch, ok := <-tableWatch:
			err = s.handleTableBatch(batch, ok)
		case batch, ok := <-memberWatch:
			err = s.handleLeaseBatch(batch, ok)
		case <-poll.C:
			_, err = s.m.readTable(ctx)
		case <-due.C:
			err = s.removeLapsed(ctx)
		}
		due.Stop()
		if err != nil {
			return err
		}
	}
	return nil
}

func checkBatch(batch kv.WatchBatch, ok bool) error {
	if !ok || batch.Compacted {
		return fault.New(fault.Unavailable, "member.watch", "", "watch ended (compacted: %t)", batch.Compacted)
	}
	return nil
}

func (s *watchSession) handleTableBatch(batch kv.WatchBatch, ok bool) error {
	if err := checkBatch(batch, ok); err != nil {
		return err
	}
	for _, e := range batch.Events {
		if e.Entry.Key != tableKey {
			continue
		}
		if e.Deleted {
			s.m.handleTableDeleted()
			continue
		}
		t, err := decodeTable(e.Entry.Value, e.Entry.ModRevision)
		if err != nil {
			return fault.Wrap(err, fault.Protocol, "member.watch", tableKey, "decode table")
		}
		s.m.Observe(t)
	}
	return nil
}

func (s *watchSession) handleLeaseBatch(batch kv.WatchBatch, ok bool) error {
	if err := checkBatch(batch, ok); err != nil {
		return err
	}
	for _, e := range batch.Events {
		if e.Deleted {
			delete(s.leaseKeys, e.Entry.Key)
		} else {
			s.leaseKeys[e.Entry.Key] = true
		}
	}
	return nil
}

// reconcile updates the set of lapsed members from the table and the lease keys.
func (s *watchSession) reconcile(t Table) {
	for id, entry := range s.lapsed {
		if current, ok := t.Find(id); !ok || current != entry.member || s.leaseKeys[memberKey(current)] {
			delete(s.lapsed, id)
		}
	}
	for _, member := range t.Members {
		if _, known := s.lapsed[member.ID]; known || s.leaseKeys[memberKey(member)] {
			continue
		}
		position := removalOrder(t, member, s.m.cfg.Self.ID)
		due := time.Now().Add(removalDelay + time.Duration(position)*removalStagger)
		if due.Before(s.removalsAllowedFrom) {
			due = s.removalsAllowedFrom.Add(time.Duration(position) * removalStagger)
		}
		s.lapsed[member.ID] = lapsedMember{member: member, removeAt: due}
	}
}

// untilNextRemoval returns the time until the next removal, at most one hour.
func (s *watchSession) untilNextRemoval() time.Duration {
	left := time.Hour
	for _, entry := range s.lapsed {
		left = min(left, max(0, time.Until(entry.removeAt)))
	}
	return left
}

// removeLapsed removes the lapsed members that are due. A node that may not hold
// its own lease any more removes no members.
func (s *watchSession) removeLapsed(ctx context.Context) error {
	var due []Member
	for id, entry := range s.lapsed {
		if time.Now().Before(entry.removeAt) {
			continue
		}
		due = append(due, entry.member)
		entry.removeAt = time.Now().Add(time.Second) // retried then if this attempt fails
		s.lapsed[id] = entry
	}
	if len(due) == 0 || !s.m.LeaseValid() {
		return nil
	}
	slices.SortFunc(due, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	ctx, cancel := context.WithTimeout(ctx, s.m.cfg.LeaseTTL)
	defer cancel()
	removed := 0
	err := s.m.updateTable(ctx, func(t Table) (next Table, guards []kv.Compare, changed bool, err error) {
		next, guards, removed = s.m.withoutLapsed(t, due)
		return next, guards, removed > 0, nil
	})
	if err == nil && removed > 0 {
		s.m.log.Log(EvRemoved, "members", removed)
		s.m.incCounter("removals")
	}
	return err
}

// withoutLapsed returns the table without the members of lapsed that it still
// lists unchanged, with a gap for each. The guards fail the transaction if any
// of them has a lease key by then.
func (m *Membership) withoutLapsed(t Table, lapsed []Member) (next Table, guards []kv.Compare, removed int) {
	next = t
	for _, member := range lapsed {
		if current, ok := t.Find(member.ID); !ok || current != member {
			continue
		}
		guards = append(guards, kv.Compare{Key: memberKey(member)})
		next = next.withoutMember(member.ID).withGap(newGap(t, member), m.cfg.GapWindow)
		removed++
	}
	return next, guards, removed
}
