package route

import (
	"fmt"
	"time"
)

// ErrNoServer means that no server of the service may get the request.
type ErrNoServer struct {
	Service string
	// VMClass is the class asked for; empty is any.
	VMClass string
}

// Error implements error.
func (e *ErrNoServer) Error() string {
	if e.VMClass == "" {
		return fmt.Sprintf("no backend server of service %q may get new work", e.Service)
	}
	return fmt.Sprintf("no backend server of service %q and VM class %q may get new work", e.Service, e.VMClass)
}

// ErrSaturated means that every usable server runs MaxConcurrentPerServer
// requests of this entry.
type ErrSaturated struct {
	Service string
	// RetryAfter is the expected time until a running request ends.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ErrSaturated) Error() string {
	return fmt.Sprintf("all backend servers of service %q are saturated, retry after %s", e.Service, e.RetryAfter)
}
