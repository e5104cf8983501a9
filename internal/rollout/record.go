package rollout

import (
	"encoding/json"

	"buckthornpick/internal/fault"
)

// Keys of the states of orders in the store.
const (
	// RecordPrefix is the prefix of the keys; the name of the service follows.
	RecordPrefix = "buckthornpick/rollout/"
	recordFormat = 1
)

// Record is the state of an order in the store, so that another holder goes on with it. Its
// outcome is written in one transaction with the status that operators read, and never
// changed.
type Record struct {
	Format  int      `json:"format"`
	ID      int64    `json:"id"`
	Seen    int64    `json:"seen"`
	Service string   `json:"service"`
	To      string   `json:"to"`
	From    []string `json:"from"`
	// Barred holds the versions that earlier orders of the service were rolled back from.
	Barred []string `json:"barred,omitempty"`
	// FormerSeen and FormerTo are Seen and To of the order that this one has replaced; 0 and ""
	// if there was none.
	FormerSeen int64  `json:"formerSeen,omitempty"`
	FormerTo   string `json:"formerTo,omitempty"`
	// OrderedMillis and DeadlineMillis are Unix milliseconds.
	OrderedMillis  int64 `json:"orderedMillis"`
	DeadlineMillis int64 `json:"deadlineMillis"`
	// Outcome is PhaseCompleted, PhaseRolledBack or, without an outcome yet, PhaseHeld.
	Outcome Phase `json:"outcome"`
	// Reason is that of the outcome, for operators.
	Reason string `json:"reason,omitempty"`
}

// DecodeRecord decodes a stored record. The error is fault.Invalid if it is unreadable or of
// another format.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fault.Wrap(err, fault.Invalid, "rollout.decode", "", "unreadable record")
	}
	if r.Format != recordFormat {
		return Record{}, fault.New(fault.Invalid, "rollout.decode", "", "unknown format %d", r.Format)
	}
	return r, nil
}

// Encode returns the stored form.
func (r Record) Encode() ([]byte, error) {
	r.Format = recordFormat
	value, err := json.Marshal(r)
	return value, fault.Wrap(err, fault.Invalid, "rollout.encode", "", "cannot encode the record")
}

// HasReplaced reports whether an order that was read is the one that this has replaced, which the
// store has brought back from a copy.
func (r Record) HasReplaced(order *Order) bool { return isRestored(r.FormerTo, r.FormerSeen, order) }

// IsRestored reports whether an order that was read is the one of the record, which the store has
// brought back from a copy.
func (r Record) IsRestored(order *Order) bool { return isRestored(r.To, r.Seen, order) }

// isRestored reports whether an order that was read is the one that was seen in an earlier
// generation: in a copy it has the revision that it had. An order that was written since the
// restore has a later one.
func isRestored(to string, seen int64, order *Order) bool {
	const revisionMask = 1<<revisionBits - 1
	return to == order.To && seen&revisionMask == order.ID&revisionMask && Generation(seen) < Generation(order.ID)
}

// State returns what entries are told of the order, without its deadline.
func (r Record) State() OrderState {
	return OrderState{ID: r.ID, Seen: r.Seen, Service: r.Service, To: r.To, From: r.From, Barred: r.Barred, Phase: r.Outcome}
}
