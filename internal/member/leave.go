package member

import (
	"context"
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
	if err := m.retry(ctx, func() error { return m.change(ctx, m.exit) }); err != nil {
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
func (m *Membership) exit(t Table) (Table, []kv.Compare, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self, found := t.Find(m.cfg.Self.ID)
	if !found || !m.lives[self.Incarnation] {
		return t, nil, false, nil
	}
	return t.without(self.ID), nil, true, nil
}

// RemoveLeaving takes members that have asked for it out of the table in one
// change, without gaps: each is alive and can be asked for its requests. Only
// the incarnations given are taken out.
func (m *Membership) RemoveLeaving(ctx context.Context, leaving []Member) error {
	return m.change(ctx, func(t Table) (Table, []kv.Compare, bool, error) {
		next, changed := t, false
		for _, l := range leaving {
			if now, ok := t.Find(l.ID); ok && now.Incarnation == l.Incarnation {
				next, changed = next.without(l.ID), true
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
