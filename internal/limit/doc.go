// Package limit decides which requests an entry accepts, in which order they
// run and how many retries a service may cause.
//
// Scheduler is the pure decision: it has no clock, no goroutine and no lock.
// Admitter wraps it for concurrent callers with the standard time package.
package limit
