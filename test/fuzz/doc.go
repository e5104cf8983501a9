// Package fuzz runs whole sites of entry nodes through random histories in
// virtual time. A history mixes requests, document changes, VM reclaims and
// faults. An oracle then checks what callers, operators and backend servers
// observed against the guarantees of the system, without looking inside it.
//
// The seed determines a history: the schedule of steps, the network's jitter and
// the store's losses. The Go scheduler still chooses the order of goroutines
// that become ready at the same virtual instant, so a failure that depends on
// this order may need several runs of its seed.
package fuzz
