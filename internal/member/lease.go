package member

import (
	"context"
	"encoding/json"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/wait"
)

const (
	// renewalsPerTTL is how often a lease is renewed within its time.
	renewalsPerTTL = 3
	// retriesPerTTL is how often a failed renewal is sent again.
	retriesPerTTL = 10
	// joinBackoff is the first wait after a failed join.
	joinBackoff = 250 * time.Millisecond
	// maxJoinBackoff bounds that wait; it is well under a lease's time, so
	// that nodes are back before a watcher gives them up after an outage.
	maxJoinBackoff = 2 * time.Second
)

func memberKey(self Member) string { return memberPrefix + self.Zone + "/" + self.ID }

// keepLease joins, renews, and joins again when the lease has lapsed.
func (m *Membership) keepLease(ctx context.Context) error {
	for ctx.Err() == nil {
		if !m.joinWithRetry(ctx) {
			break
		}
		m.renewUntilLapsed(ctx)
	}
	return ctx.Err()
}

// joinUntilDone reports false when ctx ended or the node is leaving.
func (m *Membership) joinWithRetry(ctx context.Context) bool {
	for backoff := joinBackoff; ; backoff = min(2*backoff, maxJoinBackoff) {
		if m.isLeaving() {
			<-ctx.Done()
			return false
		}
		err := m.join(ctx)
		if err == nil {
			return true
		}
		if ctx.Err() == nil {
			m.log.Log(EvJoinFailed, "error", err)
		}
		if !wait.For(ctx, m.jitter(backoff)) {
			return false
		}
	}
}

func (m *Membership) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// acquireLifecycle keeps joining and leaving apart.
func (m *Membership) acquireLifecycle(ctx context.Context) error {
	select {
	case m.lifecycle <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Membership) releaseLifecycle() { <-m.lifecycle }

// join takes a lease, writes the lease key and enters the table.
func (m *Membership) join(ctx context.Context) error {
	if err := m.acquireLifecycle(ctx); err != nil {
		return err
	}
	defer m.releaseLifecycle()
	if m.isLeaving() {
		return fault.New(fault.Unavailable, "member.join", "", "the node is leaving")
	}
	sent := time.Now()
	lease, err := m.store.Grant(ctx, m.cfg.LeaseTTL)
	if err != nil {
		return err
	}
	incarnation, err := m.writeLeaseKey(ctx, lease)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.lease, m.incarnation = lease, incarnation
	m.ownIncarnations[incarnation] = true
	m.validUntil = m.leaseValidUntil(sent)
	m.mu.Unlock()
	if err := m.updateTable(ctx, m.addSelf); err != nil {
		return err
	}
	m.log.Log(EvJoined, "incarnation", incarnation)
	m.incCounter("joins")
	return nil
}

func (m *Membership) leaseValidUntil(sent time.Time) time.Time {
	return sent.Add(m.cfg.LeaseTTL - m.cfg.DriftMargin)
}

// writeLeaseKey creates the node's key and returns its create revision. The
// key of an earlier life goes first, so that the new one has a new revision.
func (m *Membership) writeLeaseKey(ctx context.Context, lease kv.LeaseID) (int64, error) {
	key := memberKey(m.cfg.Self)
	old, found, err := m.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if found {
		m.logDuplicateID(old)
		if err := m.store.Revoke(ctx, old.Lease); err != nil {
			return 0, err
		}
	}
	value, err := json.Marshal(m.cfg.Self)
	if err != nil {
		return 0, fault.Wrap(err, fault.Invalid, "member.join", key, "encode member")
	}
	result, err := m.store.Txn(ctx, []kv.Compare{{Key: key}}, []kv.Op{kv.PutWithLease(key, value, lease)})
	switch {
	case fault.Is(err, fault.Ambiguous):
		return m.readLeaseKey(ctx, key, lease)
	case err != nil:
		return 0, err
	case !result.Succeeded:
		return 0, fault.New(fault.Conflict, "member.join", key, "another process wrote the lease key")
	}
	return result.Revision, nil
}

// readLeaseKey resolves a lost answer. A key that is not there yet may still
// appear; the next join then revokes its lease.
func (m *Membership) readLeaseKey(ctx context.Context, key string, lease kv.LeaseID) (int64, error) {
	entry, found, err := m.store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	if !found || entry.Lease != lease {
		return 0, fault.New(fault.Unavailable, "member.join", key, "lease key was not written")
	}
	return entry.CreateRevision, nil
}

func (m *Membership) logDuplicateID(old kv.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.ownIncarnations) > 0 && !m.ownIncarnations[old.CreateRevision] && old.Lease != m.lease {
		m.log.Log(EvDuplicateID, "key", old.Key, "incarnation", old.CreateRevision)
	}
}

