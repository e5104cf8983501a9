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
	deregistrationDelay = 3 * time.Second
	// stopMargin is left of the grace period for the end of the process.
	stopMargin = 500 * time.Millisecond
)

// stop ends the service in order: readiness first, then the callers' kept
// connections as they are answered, then the listener; requests that were read
// are finished within the grace period.
func (p *Process) stop(callers *http.Server) {
	grace := p.settings.Bounds.Grace() - stopMargin
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	p.isDraining.Store(true)
	p.relay.Drain()
	p.cli.Log.Log(relay.EvDraining, "active", p.relay.InFlight(), "grace_ms", grace.Milliseconds())
	time.Sleep(min(deregistrationDelay, grace/2))
	err := callers.Shutdown(ctx)
	p.exchange.Flush()
	p.cli.Log.Log(relay.EvDrained, "active", p.relay.InFlight(), "complete", err == nil)
}
