// Package planner carries out the fleet duties of a zone: it starts VMs as
// demand, prices and reclaims want it, drains and stops those that are not
// needed, and orders engines to load models.
//
// A planner runs beside every entry. The one that holds the zone's lease acts.
// It checks the lease at the last step before each act, and records in the
// store, before it acts, what must not be done twice.
package planner