// enter puts the node with its incarnation into the table. An incarnation of
// another process leaves a gap, because its requests are lost.
func (m *Membership) addSelf(t Table) (Table, []kv.Compare, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.cfg.Self
	self.Incarnation = m.incarnation
	old, found := t.Find(self.ID)
	if found && old == self {
		return t, nil, false, nil
	}
	if found && old.Incarnation > self.Incarnation {
		return t, nil, false, fault.New(fault.Conflict, "member.enter", self.ID, "a later incarnation is in the table")
	}
	next := t.withMember(self)
	if found && !m.ownIncarnations[old.Incarnation] {
		next = next.withGap(newGap(t, old), m.cfg.GapWindow)
	}
	return next, nil, true, nil
}

func newGap(t Table, member Member) Gap {
	return Gap{Member: member, Since: time.Now().Round(0), PreviousRevision: t.Revision, Partitions: t.ownedPartitions(member.ID)}
}

// renewUntilLapsed returns when the lease is lost, the node is leaving, or ctx
// ended. If the table lost the node while its lease holds, the node enters the
// table again with the same incarnation.
func (m *Membership) renewUntilLapsed(ctx context.Context) {
	due := time.Now().Add(m.cfg.LeaseTTL / renewalsPerTTL)
	needsRejoin := false
	for {
		rejoinRequested, err := m.awaitRenewal(ctx, due)
		if err != nil || m.isLeaving() {
			return
		}
		needsRejoin = needsRejoin || rejoinRequested
		err = m.renew(ctx)
		if fault.Is(err, fault.Conflict) {
			m.log.Log(EvLeaseLapsed, "error", err)
			m.incCounter("lapses")
			return
		}
		if err == nil && needsRejoin {
			err = m.rejoinTable(ctx)
			needsRejoin = err != nil
		}
		due = time.Now().Add(m.cfg.LeaseTTL / renewalsPerTTL)
		if err != nil && ctx.Err() == nil {
			m.log.Log(EvRenewFailed, "error", err)
			due = time.Now().Add(m.cfg.LeaseTTL / retriesPerTTL)
		}
	}
}

// awaitRenewal waits until due, or until the node is asked to enter the table
// again.
func (m *Membership) awaitRenewal(ctx context.Context, due time.Time) (rejoinRequested bool, err error) {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-m.rejoin:
		return true, nil
	case <-timer.C:
		return false, nil
	}
}

// reenter puts the node back into the table.
func (m *Membership) rejoinTable(ctx context.Context) error {
	if err := m.acquireLifecycle(ctx); err != nil {
		return err
	}
	defer m.releaseLifecycle()
	if m.isLeaving() {
		return nil
	}
	return m.updateTable(ctx, m.addSelf)
}

// renew extends the lease, counted from before the renewal is sent.
func (m *Membership) renew(ctx context.Context) error {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	sent := time.Now()
	err := m.store.KeepAlive(ctx, lease)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.lease != lease || m.leaving:
	case err == nil:
		m.validUntil = m.leaseValidUntil(sent)
	case fault.Is(err, fault.Conflict):
		m.validUntil = time.Time{}
	}
	return err
}
