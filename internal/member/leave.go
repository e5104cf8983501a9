package member

import (
	"context"
	"slices"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/wait"
)

// Leave removes the node from the table and revokes its lease. It retries until
// ctx ends; an error means that the node may still be in the table, from which
// other members remove it when its lease lapses. The node does not rejoin.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	if err := m.acquireLifecycle(ctx); err != nil {
		return fault.Wrap(err, fault.Unavailable, "member.leave", "", "still joining")
	}
	defer m.releaseLifecycle()
	if err := m.retry(ctx, func() error { return m.updateTable(ctx, m.removeSelf) }); err != nil {
		return err
	}
	m.mu.Lock()
	lease := m.lease
	m.lease, m.validUntil = 0, time.Time{}
	m.mu.Unlock()
	m.log.Log(EvLeft)
	if lease == 0 {
		return nil
	}
	return m.retry(ctx, func() error { return m.store.Revoke(ctx, lease) })
}

// removeSelf is a tableEdit that removes the node, if the listed incarnation
// belongs to this process.
func (m *Membership) removeSelf(t Table) (Table, []kv.Compare, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self, found := t.Find(m.cfg.Self.ID)
	if !found || !m.ownIncarnations[self.Incarnation] {
		return t, nil, false, nil
	}
	return m.withoutLeavingMember(t, t, self), nil, true, nil
}

// withoutLeavingMember returns next without the member and with a gap that stays
// until the member has handed over its requests. The gap's partitions are those
// that the member owned in table t.
func (m *Membership) withoutLeavingMember(t, next Table, leaving Member) Table {
	gap := newGap(t, leaving)
	gap.IsLeaving = true
	return next.withoutMember(leaving.ID).withGap(gap, m.cfg.GapWindow)
}

// CloseGaps removes the gaps of members that have left and handed over all their
// requests. The gap of a member that crashes before that stays.
//
// The partitions of a closed gap are added to the gaps that stay open: another
// member that has left may have been the new owner, and may have accepted
// requests of these partitions before the table made it their owner.
func (m *Membership) CloseGaps(ctx context.Context, handedOver []Member) error {
	return m.updateTable(ctx, func(t Table) (Table, []kv.Compare, bool, error) {
		closed, open := splitGaps(t.Gaps, handedOver)
		for _, c := range closed {
			for i := range open {
				open[i].Partitions = open[i].Partitions.union(c.Partitions)
			}
		}
		return NewTable(t.Revision, t.Members, open), nil, len(closed) > 0, nil
	})
}

// splitGaps separates the gaps that the handed-over members close from those
// that stay open.
func splitGaps(gaps []Gap, handedOver []Member) (closed, open []Gap) {
	for _, g := range gaps {
		isClosed := g.IsLeaving && slices.ContainsFunc(handedOver, func(l Member) bool {
			return l.ID == g.Member.ID && l.Incarnation == g.Member.Incarnation
		})
		if isClosed {
			closed = append(closed, g)
		} else {
			open = append(open, g)
		}
	}
	return closed, open
}

// RemoveLeaving removes members that requested to leave from the table in one
// update. It removes only the given incarnations.
func (m *Membership) RemoveLeaving(ctx context.Context, leaving []Member) error {
	return m.updateTable(ctx, func(t Table) (Table, []kv.Compare, bool, error) {
		next, changed := t, false
		for _, l := range leaving {
			if current, ok := t.Find(l.ID); ok && current.Incarnation == l.Incarnation {
				next, changed = m.withoutLeavingMember(t, next, current), true
			}
		}
		return next, nil, changed, nil
	})
}

// retry calls f with backoff until it succeeds or ctx ends.
func (m *Membership) retry(ctx context.Context, f func() error) error {
	for backoff := joinBackoff; ; backoff = min(2*backoff, maxJoinBackoff) {
		err := f()
		if err == nil || !wait.For(ctx, m.jitter(backoff)) {
			return err
		}
	}
}
