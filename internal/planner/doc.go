// Package planner manages the fleet of a zone: it starts VMs according to
// demand, prices and reclaim notices, drains and stops VMs that are not needed,
// and orders engines to load models.
//
// A planner runs next to every entry. Only the planner that holds the zone's
// lease acts. It checks the lease immediately before each action, and records
// actions that must not be repeated in the store before it performs them.
package planner
