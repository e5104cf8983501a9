package route

import (
	"fmt"
	"time"
)

// ErrNoServer means that no server of the service may get the request.
type NoServerError struct {
	Service string
	// VMClass is the class asked for; empty is any.
	VMClass string
}

// Error implements error.
func (e *NoServerError) Error() string {
	if e.VMClass == "" {
		return fmt.Sprintf("no backend server of service %q may get new work", e.Service)
	}
	return fmt.Sprintf("no backend server of service %q and VM class %q may get new work", e.Service, e.VMClass)
}

// ErrSaturated means that every usable server runs MaxConcurrentPerServer
// requests of this entry, or that the best one would answer too late.
type SaturatedError struct {
	Service string
	// RetryAfter is the expected time until a place is free.
	RetryAfter time.Duration
	// Late is true if places are free but the first token would come later
	// than Query.FirstTokenWithin.
	FirstTokenLate bool
}

// Error implements error.
func (e *SaturatedError) Error() string {
	if e.FirstTokenLate {
		return fmt.Sprintf("the first token of service %q would be late, retry after %s", e.Service, e.RetryAfter)
	}
	return fmt.Sprintf("all backend servers of service %q are saturated, retry after %s", e.Service, e.RetryAfter)
}
