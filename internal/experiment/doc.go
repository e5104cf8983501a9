// Package experiment measures the decision packages route, limit and fleet on
// small engine models in virtual time.
//
// It is a policy measurement and no cluster simulator: a discrete-event loop
// runs the real decision code against engines that batch continuously and keep
// a bounded prefix cache, with lagged load reports, prices by zone and class,
// reclaim waves, zone losses and refused starts. Every run is determined by its
// Cell.
package experiment
