package confstore

import (
	"context"
	"fmt"
	"reflect"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/rules"
)

// Change is a proposed document.
type Change struct {
	// Document replaces the present one. Its Revision and OperationID are
	// ignored.
	Document *config.Document
	// Expected is the revision that the change is based on; 0 is no document.
	Expected int64
	// OperationID names the change. The same ID asks again for the outcome of
	// the same change.
	OperationID string
	Author      string
}

// Result describes an accepted change.
type Result struct {
	Revision int64
	Document *config.Document
}

// ConflictError says that another change came first.
type ConflictError struct {
	Expected int64
	// Current is the document that the change lost against, nil if there is
	// none.
	Current *config.Document
	cause   error
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change is based on revision %d, the current revision is %d", e.Expected, e.Revision())
}

// Revision returns the current revision.
func (e *ConflictError) Revision() int64 {
	if e.Current == nil {
		return 0
	}
	return e.Current.Revision
}

// Unwrap returns an error of type fault.Conflict.
func (e *ConflictError) Unwrap() error { return e.cause }

// Propose writes a change. It returns a Result only if the change is known to
// be written; then it is in force at this node.
//
// Errors: fault.Invalid or config.Problems if the change is wrong;
// *ConflictError if another change came first; fault.Unavailable if this call
// wrote nothing; fault.Ambiguous if ctx ended before the outcome was known.
// After fault.Ambiguous the same change, proposed again, gets the definite
// answer.
func (s *Store) Propose(ctx context.Context, change Change) (Result, error) {
	p, err := s.newProposal(change)
	if err != nil {
		return Result{}, err
	}
	wait := backoff{random: s.random}
	for {
		done, err := p.attempt(ctx)
		if done {
			return p.finish(err)
		}
		if fault.Is(err, fault.Protocol) && !p.mayBeWritten {
			return Result{}, err
		}
		s.log.Log(EvAmbiguous, "operation", change.OperationID, "sent", p.mayBeWritten, "err", err)
		s.sleep(ctx, wait.next())
		if ctx.Err() != nil {
			return Result{}, p.giveUp(err)
		}
	}
}

// proposal is one run of Propose.
//
// An answer that was lost is resolved by sending the same transaction again.
// Every copy carries the same guards, so at most one copy takes effect, also
// when an early one arrives after a later one was answered. A read alone would
// not do: a copy that is still under way may take effect after it.
type proposal struct {
	store   *Store
	change  Change
	next    *config.Document
	value   []byte
	history []byte
	// sent is true once a write may have taken effect.
	mayBeWritten bool
	// lost is the document that the change lost against, if it did.
	winner *config.Document
}

func (s *Store) newProposal(change Change) (*proposal, error) {
	if change.OperationID == "" {
		return nil, fault.New(fault.Invalid, "config.propose", "", "the change has no operation ID")
	}
	if change.Document == nil || change.Expected < 0 {
		return nil, fault.New(fault.Invalid, "config.propose", "", "the change has no document or a negative revision")
	}
	next := *change.Document
	next.Revision = change.Expected + 1
	next.OperationID = change.OperationID
	if _, err := rules.Compile(&next); err != nil {
		return nil, err
	}
	p := &proposal{store: s, change: change, next: &next}
	var err error
	if p.value, err = encodeDocument(&next); err != nil {
		return nil, err
	}
	p.history, err = encode(HistoryEntry{
		Revision: next.Revision, OperationID: change.OperationID, Time: time.Now().UTC(),
		Author: change.Author, Node: s.cfg.Self, Document: &next,
	})
	return p, err
}

