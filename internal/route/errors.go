package route

import (
	"fmt"
	"time"
)

// NoServerError is returned if no server of the service is eligible for the
// request.
type NoServerError struct {
	Service string
	// VMClass is the requested VM class; empty means any.
	VMClass string
}

// Error implements the error interface.
func (e *NoServerError) Error() string {
	if e.VMClass == "" {
		return fmt.Sprintf("no backend server of service %q may get new work", e.Service)
	}
	return fmt.Sprintf("no backend server of service %q and VM class %q may get new work", e.Service, e.VMClass)
}

// SaturatedError is returned if every eligible server already runs
// Config.MaxConcurrentPerServer requests of this entry, or if the selected
// server is predicted to exceed Query.MaxFirstTokenDelay.
type SaturatedError struct {
	Service string
	// RetryAfter is the expected time until a slot becomes free.
	RetryAfter time.Duration
	// FirstTokenLate is true if slots are free but the predicted time to the
	// first token is too long for Query.MaxFirstTokenDelay.
	FirstTokenLate bool
}

// Error implements the error interface.
func (e *SaturatedError) Error() string {
	if e.FirstTokenLate {
		return fmt.Sprintf("the first token of service %q would be late, retry after %s", e.Service, e.RetryAfter)
	}
	return fmt.Sprintf("all backend servers of service %q are saturated, retry after %s", e.Service, e.RetryAfter)
}
