package fleet

import (
	"time"

	"buckthornpick/internal/provider"
)

// Prefixes of the store keys shared by planners and entries. StatePrefix and
// DemandPrefix are followed by the name of the zone.
const (
	// RecordPrefix is the prefix of all records of this package.
	RecordPrefix = "bp/fleet/"
	// StatePrefix is the prefix of one ZoneState per zone, written by the zone's
	// planner.
	StatePrefix = RecordPrefix + "state/"
	// DemandPrefix is the prefix of one ZoneDemand per zone, written by an entry.
	DemandPrefix = RecordPrefix + "demand/"
)

// ZoneState is the persistent state of a zone's active planner. Another planner
// that takes over the zone continues from it.
type ZoneState struct {
	// Operations are starts whose VMs are not in the VM list yet.
	Operations []StartOperation `json:"operations,omitempty"`
	// Refused are the offers whose starts the platform refused.
	Refused []OfferRefusal `json:"refused,omitempty"`
	// Draining are VMs that get no new requests from the entries.
	Draining []Drain `json:"draining,omitempty"`
}

// StartOperation is the start of a VM, recorded before the request to the
// platform is sent.
type StartOperation struct {
	Spec provider.VMSpec `json:"spec"`
	// VM is the ID of the started VM; empty until the platform has answered.
	VM    string    `json:"vm,omitempty"`
	Since time.Time `json:"since"`
}

// Key returns the key of the offer that the operation uses.
func (o StartOperation) Key() OfferKey {
	return OfferKey{o.Spec.Zone, o.Spec.Class, o.Spec.Reclaimable}
}

// OfferRefusal is an offer whose start was refused and that is not requested
// again before Until.
type OfferRefusal struct {
	Class       string    `json:"class"`
	Reclaimable bool      `json:"reclaimable"`
	Until       time.Time `json:"until"`
	// Count is the number of refusals since the last success.
	Count int `json:"count"`
}

// Drain is a VM that is drained in order to be stopped.
type Drain struct {
	VM    string    `json:"vm"`
	Since time.Time `json:"since"`
	// StopRequested is set before the stop request is sent to the platform; from
	// then on the drain cannot be cancelled.
	StopRequested bool `json:"stopAsked,omitempty"`
}

// ZoneDemand is the load of all services as measured by the entries of a zone.
type ZoneDemand struct {
	At time.Time `json:"at"`
	// Requests counts admitted and waiting requests by service.
	Requests map[string]float64 `json:"requests"`
}
