// Package claim keeps at-most-once records of non-repeatable requests in the
// store, with group commit.
//
// A claim is written before its request is dispatched. The transaction that
// writes it is guarded by the ModRevision of the table of members, so it takes
// effect only while its node owns the request's partition by the current
// table. An owner reads the partition's claims after the table change that
// made it the owner; by then no earlier owner's write can take effect, so the
// owner knows every claim of the partition.
//
// The writes of many requests share a transaction: a node collects what comes
// while earlier writes are under way, and the zone's writer merges the batches
// of the zone's nodes. The writer only relays: any node can be it, several can
// be it at once, and a node that can't reach it writes itself.
package claim

import (
	"time"

	"buckthornpick/internal/backend"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/request"
)

// Claim tells that a request was or will be dispatched as one attempt.
type Claim struct {
	Request      request.ID
	Organisation string
	Service      string
	// Owner is the member ID of the node that wrote the claim, Incarnation
	// its start.
	Owner       string
	Incarnation int64
	Target      backend.Target
	Attempt     backend.AttemptID
	// Number counts the attempts of the request from 1.
	Number int
	// At is the time at the owner; the store keeps milliseconds.
	At time.Time
	// Released is true if no attempt ran and none will run under this claim.
	Released bool
	// Fingerprint is the request's, to tell a reused key from a repeat.
	Fingerprint uint64
}

// sameAttempt reports whether c and d are the same decision.
func (c Claim) sameAttempt(d Claim) bool {
	return c.Attempt == d.Attempt && c.Owner == d.Owner && c.Incarnation == d.Incarnation &&
		c.Number == d.Number && c.Released == d.Released
}

// Ownership is what the ledger asks of the membership. All methods answer at
// once from memory. Tenure implements two of them.
type Ownership interface {
	// TableKey is the store key of the table of members.
	TableKey() string
	// TableRevision is the key's ModRevision in the table that this node
	// uses; it never falls.
	TableRevision() int64
	// OwnedSince returns the TableRevision of the table since which this node
	// has owned the partition in every table that there was; owned is false
	// if it does not own it now. A later revision than the true one is safe
	// and makes the ledger read the partition again.
	OwnedSince(partition int) (revision int64, owned bool)
	// Writer is the node that writes for this node's zone; ok is false if
	// there is none.
	Writer() (node peer.Node, ok bool)
}

// Config tunes a Ledger. Zero fields take their defaults.
type Config struct {
	// Prefix of the claims' keys; default "claims/".
	Prefix string
	// Retention is how long claims are kept; default 24 h. It must exceed the
	// time in which a caller may send a request again.
	Retention time.Duration
	// BucketLength is the time span of claims that are removed together;
	// default 10 min. All nodes use the same value.
	BucketLength time.Duration
	// WriteInterval is the shortest time between the starts of two
	// transactions at one writer; default 10 ms.
	WriteInterval time.Duration
	// WriteTimeout bounds one call to the store; default 2 s.
	WriteTimeout time.Duration
	// RelayTimeout bounds one call to the zone's writer. After a call that
	// failed the node writes itself for RelayPause. Defaults 250 ms and 1 s.
	RelayTimeout time.Duration
	RelayBackoff time.Duration
	// QueueClaims bounds the claims that wait at a node; default 4096.
	QueueClaims int
	// NodeInFlight bounds a node's batches that are under way; default 2.
	NodeInFlight int
	// WriterInFlight bounds a writer's transactions under way; default 4.
	WriterInFlight int
	// MaxUnresolved bounds the batches whose fate is being found out; beyond
	// it claims are refused as fault.Unavailable; default 64.
	MaxUnresolved int
}

const (
	defaultPrefix         = "claims/"
	defaultRetention      = 24 * time.Hour
	defaultBucketLength   = 10 * time.Minute
	defaultWriteInterval  = 10 * time.Millisecond
	defaultWriteTimeout   = 2 * time.Second
	defaultRelayTimeout   = 250 * time.Millisecond
	defaultRelayPause     = time.Second
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
	setDefault(&c.RelayBackoff, defaultRelayPause)
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
