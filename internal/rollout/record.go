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

// IsRestored reports whether an order that was read is the one of the record, and the store
// has brought both back from a copy: the order has the revision that it had before.
func (r Record) IsRestored(order *Order) bool {
	const revisionMask = 1<<revisionBits - 1
	return r.To == order.To && r.Seen&revisionMask == order.ID&revisionMask && Generation(r.Seen) < Generation(order.ID)
}

// State returns what entries are told of the order, without its deadline.
func (r Record) State() OrderState {
	return OrderState{ID: r.ID, Seen: r.Seen, Service: r.Service, To: r.To, From: r.From, Barred: r.Barred, Phase: r.Outcome}
}
