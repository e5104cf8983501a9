// Package limit implements admission control on an entry node: which requests
// are accepted, in which order they run, and how many retries a service may use.
//
// Scheduler makes the decisions; it has no clock, goroutines or locks. Admitter
// wraps it for concurrent callers and uses the system clock.
package limit
