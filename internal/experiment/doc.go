// Package experiment evaluates the packages route (server selection), limit
// (admission) and fleet (sizing) against small engine models in virtual time.
//
// It compares policies and does not simulate a whole cluster: a discrete-event
// loop runs the real decision code against model engines with continuous
// batching and a bounded prefix cache. The model includes delayed load reports,
// prices by zone and VM class, reclaim waves, zone losses and refused VM starts.
// Every run is a deterministic function of its Cell.
package experiment