// attempt tries once. done is false if the outcome is still open.
func (p *proposal) attempt(ctx context.Context) (done bool, err error) {
	current, modRevision, err := p.store.readDocument(ctx)
	if err != nil {
		return false, err
	}
	if inForce, ok := p.store.Current(); ok && (current == nil || current.Revision < inForce.Revision) {
		// The store lost revisions that are in force here. The change must be
		// based on what is in force, and goes over what the store has.
		current = inForce.Document
	}
	if decided, err := p.resolveOutcome(ctx, current); decided || err != nil {
		return decided, err
	}
	result, err := p.store.kv.Txn(ctx, p.guards(modRevision), p.ops())
	if err != nil {
		p.mayBeWritten = p.mayBeWritten || !fault.Is(err, fault.Unavailable)
		return false, err
	}
	if !result.Succeeded {
		return false, fault.New(fault.Conflict, "config.propose", "store", "the document changed while it was written")
	}
	return true, nil
}

// settle decides the outcome from what the store has. It reports false if the
// change is neither written nor overtaken.
func (p *proposal) resolveOutcome(ctx context.Context, current *config.Document) (decided bool, err error) {
	revision := int64(0)
	if current != nil {
		revision = current.Revision
	}
	switch {
	case revision == p.change.Expected:
		return false, nil
	case revision < p.change.Expected:
		p.winner = current
		return true, p.conflictError()
	}
	written, err := p.loadProposedRevision(ctx, current)
	if err != nil {
		return false, err
	}
	if written == nil {
		p.winner = current
		return true, fault.New(fault.Ambiguous, "config.propose", "store",
			"revision %d is no longer in the history; the current revision is %d", p.next.Revision, revision)
	}
	if written.OperationID != p.change.OperationID {
		p.winner = current
		return true, p.conflictError()
	}
	return true, p.requireSameContent(written)
}

// written returns the document of the proposed revision, nil if it is no
// longer kept.
func (p *proposal) loadProposedRevision(ctx context.Context, current *config.Document) (*config.Document, error) {
	if current.Revision == p.next.Revision {
		return current, nil
	}
	e, found, err := p.store.kv.Get(ctx, p.store.historyKey(p.next.Revision))
	if err != nil || !found {
		return nil, err
	}
	entry, err := decodeHistory(e.Value)
	if err != nil {
		return nil, err
	}
	return entry.Document, nil
}

// sameContent refuses an operation ID that was used for another document.
func (p *proposal) requireSameContent(written *config.Document) error {
	own, err := decodeDocument(p.value)
	if err != nil {
		return err
	}
	if !reflect.DeepEqual(own, written) {
		return fault.New(fault.Invalid, "config.propose", "",
			"operation ID %q was used for another document", p.change.OperationID)
	}
	return nil
}

func (p *proposal) conflictError() error {
	return &ConflictError{
		Expected: p.change.Expected, Current: p.winner,
		cause: fault.New(fault.Conflict, "config.propose", "store", "another change came first"),
	}
}

func (p *proposal) guards(modRevision int64) []kv.Compare {
	return []kv.Compare{{Key: p.store.cfg.Key, ModRevision: modRevision}}
}

func (p *proposal) ops() []kv.Op {
	ops := []kv.Op{
		kv.Put(p.store.cfg.Key, p.value),
		kv.Put(p.store.historyKey(p.next.Revision), p.history),
	}
	if old := p.next.Revision - p.store.cfg.HistoryLimit; old > 0 {
		ops = append(ops, kv.Delete(p.store.historyKey(old)))
	}
	return ops
}

func (p *proposal) finish(err error) (Result, error) {
	s := p.store
	if err != nil {
		s.log.Log(EvConflict, "operation", p.change.OperationID, "expected", p.change.Expected, "err", err)
		if p.winner != nil {
			s.install(p.winner, "store")
		}
		return Result{}, err
	}
	s.log.Log(EvAccepted, "revision", p.next.Revision, "operation", p.change.OperationID, "author", p.change.Author)
	s.install(p.next, "operator")
	s.recordStoredRevision(p.next.Revision)
	return Result{Revision: p.next.Revision, Document: p.next}, nil
}

func (p *proposal) giveUp(err error) error {
	if p.mayBeWritten {
		return fault.Wrap(err, fault.Ambiguous, "config.propose", "store",
			"the change may or may not be written; propose it again with operation ID %q to know", p.change.OperationID)
	}
	return fault.Wrap(err, fault.Unavailable, "config.propose", "store", "this call did not write the change")
}
