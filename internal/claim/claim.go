// Package claim stores claims, the at-most-once records of non-repeatable
// requests, with group commit.
//
// A claim is written before its request is dispatched. The transaction that
// writes it is conditional on the ModRevision of the table of members, so it
// takes effect only while its node owns the request's partition according to
// the current table. A new owner reads the partition's claims after the table
// change that made it the owner. By then no write of an earlier owner can take
// effect, so the new owner knows every claim of the partition.
//
// The writes of many requests share a transaction: a node batches the writes
// that arrive while earlier ones are in flight, and the zone's writer, one of
// its nodes, merges the batches of the zone's nodes. The writer holds no state
// and makes no decisions: any node can be the writer, there can be several at
// once, and a node that cannot reach the writer writes its batches itself.
package claim

import (
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
)

// Claim records that a request was or is about to be dispatched as one attempt.
type Claim struct {
	Request      request.ID
	Organisation string
	Service      string
	// Owner is the member ID of the node that wrote the claim; Incarnation
	// identifies the process run of that member.
	Owner       string
	Incarnation int64
	Target      backend.Target
	Attempt     backend.AttemptID
	// Number counts the attempts of the request from 1.
	Number int
	// At is the time of the claim by the owner's clock. It is stored in
	// milliseconds.
	At time.Time
	// Released is true if no attempt ran or will run under this claim.
	Released bool
	// Fingerprint is the fingerprint of the request's content. It tells a
	// resubmission from a key that is reused for another request.
	Fingerprint uint64
}

// sameAttempt reports whether c and d claim the same attempt in the same state.
func (c Claim) sameAttempt(d Claim) bool {
	return c.Attempt == d.Attempt && c.Owner == d.Owner && c.Incarnation == d.Incarnation &&
		c.Number == d.Number && c.Released == d.Released
}

// Ownership provides the table of members and this node's partitions to the
// ledger. The methods must not block. OwnershipTracker implements TableRevision
// and OwnedSince.
type Ownership interface {
	// TableKey returns the store key of the table of members.
	TableKey() string
	// TableRevision returns the ModRevision of the table that this node uses.
	// It never decreases.
	TableRevision() int64
	// OwnedSince returns the revision of the table since which this node has
	// owned the partition without interruption. owned is false if it does not
	// own the partition now. A revision later than the actual one is safe: it
	// only makes the ledger read the partition again.
	OwnedSince(partition int) (revision int64, owned bool)
	// Writer returns the node that writes the claims of this node's zone. ok is
	// false if there is none.
	Writer() (node peer.Node, ok bool)
}

// Config configures a Ledger. Zero fields take their defaults.
type Config struct {
	// Prefix of the claims' keys; default "claims/".
	Prefix string
	// Retention is how long claims are kept; default 24 h. It must exceed the
	// time in which a caller may resubmit a request.
	Retention time.Duration
	// BucketLength is the length of a time bucket, whose claims are removed
	// together; default 10 min. All nodes must use the same value.
	BucketLength time.Duration
	// WriteInterval is the minimum time between the starts of two transactions
	// of one writer; default 10 ms.
	WriteInterval time.Duration
	// WriteTimeout is the timeout of a call to the store; default 2 s.
	WriteTimeout time.Duration
	// RelayTimeout is the timeout of a call to the zone's writer; default
	// 250 ms. After a failed call the node writes its batches itself for
	// RelayBackoff; default 1 s.
	RelayTimeout time.Duration
	RelayBackoff time.Duration
	// QueueClaims is the capacity of a node's queue of claims; default 4096.
	QueueClaims int
	// NodeInFlight is the maximum number of a node's batches in flight; default
	// 2.
	NodeInFlight int
	// WriterInFlight is the maximum number of a writer's transactions in
	// flight; default 4.
	WriterInFlight int
	// MaxUnresolved is the maximum number of batches whose outcome is being
	// resolved; default 64. At this limit claims are refused with
	// fault.Unavailable.
	MaxUnresolved int
}

const (
	defaultPrefix         = "claims/"
	defaultRetention      = 24 * time.Hour
	defaultBucketLength   = 10 * time.Minute
	defaultWriteInterval  = 10 * time.Millisecond
	defaultWriteTimeout   = 2 * time.Second
	defaultRelayTimeout   = 250 * time.Millisecond
	defaultRelayBackoff   = time.Second
	defaultQueueClaims    = 4096
	defaultNodeInFlight   = 2
	defaultWriterInFlight = 4
	defaultMaxUnresolved  = 64
)

func (c Config) withDefaults() Config {
	if c.Prefix == "" {
		c.Prefix = defaultPrefix
	}
	setDefault(&c.Retention, defaultRetention)
	setDefault(&c.BucketLength, defaultBucketLength)
	setDefault(&c.WriteInterval, defaultWriteInterval)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	setDefault(&c.RelayTimeout, defaultRelayTimeout)
	setDefault(&c.RelayBackoff, defaultRelayBackoff)
	setDefault(&c.QueueClaims, defaultQueueClaims)
	setDefault(&c.NodeInFlight, defaultNodeInFlight)
	setDefault(&c.WriterInFlight, defaultWriterInFlight)
	setDefault(&c.MaxUnresolved, defaultMaxUnresolved)
	return c
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

const stepCommit = "claim.commit"

func conflict(format string, args ...any) error {
	return fault.New(fault.Conflict, stepCommit, "", format, args...)
}

func unavailable(format string, args ...any) error {
	return fault.New(fault.Unavailable, stepCommit, "", format, args...)
}

func ambiguous(format string, args ...any) error {
	return fault.New(fault.Ambiguous, stepCommit, "", format, args...)
}
