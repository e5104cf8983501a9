// Package kv defines the interface to the platform's key-value service, which has
// ordered keys with revisions, compare-and-swap transactions, leases and watches.
package kv

import (
	"context"
	"time"
)

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// ModRevision is the store revision of the last write to the key.
	ModRevision int64
	// CreateRevision is the store revision that created the key.
	CreateRevision int64
	// Lease is the lease that the key is bound to; 0 is none.
	Lease LeaseID
}

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// Compare is a guard of a transaction: the ModRevision of the stored key must
// equal ModRevision. 0 means that the key must not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Op is one write of a transaction: a put, or a deletion if Delete is set.
type Op struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// Put returns an Op that writes value to key.
func Put(key string, value []byte) Op { return Op{Key: key, Value: value} }

// PutWithLease returns an Op that writes value to key and binds the key to lease.
func PutWithLease(key string, value []byte, lease LeaseID) Op {
	return Op{Key: key, Value: value, Lease: lease}
}

// Delete returns an Op that deletes key.
func Delete(key string) Op { return Op{Key: key, Delete: true} }

// TxnResult is the result of a transaction.
type TxnResult struct {
	// Succeeded is true if all guards held and the writes took effect.
	Succeeded bool
	// Revision is the store revision after the transaction.
	Revision int64
}

// Snapshot is the result of a range read.
type Snapshot struct {
	Entries []Entry
	// Revision is the store revision at which the range was read.
	Revision int64
	// Generation is the generation of the store that Revision belongs to.
	Generation int64
}

// Event is one change delivered by a watch. Deleted is set if the key was deleted.
type Event struct {
	Entry   Entry
	Deleted bool
}

// WatchBatch is a group of changes delivered together by a watch.
type WatchBatch struct {
	Events []Event
	// Revision is the store revision when the batch was made; it covers all Events.
	Revision int64
	// Compacted is set if the requested revision was compacted. The watcher must
	// read the range again.
	Compacted bool
	// Age is the staleness of a batch that another process returned from its copy
	// of the keys; 0 means that the batch came from the store itself.
	Age time.Duration
	// Generation is the generation of the store that Revision belongs to.
	Generation int64
}

// Generational is implemented by stores that may come back from a copy of an earlier
// state. Each time the generation rises, writes and leases since the copy are lost,
// and their revisions and lease IDs are given out again.
type Generational interface {
	// Generation returns the highest generation of all answers so far. If it is the
	// same before and after a call, the call was executed in that generation.
	Generation() int64
}

// Generation returns the generation of a store, or 0 if it has none.
func Generation(store any) int64 {
	if g, ok := store.(Generational); ok {
		return g.Generation()
	}
	return 0
}

// Poller is implemented by stores that deliver changes by long polling.
type Poller interface {
	// Poll returns the changes to keys with prefix whose revision is greater than
	// after. It waits up to wait for the first change; if there is none, the batch
	// has a revision but no events. Errors are those of Store.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchBatch, error)
}

// Store is the key-value service.
//
// Errors: fault.Unavailable means that the call had no effect;
// fault.Ambiguous means that the response to a write was lost, so that the write
// may have taken effect. A failed guard is not an error; it is reported by
// TxnResult.Succeeded being false.
type Store interface {
	// Get reads one key; found is false if it does not exist.
	Get(ctx context.Context, key string) (entry Entry, found bool, err error)
	// List reads all keys with prefix, sorted by key.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// Txn atomically applies ops if all guards hold.
	Txn(ctx context.Context, guards []Compare, ops []Op) (TxnResult, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; the error is fault.Conflict if it has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys bound to it.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch delivers the changes to keys with prefix whose revision is greater than
	// after. The channel is closed when ctx ends or the stream breaks.
	Watch(ctx context.Context, prefix string, after int64) (<-chan WatchBatch, error)
}
