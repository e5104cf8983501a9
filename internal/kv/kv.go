// Package kv is the interface to the platform's key-value service: ordered
// keys with revisions, compare-and-swap transactions, leases and watches.
package kv

import (
	"context"
	"time"
)

// Entry is one stored key.
type Entry struct {
	Key   string
	Value []byte
	// ModRevision is the store revision of the last write to the key.
	ModRevision int64
	// CreateRevision is the store revision that created the key.
	CreateRevision int64
	Lease          LeaseID
}

// LeaseID names a lease; 0 is no lease.
type LeaseID int64

// Compare is a guard of a transaction: the key's ModRevision must equal
// ModRevision. A ModRevision of 0 means that the key must not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Op is one write of a transaction.
type Op struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// Put returns an Op that writes value to key.
func Put(key string, value []byte) Op { return Op{Key: key, Value: value} }

// PutWithLease returns an Op that writes value to key, bound to lease.
func PutWithLease(key string, value []byte, lease LeaseID) Op {
	return Op{Key: key, Value: value, Lease: lease}
}

// Delete returns an Op that deletes key.
func Delete(key string) Op { return Op{Key: key, Delete: true} }

// TxnResult is the answer to a transaction.
type TxnResult struct {
	// Succeeded is true if all guards held and the writes took effect.
	Succeeded bool
	// Revision is the store revision after the transaction.
	Revision int64
}

// Snapshot is the answer to a range read.
type Snapshot struct {
	Entries []Entry
	// Revision is the store revision at which the range was read.
	Revision int64
}

// Event is one change seen by a watch. A deleted key has Deleted set.
type Event struct {
	Entry   Entry
	Deleted bool
}

// WatchBatch is one delivery of a watch.
type WatchBatch struct {
	Events   []Event
	Revision int64
	// Compacted is set when the requested revision is gone; the watcher must
	// read the range again.
	Compacted bool
	// Age is the age of what another process answered from its own view; 0 is the
	// store itself.
	Age time.Duration
}

// Poller is a store whose changes can be asked for call by call.
type Poller interface {
	// Poll waits at most wait for changes to keys with prefix after revision
	// and returns them; without any the batch has only a revision. Errors are
	// those of Store.
	Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchBatch, error)
}

// Store is the key-value service.
//
// Errors: fault.Unavailable means that the call had no effect;
// fault.Ambiguous means that a write may have taken effect and its answer was
// lost. A failed guard is no error but TxnResult.Succeeded == false.
type Store interface {
	// Get reads one key; found is false if it does not exist.
	Get(ctx context.Context, key string) (entry Entry, found bool, err error)
	// List reads all keys with prefix, in the order of the keys.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// Txn applies ops if all guards hold, atomically.
	Txn(ctx context.Context, guards []Compare, ops []Op) (TxnResult, error)
	// Grant creates a lease that lapses ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; fault.Conflict means that it has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch delivers changes to keys with prefix after revision until ctx
	// ends or the stream breaks; then the channel is closed.
	Watch(ctx context.Context, prefix string, after int64) (<-chan WatchBatch, error)
}
