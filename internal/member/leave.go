package member

import (
	"context"
	"slices"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/wait"
)

// Leave takes the node out of the table and ends its lease. It tries until ctx
// ends; an error then says that the node may still be in the table, and the
// others remove it when its lease lapses. The node does not join again.
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

// exit takes the node's own incarnations out of the table.
func (m *Membership) removeSelf(t Table) (Table, []kv.Compare, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self, found := t.Find(m.cfg.Self.ID)
	if !found || !m.ownIncarnations[self.Incarnation] {
		return t, nil, false, nil
	}
	return m.withoutLeavingMember(t, t, self), nil, true, nil
}

// depart returns next without the member, and with the gap that stays until the
// member has handed its requests over. Owners are those of table t.
func (m *Membership) withoutLeavingMember(t, next Table, leaving Member) Table {
	gap := newGap(t, leaving)
	gap.IsLeaving = true
	return next.withoutMember(leaving.ID).withGap(gap, m.cfg.GapWindow)
}

// HandedOver closes the gaps of members that have left and handed everything
// over. A member that dies before that leaves its gap.
//
// The partitions of a closed gap go to the gaps that stay open: a member that
// has left too may have been the heir, and may have taken requests of these
// partitions before they were its own by the table.
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

// splitGaps returns the gaps that the members have closed, and the others.
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

// RemoveLeaving takes members that have asked for it out of the table in one
// change. Only the incarnations given are taken out.
func (m *Membership) RemoveLeaving(ctx context.Context, leaving []Member) error {
	return m.updateTable(ctx, func(t Table) (Table, []kv.Compare, bool, error) {
		next, changed := t, false
		for _, l := range leaving {
			if now, ok := t.Find(l.ID); ok && now.Incarnation == l.Incarnation {
				next, changed = m.withoutLeavingMember(t, next, now), true
			}
		}
		return next, nil, changed, nil
	})
}

// retry repeats f until it succeeds or ctx ends.
func (m *Membership) retry(ctx context.Context, f func() error) error {
	for backoff := joinBackoff; ; backoff = min(2*backoff, maxJoinBackoff) {
		err := f()
		if err == nil || !wait.For(ctx, m.jitter(backoff)) {
			return err
		}
	}
}
