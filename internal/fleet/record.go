package fleet

import (
	"time"

	"buckthornpick/internal/provider"
)

// Keys of the store that planners and entries share. The zone's name follows.
const (
	// RecordPrefix holds all records of the fleet.
	RecordPrefix = "bp/fleet/"
	// StatePrefix holds one ZoneState for each zone, written by its planner.
	StatePrefix = RecordPrefix + "state/"
	// DemandPrefix holds one ZoneDemand for each zone, written by an entry.
	DemandPrefix = RecordPrefix + "demand/"
)

// ZoneState is what the acting planner of a zone must not forget when it dies.
type ZoneState struct {
	// Operations are starts that are not in the VM list yet.
	Operations []StartOperation `json:"operations,omitempty"`
	Refused    []OfferRefusal   `json:"refused,omitempty"`
	// Draining VMs get no new work from the entries.
	Draining []Drain `json:"draining,omitempty"`
}

// Operation is one start of a VM, recorded before the platform is asked.
type StartOperation struct {
	Spec provider.VMSpec `json:"spec"`
	// VM is the started VM's ID; empty until the platform has answered.
	VM    string    `json:"vm,omitempty"`
	Since time.Time `json:"since"`
}

// Key returns the offer that the operation uses.
func (o StartOperation) Key() OfferKey {
	return OfferKey{o.Spec.Zone, o.Spec.Class, o.Spec.Reclaimable}
}

// Refusal is an offer that is not asked for before Until.
type OfferRefusal struct {
	Class       string    `json:"class"`
	Reclaimable bool      `json:"reclaimable"`
	Until       time.Time `json:"until"`
	// Count is the number of refusals since the last success.
	Count int `json:"count"`
}

// Drain is a VM that is to be stopped.
type Drain struct {
	VM    string    `json:"vm"`
	Since time.Time `json:"since"`
	// StopAsked is set before the platform is asked to stop the VM; after that
	// the drain is not taken back.
	StopAsked bool `json:"stopAsked,omitempty"`
}

// ZoneDemand is the load of all services as the entries of a zone see it.
type ZoneDemand struct {
	At time.Time `json:"at"`
	// Requests counts admitted and waiting requests by service.
	Requests map[string]float64 `json:"requests"`
}
