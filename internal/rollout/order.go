// Package rollout moves a service's requests from one software version of its backend
// servers to another when operators order it, and back if the new version is worse. It
// holds decisions only: time is passed in, and nothing here calls the network.
//
// One entry, the holder of the duty lease, decides (Decide) and issues Statements. Every
// entry limits what it sends to the new version itself (Gate), in proportion to its own
// requests, so that the limit holds as a sum over any number of entries, also of those
// that are cut off or restart. What the answers were is counted by each entry (Recorder)
// and summed over the entries (Board).
package rollout

import "time"

// Order is an operators' order to move a service to a software version.
type Order struct {
	// ID increases with every order; see NewID.
	ID int64
	// Service and To are the service and the version that is to serve it.
	Service, To string
	// Duration is the time within which the outcome is due.
	Duration time.Duration
}

// revisionBits is the number of low bits of an order's ID that hold the revision of its key;
// the bits above hold the generation of the store, which may give revisions out again.
const revisionBits = 40

// NewID returns the ID of an order that was first read with the revision in a generation of
// the store.
func NewID(generation, revision int64) int64 { return generation<<revisionBits | revision }

// Generation returns the generation of the store in which an order was read with the ID.
func Generation(id int64) int64 { return id >> revisionBits }

// Phase is how far a roll-out has come.
type Phase int

const (
	// PhaseHeld: no request goes to the new version.
	PhaseHeld Phase = iota
	// PhaseTrial: a small share of the requests goes to a few servers of the new version,
	// which then have as many each as those of the old one.
	PhaseTrial
	// PhaseSurge: all new requests go to the new version for a moment, so that its servers
	// show how they bear the load, and a share of them afterwards.
	PhaseSurge
	// PhaseHandOver: new requests go to the new version as far as the exposure allows,
	// while streams at the old version end.
	PhaseHandOver
	// PhaseCommit: the order is about to be completed, and new requests go to the new version,
	// so that few are at the old servers when they stop.
	PhaseCommit
	// PhaseCompleted: the new version serves, and the servers of the old one stop.
	PhaseCompleted
	// PhaseRolledBack: the old version serves, and nothing goes to the new one.
	PhaseRolledBack
)

// String returns the phase's name in log lines.
func (p Phase) String() string {
	names := [...]string{"held", "trial", "surge", "hand-over", "commit", "completed", "rolled-back"}
	if p < 0 || int(p) >= len(names) {
		return "unknown"
	}
	return names[p]
}

// IsFinal reports whether the roll-out has its outcome.
func (p Phase) IsFinal() bool { return p == PhaseCompleted || p == PhaseRolledBack }

// isExposing reports whether requests may go to a version that has no outcome yet.
func (p Phase) isExposing() bool {
	return p == PhaseTrial || p == PhaseSurge || p == PhaseHandOver || p == PhaseCommit
}

// OrderState is the state of one order as entries tell it each other.
type OrderState struct {
	// ID is that with which the order was first read, Seen that with which it was read last.
	ID      int64  `msgpack:"r"`
	Seen    int64  `msgpack:"k"`
	Service string `msgpack:"s"`
	To      string `msgpack:"v"`
	// From holds the versions that served when the order was first seen.
	From []string `msgpack:"f,omitempty"`
	// Barred holds versions that were rolled back before, which get nothing.
	Barred []string `msgpack:"b,omitempty"`
	Phase  Phase    `msgpack:"p"`
	// LeftMillis is the time until the deadline when the message is sent; negative after it.
	LeftMillis int64 `msgpack:"l,omitempty"`
	// DurationMillis is the time that the order allows.
	DurationMillis int64 `msgpack:"d,omitempty"`
}

// Duration returns the time that the order allows.
func (o *OrderState) Duration() time.Duration { return millis(o.DurationMillis) }

// IsSame reports whether this is the order that was read. A store that has come back from a
// copy may have the order with another revision, since operators write it again: there, the
// first order for the same version is the same.
func (o *OrderState) IsSame(order *Order) bool {
	return o.To == order.To && (o.Seen == order.ID || Generation(o.Seen) < Generation(order.ID))
}

// isOpen reports whether the new version may get every request.
func (o *OrderState) isOpen() bool {
	isAlone := len(o.From) == 0 && o.Phase.isExposing()
	return o.Phase == PhaseCompleted || isAlone
}

// Statement is what the holder says of all orders. A statement with a higher Token, or
// the same Token and a higher Number, replaces another one.
type Statement struct {
	// Token is the fencing token of the holder's lease; 0 for a statement that an entry has
	// read from the store for itself, which allows no exposure.
	Token  int64 `msgpack:"t"`
	Number int64 `msgpack:"n"`
	// AgeMillis is the time since the holder issued it, ConfirmedMillis that since the
	// orders were last read.
	AgeMillis       int64 `msgpack:"a"`
	ConfirmedMillis int64 `msgpack:"c"`
	// Entries is the number of entries among which the slack is divided; 0 is unknown.
	Entries int          `msgpack:"e,omitempty"`
	Orders  []OrderState `msgpack:"o,omitempty"`
}

// Message is the part of the entries' messages that concerns roll-outs.
type Message struct {
	Statement *Statement `msgpack:"s,omitempty"`
	Evidence  Evidence   `msgpack:"e,omitempty"`
}

// Bounds are what a deployment allows a roll-out.
type Bounds struct {
	// Share and Slack limit the requests that reach a bad version: Share of all requests
	// of its service between the order and its deadline, plus Slack.
	Share, Slack float64
	// Rollback is the time within which a bad version must get no more requests.
	Rollback time.Duration
}

// IsEnabled reports whether roll-outs are carried out.
func (b Bounds) IsEnabled() bool { return b.Share > 0 && b.Rollback > 0 }

// permissionsPerRollback divides Rollback to get the age at which a permission lapses. The
// rest is for the answers to be counted over the entries and for the decision.
const permissionsPerRollback = 4

// MaxPermissionAge is the age of a statement from which on nothing is sent to a new
// version by it.
func (b Bounds) MaxPermissionAge() time.Duration { return b.Rollback / permissionsPerRollback }

const (
	// trialFraction, surgeFraction, handOverFraction and the rest are the parts of the
	// exposure that are spent until the surge, until the hand-over, until the outcome, and
	// between the outcome and the deadline: even a bad version that looks good to the end
	// stays within it.
	trialFraction    = 0.4
	surgeFraction    = 0.6
	handOverFraction = 0.72
	// surgeAt is the part of an order's time after which the surge begins: a version that
	// does not bear it can still be rolled back.
	surgeAt = 0.6
	// slackFraction is the part of the slack that entries use from the start, so that a
	// version is tested at a service with few requests too. The rest is for entries that
	// start again.
	slackFraction = 0.5
	// minMargin is the least time between the outcome and the deadline, for the write.
	minMargin = 650 * time.Millisecond
)

// margin returns the time before the deadline at which the outcome is due.
func (b Bounds) margin(duration time.Duration) time.Duration {
	return max(minMargin, b.part(1-handOverFraction, duration))
}

// handOverSpan returns the time that the hand-over takes at the full rate of requests.
func (b Bounds) handOverSpan(duration time.Duration) time.Duration {
	return b.part(handOverFraction-surgeFraction, duration)
}

func (b Bounds) part(fraction float64, duration time.Duration) time.Duration {
	return time.Duration(fraction * b.Share * float64(duration))
}
