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

// Change is an operator's proposal to replace the document.
type Change struct {
	// Document replaces the present one. Its Revision and OperationID are
	// ignored.
	Document *config.Document
	// Expected is the revision that the change is based on; 0 is no document.
	Expected int64
	// OperationID identifies the change. Proposing the same change again with the
	// same ID returns the outcome of the earlier proposal.
	OperationID string
	// Author is recorded in the history.
	Author string
}

// Result describes an accepted change.
type Result struct {
	Revision int64
	Document *config.Document
}

// ConflictError reports that another change was written first.
type ConflictError struct {
	Expected int64
	// Current is the current document, which the change conflicts with; nil if
	// there is none.
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

// Propose writes a change to the store, with retries until ctx ends. It returns
// a Result only if the change was definitely written; the document is then also
// in force at this node.
//
// Errors: fault.Invalid or config.Problems if the change is invalid;
// *ConflictError if another change was written first; fault.Unavailable if this
// call wrote nothing; fault.Ambiguous if ctx ended before the outcome was known
// or if the history entry that shows the outcome is no longer kept. After the
// former, proposing the same change again gives the definite outcome.
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

// proposal is the state of one call of Propose.
//
// When a response is lost, the same transaction is sent again. Every copy has
// the same guards, so at most one takes effect, even if an earlier copy arrives
// at the store after the response to a later one. A read alone could not settle
// the outcome: a copy still in flight may take effect after the read.
type proposal struct {
	store   *Store
	change  Change
	next    *config.Document
	value   []byte
	history []byte
	// mayBeWritten is true once a write may have taken effect, because its response
	// was lost.
	mayBeWritten bool
	// winner is the current document if the change was refused because of it.
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

// attempt tries to write the change once. done is false if the outcome is not
// known yet.
func (p *proposal) attempt(ctx context.Context) (done bool, err error) {
	current, modRevision, err := p.store.readDocument(ctx)
	if err != nil {
		return false, err
	}
	if inForce, ok := p.store.Current(); ok && (current == nil || current.Revision < inForce.Revision) {
		// The store was rolled back, as by the restore of a backup. The change must
		// be based on the document in force, and overwrites the stored one.
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

// resolveOutcome determines the outcome from the stored documents; err is nil if
// the change was written. decided is false if neither this change nor a
// conflicting one has been written, so that the change can still be written.
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

// loadProposedRevision returns the stored document that has the proposed
// revision, or nil if the history no longer holds it.
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

// requireSameContent returns an error if the operation ID was used before with a
// different document.
func (p *proposal) requireSameContent(written *config.Document) error {
	proposed, err := decodeDocument(p.value)
	if err != nil {
		return err
	}
	if !reflect.DeepEqual(proposed, written) {
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

// guards requires that the document has not changed since it was read.
func (p *proposal) guards(modRevision int64) []kv.Compare {
	return []kv.Compare{{Key: p.store.cfg.Key, ModRevision: modRevision}}
}

// ops writes the document and its history entry, and deletes the history entry
// that exceeds the limit.
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

// finish puts the written document, or on a conflict the current one, in force
// at this node and returns the result of Propose.
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

// giveUp returns the error of Propose when ctx ends before the outcome is known.
func (p *proposal) giveUp(err error) error {
	if p.mayBeWritten {
		return fault.Wrap(err, fault.Ambiguous, "config.propose", "store",
			"the change may or may not be written; propose it again with operation ID %q to know", p.change.OperationID)
	}
	return fault.Wrap(err, fault.Unavailable, "config.propose", "store", "this call did not write the change")
}
