// Package fuzz runs whole sites of entry nodes through random histories of
// callers, operators, reclaims and faults in virtual time, and judges what
// callers, operators and backend servers have seen by an oracle that knows only
// the promises of the system.
//
// A history follows from its seed: the seed gives the schedule of steps, and
// the network's jitter and the store's losses. The Go scheduler still orders
// goroutines that are ready at the same virtual instant, so a failure that
// hangs on such an order may need several runs of its seed.
package fuzz
