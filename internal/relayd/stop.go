package relayd

import (
	"context"
	"net/http"
	"time"

	"buckthornpick/internal/relay"
)

const (
	// balancerNotice is how long after failing readiness new connections still
	// come: the balancer asks once a second and needs two answers, and a
	// connection may be on its way.
	balancerNotice = 3 * time.Second
	// stopMargin is left of the grace period for the end of the process.
	stopMargin = 500 * time.Millisecond
)

// stop ends the service in order: readiness first, then the callers' kept
// connections as they are answered, then the listener; requests that were read
// are finished within the grace period.
func (x *Process) stop(callers *http.Server) {
	grace := x.s.Bounds.GracePeriod() - stopMargin
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	x.isDraining.Store(true)
	x.relay.Drain()
	x.p.Log.Log(relay.EvDraining, "active", x.relay.InFlight(), "grace_ms", grace.Milliseconds())
	time.Sleep(min(balancerNotice, grace/2))
	err := callers.Shutdown(ctx)
	x.exchange.Flush()
	x.p.Log.Log(relay.EvDrained, "active", x.relay.InFlight(), "complete", err == nil)
}
