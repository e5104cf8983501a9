package member

import (
	"context"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/wait"
)

const (
	// updateBackoff is the initial wait after a failed compare-and-swap.
	updateBackoff = 20 * time.Millisecond
	// maxUpdateBackoff is the maximum of that wait.
	maxUpdateBackoff = time.Second
)

// tableEdit computes the successor of table t and the guards of the transaction
// besides the one on the table's revision. It returns changed == false if t
// already is in the desired state.
type tableEdit func(t Table) (next Table, guards []kv.Compare, changed bool, err error)

// readTable reads the table from the store, installs it if it is newer than the
// current one, and returns it.
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

// handleTableDeleted requests a rejoin if the table's key was deleted after a
// table had existed. The members rebuild the table by rejoining.
func (m *Membership) handleTableDeleted() {
	if m.Table().Revision > 0 {
		m.requestRejoin()
	}
}

// updateTable applies edit by compare-and-swap until it has taken effect.
//
// A lost response is resolved by reading the table again: an edit describes a
// desired state rather than a step, so it either finds that state or swaps once
// more. A delayed write is harmless: it is guarded by the revision it was
// computed from, so it takes effect only if the table did not change in
// between, and then it applies what the edit still requires. If no response was
// lost, an error means that the edit had no effect; after a lost response,
// updateTable retries until ctx ends and then returns fault.Ambiguous.
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

// tryUpdateTable attempts one compare-and-swap. It returns false without an
// error if a concurrent writer won.
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
