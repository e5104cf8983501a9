package member

import (
	"context"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/wait"
)

const (
	// changeBackoff is the first wait after a lost compare-and-swap.
	updateBackoff = 20 * time.Millisecond
	// maxChangeBackoff bounds that wait.
	maxUpdateBackoff = time.Second
)

// edit returns the table that should follow t, and guards besides that of the
// table; changed is false if t is already as wanted.
type tableEdit func(t Table) (next Table, guards []kv.Compare, changed bool, err error)

// read returns the table in the store and takes it into force.
func (m *Membership) readTable(ctx context.Context) (Table, error) {
	entry, found, err := m.store.Get(ctx, tableKey)
	if err != nil {
		return Table{}, err
	}
	if !found {
		m.handleTableDeleted()
		return NewTable(0, nil, nil), nil
	}
	t, err := decodeTable(entry.Value, entry.ModRevision)
	if err != nil {
		return Table{}, fault.Wrap(err, fault.Protocol, "member.read", tableKey, "decode table")
	}
	m.Observe(t)
	return t, nil
}

// tableGone asks the node to enter again if the key of a table that was there
// has been deleted. The members build it anew.
func (m *Membership) handleTableDeleted() {
	if m.Table().Revision > 0 {
		m.requestRejoin()
	}
}

// change applies e by compare-and-swap until it has taken effect.
//
// A lost answer is resolved by reading the table again: e names a wanted state
// and not a step, so it either finds that state or swaps once more. A write
// that arrives later can do no harm: its guard is the revision it was made
// from, so it takes effect only if the table did not change in between, and
// then it does what e still wants. Without a lost answer, an error means that
// e had no effect; with one, change goes on until ctx ends.
func (m *Membership) updateTable(ctx context.Context, edit tableEdit) error {
	ambiguous := false
	for backoff := updateBackoff; ; backoff = min(2*backoff, maxUpdateBackoff) {
		done, err := m.tryUpdateTable(ctx, edit)
		if done {
			return nil
		}
		if fault.Is(err, fault.Ambiguous) {
			ambiguous = true
			m.log.Log(EvAmbiguous, "error", err)
			m.incCounter("ambiguous")
		} else if err != nil && !ambiguous {
			return err
		}
		if !wait.For(ctx, m.jitter(backoff)) {
			t := fault.Unavailable
			if ambiguous {
				t = fault.Ambiguous
			}
			return fault.New(t, "member.change", tableKey, "not settled in time: %v", ctx.Err())
		}
	}
}

// tryChange makes one compare-and-swap; false without an error means that it
// was lost to another writer.
func (m *Membership) tryUpdateTable(ctx context.Context, edit tableEdit) (done bool, err error) {
	t, err := m.readTable(ctx)
	if err != nil {
		return false, err
	}
	next, guards, changed, err := edit(t)
	if err != nil || !changed {
		return err == nil, err
	}
	value, err := encodeTable(next.withPrevious(t.Revision))
	if err != nil {
		return false, fault.Wrap(err, fault.Invalid, "member.change", tableKey, "encode table")
	}
	guards = append(guards, kv.Compare{Key: tableKey, ModRevision: t.Revision})
	result, err := m.store.Txn(ctx, guards, []kv.Op{kv.Put(tableKey, value)})
	if err != nil || !result.Succeeded {
		return false, err
	}
	m.Observe(NewTable(result.Revision, next.Members, next.Gaps).withPrevious(t.Revision))
	return true, nil
}
