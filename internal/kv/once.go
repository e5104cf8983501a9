package kv

import (
	"context"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/wait"
)

const (
	// resolveBackoff is the first wait between tries to resolve a lost answer.
	resolveBackoff = 50 * time.Millisecond
	// maxResolveBackoff bounds that wait.
	maxResolveBackoff = 2 * time.Second
	// voidPrefix marks a marker value that bars the named operation.
	voidPrefix = "void:"
)

// Marker is a key that one writer changes with each of its transactions, and
// with nothing else, so that a lost answer can be resolved. A writer that uses
// one marker sends one transaction at a time.
type Marker struct {
	Key string
	// Revision is the marker's present ModRevision; 0 if it does not exist.
	Revision int64
	// Lease binds the marker, so that it goes with its writer; 0 binds it to none.
	Lease LeaseID
}

// TxnOnce applies ops if all guards hold, and resolves a lost answer. The
// operation ID must never be used again.
//
// The transaction also guards the marker's revision and writes the operation
// ID into the marker. When the answer is lost, TxnOnce writes a void mark under
// the same guard: either that write wins, and the transaction can no longer
// take effect however late it arrives; or it loses, and the marker's value
// tells whether the transaction took effect.
//
// It returns a definite result; fault.Unavailable if the transaction had and
// will have no effect; or fault.Ambiguous if that could not be learnt before
// ctx ended or because another writer changed the marker. The returned Marker
// is the one for the next transaction; after fault.Ambiguous its revision is
// stale and must be read again.
func TxnOnce(ctx context.Context, store Store, guards []Compare, ops []Op, marker Marker, operationID string) (TxnResult, Marker, error) {
	guards = append([]Compare{marker.guard()}, guards...)
	ops = append([]Op{marker.put(operationID)}, ops...)
	result, err := store.Txn(ctx, guards, ops)
	if fault.Is(err, fault.Ambiguous) {
		return resolveLostResponse(ctx, store, marker, operationID, err)
	}
	if err == nil && result.Succeeded {
		marker.Revision = result.Revision
	}
	return result, marker, err
}

func (m Marker) guard() Compare { return Compare{Key: m.Key, ModRevision: m.Revision} }

func (m Marker) put(value string) Op { return PutWithLease(m.Key, []byte(value), m.Lease) }

// resolve repeats the void write until its fate, and so that of the
// transaction, is known.
func resolveLostResponse(ctx context.Context, store Store, marker Marker, operationID string, cause error) (TxnResult, Marker, error) {
	voidValue := voidPrefix + operationID
	for backoff := resolveBackoff; ; backoff = min(2*backoff, maxResolveBackoff) {
		voided, err := store.Txn(ctx, []Compare{marker.guard()}, []Op{marker.put(voidValue)})
		if err == nil && voided.Succeeded {
			marker.Revision = voided.Revision
			return TxnResult{}, marker, voidedError(cause)
		}
		if err == nil {
			entry, found, err := store.Get(ctx, marker.Key)
			if err == nil {
				return outcomeFromMarker(entry, found, marker, operationID, cause)
			}
		}
		if !wait.For(ctx, backoff) {
			return TxnResult{}, marker, fault.Wrap(cause, fault.Ambiguous, "kv.resolve", fault.Peer(cause), "not resolved in time")
		}
	}
}

// judge reads the fate of the transaction from a marker that has changed.
func outcomeFromMarker(entry Entry, found bool, marker Marker, operationID string, cause error) (TxnResult, Marker, error) {
	value := string(entry.Value)
	if found && value == operationID {
		marker.Revision = entry.ModRevision
		return TxnResult{Succeeded: true, Revision: entry.ModRevision}, marker, nil
	}
	if found && value == voidPrefix+operationID {
		marker.Revision = entry.ModRevision
		return TxnResult{}, marker, voidedError(cause)
	}
	return TxnResult{}, marker, fault.Wrap(cause, fault.Ambiguous, "kv.resolve", fault.Peer(cause), "marker %s was changed by another writer", marker.Key)
}

// barred says that the transaction has no effect. The cause is not wrapped,
// because it is ambiguous and this is not.
func voidedError(cause error) error {
	return fault.New(fault.Unavailable, "kv.resolve", fault.Peer(cause), "transaction lost and barred: %v", cause)
}
