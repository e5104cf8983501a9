package kv

import (
	"context"
	"time"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/wait"
)

const (
	// resolveBackoff is the first wait between attempts to resolve a lost response.
	resolveBackoff = 50 * time.Millisecond
	// maxResolveBackoff is the longest wait between these attempts.
	maxResolveBackoff = 2 * time.Second
	// voidPrefix followed by an operation ID is the marker value that prevents the
	// operation from taking effect.
	voidPrefix = "void:"
)

// Marker is a key that one writer changes in each of its transactions and nobody
// else changes, so that the outcome of a transaction whose response was lost can be
// read from it. A writer may have only one transaction in flight per marker.
type Marker struct {
	Key string
	// Revision is the current ModRevision of the key; 0 if it does not exist.
	Revision int64
	// Lease is the lease that the marker is bound to, so that it is deleted when its
	// writer fails; 0 is none.
	Lease LeaseID
}

// TxnOnce applies ops if all guards hold, and resolves the outcome if the response
// is lost. Each operation ID must be used only once.
//
// The transaction also guards the marker's revision and writes the operation ID
// to the marker. If the response is lost, TxnOnce writes a void value to the marker
// under the same guard. If that write succeeds, the transaction can no longer take
// effect, however late it arrives. If its guard fails, the marker's value shows
// whether the transaction took effect.
//
// The result is definite, or the error is fault.Unavailable if the transaction has
// not taken and will not take effect, or fault.Ambiguous if the outcome was still
// unknown when ctx ended or another writer changed the marker. The returned Marker
// is the one to use for the next transaction; after fault.Ambiguous its revision is
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

// resolveLostResponse repeats the void write until its outcome is known, which also
// determines the outcome of the transaction.
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

// outcomeFromMarker determines the outcome of the transaction from entry, the marker
// after it has changed.
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

// voidedError returns the error for a transaction that will never take effect. The
// cause is not wrapped, because its type fault.Ambiguous no longer applies.
func voidedError(cause error) error {
	return fault.New(fault.Unavailable, "kv.resolve", fault.Peer(cause), "transaction lost and barred: %v", cause)
}
