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
	// renewalsPerTTL is the number of renewals in each LeaseTTL.
	renewalsPerTTL = 3
	// retriesPerTTL is the number of retries of a failed renewal in each
	// LeaseTTL.
	retriesPerTTL = 10
	// joinBackoff is the initial wait after a failed join.
	joinBackoff = 250 * time.Millisecond
	// maxJoinBackoff is the maximum of that wait. It is well below LeaseTTL, so
	// that after a store outage nodes rejoin before a watcher removes them.
	maxJoinBackoff = 2 * time.Second
)

func memberKey(self Member) string { return memberPrefix + self.Zone + "/" + self.ID }

// keepLease joins, renews the lease, and rejoins when the lease has lapsed.
func (m *Membership) keepLease(ctx context.Context) error {
	for ctx.Err() == nil {
		if !m.joinWithRetry(ctx) {
			break
		}
		m.renewUntilLapsed(ctx)
	}
	return ctx.Err()
}

// joinWithRetry retries until the node has joined. It returns false if ctx
// ended or the node is leaving.
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

// acquireLifecycle locks m.lifecycle, so that joining and leaving exclude each
// other.
func (m *Membership) acquireLifecycle(ctx context.Context) error {
	select {
	case m.lifecycle <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Membership) releaseLifecycle() { <-m.lifecycle }

// join acquires a lease, writes the lease key and adds the node to the table.
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

// writeLeaseKey creates the node's lease key and returns its create revision.
// An existing key of an earlier incarnation is deleted first by revoking its
// lease, so that the new key gets a new create revision.
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

// readLeaseKey resolves a lost response to the write of the lease key. A delayed
// write may still create the key later; the next join then revokes its lease.
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

// addSelf is a tableEdit that adds the node with its current incarnation.
// Replacing an incarnation of another process records a gap, because the
// requests of that process are lost.
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

// renewUntilLapsed renews the lease until it is lost, the node is leaving, or
// ctx ends. If the node is missing from the table while its lease is held, the
// node is added again with the same incarnation.
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

// awaitRenewal waits until due, or until a rejoin is requested.
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

// rejoinTable adds the node to the table again under its current lease.
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

// renew extends the lease. Its validity is measured from before the renewal is
// sent.
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
